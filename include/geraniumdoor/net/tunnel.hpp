#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace geraniumdoor
{

/// Memory of an open tunnel: two connections, and a buffer for each direction.
inline constexpr std::size_t tunnel_bytes = std::size_t{24} * 1024;

/// Asks the tunnel server at the other end of a connection to connect it to a target with
/// CONNECT (RFC 9110, section 9.3.6). The caller sets the expiry of the stream. No byte
/// has been passed on if it fails.
boost::asio::awaitable<boost::system::error_code>
open_tunnel(boost::beast::tcp_stream& stream,
            const boost::asio::ip::tcp::endpoint& target);

struct tunnel_limits
{
    /// Tunnels that are open or being opened at the same time.
    std::size_t m_tunnels = 200;
    /// Time in which the head of a request has to arrive, and in which a target has to
    /// accept a connection.
    milliseconds m_head_timeout{1000};
    milliseconds m_connect_timeout{250};
    /// Time without a byte in either direction after which a tunnel is closed.
    milliseconds m_idle_timeout{60000};
};

struct tunnel_callbacks
{
    /// Returns the address at which a target is reached; a port of zero refuses it.
    std::function<boost::asio::ip::tcp::endpoint(
        const boost::asio::ip::tcp::endpoint& target)>
        m_find_target;
    /// A target has accepted a connection, or has not.
    std::function<void(const boost::asio::ip::tcp::endpoint& target, bool is_reached)>
        m_on_connect;
};

/// Connects other hosts to targets that this process reaches, and passes bytes on both
/// ways. The end of one side closes the other one; a side that broke is reset at the
/// other, so that an answer which its connection ends is not taken for complete.
class tunnel_server
{
public:
    tunnel_server(boost::asio::any_io_executor executor,
                  boost::asio::ip::tcp::endpoint endpoint, tunnel_limits limits,
                  tunnel_callbacks callbacks, std::shared_ptr<memory_pool> memory);
    ~tunnel_server();
    tunnel_server(const tunnel_server&) = delete;
    tunnel_server& operator=(const tunnel_server&) = delete;

    /// Throws boost::system::system_error if the address cannot be bound.
    void start();

    /// Refuses new tunnels. Those that are open go on.
    void begin_drain();

    /// Number of open tunnels.
    std::size_t open_count() const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace geraniumdoor
