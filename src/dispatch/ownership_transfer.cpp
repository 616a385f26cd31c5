#include "ownership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

// Transfer of leases on a planned stop.

namespace geraniumdoor::ownership_detail
{

namespace
{

constexpr milliseconds repeat_delay{200};
/// Reports of zero calls are repeated, because a message may be lost.
constexpr std::uint32_t final_reports = 10;

/// Whether an ownership row under the lease may still change by a write of this process,
/// without the successor knowing.
bool has_unsettled_release(const ownership_state& state, const lease_id& lease)
{
    return std::any_of(state.m_owners.begin(), state.m_owners.end(),
                       [&](const auto& entry)
                       {
                           const owner_record& owner = entry.second;
                           return owner.m_row.m_lease == lease && owner.m_release &&
                                  owner.m_release->m_sent;
                       });
}

/// A successor is a guarantor of the row: otherwise the row could be revoked as that of
/// a holder and guarantors that are all proven gone while the successor lives on grants.
std::optional<lease_guarantor> choose_successor(const ownership_state& state,
                                                const held_lease& lease)
{
    if (lease.m_doubt.m_differs || has_unsettled_release(state, lease.m_id))
    {
        return std::nullopt;
    }
    for (const lease_guarantor& process : lease.m_guarantors)
    {
        const auto& refusing = state.m_refusing_successors;
        const bool refused =
            std::find(refusing.begin(), refusing.end(), process.m_node) != refusing.end();
        if (is_live(state, process) && !refused)
        {
            return process;
        }
    }
    return std::nullopt;
}

std::vector<upstream_id> upstreams_under(const ownership_state& state,
                                         const lease_id& lease)
{
    std::vector<upstream_id> upstreams;
    for (const auto& [upstream, owner] : state.m_owners)
    {
        const held_lease* holder = holding(state, owner);
        if (holder != nullptr && holder->m_id == lease)
        {
            upstreams.push_back(upstream);
        }
    }
    return upstreams;
}

transferred_upstream describe(const ownership_state& state,
                              const dispatcher_state& dispatcher,
                              const upstream_id& upstream, time_point now)
{
    transferred_upstream described;
    described.m_owned.m_upstream = upstream;
    described.m_owned.m_epoch = state.m_owners.at(upstream).m_row.m_epoch;
    if (const upstream_row* row = dispatcher.m_upstreams.find(upstream))
    {
        described.m_owned.m_pool = row->m_record.m_pool;
        described.m_owned.m_data_centre = row->m_record.m_data_centre;
        described.m_owned.m_limit = row->m_limit.m_limit;
        described.m_upstream_incarnation = row->m_limit.m_incarnation;
        const bool inherits = now < row->m_inherited_until;
        described.m_outstanding =
            row->m_outstanding + (inherits ? row->m_inherited_outstanding : 0);
    }
    return described;
}

void send_transfer(ownership_state& state, const dispatcher_state& dispatcher,
                   held_lease& lease, time_point now, actions& out)
{
    lease.m_transfer->m_next_send = now + repeat_delay;
    const lease_guarantor& successor = lease.m_transfer->m_successor;
    lease_transfer message;
    message.m_lease = lease.m_id;
    message.m_row_version = lease.m_version;
    message.m_successor_incarnation = successor.m_incarnation;
    message.m_guarantors = all_guarantors(lease);
    for (const upstream_id& upstream : upstreams_under(state, lease.m_id))
    {
        message.m_upstreams.push_back(describe(state, dispatcher, upstream, now));
    }
    out.push_back(send_lease_message{successor.m_node, std::move(message)});
}

void accept(ownership_state& state, const lease_transfer& message, time_point now)
{
    state.m_accepted.insert(message.m_lease);
    held_lease lease;
    lease.m_id = message.m_lease;
    lease.m_own = false;
    lease.m_created = now;
    lease.m_version = message.m_row_version;
    lease.m_guarantors = message.m_guarantors;
    lease.m_next_renewal = now;
    lease.m_next_extension = now;
    const auto record = state.m_leases.find(message.m_lease);
    if (record != state.m_leases.end() && record->second.m_row)
    {
        lease.m_counter = record->second.m_row->m_counter;
        lease.m_time_to_live = record->second.m_row->m_time_to_live;
    }
    state.m_held.push_back(std::move(lease));
    for (const transferred_upstream& upstream : message.m_upstreams)
    {
        const owned_upstream& owned = upstream.m_owned;
        learn_owner(state, owned.m_upstream, {message.m_lease, owned.m_epoch, false}, 0,
                    now);
        state.m_handed[owned.m_upstream] = {
            owned.m_limit, upstream.m_upstream_incarnation, upstream.m_outstanding,
            state.m_settings.m_longest_call};
    }
    log_event{"lease_accepted"}
        .add("lease", message.m_lease)
        .add("upstreams", message.m_upstreams.size());
}

bool can_accept(const ownership_state& state, const lease_transfer& message)
{
    if (state.m_stopping ||
        message.m_successor_incarnation != state.m_settings.m_incarnation ||
        state.m_refused.contains(message.m_lease))
    {
        return false;
    }
    const auto record = state.m_leases.find(message.m_lease);
    return record == state.m_leases.end() ||
           !(record->second.m_revoking || record->second.m_revoked);
}

void report(given_lease& given, const dispatcher_state& dispatcher, time_point now,
            actions& out)
{
    given.m_next_report = now + repeat_delay;
    bool idle = true;
    for (const upstream_id& upstream : given.m_upstreams)
    {
        const std::uint32_t outstanding = outstanding_on(dispatcher, upstream);
        idle = idle && outstanding == 0;
        out.push_back(send_lease_message{
            given.m_successor, transfer_outstanding{given.m_id, upstream, outstanding}});
    }
    given.m_idle_reports += idle ? 1 : 0;
}

} // namespace

void transfer_leases(ownership_state& state, const dispatcher_state& dispatcher,
                     time_point now, actions& out)
{
    if (!state.m_stopping)
    {
        return;
    }
    for (held_lease& lease : state.m_held)
    {
        if (!lease.m_transfer && lease.m_version > 0)
        {
            if (const auto successor = choose_successor(state, lease))
            {
                lease.m_transfer = outgoing_transfer{*successor, now};
                log_event{"lease_transfer"}
                    .add("lease", lease.m_id)
                    .add("node", successor->m_node);
            }
        }
        if (lease.m_transfer && now >= lease.m_transfer->m_next_send)
        {
            send_transfer(state, dispatcher, lease, now, out);
        }
    }
}

void report_given(ownership_state& state, const dispatcher_state& dispatcher,
                  time_point now, actions& out)
{
    for (given_lease& given : state.m_given)
    {
        if (now >= given.m_next_report)
        {
            report(given, dispatcher, now, out);
        }
    }
    std::erase_if(state.m_given,
                  [](const given_lease& given)
                  {
                      return given.m_idle_reports >= final_reports;
                  });
}

void on_transfer(ownership_state& state, const node_id& from,
                 const lease_transfer& message, time_point now, actions& out)
{
    bool accepted = state.m_accepted.contains(message.m_lease) &&
                    message.m_successor_incarnation == state.m_settings.m_incarnation;
    if (!accepted && can_accept(state, message))
    {
        accept(state, message, now);
        accepted = true;
    }
    if (!accepted)
    {
        // The sender turns to another successor, so that a late repeat must not be
        // accepted.
        state.m_refused.insert(message.m_lease);
    }
    out.push_back(send_lease_message{
        from, lease_transfer_ack{message.m_lease, message.m_row_version, accepted}});
}

void on_transfer_ack(ownership_state& state, const node_id& from,
                     const lease_transfer_ack& message)
{
    held_lease* lease = find_held(state, message.m_lease);
    if (lease == nullptr || !lease->m_transfer ||
        lease->m_transfer->m_successor.m_node != from)
    {
        return;
    }
    if (!message.m_accepted)
    {
        state.m_refusing_successors.push_back(from);
        lease->m_transfer.reset();
        return;
    }
    state.m_given.push_back(
        {message.m_lease, from, upstreams_under(state, message.m_lease), {}, 0});
    std::erase_if(state.m_held,
                  [&](const held_lease& held)
                  {
                      return held.m_id == message.m_lease;
                  });
}

void on_outstanding(ownership_state& state, const transfer_outstanding& message,
                    actions& out)
{
    const auto owner = state.m_owners.find(message.m_upstream);
    if (owner != state.m_owners.end() && owner->second.m_row.m_lease == message.m_lease &&
        holding(state, owner->second) != nullptr)
    {
        out.push_back(
            inherited_outstanding_change{message.m_upstream, message.m_outstanding});
    }
}

} // namespace geraniumdoor::ownership_detail
