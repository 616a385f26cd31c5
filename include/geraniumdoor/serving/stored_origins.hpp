#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/store_version.hpp>
#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/stream_origins.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

// What outlives a loss of all hosts, because the store keeps it: the versions of each
// pool that can have begun streams, and while there are several, the versions of streams.

namespace geraniumdoor::serving
{

/// Versions of a pool in the store.
struct stored_versions
{
    std::set<software_version> m_versions;
    /// Version of the row; zero if there is none.
    store_version m_row;
    /// Since when this host knows the row to have these versions.
    time_point m_known_since{};
};

/// Version that stands for those of a row that cannot be read.
extern const software_version unreadable_version;

/// Merges the versions that the store holds, and counts them as seen now. From then on
/// the history of all pools is complete.
/// @return pools in which a second version has appeared
std::vector<pool_id>
apply_stored_versions(stream_origins& origins,
                      const std::map<pool_id, stored_versions>& stored, time_point now);

/// Returns the versions that the row of a pool should have: those that it has, but for
/// those that this host has forgotten, and those that this host has seen since it knows
/// the row. A version that another host has removed is not added again unless it is seen
/// again.
std::set<software_version> versions_to_store(const stream_origins& origins,
                                             const pool_id& pool,
                                             const stored_versions& stored);

/// Whether a pool has several versions that can have begun streams.
bool has_several_versions(const stream_origins& origins);

using stream_version = std::pair<stream_key, software_version>;

/// Returns streams that the store does not hold yet.
std::vector<stream_version> unsaved_streams(const stream_origins& origins,
                                            std::size_t max_count);

void mark_saved(stream_origins& origins, const std::vector<stream_version>& streams);

/// Marks all streams as missing in the store, which has come back from an older copy.
void mark_unsaved(stream_origins& origins);

/// Records a stream that the store holds. It is kept as if it began now: clocks of hosts
/// differ, and are not stored.
void apply_stored_stream(stream_origins& origins, const stream_version& stream,
                         time_point now);

/// Whether this host writes the rows: the first by id among the live hosts that read the
/// store.
///
/// Load pattern: a release in a fleet of any size. The calls to the store do not grow
/// with the hosts.
bool writes_stored_origins(const host_table& table, const host_report& own,
                           time_point now);

} // namespace geraniumdoor::serving
