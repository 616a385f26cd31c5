#include "fault_proxy.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace geraniumdoor::soak
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Period in which held bytes look whether they may go on.
constexpr milliseconds hold_check{20};

void close_with_reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

asio::awaitable<void> pause_for(milliseconds length)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, length};
    co_await timer.async_wait(use_tuple);
}

fault_proxy::fault_proxy(asio::any_io_executor executor, tcp::endpoint listen,
                         tcp::endpoint server)
    : m_executor{std::move(executor)}
    , m_acceptor{m_executor, listen, true}
    , m_server{std::move(server)}
{
}

void fault_proxy::start()
{
    asio::co_spawn(m_executor, accept(), asio::detached);
}

void fault_proxy::reset()
{
    for (const auto& held : std::exchange(m_connections, {}))
    {
        if (const auto passed = held.lock())
        {
            close_with_reset(passed->m_client);
            close_with_reset(passed->m_server);
        }
    }
}

asio::awaitable<void> fault_proxy::accept()
{
    while (true)
    {
        auto passed = std::make_shared<connection>(
            connection{tcp::socket{m_executor}, tcp::socket{m_executor}});
        const auto [error] =
            co_await m_acceptor.async_accept(passed->m_client, use_tuple);
        if (error)
        {
            co_return;
        }
        std::erase_if(m_connections,
                      [](const std::weak_ptr<connection>& held)
                      {
                          return held.expired();
                      });
        m_connections.push_back(passed);
        asio::co_spawn(m_executor, connect(std::move(passed)), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::connect(connection_ptr passed)
{
    const auto [error] = co_await passed->m_server.async_connect(m_server, use_tuple);
    if (error)
    {
        close_with_reset(passed->m_client);
        co_return;
    }
    asio::co_spawn(m_executor, pass(passed, false), asio::detached);
    co_await pass(passed, true);
}

asio::awaitable<void> fault_proxy::pass(connection_ptr passed, bool to_server)
{
    tcp::socket& from = to_server ? passed->m_client : passed->m_server;
    tcp::socket& to = to_server ? passed->m_server : passed->m_client;
    std::array<char, 16 * 1024> bytes{};
    while (true)
    {
        const auto [error, size] =
            co_await from.async_read_some(asio::buffer(bytes), use_tuple);
        while (to_server ? m_link.m_no_requests : m_link.m_no_answers)
        {
            co_await pause_for(hold_check);
        }
        if (m_link.m_delay > milliseconds{0})
        {
            co_await pause_for(m_link.m_delay);
        }
        boost::system::error_code ignored;
        if (error)
        {
            // The end of one direction ends both: HTTP peers here do not half-close.
            to.close(ignored);
            from.close(ignored);
            co_return;
        }
        const auto [write_error, written] =
            co_await asio::async_write(to, asio::buffer(bytes.data(), size), use_tuple);
        if (write_error)
        {
            from.close(ignored);
            co_return;
        }
    }
}

} // namespace geraniumdoor::soak
