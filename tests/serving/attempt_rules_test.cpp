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

constexpr std::vector<attempt_outcome>::size_type outcome_count = 10;

attempt_outcome outcome_at(std::size_t index)
{
    return static_cast<attempt_outcome>(index % outcome_count);
}

bool may_have_run(attempt_outcome outcome)
{
    return outcome != attempt_outcome::not_sent && outcome != attempt_outcome::declined &&
           outcome != attempt_outcome::input_gone &&
           outcome != attempt_outcome::wrong_upstream;
}

bool is_retried(next_step step)
{
    return step == next_step::try_other || step == next_step::resume_other ||
           step == next_step::prepare_again;
}

retry_state sample_state(retry_safety safety)
{
    retry_state state;
    state.m_retry_safety = safety;
    state.m_max_upstreams = 2;
    state.m_has_budget = true;
    state.m_has_time = true;
    return state;
}

} // namespace

// Guards against an at-most-once request (such as a payment) that runs twice, a request
// that has run but is reported as not run, and streams that are resumed although they
// must not be or that look complete when they are not.
TestSuite(attempt_rules);

Test(attempt_rules, a_request_that_may_have_crashed_its_upstreams_is_not_sent_again)
{
    retry_state state = sample_state(retry_safety::stream_resumable);
    state.m_possible_runs = 1;
    cr_expect(is_retried(decide_next_step(attempt_outcome::broken, state)));
    state.m_may_crash_upstreams = true;
    cr_expect(not is_retried(decide_next_step(attempt_outcome::broken, state)));
    state.m_stream_begun = true;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::broken_stream, state),
                 next_step::cut_off);
}

Test(attempt_rules,
     an_at_most_once_request_is_not_sent_again_after_its_response_broke_off)
{
    retry_state state = sample_state(retry_safety::at_most_once);
    state.m_possible_runs = 1;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::broken, state), next_step::fail);
    EXPECT_EQUAL(decide_next_step(attempt_outcome::unusable, state), next_step::fail);
}

Test(attempt_rules, an_at_most_once_request_that_was_declined_goes_to_another_upstream)
{
    retry_state state = sample_state(retry_safety::at_most_once);
    state.m_not_run_attempts = 1;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::declined, state),
                 next_step::try_other);
    state.m_has_budget = false;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::declined, state), next_step::refuse);
}

Test(attempt_rules, a_declined_second_attempt_does_not_prove_that_the_first_did_not_run)
{
    retry_state state = sample_state(retry_safety::idempotent);
    state.m_possible_runs = 1;
    state.m_has_time = false;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::declined, state), next_step::fail);
}

Test(attempt_rules, a_broken_stream_is_resumed_only_if_the_route_allows_it)
{
    retry_state state = sample_state(retry_safety::stream_resumable);
    state.m_possible_runs = 1;
    state.m_stream_begun = true;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::broken_stream, state),
                 next_step::resume_other);
    state.m_retry_safety = retry_safety::stream_at_most_once;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::broken_stream, state),
                 next_step::cut_off);
}

Test(attempt_rules, a_failure_of_the_upstream_is_forwarded_when_no_retry_is_left)
{
    retry_state state = sample_state(retry_safety::idempotent);
    state.m_possible_runs = 2;
    EXPECT_EQUAL(decide_next_step(attempt_outcome::answered_with_fault, state),
                 next_step::deliver);
}

// Guards against a caller that repeats a payment which has run: the status of the
// upstream told it that nothing had.
Test(attempt_rules, a_refusal_without_proof_is_neither_forwarded_nor_taken_for_not_run)
{
    for (const auto safety :
         {retry_safety::idempotent, retry_safety::stream_resumable,
          retry_safety::stream_at_most_once, retry_safety::at_most_once})
    {
        retry_state state = sample_state(safety);
        state.m_possible_runs = 1;
        EXPECT_EQUAL(decide_next_step(attempt_outcome::unproven_refusal, state),
                     is_retryable(safety) ? next_step::try_other : next_step::fail);
        state.m_possible_runs = state.m_max_upstreams;
        EXPECT_EQUAL(decide_next_step(attempt_outcome::unproven_refusal, state),
                     next_step::fail);
        state.m_stream_begun = true;
        EXPECT_EQUAL(decide_next_step(attempt_outcome::unproven_refusal, state),
                     next_step::cut_off);
    }
}

// Property: a retryable request runs at most m_max_upstreams times, any other at most
// once.
Test(attempt_rules,
     no_sequence_exceeds_the_allowed_runs_or_refuses_a_request_that_may_have_run)
{
    const bool holds = rc::check(
        [](std::uint8_t safety_index, const std::vector<std::uint8_t>& outcomes,
           bool has_budget)
        {
            retry_state state = sample_state(static_cast<retry_safety>(safety_index % 4));
            state.m_has_budget = has_budget;
            for (const std::uint8_t index : outcomes)
            {
                const attempt_outcome outcome = outcome_at(index);
                state.m_possible_runs += may_have_run(outcome) ? 1 : 0;
                state.m_not_run_attempts += may_have_run(outcome) ? 0 : 1;
                state.m_stream_begun =
                    state.m_stream_begun || outcome == attempt_outcome::broken_stream;
                const next_step step = decide_next_step(outcome, state);
                RC_ASSERT(step != next_step::refuse || state.m_possible_runs == 0);
                RC_ASSERT(step != next_step::refuse || !state.m_stream_begun);
                if (!is_retried(step))
                {
                    return;
                }
                RC_ASSERT(state.m_possible_runs < state.m_max_upstreams ||
                          !may_have_run(outcome));
                RC_ASSERT(is_retryable(state.m_retry_safety) ||
                          state.m_possible_runs == 0);
            }
        });
    cr_expect(holds);
}

// Property: when hosts send at random times, the sum of their retries in any window stays
// within the limits.
Test(attempt_rules, the_hosts_together_stay_within_the_retry_limits)
{
    const bool holds = rc::check(
        [](const std::vector<std::uint8_t>& send_choices)
        {
            constexpr std::size_t hosts = 7;
            const pool_id pool{"p"};
            std::vector<retry_budget> budgets(hosts);
            std::vector<std::pair<time_point, bool>> attempts;
            time_point now{100s};
            for (const std::uint8_t choice : send_choices)
            {
                now += milliseconds{choice * 8};
                retry_budget& budget = budgets[choice % hosts];
                record_first_attempt(budget, pool, now);
                attempts.emplace_back(now, true);
                while (may_retry(budget, pool, hosts, now))
                {
                    record_retry(budget, pool, now);
                    attempts.emplace_back(now, false);
                }
            }
            const retry_limits limits;
            for (const auto& [window_end, is_first_attempt] : attempts)
            {
                const auto count = [&, end = window_end](bool first_attempts)
                {
                    return std::count_if(attempts.begin(), attempts.end(),
                                         [&](const auto& sent)
                                         {
                                             return sent.second == first_attempts &&
                                                    sent.first <= end &&
                                                    sent.first > end - limits.m_window;
                                         });
                };
                const double allowed_retries =
                    limits.m_ratio * static_cast<double>(count(true)) + limits.m_slack;
                RC_ASSERT(static_cast<double>(count(false)) <= allowed_retries);
            }
        });
    cr_expect(holds);
}
