#include "store_watch.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/base/packed_text.hpp>
#include <geraniumdoor/cluster/codec.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

// Exchange of rows between hosts.

namespace geraniumdoor::edge
{

namespace
{

/// Bytes that wait to be sent to other hosts above which a host declines pulls of whole
/// tables; 400 ms on a 20 Mbit/s link. The pullers find other hosts that have the tables
/// by then.
constexpr std::size_t max_push_backlog = std::size_t{1024} * 1024;

/// Age up to which the compressed registry is sent again. Rows that have changed since
/// are sent beside it.
constexpr milliseconds max_packed_age{2000};

/// Number of rows from which the whole registry is sent compressed.
constexpr std::size_t min_packed_rows = 32;

/// Values of at least this size are sent compressed. A configuration of 1,500 routes has
/// about 400 KB, which takes 320 ms on a 10 Mbit/s link.
constexpr std::size_t compression_threshold = 4096;

/// Upper bound of a decompressed value. Messages between hosts have 4 MB at most.
constexpr std::size_t max_value_bytes = std::size_t{4} * 1024 * 1024;

stored_row to_stored_row(const std::string& key, serving::cached_row& row)
{
    if (row.m_value.size() < compression_threshold)
    {
        return {key, row.m_value, row.m_version, row.m_removed, false};
    }
    if (row.m_compressed.empty())
    {
        row.m_compressed = pack_text(row.m_value);
    }
    return {key, row.m_compressed, row.m_version, row.m_removed, true};
}

/// Returns the rows that changed after a change number, or after a store version if the
/// change number is zero.
table_changes changes_of(cached_table& table, std::uint64_t after, store_version version)
{
    table_changes changes;
    changes.m_version = table.m_copy.m_version;
    for (auto& [key, row] : table.m_copy.m_rows)
    {
        const bool is_missing =
            after > 0 ? row.m_change_number > after : row.m_changed_version > version;
        if (is_missing)
        {
            changes.m_rows.push_back(to_stored_row(key, row));
        }
    }
    return changes;
}

/// Decompresses all values in place. Returns false if one is malformed.
bool decompress_values(table_changes& changes)
{
    for (stored_row& row : changes.m_rows)
    {
        if (!row.m_packed)
        {
            continue;
        }
        auto value = unpack_text(row.m_value, max_value_bytes);
        if (!value)
        {
            return false;
        }
        row.m_value = *std::move(value);
        row.m_packed = false;
    }
    if (changes.m_packed_rows.empty())
    {
        return true;
    }
    auto older = unpack_rows(changes.m_packed_rows, max_value_bytes);
    if (!is_ok(older))
    {
        return false;
    }
    auto rows = value_of(std::move(older));
    std::move(changes.m_rows.begin(), changes.m_rows.end(), std::back_inserter(rows));
    changes.m_rows = std::move(rows);
    changes.m_packed_rows.clear();
    return true;
}

} // namespace

table_changes store_watch::whole_registry()
{
    if (m_registry.m_copy.m_rows.size() < min_packed_rows)
    {
        return changes_of(m_registry, 0, {});
    }
    if (m_packed_registry.empty() || now() - m_registry_packed_at > max_packed_age)
    {
        m_packed_registry = pack_rows(changes_of(m_registry, 0, {}).m_rows);
        m_registry_packed_at = now();
        m_packed_changes = m_changes;
    }
    table_changes changes = changes_of(m_registry, m_packed_changes, {});
    changes.m_packed_rows = m_packed_registry;
    return changes;
}

state_push store_watch::push_for(const state_pull& pull, std::size_t backlog_bytes)
{
    state_push push;
    push.m_number = pull.m_number;
    // An earlier start of this host counted its changes from one, too.
    const bool is_counted_here = pull.m_counted_by == m_state.m_own_report.m_incarnation;
    const std::uint64_t after = is_counted_here ? pull.m_after : 0;
    const bool wants_all = after == 0 && pull.m_registry_version == store_version{};
    if (wants_all && backlog_bytes > max_push_backlog)
    {
        push.m_busy = true;
        return push;
    }
    push.m_changes = m_changes;
    // The rows of this table are not restored after an outage, so that store versions
    // suffice to tell what is new. That avoids sending the large configuration again.
    push.m_intent = changes_of(m_operator_table, 0, pull.m_intent_version);
    push.m_registry = wants_all ? whole_registry()
                                : changes_of(m_registry, after, pull.m_registry_version);
    if (!pull.m_wants_hosts)
    {
        return push;
    }
    push.m_hosts.push_back(to_text(m_state.m_settings.m_peer_endpoint));
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        if (serving::is_live(host, now()))
        {
            const node_address& peer = host.m_report.m_peer;
            push.m_hosts.push_back(peer.m_ip + ':' + std::to_string(peer.m_port));
        }
    }
    return push;
}

std::optional<state_pull> store_watch::next_pull(const host_report& report,
                                                 bool wants_hosts)
{
    expire_pulls();
    const auto after =
        serving::begin_pull(m_pulls, report, !has_no_data(), wants_hosts, now());
    if (!after)
    {
        return std::nullopt;
    }
    // apply_push records the answer as complete up to the host's change number, so every
    // pull has to request all missing rows, even if only the list of hosts is wanted.
    return state_pull{*after,
                      report.m_incarnation,
                      m_operator_table.m_copy.m_version,
                      m_registry.m_copy.m_version,
                      wants_hosts || has_no_data(),
                      m_state.m_numbers.next()};
}

void store_watch::expire_pulls()
{
    const auto silent = serving::expire_pull(m_pulls, now());
    if (silent)
    {
        log_event{"pull_unanswered"}.add("host", *silent);
        m_state.m_metrics.add("pulls_unanswered", {});
    }
}

void store_watch::on_peer_lost(const node_id& host)
{
    serving::lose_pull(m_pulls, host, now());
}

void store_watch::apply_push(const node_id& from, incarnation from_incarnation,
                             state_push push)
{
    if (!m_state.m_numbers.is_own(push.m_number))
    {
        // It leaves out rows that the earlier start of this host had.
        log_event{"rows_of_earlier_start"}.add("host", from);
        return;
    }
    if (push.m_busy)
    {
        serving::record_busy(m_pulls, from, now());
        return;
    }
    serving::end_pull(m_pulls, from, now());
    const bool decompressed =
        decompress_values(push.m_intent) && decompress_values(push.m_registry);
    if (!decompressed)
    {
        log_event{"rows_unreadable"}.add("host", from);
        return;
    }
    serving::record_push(m_pulls, from, from_incarnation, push.m_changes);
    const std::uint64_t changes_before = m_changes;
    m_row_source = from;
    apply_changes(m_operator_table, push.m_intent);
    apply_changes(m_registry, push.m_registry);
    m_row_source = {};
    publish(changes_before);
    for (const std::string& address : push.m_hosts)
    {
        add_address(address);
    }
}

void store_watch::apply_changes(cached_table& table, const table_changes& changes)
{
    auto& copy = table.m_copy;
    for (const stored_row& row : changes.m_rows)
    {
        // The other host has already waited for rows that may be written again.
        copy.m_pending_removals.erase(row.m_key);
        const auto held = copy.m_held_rows.find(row.m_key);
        if (held != copy.m_held_rows.end() &&
            row.m_version >= held->second.m_change.m_version)
        {
            copy.m_held_rows.erase(held);
        }
        apply_row(table,
                  {row.m_key, row.m_removed ? std::nullopt : std::optional{row.m_value},
                   row.m_version});
    }
    const bool is_first =
        copy.m_version == store_version{} && changes.m_version != store_version{};
    m_changes += is_first ? 1 : 0;
    serving::record_pushed_version(copy, changes.m_version, now());
}

} // namespace geraniumdoor::edge
