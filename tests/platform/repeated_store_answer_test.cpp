#include "repeating_server.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>

#include <platform/store_client.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::platform;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr milliseconds call_limit{2000};

std::string page(const std::string& rows, int version)
{
    return make_answer(200, {{"Store-Era", "1"}},
                       R"({"rows":[)" + rows + R"(],"hasMore":false,"ver":)" +
                           std::to_string(version) + "}");
}

const std::string upstream_row =
    R"({"table":"servers","key":"i-1","value":"e30=","ver":8})";

store_version version_of(std::uint64_t transaction)
{
    return make_store_version(store_era{1}, transaction);
}

/// A store that writes its first answer twice, and a client.
struct store_story
{
    store_story(unsigned short port, copy_time time, std::string first,
                std::string others)
        : m_server{m_io.get_executor(),
                   {asio::ip::make_address("127.0.0.1"), port},
                   time,
                   [first = std::move(first), others = std::move(others),
                    count = 0](const http_request&) mutable
                   {
                       ++count;
                       return repeating_server::reply{count == 1 ? first : others,
                                                      count == 1};
                   }}
        , m_client{m_io.get_executor(), {asio::ip::make_address("127.0.0.1"), port}}
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

    asio::io_context m_io;
    repeating_server m_server;
    store_client m_client;
};

bool has_upstream(const result<row_page, store_error>& read)
{
    return is_ok(read) && value_of(read).m_rows.size() == 1 &&
           value_of(read).m_rows.front().m_key == "i-1";
}

} // namespace

// Guards against a copy of an earlier answer of the store that is taken for the answer to
// a later call: rows would be missed or lost, or a write count as done that was not.
TestSuite(repeated_store_answer, .timeout = 60);

Test(repeated_store_answer, changes_of_one_table_are_not_taken_for_those_of_another)
{
    unsigned short port = 28700;
    for (const copy_time time : copy_times)
    {
        store_story story{port++, time, page("", 9), page(upstream_row, 9)};
        cr_assert(is_ok(story.run(
            story.m_client.read_changes("op", version_of(3), 0ms, call_limit))));
        const auto read = story.run(
            story.m_client.read_changes("servers", version_of(3), 0ms, call_limit));
        cr_expect(has_upstream(read), "%s", to_text(time));
    }
}

Test(repeated_store_answer, changes_are_not_taken_for_a_whole_table)
{
    unsigned short port = 28710;
    for (const copy_time time : copy_times)
    {
        store_story story{port++, time, page("", 9), page(upstream_row, 9)};
        cr_assert(is_ok(story.run(
            story.m_client.read_changes("servers", version_of(8), 0ms, call_limit))));
        const auto read = story.run(story.m_client.read_page("servers", "", call_limit));
        cr_expect(has_upstream(read), "%s", to_text(time));
    }
}

Test(repeated_store_answer, a_whole_table_is_not_taken_for_another)
{
    unsigned short port = 28720;
    for (const copy_time time : copy_times)
    {
        store_story story{port++, time, page("", 9), page(upstream_row, 9)};
        cr_assert(is_ok(story.run(story.m_client.read_page("hosts", "", call_limit))));
        const auto read = story.run(story.m_client.read_page("servers", "", call_limit));
        cr_expect(has_upstream(read), "%s", to_text(time));
    }
}

Test(repeated_store_answer, a_refused_write_does_not_count_as_done)
{
    unsigned short port = 28730;
    for (const copy_time time : copy_times)
    {
        store_story story{port++, time, make_answer(200, {}, R"({"ver":9})"),
                          make_answer(412, {}, R"({"rows":[]})")};
        const std::vector<row_write> rows{{"hosts", "a", "1", false}};
        cr_assert(is_ok(story.run(story.m_client.write(rows, call_limit))));
        const auto written = story.run(story.m_client.write(rows, call_limit));
        cr_expect(!is_ok(written) &&
                      error_of(written).m_kind == store_error_kind::conflict,
                  "%s", to_text(time));
    }
}

// The copy is older than what is asked for, or names changes that are known.
Test(repeated_store_answer, earlier_changes_of_the_table_are_not_newer)
{
    unsigned short port = 28740;
    for (const copy_time time : copy_times)
    {
        store_story story{port++, time, page("", 9), page(upstream_row, 12)};
        cr_assert(is_ok(story.run(
            story.m_client.read_changes("servers", version_of(3), 0ms, call_limit))));
        const auto read = story.run(
            story.m_client.read_changes("servers", version_of(10), 0ms, call_limit));
        cr_expect(!is_ok(read) || has_upstream(read), "%s", to_text(time));
    }
}

Test(repeated_store_answer, reads_of_changes_share_a_connection)
{
    store_story story{28750, copy_time::never, page("", 9), page("", 9)};
    for (int at = 0; at < 3; ++at)
    {
        cr_expect(is_ok(story.run(
            story.m_client.read_changes("servers", version_of(3), 0ms, call_limit))));
    }
    EXPECT_EQUAL(story.m_server.m_connections, 1);
}
