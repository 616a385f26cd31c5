#include "ownership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

// Holder side of a lease: creation, renewal and extension by grants.

namespace geraniumdoor::ownership_detail
{

namespace
{

constexpr std::size_t max_guarantors = 2;
constexpr int renewal_intervals_to_live = 3;

bool contains(const std::vector<lease_guarantor>& list, const lease_guarantor& wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

void add_missing(std::vector<lease_guarantor>& list,
                 const std::vector<lease_guarantor>& more)
{
    for (const lease_guarantor& process : more)
    {
        if (!contains(list, process))
        {
            list.push_back(process);
        }
    }
}

/// Keeps live guarantors and adds other live nodes up to the maximum. A list without live
/// guarantors is kept when there is no replacement, because any node may revoke a lease
/// without guarantors.
std::vector<lease_guarantor> choose_guarantors(const ownership_state& state,
                                               const held_lease& lease)
{
    std::vector<lease_guarantor> chosen;
    for (const lease_guarantor& process : lease.m_guarantors)
    {
        if (is_live(state, process))
        {
            chosen.push_back(process);
        }
    }
    add_missing(chosen,
                nearest_live_processes(state, lease.m_id.m_value, max_guarantors));
    if (chosen.size() > max_guarantors)
    {
        chosen.resize(max_guarantors);
    }
    return chosen.empty() ? lease.m_guarantors : chosen;
}

milliseconds time_to_live(const ownership_state& state)
{
    return std::chrono::duration_cast<milliseconds>(renewal_interval(state) *
                                                    renewal_intervals_to_live);
}

void send_renewal(ownership_state& state, held_lease& lease, time_point now, actions& out)
{
    lease_row row;
    row.m_holder = state.m_settings.m_node;
    row.m_incarnation = state.m_settings.m_incarnation;
    row.m_counter = lease.m_counter + 1;
    row.m_time_to_live = time_to_live(state);
    row.m_guarantors = choose_guarantors(state, lease);
    lease.m_unconfirmed_before_write = lease.m_unconfirmed;
    lease.m_unconfirmed.m_differs =
        lease.m_unconfirmed.m_differs || row.m_guarantors != lease.m_guarantors;
    add_missing(lease.m_unconfirmed.m_guarantors, row.m_guarantors);
    lease.m_written = row;
    lease.m_written_at = now;
    lease.m_next_renewal = now + renewal_interval(state);
    const auto id = register_table_call(
        state, {table_call_purpose::renew, lease.m_id, {}, {}, {}}, now);
    lease.m_writing = id;
    const std::string key = key_of(lease.m_id);
    out.push_back(table_transaction{id, {{key, lease.m_version}}, {{key, encode(row)}}});
}

void confirm_renewal(ownership_state& state, held_lease& lease, std::uint64_t version,
                     time_point now)
{
    const lease_row& row = lease.m_written;
    lease.m_version = version;
    lease.m_counter = row.m_counter;
    lease.m_guarantors = row.m_guarantors;
    lease.m_unconfirmed = {};
    lease.m_time_to_live = row.m_time_to_live;
    lease.m_renewed_until = lease.m_written_at + row.m_time_to_live;
    lease.m_next_extension = now;
    observe_row(state, {key_of(lease.m_id), version, encode(row)}, now, now);
}

/// Adopts the version of a row that an earlier write of unknown outcome left. It gives no
/// authority, because the time when that write was sent is not known.
void adopt_row(held_lease& lease, const lease_row& row, std::uint64_t version,
               time_point now)
{
    lease.m_version = version;
    lease.m_counter = std::max(lease.m_counter, row.m_counter);
    lease.m_unconfirmed.m_differs =
        lease.m_unconfirmed.m_differs || row.m_guarantors != lease.m_guarantors;
    add_missing(lease.m_unconfirmed.m_guarantors, row.m_guarantors);
    lease.m_next_renewal = now;
}

void remove_lost_lease(ownership_state& state, const lease_id& id)
{
    log_event{"lease_lost"}.add("lease", id);
    std::erase_if(state.m_held,
                  [&](const held_lease& lease)
                  {
                      return lease.m_id == id;
                  });
}

const table_row* find_row(const std::vector<table_row>& rows, const std::string& key)
{
    for (const table_row& row : rows)
    {
        if (row.m_key == key)
        {
            return &row;
        }
    }
    return nullptr;
}

void on_conflict(ownership_state& state, held_lease& lease,
                 const table_transaction_end& end, time_point now)
{
    const table_row* found = find_row(end.m_rows, key_of(lease.m_id));
    const auto row = found != nullptr && found->m_version > 0
                         ? decode_lease_row(found->m_value)
                         : std::nullopt;
    if (row)
    {
        adopt_row(lease, *row, found->m_version, now);
    }
    else if (found != nullptr && found->m_version == 0)
    {
        remove_lost_lease(state, lease.m_id);
    }
}

void send_extensions(ownership_state& state, held_lease& lease, time_point now,
                     actions& out)
{
    const milliseconds length = lease.m_time_to_live;
    for (const lease_guarantor& process : all_guarantors(lease))
    {
        const std::uint64_t request = ++state.m_last_extension;
        lease.m_extensions[request] = {process, now, length};
        if (process.m_node == state.m_settings.m_node)
        {
            // The grant is immediate: this process never revokes a lease that it holds.
            const bool same = process.m_incarnation == state.m_settings.m_incarnation;
            on_grant(state, {lease.m_id, lease.m_version, request, same, false});
            continue;
        }
        out.push_back(send_lease_message{
            process.m_node,
            lease_extend{lease.m_id, lease.m_version, request, process.m_incarnation,
                         static_cast<std::uint32_t>(length.count())}});
    }
    std::erase_if(lease.m_extensions,
                  [&](const auto& extension)
                  {
                      return now - extension.second.m_sent > length;
                  });
}

void record_grant(held_lease& lease, const lease_guarantor& process, time_point until)
{
    for (held_grant& grant : lease.m_grants)
    {
        if (grant.m_guarantor == process)
        {
            grant.m_until = std::max(grant.m_until, until);
            return;
        }
    }
    lease.m_grants.push_back({process, until});
}

/// Abandons own leases whose creation stayed unconfirmed for the time to live. The row
/// may have been written and revoked since, and a revoked id must not be reused.
void abandon_unconfirmed(ownership_state& state, time_point now)
{
    std::erase_if(state.m_held,
                  [&](const held_lease& lease)
                  {
                      const bool expired = now - lease.m_created > lease.m_time_to_live;
                      const bool abandon =
                          lease.m_version == 0 && !lease.m_writing && expired;
                      if (abandon)
                      {
                          state.m_abandoned.insert(lease.m_id);
                      }
                      return abandon;
                  });
}

/// Returns whether more guarantors are available than the row has. The first row of a
/// process has none when no other node is known yet, and could then not be extended
/// during an outage of the table service.
bool can_add_guarantors(const ownership_state& state, const held_lease& lease,
                        time_point now)
{
    return lease.m_guarantors.size() < max_guarantors &&
           now >= lease.m_written_at + retry_delay &&
           choose_guarantors(state, lease).size() > lease.m_guarantors.size();
}

} // namespace

std::vector<lease_guarantor> all_guarantors(const held_lease& lease)
{
    std::vector<lease_guarantor> all = lease.m_guarantors;
    add_missing(all, lease.m_unconfirmed.m_guarantors);
    return all;
}

void create_own_lease(ownership_state& state, time_point now)
{
    const ownership_settings& self = state.m_settings;
    std::string id =
        self.m_node.m_value + '.' + std::to_string(self.m_incarnation.m_value);
    if (state.m_leases_created > 0)
    {
        // A revoked id is not reused, because a late write to its row may still take
        // effect.
        id += '.' + std::to_string(state.m_leases_created);
    }
    ++state.m_leases_created;
    held_lease lease;
    lease.m_id.m_value = std::move(id);
    lease.m_created = now;
    lease.m_next_renewal = now;
    state.m_held.push_back(std::move(lease));
}

void renew_leases(ownership_state& state, time_point now, actions& out)
{
    abandon_unconfirmed(state, now);
    const bool has_own = std::any_of(state.m_held.begin(), state.m_held.end(),
                                     [](const held_lease& lease)
                                     {
                                         return lease.m_own;
                                     });
    if (!has_own && !state.m_stopping)
    {
        create_own_lease(state, now);
    }
    for (held_lease& lease : state.m_held)
    {
        const bool due =
            now >= lease.m_next_renewal || can_add_guarantors(state, lease, now);
        if (!lease.m_writing && !lease.m_transfer && due)
        {
            send_renewal(state, lease, now, out);
        }
    }
}

void extend_leases(ownership_state& state, time_point now, actions& out)
{
    for (held_lease& lease : state.m_held)
    {
        if (lease.m_version > 0 && !lease.m_transfer && now >= lease.m_next_extension)
        {
            lease.m_next_extension = now + renewal_interval(state) / 2;
            send_extensions(state, lease, now, out);
        }
    }
}

void on_renewal_end(ownership_state& state, const pending_table_call& call,
                    const table_transaction_end& end, time_point now)
{
    held_lease* lease = find_held(state, call.m_lease);
    if (lease == nullptr || lease->m_writing != end.m_id)
    {
        return;
    }
    lease->m_writing.reset();
    const table_row* row = find_row(end.m_rows, key_of(call.m_lease));
    if (end.m_outcome == table_outcome::committed && row != nullptr)
    {
        confirm_renewal(state, *lease, row->m_version, now);
    }
    else if (end.m_outcome == table_outcome::conflict)
    {
        on_conflict(state, *lease, end, now);
    }
    else
    {
        if (end.m_outcome == table_outcome::not_written)
        {
            lease->m_unconfirmed = lease->m_unconfirmed_before_write;
        }
        // The repeat is conditional on the same version. If this write took effect, the
        // conflict returns the row.
        lease->m_next_renewal = now + retry_delay;
    }
}

void on_extend(ownership_state& state, const node_id& from, const lease_extend& message,
               time_point now, actions& out)
{
    lease_record& record = state.m_leases[message.m_lease];
    const bool granted =
        message.m_guarantor_incarnation == state.m_settings.m_incarnation &&
        !record.m_revoking && !record.m_revoked;
    if (granted)
    {
        const time_point until = now + milliseconds{message.m_time_to_live_ms};
        record.m_granted_until = std::max(record.m_granted_until, until);
    }
    const bool final_promise = granted && state.m_stopping;
    out.push_back(
        send_lease_message{from, lease_grant{message.m_lease, message.m_row_version,
                                             message.m_request, granted, final_promise}});
}

void on_grant(ownership_state& state, const lease_grant& message)
{
    held_lease* lease = find_held(state, message.m_lease);
    if (lease == nullptr || !message.m_granted)
    {
        return;
    }
    const auto sent = lease->m_extensions.find(message.m_request);
    if (sent == lease->m_extensions.end())
    {
        return;
    }
    const sent_extension& extension = sent->second;
    const time_point until =
        message.m_final ? time_point::max() : extension.m_sent + extension.m_time_to_live;
    record_grant(*lease, extension.m_guarantor, until);
}

} // namespace geraniumdoor::ownership_detail
