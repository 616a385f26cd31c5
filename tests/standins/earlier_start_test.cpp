#include <geraniumdoor/base/random.hpp>

#include <boost/asio/io_context.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <src/edge/stage_client.hpp>
#include <src/edge/store_watch.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::edge;
using namespace std::chrono_literals;

namespace
{

/// One start of a host, without connections.
struct host_start
{
    explicit host_start(std::uint64_t started)
    {
        m_state.m_own_report.m_node.m_value = "own";
        m_state.m_own_report.m_incarnation.m_value = started;
        m_state.m_own_report.m_processor = 1000;
        m_state.m_own_report.m_ready = true;
        m_state.m_numbers = exchange_numbers{incarnation{started}};
    }

    /// Submits a job of one piece and returns its number.
    std::uint64_t submit()
    {
        pieces_request request;
        request.m_pool.m_value = "pool";
        request.m_pieces = 1;
        request.m_deadline_ms = 1000;
        const std::uint64_t job = m_stages.next_job_number();
        m_stages.submit(job, request,
                        [this](const pieces_result& result, const node_id&)
                        {
                            m_results.push_back(result);
                        });
        return job;
    }

    static host_report report_of_reader()
    {
        host_report report;
        report.m_node.m_value = "reader";
        report.m_incarnation.m_value = 7;
        report.m_changes = 9;
        report.m_store_access = store_access::reading;
        return report;
    }

    boost::asio::io_context m_io;
    timer_service m_timers{now()};
    edge_state m_state{m_io.get_executor(), {}, m_timers};
    std::vector<std::pair<node_id, node_message>> m_sent;
    std::vector<pieces_result> m_results;
    stage_client m_stages{m_state, [this](const node_id& host, node_message message)
                          {
                              m_sent.emplace_back(host, std::move(message));
                          }};
    store_watch m_store{m_state, [] {}, [] {}};
};

pieces_result result_of(std::uint64_t job)
{
    return {job, pieces_outcome::done, {"10.0.0.1:1/a"}, 0};
}

constexpr std::uint64_t first_start = 1'796'461'000'000;

} // namespace

TestSuite(earlier_start, .timeout = 60);

Test(earlier_start, a_number_belongs_to_one_start)
{
    random_source random{41};
    for (int round = 0; round < 1000; ++round)
    {
        // The clock may have been set back between two starts.
        const std::uint64_t started = first_start + uniform_below(random, 100'000);
        const std::uint64_t other = first_start + uniform_below(random, 100'000);
        if (started == other)
        {
            continue;
        }
        exchange_numbers earlier{incarnation{started}};
        exchange_numbers later{incarnation{other}};
        const auto given = 1 + uniform_below(random, 200);
        for (std::uint32_t count = 0; count < given; ++count)
        {
            cr_assert(not later.is_own(earlier.next()));
            cr_assert(not earlier.is_own(later.next()));
        }
    }
}

// Guards against answers to the inputs of other requests: a host that had been killed and
// restarted ran requests with results that were made for its earlier process.
Test(earlier_start, a_result_made_for_an_earlier_start_is_not_taken)
{
    host_start earlier{first_start};
    host_start later{first_start + 500};
    std::vector<std::uint64_t> jobs;
    for (int job = 0; job < 20; ++job)
    {
        jobs.push_back(earlier.submit());
        later.submit();
    }
    for (const std::uint64_t job : jobs)
    {
        later.m_stages.on_result(node_id{"queue"}, result_of(job));
    }
    cr_expect(later.m_results.empty());
    later.m_stages.on_result(node_id{"queue"}, result_of(later.submit()));
    EXPECT_EQUAL(later.m_results.size(), 1U);
    // Neither does one end a job that is only announced.
    const std::uint64_t announced =
        later.m_stages.announce(pool_id{"pool"}, 1, 100ms, [](const auto&) {});
    later.m_stages.on_result(node_id{"queue"}, result_of(announced));
    EXPECT_EQUAL(later.m_results.size(), 1U);
}

// Guards against a host that lacks rows for ever: the answer to a pull of its earlier
// process leaves out what that process had.
Test(earlier_start, rows_for_an_earlier_start_are_not_taken)
{
    host_start earlier{first_start};
    host_start later{first_start + 500};
    const auto pull = earlier.m_store.next_pull(host_start::report_of_reader(), false);
    cr_assert(pull.has_value());
    state_push push;
    push.m_number = pull->m_number;
    push.m_changes = 9;
    push.m_intent.m_version = store_version{100};
    push.m_registry.m_version = store_version{100};
    later.m_store.apply_push(node_id{"reader"}, incarnation{7}, push);
    const auto own = later.m_store.next_pull(host_start::report_of_reader(), false);
    cr_assert(own.has_value());
    EXPECT_EQUAL(own->m_intent_version, store_version{});
    EXPECT_EQUAL(own->m_after, 0U);

    push.m_number = own->m_number;
    later.m_store.apply_push(node_id{"reader"}, incarnation{7}, push);
    cr_expect(not later.m_store.next_pull(host_start::report_of_reader(), false));
}

// The same for the changes that an earlier start of the reader had counted.
Test(earlier_start, a_reader_that_has_started_again_sends_what_the_version_asks_for)
{
    host_start reader{first_start + 500};
    state_push read;
    read.m_changes = 1;
    read.m_number = reader.m_state.m_numbers.next();
    read.m_registry.m_version = store_version{10};
    read.m_registry.m_rows.push_back(
        {"w1",
         R"({"service":"plain","address":"10.0.0.9:80","zone":"z1","maxConcurrency":8,)"
         R"("version":"v1","sequence":1,"state":"ready","coldRemainingMs":0,"born":1})",
         {10},
         false,
         false});
    reader.m_store.apply_push(node_id{"store"}, incarnation{1}, read);
    state_pull pull;
    pull.m_after = 50;
    pull.m_counted_by.m_value = first_start;
    pull.m_registry_version = store_version{5};
    EXPECT_EQUAL(reader.m_store.push_for(pull, 0).m_registry.m_rows.size(), 1U);
    pull.m_counted_by = reader.m_state.m_own_report.m_incarnation;
    EXPECT_EQUAL(reader.m_store.push_for(pull, 0).m_registry.m_rows.size(), 0U);
}
