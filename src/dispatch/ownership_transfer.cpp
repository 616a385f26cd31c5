#include "ownership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

// Transfer of leases during a planned stop.

namespace geraniumdoor::ownership_detail
{

namespace
{

constexpr milliseconds transfer_resend_interval{200};
/// Number of reports of zero calls. They are repeated because a message may be lost.
constexpr std::uint32_t idle_reports_before_end = 10;

/// Returns whether a release sent by this process may still change an owner row under the
/// lease, which the successor would not notice.
bool has_unconfirmed_release(const ownership_state& state, const lease_id& lease)
{
    return std::any_of(state.m_owners.begin(), state.m_owners.end(),
                       [&](const auto& entry)
                       {
                           const owner_record& owner = entry.second;
                           return owner.m_row.m_lease == lease && owner.m_release &&
                                  owner.m_release->m_sent;
                       });
}

/// Chooses a live guarantor of the row. With any other successor, the row could be
/// revoked once its holder and all guarantors are proven gone, while the successor still
/// has authority by grants.
std::optional<lease_guarantor> choose_successor(const ownership_state& state,
                                                const held_lease& lease)
{
    if (lease.m_unconfirmed.m_differs || has_unconfirmed_release(state, lease.m_id))
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

std::vector<upstream_id> upstreams_of_lease(const ownership_state& state,
                                            const lease_id& lease)
{
    std::vector<upstream_id> upstreams;
    for (const auto& [upstream, owner] : state.m_owners)
    {
        const held_lease* holder = owning_lease(state, owner);
        if (holder != nullptr && holder->m_id == lease)
        {
            upstreams.push_back(upstream);
        }
    }
    return upstreams;
}

transferred_upstream describe_upstream(const ownership_state& state,
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
    lease.m_transfer->m_next_send = now + transfer_resend_interval;
    const lease_guarantor& successor = lease.m_transfer->m_successor;
    lease_transfer message;
    message.m_lease = lease.m_id;
    message.m_row_version = lease.m_version;
    message.m_successor_incarnation = successor.m_incarnation;
    message.m_guarantors = all_guarantors(lease);
    for (const upstream_id& upstream : upstreams_of_lease(state, lease.m_id))
    {
        message.m_upstreams.push_back(
            describe_upstream(state, dispatcher, upstream, now));
    }
    out.push_back(send_lease_message{successor.m_node, std::move(message)});
}

void accept_transfer(ownership_state& state, const lease_transfer& message,
                     time_point now)
{
    state.m_accepted_transfers.insert(message.m_lease);
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
        observe_owner(state, owned.m_upstream, {message.m_lease, owned.m_epoch, false}, 0,
                      now);
        state.m_handovers[owned.m_upstream] = {
            owned.m_limit, upstream.m_upstream_incarnation, upstream.m_outstanding,
            state.m_settings.m_longest_call};
    }
    log_event{"lease_accepted"}
        .add("lease", message.m_lease)
        .add("upstreams", message.m_upstreams.size());
}

bool can_accept_transfer(const ownership_state& state, const lease_transfer& message)
{
    if (state.m_stopping ||
        message.m_successor_incarnation != state.m_settings.m_incarnation ||
        state.m_refused_transfers.contains(message.m_lease))
    {
        return false;
    }
    const auto record = state.m_leases.find(message.m_lease);
    return record == state.m_leases.end() ||
           !(record->second.m_revoking || record->second.m_revoked);
}

void report_outstanding(transferred_lease& lease, const dispatcher_state& dispatcher,
                        time_point now, actions& out)
{
    lease.m_next_report = now + transfer_resend_interval;
    bool idle = true;
    for (const upstream_id& upstream : lease.m_upstreams)
    {
        const std::uint32_t outstanding = outstanding_on(dispatcher, upstream);
        idle = idle && outstanding == 0;
        out.push_back(send_lease_message{
            lease.m_successor, transfer_outstanding{lease.m_id, upstream, outstanding}});
    }
    lease.m_idle_reports += idle ? 1 : 0;
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

void report_transferred(ownership_state& state, const dispatcher_state& dispatcher,
                        time_point now, actions& out)
{
    for (transferred_lease& lease : state.m_transferred)
    {
        if (now >= lease.m_next_report)
        {
            report_outstanding(lease, dispatcher, now, out);
        }
    }
    std::erase_if(state.m_transferred,
                  [](const transferred_lease& lease)
                  {
                      return lease.m_idle_reports >= idle_reports_before_end;
                  });
}

void on_transfer(ownership_state& state, const node_id& from,
                 const lease_transfer& message, time_point now, actions& out)
{
    bool accepted = state.m_accepted_transfers.contains(message.m_lease) &&
                    message.m_successor_incarnation == state.m_settings.m_incarnation;
    if (!accepted && can_accept_transfer(state, message))
    {
        accept_transfer(state, message, now);
        accepted = true;
    }
    if (!accepted)
    {
        // The sender chooses another successor after a refusal, so that a late repeat of
        // the message must not be accepted.
        state.m_refused_transfers.insert(message.m_lease);
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
    state.m_transferred.push_back(
        {message.m_lease, from, upstreams_of_lease(state, message.m_lease), {}, 0});
    std::erase_if(state.m_held,
                  [&](const held_lease& held)
                  {
                      return held.m_id == message.m_lease;
                  });
}

void on_transfer_outstanding(ownership_state& state, const transfer_outstanding& message,
                             actions& out)
{
    const auto owner = state.m_owners.find(message.m_upstream);
    if (owner != state.m_owners.end() && owner->second.m_row.m_lease == message.m_lease &&
        owning_lease(state, owner->second) != nullptr)
    {
        out.push_back(
            inherited_outstanding_change{message.m_upstream, message.m_outstanding});
    }
}

} // namespace geraniumdoor::ownership_detail
