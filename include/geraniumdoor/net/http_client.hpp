#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/net/http_types.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Lets another part of the process end a call early.
class http_call_control
{
public:
    /// Closes the connection of the call, which then ends with http_error_kind::aborted.
    void abort();

    bool aborted() const
    {
        return m_aborted;
    }

private:
    friend class http_client;

    bool m_aborted = false;
    std::function<void()> m_close;
};

struct http_call_options
{
    milliseconds m_timeout{3000};
    /// Time for a new connection; zero for none apart from m_timeout.
    milliseconds m_connect_timeout{0};
    /// Tunnel server through which to connect. The connection is new and is not kept, and
    /// a call that it ends fails with tunnel_closed.
    std::optional<boost::asio::ip::tcp::endpoint> m_tunnel_server;
    /// Use a new connection, so that a stale one cannot make the outcome unknown.
    bool m_fresh_connection = false;
    /// Receives each line of the body of an answer with status 200, without line feed, as
    /// it arrives; the body of the response is then empty. The body of an answer with
    /// another status is returned whole.
    std::function<void(std::string_view line)> m_on_line;
    /// Called once for each whole answer: whether the connection may carry another call.
    /// Without it, the connection is reused whenever the client allows it.
    std::function<bool(const http_response& response)> m_may_reuse;
    std::shared_ptr<http_call_control> m_control;
};

/// HTTP/1.1 client that keeps idle connections per endpoint. A connection carries one
/// call at a time and is reused only after a whole answer with a status below 400 that no
/// bytes follow: a peer that repeats a refusal would otherwise refuse a later call that
/// it runs.
class http_client
{
public:
    /// @param memory account of what answers take while they are read; null for none. A
    /// call whose answer it refuses fails with no_memory.
    http_client(boost::asio::any_io_executor executor, http_limits limits,
                std::shared_ptr<memory_pool> memory = nullptr);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    boost::asio::awaitable<result<http_response, http_error>>
    send(boost::asio::ip::tcp::endpoint endpoint, http_request request,
         http_call_options options = {});

    /// Bytes of requests and answers since the start, headers included.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    /// Closes all idle connections.
    void close_idle();

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace geraniumdoor
