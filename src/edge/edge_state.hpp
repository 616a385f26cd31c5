#pragma once

#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/base/timer_service.hpp>
#include <geraniumdoor/edge/edge_settings.hpp>
#include <geraniumdoor/metrics/metric_registry.hpp>
#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/retry_budget.hpp>
#include <geraniumdoor/serving/routing.hpp>
#include <geraniumdoor/serving/stage_queue.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>

namespace geraniumdoor::edge
{

/// Period of the reports between hosts for each host, so that the reports that one host
/// receives stay below 170 a second, and bounds for it.
inline constexpr milliseconds report_period_per_host{6};
inline constexpr milliseconds shortest_report_period{200};
inline constexpr milliseconds longest_report_period{800};

/// What the parts of an edge host know and share. One thread uses it.
struct edge_state
{
    edge_state(boost::asio::any_io_executor executor, edge_settings settings,
               timer_service& timers)
        : m_executor{std::move(executor)}
        , m_settings{std::move(settings)}
        , m_timers{timers}
    {
        m_retries.m_limits = m_settings.m_retries;
    }

    boost::asio::any_io_executor m_executor;
    edge_settings m_settings;
    timer_service& m_timers;
    metric_registry m_metrics;
    /// Empty until a configuration is known. A request keeps the one it began with.
    std::shared_ptr<const serving::routing_config> m_routing;
    serving::upstream_table m_upstreams;
    bool m_registry_known = false;
    serving::host_table m_hosts;
    host_report m_own;
    serving::retry_budget m_retries;
};

/// Time on the steady clock. The timer service lags behind it while a handler runs.
inline time_point now()
{
    return std::chrono::steady_clock::now();
}

inline milliseconds report_period(const edge_state& state)
{
    const auto hosts = static_cast<std::int64_t>(state.m_hosts.m_hosts.size()) + 1;
    return std::clamp(report_period_per_host * hosts, shortest_report_period,
                      longest_report_period);
}

/// Silence after which a host counts as down.
inline duration live_for(const edge_state& state)
{
    return report_period(state) * serving::liveness_timeout_intervals;
}

inline boost::asio::ip::tcp::endpoint to_tcp(const ip_endpoint& endpoint)
{
    return {endpoint.m_address, endpoint.m_port};
}

/// Form in which ids travel in reports between hosts.
inline std::uint32_t short_hash(const std::string& id)
{
    return static_cast<std::uint32_t>(stable_hash(id));
}

inline node_id queue_host_of(const edge_state& state, const pool_id& pool)
{
    return serving::queue_host(state.m_hosts, state.m_own, pool, live_for(state), now());
}

} // namespace geraniumdoor::edge
