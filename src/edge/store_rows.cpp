#include "store_watch.hpp"

#include <geraniumdoor/base/log.hpp>

#include <unordered_set>
#include <utility>

#include <platform/rows.hpp>

// Effects of rows on this host, whether they come from the store or from another host.

namespace geraniumdoor::edge
{

void store_watch::apply_page(cached_table& table, const platform::row_page& page,
                             bool complete)
{
    if (page.m_version < table.m_version)
    {
        log_event{"store_read_stale"}
            .add("table", table.m_name)
            .add("version", page.m_version)
            .add("held", table.m_version);
        return;
    }
    const std::uint64_t changes_before = m_changes;
    const bool is_first_read = table.m_version == 0;
    if (complete)
    {
        remove_missing(table, page);
    }
    for (const platform::row& entry : page.m_rows)
    {
        if (entry.m_removed)
        {
            remove_row(table, entry.m_key, entry.m_version);
        }
        else
        {
            table.m_pending_removals.erase(entry.m_key);
            apply_row(table, entry.m_key, &entry.m_value, entry.m_version);
        }
    }
    table.m_version = page.m_version;
    m_changes += is_first_read ? 1 : 0;
    publish(changes_before);
}

void store_watch::remove_missing(cached_table& table, const platform::row_page& page)
{
    std::vector<std::string> missing;
    std::unordered_set<std::string_view> present;
    for (const platform::row& entry : page.m_rows)
    {
        present.insert(entry.m_key);
    }
    for (const auto& [key, row] : table.m_rows)
    {
        if (!present.contains(key) && !row.m_removed)
        {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing)
    {
        remove_row(table, key, page.m_version);
    }
}

/// Applies one row; a null value removes it. Returns whether the change is relevant to
/// other hosts.
bool store_watch::apply_row(cached_table& table, const std::string& key,
                            const std::string* value, std::uint64_t version)
{
    cached_row& cached = table.m_rows[key];
    const bool is_new = cached.m_version == 0;
    if (version <= cached.m_version && !is_new)
    {
        return false;
    }
    const bool is_unchanged = !is_new && cached.m_removed == (value == nullptr) &&
                              (value == nullptr || cached.m_value == *value);
    cached.m_version = version;
    cached.m_removed = value == nullptr;
    cached.m_value = value == nullptr ? std::string{} : *value;
    cached.m_compressed.clear();
    if (is_unchanged)
    {
        return false;
    }
    const bool is_relevant = &table == &m_operator_table ? apply_operator_row(key, value)
                                                         : apply_upstream(key, value);
    if (is_relevant || is_new)
    {
        cached.m_change_number = ++m_changes;
        cached.m_changed_version = version;
    }
    return is_relevant;
}

void store_watch::publish(std::uint64_t changes_before)
{
    m_state.m_own_report.m_changes = m_changes;
    m_state.m_registry_loaded = m_registry.m_version != 0;
    if (m_changes != changes_before)
    {
        m_on_change();
    }
}

void store_watch::remove_row(cached_table& table, const std::string& key,
                             std::uint64_t version)
{
    const auto cached = table.m_rows.find(key);
    const bool known = cached != table.m_rows.end() && !cached->second.m_removed;
    const bool may_be_restored =
        known && &table == &m_registry &&
        (table.m_unavailable || now() - table.m_recovered_at < restore_timeout);
    if (may_be_restored)
    {
        table.m_pending_removals.try_emplace(key, table.m_recovered_at + restore_timeout);
        return;
    }
    table.m_pending_removals.erase(key);
    apply_row(table, key, nullptr, version);
}

void store_watch::apply_pending_removals()
{
    const time_point at = now();
    std::vector<std::string> expired;
    for (const auto& [key, until] : m_registry.m_pending_removals)
    {
        if (until <= at && !m_registry.m_unavailable)
        {
            expired.push_back(key);
        }
    }
    const std::uint64_t changes_before = m_changes;
    for (const std::string& key : expired)
    {
        m_registry.m_pending_removals.erase(key);
        apply_row(m_registry, key, nullptr, m_registry.m_version);
    }
    publish(changes_before);
}

bool store_watch::apply_operator_row(const std::string& key, const std::string* value)
{
    if (const auto data_centre = platform::evacuated_data_centre(key))
    {
        if (value != nullptr)
        {
            m_state.m_upstreams.m_evacuated_data_centres.insert(*data_centre);
        }
        else
        {
            m_state.m_upstreams.m_evacuated_data_centres.erase(*data_centre);
        }
        log_event{value != nullptr ? "evacuation_begun" : "evacuation_ended"}.add(
            "data_centre", *data_centre);
        return true;
    }
    if (key != platform::configuration_key || value == nullptr)
    {
        return true;
    }
    auto config = platform::decode_configuration(*value);
    if (!is_ok(config))
    {
        log_event{"configuration_rejected"}.add("reason", error_of(config).m_detail);
        return true;
    }
    const auto current = m_state.m_routing;
    if (current && value_of(config).m_version <= current->m_version)
    {
        log_event{"configuration_not_newer"}
            .add("version", value_of(config).m_version)
            .add("held", current->m_version);
        return true;
    }
    m_state.m_routing =
        std::make_shared<const serving::routing_config>(value_of(std::move(config)));
    log_event{"configuration_in_force"}
        .add("version", m_state.m_routing->m_version)
        .add("routes", m_state.m_routing->m_routes.size())
        .add("keys", m_state.m_routing->m_api_keys.size());
    return true;
}

bool store_watch::apply_upstream(const std::string& key, const std::string* value)
{
    const upstream_id id{key};
    if (value == nullptr)
    {
        m_state.m_upstreams.m_rows.erase(id);
        log_event{"upstream_gone"}.add("upstream", id);
        return true;
    }
    const auto entry = platform::decode_upstream_entry(key, *value);
    if (!is_ok(entry))
    {
        log_event{"registry_entry_rejected"}
            .add("upstream", id)
            .add("reason", error_of(entry).m_detail);
        return m_state.m_upstreams.m_rows.erase(id);
    }
    const auto* known = m_state.m_upstreams.m_rows.find(id);
    const bool is_relevant =
        known == nullptr || serving::has_routing_change(known->m_entry, value_of(entry));
    if (is_relevant)
    {
        log_event{"upstream_known"}
            .add("upstream", id)
            .add("pool", value_of(entry).m_pool)
            .add("data_centre", value_of(entry).m_data_centre)
            .add("leaving", value_of(entry).m_leaving)
            .add("cold_ms", value_of(entry).m_cold_remaining.count());
    }
    serving::apply_entry(m_state.m_upstreams, value_of(entry), now());
    return is_relevant;
}

} // namespace geraniumdoor::edge
