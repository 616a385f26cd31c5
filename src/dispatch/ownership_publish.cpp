#include "ownership_internal.hpp"

#include <algorithm>
#include <utility>

// Publication of ownership to the dispatcher and to the other nodes.

namespace geraniumdoor::ownership_detail
{

namespace
{

/// Represents an unknown number of calls of a failed owner. It exceeds any limit, so that
/// nothing is dispatched to the upstream.
constexpr std::uint32_t unknown_outstanding = 1U << 20;

handover_state unknown_handover(const ownership_state& state)
{
    handover_state from;
    from.m_outstanding = unknown_outstanding;
    from.m_longest_call = state.m_settings.m_longest_call;
    return from;
}

std::optional<handover_state>
handover_of(ownership_state& state, const upstream_id& upstream, const owner_row& row)
{
    const auto handover = state.m_handovers.find(upstream);
    if (handover != state.m_handovers.end())
    {
        const handover_state from = handover->second;
        state.m_handovers.erase(handover);
        return from;
    }
    if (row.m_drained)
    {
        return std::nullopt;
    }
    return unknown_handover(state);
}

time_point authority_over(const owner_record& owner, const held_lease& lease)
{
    return owner.m_release ? time_point{} : authority_until(lease);
}

void publish_losses(ownership_state& state, actions& out)
{
    std::vector<upstream_id> lost;
    for (const auto& [upstream, until] : state.m_published)
    {
        const auto owner = state.m_owners.find(upstream);
        if (owner == state.m_owners.end() ||
            owning_lease(state, owner->second) == nullptr)
        {
            lost.push_back(upstream);
        }
    }
    for (const upstream_id& upstream : lost)
    {
        state.m_published.erase(upstream);
        out.push_back(authority_change{upstream, time_point{}});
    }
}

void publish_upstream(ownership_state& state, const upstream_id& upstream,
                      const owner_record& owner, const held_lease& lease, actions& out)
{
    const auto [published, gained] = state.m_published.try_emplace(upstream);
    if (gained)
    {
        out.push_back(
            upstream_gained{upstream, handover_of(state, upstream, owner.m_row)});
    }
    const time_point until = authority_over(owner, lease);
    if (gained || published->second != until)
    {
        published->second = until;
        out.push_back(authority_change{upstream, until});
    }
}

} // namespace

void publish(ownership_state& state, actions& out)
{
    publish_losses(state, out);
    for (const auto& [upstream, owner] : state.m_owners)
    {
        if (const held_lease* lease = owning_lease(state, owner))
        {
            publish_upstream(state, upstream, owner, *lease, out);
        }
    }
    // A handover applies only to the owner row that was received with it.
    state.m_handovers.clear();
}

void announce(ownership_state& state, const dispatcher_state& dispatcher, actions& out)
{
    ownership_announce announcement;
    announcement.m_owner = state.m_settings.m_node;
    announcement.m_incarnation = state.m_settings.m_incarnation;
    for (const auto& [upstream, until] : state.m_published)
    {
        const owner_record& owner = state.m_owners.at(upstream);
        const held_lease* lease = owning_lease(state, owner);
        const upstream_row* row = dispatcher.m_upstreams.find(upstream);
        if (owner.m_release || lease == nullptr || lease->m_transfer || row == nullptr)
        {
            continue;
        }
        announcement.m_upstreams.push_back({upstream, row->m_record.m_pool,
                                            row->m_record.m_data_centre,
                                            owner.m_row.m_epoch, row->m_limit.m_limit});
    }
    const auto& before = state.m_announced.m_upstreams;
    const bool same =
        std::equal(before.begin(), before.end(), announcement.m_upstreams.begin(),
                   announcement.m_upstreams.end(),
                   [](const owned_upstream& a, const owned_upstream& b)
                   {
                       return a.m_upstream == b.m_upstream && a.m_epoch == b.m_epoch;
                   });
    if (same)
    {
        return;
    }
    announcement.m_sequence = state.m_announced.m_sequence + 1;
    state.m_announced = std::move(announcement);
    out.push_back(send_announce{state.m_announced});
}

} // namespace geraniumdoor::ownership_detail
