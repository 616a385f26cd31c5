#include <geraniumdoor/serving/attempt_rules.hpp>

namespace geraniumdoor::serving
{

namespace
{

bool has_not_run(attempt_end end)
{
    return end == attempt_end::not_sent || end == attempt_end::declined ||
           end == attempt_end::input_gone || end == attempt_end::wrong_upstream;
}

next_step give_up(const attempt_state& state)
{
    if (state.m_begun)
    {
        return next_step::cut_off;
    }
    return state.m_ran == 0 ? next_step::refuse : next_step::fail;
}

next_step after_not_run(attempt_end end, const attempt_state& state)
{
    const bool again = state.m_time && state.m_not_run <= most_not_run &&
                       (state.m_budget || end == attempt_end::not_sent);
    if (!again)
    {
        return give_up(state);
    }
    if (end == attempt_end::input_gone)
    {
        return next_step::prepare_again;
    }
    return state.m_begun ? next_step::resume_other : next_step::try_other;
}

} // namespace

bool is_repeatable(repeatability repeat)
{
    return repeat == repeatability::idempotent ||
           repeat == repeatability::stream_resumable;
}

next_step after_attempt(attempt_end end, const attempt_state& state)
{
    if (has_not_run(end))
    {
        return after_not_run(end, state);
    }
    if (end == attempt_end::answered)
    {
        return next_step::deliver;
    }
    const bool again = is_repeatable(state.m_repeat) && state.m_budget && state.m_time &&
                       state.m_ran < state.m_max_upstreams;
    if (again)
    {
        const bool resumes =
            state.m_begun && state.m_repeat == repeatability::stream_resumable;
        if (resumes)
        {
            return next_step::resume_other;
        }
        if (!state.m_begun)
        {
            return next_step::try_other;
        }
    }
    if (end == attempt_end::answered_with_fault)
    {
        return next_step::deliver;
    }
    return give_up(state);
}

const char* to_text(attempt_end end)
{
    switch (end)
    {
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::declined:
        return "declined";
    case attempt_end::input_gone:
        return "input_gone";
    case attempt_end::wrong_upstream:
        return "wrong_upstream";
    case attempt_end::answered:
        return "answered";
    case attempt_end::answered_with_fault:
        return "answered_with_fault";
    case attempt_end::unusable:
        return "unusable";
    case attempt_end::broken:
        return "broken";
    case attempt_end::broken_stream:
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
