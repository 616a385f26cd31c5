#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <fstream>
#include <optional>

#include <unistd.h>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Guards against peers in trouble that send bytes without end which form no message: the
// receiver buffered the head of a chunk, a trailer or an event as a whole, and read
// interim responses for as long as they came.
TestSuite(http_endless, .timeout = 60);

namespace
{

/// Bytes that a peer offers before it ends; far above any limit of the receiver.
constexpr std::size_t offered_bytes = std::size_t{64} * 1024 * 1024;

/// Bytes that a receiver may take: its limits, and the buffers of both sockets.
constexpr std::size_t max_taken_bytes = std::size_t{8} * 1024 * 1024;

/// Growth of the resident memory that is allowed meanwhile.
constexpr std::size_t max_growth_bytes = std::size_t{16} * 1024 * 1024;

/// Time after which a receiver that waits for more bytes fails the test.
constexpr milliseconds call_limit{5000};

tcp::endpoint loopback(unsigned short port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

std::size_t resident_bytes()
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string repeated(const std::string& text, std::size_t times)
{
    std::string sum;
    for (std::size_t at = 0; at < times; ++at)
    {
        sum += text;
    }
    return sum;
}

/// Sends the head once and then the tail until the peer closes or enough was sent.
/// Returns the number of bytes sent.
asio::awaitable<std::size_t> send_endlessly(tcp::socket& socket, std::string head,
                                            std::string tail)
{
    std::size_t sent = 0;
    std::string next = std::move(head);
    while (sent < offered_bytes)
    {
        const auto [error, size] = co_await asio::async_write(
            socket, asio::buffer(next), asio::as_tuple(asio::use_awaitable));
        sent += size;
        if (error)
        {
            break;
        }
        next = tail;
    }
    co_return sent;
}

/// A server that reads one request and answers with bytes without end.
struct endless_server
{
    endless_server(unsigned short port, std::string head, std::string tail)
        : m_acceptor{m_io, loopback(port)}
        , m_endpoint{loopback(port)}
        , m_head{std::move(head)}
        , m_tail{std::move(tail)}
    {
        asio::co_spawn(m_io, serve(), asio::detached);
    }

    asio::awaitable<void> serve()
    {
        tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        std::string request(4096, '\0');
        co_await socket.async_read_some(asio::buffer(request),
                                        asio::as_tuple(asio::use_awaitable));
        m_sent = co_await send_endlessly(socket, m_head, m_tail);
    }

    asio::awaitable<void> run_and_note(asio::awaitable<void> call, bool& ended)
    {
        co_await std::move(call);
        ended = true;
    }

    /// Runs a call to the server until it and the server have ended.
    void run(asio::awaitable<void> call)
    {
        const std::size_t before = resident_bytes();
        bool ended = false;
        asio::co_spawn(m_io, run_and_note(std::move(call), ended), asio::detached);
        while (!ended || !m_sent)
        {
            m_io.run_one_for(2s);
        }
        const std::size_t after = resident_bytes();
        m_growth = after > before ? after - before : 0;
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    std::string m_head;
    std::string m_tail;
    std::optional<std::size_t> m_sent;
    std::size_t m_growth = 0;
};

/// How a call ended.
struct call_end
{
    std::optional<http_error> m_failure;
    /// Time from the head of the answer to its first part or the failure.
    std::optional<milliseconds> m_took;
};

/// Makes one call and reads one part of the answer.
asio::awaitable<void> call_once(asio::any_io_executor executor, tcp::endpoint endpoint,
                                milliseconds part_limit, call_end& end)
{
    http_call call{executor, {}};
    const auto connected = co_await call.connect(endpoint, call_limit);
    if (!is_ok(connected))
    {
        end.m_failure = error_of(connected);
        co_return;
    }
    const http_request request{"GET", "/", {}, ""};
    const auto head = co_await call.send(request, call_limit);
    if (!is_ok(head))
    {
        end.m_failure = error_of(head);
        co_return;
    }
    const auto began = std::chrono::steady_clock::now();
    const auto part = co_await call.read_part(part_limit);
    end.m_took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - began);
    if (!is_ok(part))
    {
        end.m_failure = error_of(part);
    }
}

/// Waits for the head of an answer that is counted in an account.
asio::awaitable<void> call_with(std::shared_ptr<memory_pool> pool,
                                asio::any_io_executor executor, tcp::endpoint endpoint,
                                call_end& end)
{
    http_limits limits;
    limits.m_header_bytes = std::size_t{32} * 1024;
    http_call call{executor, limits, pool};
    const auto connected = co_await call.connect(endpoint, call_limit);
    const http_request request{"GET", "/", {}, ""};
    const auto head = co_await call.send(request, call_limit);
    if (!is_ok(connected) || !is_ok(head))
    {
        end.m_failure = is_ok(connected) ? error_of(head) : error_of(connected);
    }
}

asio::awaitable<void> request_once(http_client& client, tcp::endpoint endpoint,
                                   call_end& end)
{
    http_call_options options;
    options.m_timeout = call_limit;
    const http_request request{"GET", "/", {}, ""};
    const auto response = co_await client.send(endpoint, request, options);
    if (!is_ok(response))
    {
        end.m_failure = error_of(response);
    }
}

/// Sends the head of an answer, then one byte of a chunk's extension each 20 ms.
asio::awaitable<void> send_extension_slowly(tcp::acceptor& acceptor, std::string head)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    asio::steady_timer timer{acceptor.get_executor()};
    std::string next = head + "5;";
    for (int at = 0; at < 200; ++at)
    {
        const auto [error, size] = co_await asio::async_write(
            socket, asio::buffer(next), asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return;
        }
        next = "x";
        timer.expires_after(20ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> flood(tcp::socket& socket, std::string head, std::string tail,
                            std::optional<std::size_t>& sent)
{
    const std::size_t size = co_await send_endlessly(socket, head, tail);
    sent = size;
}

/// Answers two requests, each after an interim response, with their number as the body.
asio::awaitable<void> answer_after_interim(tcp::acceptor& acceptor)
{
    int answered = 0;
    while (answered < 2)
    {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string request(4096, '\0');
        while (answered < 2)
        {
            const auto [error, size] = co_await socket.async_read_some(
                asio::buffer(request), asio::as_tuple(asio::use_awaitable));
            if (error)
            {
                break;
            }
            const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(interim),
                                       asio::as_tuple(asio::use_awaitable));
            asio::steady_timer timer{acceptor.get_executor(), 50ms};
            co_await timer.async_wait(asio::use_awaitable);
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                                       std::to_string(++answered);
            co_await asio::async_write(socket, asio::buffer(answer),
                                       asio::as_tuple(asio::use_awaitable));
        }
    }
}

asio::awaitable<void> request_twice(http_client& client, tcp::endpoint endpoint,
                                    std::vector<std::string>& bodies, bool& ended)
{
    for (int at = 0; at < 2; ++at)
    {
        http_call_options options;
        options.m_timeout = call_limit;
        const http_request request{"GET", "/", {}, ""};
        const auto response = co_await client.send(endpoint, request, options);
        bodies.push_back(is_ok(response) ? value_of(response).m_body : "failed");
    }
    ended = true;
}

asio::awaitable<void> answer_empty(http_exchange& exchange)
{
    return exchange.respond({});
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct endless_bytes
{
    const char* m_name;
    std::string m_head;
    std::string m_tail;
};

/// Bytes that never become a whole message.
std::vector<endless_bytes> endless_answers()
{
    const std::string filler(4096, 'a');
    return {
        {"a header line", "HTTP/1.1 200 OK\r\nX-Long: ", filler},
        {"header lines", "HTTP/1.1 200 OK\r\n", repeated("X-Many: 1\r\n", 300)},
        {"interim responses", "", repeated("HTTP/1.1 102 Processing\r\n\r\n", 150)},
        {"the extension of a chunk", chunked_head + "5;ext=", filler},
        {"trailers", chunked_head + "0\r\n", repeated("X-Trailer: 1\r\n", 300)},
        {"no protocol", "", filler},
    };
}

} // namespace

Test(http_endless, a_call_ends_at_its_limits_whatever_the_upstream_sends)
{
    unsigned short port = 24301;
    for (const endless_bytes& answer : endless_answers())
    {
        endless_server server{port++, answer.m_head, answer.m_tail};
        call_end end;
        server.run(
            call_once(server.m_io.get_executor(), server.m_endpoint, call_limit, end));
        cr_assert(end.m_failure.has_value(), "%s", answer.m_name);
        cr_expect(end.m_failure->m_kind == http_error_kind::malformed, "%s: %s",
                  answer.m_name, to_text(end.m_failure->m_kind));
        cr_expect(*server.m_sent < max_taken_bytes, "%s: %zu bytes", answer.m_name,
                  *server.m_sent);
        cr_expect(server.m_growth < max_growth_bytes, "%s: %zu bytes resident",
                  answer.m_name, server.m_growth);
    }
}

Test(http_endless, a_client_ends_at_its_limits_whatever_the_server_sends)
{
    std::vector<endless_bytes> answers = endless_answers();
    // The client reads the whole body; a call passes it on in parts.
    answers.push_back({"a body", "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'a')});
    unsigned short port = 24321;
    for (const endless_bytes& answer : answers)
    {
        endless_server server{port++, answer.m_head, answer.m_tail};
        call_end end;
        http_client client{server.m_io.get_executor(), {}};
        server.run(request_once(client, server.m_endpoint, end));
        // An interim response is the answer of this client, which then closes.
        const bool is_answer = std::string_view{answer.m_name} == "interim responses";
        cr_expect(end.m_failure.has_value() || is_answer, "%s", answer.m_name);
        cr_expect(!end.m_failure || end.m_failure->m_kind == http_error_kind::malformed ||
                      end.m_failure->m_kind == http_error_kind::too_large,
                  "%s: %s", answer.m_name,
                  end.m_failure ? to_text(end.m_failure->m_kind) : "");
        cr_expect(*server.m_sent < max_taken_bytes, "%s: %zu bytes", answer.m_name,
                  *server.m_sent);
        cr_expect(server.m_growth < max_growth_bytes, "%s: %zu bytes resident",
                  answer.m_name, server.m_growth);
    }
}

// Guards against an upstream whose answers are held by many calls at once: each of them
// is within its limits.
Test(http_endless, a_call_whose_answer_the_account_refuses_fails_and_returns_its_memory)
{
    std::string head = "HTTP/1.1 200 OK\r\n" + repeated("a:b\r\n", 3000) + "\r\n";
    const auto pool = std::make_shared<memory_pool>(memory_limits{500'000, 100'000});
    // Another holder, since a single one is granted whatever it asks for.
    memory_lease other{pool, {}};
    cr_assert(other.resize(200'000));
    endless_server server{24371, std::move(head), "a"};
    call_end end;
    server.run(call_with(pool, server.m_io.get_executor(), server.m_endpoint, end));
    cr_assert(end.m_failure.has_value());
    cr_expect(end.m_failure->m_kind == http_error_kind::no_memory, "%s",
              to_text(end.m_failure->m_kind));
    EXPECT_EQUAL(pool->m_account.m_held_bytes, 200'000U);
}

Test(http_endless, clients_share_an_account_of_answers)
{
    const auto pool = std::make_shared<memory_pool>(memory_limits{500'000, 100'000});
    memory_lease other{pool, {}};
    cr_assert(other.resize(200'000));
    endless_server server{24381, "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'a')};
    call_end end;
    http_client client{server.m_io.get_executor(), {}, pool};
    server.run(request_once(client, server.m_endpoint, end));
    cr_assert(end.m_failure.has_value());
    cr_expect(end.m_failure->m_kind == http_error_kind::no_memory, "%s",
              to_text(end.m_failure->m_kind));
    EXPECT_EQUAL(pool->m_account.m_held_bytes, 200'000U);
}

Test(http_endless, a_part_that_comes_byte_by_byte_without_content_ends_at_its_time)
{
    asio::io_context io;
    tcp::acceptor acceptor{io, loopback(24341)};
    asio::co_spawn(io, send_extension_slowly(acceptor, chunked_head), asio::detached);
    call_end end;
    asio::co_spawn(io, call_once(io.get_executor(), loopback(24341), 300ms, end),
                   asio::detached);
    while (!end.m_took && !end.m_failure)
    {
        io.run_one_for(2s);
    }
    cr_assert(end.m_failure.has_value() && end.m_took.has_value());
    cr_expect(end.m_failure->m_kind == http_error_kind::timeout);
    cr_expect(*end.m_took < 2000ms);
}

Test(http_endless, a_server_ends_a_request_at_its_limits_whatever_the_caller_sends)
{
    const std::string filler(4096, 'a');
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_bytes> requests{
        {"a header line", head + "X-Long: ", filler},
        {"header lines", head, repeated("X-Many: 1\r\n", 300)},
        {"the extension of a chunk", chunked + "5;ext=", filler},
        {"trailers", chunked + "0\r\n", repeated("X-Trailer: 1\r\n", 300)},
        {"a body", chunked, repeated("5\r\naaaaa\r\n", 400)},
    };
    unsigned short port = 24351;
    for (const endless_bytes& request : requests)
    {
        asio::io_context io;
        http_server server{io.get_executor(), loopback(port), {}, answer_empty};
        server.start();
        tcp::socket socket{io};
        socket.connect(loopback(port++));
        const std::size_t before = resident_bytes();
        std::optional<std::size_t> sent;
        asio::co_spawn(io, flood(socket, request.m_head, request.m_tail, sent),
                       asio::detached);
        while (!sent)
        {
            io.run_one_for(2s);
        }
        const std::size_t after = resident_bytes();
        cr_expect(*sent < max_taken_bytes, "%s: %zu bytes", request.m_name, *sent);
        cr_expect(after < before + max_growth_bytes, "%s: %zu bytes resident",
                  request.m_name, after - before);
        server.close();
        io.run_for(10ms);
    }
}

// Guards against a client that takes an interim response for the answer: the answer
// itself then arrived on a connection that was kept for the next caller.
Test(http_endless, an_interim_response_is_not_the_answer)
{
    asio::io_context io;
    tcp::acceptor acceptor{io, loopback(24361)};
    asio::co_spawn(io, answer_after_interim(acceptor), asio::detached);
    http_client client{io.get_executor(), {}};
    std::vector<std::string> bodies;
    bool ended = false;
    asio::co_spawn(io, request_twice(client, loopback(24361), bodies, ended),
                   asio::detached);
    while (!ended)
    {
        io.run_one_for(2s);
    }
    cr_assert(bodies.size() == 2);
    EXPECT_EQUAL(bodies[0], "1");
    EXPECT_EQUAL(bodies[1], "2");
}
