#include "membership_internal.hpp"

#include <algorithm>

namespace geraniumdoor
{

using namespace membership_detail;

namespace
{

/// Members told directly that this process ends; they pass it on.
constexpr std::uint32_t leave_fanout = 8;

constexpr milliseconds capacity_period_floor{5000};
constexpr milliseconds capacity_period_per_node{500};

} // namespace

membership_state make_membership(const membership_settings& settings, member_update self,
                                 time_point now)
{
    membership_state state;
    state.m_settings = settings;
    state.m_self = std::move(self);
    state.m_last_event = now;
    state.m_next_probe = now;
    state.m_next_scan = now;
    state.m_next_gone_scan = now;
    state.m_send_budget = settings.m_send_burst_bytes;
    state.m_budget_filled = now;
    state.m_next_hint = now;
    state.m_next_unreachable_probe = now + settings.m_unreachable_probe_period;
    state.m_next_sync = now + settings.m_first_sync_period;
    state.m_sync_interval = settings.m_first_sync_period;
    queue_broadcast(state, state.m_self);
    return state;
}

void set_hints(membership_state& state, std::vector<node_hint> hints)
{
    state.m_hints = std::move(hints);
}

void set_config_version(membership_state& state, config_version version)
{
    if (version > state.m_config)
    {
        state.m_config = version;
        spread_at_once(state);
    }
}

const urgent_state* find_urgent_state(const membership_state& state,
                                      const data_centre_id& data_centre)
{
    for (const urgent_state& urgent : state.m_urgent)
    {
        if (urgent.m_data_centre == data_centre)
        {
            return &urgent;
        }
    }
    return nullptr;
}

void set_free_capacity(membership_state& state, std::uint32_t capacity, time_point now)
{
    member_update& self = state.m_self;
    const std::uint32_t before = self.m_free_capacity;
    const std::uint32_t change =
        capacity > before ? capacity - before : before - capacity;
    if (change == 0 || change < before / 4)
    {
        return;
    }
    self.m_free_capacity = capacity;
    if (now < state.m_next_capacity)
    {
        return;
    }
    const auto per_node = capacity_period_per_node * live_count(state);
    state.m_next_capacity = now + std::max<duration>(capacity_period_floor, per_node);
    ++self.m_revision;
    queue_broadcast(state, self);
}

void announce_leaving(membership_state& state)
{
    member_update& self = state.m_self;
    if (self.m_state != member_state::alive)
    {
        return;
    }
    self.m_state = member_state::leaving;
    self.m_leaving = true;
    ++self.m_revision;
    queue_broadcast(state, self);
    spread_at_once(state);
}

void announce_left(membership_state& state, random_source& random,
                   membership_actions& actions)
{
    member_update& self = state.m_self;
    self.m_state = member_state::left;
    self.m_leaving = true;
    ++self.m_revision;
    queue_broadcast(state, self);
    const auto told = pick_live(state, leave_fanout, node_id{}, random);
    for (const node_id& node : told)
    {
        const node_address address = state.m_members.find(node)->m_info.m_peer;
        send_ping(state, node, address, actions);
    }
}

bool is_gone(const membership_state& state, const node_id& node, incarnation number)
{
    const auto at = state.m_gone.find(node);
    return at != state.m_gone.end() && number < at->second.m_first_not_gone;
}

const member_update* find_member(const membership_state& state, const node_id& node)
{
    if (node == state.m_self.m_node)
    {
        return &state.m_self;
    }
    const member* found = state.m_members.find(node);
    return found == nullptr ? nullptr : &found->m_info;
}

std::vector<member_update> live_members(const membership_state& state)
{
    std::vector<member_update> live{state.m_self};
    for (const auto& entry : state.m_members)
    {
        if (is_live(entry.m_row))
        {
            live.push_back(entry.m_row.m_info);
        }
    }
    std::sort(live.begin(), live.end(),
              [](const member_update& a, const member_update& b)
              {
                  return a.m_node < b.m_node;
              });
    return live;
}

std::size_t live_count(const membership_state& state)
{
    const auto live = std::count_if(state.m_members.begin(), state.m_members.end(),
                                    [](const auto& entry)
                                    {
                                        return is_live(entry.m_row);
                                    });
    return static_cast<std::size_t>(live) + 1;
}

} // namespace geraniumdoor
