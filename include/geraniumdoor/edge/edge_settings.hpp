#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/config/daemon_settings.hpp>
#include <geraniumdoor/config/document_reader.hpp>
#include <geraniumdoor/serving/retry_budget.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace geraniumdoor::edge
{

/// Settings of an edge host, JSON with comments.
struct edge_settings
{
    node_id m_node;
    data_centre_id m_data_centre;
    region_id m_region;
    /// Where callers connect.
    ip_endpoint m_caller_endpoint;
    /// Where readiness, the operator's questions and metrics are served.
    ip_endpoint m_admin_endpoint;
    /// Where metrics are served besides. The platform reads them at a port that does not
    /// change from day to day.
    ip_endpoint m_metrics_endpoint;
    /// Where callers ask for addresses.
    ip_endpoint m_directory_endpoint;
    /// Where other hosts connect, over TCP and UDP.
    ip_endpoint m_peer_endpoint;
    ip_endpoint m_store_endpoint;
    /// Hosts that may know others; any of them may be down.
    std::vector<ip_endpoint> m_seeds;
    /// Processor time of this host in cores.
    double m_cpu_cores = 1;
    /// Descriptors that the process may open.
    std::uint32_t m_max_open_files = 1024;
    serving::retry_limits m_retry_limits;
    /// A cold upstream bears this multiple of its rate, and this many requests more, in
    /// one second.
    double m_cold_rate_factor = 1;
    double m_cold_burst = 0;
    /// Time that a process has from SIGTERM to its end.
    milliseconds m_shutdown_timeout{8000};
    /// Longest time for which callers may keep an address answer.
    seconds m_max_address_ttl{5};
};

/// Returns all faults of the settings, each with its key.
result<edge_settings, document_faults> parse_edge_settings(std::string_view text);

} // namespace geraniumdoor::edge
