#pragma once

#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace geraniumdoor::serving
{

/// Upstreams of a pool to which connections have to fail, with none accepted in between,
/// before a host counts as cut off from the pool. A single one may have crashed.
inline constexpr std::size_t min_unreached_upstreams = 2;

/// Interval at which a host tries a direct connection to an upstream that it reaches
/// through others.
inline constexpr milliseconds reach_probe_interval{500};

/// Time for which a host through which an upstream could not be reached is not asked for
/// it again.
inline constexpr milliseconds failed_tunnel_hold{1000};

/// Time after which a failed connection to an upstream says nothing anymore, unless the
/// upstream is reached through others.
inline constexpr milliseconds failed_path_lifetime{2000};

/// Count of connections asked of a host at which the counts of all are halved, so that a
/// host that has just come does not get all of them until it has had as many.
inline constexpr std::uint32_t max_asked = 32;

/// An upstream to which direct connections of this host fail.
struct failed_path
{
    time_point m_failed_at{};
    /// Another host has connected to it since.
    bool m_is_detoured = false;
    /// Hosts that could not connect to it, and when.
    std::map<node_id, time_point> m_failed_hosts;
};

/// Connections of this host to the upstreams of a pool, and through other hosts.
struct pool_reach
{
    std::map<upstream_id, failed_path> m_paths;
    /// No upstream of the pool is reached directly.
    bool m_is_cut_off = false;
    /// When a direct connection was last accepted.
    time_point m_reached_at{};
    time_point m_last_probe{};
    /// Connections that were lately asked of each host.
    std::map<node_id, std::uint32_t> m_asked;
};

/// Records a direct connection that was accepted. Returns whether the host counted as cut
/// off from the pool.
bool record_direct_success(pool_reach& reach, const upstream_id& upstream,
                           time_point now);

/// Records a direct connection that was refused or not accepted in time.
///
/// Load pattern: a host loses the path to all upstreams of a pool at once, while other
/// hosts reach them. Failures of one upstream are its own.
/// @param usable upstreams of the pool that accept work
/// @return whether the host counts as cut off from now on
bool record_direct_failure(pool_reach& reach, const upstream_id& upstream,
                           std::size_t usable, time_point now);

/// Records that a host connected to an upstream that this host does not reach, or could
/// not.
void record_tunnel(pool_reach& reach, const upstream_id& upstream, const node_id& host,
                   bool is_open, time_point now);

/// Counts a connection that is asked of a host.
void count_tunnel(pool_reach& reach, const node_id& host);

/// Whether to connect to an upstream through another host first.
///
/// Load pattern: a host loses the path to most upstreams of a pool, and reaches the
/// others. Without the detour these get all its work, and each attempt at one of the
/// first takes the limit on connecting.
bool uses_detour(const pool_reach& reach, const upstream_id& upstream);

/// What a host says in its report of pools and upstreams that it does not reach; pools
/// come first if there are too many.
std::vector<std::uint32_t> unreached_hashes(const std::map<pool_id, pool_reach>& reached);

/// Forgets upstreams that are not there anymore, and failures that are old.
void forget_paths(pool_reach& reach, const upstream_table& table, time_point now);

/// Number of upstreams of a pool that accept work.
std::size_t count_usable(const upstream_table& table, const pool_id& pool);

/// Returns the upstream to which to try a direct connection now, of those that are
/// reached through others; null if it is not time. The one that failed first comes first.
const upstream* next_reach_probe(const pool_reach& reach, const upstream_table& table,
                                 const pool_id& pool, time_point now);

/// Returns the host through which to connect to an upstream of a pool; null if none can.
///
/// Load pattern: most hosts are cut off from all upstreams, and the others carry their
/// connections. Each gets its share by processor time, and none that is cut off, too.
/// Bodies stay in the region.
const peer_host* choose_tunnel_host(const host_table& table, const host_report& own,
                                    const pool_reach& reach, const upstream_entry& target,
                                    time_point now);

} // namespace geraniumdoor::serving
