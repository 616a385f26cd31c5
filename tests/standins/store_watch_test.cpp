#include <geraniumdoor/base/random.hpp>

#include <boost/asio/io_context.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <thread>

#include <src/edge/store_watch.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::edge;
using namespace std::chrono_literals;

namespace
{

std::string registry_row(const std::string& state)
{
    return R"({"service":"plain","address":"10.0.0.9:80","zone":"z1","maxConcurrency":8,)"
           R"("version":"v1","sequence":1,"state":")" +
           state + R"(","coldRemainingMs":0,"born":1})";
}

std::string configuration_row(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[]})";
}

/// A host without a connection to the store. No messages are sent; the test passes in the
/// pushes of readers.
struct watch_fixture
{
    watch_fixture()
    {
        m_state.m_own_report.m_node.m_value = "own";
    }

    /// Returns a report of a host that has just read the store.
    static host_report report_of(const std::string& node, std::uint64_t changes)
    {
        host_report report;
        report.m_node.m_value = node;
        report.m_incarnation.m_value = 1;
        report.m_changes = changes;
        report.m_registry_age_ms = 50;
        report.m_store_access = store_access::reading;
        return report;
    }

    void push_worker(const std::string& reader, std::uint64_t version,
                     const std::string& state)
    {
        state_push push;
        push.m_changes = ++m_changes;
        push.m_registry.m_version = store_version{version};
        push.m_registry.m_rows.push_back({"w1",
                                          state.empty() ? "" : registry_row(state),
                                          {version},
                                          state.empty(),
                                          false});
        m_watch.apply_push(node_id{reader}, incarnation{1}, push);
    }

    void push_config(const std::string& reader, int version, std::uint64_t row_version)
    {
        state_push push;
        push.m_changes = ++m_changes;
        push.m_intent.m_version = store_version{row_version};
        push.m_intent.m_rows.push_back(
            {"config", configuration_row(version), {row_version}, false, false});
        m_watch.apply_push(node_id{reader}, incarnation{1}, push);
    }

    const serving::upstream* worker() const
    {
        return m_state.m_upstreams.m_rows.find(upstream_id{"w1"});
    }

    boost::asio::io_context m_io;
    timer_service m_timers{now()};
    edge_state m_state{m_io.get_executor(), {}, m_timers};
    int m_state_changes = 0;
    store_watch m_watch{m_state,
                        [this]
                        {
                            ++m_state_changes;
                        },
                        [] {}};
    std::uint64_t m_changes = 0;
};

} // namespace

TestSuite(store_watch);

// Guards against older rows that replace newer ones. If the second of two readers is
// behind the first, a draining upstream must not count as ready again.
Test(store_watch, a_stale_reader_does_not_revert_newer_rows)
{
    watch_fixture fixture;
    fixture.push_worker("reader-1", 10, "draining");
    cr_assert(fixture.worker() != nullptr);
    cr_expect(fixture.worker()->m_entry.m_leaving);
    fixture.push_worker("reader-2", 8, "ready");
    cr_expect(fixture.worker()->m_entry.m_leaving);
    fixture.push_worker("reader-1", 12, "");
    cr_expect(fixture.worker() == nullptr);
    fixture.push_worker("reader-2", 11, "ready");
    cr_expect(fixture.worker() == nullptr);
    fixture.push_worker("reader-2", 13, "ready");
    cr_assert(fixture.worker() != nullptr);
    cr_expect(not fixture.worker()->m_entry.m_leaving);
}

// The same property for random orders of pushes: the host has the state of the newest
// row.
Test(store_watch, the_newest_row_wins_in_any_order_of_pushes)
{
    const bool holds = rc::check(
        [](std::uint32_t seed)
        {
            random_source random{seed};
            watch_fixture fixture;
            std::uint64_t newest = 0;
            std::string state;
            for (int push = 0; push < 30; ++push)
            {
                const std::uint64_t version = 1 + uniform_below(random, 50);
                // All readers have the same row for a version.
                const std::string pushed = version % 3 == 0   ? ""
                                           : version % 3 == 1 ? "ready"
                                                              : "draining";
                fixture.push_worker("reader-" + std::to_string(push % 3), version,
                                    pushed);
                state = version > newest ? pushed : state;
                newest = std::max(newest, version);
                const serving::upstream* worker = fixture.worker();
                RC_ASSERT((worker == nullptr) == state.empty());
                const bool leaving = worker != nullptr && worker->m_entry.m_leaving;
                RC_ASSERT(leaving == (state == "draining"));
            }
        });
    cr_expect(holds);
}

// A store that lost a write may return an older configuration in a newer row. It must not
// replace the one in force.
Test(store_watch, a_lower_configuration_version_in_a_newer_row_is_ignored)
{
    watch_fixture fixture;
    fixture.push_config("reader-1", 7, 10);
    cr_assert(fixture.m_state.m_routing != nullptr);
    fixture.push_config("reader-1", 6, 12);
    EXPECT_EQUAL(fixture.m_state.m_routing->m_version.m_value, 7U);
    fixture.push_config("reader-1", 8, 13);
    EXPECT_EQUAL(fixture.m_state.m_routing->m_version.m_value, 8U);
}

// Guards against concurrent pulls of the same change. A host with a slow link would
// receive the tables several times if it pulled from each reader that reports the change.
Test(store_watch, a_host_pulls_from_one_reader_at_a_time)
{
    watch_fixture fixture;
    const auto first = fixture.m_watch.next_pull(fixture.report_of("reader-1", 5), false);
    cr_expect(first.has_value());
    cr_expect(not fixture.m_watch.next_pull(fixture.report_of("reader-2", 5), false)
                      .has_value());
    fixture.push_worker("reader-1", 10, "ready");
    cr_expect(
        fixture.m_watch.next_pull(fixture.report_of("reader-2", 5), false).has_value());
}

// A pull for the list of hosts must also request the missing rows, because its answer is
// recorded as containing them. Otherwise a new host becomes ready without any upstream
// and runs the queues of pools, in one case of two pools for the rest of a day.
Test(store_watch, a_pull_for_the_list_of_hosts_requests_all_missing_rows)
{
    watch_fixture fixture;
    const auto pull = fixture.m_watch.next_pull(fixture.report_of("reader", 50), true);
    cr_assert(pull.has_value());
    cr_expect(pull->m_wants_hosts);
    EXPECT_EQUAL(pull->m_after, 0U);
    EXPECT_EQUAL(pull->m_registry_version, store_version{});
    // No second pull starts meanwhile, not even one for the list of hosts.
    cr_expect(not fixture.m_watch.next_pull(fixture.report_of("reader-2", 50), true)
                      .has_value());
}

// Guards against a host with outdated rows that spreads them as new changes.
Test(store_watch, a_host_with_data_pulls_only_from_readers)
{
    watch_fixture fixture;
    fixture.push_worker("reader-1", 10, "ready");
    fixture.push_config("reader-1", 1, 10);
    host_report stale = fixture.report_of("host-3", 50);
    stale.m_store_access = store_access::unused;
    cr_expect(not fixture.m_watch.next_pull(stale, false).has_value());
    cr_expect(
        fixture.m_watch.next_pull(fixture.report_of("reader-2", 50), false).has_value());
}

// Guards against slow starts: if the three readers send a large configuration
// uncompressed, hosts that start together wait a second for it.
Test(store_watch, a_large_configuration_is_sent_compressed_and_arrives_intact)
{
    watch_fixture reader;
    state_push read;
    read.m_changes = 1;
    read.m_intent.m_version = store_version{10};
    std::string large = configuration_row(3);
    large.insert(1, R"("comment":")" + std::string(50'000, 'x') + R"(",)");
    read.m_intent.m_rows.push_back({"config", large, {10}, false, false});
    reader.m_watch.apply_push(node_id{"store"}, incarnation{1}, read);
    state_push sent = reader.m_watch.push_for({}, 0);
    cr_assert(sent.m_intent.m_rows.size() == 1);
    cr_expect(sent.m_intent.m_rows[0].m_value.size() < 5'000);
    watch_fixture puller;
    puller.m_watch.apply_push(node_id{"reader"}, incarnation{1}, sent);
    cr_assert(puller.m_state.m_routing != nullptr);
    EXPECT_EQUAL(puller.m_state.m_routing->m_version.m_value, 3U);
    // A push with damaged bytes is discarded, and the host pulls again.
    watch_fixture other;
    sent.m_intent.m_rows[0].m_value.resize(10);
    other.m_watch.apply_push(node_id{"reader"}, incarnation{1}, sent);
    cr_expect(other.m_state.m_routing == nullptr);
    const auto pull =
        other.m_watch.next_pull(other.report_of("reader", sent.m_changes), false);
    cr_assert(pull.has_value());
    EXPECT_EQUAL(pull->m_intent_version, store_version{});
}

Test(store_watch, a_push_contains_the_rows_that_the_puller_lacks)
{
    watch_fixture fixture;
    fixture.push_worker("reader-1", 10, "ready");
    fixture.push_config("reader-1", 1, 10);
    const state_push all = fixture.m_watch.push_for({0, {}, {}, {}, false, 0}, 0);
    EXPECT_EQUAL(all.m_intent.m_rows.size(), 1U);
    EXPECT_EQUAL(all.m_registry.m_rows.size(), 1U);
    const state_push none =
        fixture.m_watch.push_for({all.m_changes, {}, {10}, {10}, false, 0}, 0);
    cr_expect(none.m_intent.m_rows.empty());
    cr_expect(none.m_registry.m_rows.empty());
}

// Guards against a start of a large fleet in which every host pulls whole tables from the
// first one that has them, times out and pulls again elsewhere: at 300 hosts and 3,000
// upstreams no host served within 30 s after all had been killed.
Test(store_watch, a_large_registry_is_compressed_once_and_arrives_with_later_changes)
{
    watch_fixture reader;
    state_push read;
    read.m_changes = 1;
    read.m_registry.m_version = store_version{10};
    for (int at = 0; at < 3000; ++at)
    {
        read.m_registry.m_rows.push_back(
            {"w" + std::to_string(at), registry_row("ready"), {10}, false, false});
    }
    reader.m_watch.apply_push(node_id{"store"}, incarnation{1}, std::move(read));
    const state_push first = reader.m_watch.push_for({}, 0);
    cr_expect(first.m_registry.m_rows.empty());
    cr_expect(first.m_registry.m_packed_rows.size() < 60'000);

    reader.m_changes = 10'000;
    reader.push_worker("store", 12, "draining");
    const state_push second = reader.m_watch.push_for({}, 0);
    EXPECT_EQUAL(second.m_registry.m_rows.size(), 1U);
    EXPECT_EQUAL(second.m_registry.m_packed_rows, first.m_registry.m_packed_rows);
    watch_fixture puller;
    puller.m_watch.apply_push(node_id{"reader"}, incarnation{1}, second);
    EXPECT_EQUAL(puller.m_state.m_upstreams.m_rows.size(), 3000U);
    cr_expect(puller.worker()->m_entry.m_leaving);

    // Damaged rows are discarded, and the host pulls again.
    watch_fixture other;
    state_push damaged = second;
    damaged.m_registry.m_packed_rows.resize(100);
    other.m_watch.apply_push(node_id{"reader"}, incarnation{1}, damaged);
    EXPECT_EQUAL(other.m_state.m_upstreams.m_rows.size(), 0U);
}

Test(store_watch, a_host_with_a_full_link_declines_pulls_of_whole_tables)
{
    constexpr std::size_t full_link_bytes = std::size_t{8} * 1024 * 1024;
    watch_fixture reader;
    reader.push_worker("store", 10, "ready");
    cr_expect(reader.m_watch.push_for({}, full_link_bytes).m_busy);
    cr_expect(
        not reader.m_watch.push_for({1, {}, {}, {9}, false, 0}, full_link_bytes).m_busy,
        "changes are small");

    // The puller does not take it for an answer, and asks another host at once.
    watch_fixture puller;
    cr_assert(puller.m_watch.next_pull(puller.report_of("reader", 5), false).has_value());
    state_push busy;
    busy.m_busy = true;
    puller.m_watch.apply_push(node_id{"reader"}, incarnation{1}, busy);
    cr_expect(
        not puller.m_watch.next_pull(puller.report_of("reader", 5), false).has_value());
    const auto next = puller.m_watch.next_pull(puller.report_of("other", 5), false);
    cr_assert(next.has_value());
    EXPECT_EQUAL(next->m_after, 0U);
}

// Guards against a host that waits for one reader for ever: the reader's reports arrive
// and the pulls do not, and its report is the first one after each timeout.
Test(store_watch, a_reader_that_does_not_answer_is_passed_over)
{
    watch_fixture fixture;
    fixture.push_worker("reader-1", 10, "ready");
    fixture.push_config("reader-1", 1, 10);
    cr_assert(fixture.m_watch.next_pull(fixture.report_of("reader-1", 50), false));
    std::this_thread::sleep_for(600ms);
    cr_expect(not fixture.m_watch.next_pull(fixture.report_of("reader-1", 50), false));
    cr_expect(
        fixture.m_watch.next_pull(fixture.report_of("reader-2", 50), false).has_value());
}

Test(store_watch, a_lost_connection_ends_the_wait_for_an_answer)
{
    watch_fixture fixture;
    cr_assert(
        fixture.m_watch.next_pull(fixture.report_of("first", 5), false).has_value());
    cr_expect(
        not fixture.m_watch.next_pull(fixture.report_of("second", 5), false).has_value());
    fixture.m_watch.on_peer_lost(node_id{"third"});
    cr_expect(
        not fixture.m_watch.next_pull(fixture.report_of("second", 5), false).has_value());
    fixture.m_watch.on_peer_lost(node_id{"first"});
    cr_expect(
        fixture.m_watch.next_pull(fixture.report_of("second", 5), false).has_value());
}

// Guards against a new configuration that waits for a paused reader, and against a host
// without data that pulls whole tables twice at the moment at which all hosts pull.
Test(store_watch, another_reader_is_asked_soon_by_a_host_that_has_data)
{
    watch_fixture fresh;
    watch_fixture fixture;
    fixture.push_worker("reader-1", 10, "ready");
    fixture.push_config("reader-1", 1, 10);
    for (watch_fixture* host : {&fresh, &fixture})
    {
        cr_assert(host->m_watch.next_pull(host->report_of("reader-1", 50), false));
    }
    std::this_thread::sleep_for(700ms);
    cr_expect(
        fixture.m_watch.next_pull(fixture.report_of("reader-2", 50), false).has_value());
    cr_expect(
        not fresh.m_watch.next_pull(fresh.report_of("reader-2", 50), false).has_value());
}
