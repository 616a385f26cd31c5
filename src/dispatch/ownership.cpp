#include "ownership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace geraniumdoor
{

using namespace ownership_detail;

namespace ownership_detail
{

namespace
{

void expire_leases_after_pause(ownership_state& state, time_point now)
{
    log_event{"pause_detected"}.add("gap_ms", to_ms(now - state.m_last_tick));
    for (held_lease& lease : state.m_held)
    {
        lease.m_renewed_until = {};
        lease.m_grants.clear();
        lease.m_extensions.clear();
        lease.m_next_renewal = now;
        lease.m_next_extension = now;
    }
    for (auto& [id, record] : state.m_leases)
    {
        record.m_seen_at = now;
    }
    request_scan(state);
}

void observe_lease(ownership_state& state, const lease_id& id, const table_row& row,
                   time_point now)
{
    lease_record& record = state.m_leases[id];
    if (row.m_version == 0)
    {
        record.m_row.reset();
        record.m_version = 0;
        return;
    }
    const auto decoded = decode_lease_row(row.m_value);
    if (row.m_version <= record.m_version || !decoded || record.m_revoked)
    {
        return;
    }
    record.m_row = *decoded;
    record.m_version = row.m_version;
    record.m_seen_at = now;
    // A revocation that is conditional on an older version can no longer take effect.
    record.m_revoking = record.m_revoking && row.m_version <= record.m_revoke_version;
}

void clear_missing_leases(ownership_state& state, const std::vector<table_row>& rows)
{
    std::set<std::string> keys;
    for (const table_row& row : rows)
    {
        keys.insert(row.m_key);
    }
    for (auto& [id, record] : state.m_leases)
    {
        if (!keys.contains(key_of(id)))
        {
            record.m_row.reset();
            record.m_version = 0;
        }
    }
}

} // namespace

table_call_id register_table_call(ownership_state& state, pending_table_call call,
                                  time_point now)
{
    call.m_sent = now;
    const table_call_id id{++state.m_last_table_call};
    state.m_pending.emplace(id, std::move(call));
    return id;
}

held_lease* find_held(ownership_state& state, const lease_id& id)
{
    return const_cast<held_lease*>(
        find_held(static_cast<const ownership_state&>(state), id));
}

const held_lease* find_held(const ownership_state& state, const lease_id& id)
{
    for (const held_lease& lease : state.m_held)
    {
        if (lease.m_id == id)
        {
            return &lease;
        }
    }
    return nullptr;
}

const held_lease* own_lease(const ownership_state& state)
{
    for (const held_lease& lease : state.m_held)
    {
        if (lease.m_own && lease.m_version > 0)
        {
            return &lease;
        }
    }
    return nullptr;
}

const held_lease* owning_lease(const ownership_state& state, const owner_record& owner)
{
    const held_lease* lease = find_held(state, owner.m_row.m_lease);
    return lease != nullptr && owner.m_read_sent_at >= lease->m_created ? lease : nullptr;
}

void observe_row(ownership_state& state, const table_row& row, time_point sent,
                 time_point now)
{
    const std::string_view key = row.m_key;
    if (key.starts_with(lease_prefix))
    {
        observe_lease(state, {std::string{key.substr(lease_prefix.size())}}, row, now);
        return;
    }
    if (!key.starts_with(owner_prefix) || row.m_version == 0)
    {
        return;
    }
    if (const auto decoded = decode_owner_row(row.m_value))
    {
        observe_owner(state, {std::string{key.substr(owner_prefix.size())}}, *decoded,
                      row.m_version, sent);
    }
}

} // namespace ownership_detail

ownership_state make_ownership(ownership_settings settings, time_point now)
{
    ownership_state state;
    state.m_settings = std::move(settings);
    state.m_last_tick = now;
    state.m_next_scan = now;
    state.m_members_changed = now;
    create_own_lease(state, now);
    return state;
}

void set_members(ownership_state& state, std::vector<member_view> members, time_point now)
{
    std::erase_if(members,
                  [&](const member_view& member)
                  {
                      return member.m_node == state.m_settings.m_node;
                  });
    if (members == state.m_members)
    {
        return;
    }
    state.m_members = std::move(members);
    state.m_members_changed = now;
    request_scan(state);
}

void request_scan(ownership_state& state)
{
    state.m_next_scan = std::min(state.m_next_scan, state.m_last_tick);
}

void tick(ownership_state& state, const dispatcher_state& dispatcher, time_point now,
          std::vector<ownership_action>& out)
{
    constexpr milliseconds max_tick_gap{1000};
    if (now - state.m_last_tick > max_tick_gap)
    {
        expire_leases_after_pause(state, now);
    }
    state.m_last_tick = now;
    scan_rows(state, now, out);
    renew_leases(state, now, out);
    transfer_leases(state, dispatcher, now, out);
    extend_leases(state, now, out);
    guard_leases(state, now, out);
    claim_upstreams(state, dispatcher, now, out);
    rebalance(state, dispatcher, now, out);
    report_transferred(state, dispatcher, now, out);
    publish(state, out);
    announce(state, dispatcher, out);
}

time_point authority_until(const held_lease& lease)
{
    if (lease.m_version == 0 || lease.m_transfer)
    {
        return {};
    }
    time_point granted = lease.m_guarantors.empty() ? time_point{} : time_point::max();
    for (const lease_guarantor& process : all_guarantors(lease))
    {
        const auto grant = std::find_if(lease.m_grants.begin(), lease.m_grants.end(),
                                        [&](const held_grant& held)
                                        {
                                            return held.m_guarantor == process;
                                        });
        granted = std::min(granted,
                           grant == lease.m_grants.end() ? time_point{} : grant->m_until);
    }
    return std::max(lease.m_renewed_until, granted);
}

void on_table_transaction_end(ownership_state& state, const table_transaction_end& end,
                              time_point now, std::vector<ownership_action>& out)
{
    const auto found = state.m_pending.find(end.m_id);
    if (found == state.m_pending.end())
    {
        return;
    }
    const pending_table_call call = std::move(found->second);
    state.m_pending.erase(found);
    switch (call.m_purpose)
    {
    case table_call_purpose::renew:
        on_renewal_end(state, call, end, now);
        break;
    case table_call_purpose::revoke:
        on_revoke_end(state, call, end, now);
        break;
    case table_call_purpose::claim:
        on_claim_end(state, call, end, now);
        break;
    case table_call_purpose::release:
        on_release_end(state, call, end, now);
        break;
    default:
        break;
    }
    publish(state, out);
}

void on_table_read_end(ownership_state& state, const table_read_end& end, time_point now,
                       std::vector<ownership_action>& out)
{
    const auto found = state.m_pending.find(end.m_id);
    if (found == state.m_pending.end())
    {
        return;
    }
    const time_point sent = found->second.m_sent;
    lease_record& record = state.m_leases[found->second.m_lease];
    state.m_pending.erase(found);
    if (record.m_call == end.m_id)
    {
        record.m_call.reset();
    }
    if (end.m_row)
    {
        observe_row(state, *end.m_row, sent, now);
    }
    publish(state, out);
}

void on_table_scan_end(ownership_state& state, const table_scan_end& end, time_point now,
                       std::vector<ownership_action>& out)
{
    const auto found = state.m_pending.find(end.m_id);
    if (found == state.m_pending.end())
    {
        return;
    }
    const table_call_purpose purpose = found->second.m_purpose;
    const time_point sent = found->second.m_sent;
    state.m_pending.erase(found);
    if (!end.m_rows)
    {
        return;
    }
    if (purpose == table_call_purpose::scan_leases)
    {
        clear_missing_leases(state, *end.m_rows);
    }
    for (const table_row& row : *end.m_rows)
    {
        observe_row(state, row, sent, now);
    }
    state.m_owners_scanned =
        state.m_owners_scanned || purpose == table_call_purpose::scan_owners;
    publish(state, out);
}

void on_lease_message(ownership_state& state, const node_id& from,
                      const lease_message& message, time_point now,
                      std::vector<ownership_action>& out)
{
    if (const auto* extend = std::get_if<lease_extend>(&message))
    {
        on_extend(state, from, *extend, now, out);
    }
    else if (const auto* grant = std::get_if<lease_grant>(&message))
    {
        on_grant(state, *grant);
    }
    else if (const auto* transfer = std::get_if<lease_transfer>(&message))
    {
        on_transfer(state, from, *transfer, now, out);
    }
    else if (const auto* ack = std::get_if<lease_transfer_ack>(&message))
    {
        on_transfer_ack(state, from, *ack);
    }
    else if (const auto* outstanding = std::get_if<transfer_outstanding>(&message))
    {
        on_transfer_outstanding(state, *outstanding, out);
    }
    publish(state, out);
}

void begin_stop(ownership_state& state)
{
    state.m_stopping = true;
}

bool is_stopped(const ownership_state& state)
{
    return state.m_held.empty() && state.m_transferred.empty();
}

} // namespace geraniumdoor
