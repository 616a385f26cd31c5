#include <geraniumdoor/serving/attempt_rules.hpp>
#include <geraniumdoor/serving/retry_budget.hpp>

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

constexpr std::vector<attempt_outcome>::size_type end_count = 9;

attempt_outcome end_at(std::size_t at)
{
    return static_cast<attempt_outcome>(at % end_count);
}

bool ran(attempt_outcome end)
{
    return end != attempt_outcome::not_sent && end != attempt_outcome::declined &&
           end != attempt_outcome::input_gone && end != attempt_outcome::wrong_upstream;
}

bool sends_again(next_step step)
{
    return step == next_step::try_other || step == next_step::resume_other ||
           step == next_step::prepare_again;
}

retry_state sample_state(retry_safety repeat)
{
    retry_state state;
    state.m_retry_safety = repeat;
    state.m_max_upstreams = 2;
    state.m_has_budget = true;
    state.m_has_time = true;
    return state;
}

} // namespace

// Guards against a payment that runs twice, a refusal of a request that has run, and
// streams that are joined or look whole when they are not.
TestSuite(attempt_rules);

Test(attempt_rules, a_payment_whose_answer_broke_is_not_sent_again)
{
    retry_state state = sample_state(retry_safety::at_most_once);
    state.m_possible_runs = 1;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::broken, state), next_step::fail);
    EXPECT_EQUAL(decide_next_step(attempt_outcome::unusable, state), next_step::fail);
}

Test(attempt_rules, a_payment_that_was_declined_goes_to_another_upstream)
{
    retry_state state = sample_state(retry_safety::at_most_once);
    state.m_not_run_attempts = 1;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::declined, state),
                 next_step::try_other);
    state.m_has_budget = false;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::declined, state), next_step::refuse);
}

Test(attempt_rules, a_declined_second_attempt_is_no_proof_for_the_first)
{
    retry_state state = sample_state(retry_safety::idempotent);
    state.m_possible_runs = 1;
    state.m_has_time = false;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::declined, state), next_step::fail);
}

Test(attempt_rules, a_stream_that_broke_is_resumed_only_where_that_is_allowed)
{
    retry_state state = sample_state(retry_safety::stream_resumable);
    state.m_possible_runs = 1;
    state.m_response_begun = true;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::broken_stream, state),
                 next_step::resume_other);
    state.m_retry_safety = retry_safety::stream_at_most_once;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::broken_stream, state),
                 next_step::cut_off);
}

Test(attempt_rules, a_failure_of_the_upstream_is_handed_on_when_nothing_else_is_left)
{
    retry_state state = sample_state(retry_safety::idempotent);
    state.m_possible_runs = 2;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::answered_with_fault, state),
                 next_step::deliver);
}

// Any sequence of ends of attempts.
Test(attempt_rules, no_sequence_runs_a_request_twice_or_refuses_one_that_ran)
{
    const bool holds = rc::check(
        [](std::uint8_t kind, const std::vector<std::uint8_t>& ends, bool budget)
        {
            retry_state state = sample_state(static_cast<retry_safety>(kind % 4));
            state.m_has_budget = budget;
            for (const std::uint8_t at : ends)
            {
                const attempt_outcome end = end_at(at);
                state.m_possible_runs += ran(end) ? 1 : 0;
                state.m_not_run_attempts += ran(end) ? 0 : 1;
                state.m_response_begun =
                    state.m_response_begun || end == attempt_outcome::broken_stream;
                const next_step step = decide_next_step(end, state);
                RC_ASSERT(step != next_step::refuse || state.m_possible_runs == 0);
                RC_ASSERT(step != next_step::refuse || !state.m_response_begun);
                if (!sends_again(step))
                {
                    return;
                }
                RC_ASSERT(state.m_possible_runs < state.m_max_upstreams || !ran(end));
                RC_ASSERT(is_retryable(state.m_retry_safety) ||
                          state.m_possible_runs == 0);
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
            std::vector<retry_budget> allowances(hosts);
            std::vector<std::pair<time_point, bool>> arrivals;
            time_point now{100s};
            for (const std::uint8_t send : sends)
            {
                now += milliseconds{send * 8};
                retry_budget& own = allowances[send % hosts];
                record_first_attempt(own, pool, now);
                arrivals.emplace_back(now, true);
                while (may_retry(own, pool, hosts, now))
                {
                    record_retry(own, pool, now);
                    arrivals.emplace_back(now, false);
                }
            }
            const retry_limits bound;
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
