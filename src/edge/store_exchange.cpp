#include "store_watch.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/base/packed_text.hpp>

#include <algorithm>
#include <utility>

// Rows that hosts ask each other for.

namespace geraniumdoor::edge
{

namespace
{

/// Time for a host's answer before another one is asked. A whole table of 200 KB takes a
/// 10 Mbit link 160 ms.
constexpr milliseconds answer_patience{500};

/// Values from this size on travel compressed. A configuration of 1,500 routes has about
/// 400 KB, which takes a link of 10 Mbit/s 320 ms.
constexpr std::size_t packed_from = 4096;

/// Longest value of a row. Source: messages between hosts have 4 MB at most.
constexpr std::size_t longest_value = std::size_t{4} * 1024 * 1024;

stored_row to_stored_row(const std::string& key, held_row& row)
{
    if (row.m_value.size() < packed_from)
    {
        return {key, row.m_value, row.m_version, row.m_removed, false};
    }
    if (row.m_packed.empty())
    {
        row.m_packed = pack_text(row.m_value);
    }
    return {key, row.m_packed, row.m_version, row.m_removed, true};
}

/// Rows that changed after a number of changes, or after a version when the number is
/// zero.
table_changes changes_of(held_table& table, std::uint64_t after, std::uint64_t version)
{
    table_changes changes;
    changes.m_version = table.m_version;
    for (auto& [key, row] : table.m_rows)
    {
        const bool wanted =
            after > 0 ? row.m_change > after : row.m_changed_version > version;
        if (wanted)
        {
            changes.m_rows.push_back(to_stored_row(key, row));
        }
    }
    return changes;
}

/// Returns whether all values could be decompressed.
bool unpack(table_changes& changes)
{
    for (stored_row& row : changes.m_rows)
    {
        if (!row.m_packed)
        {
            continue;
        }
        auto value = unpack_text(row.m_value, longest_value);
        if (!value)
        {
            return false;
        }
        row.m_value = *std::move(value);
        row.m_packed = false;
    }
    return true;
}

} // namespace

state_push store_watch::push_for(const state_pull& pull)
{
    state_push push;
    push.m_changes = m_changes;
    // Nothing returns to this table after an outage, so that versions alone tell what is
    // new; the configuration is large.
    push.m_intent = changes_of(m_intent, 0, pull.m_intent_version);
    push.m_registry = changes_of(m_registry, pull.m_after, pull.m_registry_version);
    if (!pull.m_wants_hosts)
    {
        return push;
    }
    push.m_hosts.push_back(to_text(m_state.m_settings.m_peer_endpoint));
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        if (serving::is_live(host, liveness_timeout(m_state), now()))
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
    taken& known = m_taken[report.m_node];
    if (known.m_incarnation != report.m_incarnation)
    {
        known = {report.m_incarnation, 0};
    }
    const bool nothing_known = m_intent.m_version == 0 || m_registry.m_version == 0;
    const bool reads = report.m_store_age_ms <= longest_read_age.count();
    const bool news = report.m_changes > known.m_changes && (reads || nothing_known);
    // One question at a time: the tables are large for a narrow link, and all readers
    // tell the same.
    if ((!news && !wants_hosts) || now() < m_answer_due)
    {
        return std::nullopt;
    }
    m_answer_due = now() + answer_patience;
    // The answer counts as all that the host knows, so that every question asks for all
    // that is missing.
    return state_pull{known.m_changes, m_intent.m_version, m_registry.m_version,
                      wants_hosts || nothing_known};
}

void store_watch::apply_push(const node_id& from, incarnation from_incarnation,
                             state_push push)
{
    const bool readable = unpack(push.m_intent) && unpack(push.m_registry);
    if (!readable)
    {
        log_event{"rows_unreadable"}.add("host", from);
        return;
    }
    taken& known = m_taken[from];
    known.m_incarnation = from_incarnation;
    m_answer_due = now();
    known.m_changes = std::max(known.m_changes, push.m_changes);
    const std::uint64_t before = m_changes;
    take_table(m_intent, push.m_intent);
    take_table(m_registry, push.m_registry);
    publish(before);
    for (const std::string& address : push.m_hosts)
    {
        add_seed(address);
    }
}

void store_watch::take_table(held_table& table, const table_changes& changes)
{
    for (const stored_row& row : changes.m_rows)
    {
        // The other host has waited for entries that may return after an outage.
        table.m_lapsed.erase(row.m_key);
        apply_row(table, row.m_key, row.m_removed ? nullptr : &row.m_value,
                  row.m_version);
    }
    m_changes += table.m_version == 0 && changes.m_version != 0 ? 1 : 0;
    table.m_version = std::max(table.m_version, changes.m_version);
}

} // namespace geraniumdoor::edge
