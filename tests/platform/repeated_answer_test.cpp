#include "repeating_server.hpp"

#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/platform/table_client.hpp>
#include <geraniumdoor/platform/upstream_client.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr milliseconds call_limit{2000};

/// A server that writes its first answer twice, and a client.
struct repeat_fixture
{
    repeat_fixture(unsigned short port, copy_time time, std::string first,
                   std::string others)
        : m_address{asio::ip::make_address("127.0.0.1"), port}
        , m_server{m_io.get_executor(), m_address, time,
                   [first = std::move(first), others = std::move(others),
                    count = 0](const http_request&) mutable
                   {
                       ++count;
                       return repeating_server::reply{count == 1 ? first : others,
                                                      count == 1};
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
        while (!end && m_io.run_one_for(call_limit) != 0)
        {
        }
        cr_assert(end.has_value());
        m_io.restart();
        m_io.run_for(20ms);
        return std::move(*end);
    }

    upstream_call_end call(stage_kind kind)
    {
        start_upstream_call start;
        start.m_id = upstream_call_id{3};
        start.m_endpoint = {"127.0.0.1", m_address.port()};
        start.m_kind = kind;
        start.m_timeout = call_limit;
        start.m_call.m_key = {{node_id{"n1"}, incarnation{5}, 9}, {2}, {1}};
        start.m_call.m_input = "{}";
        start.m_call.m_idempotent = true;
        upstream_client client{m_http};
        return run(client.run(start, [](std::uint32_t, std::string_view) {}));
    }

    /// Writes the row "a" if it has a version.
    std::optional<table_outcome> transact(std::uint64_t version)
    {
        table_client client{m_http, m_address, call_limit};
        const table_transaction transaction{
            table_call_id{7}, {{"a", version}}, {{"a", "x"}}};
        const auto end = run(client.run(transaction));
        return is_ok(end) ? std::optional{value_of(end).m_outcome} : std::nullopt;
    }

    asio::io_context m_io;
    tcp::endpoint m_address;
    repeating_server m_server;
    http_client m_http;
};

std::string committed(int version)
{
    return make_answer(200, {},
                       R"({"committed":true,"versions":{"a":)" + std::to_string(version) +
                           "}}");
}

std::string conflict(int version)
{
    return make_answer(200, {},
                       R"({"committed":false,"conflicts":[{"key":"a","version":)" +
                           std::to_string(version) + R"(,"value":"y"}]})");
}

} // namespace

// Guards against a copy of an earlier answer of an upstream or the table service that is
// taken for the answer to a later call.
TestSuite(repeated_platform_answer, .timeout = 60);

Test(repeated_platform_answer, a_call_that_runs_is_not_taken_for_an_overload)
{
    const std::string ran = make_answer(
        200, {},
        R"({"request_id":"n1.5.9","stage":2,"attempt":1,"incarnation":44,"output":{}})");
    unsigned short port = 28600;
    for (const copy_time time : copy_times)
    {
        repeat_fixture test{port++, time, make_answer(503, {}, ""), ran};
        cr_expect(test.call(stage_kind::service).m_reason ==
                  call_reason::upstream_overloaded);
        cr_expect(test.call(stage_kind::service).m_answered, "%s", to_text(time));
    }
}

Test(repeated_platform_answer, a_conflict_is_not_taken_for_a_commit)
{
    unsigned short port = 28610;
    for (const copy_time time : copy_times)
    {
        repeat_fixture test{port++, time, committed(4), conflict(6)};
        cr_assert(test.transact(0) == table_outcome::committed);
        cr_expect(test.transact(4) != table_outcome::committed, "%s", to_text(time));
    }
}

Test(repeated_platform_answer, a_commit_is_not_taken_for_a_conflict)
{
    unsigned short port = 28620;
    for (const copy_time time : copy_times)
    {
        repeat_fixture test{port++, time, conflict(7), committed(8)};
        cr_assert(test.transact(3) == table_outcome::conflict);
        cr_expect(test.transact(7) != table_outcome::conflict, "%s", to_text(time));
    }
}
