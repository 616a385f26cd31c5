#include <geraniumdoor/serving/rollouts.hpp>

#include <algorithm>
#include <chrono>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};

rollout_order order_for(const std::string& version, std::uint64_t row,
                        std::uint64_t era = 1)
{
    return {pool_id{"engine"}, software_version{version}, 10s,
            make_store_version({era}, row)};
}

/// A pool with two upstreams of each version.
struct rollout_story
{
    explicit rollout_story(const std::vector<std::string>& versions)
    {
        for (const std::string& version : versions)
        {
            add_version(version, start);
        }
    }

    void add_version(const std::string& version, time_point at)
    {
        for (const char* number : {"0", "1"})
        {
            upstream_entry entry;
            entry.m_id.m_value = version + number;
            entry.m_pool.m_value = "engine";
            entry.m_version.m_value = version;
            apply_entry(m_upstreams, entry, at);
        }
    }

    void order(const rollout_order& given, bool is_new, time_point at)
    {
        apply_order(m_table, given, is_new, at);
        apply(at);
    }

    void apply(time_point at)
    {
        apply_rollouts(m_table, m_upstreams, m_limits, true, at);
    }

    rollout& entry()
    {
        return m_table.m_orders.at(pool_id{"engine"});
    }

    upstream_use use_of(const std::string& version)
    {
        return m_upstreams.m_rows.find(upstream_id{version + "0"})->m_use;
    }

    rollout_limits m_limits;
    rollout_table m_table;
    upstream_table m_upstreams;
};

rollout_report report_of(const rollout_story& story, const std::string& node,
                         rollout_phase phase, std::uint32_t sequence)
{
    rollout_report report;
    report.m_node.m_value = node;
    report.m_sequence = sequence;
    const rollout_order& order = story.m_table.m_orders.at(pool_id{"engine"}).m_order;
    report.m_pool = order.m_pool.m_value;
    report.m_version = order.m_version.m_value;
    report.m_order = order.m_id.m_value;
    report.m_phase = static_cast<std::uint8_t>(phase);
    return report;
}

} // namespace

TestSuite(rollouts);

// Guards against requests to a version of which a host that starts knows nothing.
Test(rollouts, a_host_that_starts_waits_until_it_is_told_the_phase)
{
    rollout_story story{{"v1", "v2"}};
    story.order(order_for("v2", 5), false, start);
    cr_expect(story.use_of("v1") == upstream_use::any);
    cr_expect(story.use_of("v2") == upstream_use::closed);

    apply_rollout_report(story.m_table, report_of(story, "h2", rollout_phase::trial, 1),
                         start);
    story.apply(start);
    cr_expect(story.use_of("v2") == upstream_use::trial);
}

// Guards against reports that undo what a later one has told.
Test(rollouts, reports_may_come_late_twice_and_from_another_order)
{
    rollout_story story{{"v1", "v2"}};
    story.order(order_for("v2", 5), true, start);
    rollout_report late = report_of(story, "h2", rollout_phase::trial, 1);
    late.m_counts.push_back({7, 1, 10, 0, 0});
    rollout_report newer = report_of(story, "h2", rollout_phase::first_step, 2);
    newer.m_counts.push_back({7, 1, 20, 0, 0});
    for (const rollout_report& report : {newer, late, newer})
    {
        apply_rollout_report(story.m_table, report, start);
    }
    cr_expect(story.entry().m_phase == rollout_phase::first_step);
    EXPECT_EQUAL(count_new_version(sum_counts(story.entry())).m_answers, 20U);

    rollout_report other = report_of(story, "h3", rollout_phase::done, 1);
    other.m_order = make_store_version({1}, 4).m_value;
    apply_rollout_report(story.m_table, other, start);
    cr_expect(story.entry().m_phase == rollout_phase::first_step);

    // The same order, as a store that came back from an older copy numbers it.
    other.m_order = make_store_version({2}, 3).m_value;
    apply_rollout_report(story.m_table, other, start);
    cr_expect(story.entry().m_phase == rollout_phase::done);
}

// Guards against a bad version that gets requests once more when the next one is tried.
Test(rollouts, a_version_that_was_not_proven_stays_closed_during_the_next_order)
{
    rollout_story story{{"v1", "v2", "v3"}};
    story.order(order_for("v2", 5), true, start);
    story.order(order_for("v3", 6), true, start + 1s);
    cr_expect(story.use_of("v1") == upstream_use::any);
    cr_expect(story.use_of("v2") == upstream_use::closed);
    cr_expect(story.use_of("v3") == upstream_use::trial);

    // The operator tries the version again.
    story.order(order_for("v2", 7), true, start + 2s);
    cr_expect(story.use_of("v2") == upstream_use::trial);
    cr_expect(story.use_of("v3") == upstream_use::closed);
}

Test(rollouts, an_order_that_is_taken_back_closes_its_version)
{
    rollout_story story{{"v1", "v2"}};
    story.order(order_for("v2", 5), true, start);
    withdraw_order(story.m_table, pool_id{"engine"}, start + 1s);
    story.apply(start + 1s);
    cr_expect(story.use_of("v2") == upstream_use::closed);

    // With no other version left, it is better than none.
    for (const char* id : {"v10", "v11"})
    {
        story.m_upstreams.m_rows.erase(upstream_id{id});
    }
    story.apply(start + 2s);
    cr_expect(story.use_of("v2") == upstream_use::any);
}

// Guards against a service without upstreams when the ordered version is the one in use.
Test(rollouts, an_order_for_the_version_in_force_is_done_at_once)
{
    rollout_story story{{"v1"}};
    story.order(order_for("v1", 5), true, start);
    rollout_view view;
    view.m_is_connected = true;
    view.m_upstreams = 2;
    cr_expect(advance(story.entry(), view, start + 100ms));
    cr_expect(story.entry().m_phase == rollout_phase::moved);
    cr_expect(may_finish(story.entry(), view, {}, start + 100ms));
}

// Guards against upstreams that stop while requests run at them.
Test(rollouts, an_order_is_finished_when_no_host_has_anything_at_the_earlier_version)
{
    rollout_story story{{"v1", "v2"}};
    story.order(order_for("v2", 5), true, start);
    enter_phase(story.entry(), rollout_phase::moved, "test", start + 5s);
    story.apply(start + 5s);
    cr_expect(story.use_of("v1") == upstream_use::begun_streams);
    const std::vector<std::pair<node_id, incarnation>> others{{node_id{"h2"}, {}}};
    rollout_view view;
    view.m_is_connected = true;
    cr_expect(not may_finish(story.entry(), view, others, start + 6s));

    rollout_report report = report_of(story, "h2", rollout_phase::moved, 1);
    report.m_in_progress_elsewhere = 1;
    apply_rollout_report(story.m_table, report, start + 6s);
    cr_expect(not may_finish(story.entry(), view, others, start + 20s));
    report.m_sequence = 2;
    report.m_in_progress_elsewhere = 0;
    apply_rollout_report(story.m_table, report, start + 6s);
    cr_expect(may_finish(story.entry(), view, others, start + 6s));

    // A host that is silent is waited for until the deadline.
    const std::vector<std::pair<node_id, incarnation>> silent{{node_id{"h3"}, {}}};
    cr_expect(not may_finish(story.entry(), view, silent, start + 9900ms));
    cr_expect(may_finish(story.entry(), view, silent, start + 10s));

    enter_phase(story.entry(), rollout_phase::done, "test", start + 10s);
    story.apply(start + 10s);
    cr_expect(story.use_of("v1") == upstream_use::closed);
}

// Guards against traffic for a version whose order is on its way.
Test(rollouts, a_version_that_appears_is_held_back_where_operators_bound_the_exposure)
{
    rollout_story story{{"v1"}};
    story.m_limits.m_holds_new_versions = true;
    story.apply(start);
    story.add_version("v2", start + 10s);
    story.apply(start + 10s);
    cr_expect(story.use_of("v2") == upstream_use::begun_streams);
    story.apply(start + 12s);
    cr_expect(story.use_of("v2") == upstream_use::any);
}

// Guards against a version that is judged by one of its upstreams.
Test(rollouts, one_bad_group_of_upstreams_does_not_make_a_version_bad)
{
    answer_counts counts{
        {{1, 0}, {400, 4, 0}}, {{1, 1}, {20, 12, 0}}, {{1, 2}, {20, 0, 0}}};
    cr_expect(not is_bad_version(counts));
    counts[{1, 2}].m_faults = 8;
    cr_expect(is_bad_version(counts));
}
