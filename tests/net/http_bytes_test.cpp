#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <functional>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr int rounds = 150;

const std::string sound_request =
    "POST /path HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
    "X-Id: x\r\n\r\nbody";

const std::string sound_answer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: x\r\n\r\n"
    "5\r\nhello\r\n3;a=b\r\nabc\r\n0\r\n\r\n";

/// Returns the text with a few bytes replaced, removed or repeated, or cut off.
std::string damaged(std::string text, random_source& random)
{
    const std::uint32_t changes = 1 + uniform_below(random, 4);
    for (std::uint32_t change = 0; change < changes && !text.empty(); ++change)
    {
        const auto size = static_cast<std::uint32_t>(text.size());
        const std::size_t at = uniform_below(random, size);
        switch (uniform_below(random, 4))
        {
        case 0:
            text[at] = static_cast<char>(uniform_below(random, 256));
            break;
        case 1:
            text.erase(at, 1 + uniform_below(random, 8));
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + uniform_below(random, 16)));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

void run_until(asio::io_context& io, const std::function<bool()>& done,
               milliseconds limit)
{
    const auto last = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < last)
    {
        io.restart();
        io.run_for(5ms);
    }
}

tcp::endpoint loopback(unsigned short port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

/// Makes one call and counts its end.
asio::awaitable<void> call_once(tcp::endpoint upstream, int& ended)
{
    http_call call{co_await asio::this_coro::executor, {}};
    const auto connected = co_await call.connect(upstream, 200ms);
    if (is_ok(connected))
    {
        // Named: GCC 12 destroys a temporary argument of a coroutine twice.
        http_request request;
        request.m_target = "/";
        const auto head = co_await call.send(std::move(request), 200ms);
        bool more = is_ok(head);
        while (more)
        {
            const auto part = co_await call.read_part(200ms);
            more = is_ok(part) && !value_of(part).empty();
        }
    }
    ++ended;
}

} // namespace

// Guards against bytes of a caller or an upstream that end the process, hang a call, or
// are taken for a whole message though their framing is damaged. Runs under sanitizers.
TestSuite(http_bytes, .timeout = 60);

Test(http_bytes, damaged_requests_leave_the_server_serving)
{
    asio::io_context io;
    std::vector<std::string> bodies;
    http_limits limits;
    limits.m_receive_timeout = 50ms;
    http_server server{io.get_executor(), loopback(24310), limits,
                       [&bodies](http_exchange& exchange)
                       {
                           bodies.push_back(exchange.request().m_body);
                           return exchange.respond({});
                       }};
    server.start();
    random_source random{20261204};
    for (int round = 0; round < rounds; ++round)
    {
        tcp::socket socket{io};
        socket.connect(loopback(24310));
        asio::write(socket, asio::buffer(damaged(sound_request, random)));
        io.restart();
        io.run_for(2ms);
    }
    run_until(
        io,
        [&]
        {
            return server.connection_count() == 0;
        },
        3s);
    EXPECT_EQUAL(server.connection_count(), 0U);
    bodies.clear();
    tcp::socket socket{io};
    socket.connect(loopback(24310));
    asio::write(socket, asio::buffer(sound_request));
    run_until(
        io,
        [&]
        {
            return !bodies.empty();
        },
        1s);
    cr_assert(bodies.size() == 1);
    EXPECT_EQUAL(bodies[0], "body");
}

Test(http_bytes, damaged_answers_end_the_call_with_a_value_or_an_error)
{
    asio::io_context io;
    tcp::acceptor acceptor{io, loopback(24311)};
    random_source random{20261205};
    int ended = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const int before = ended;
        asio::co_spawn(io, call_once(loopback(24311), ended), asio::detached);
        tcp::socket upstream{io};
        bool accepted = false;
        acceptor.async_accept(upstream,
                              [&accepted](const boost::system::error_code&)
                              {
                                  accepted = true;
                              });
        run_until(
            io,
            [&]
            {
                return accepted;
            },
            1s);
        boost::system::error_code ignored;
        asio::write(upstream, asio::buffer(damaged(sound_answer, random)), ignored);
        io.restart();
        io.run_for(2ms);
        upstream.close(ignored);
        run_until(
            io,
            [&]
            {
                return ended > before;
            },
            2s);
        EXPECT_EQUAL(ended, before + 1);
    }
}
