#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace geraniumdoor
{

namespace
{

/// Time for the last results and leave messages to reach other hosts. A socket that is
/// closed with unread input resets the connection and loses what it has not delivered.
constexpr milliseconds flush_time{300};

} // namespace

void entry_node::begin_stop(std::function<void()> on_stopped)
{
    m_on_stopped = std::move(on_stopped);
    const time_point now = m_timers.now();
    for (const auto& pipeline : m_coordinator.m_config.m_pipelines)
    {
        m_drain.m_settings.m_longest_deadline =
            std::max(m_drain.m_settings.m_longest_deadline, pipeline.m_deadline);
    }
    drain_actions actions;
    begin_drain(m_drain, now, last_mention_expires(m_addresses, now), actions);
    run(actions);
}

void entry_node::tick_drain(time_point now)
{
    if (m_drain.m_phase == drain_phase::running)
    {
        return;
    }
    drain_inputs inputs;
    inputs.m_active_exchanges = static_cast<std::uint32_t>(m_caller_server.owed_count());
    inputs.m_own_calls = static_cast<std::uint32_t>(calls_in_progress(m_dispatcher));
    inputs.m_lease_transferred = is_stopped(m_ownership);
    const std::size_t unsent_results = m_transport.queued_bytes() > 0 ? 1 : 0;
    inputs.m_unsent_records =
        static_cast<std::uint32_t>(m_coordinator.m_requests.size() + unsent_results);
    drain_actions actions;
    step_drain(m_drain, inputs, now, actions);
    run(actions);
}

void entry_node::run(const drain_actions& actions)
{
    const auto perform = [this](const auto& action)
    {
        using type = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<type, announce_stop>)
        {
            announce_leaving(m_membership);
        }
        else if constexpr (std::is_same_v<type, transfer_lease>)
        {
            geraniumdoor::begin_stop(m_ownership);
        }
        else if constexpr (std::is_same_v<type, end_keep_alive>)
        {
            m_caller_server.begin_drain();
        }
        else if constexpr (std::is_same_v<type, stop_listening>)
        {
            m_caller_server.stop_accepting();
            m_caller_server.close_idle();
        }
        else
        {
            close_all(action.m_may_announce_left);
        }
    };
    for (const auto& action : actions)
    {
        std::visit(perform, action);
    }
    if (!actions.empty())
    {
        log_event{"stopping"}.add("phase", to_text(m_drain.m_phase));
    }
}

void entry_node::close_all(bool may_announce_left)
{
    if (may_announce_left)
    {
        membership_actions actions;
        announce_left(m_membership, m_random, actions);
        run(actions);
    }
    m_caller_server.close();
    m_admin_server.close();
    m_timers.after(flush_time,
                   [this](time_point)
                   {
                       log_event{"stopped"}.add("node", m_settings.m_node);
                       m_tick_timer.cancel();
                       if (m_on_stopped)
                       {
                           m_on_stopped();
                       }
                   });
}

} // namespace geraniumdoor
