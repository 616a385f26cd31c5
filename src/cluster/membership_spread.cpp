#include "membership_internal.hpp"

#include <algorithm>

namespace geraniumdoor::membership_detail
{

namespace
{

/// Addresses that a node without members asks at once.
constexpr std::uint32_t join_fanout = 3;

/// Contradicted deaths checked in one tick.
constexpr std::size_t rechecks_per_tick = 4;

bool is_known_address(const membership_state& state, const node_address& address)
{
    if (address == state.m_self.m_peer)
    {
        return true;
    }
    return std::any_of(state.m_members.begin(), state.m_members.end(),
                       [&](const auto& entry)
                       {
                           return is_live(entry.m_row) &&
                                  entry.m_row.m_info.m_peer == address;
                       });
}

} // namespace

void recheck_contradicted(membership_state& state, membership_actions& actions)
{
    for (std::size_t at = 0; at < rechecks_per_tick && !state.m_recheck.empty(); ++at)
    {
        if (!may_send(state, rumour_reserve_bytes))
        {
            return;
        }
        const node_id node = state.m_recheck.back();
        state.m_recheck.pop_back();
        const member* found = state.m_members.find(node);
        if (found != nullptr && !is_live(*found))
        {
            ping_member(state, node, actions);
        }
    }
}

/// Reads a random live member's list from where the last read ended.
void start_sync(membership_state& state, time_point now, random_source& random,
                membership_actions& actions)
{
    if (!may_send(state, rumour_reserve_bytes))
    {
        return;
    }
    const duration period = state.m_sync_interval;
    state.m_next_sync =
        now + std::chrono::duration_cast<duration>(period * (0.5 + uniform_unit(random)));
    // The rest of a list says nothing about members that come before it.
    if (state.m_sync_after.m_value.empty())
    {
        state.m_sync_interval =
            std::min<duration>(2 * period, state.m_settings.m_sync_period);
    }
    const auto picked = pick_live(state, 1, node_id{}, random);
    if (!picked.empty())
    {
        const node_address address = address_of(state, picked.front());
        const node_id after = state.m_sync_after;
        request_page(state, picked.front(), address, after, now, actions);
    }
}

/// Asks addresses that no live member has; a lone node asks several at once.
void probe_hints(membership_state& state, time_point now, random_source& random,
                 membership_actions& actions)
{
    if (!may_send(state, rumour_reserve_bytes))
    {
        return;
    }
    const bool alone = live_count(state) == 1;
    state.m_next_hint =
        now + (alone ? state.m_settings.m_probe_period : state.m_settings.m_hint_period);
    std::vector<node_address> unknown;
    for (const node_hint& hint : state.m_hints)
    {
        if (!is_known_address(state, hint.m_peer))
        {
            unknown.push_back(hint.m_peer);
        }
    }
    const std::uint32_t fanout = alone ? join_fanout : 1;
    for (std::uint32_t asked = 0; asked < fanout && !unknown.empty(); ++asked)
    {
        const auto count = static_cast<std::uint32_t>(unknown.size());
        const std::uint32_t at = uniform_below(random, count);
        request_page(state, node_id{}, unknown[at], node_id{}, now, actions);
        unknown.erase(unknown.begin() + at);
    }
}

/// Tells a few members of a new configuration version or urgent state. Periodic probes
/// alone need about 6 rounds of 1 s at 370 nodes, and an urgent state has 3 s.
void spread_rumour(membership_state& state, time_point now, random_source& random,
                   membership_actions& actions)
{
    const bool due = state.m_rumour_rounds_left > 0 && now >= state.m_next_rumour;
    if (!due || !may_send(state, 0))
    {
        return;
    }
    --state.m_rumour_rounds_left;
    state.m_next_rumour = now + state.m_settings.m_rumour_period;
    const auto picked =
        pick_live(state, state.m_settings.m_rumour_fanout, node_id{}, random);
    for (const node_id& node : picked)
    {
        ping_member(state, node, actions);
    }
}

/// Spreads waiting updates faster than the periodic probes do.
void work_off_backlog(membership_state& state, time_point now, random_source& random,
                      membership_actions& actions)
{
    const bool waiting = state.m_broadcasts.size() > max_piggybacked_updates;
    if (!waiting || now < state.m_next_backlog || !may_send(state, backlog_reserve_bytes))
    {
        return;
    }
    state.m_next_backlog = now + state.m_settings.m_backlog_period;
    const auto picked = pick_live(state, 1, node_id{}, random);
    if (!picked.empty())
    {
        ping_member(state, picked.front(), actions);
    }
}

} // namespace geraniumdoor::membership_detail
