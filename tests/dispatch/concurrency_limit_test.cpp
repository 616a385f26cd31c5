
#include "testing.hpp"

#include <geraniumdoor/dispatch/concurrency_limit.hpp>

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

constexpr limit_bounds bounds{1, 8};

/// Answers as many calls as the limit allows and applies the raise that follows.
void raise_once(concurrency_limit& limit, time_point& now, random_source& random)
{
    const std::uint32_t calls = limit.m_limit;
    for (std::uint32_t i = 0; i < calls; ++i)
    {
        now += 20ms;
        record_answer(limit, bounds, {10.0, 10.0, now - 10ms}, now, random);
    }
    now += 200ms;
    apply_due_raise(limit, bounds, now);
}

concurrency_limit warm_limit(time_point& now, random_source& random)
{
    concurrency_limit limit = initial_limit(bounds, now);
    for (int raise = 0; raise < 6; ++raise)
    {
        raise_once(limit, now, random);
    }
    return limit;
}

} // namespace

// Guards against a limit that rises before the upstream is warm, or stays high after the
// upstream became cold.
TestSuite(concurrency_limit);

Test(concurrency_limit, grows_by_half_and_at_least_one)
{
    time_point now{1s};
    random_source random{7};
    concurrency_limit limit = initial_limit(bounds, now);
    for (const std::uint32_t expected : {2U, 3U, 4U, 6U, 8U, 8U})
    {
        raise_once(limit, now, random);
        EXPECT_EQUAL(limit.m_limit, expected);
    }
}

Test(concurrency_limit, a_raise_needs_answers_near_the_lowest_average_and_a_delay)
{
    time_point now{1s};
    random_source random{7};
    concurrency_limit limit = initial_limit(bounds, now);
    record_answer(limit, bounds, {40.0, 10.0, now}, now, random);
    cr_expect(not limit.m_raise_at,
              "an answer over twice the lowest average and over 5 ms above it "
              "counted towards a raise");
    record_answer(limit, bounds, {10.0, 10.0, now}, now, random);
    cr_assert(limit.m_raise_at.has_value());
    cr_expect(*limit.m_raise_at <= now + 200ms);
    EXPECT_EQUAL(limit.m_limit, 1U);
}

Test(concurrency_limit,
     lowers_the_limit_to_cold_on_a_restart_two_failures_or_two_slow_answers)
{
    time_point now{1s};
    random_source random{7};
    // A changed incarnation.
    concurrency_limit limit = warm_limit(now, random);
    record_incarnation(limit, bounds, {1}, now);
    EXPECT_EQUAL(limit.m_limit, 8U);
    record_incarnation(limit, bounds, {2}, now);
    EXPECT_EQUAL(limit.m_limit, 1U);
    // Two consecutive failures.
    limit = warm_limit(now, random);
    record_failure(limit, bounds, now, random);
    EXPECT_EQUAL(limit.m_limit, 8U);
    record_failure(limit, bounds, now, random);
    EXPECT_EQUAL(limit.m_limit, 1U);
    // Two consecutive answers that took over three times the average.
    limit = warm_limit(now, random);
    record_answer(limit, bounds, {50.0, 10.0, now}, now, random);
    EXPECT_EQUAL(limit.m_limit, 8U);
    record_answer(limit, bounds, {60.0, 10.0, now}, now, random);
    EXPECT_EQUAL(limit.m_limit, 1U);
}

Test(concurrency_limit, one_overload_lowers_the_limit_to_cold)
{
    time_point now{1s};
    random_source random{7};
    concurrency_limit limit = warm_limit(now, random);
    record_overload(limit, bounds, now);
    EXPECT_EQUAL(limit.m_limit, 1U);
}

Test(concurrency_limit, probes_an_unresponsive_upstream_with_one_call_at_a_time)
{
    time_point now{1s};
    random_source random{7};
    concurrency_limit limit = warm_limit(now, random);
    for (int i = 0; i < 10; ++i)
    {
        record_unresponsive(limit, bounds, now, random);
        cr_expect(limit.m_next_probe <= now + 5s);
        cr_expect(usable_limit(limit, limit.m_next_probe - 1ns) == 0);
        cr_expect(usable_limit(limit, limit.m_next_probe) == 1);
    }
    EXPECT_EQUAL(limit.m_backoff, duration{5s});
}

Test(concurrency_limit, a_new_owner_applies_only_a_report_of_the_known_incarnation)
{
    const time_point now{1s};
    concurrency_limit limit = initial_limit(bounds, now);
    apply_load_report(limit, bounds, {3}, 6, now);
    EXPECT_EQUAL(limit.m_limit, 1U);
    record_incarnation(limit, bounds, {3}, now);
    apply_load_report(limit, bounds, {4}, 6, now);
    EXPECT_EQUAL(limit.m_limit, 1U);
    apply_load_report(limit, bounds, {3}, 6, now);
    EXPECT_EQUAL(limit.m_limit, 6U);
}
