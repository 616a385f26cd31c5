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

/// One queue of stage work that this host runs.
struct queue_status
{
    pool_id m_pool;
    std::size_t m_jobs = 0;
    std::size_t m_announced = 0;
    std::size_t m_workers = 0;
    std::size_t m_busy_workers = 0;
    std::uint64_t m_room_used = 0;
    /// How long a job that arrives now would wait.
    serving::queue_waits m_waits;
};

/// What the parts of the host say of themselves.
struct host_stats
{
    std::size_t m_active_requests = 0;
    bool m_reads_store = false;
    /// Time since the store was last read, in milliseconds; UINT32_MAX for never.
    std::uint32_t m_store_age_ms = UINT32_MAX;
    std::vector<queue_status> m_queues;
};

/// Returns what operators ask an edge host for, or nothing if the path is unknown:
/// "/admin/status", "/admin/hosts", "/admin/upstreams", "/admin/queues" and
/// "/admin/limits". Times are in milliseconds, rooms in bytes.
std::optional<boost::json::object> describe(const edge_state& state,
                                            const host_stats& facts,
                                            std::string_view path, time_point at);

} // namespace geraniumdoor::edge
