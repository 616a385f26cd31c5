#pragma once

#include "exchange_numbers.hpp"

#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/base/timer_service.hpp>
#include <geraniumdoor/edge/edge_settings.hpp>
#include <geraniumdoor/metrics/metric_registry.hpp>
#include <geraniumdoor/net/memory_account.hpp>
#include <geraniumdoor/serving/crash_suspects.hpp>
#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/planned_stop.hpp>
#include <geraniumdoor/serving/retry_budget.hpp>
#include <geraniumdoor/serving/rollouts.hpp>
#include <geraniumdoor/serving/routing.hpp>
#include <geraniumdoor/serving/stage_queue.hpp>
#include <geraniumdoor/serving/stream_origins.hpp>
#include <geraniumdoor/serving/table_view.hpp>
#include <geraniumdoor/serving/upstream_reach.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <optional>

namespace geraniumdoor::edge
{

/// State shared by the components of an edge host. Used from one thread only.
struct edge_state
{
    edge_state(boost::asio::any_io_executor executor, edge_settings settings,
               timer_service& timers)
        : m_executor{std::move(executor)}
        , m_settings{std::move(settings)}
        , m_timers{timers}
    {
        m_retry_budget.m_limits = m_settings.m_retry_limits;
        m_rollout_limits = m_settings.m_rollout_limits;
        m_memory =
            std::make_shared<memory_pool>(memory_limits_of(m_settings.m_memory_bytes));
    }

    boost::asio::any_io_executor m_executor;
    edge_settings m_settings;
    timer_service& m_timers;
    metric_registry m_metrics;
    /// What connections of callers, their requests and the answers to them take.
    std::shared_ptr<memory_pool> m_memory;
    /// Empty until a configuration is known. A request keeps the one in force when it
    /// arrived.
    std::shared_ptr<const serving::routing_config> m_routing;
    serving::upstream_table m_upstreams;
    bool m_registry_loaded = false;
    /// Pools to whose upstreams connections of this host have failed.
    std::map<pool_id, serving::pool_reach> m_reach;
    /// As of when this host's copies of the store's tables are complete.
    serving::table_view m_operator_view;
    serving::table_view m_registry_view;
    /// Number of times that a table of the store was found to have come back from an
    /// older copy.
    std::uint64_t m_store_returns = 0;
    serving::host_table m_hosts;
    host_report m_own_report;
    /// Times of the planned stop; empty until one begins.
    std::optional<serving::stop_schedule> m_stop;
    /// Numbers of what this host asks others.
    exchange_numbers m_numbers;
    serving::retry_budget m_retry_budget;
    serving::crash_suspects m_crash_suspects;
    serving::stream_origins m_stream_origins;
    serving::rollout_limits m_rollout_limits;
    serving::rollout_table m_rollouts;
    /// A response has changed what is known of an upstream, and other hosts have not been
    /// told yet.
    bool m_notices_changed = false;
    /// The same for upstreams whose process may have ended.
    bool m_doubts_changed = false;
};

/// Current time of the steady clock. The time of the timer service does not advance while
/// a handler runs.
inline time_point now()
{
    return std::chrono::steady_clock::now();
}

inline boost::asio::ip::tcp::endpoint to_tcp(const ip_endpoint& endpoint)
{
    return {endpoint.m_address, endpoint.m_port};
}

using serving::id_hash;

/// Host that runs the queue of a pool.
inline node_id queue_host_of(const edge_state& state, const pool_id& pool)
{
    return serving::queue_host(state.m_hosts, state.m_own_report, pool, now());
}

} // namespace geraniumdoor::edge
