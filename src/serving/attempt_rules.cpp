#include <geraniumdoor/serving/attempt_rules.hpp>

namespace geraniumdoor::serving
{

namespace
{

bool has_not_run(attempt_outcome end)
{
    return end == attempt_outcome::not_sent || end == attempt_outcome::declined ||
           end == attempt_outcome::input_gone || end == attempt_outcome::wrong_upstream;
}

next_step give_up(const retry_state& state)
{
    if (state.m_response_begun)
    {
        return next_step::cut_off;
    }
    return state.m_possible_runs == 0 ? next_step::refuse : next_step::fail;
}

next_step after_not_run(attempt_outcome end, const retry_state& state)
{
    const bool again = state.m_has_time &&
                       state.m_not_run_attempts <= max_not_run_attempts &&
                       (state.m_has_budget || end == attempt_outcome::not_sent);
    if (!again)
    {
        return give_up(state);
    }
    if (end == attempt_outcome::input_gone)
    {
        return next_step::prepare_again;
    }
    return state.m_response_begun ? next_step::resume_other : next_step::try_other;
}

} // namespace

bool is_retryable(retry_safety repeat)
{
    return repeat == retry_safety::idempotent || repeat == retry_safety::stream_resumable;
}

next_step decide_next_step(attempt_outcome end, const retry_state& state)
{
    if (has_not_run(end))
    {
        return after_not_run(end, state);
    }
    if (end == attempt_outcome::answered)
    {
        return next_step::deliver;
    }
    const bool again = is_retryable(state.m_retry_safety) && state.m_has_budget &&
                       state.m_has_time && state.m_possible_runs < state.m_max_upstreams;
    if (again)
    {
        const bool resumes = state.m_response_begun &&
                             state.m_retry_safety == retry_safety::stream_resumable;
        if (resumes)
        {
            return next_step::resume_other;
        }
        if (!state.m_response_begun)
        {
            return next_step::try_other;
        }
    }
    if (end == attempt_outcome::answered_with_fault)
    {
        return next_step::deliver;
    }
    return give_up(state);
}

const char* to_text(attempt_outcome end)
{
    switch (end)
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
