#include "testing.hpp"

#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>
#include <geraniumdoor/platform/host_list_client.hpp>
#include <geraniumdoor/platform/table_client.hpp>
#include <geraniumdoor/platform/upstream_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::string_view right_head =
    R"({"request_id":"n1.5.9","stage":2,"attempt":1,"incarnation":44)";
constexpr std::string_view wrong_head =
    R"({"request_id":"n1.5.8","stage":2,"attempt":1,"incarnation":44)";

/// What the server does with every request.
struct script
{
    unsigned m_status = 200;
    std::string m_body;
    /// Parts of a stream; sent instead of the body when there are any.
    std::vector<std::string> m_parts;
    bool m_drop = false;
    milliseconds m_wait{0};
};

asio::awaitable<void> play(const script& answer, http_exchange& exchange)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, answer.m_wait};
    co_await timer.async_wait(asio::use_awaitable);
    if (answer.m_parts.empty() && answer.m_drop)
    {
        co_return exchange.drop();
    }
    if (answer.m_parts.empty())
    {
        http_response response{answer.m_status, {}, answer.m_body};
        co_return co_await exchange.respond(std::move(response));
    }
    co_await exchange.begin_stream(answer.m_status, "application/x-ndjson");
    for (const auto& part : answer.m_parts)
    {
        std::string copy = part;
        co_await exchange.write_part(std::move(copy));
    }
    if (answer.m_drop)
    {
        co_return exchange.drop();
    }
    co_await exchange.end_stream();
}

/// A server that plays one script, and a client, on one thread.
struct fixture
{
    explicit fixture(script answer, std::uint16_t port)
        : m_answer{std::move(answer)}
        , m_address{asio::ip::make_address("127.0.0.1"), port}
        , m_server{m_io.get_executor(),
                   m_address,
                   {},
                   [this](http_exchange& exchange)
                   {
                       return play(m_answer, exchange);
                   }}
        , m_http{m_io.get_executor(), {}}
    {
    }

    template<class T>
    T run(asio::awaitable<T> work)
    {
        std::optional<T> end;
        asio::co_spawn(m_io, std::move(work),
                       [&](std::exception_ptr failure, T value)
                       {
                           cr_assert(failure == nullptr);
                           end = std::move(value);
                       });
        m_io.restart();
        while (not end && m_io.run_one_for(5s) != 0)
        {
        }
        cr_assert(end.has_value());
        return std::move(*end);
    }

    upstream_call_end call(stage_kind kind, std::string* tokens = nullptr,
                           milliseconds abort_after = 0ms)
    {
        start_upstream_call start;
        start.m_id = upstream_call_id{3};
        start.m_endpoint = {"127.0.0.1", m_address.port()};
        start.m_kind = kind;
        start.m_timeout = 400ms;
        start.m_call.m_key = {{node_id{"n1"}, incarnation{5}, 9}, {2}, {1}};
        start.m_call.m_input = "{}";
        start.m_call.m_idempotent = m_idempotent;
        upstream_client client{m_http};
        asio::steady_timer timer{m_io};
        if (abort_after > 0ms)
        {
            timer.expires_after(abort_after);
            timer.async_wait(
                [&](boost::system::error_code)
                {
                    client.abort(start.m_id);
                });
        }
        return run(client.run(start,
                              [&](std::uint32_t, std::string_view token)
                              {
                                  tokens->append(token);
                              }));
    }

    /// Number of connections that the server still has after the client's closes have
    /// arrived.
    std::size_t connections()
    {
        m_io.restart();
        m_io.run_for(50ms);
        return m_server.connection_count();
    }

    asio::io_context m_io;
    script m_answer;
    bool m_idempotent = true;
    asio::ip::tcp::endpoint m_address;
    http_server m_server;
    http_client m_http;
};

script body(std::string text, unsigned status = 200)
{
    return {status, std::move(text), {}, false, 0ms};
}

std::string part(std::string_view text)
{
    return std::string{text} + "\n";
}

std::string head_part(std::string_view head)
{
    return std::string{head} + "}\n";
}

table_transaction some_transaction()
{
    return {table_call_id{7}, {{"a", 0}}, {{"a", "x"}}};
}

result<table_transaction_end, table_error> transact(script answer, std::uint16_t port,
                                                    bool listens = true)
{
    fixture test{std::move(answer), port};
    if (listens)
    {
        test.m_server.start();
    }
    table_client client{test.m_http, test.m_address, 200ms};
    return test.run(client.run(some_transaction()));
}

bool is_unknown(const result<table_transaction_end, table_error>& end)
{
    return is_ok(end) && value_of(end).m_outcome == table_outcome::unknown;
}

} // namespace

// Guards against answers of another call that reach a caller, and against a connection
// that is used again after such an answer.
TestSuite(upstream_client);

Test(upstream_client, returns_the_answer_and_keeps_the_connection)
{
    fixture test{body(std::string{right_head} + R"(,"output":{"a":1}})"), 29301};
    test.m_server.start();
    const auto end = test.call(stage_kind::service);
    cr_expect(end.m_answered);
    EXPECT_EQUAL(end.m_output, R"({"a":1})");
    EXPECT_EQUAL(end.m_upstream_incarnation.m_value, 44u);
    EXPECT_EQUAL(test.connections(), 1u);
}

Test(upstream_client, rejects_an_answer_of_another_call_and_closes_the_connection)
{
    fixture test{body(std::string{wrong_head} + R"(,"output":{"a":1}})"), 29302};
    test.m_server.start();
    const auto end = test.call(stage_kind::service);
    cr_expect(not end.m_answered);
    cr_expect(end.m_reason == call_reason::upstream_error);
    cr_expect(end.m_output.empty());
    EXPECT_EQUAL(test.connections(), 0u);
}

// A wrong echo once closed the idle connections to all upstreams.
Test(upstream_client, closes_no_other_connection_after_an_answer_of_another_call)
{
    fixture test{body(std::string{right_head} + R"(,"output":{"a":1}})"), 29311};
    test.m_server.start();
    cr_assert(test.call(stage_kind::service).m_answered);
    EXPECT_EQUAL(test.connections(), 1u);
    // A non-idempotent call has a connection of its own.
    test.m_idempotent = false;
    test.m_answer = body(std::string{wrong_head} + R"(,"output":{"a":1}})");
    cr_expect(not test.call(stage_kind::service).m_answered);
    EXPECT_EQUAL(test.connections(), 1u);
}

Test(upstream_client, passes_on_the_tokens_of_a_stream)
{
    fixture test{
        {200,
         "",
         {head_part(right_head), part(R"({"index":0,"token":"a"})"),
          part(R"({"index":1,"token":"b"})"), part(R"({"done":true,"tokens":2})")},
         false,
         0ms},
        29303};
    test.m_server.start();
    std::string tokens;
    const auto end = test.call(stage_kind::generate, &tokens);
    cr_expect(end.m_answered);
    EXPECT_EQUAL(tokens, "ab");
    EXPECT_EQUAL(end.m_output, R"({"text":"ab"})");
    EXPECT_EQUAL(end.m_tokens, 2u);
}

Test(upstream_client, passes_on_no_token_of_another_call)
{
    fixture test{{200,
                  "",
                  {head_part(wrong_head), part(R"({"index":0,"token":"a"})"),
                   part(R"({"done":true,"tokens":1})")},
                  false,
                  0ms},
                 29304};
    test.m_server.start();
    std::string tokens;
    const auto end = test.call(stage_kind::generate, &tokens);
    cr_expect(end.m_reason == call_reason::upstream_error);
    cr_expect(tokens.empty());
    EXPECT_EQUAL(test.connections(), 0u);
}

Test(upstream_client, reports_a_stream_without_its_last_line_as_broken)
{
    for (const bool drops : {false, true})
    {
        fixture test{{200,
                      "",
                      {head_part(right_head), part(R"({"index":0,"token":"a"})")},
                      drops,
                      0ms},
                     29305};
        test.m_server.start();
        std::string tokens;
        const auto end = test.call(stage_kind::generate, &tokens);
        cr_expect(not end.m_answered);
        cr_expect(end.m_reason == call_reason::broken_stream);
        EXPECT_EQUAL(end.m_tokens, 1u);
    }
}

Test(upstream_client, tells_overload_timeout_and_failure_apart)
{
    const struct
    {
        script m_answer;
        call_reason m_reason;
    } cases[] = {
        {body(R"({"error":"overloaded"})", 503), call_reason::upstream_overloaded},
        {body(R"({"error":"failed"})", 500), call_reason::upstream_error},
        {{200, "{}", {}, false, 2000ms}, call_reason::upstream_timeout},
        {{200, "", {}, true, 0ms}, call_reason::upstream_error},
    };
    for (const auto& one : cases)
    {
        for (const auto kind : {stage_kind::service, stage_kind::generate})
        {
            fixture test{one.m_answer, 29306};
            test.m_server.start();
            std::string tokens;
            const auto end = test.call(kind, &tokens);
            cr_expect(not end.m_answered);
            cr_expect(end.m_reason == one.m_reason);
        }
    }
}

Test(upstream_client, says_when_no_byte_of_a_call_has_left)
{
    for (const auto kind : {stage_kind::service, stage_kind::generate})
    {
        // Nothing listens: the connection is refused.
        fixture unreachable{body("{}"), 25900};
        std::string tokens;
        cr_expect(not unreachable.call(kind, &tokens).m_sent);
        // The call arrives and its answer is lost.
        fixture lost{{200, "", {}, true, 0ms}, 25901};
        lost.m_server.start();
        cr_expect(lost.call(kind, &tokens).m_sent);
    }
}

Test(upstream_client, ends_an_aborted_call_at_once)
{
    fixture test{{200, "{}", {}, false, 2000ms}, 29307};
    test.m_server.start();
    const auto end = test.call(stage_kind::service, nullptr, 50ms);
    cr_expect(end.m_reason == call_reason::cancelled);
    cr_expect(not end.m_answered);
}

// Guards against a transaction that is taken for committed or for not written although
// its effect is open.
TestSuite(table_client);

Test(table_client, tells_a_commit_from_an_open_effect)
{
    const auto end = transact(body(R"({"committed":true,"versions":{"a":4}})"), 29308);
    cr_assert(is_ok(end));
    cr_expect(value_of(end).m_outcome == table_outcome::committed);
    EXPECT_EQUAL(value_of(end).m_rows.at(0).m_version, 4u);
    cr_expect(is_unknown(transact(body("{", 200), 29308)));
    cr_expect(is_unknown(transact(body("{}", 503), 29308)));
    cr_expect(is_unknown(transact({200, "", {}, true, 0ms}, 29308)));
    cr_expect(is_unknown(transact({200, "{}", {}, false, 2000ms}, 29308)));
}

Test(table_client, says_when_nothing_was_written)
{
    const auto refused = transact(body("{}", 400), 29309);
    cr_assert(not is_ok(refused));
    cr_expect(error_of(refused).m_kind == table_error_kind::refused);
    const auto unsent = transact({}, 29309, false);
    cr_assert(not is_ok(unsent));
    cr_expect(error_of(unsent).m_kind == table_error_kind::not_sent);
}

// Guards against a failed read that is taken for an empty host list.
Test(host_list_client, tells_failures_from_an_empty_list)
{
    fixture test{body(R"({"hosts":[]})"), 29310};
    test.m_server.start();
    host_list_client client{test.m_http, test.m_address, 200ms};
    cr_expect(is_ok(test.run(client.read())));
    test.m_answer = body(R"({"hosts":[)");
    const auto cut = test.run(client.read());
    cr_assert(not is_ok(cut));
    cr_expect(error_of(cut).m_kind == host_list_error_kind::malformed);
    test.m_answer = body("{}", 500);
    const auto failed = test.run(client.read());
    cr_assert(not is_ok(failed));
    cr_expect(error_of(failed).m_kind == host_list_error_kind::bad_status);
}

// Guards against an unchanged list that is taken for an empty one.
Test(host_list_client, an_unchanged_list_is_told_from_an_empty_one)
{
    fixture test{body(R"({"hosts":[]})"), 29311};
    test.m_server.start();
    host_list_client client{test.m_http, test.m_address, 200ms};
    const auto first = test.run(client.read());
    cr_assert(is_ok(first));
    cr_expect(value_of(first).has_value());
    test.m_answer = body("", 304);
    const auto second = test.run(client.read());
    cr_assert(is_ok(second));
    cr_expect(not value_of(second).has_value());
}
