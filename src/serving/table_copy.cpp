#include <geraniumdoor/serving/table_copy.hpp>

#include <unordered_set>
#include <utility>

namespace geraniumdoor::serving
{

namespace
{

bool is_present(const table_copy& table, const std::string& key)
{
    const auto cached = table.m_rows.find(key);
    return cached != table.m_rows.end() && !cached->second.m_removed;
}

/// State of one merge.
struct page_merge
{
    table_copy& m_table;
    const copy_rules& m_rules;
    /// First read of the whole table since the store has come back from an older copy.
    bool m_is_first_of_era = false;
    time_point m_now{};
    std::vector<row_change> m_changes;
};

/// Whether the row stays held: it is the one that contradicted what was known, and was
/// not written since.
bool stays_held(page_merge& merge, const row_change& change)
{
    const auto held = merge.m_table.m_held_rows.find(change.m_key);
    if (held == merge.m_table.m_held_rows.end())
    {
        return false;
    }
    const row_change& before = held->second.m_change;
    const bool is_same_removal = !change.m_value && !before.m_value;
    if (is_same_removal || change.m_version <= before.m_version)
    {
        return true;
    }
    merge.m_table.m_held_rows.erase(held);
    return false;
}

bool is_surely_newer(const page_merge& merge, const cached_row& known,
                     const row_change& change)
{
    return merge.m_rules.m_is_newer != nullptr && !known.m_removed && change.m_value &&
           merge.m_rules.m_is_newer(change.m_key, known.m_value, *change.m_value);
}

/// Takes a row of the first read of an era.
void take_from_older_copy(page_merge& merge, row_change change)
{
    table_copy& table = merge.m_table;
    const auto cached = table.m_rows.find(change.m_key);
    const bool is_known = cached != table.m_rows.end();
    if (is_known && cached->second.m_version >= change.m_version)
    {
        return;
    }
    if (is_known && is_surely_newer(merge, cached->second, change))
    {
        merge.m_changes.push_back(std::move(change));
        return;
    }
    if (!is_known)
    {
        const store_era earlier{era_of(change.m_version).m_value - 1};
        row_change provisional = change;
        provisional.m_version =
            make_store_version(earlier, transaction_of(change.m_version));
        merge.m_changes.push_back(std::move(provisional));
    }
    const std::string key = change.m_key;
    table.m_held_rows[key] = {std::move(change), merge.m_now + merge.m_rules.m_hold_time};
}

void take(page_merge& merge, row_change change)
{
    table_copy& table = merge.m_table;
    if (stays_held(merge, change))
    {
        return;
    }
    const bool may_be_restored =
        !change.m_value && merge.m_rules.m_restores_rows &&
        is_present(table, change.m_key) &&
        (table.m_unavailable || merge.m_now - table.m_recovered_at < restore_timeout);
    if (may_be_restored)
    {
        table.m_pending_removals.try_emplace(change.m_key,
                                             table.m_recovered_at + restore_timeout);
        return;
    }
    table.m_pending_removals.erase(change.m_key);
    if (merge.m_is_first_of_era)
    {
        take_from_older_copy(merge, std::move(change));
        return;
    }
    merge.m_changes.push_back(std::move(change));
}

std::vector<std::string> missing_keys(const table_copy& table,
                                      const std::vector<store_row>& rows)
{
    std::unordered_set<std::string_view> present;
    for (const store_row& row : rows)
    {
        present.insert(row.m_key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, row] : table.m_rows)
    {
        if (!present.contains(key) && !row.m_removed)
        {
            missing.push_back(key);
        }
    }
    return missing;
}

void begin_era(table_copy& table, time_point now)
{
    table.m_held_rows.clear();
    table.m_recovered_at = now;
    for (auto& [key, until] : table.m_pending_removals)
    {
        until = now + restore_timeout;
    }
}

} // namespace

merge_result merge_page(table_copy& table, const std::vector<store_row>& rows,
                        store_version version, bool complete, const copy_rules& rules,
                        time_point now)
{
    merge_result result;
    if (version < table.m_version)
    {
        result.m_is_stale = true;
        return result;
    }
    const bool was_read = table.m_version != store_version{};
    result.m_is_new_era = was_read && era_of(version) > era_of(table.m_version);
    if (result.m_is_new_era)
    {
        begin_era(table, now);
    }
    const bool is_first_of_era =
        complete && (result.m_is_new_era || table.m_needs_whole_read);
    page_merge merge{table, rules, is_first_of_era, now, {}};
    if (complete)
    {
        for (std::string& key : missing_keys(table, rows))
        {
            take(merge, {std::move(key), std::nullopt, version});
        }
        table.m_needs_whole_read = false;
    }
    for (const store_row& row : rows)
    {
        take(merge, {row.m_key, row.m_removed ? std::nullopt : std::optional{row.m_value},
                     row.m_version});
    }
    table.m_version = version;
    result.m_changes = std::move(merge.m_changes);
    return result;
}

std::vector<row_change> take_due_changes(table_copy& table, time_point now)
{
    std::vector<row_change> due;
    for (auto at = table.m_held_rows.begin(); at != table.m_held_rows.end();)
    {
        if (at->second.m_until > now)
        {
            ++at;
            continue;
        }
        due.push_back(std::move(at->second.m_change));
        at = table.m_held_rows.erase(at);
    }
    if (table.m_unavailable)
    {
        return due;
    }
    for (auto at = table.m_pending_removals.begin();
         at != table.m_pending_removals.end();)
    {
        if (at->second > now)
        {
            ++at;
            continue;
        }
        due.push_back({at->first, std::nullopt, table.m_version});
        at = table.m_pending_removals.erase(at);
    }
    return due;
}

row_effect apply_row(table_copy& table, const row_change& change)
{
    const auto [position, is_new] = table.m_rows.try_emplace(change.m_key);
    cached_row& cached = position->second;
    if (!is_new && change.m_version <= cached.m_version)
    {
        return row_effect::none;
    }
    const bool is_changed = is_new || cached.m_removed == change.m_value.has_value() ||
                            (change.m_value && cached.m_value != *change.m_value);
    const bool is_later_era = era_of(change.m_version) > era_of(cached.m_version);
    cached.m_version = change.m_version;
    if (!is_changed)
    {
        return is_later_era ? row_effect::confirmed_in_new_era : row_effect::confirmed;
    }
    cached.m_removed = !change.m_value;
    cached.m_value = change.m_value.value_or(std::string{});
    cached.m_compressed.clear();
    return row_effect::changed;
}

void record_pushed_version(table_copy& table, store_version version, time_point now)
{
    const bool was_read = table.m_version != store_version{};
    if (was_read && era_of(version) > era_of(table.m_version))
    {
        begin_era(table, now);
        table.m_needs_whole_read = true;
    }
    table.m_version = std::max(table.m_version, version);
}

bool needs_whole_read(const table_copy& table)
{
    return table.m_version == store_version{} || table.m_needs_whole_read;
}

} // namespace geraniumdoor::serving
