#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/cluster/drain.hpp>

namespace geraniumdoor
{

namespace
{

void enter(drain_state& state, drain_phase phase, time_point now)
{
    log_event{"drain_phase"}
        .add("from", to_text(state.m_phase))
        .add("to", to_text(phase))
        .add("spent_ms", to_ms(now - state.m_since));
    state.m_phase = phase;
    state.m_since = now;
}

bool is_idle(const drain_inputs& inputs)
{
    return inputs.m_active_exchanges == 0 && inputs.m_own_calls == 0 &&
           inputs.m_unsent_records == 0;
}

void step_transfer(drain_state& state, const drain_inputs& inputs, time_point now,
                   drain_actions& actions)
{
    const bool late = now - state.m_since >= state.m_settings.m_transfer_timeout;
    if (!inputs.m_lease_transferred && !late)
    {
        return;
    }
    enter(state, drain_phase::serving_out, now);
    actions.emplace_back(end_keep_alive{});
}

/// A caller may connect with its last moment of the keep time and then has its deadline.
void step_serving(drain_state& state, time_point now, drain_actions& actions)
{
    if (now >= state.m_last_mention + state.m_settings.m_longest_deadline)
    {
        enter(state, drain_phase::finishing, now);
        actions.emplace_back(stop_listening{});
    }
}

void step_finish(drain_state& state, const drain_inputs& inputs, time_point now,
                 drain_actions& actions)
{
    const bool late = now - state.m_since >= state.m_settings.m_finish_timeout;
    if (!is_idle(inputs) && !late)
    {
        return;
    }
    state.m_work_cut_off = !is_idle(inputs);
    state.m_transfer_failed = !inputs.m_lease_transferred;
    enter(state, drain_phase::closed, now);
    actions.emplace_back(end_process{inputs.m_lease_transferred});
}

} // namespace

const char* to_text(drain_phase phase)
{
    switch (phase)
    {
    case drain_phase::running:
        return "running";
    case drain_phase::transferring:
        return "transferring";
    case drain_phase::serving_out:
        return "serving_out";
    case drain_phase::finishing:
        return "finishing";
    case drain_phase::closed:
        return "closed";
    }
    return "unknown";
}

void begin_drain(drain_state& state, time_point now, time_point last_mention,
                 drain_actions& actions)
{
    if (state.m_phase != drain_phase::running)
    {
        return;
    }
    state.m_since = now;
    state.m_last_mention = last_mention;
    enter(state, drain_phase::transferring, now);
    actions.emplace_back(announce_stop{});
    actions.emplace_back(transfer_lease{});
}

void step_drain(drain_state& state, const drain_inputs& inputs, time_point now,
                drain_actions& actions)
{
    if (state.m_phase == drain_phase::transferring)
    {
        step_transfer(state, inputs, now, actions);
    }
    if (state.m_phase == drain_phase::serving_out)
    {
        step_serving(state, now, actions);
    }
    if (state.m_phase == drain_phase::finishing)
    {
        step_finish(state, inputs, now, actions);
    }
}

} // namespace geraniumdoor
