#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <vector>

#include <sys/resource.h>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Guards against callers that hold a connection without sending, a full host that does
// not say so, and a connection that is reused after an answer that cannot be trusted.
TestSuite(http_limits);

namespace
{

tcp::endpoint loopback(unsigned short port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

/// Answers with the path; "/error" with a body of two lines and status 503.
asio::awaitable<void> answer(http_exchange& exchange)
{
    http_response response;
    response.m_body = exchange.request().m_target;
    if (exchange.request().m_target == "/error")
    {
        response.m_status = 503;
        response.m_body = "line one\nline two";
    }
    return exchange.respond(std::move(response));
}

struct fixture
{
    asio::io_context m_io;
    http_server m_server;
    http_client m_client;
    unsigned short m_port;

    explicit fixture(unsigned short port, http_limits limits = {})
        : m_server{m_io.get_executor(), loopback(port), limits, answer}
        , m_client{m_io.get_executor(), {}}
        , m_port{port}
    {
        m_server.start();
    }

    result<http_response, http_error> call(const std::string& target,
                                           http_call_options options = {})
    {
        std::optional<result<http_response, http_error>> outcome;
        asio::co_spawn(
            m_io,
            [&]() -> asio::awaitable<void>
            {
                http_request request{"GET", target, {}, ""};
                outcome = co_await m_client.send(loopback(m_port), request, options);
            },
            asio::detached);
        while (!outcome)
        {
            m_io.run_one_for(2s);
        }
        return *outcome;
    }
};

/// Sends one byte of an endless header each period until the server closes. Returns the
/// time that took.
asio::awaitable<void> send_slowly(tcp::socket& socket, milliseconds period,
                                  std::optional<milliseconds>& closed_after)
{
    const auto begin = std::chrono::steady_clock::now();
    asio::steady_timer timer{co_await asio::this_coro::executor};
    const std::string text = "GET / HTTP/1.1\r\nX-Slow: " + std::string(200, 'a');
    for (const char& byte : text)
    {
        boost::system::error_code error;
        asio::write(socket, asio::buffer(&byte, 1), error);
        char received = 0;
        socket.non_blocking(true);
        socket.receive(asio::buffer(&received, 1), 0, error);
        if (error != asio::error::would_block)
        {
            break;
        }
        timer.expires_after(period);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto length = std::chrono::steady_clock::now() - begin;
    closed_after = std::chrono::duration_cast<milliseconds>(length);
}

} // namespace

Test(http_limits, a_header_sent_byte_by_byte_is_cut_off_at_the_receive_timeout)
{
    http_limits limits;
    limits.m_receive_timeout = 300ms;
    fixture server{24101, limits};
    tcp::socket socket{server.m_io};
    socket.connect(loopback(24101));
    std::optional<milliseconds> closed_after;
    asio::co_spawn(server.m_io, send_slowly(socket, 20ms, closed_after), asio::detached);
    while (!closed_after)
    {
        server.m_io.run_one_for(2s);
    }
    cr_expect(*closed_after >= 250ms && *closed_after < 2000ms, "%d ms",
              static_cast<int>(closed_after->count()));
    // The end of the server's read may still be queued.
    server.m_io.poll();
    EXPECT_EQUAL(server.m_server.connection_count(), 0u);
}

Test(http_limits, a_connection_too_many_is_told_so_and_others_go_on)
{
    http_limits limits;
    limits.m_connections = 1;
    fixture server{24102, limits};
    cr_assert(is_ok(server.call("/first")));
    http_call_options fresh;
    fresh.m_fresh_connection = true;
    const auto refused = server.call("/second", fresh);
    cr_assert(is_ok(refused));
    EXPECT_EQUAL(value_of(refused).m_status, 503u);
    cr_expect(value_of(refused).m_body.find("\"code\":\"overloaded\"") !=
              std::string::npos);
    cr_expect(value_of(refused).m_body.find("\"ran\":\"not_run\"") != std::string::npos);
    EXPECT_EQUAL(find_field(value_of(refused).m_fields, "Retry-After"), "1");
    const auto third = server.call("/third");
    cr_assert(is_ok(third));
    EXPECT_EQUAL(value_of(third).m_body, "/third");
    EXPECT_EQUAL(server.m_server.connection_count(), 1u);
}

Test(http_limits, a_refused_answer_is_not_followed_by_another_on_its_connection)
{
    fixture server{24103};
    http_call_options options;
    options.m_may_reuse = [](const http_response& response)
    {
        return response.m_body != "/wrong";
    };
    const auto connections_after = [&](const std::string& target)
    {
        cr_expect(is_ok(server.call(target, options)));
        server.m_io.run_for(50ms);
        return server.m_server.connection_count();
    };
    EXPECT_EQUAL(connections_after("/right"), 1u);
    // Two idle connections, of which only the one with the wrong answer is closed.
    http_call_options fresh;
    fresh.m_fresh_connection = true;
    cr_expect(is_ok(server.call("/other", fresh)));
    EXPECT_EQUAL(server.m_server.connection_count(), 2u);
    EXPECT_EQUAL(connections_after("/wrong"), 1u);
    EXPECT_EQUAL(connections_after("/right"), 1u);
}

Test(http_limits, an_error_body_is_not_taken_for_lines_of_a_stream)
{
    fixture server{24104};
    std::vector<std::string> lines;
    http_call_options options;
    options.m_on_line = [&](std::string_view line)
    {
        lines.emplace_back(line);
    };
    const auto refused = server.call("/error", options);
    cr_assert(is_ok(refused));
    EXPECT_EQUAL(value_of(refused).m_status, 503u);
    EXPECT_EQUAL(value_of(refused).m_body, "line one\nline two");
    cr_expect(lines.empty());
    cr_expect(is_ok(server.call("/line", options)));
    EXPECT_EQUAL(lines, std::vector<std::string>{"/line"});
}

// Guards against a planned stop that cuts off requests which have arrived and were not
// read yet: on a connection that the kernel has accepted, and on one that was kept.
Test(http_limits, a_request_that_arrives_at_a_planned_stop_is_answered)
{
    fixture server{24105};
    const std::string request = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";
    tcp::socket kept{server.m_io};
    kept.connect(loopback(24105));
    server.m_io.run_for(20ms);
    EXPECT_EQUAL(server.m_server.connection_count(), 1U);
    asio::write(kept, asio::buffer(request));
    tcp::socket pending{server.m_io};
    pending.connect(loopback(24105));
    asio::write(pending, asio::buffer(request));
    tcp::socket silent{server.m_io};
    silent.connect(loopback(24105));

    server.m_server.begin_drain();
    server.m_server.stop_accepting();
    server.m_server.close_idle();
    server.m_io.restart();
    server.m_io.run_for(100ms);
    for (tcp::socket* socket : {&kept, &pending})
    {
        std::string answer;
        boost::system::error_code error;
        asio::read(*socket, asio::dynamic_buffer(answer), error);
        cr_expect(error == asio::error::eof, "%s", error.message().c_str());
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
        cr_expect(answer.ends_with("/late"));
    }
    tcp::socket refused{server.m_io};
    boost::system::error_code error;
    refused.connect(loopback(24105), error);
    cr_expect(error.failed(), "the listener is closed");
}

// The sanitizer needs a descriptor itself when it sees a type for the first time. CI runs
// this test in the release build.
#ifndef __SANITIZE_ADDRESS__

// Guards against a server that tries to accept without a pause while the process has no
// descriptor left, and does nothing else.
Test(http_limits, an_accept_that_fails_is_not_tried_again_at_once)
{
    fixture server{24106};
    std::vector<tcp::socket> peers;
    for (int at = 0; at < 4; ++at)
    {
        peers.emplace_back(server.m_io);
        peers.back().open(tcp::v4());
    }
    server.m_io.run_for(20ms);
    rlimit usual{};
    cr_assert(::getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const rlimit none{1, usual.rlim_max};
    cr_assert(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    for (tcp::socket& peer : peers)
    {
        peer.connect(loopback(24106));
    }
    server.m_io.restart();
    constexpr std::size_t most_steps = 100;
    cr_expect(server.m_io.run_for(200ms) < most_steps);
    cr_assert(::setrlimit(RLIMIT_NOFILE, &usual) == 0);
    server.m_io.restart();
    server.m_io.run_for(200ms);
    cr_expect(server.m_server.connection_count() > 0);
    cr_expect(is_ok(server.call("/after")));
}

#endif
