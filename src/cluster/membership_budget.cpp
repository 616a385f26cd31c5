#include "membership_internal.hpp"

#include <algorithm>
#include <utility>

namespace geraniumdoor::membership_detail
{

void refill_budget(membership_state& state, time_point now)
{
    if (now <= state.m_budget_filled)
    {
        return;
    }
    const membership_settings& settings = state.m_settings;
    const auto full = static_cast<double>(settings.m_send_burst_bytes);
    state.m_send_budget += to_s(now - state.m_budget_filled) * settings.m_send_rate;
    state.m_send_budget = std::min(state.m_send_budget, full);
    state.m_budget_filled = now;
}

bool may_send(const membership_state& state, std::int64_t reserve)
{
    return state.m_send_budget >=
           static_cast<double>(reserve) + static_cast<double>(max_datagram_bytes);
}

void append_datagram(membership_state& state, const node_address& to, datagram message,
                     membership_actions& actions)
{
    const std::size_t bytes = std::visit(
        [&](const auto& body) -> std::size_t
        {
            if constexpr (requires { body.m_gossip; })
            {
                return largest_bytes(body.m_gossip, node_id{});
            }
            return max_datagram_bytes;
        },
        message);
    // Probes and acks alone may exceed the rate. The debt is limited, so that updates are
    // passed on again soon after.
    const auto deepest = -static_cast<double>(state.m_settings.m_send_burst_bytes);
    const double left = state.m_send_budget - static_cast<double>(bytes);
    state.m_send_budget = std::max(left, deepest);
    actions.emplace_back(send_datagram{to, std::move(message)});
}

} // namespace geraniumdoor::membership_detail
