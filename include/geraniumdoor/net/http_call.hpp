#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/net/http_types.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace geraniumdoor
{

/// What marks the end of a body.
enum class body_framing : std::uint8_t
{
    length,
    chunks,
    /// The end of the connection, which a peer that crashes causes as well.
    connection_end,
};

const char* to_text(body_framing framing);

/// Status and fields of an answer whose body is read in parts.
struct http_answer_head
{
    unsigned m_status = 0;
    http_fields m_fields;
    body_framing m_framing = body_framing::length;
    /// Length of the body as announced; empty for a chunked body or one that ends with
    /// its connection.
    std::optional<std::uint64_t> m_length;
};

/// One call on a connection of its own whose answer is read in parts as they arrive. The
/// request is written while the answer is read, so that an early answer is seen.
class http_call
{
public:
    /// @param memory account of what the answer takes beyond connection_bytes; null for
    /// none. A call whose answer it refuses fails with no_memory.
    http_call(boost::asio::any_io_executor executor, http_limits limits,
              std::shared_ptr<memory_pool> memory = nullptr);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    /// Fails with connect_failed, timeout or no_socket; no byte of a request has left
    /// then.
    boost::asio::awaitable<result<done, http_error>>
    connect(boost::asio::ip::tcp::endpoint endpoint, milliseconds limit);

    /// Connects through a tunnel server, which connects to the endpoint. May follow a
    /// connect that has failed. Calls through a tunnel end with tunnel_closed rather than
    /// closed, and an answer that its connection ends is not complete.
    boost::asio::awaitable<result<done, http_error>>
    connect_through(boost::asio::ip::tcp::endpoint server,
                    boost::asio::ip::tcp::endpoint endpoint, milliseconds limit);

    /// Starts to send the request and waits for the head of the final answer.
    /// Precondition: connect succeeded.
    boost::asio::awaitable<result<http_answer_head, http_error>>
    send(http_request request, milliseconds limit);

    /// Returns the next bytes of the body; an empty text is its end. An answer that was
    /// cut off ends in an error.
    boost::asio::awaitable<result<std::string, http_error>> read_part(milliseconds limit);

    /// Closes the connection; a pending operation ends with http_error_kind::aborted.
    void close();

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace geraniumdoor
