#include "ownership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

// Owner rows: scans, claims of upstreams without owner, and rebalancing.

namespace geraniumdoor::ownership_detail
{

namespace
{

constexpr std::size_t max_claims_per_transaction = 64;
/// Time without membership changes before rebalancing, so that a brief change moves no
/// upstreams.
constexpr milliseconds membership_settle_time{3000};
/// Each check ranks all nodes for many upstreams. That takes milliseconds at the design
/// size, too long for each tick.
constexpr milliseconds claim_interval{500};
constexpr milliseconds rebalance_interval{1000};

bool is_lease_absent(const ownership_state& state, const lease_id& id)
{
    if (find_held(state, id) != nullptr)
    {
        return false;
    }
    const auto found = state.m_leases.find(id);
    return found == state.m_leases.end() || found->second.m_version == 0;
}

/// Returns whether the upstream has no owner row, or one whose lease row does not exist.
bool has_no_owner(const ownership_state& state, const upstream_id& upstream)
{
    const auto found = state.m_owners.find(upstream);
    if (found == state.m_owners.end())
    {
        return true;
    }
    return found->second.m_version > 0 &&
           is_lease_absent(state, found->second.m_row.m_lease);
}

bool is_first_candidate(const ownership_state& state, const upstream_record& record)
{
    return first_candidate(state, record.m_id.m_value, record.m_data_centre) ==
           state.m_settings.m_node;
}

void add_claim(const ownership_state& state, const upstream_id& upstream,
               const lease_id& own, table_transaction& transaction,
               pending_table_call& pending)
{
    owner_row row{own, {1}, true};
    row_check check{key_of(upstream), 0};
    const auto found = state.m_owners.find(upstream);
    if (found != state.m_owners.end())
    {
        const owner_record& old = found->second;
        row = {own, {old.m_row.m_epoch.m_value + 1}, false};
        check.m_version = old.m_version;
        transaction.m_checks.push_back({key_of(old.m_row.m_lease), 0});
    }
    transaction.m_checks.push_back(std::move(check));
    transaction.m_writes.push_back({key_of(upstream), encode(row)});
    pending.m_owners.emplace_back(upstream, row);
}

/// Returns the lease of the node's present incarnation, or null when its row was not
/// read.
const lease_id* lease_of(const ownership_state& state, const node_id& node)
{
    const member_view* member = find_member(state, node);
    for (const auto& [id, record] : state.m_leases)
    {
        if (member != nullptr && record.m_row && record.m_version > 0 &&
            record.m_row->m_holder == node &&
            record.m_row->m_incarnation == member->m_incarnation)
        {
            return &id;
        }
    }
    return nullptr;
}

bool is_releasing(const ownership_state& state)
{
    return std::any_of(state.m_owners.begin(), state.m_owners.end(),
                       [](const auto& entry)
                       {
                           return entry.second.m_release.has_value();
                       });
}

bool is_drained(const upstream_row& row, time_point now)
{
    return row.m_outstanding == 0 &&
           (row.m_inherited_outstanding == 0 || row.m_inherited_until <= now);
}

/// Starts the release of one upstream for which another node ranks first.
void start_release(ownership_state& state, const dispatcher_state& dispatcher)
{
    for (auto& [upstream, owner] : state.m_owners)
    {
        const upstream_row* row = dispatcher.m_upstreams.find(upstream);
        if (row == nullptr || row->m_delisted || owner.m_version == 0 ||
            owning_lease(state, owner) == nullptr)
        {
            continue;
        }
        const node_id better =
            first_candidate(state, upstream.m_value, row->m_record.m_data_centre);
        const lease_id* target = lease_of(state, better);
        if (better == state.m_settings.m_node || target == nullptr)
        {
            continue;
        }
        owner.m_release = release_state{*target, false, std::nullopt, {}};
        log_event{"release"}.add("upstream", upstream).add("node", better);
        return;
    }
}

void send_release(ownership_state& state, const upstream_id& upstream,
                  owner_record& owner, time_point now, actions& out)
{
    release_state& release = *owner.m_release;
    const owner_row row{release.m_target, {owner.m_row.m_epoch.m_value + 1}, true};
    const auto id = register_table_call(state,
                                        {table_call_purpose::release,
                                         {},
                                         upstream,
                                         {{upstream, row}},
                                         {},
                                         release.m_sent},
                                        now);
    release.m_sent = true;
    release.m_call = id;
    release.m_next_call = now + retry_delay;
    const std::string key = key_of(upstream);
    out.push_back(table_transaction{id, {{key, owner.m_version}}, {{key, encode(row)}}});
}

void continue_releases(ownership_state& state, const dispatcher_state& dispatcher,
                       time_point now, actions& out)
{
    for (auto& [upstream, owner] : state.m_owners)
    {
        if (!owner.m_release || owner.m_release->m_call ||
            now < owner.m_release->m_next_call)
        {
            continue;
        }
        const upstream_row* row = dispatcher.m_upstreams.find(upstream);
        const bool held = owning_lease(state, owner) != nullptr;
        const bool wanted = !state.m_stopping && held;
        if (!owner.m_release->m_sent && !wanted)
        {
            owner.m_release.reset();
        }
        else if (held && (row == nullptr || is_drained(*row, now)))
        {
            send_release(state, upstream, owner, now, out);
        }
    }
}

void observe_rows(ownership_state& state, const std::vector<table_row>& rows,
                  time_point sent, time_point now)
{
    for (const table_row& row : rows)
    {
        observe_row(state, row, sent, now);
    }
}

} // namespace

void observe_owner(ownership_state& state, const upstream_id& upstream,
                   const owner_row& row, std::uint64_t version, time_point sent)
{
    owner_record& known = state.m_owners[upstream];
    if (row.m_epoch < known.m_row.m_epoch)
    {
        return;
    }
    if (row.m_epoch > known.m_row.m_epoch)
    {
        known.m_release.reset();
        known.m_row = row;
    }
    known.m_version = std::max(known.m_version, version);
    known.m_read_sent_at = std::max(known.m_read_sent_at, sent);
}

void scan_rows(ownership_state& state, time_point now, actions& out)
{
    if (now < state.m_next_scan)
    {
        return;
    }
    state.m_next_scan = now + scan_interval(state);
    const auto leases = register_table_call(
        state, {table_call_purpose::scan_leases, {}, {}, {}, {}}, now);
    out.push_back(table_scan{leases, std::string{lease_prefix}});
    const auto owners = register_table_call(
        state, {table_call_purpose::scan_owners, {}, {}, {}, {}}, now);
    out.push_back(table_scan{owners, std::string{owner_prefix}});
}

void claim_upstreams(ownership_state& state, const dispatcher_state& dispatcher,
                     time_point now, actions& out)
{
    const held_lease* own = own_lease(state);
    if (now < state.m_next_claim || state.m_stopping || state.m_claim_call ||
        !state.m_owners_scanned || own == nullptr || authority_until(*own) <= now)
    {
        return;
    }
    state.m_next_claim = now + claim_interval;
    table_transaction transaction;
    pending_table_call pending{table_call_purpose::claim, own->m_id, {}, {}, {}};
    for (const auto& [id, row] : dispatcher.m_upstreams)
    {
        if (!row.m_delisted && pending.m_owners.size() < max_claims_per_transaction &&
            has_no_owner(state, id) && is_first_candidate(state, row.m_record))
        {
            add_claim(state, id, own->m_id, transaction, pending);
        }
    }
    if (pending.m_owners.empty())
    {
        return;
    }
    log_event{"ownership_claim"}.add("upstreams", pending.m_owners.size());
    transaction.m_id = register_table_call(state, std::move(pending), now);
    state.m_claim_call = transaction.m_id;
    out.push_back(std::move(transaction));
}

void rebalance(ownership_state& state, const dispatcher_state& dispatcher, time_point now,
               actions& out)
{
    continue_releases(state, dispatcher, now, out);
    const bool members_stable = now - state.m_members_changed >= membership_settle_time;
    if (members_stable && now >= state.m_next_rebalance && !state.m_stopping &&
        !is_releasing(state))
    {
        state.m_next_rebalance = now + rebalance_interval;
        start_release(state, dispatcher);
    }
}

void on_claim_end(ownership_state& state, const pending_table_call& call,
                  const table_transaction_end& end, time_point now)
{
    state.m_claim_call.reset();
    if (end.m_outcome == table_outcome::committed)
    {
        for (const auto& [upstream, owner] : call.m_owners)
        {
            const std::string key = key_of(upstream);
            for (const table_row& row : end.m_rows)
            {
                if (row.m_key == key)
                {
                    observe_owner(state, upstream, owner, row.m_version, call.m_sent);
                }
            }
        }
        return;
    }
    if (end.m_outcome == table_outcome::not_written)
    {
        return;
    }
    // A claim of unknown outcome is resolved by the scan; a repeat before it would
    // conflict.
    state.m_owners_scanned = false;
    observe_rows(state, end.m_rows, call.m_sent, now);
    request_scan(state);
}

void on_release_end(ownership_state& state, const pending_table_call& call,
                    const table_transaction_end& end, time_point now)
{
    owner_record& owner = state.m_owners[call.m_upstream];
    if (owner.m_release && owner.m_release->m_call == end.m_id)
    {
        owner.m_release->m_call.reset();
        if (end.m_outcome == table_outcome::not_written)
        {
            owner.m_release->m_sent = call.m_repeats;
        }
    }
    if (end.m_outcome == table_outcome::committed && !end.m_rows.empty())
    {
        observe_owner(state, call.m_upstream, call.m_owners.front().second,
                      end.m_rows.front().m_version, call.m_sent);
        return;
    }
    observe_rows(state, end.m_rows, call.m_sent, now);
}

} // namespace geraniumdoor::ownership_detail
