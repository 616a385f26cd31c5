#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/store_version.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor::serving
{

/// Entries whose writers restore them after an outage of the store count as removed when
/// they are still missing this long after it. The platform guarantees two seconds.
inline constexpr milliseconds restore_timeout{2200};

/// A row as read from the store.
struct store_row
{
    std::string m_key;
    std::string m_value;
    store_version m_version;
    /// The row was deleted.
    bool m_removed = false;
};

/// A row of the store as this host knows it, or the record of its removal.
struct cached_row
{
    std::string m_value;
    /// Version of the store in which the row was written or removed. A row from another
    /// host is applied only if its version is higher.
    store_version m_version;
    /// Store version and change number of this host for the last change of the row that
    /// is relevant to other hosts.
    store_version m_changed_version;
    std::uint64_t m_change_number = 0;
    bool m_removed = false;
    /// Compressed value of a large row; empty until a host has pulled it.
    std::string m_compressed;
};

/// A row that takes effect.
struct row_change
{
    std::string m_key;
    /// Empty if the row is removed.
    std::optional<std::string> m_value;
    store_version m_version;
};

/// What a store that came back from an older copy says of a row. It may be what the copy
/// has, or have been written since.
struct held_row
{
    row_change m_change;
    time_point m_until{};
};

/// Local copy of one table of the store.
struct table_copy
{
    /// Removed rows are kept so that their removal can be sent to other hosts.
    std::map<std::string, cached_row> m_rows;
    /// Version of the store that the copy reflects.
    store_version m_version;
    /// Keys whose removal was read during an outage or shortly after, each with the time
    /// at which the removal takes effect unless the row is restored.
    std::map<std::string, time_point> m_pending_removals;
    std::map<std::string, held_row> m_held_rows;
    /// When the last outage ended, or the store came back from an older copy.
    time_point m_recovered_at{};
    /// The table could not be read for some time, here or at any other host.
    bool m_unavailable = false;
    /// Another host has told of a later era; the table has to be read as a whole before
    /// this host reads its changes.
    bool m_needs_whole_read = false;
};

/// How the rows of a table are written again when the store has lost them.
struct copy_rules
{
    /// Writers restore their rows within restore_timeout.
    bool m_restores_rows = false;
    /// Time for which a row of an older copy is held, unless its writer writes it again.
    milliseconds m_hold_time{0};
    /// Whether two values of a row tell themselves that the second is the newer one; null
    /// if values do not tell.
    bool (*m_is_newer)(std::string_view key, std::string_view known,
                       std::string_view read) = nullptr;
};

struct merge_result
{
    /// The page is older than the copy and was ignored.
    bool m_is_stale = false;
    /// The store has come back from an older copy since the last read.
    bool m_is_new_era = false;
    std::vector<row_change> m_changes;
};

/// Merges rows that were read from the store into a copy. Returns the changes that take
/// effect; apply_row stores them.
///
/// Load pattern: the store is away for a moment and comes back from a copy some seconds
/// old. Its versions are given out again, and its writers write again what was lost, over
/// the next seconds. Until then the copy has upstreams as ready that are leaving or gone,
/// and lacks evacuations. What was known before stays in force, so that nothing is sent
/// where it must not go. A row that was not known counts as one of the earlier era, so
/// that it replaces nothing newer on hosts that knew more. Rows that are written again,
/// and after the hold time all others, are of the new era.
/// @param complete whether the page has all rows of the table rather than the changes
/// since the last read
merge_result merge_page(table_copy& table, const std::vector<store_row>& rows,
                        store_version version, bool complete, const copy_rules& rules,
                        time_point now);

/// Returns the changes that were held back and whose time has come.
std::vector<row_change> take_due_changes(table_copy& table, time_point now);

enum class row_effect : std::uint8_t
{
    /// The copy has a newer row.
    none,
    /// The same value, under a newer version.
    confirmed,
    /// The same value, under the first version of a later era. Other hosts may know
    /// another value.
    confirmed_in_new_era,
    changed,
};

/// Stores a change unless the copy has a newer one.
row_effect apply_row(table_copy& table, const row_change& change);

/// Notes the version of the store as of which another host has sent its rows.
void record_pushed_version(table_copy& table, store_version version, time_point now);

/// Whether a read of the changes since the copy's version would miss some.
bool needs_whole_read(const table_copy& table);

} // namespace geraniumdoor::serving
