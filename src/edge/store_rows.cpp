#include "store_watch.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

#include <platform/rollout_rows.hpp>
#include <platform/rows.hpp>

// Effects of rows on this host, whether they come from the store or from another host.

namespace geraniumdoor::edge
{

void store_watch::apply_page(cached_table& table, const platform::row_page& page,
                             bool complete, time_point as_of)
{
    const store_version before = table.m_copy.m_version;
    const serving::merge_result merged = serving::merge_page(
        table.m_copy, page.m_rows, page.m_version, complete, table.m_rules, now());
    if (merged.m_is_stale)
    {
        log_event{"store_read_stale"}
            .add("table", table.m_name)
            .add("era", era_of(page.m_version))
            .add("version", transaction_of(page.m_version))
            .add("held_era", era_of(before))
            .add("held", transaction_of(before));
        return;
    }
    if (merged.m_is_new_era)
    {
        log_event{"store_went_back"}
            .add("table", table.m_name)
            .add("era", era_of(page.m_version))
            .add("version", transaction_of(page.m_version))
            .add("held_era", era_of(before))
            .add("held", transaction_of(before))
            .add("rows_held_back", table.m_copy.m_held_rows.size());
        ++m_state.m_store_returns;
        m_state.m_metrics.add("store_returns", {{"table", table.m_name}});
    }
    if (page.m_unreadable_rows > 0)
    {
        log_event{"store_rows_without_key"}
            .add("table", table.m_name)
            .add("rows", page.m_unreadable_rows);
    }
    const std::uint64_t changes_before = m_changes;
    for (const serving::row_change& change : merged.m_changes)
    {
        apply_row(table, change);
    }
    m_changes += before == store_version{} ? 1 : 0;
    serving::confirm_view(view_of(table), as_of);
    serving::confirm_starts(m_state.m_upstreams, m_state.m_registry_view);
    publish(changes_before);
}

bool store_watch::apply_row(cached_table& table, const serving::row_change& change)
{
    const bool is_new = !table.m_copy.m_rows.contains(change.m_key);
    serving::row_effect effect = serving::apply_row(table.m_copy, change);
    // An order that the operator writes once more is another order.
    const bool is_order = &table == &m_operator_table && change.m_value &&
                          platform::rollout_pool(change.m_key);
    if (effect == serving::row_effect::confirmed && is_order)
    {
        effect = serving::row_effect::changed;
    }
    if (effect == serving::row_effect::none || effect == serving::row_effect::confirmed)
    {
        return false;
    }
    bool is_relevant = effect == serving::row_effect::confirmed_in_new_era;
    if (effect == serving::row_effect::changed)
    {
        const std::string* value = change.m_value ? &*change.m_value : nullptr;
        is_relevant = &table == &m_operator_table ? apply_operator_row(change)
                                                  : apply_upstream(change.m_key, value);
    }
    if (is_relevant || is_new)
    {
        serving::cached_row& cached = table.m_copy.m_rows[change.m_key];
        cached.m_change_number = ++m_changes;
        // A row that counts as one of the earlier era is news of this one all the same.
        cached.m_changed_version = std::max(change.m_version, table.m_copy.m_version);
    }
    return is_relevant;
}

bool store_watch::has_no_data() const
{
    return m_operator_table.m_copy.m_version == store_version{} ||
           m_registry.m_copy.m_version == store_version{};
}

void store_watch::publish(std::uint64_t changes_before)
{
    m_state.m_own_report.m_changes = m_changes;
    m_state.m_registry_loaded = m_registry.m_copy.m_version != store_version{};
    if (m_changes != changes_before)
    {
        m_on_change();
    }
}

void store_watch::apply_due_changes()
{
    const std::uint64_t changes_before = m_changes;
    for (cached_table* table : {&m_operator_table, &m_registry})
    {
        for (const serving::row_change& change :
             serving::take_due_changes(table->m_copy, now()))
        {
            apply_row(*table, change);
        }
    }
    publish(changes_before);
}

void store_watch::apply_rollout_order(const pool_id& pool,
                                      const serving::row_change& change)
{
    if (!change.m_value)
    {
        serving::withdraw_order(m_state.m_rollouts, pool, now());
        log_event{"rollout_withdrawn"}.add("pool", pool);
        return;
    }
    const auto order =
        platform::decode_rollout_order(pool, *change.m_value, change.m_version);
    if (!is_ok(order))
    {
        log_event{"rollout_order_rejected"}
            .add("pool", pool)
            .add("reason", error_of(order).m_detail);
        return;
    }
    // What a host finds at its start may have been ordered long ago.
    const bool is_new = m_state.m_own_report.m_ready;
    serving::apply_order(m_state.m_rollouts, value_of(order), is_new, now());
    log_event{"rollout_ordered"}
        .add("pool", pool)
        .add("version", value_of(order).m_version)
        .add("duration_ms", value_of(order).m_duration.count())
        .add("order", value_of(order).m_id)
        .add("is_new", is_new);
}

bool store_watch::apply_operator_row(const serving::row_change& change)
{
    const std::string& key = change.m_key;
    const std::string* value = change.m_value ? &*change.m_value : nullptr;
    if (const auto pool = platform::rollout_pool(key))
    {
        apply_rollout_order(*pool, change);
        return true;
    }
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
        .add("source", m_row_source)
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
            .add("version", value_of(entry).m_version)
            .add("data_centre", value_of(entry).m_data_centre)
            .add("leaving", value_of(entry).m_leaving)
            .add("cold_ms", value_of(entry).m_cold_remaining.count());
    }
    serving::apply_entry(m_state.m_upstreams, value_of(entry), now());
    return is_relevant;
}

} // namespace geraniumdoor::edge
