#pragma once

#include "edge_state.hpp"

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace geraniumdoor::edge
{

/// Status of a queue of stage work on this host.
struct queue_status
{
    pool_id m_pool;
    std::size_t m_jobs = 0;
    std::size_t m_announced = 0;
    std::size_t m_upstreams = 0;
    std::size_t m_busy_upstreams = 0;
    std::uint64_t m_result_memory_used = 0;
    /// Expected wait of a job that arrives now.
    serving::queue_waits m_waits;
};

/// Statistics of the components of this host.
struct host_stats
{
    std::size_t m_active_requests = 0;
    /// Whether this host currently reads the store for the others.
    bool m_is_store_reader = false;
    /// Time since the store was last read, in milliseconds; UINT32_MAX if never.
    std::vector<queue_status> m_queues;
};

/// Returns the body of an admin query, or nothing if the path is unknown. Known paths are
/// "/admin/status", "/admin/hosts", "/admin/upstreams", "/admin/queues",
/// "/admin/suspects" and "/admin/limits". Times are in milliseconds, sizes in bytes.
std::optional<boost::json::object> admin_status(const edge_state& state,
                                                const host_stats& stats,
                                                std::string_view path, time_point at);

} // namespace geraniumdoor::edge
