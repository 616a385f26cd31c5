#include "rollout_fleet.hpp"

#include <chrono>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds order_time{14000};
constexpr double usual_load = 160;
constexpr std::uint32_t seeds = 20;

/// An answer that fails with a probability.
replayed_answer fails_with(rollout_fleet& fleet, std::uint32_t percent)
{
    return {fleet.random_below(100) < percent, 1};
}

replayed_answer is_slow_with(rollout_fleet& fleet, std::uint32_t percent)
{
    return {false, fleet.random_below(100) < percent ? 5.0 : 1.0};
}

/// Runs a fleet to the deadline of its order and some seconds more.
void run_order(rollout_fleet& fleet)
{
    fleet.run(order_time + 3s, usual_load);
}

/// Runs an order of each seed whose new version answers in a way, and expects that it is
/// rolled back within the bounds.
void expect_rolled_back(replayed_answer (*answer)(rollout_fleet&,
                                                  const replayed_request&))
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        rollout_fleet fleet{20, order_time, seed};
        fleet.m_answer = [&fleet, answer](const replayed_request& request)
        {
            return request.m_is_new_version ? answer(fleet, request)
                                            : fails_with(fleet, 1);
        };
        run_order(fleet);
        cr_expect(fleet.all_in(rollout_phase::rolled_back), "seed %u", seed);
        cr_expect(fleet.is_exposure_kept(), "seed %u: %f of %f", seed, fleet.m_exposed,
                  fleet.m_served);
        EXPECT_EQUAL(fleet.m_unserved, 0U);
    }
}

/// The same for a version that is sound, in an environment.
void expect_moved(replayed_answer (*answer)(rollout_fleet&, const replayed_request&))
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        rollout_fleet fleet{20, order_time, seed};
        fleet.m_answer = [&fleet, answer](const replayed_request& request)
        {
            return answer(fleet, request);
        };
        fleet.run(order_time - fleet.m_drain_time, usual_load);
        cr_expect(fleet.all_in(rollout_phase::moved), "seed %u", seed);
        EXPECT_EQUAL(fleet.m_unserved, 0U);
    }
}

} // namespace

TestSuite(rollout_replay, .timeout = 200);

// Guards against a bad version that gets more than the operators allow.
Test(rollout_replay, a_version_that_is_bad_at_once_is_rolled_back)
{
    expect_rolled_back(
        [](rollout_fleet& fleet, const replayed_request&)
        {
            return fails_with(fleet, 30);
        });
    expect_rolled_back(
        [](rollout_fleet& fleet, const replayed_request&)
        {
            return is_slow_with(fleet, 30);
        });
}

Test(rollout_replay, a_version_that_turns_bad_later_is_rolled_back)
{
    expect_rolled_back(
        [](rollout_fleet& fleet, const replayed_request& request)
        {
            return fails_with(fleet, request.m_age > 5s ? 30 : 0);
        });
}

Test(rollout_replay, a_version_that_is_bad_under_load_is_rolled_back)
{
    expect_rolled_back(
        [](rollout_fleet& fleet, const replayed_request& request)
        {
            return is_slow_with(fleet, request.m_share > 0.2 ? 60 : 0);
        });
}

Test(rollout_replay, a_version_that_is_bad_on_one_route_is_rolled_back)
{
    expect_rolled_back(
        [](rollout_fleet& fleet, const replayed_request& request)
        {
            return fails_with(fleet, request.m_route == "b" ? 40 : 0);
        });
}

// Guards against a good version that is rolled back for what ails all upstreams, or for
// one upstream in trouble.
Test(rollout_replay, a_good_version_is_moved_to_on_a_grey_day)
{
    expect_moved(
        [](rollout_fleet& fleet, const replayed_request&)
        {
            return fails_with(fleet, 15);
        });
    expect_moved(
        [](rollout_fleet& fleet, const replayed_request& request)
        {
            const bool is_in_trouble =
                request.m_is_new_version && request.m_upstream == 0;
            return fails_with(fleet, is_in_trouble ? 60 : 1);
        });
    // Upstreams that have just started are slow for some seconds.
    expect_moved(
        [](rollout_fleet&, const replayed_request& request)
        {
            const bool is_starting = request.m_is_new_version && request.m_age < 3s;
            return replayed_answer{false, is_starting ? 2.5 : 1};
        });
}

// Guards against hosts that go on with a version which others have found bad.
Test(rollout_replay, hosts_that_come_go_and_are_cut_off_agree)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        rollout_fleet fleet{16, order_time, seed};
        fleet.m_loss_percent = 20;
        bool is_bad = seed % 2 == 0;
        fleet.m_answer = [&fleet, is_bad](const replayed_request& request)
        {
            return fails_with(fleet, is_bad && request.m_is_new_version ? 30 : 1);
        };
        fleet.run(1s, usual_load);
        fleet.m_hosts[0].m_is_up = false;
        fleet.m_hosts[1].m_is_connected = false;
        // A host that starts has seen the order at its start.
        fleet.add_host(false);
        fleet.run(3s, usual_load);
        fleet.m_hosts[1].m_is_connected = true;
        fleet.run(order_time - 4s - fleet.m_drain_time, usual_load);
        const auto phase = is_bad ? rollout_phase::rolled_back : rollout_phase::moved;
        cr_expect(fleet.all_in(phase), "seed %u", seed);
        cr_expect(!is_bad || fleet.is_exposure_kept(), "seed %u", seed);
    }
}

// Guards against requests to a bad version from a host that has lost sight of others.
Test(rollout_replay, a_host_without_others_sends_nothing_to_the_new_version)
{
    rollout_fleet fleet{2, order_time, 1};
    fleet.m_answer = [&fleet](const replayed_request&)
    {
        return fails_with(fleet, 0);
    };
    for (rollout_fleet::host& host : fleet.m_hosts)
    {
        host.m_is_connected = false;
        apply_rollouts(host.m_table, host.m_upstreams, fleet.m_limits, false,
                       fleet.m_now);
    }
    fleet.run(order_time, usual_load);
    EXPECT_EQUAL(fleet.m_exposed, 0);
    EXPECT_EQUAL(fleet.m_unserved, 0U);
    cr_expect(fleet.all_in(rollout_phase::trial));
}

// Guards against a version that nobody has tried and that gets all traffic.
Test(rollout_replay, an_order_that_nobody_can_try_is_rolled_back_at_its_deadline)
{
    rollout_fleet fleet{3, order_time, 1};
    fleet.m_answer = [&fleet](const replayed_request&)
    {
        return fails_with(fleet, 0);
    };
    fleet.run(order_time + 1s, 1);
    cr_expect(fleet.all_in(rollout_phase::rolled_back));
}
