#pragma once

#include <geraniumdoor/net/http_types.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// One request on a connection and the means to answer it. The handler answers exactly
/// once: with respond, or with begin_stream, write_part and end_stream.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;

    /// Body of the request, which may outlive the exchange.
    virtual std::shared_ptr<const std::string> shared_body() const
    {
        return std::make_shared<const std::string>(request().m_body);
    }

    /// Address of the peer, as text.
    virtual std::string peer() const = 0;

    virtual boost::asio::awaitable<void> respond(http_response response) = 0;

    /// Starts a chunked response.
    virtual boost::asio::awaitable<void> begin_stream(unsigned status,
                                                      std::string content_type) = 0;

    /// Starts a response with these fields. With a length, the parts that follow are sent
    /// as they are and must add up to it; without, they are sent as chunks.
    virtual boost::asio::awaitable<void>
    begin_answer(unsigned status, http_fields fields,
                 std::optional<std::uint64_t> length) = 0;

    /// Starts a response with neither length nor chunks, which ends with its connection.
    virtual boost::asio::awaitable<void> begin_unframed_answer(unsigned status,
                                                               http_fields fields) = 0;

    /// Sends one chunk. Returns false when the peer has gone.
    virtual boost::asio::awaitable<bool> write_part(std::string part) = 0;

    virtual boost::asio::awaitable<void> end_stream() = 0;

    /// Closes the connection without an answer, or in the middle of one, so that the peer
    /// cannot take what it has for a whole answer.
    virtual void drop() = 0;

    /// The callback runs once if the peer closes the connection before the answer is
    /// sent.
    virtual void on_peer_closed(std::function<void()> callback) = 0;
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// HTTP/1.1 server on one address. Runs on the executor's thread.
class http_server
{
public:
    /// @param memory what the bodies of all requests may take; null for no limit
    http_server(boost::asio::any_io_executor executor,
                boost::asio::ip::tcp::endpoint endpoint, http_limits limits,
                http_handler handler, std::shared_ptr<memory_pool> memory = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds and starts to accept. Throws boost::system::system_error if the address
    /// cannot be bound.
    void start();

    /// Limits of requests that have not begun to arrive.
    void set_limits(http_limits limits);

    /// Answers that have not begun say "Connection: close" from now on. Idle connections
    /// stay open, and new ones are still served.
    void begin_drain();

    /// Closes the connections that wait for another request, and new ones on which none
    /// has arrived for a second. A request that is on its way to such a connection is
    /// left unread. Call it again for those that become idle later.
    void close_idle();

    /// Answers the requests that have not arrived completely with 503 and closes their
    /// connections, as well as those without a request.
    void refuse_incomplete();

    /// Closes the listening socket. Running exchanges go on.
    void stop_accepting();

    /// Closes all connections.
    void close();

    std::size_t connection_count() const;

    /// Number of exchanges that are not answered yet.
    std::size_t active_count() const;

    /// Connections on which the peer is owed an answer, or may still read one: from the
    /// first byte of a request until the peer has closed after the last answer. Counts
    /// new connections for a second, in which the peer may be about to send.
    std::size_t owed_count() const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace geraniumdoor
