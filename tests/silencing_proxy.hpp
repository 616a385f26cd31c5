#pragma once

#include <geraniumdoor/base/units.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace geraniumdoor::test
{

/// Passes TCP connections on to a server. Those that are open can be made silent for
/// good, as by a firewall that has lost its state: they stay open and pass nothing any
/// more, while new ones work.
class silencing_proxy
{
public:
    using tcp = boost::asio::ip::tcp;

    silencing_proxy(const boost::asio::any_io_executor& executor,
                    const tcp::endpoint& listen, tcp::endpoint server)
        : m_executor{executor}, m_acceptor{executor, listen, true}, m_server{server}
    {
        boost::asio::co_spawn(m_executor, accept(), boost::asio::detached);
    }

    void silence()
    {
        for (const auto& open : m_connections)
        {
            open->m_is_silent = true;
        }
    }

    std::size_t connection_count() const
    {
        return m_connections.size();
    }

private:
    struct connection
    {
        tcp::socket m_client;
        tcp::socket m_server;
        bool m_is_silent = false;
    };

    static constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

    boost::asio::awaitable<void> accept()
    {
        while (true)
        {
            auto [error, client] = co_await m_acceptor.async_accept(use_tuple);
            if (error)
            {
                co_return;
            }
            auto passed = std::make_shared<connection>(
                connection{std::move(client), tcp::socket{m_executor}, false});
            const auto [connect_error] =
                co_await passed->m_server.async_connect(m_server, use_tuple);
            if (!connect_error)
            {
                m_connections.push_back(passed);
                boost::asio::co_spawn(m_executor, pass(passed, true),
                                      boost::asio::detached);
                boost::asio::co_spawn(m_executor, pass(passed, false),
                                      boost::asio::detached);
            }
        }
    }

    static boost::asio::awaitable<void> pass(std::shared_ptr<connection> passed,
                                             bool to_server)
    {
        tcp::socket& from = to_server ? passed->m_client : passed->m_server;
        tcp::socket& to = to_server ? passed->m_server : passed->m_client;
        std::array<char, 16384> bytes{};
        while (true)
        {
            const auto [error, size] =
                co_await from.async_read_some(boost::asio::buffer(bytes), use_tuple);
            if (passed->m_is_silent)
            {
                // Ends of a silent connection do not pass either.
                if (error)
                {
                    co_return;
                }
                continue;
            }
            boost::system::error_code ignored;
            if (error)
            {
                to.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            co_await boost::asio::async_write(to, boost::asio::buffer(bytes.data(), size),
                                              use_tuple);
        }
    }

    boost::asio::any_io_executor m_executor;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_server;
    std::vector<std::shared_ptr<connection>> m_connections;
};

} // namespace geraniumdoor::test
