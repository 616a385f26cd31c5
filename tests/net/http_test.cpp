#include "testing.hpp"

#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <vector>

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

tcp::endpoint loopback(unsigned short port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

asio::awaitable<void> answer(http_exchange& exchange)
{
    const std::string target = exchange.request().m_target;
    if (target == "/drop")
    {
        exchange.drop();
        co_return;
    }
    if (target == "/lines")
    {
        co_await exchange.begin_stream(200, "application/x-ndjson");
        co_await exchange.write_part("one\ntw");
        co_await exchange.write_part("o\nthree");
        co_await exchange.end_stream();
        co_return;
    }
    if (target == "/slow")
    {
        asio::steady_timer timer{co_await asio::this_coro::executor, 400ms};
        co_await timer.async_wait(asio::use_awaitable);
    }
    http_response response;
    response.m_body = exchange.request().m_body + target;
    co_await exchange.respond(std::move(response));
}

/// Answers late, and sets the flag when the caller closes its connection before.
struct late_answer
{
    bool* m_gone;
    milliseconds m_delay{300};

    asio::awaitable<void> operator()(http_exchange& exchange) const
    {
        exchange.on_peer_closed(
            [gone = m_gone]
            {
                *gone = true;
            });
        asio::steady_timer timer{co_await asio::this_coro::executor, m_delay};
        co_await timer.async_wait(asio::use_awaitable);
        http_response response;
        co_await exchange.respond(std::move(response));
    }
};

struct fixture
{
    asio::io_context m_io;
    http_server m_server;
    http_client m_client;

    explicit fixture(unsigned short port, http_handler handler = answer)
        : m_server{m_io.get_executor(), loopback(port), {}, std::move(handler)}
        , m_client{m_io.get_executor(), {}}
    {
        m_server.start();
    }

    result<http_response, http_error> call(unsigned short port, http_request request,
                                           http_call_options options = {})
    {
        std::optional<result<http_response, http_error>> outcome;
        asio::co_spawn(
            m_io,
            [&]() -> asio::awaitable<void>
            {
                outcome = co_await m_client.send(loopback(port), request, options);
            },
            asio::detached);
        while (!outcome)
        {
            m_io.run_one_for(2s);
        }
        return *outcome;
    }
};

} // namespace

// Guards against answers that are mixed up or cut on a reused connection, and against a
// refused or broken call that is reported as answered.
TestSuite(http);

Test(http, a_connection_carries_one_call_after_another)
{
    fixture server{24111};
    for (int i = 0; i < 3; ++i)
    {
        const std::string body(static_cast<std::size_t>(1000 * i), 'x');
        const auto outcome = server.call(24111, {"POST", "/echo", {}, body});
        cr_assert(is_ok(outcome));
        EXPECT_EQUAL(value_of(outcome).m_body, body + "/echo");
    }
    EXPECT_EQUAL(server.m_server.connection_count(), 1u);
}

Test(http, lines_of_a_stream_arrive_whole)
{
    fixture server{24112};
    std::vector<std::string> lines;
    http_call_options options;
    options.m_on_line = [&](std::string_view line)
    {
        lines.emplace_back(line);
    };
    const auto outcome = server.call(24112, {"GET", "/lines", {}, ""}, options);
    cr_assert(is_ok(outcome));
    EXPECT_EQUAL(lines, (std::vector<std::string>{"one", "two", "three"}));
}

Test(http, a_dropped_answer_is_an_error_that_says_the_request_was_sent)
{
    fixture server{24113};
    const auto outcome = server.call(24113, {"POST", "/drop", {}, "x"});
    cr_assert(not is_ok(outcome));
    cr_expect(error_of(outcome).m_sent);
}

Test(http, a_refused_connection_says_that_nothing_was_sent)
{
    fixture server{24114};
    const auto outcome = server.call(24119, {"POST", "/", {}, "x"});
    cr_assert(not is_ok(outcome));
    cr_expect(not error_of(outcome).m_sent);
    cr_expect(error_of(outcome).m_kind == http_error_kind::connect_failed);
}

Test(http, a_call_that_takes_too_long_times_out)
{
    fixture server{24115};
    http_call_options options;
    options.m_timeout = 50ms;
    const auto outcome = server.call(24115, {"GET", "/slow", {}, ""}, options);
    cr_assert(not is_ok(outcome));
    cr_expect(error_of(outcome).m_kind == http_error_kind::timeout);
}

Test(http, a_handler_hears_that_its_caller_has_gone)
{
    bool gone = false;
    fixture server{24116, late_answer{&gone}};
    http_call_options options;
    options.m_timeout = 50ms;
    server.call(24116, {"GET", "/", {}, ""}, options);
    server.m_io.run_for(400ms);
    cr_expect(gone);
}

// Guards against memory and work for a caller that has sent more while it waited, and has
// left: the end of its connection lies behind bytes that nobody reads.
Test(http, a_caller_that_sends_more_and_leaves_is_noticed)
{
    for (const bool resets : {false, true})
    {
        bool gone = false;
        fixture server{24130, late_answer{&gone, 2000ms}};
        tcp::socket caller{server.m_io};
        caller.connect(loopback(24130));
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        asio::write(caller, asio::buffer(request));
        server.m_io.run_for(50ms);
        asio::write(caller, asio::buffer(request));
        server.m_io.run_for(50ms);
        cr_expect(not gone, "the caller waits for both answers");
        if (resets)
        {
            caller.set_option(asio::socket_base::linger{true, 0});
        }
        caller.close();
        server.m_io.run_for(600ms);
        cr_expect(gone, "reset: %d", resets ? 1 : 0);
    }
}

Test(http, a_malformed_or_oversized_request_gets_an_error_answer)
{
    fixture server{24117};
    const std::vector<std::pair<std::string, std::string>> cases{
        {"NOT HTTP AT ALL\r\n\r\n", "HTTP/1.1 400"},
        {"GET / HTTP/1.1\r\nX: " + std::string(20'000, 'a') + "\r\n\r\n", "HTTP/1.1 431"},
        {"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413"},
    };
    for (const auto& [sent, expected] : cases)
    {
        tcp::socket socket{server.m_io};
        socket.connect(loopback(24117));
        asio::write(socket, asio::buffer(sent));
        std::string received(12, ' ');
        std::size_t size = 0;
        socket.async_read_some(asio::buffer(received),
                               [&](boost::system::error_code, std::size_t n)
                               {
                                   size = n;
                               });
        while (size == 0)
        {
            server.m_io.run_one_for(2s);
        }
        EXPECT_EQUAL(received, expected);
    }
}
