#include <geraniumdoor/serving/attempt_rules.hpp>
#include <geraniumdoor/serving/retry_allowance.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr std::vector<attempt_end>::size_type end_count = 9;

attempt_end end_at(std::size_t at)
{
    return static_cast<attempt_end>(at % end_count);
}

bool ran(attempt_end end)
{
    return end != attempt_end::not_sent && end != attempt_end::declined &&
           end != attempt_end::input_gone && end != attempt_end::wrong_upstream;
}

bool sends_again(next_step step)
{
    return step == next_step::try_other || step == next_step::resume_other ||
           step == next_step::prepare_again;
}

attempt_state sample_state(repeatability repeat)
{
    attempt_state state;
    state.m_repeat = repeat;
    state.m_max_upstreams = 2;
    state.m_budget = true;
    state.m_time = true;
    return state;
}

} // namespace

// Guards against a payment that runs twice, a refusal of a request that has run, and
// streams that are joined or look whole when they are not.
TestSuite(attempt_rules);

Test(attempt_rules, a_payment_whose_answer_broke_is_not_sent_again)
{
    attempt_state state = sample_state(repeatability::once);
    state.m_ran = 1;
    EXPECT_EQUAL(after_attempt(attempt_end::broken, state), next_step::fail);
    EXPECT_EQUAL(after_attempt(attempt_end::unusable, state), next_step::fail);
}

Test(attempt_rules, a_payment_that_was_declined_goes_to_another_upstream)
{
    attempt_state state = sample_state(repeatability::once);
    state.m_not_run = 1;
    EXPECT_EQUAL(after_attempt(attempt_end::declined, state), next_step::try_other);
    state.m_budget = false;
    EXPECT_EQUAL(after_attempt(attempt_end::declined, state), next_step::refuse);
}

Test(attempt_rules, a_declined_second_attempt_is_no_proof_for_the_first)
{
    attempt_state state = sample_state(repeatability::idempotent);
    state.m_ran = 1;
    state.m_time = false;
    EXPECT_EQUAL(after_attempt(attempt_end::declined, state), next_step::fail);
}

Test(attempt_rules, a_stream_that_broke_is_resumed_only_where_that_is_allowed)
{
    attempt_state state = sample_state(repeatability::stream_resumable);
    state.m_ran = 1;
    state.m_begun = true;
    EXPECT_EQUAL(after_attempt(attempt_end::broken_stream, state),
                 next_step::resume_other);
    state.m_repeat = repeatability::stream_once;
    EXPECT_EQUAL(after_attempt(attempt_end::broken_stream, state), next_step::cut_off);
}

Test(attempt_rules, a_failure_of_the_upstream_is_handed_on_when_nothing_else_is_left)
{
    attempt_state state = sample_state(repeatability::idempotent);
    state.m_ran = 2;
    EXPECT_EQUAL(after_attempt(attempt_end::answered_with_fault, state),
                 next_step::deliver);
}

// Any sequence of ends of attempts.
Test(attempt_rules, no_sequence_runs_a_request_twice_or_refuses_one_that_ran)
{
    const bool holds = rc::check(
        [](std::uint8_t kind, const std::vector<std::uint8_t>& ends, bool budget)
        {
            attempt_state state = sample_state(static_cast<repeatability>(kind % 4));
            state.m_budget = budget;
            for (const std::uint8_t at : ends)
            {
                const attempt_end end = end_at(at);
                state.m_ran += ran(end) ? 1 : 0;
                state.m_not_run += ran(end) ? 0 : 1;
                state.m_begun = state.m_begun || end == attempt_end::broken_stream;
                const next_step step = after_attempt(end, state);
                RC_ASSERT(step != next_step::refuse || state.m_ran == 0);
                RC_ASSERT(step != next_step::refuse || !state.m_begun);
                if (!sends_again(step))
                {
                    return;
                }
                RC_ASSERT(state.m_ran < state.m_max_upstreams || !ran(end));
                RC_ASSERT(is_repeatable(state.m_repeat) || state.m_ran == 0);
            }
        });
    cr_expect(holds);
}

// Hosts that send at random: the sum of repeats in any window stays inside the bound.
Test(attempt_rules, the_hosts_together_stay_inside_the_retry_bound)
{
    const bool holds = rc::check(
        [](const std::vector<std::uint8_t>& sends)
        {
            constexpr std::size_t hosts = 7;
            const pool_id pool{"p"};
            std::vector<retry_allowance> allowances(hosts);
            std::vector<std::pair<time_point, bool>> arrivals;
            time_point now{100s};
            for (const std::uint8_t send : sends)
            {
                now += milliseconds{send * 8};
                retry_allowance& own = allowances[send % hosts];
                note_first_send(own, pool, now);
                arrivals.emplace_back(now, true);
                while (may_repeat(own, pool, hosts, now))
                {
                    note_repeat(own, pool, now);
                    arrivals.emplace_back(now, false);
                }
            }
            const retry_bound bound;
            for (const auto& [end, first] : arrivals)
            {
                const auto count = [&, last = end](bool wanted)
                {
                    return std::count_if(arrivals.begin(), arrivals.end(),
                                         [&](const auto& arrival)
                                         {
                                             return arrival.second == wanted &&
                                                    arrival.first <= last &&
                                                    arrival.first > last - bound.m_window;
                                         });
                };
                const double allowed =
                    bound.m_ratio * static_cast<double>(count(true)) + bound.m_slack;
                RC_ASSERT(static_cast<double>(count(false)) <= allowed);
            }
        });
    cr_expect(holds);
}
