#include <geraniumdoor/serving/attempt_rules.hpp>

namespace geraniumdoor::serving
{

namespace
{

bool has_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_sent || outcome == attempt_outcome::declined ||
           outcome == attempt_outcome::input_gone ||
           outcome == attempt_outcome::wrong_upstream;
}

/// The step when the request is not sent again.
next_step final_step(const retry_state& state)
{
    if (state.m_stream_begun)
    {
        return next_step::cut_off;
    }
    return state.m_possible_runs == 0 ? next_step::refuse : next_step::fail;
}

next_step step_after_not_run(attempt_outcome outcome, const retry_state& state)
{
    const bool can_retry = state.m_has_time &&
                           state.m_not_run_attempts <= max_not_run_attempts &&
                           (state.m_has_budget || outcome == attempt_outcome::not_sent);
    if (!can_retry)
    {
        return final_step(state);
    }
    if (outcome == attempt_outcome::input_gone)
    {
        return next_step::prepare_again;
    }
    return state.m_stream_begun ? next_step::resume_other : next_step::try_other;
}

} // namespace

bool is_retryable(retry_safety safety)
{
    return safety == retry_safety::idempotent || safety == retry_safety::stream_resumable;
}

next_step decide_next_step(attempt_outcome outcome, const retry_state& state)
{
    if (has_not_run(outcome))
    {
        return step_after_not_run(outcome, state);
    }
    if (outcome == attempt_outcome::answered)
    {
        return next_step::deliver;
    }
    const bool can_retry = is_retryable(state.m_retry_safety) && state.m_has_budget &&
                           state.m_has_time && !state.m_may_crash_upstreams &&
                           state.m_possible_runs < state.m_max_upstreams;
    if (can_retry)
    {
        const bool can_resume = state.m_stream_begun &&
                                state.m_retry_safety == retry_safety::stream_resumable;
        if (can_resume)
        {
            return next_step::resume_other;
        }
        if (!state.m_stream_begun)
        {
            return next_step::try_other;
        }
    }
    if (outcome == attempt_outcome::answered_with_fault)
    {
        return next_step::deliver;
    }
    return final_step(state);
}

const char* why_not_again(attempt_outcome outcome, const retry_state& state)
{
    const bool not_run = has_not_run(outcome);
    if (!not_run && !is_retryable(state.m_retry_safety))
    {
        return "not_repeatable";
    }
    if (!state.m_has_time)
    {
        return "no_time_left";
    }
    if (!state.m_has_budget && outcome != attempt_outcome::not_sent)
    {
        return "no_retry_budget";
    }
    if (not_run)
    {
        return state.m_not_run_attempts > max_not_run_attempts ? "attempts_used" : "";
    }
    if (state.m_may_crash_upstreams)
    {
        return "may_crash_upstreams";
    }
    return state.m_possible_runs >= state.m_max_upstreams ? "attempts_used" : "";
}

const char* to_text(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::declined:
        return "declined";
    case attempt_outcome::input_gone:
        return "input_gone";
    case attempt_outcome::wrong_upstream:
        return "wrong_upstream";
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::answered_with_fault:
        return "answered_with_fault";
    case attempt_outcome::unproven_refusal:
        return "unproven_refusal";
    case attempt_outcome::unusable:
        return "unusable";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::broken_stream:
        return "broken_stream";
    }
    return "unknown";
}

const char* to_text(next_step step)
{
    switch (step)
    {
    case next_step::deliver:
        return "deliver";
    case next_step::try_other:
        return "try_other";
    case next_step::resume_other:
        return "resume_other";
    case next_step::prepare_again:
        return "prepare_again";
    case next_step::refuse:
        return "refuse";
    case next_step::fail:
        return "fail";
    case next_step::cut_off:
        return "cut_off";
    }
    return "unknown";
}

} // namespace geraniumdoor::serving
