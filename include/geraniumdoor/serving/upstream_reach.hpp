#pragma once

#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace geraniumdoor::serving
{

/// Upstreams of a pool to which connections have to fail, with none accepted in between,
/// before a host counts as cut off from the pool. A single one may have crashed.
inline constexpr std::size_t min_unreached_upstreams = 2;

/// Interval at which a host that is cut off from a pool tries a connection to one of its
/// upstreams.
inline constexpr milliseconds reach_probe_interval{500};

/// Time for which a host through which an upstream could not be reached is not asked
/// again.
inline constexpr milliseconds failed_tunnel_hold{1000};

/// Connections of this host to the upstreams of a pool, and through other hosts.
struct pool_reach
{
    /// Upstreams to which direct connections failed since one was last accepted, and when
    /// they last did.
    std::map<upstream_id, time_point> m_failed;
    bool m_is_cut_off = false;
    time_point m_last_probe{};
    /// Connections that were asked of each host since the host is cut off.
    std::map<node_id, std::uint32_t> m_asked;
    /// Hosts that could not connect to an upstream, and when.
    std::map<node_id, time_point> m_failed_hosts;
};

/// Records a direct connection that was accepted. Returns whether the host counted as cut
/// off from the pool.
bool record_direct_success(pool_reach& reach);

/// Records a direct connection that was refused or not accepted in time.
///
/// Load pattern: a host loses the path to all upstreams of a pool at once, while other
/// hosts reach them. Failures of one upstream are its own.
/// @param usable upstreams of the pool that accept work
/// @return whether the host counts as cut off from now on
bool record_direct_failure(pool_reach& reach, const upstream_id& upstream,
                           std::size_t usable, time_point now);

/// Number of upstreams of a pool that accept work.
std::size_t count_usable(const upstream_table& table, const pool_id& pool);

/// Returns the upstream to which a host that is cut off tries a connection now; null if
/// it is not time. One that has not failed comes first, then the one that failed first.
const upstream* next_reach_probe(const pool_reach& reach, const upstream_table& table,
                                 const pool_id& pool, time_point now);

/// Returns the host through which to connect to an upstream of a pool; empty if none can.
///
/// Load pattern: most hosts are cut off from all upstreams, and the others carry their
/// connections. Each gets its share by processor time, and none that is cut off, too.
/// Bodies stay in the region.
const peer_host* choose_tunnel_host(const host_table& table, const host_report& own,
                                    const pool_reach& reach, const pool_id& pool,
                                    time_point now);

} // namespace geraniumdoor::serving
