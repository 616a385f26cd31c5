#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/config/daemon_settings.hpp>
#include <geraniumdoor/config/document_reader.hpp>
#include <geraniumdoor/serving/retry_budget.hpp>
#include <geraniumdoor/serving/rollouts.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace geraniumdoor::edge
{

/// Settings of an edge host, read from JSON with comments.
struct edge_settings
{
    node_id m_node;
    data_centre_id m_data_centre;
    region_id m_region;
    /// Listener for callers.
    ip_endpoint m_caller_endpoint;
    /// Listener for readiness checks, operators' queries and metrics.
    ip_endpoint m_admin_endpoint;
    /// Second listener for metrics. The platform scrapes them at a port that does not
    /// change from day to day.
    ip_endpoint m_metrics_endpoint;
    /// Listener for callers' address queries.
    ip_endpoint m_directory_endpoint;
    /// Listener for other hosts, over TCP and UDP.
    ip_endpoint m_peer_endpoint;
    /// Listener for other hosts that reach upstreams through this one, at the address of
    /// m_peer_endpoint; port zero for none.
    ip_endpoint m_tunnel_endpoint;
    ip_endpoint m_store_endpoint;
    /// Hosts contacted for discovery; any of them may be down.
    std::vector<ip_endpoint> m_seeds;
    /// CPU share of this host, in cores.
    double m_cpu_cores = 1;
    /// File descriptors that the process may open.
    std::uint32_t m_max_open_files = 1024;
    /// Memory of the machine, in bytes; zero if the settings do not tell.
    std::size_t m_memory_bytes = 0;
    serving::retry_limits m_retry_limits;
    /// Bounds for software versions that are being tried. Without them in the settings,
    /// the defaults apply to orders, and versions without an order are not held back.
    serving::rollout_limits m_rollout_limits;
    /// Rate limit for a cold upstream, in requests per second: this multiple of its
    /// configured rate, plus this many requests.
    double m_cold_rate_factor = 1;
    double m_cold_burst = 0;
    /// Time that the process has from SIGTERM to its end.
    milliseconds m_shutdown_timeout{8000};
    /// Upper bound for the TTL of an address answer.
    seconds m_max_address_ttl{5};
};

/// Parses the settings. On failure returns all faults, each with its key.
result<edge_settings, document_faults> parse_edge_settings(std::string_view text);

} // namespace geraniumdoor::edge
