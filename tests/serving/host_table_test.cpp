#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <rapidcheck.h>

#include <map>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point now{1000s};

host_report report_of(const std::string& node, std::uint32_t processor = 250)
{
    host_report report;
    report.m_node.m_value = node;
    report.m_incarnation.m_value = 1;
    report.m_sequence = 1;
    report.m_data_centre.m_value = node.substr(0, 1);
    report.m_caller = {"10.0.0.1", 8000};
    report.m_ready = true;
    report.m_registry_age_ms = 100;
    report.m_interval_ms = 200;
    report.m_processor = processor;
    return report;
}

host_table table_of(const std::vector<std::string>& nodes)
{
    host_table table;
    for (const std::string& node : nodes)
    {
        apply_report(table, report_of(node), now);
    }
    return table;
}

} // namespace

// Guards against two hosts that run the queue of one pool, store readers that are not
// replaced when they fail, and address responses that contain hosts that are down.
TestSuite(host_table);

Test(host_table, all_hosts_agree_on_the_queue_host)
{
    const std::vector<std::string> nodes{"a1", "a2", "b1", "b2", "c1"};
    std::map<std::string, int> queue_hosts;
    for (const std::string& self : nodes)
    {
        std::vector<std::string> others = nodes;
        std::erase(others, self);
        const host_table table = table_of(others);
        const node_id host = queue_host(table, report_of(self), pool_id{"stock"}, now);
        ++queue_hosts[host.m_value];
    }
    EXPECT_EQUAL(queue_hosts.size(), 1U);
}

Test(host_table, a_silent_or_stopping_host_does_not_run_queues)
{
    const std::vector<std::string> others{"a2", "b1", "b2", "c1"};
    host_table table = table_of(others);
    const host_report self = report_of("a1");
    const node_id before = queue_host(table, self, pool_id{"p"}, now);
    host_report stopping = report_of(before.m_value);
    stopping.m_sequence = 2;
    stopping.m_stopping = true;
    if (before != self.m_node)
    {
        apply_report(table, stopping, now);
        cr_expect(queue_host(table, self, pool_id{"p"}, now) != before);
    }
    const node_id alone = queue_host(table, self, pool_id{"p"}, now + 2s);
    EXPECT_EQUAL(alone, self.m_node);
}

// Guards against a host without upstreams that runs the queues of pools.
Test(host_table, a_host_that_is_not_ready_runs_no_queue_if_another_host_can)
{
    host_table table;
    apply_report(table, report_of("a1", 100), now);
    host_report own = report_of("b1", 1000);
    for (int index = 0; index < 20; ++index)
    {
        const pool_id pool{"pool-" + std::to_string(index)};
        own.m_ready = false;
        EXPECT_EQUAL(queue_host(table, own, pool, now).m_value, "a1");
        EXPECT_EQUAL(queue_host({}, own, pool, now).m_value, "b1");
    }
}

Test(host_table, an_older_report_is_ignored)
{
    host_table table;
    host_report newer = report_of("a1");
    newer.m_sequence = 5;
    apply_report(table, newer, now);
    host_report older = report_of("a1");
    older.m_ready = false;
    apply_report(table, older, now + 100ms);
    cr_expect(table.m_hosts.at(node_id{"a1"}).m_report.m_ready);
    host_report restarted = report_of("a1");
    restarted.m_incarnation.m_value = 2;
    cr_expect(apply_report(table, restarted, now + 100ms),
              "a restart counts as a new host");
}

// Guards against queues that move twice when their host restarts: while the queue ran on
// another host, its workers had calls of that host in progress.
Test(host_table, a_queue_stays_on_the_host_that_took_over)
{
    const pool_id pool{"stock"};
    const std::vector<std::string> others{"a2", "b1", "b2", "c1"};
    host_table table = table_of(others);
    const host_report self = report_of("a1");
    const node_id first = queue_host(table, self, pool, now);
    cr_assert(first != self.m_node);

    // The host of the queue is lost, and another one takes over.
    table.m_hosts.erase(first);
    const node_id second = queue_host(table, self, pool, now);
    host_report holder = second == self.m_node ? self : report_of(second.m_value);
    holder.m_sequence = 2;
    holder.m_queues = {id_hash(pool.m_value)};
    const host_report& own = second == self.m_node ? holder : self;
    if (second != self.m_node)
    {
        apply_report(table, holder, now);
    }

    // The first one returns.
    apply_report(table, report_of(first.m_value), now);
    EXPECT_EQUAL(queue_host(table, own, pool, now).m_value, second.m_value);

    // A host of four times the size gets the queue from a small one.
    int moved = 0;
    for (int index = 0; index < 20; ++index)
    {
        host_report large = report_of("l" + std::to_string(index), 1000);
        host_table grown = table;
        apply_report(grown, large, now);
        moved += queue_host(grown, own, pool, now) == large.m_node ? 1 : 0;
    }
    cr_expect(moved > 10);
}

// Guards against a host that counts all others as down because it knows few hosts itself
// and expects reports as often as it sends them.
Test(host_table, a_host_counts_as_down_after_the_time_that_it_has_stated)
{
    host_table table;
    host_report slow = report_of("a1");
    slow.m_interval_ms = 800;
    apply_report(table, slow, now);
    apply_report(table, report_of("a2"), now);
    cr_expect(is_live(table.m_hosts.at(node_id{"a1"}), now + 3100ms));
    cr_expect(not is_live(table.m_hosts.at(node_id{"a1"}), now + 3300ms));
    cr_expect(not is_live(table.m_hosts.at(node_id{"a2"}), now + 900ms));
}

// Guards against a host that nobody hears for as long as its time of day was set back:
// its incarnation is the time of its start.
Test(host_table, a_host_that_restarts_after_its_clock_was_set_back_is_heard_again)
{
    host_table table;
    host_report before = report_of("a1");
    before.m_incarnation.m_value = 5'000'000;
    before.m_sequence = 70;
    apply_report(table, before, now);
    host_report after = report_of("a1");
    after.m_incarnation.m_value = 2'600'000;
    cr_expect(not apply_report(table, after, now + 500ms),
              "a report of an earlier process may arrive late");
    cr_expect(apply_report(table, after, now + 900ms));
    cr_expect(table.m_hosts.at(node_id{"a1"}).m_report.m_incarnation ==
              after.m_incarnation);
}

Test(host_table, most_queues_are_run_by_large_hosts)
{
    host_table table;
    for (int index = 0; index < 54; ++index)
    {
        apply_report(table, report_of("s" + std::to_string(index), 120), now);
    }
    for (int index = 0; index < 10; ++index)
    {
        apply_report(table, report_of("l" + std::to_string(index), 500), now);
    }
    int large = 0;
    for (int index = 0; index < 100; ++index)
    {
        const node_id host = queue_host(table, report_of("s99", 120),
                                        {"pool" + std::to_string(index)}, now);
        large += host.m_value.front() == 'l' ? 1 : 0;
    }
    cr_expect(large > 80);
}

Test(host_table, an_address_response_lists_local_hosts_first_and_no_dead_ones)
{
    host_table table = table_of({"a2", "a3", "b1"});
    host_report gone = report_of("a4");
    apply_report(table, gone, now - 5s);
    const auto near =
        caller_addresses(table, report_of("a1"), data_centre_id{"a"}, 3, now);
    EXPECT_EQUAL(near.size(), 3U);
    const auto far =
        caller_addresses(table, report_of("a1"), data_centre_id{"b"}, 3, now);
    EXPECT_EQUAL(far.size(), 3U);
}

// Guards against partitioned hosts that each use the whole rate limit of a cold upstream.
Test(host_table, partitioned_hosts_together_keep_the_rate_limit_of_a_cold_upstream)
{
    constexpr std::size_t hosts = 9;
    constexpr double rate_limit = 14.45;
    const auto holds = rc::check(
        [&](std::uint32_t seed)
        {
            random_source random{seed};
            double sum = 0;
            for (std::size_t self = 0; self < hosts; ++self)
            {
                // All hosts heard from each other within the last minute; many have been
                // silent since.
                host_table table;
                for (std::size_t other = 0; other < hosts; ++other)
                {
                    if (other != self)
                    {
                        const seconds silence{uniform_below(random, 59)};
                        apply_report(table, report_of("h" + std::to_string(other)),
                                     now - silence);
                    }
                }
                sum += cold_quota(rate_limit, count_possible_senders(table, now), self);
            }
            RC_ASSERT(sum <= rate_limit);
        });
    cr_expect(holds);
}
