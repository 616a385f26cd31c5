#include "ownership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

// Guarantor side of a lease: monitoring and revoking lease rows.

namespace geraniumdoor::ownership_detail
{

namespace
{

/// Covers the difference in rate between the clocks of two hosts.
constexpr milliseconds revocation_margin{1000};

bool names_this_process(const ownership_state& state, const lease_row& row)
{
    const lease_guarantor self{state.m_settings.m_node, state.m_settings.m_incarnation};
    const auto& named = row.m_guarantors;
    return std::find(named.begin(), named.end(), self) != named.end();
}

bool all_proven_gone(const ownership_state& state, const lease_row& row)
{
    if (!is_proven_gone(state, {row.m_holder, row.m_incarnation}))
    {
        return false;
    }
    for (const lease_guarantor& process : row.m_guarantors)
    {
        if (!is_proven_gone(state, process))
        {
            return false;
        }
    }
    return true;
}

bool has_been_unchanged(const lease_record& record, time_point now)
{
    return now - record.m_seen_at >= record.m_row->m_time_to_live + revocation_margin;
}

bool may_revoke(const ownership_state& state, const lease_record& record, time_point now)
{
    const lease_row& row = *record.m_row;
    if (!row.m_guarantors.empty() && all_proven_gone(state, row))
    {
        return true;
    }
    const bool entitled = row.m_guarantors.empty() || names_this_process(state, row);
    return entitled && is_suspected(state, {row.m_holder, row.m_incarnation}) &&
           has_been_unchanged(record, now) && now >= record.m_granted_until;
}

void read_lease(ownership_state& state, const lease_id& id, lease_record& record,
                time_point now, actions& out)
{
    const auto call =
        register_table_call(state, {table_call_purpose::guard, id, {}, {}, {}}, now);
    record.m_call = call;
    record.m_next_call = now + renewal_interval(state) / 2;
    out.push_back(table_read{call, key_of(id)});
}

/// Deletes the lease row and takes over all upstreams owned under it in one transaction.
void revoke(ownership_state& state, const lease_id& id, lease_record& record,
            const lease_id& own, time_point now, actions& out)
{
    pending_table_call pending{table_call_purpose::revoke, id, {}, {}, {}};
    table_transaction transaction;
    transaction.m_checks.push_back({key_of(id), record.m_version});
    transaction.m_writes.push_back({key_of(id), std::nullopt});
    for (const auto& [upstream, owner] : state.m_owners)
    {
        if (owner.m_row.m_lease != id || owner.m_version == 0)
        {
            continue;
        }
        const owner_row taken{own, {owner.m_row.m_epoch.m_value + 1}, false};
        transaction.m_checks.push_back({key_of(upstream), owner.m_version});
        transaction.m_writes.push_back({key_of(upstream), encode(taken)});
        pending.m_owners.emplace_back(upstream, taken);
    }
    pending.m_repeats = record.m_revoking;
    log_event{"lease_revoke"}
        .add("lease", id)
        .add("node", record.m_row->m_holder)
        .add("upstreams", pending.m_owners.size());
    transaction.m_id = register_table_call(state, std::move(pending), now);
    record.m_revoking = true;
    record.m_revoke_version = record.m_version;
    record.m_call = transaction.m_id;
    record.m_next_call = now + retry_delay;
    out.push_back(std::move(transaction));
}

/// Returns whether the conflict shows that the revocation can no longer take effect.
bool can_no_longer_apply(const lease_record& record, const table_transaction_end& end,
                         const lease_id& id)
{
    const std::string key = key_of(id);
    return end.m_outcome == table_outcome::conflict &&
           std::any_of(end.m_rows.begin(), end.m_rows.end(),
                       [&](const table_row& row)
                       {
                           return row.m_key == key && row.m_version > 0 &&
                                  row.m_version > record.m_revoke_version;
                       });
}

bool is_row_gone(const table_transaction_end& end, const lease_id& id)
{
    const std::string key = key_of(id);
    return std::any_of(end.m_rows.begin(), end.m_rows.end(),
                       [&](const table_row& row)
                       {
                           return row.m_key == key && row.m_version == 0;
                       });
}

void mark_revoked(lease_record& record)
{
    record.m_revoking = false;
    record.m_revoked = true;
    record.m_row.reset();
    record.m_version = 0;
}

void apply_owners(ownership_state& state, const pending_table_call& call,
                  const std::vector<table_row>& rows)
{
    for (const auto& [upstream, owner] : call.m_owners)
    {
        const std::string key = key_of(upstream);
        for (const table_row& row : rows)
        {
            if (row.m_key == key)
            {
                observe_owner(state, upstream, owner, row.m_version, call.m_sent);
            }
        }
    }
}

} // namespace

void guard_leases(ownership_state& state, time_point now, actions& out)
{
    const held_lease* own = own_lease(state);
    for (auto& [id, record] : state.m_leases)
    {
        const bool idle = !record.m_call && now >= record.m_next_call;
        if (!idle || !record.m_row || record.m_version == 0 ||
            find_held(state, id) != nullptr)
        {
            continue;
        }
        const bool may_act =
            !state.m_stopping && own != nullptr && authority_until(*own) > now;
        // A revocation of unknown outcome is repeated, conditional on the same version.
        if (may_act && (record.m_revoking || state.m_abandoned.contains(id) ||
                        may_revoke(state, record, now)))
        {
            revoke(state, id, record, own->m_id, now, out);
        }
        else if (names_this_process(state, *record.m_row))
        {
            read_lease(state, id, record, now, out);
        }
    }
}

void on_revoke_end(ownership_state& state, const pending_table_call& call,
                   const table_transaction_end& end, time_point now)
{
    lease_record& record = state.m_leases[call.m_lease];
    if (record.m_call == end.m_id)
    {
        record.m_call.reset();
    }
    if (end.m_outcome == table_outcome::committed)
    {
        mark_revoked(record);
        apply_owners(state, call, end.m_rows);
        log_event{"lease_revoked"}.add("lease", call.m_lease);
        return;
    }
    if (end.m_outcome == table_outcome::not_written)
    {
        record.m_revoking = call.m_repeats;
        return;
    }
    if (can_no_longer_apply(record, end, call.m_lease))
    {
        record.m_revoking = false;
    }
    else if (is_row_gone(end, call.m_lease))
    {
        mark_revoked(record);
    }
    for (const table_row& row : end.m_rows)
    {
        observe_row(state, row, call.m_sent, now);
    }
    request_scan(state);
}

} // namespace geraniumdoor::ownership_detail
