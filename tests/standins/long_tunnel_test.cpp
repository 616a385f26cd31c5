#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/tunnel.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds idle_timeout{300};

/// A client that gets an answer of a byte each 100 ms through a tunnel.
struct slow_story
{
    slow_story()
        : m_target{m_io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}}
        , m_server{m_io.get_executor(), free_endpoint(), limits(),
                   tunnel_callbacks{[](const tcp::endpoint& asked)
                                    {
                                        return asked;
                                    },
                                    [](const tcp::endpoint&, bool) {}},
                   std::make_shared<memory_pool>(memory_limits{})}
    {
        m_server.start();
    }

    static tunnel_limits limits()
    {
        tunnel_limits limits;
        limits.m_idle_timeout = idle_timeout;
        return limits;
    }

    tcp::endpoint free_endpoint()
    {
        tcp::acceptor probe{m_io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
        m_server_endpoint = probe.local_endpoint();
        return m_server_endpoint;
    }

    asio::awaitable<void> run_target()
    {
        auto [error, socket] = co_await m_target.async_accept(use_tuple);
        std::array<char, 4096> request{};
        co_await socket.async_read_some(asio::buffer(request), use_tuple);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), use_tuple);
        asio::steady_timer pause{m_io};
        for (int sent = 0; sent < 8; ++sent)
        {
            pause.expires_after(100ms);
            co_await pause.async_wait(use_tuple);
            co_await asio::async_write(socket, asio::buffer("x", 1), use_tuple);
        }
    }

    asio::awaitable<void> run_client()
    {
        http_call call{m_io.get_executor(), {}};
        const auto connected = co_await call.connect_through(
            m_server_endpoint, m_target.local_endpoint(), 1s);
        if (!is_ok(connected))
        {
            co_return;
        }
        http_request request;
        const auto head = co_await call.send(std::move(request), 1s);
        if (!is_ok(head))
        {
            co_return;
        }
        auto part = co_await call.read_part(1s);
        while (is_ok(part) && !value_of(part).empty())
        {
            m_body += value_of(part);
            part = co_await call.read_part(1s);
        }
    }

    asio::io_context m_io{1};
    tcp::acceptor m_target;
    tcp::endpoint m_server_endpoint;
    tunnel_server m_server;
    std::string m_body;
};

} // namespace

TestSuite(long_tunnel, .timeout = 60);

// Guards against streams that are cut off because their caller has nothing to send.
Test(long_tunnel, an_answer_that_takes_longer_than_the_idle_timeout_passes)
{
    slow_story story;
    asio::co_spawn(story.m_io, story.run_target(), asio::detached);
    asio::co_spawn(story.m_io, story.run_client(), asio::detached);
    story.m_io.run_for(1500ms);
    EXPECT_EQUAL(story.m_body, "xxxxxxxx");
}
