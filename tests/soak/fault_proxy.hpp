#pragma once

#include <geraniumdoor/base/units.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace geraniumdoor::soak
{

/// What a proxy does to the bytes that pass it.
struct link_state
{
    /// Holds bytes on their way to the server, as a link that loses them does.
    bool m_no_requests = false;
    /// Holds bytes on their way back.
    bool m_no_answers = false;
    milliseconds m_delay{0};
};

/// Passes TCP connections on to one server and disturbs them from outside.
class fault_proxy
{
public:
    /// Throws boost::system::system_error if the address cannot be bound.
    fault_proxy(boost::asio::any_io_executor executor,
                boost::asio::ip::tcp::endpoint listen,
                boost::asio::ip::tcp::endpoint server);

    void start();

    /// Resets all connections.
    void reset();

    link_state m_link;

private:
    struct connection
    {
        boost::asio::ip::tcp::socket m_client;
        boost::asio::ip::tcp::socket m_server;
    };

    using connection_ptr = std::shared_ptr<connection>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(connection_ptr passed);
    boost::asio::awaitable<void> pass(connection_ptr passed, bool to_server);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_server;
    std::vector<std::weak_ptr<connection>> m_connections;
};

/// Suspends the caller.
boost::asio::awaitable<void> pause_for(milliseconds length);

} // namespace geraniumdoor::soak
