#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/config/document_reader.hpp>

#include <boost/asio/ip/address.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// IP number and port. Peers use the same port for TCP and UDP.
struct ip_endpoint
{
    boost::asio::ip::address m_address;
    std::uint16_t m_port = 0;

    bool operator==(const ip_endpoint&) const = default;
};

/// Reads "127.0.0.1:21101" or "[::1]:21101"; the port is 1 to 65535. Host names are not
/// accepted, because the system resolves none.
std::optional<ip_endpoint> parse_endpoint(std::string_view text);

std::string to_text(const ip_endpoint& endpoint);

/// Times of leases (section 5.1 of the design page).
struct lease_settings
{
    /// Shortest renewal period.
    milliseconds m_renewal{2000};
    /// Renewal period per live node.
    milliseconds m_renewal_per_node{27};
    /// Time to live in renewal periods.
    std::uint32_t m_time_to_live_periods = 3;
    /// Time beyond the time to live that a guarantor waits before it revokes.
    milliseconds m_revoke_margin{1000};
};

/// Times of membership probes (section 5.6 of the design page).
struct membership_times
{
    milliseconds m_probe_period{1000};
    milliseconds m_indirect_probe_after{300};
    milliseconds m_suspicion_timeout{3000};
    /// Time for which an unreachable member is kept.
    seconds m_unreachable_keep{7200};
};

/// Limits of the HTTP servers.
struct http_settings
{
    std::size_t m_header_bytes = 16UL * 1024;
    std::size_t m_body_bytes = 1024UL * 1024;
    std::size_t m_connections = 2000;
    milliseconds m_receive_timeout{10'000};
    milliseconds m_idle_timeout{60'000};
};

/// Limits on callers' requests and on the calls to the platform.
struct request_settings
{
    /// Requests that a coordinator has in progress at most.
    std::uint32_t m_in_progress = 4000;
    /// Calls that wait for the upstreams of one pool at most, on their owner.
    std::uint32_t m_queue_per_pool = 1000;
    /// Longest deadline that a caller may ask for.
    milliseconds m_longest_deadline{30'000};
    /// Time after which a call to the table service counts as unanswered.
    milliseconds m_table_timeout{1000};
    /// Time for which the claim of a supplied idempotency key is kept.
    seconds m_supplied_key_keep{7 * 24 * 3600};
    /// Time for which the claim of a derived idempotency key is kept.
    seconds m_derived_key_keep{24 * 3600};
};

/// Settings of one entry daemon.
struct daemon_settings
{
    node_id m_node;
    data_centre_id m_data_centre;
    region_id m_region;
    ip_endpoint m_caller_address;
    ip_endpoint m_admin_address;
    ip_endpoint m_peer_address;
    ip_endpoint m_table_service;
    ip_endpoint m_host_list;
    /// Peer addresses of other entry hosts.
    std::vector<ip_endpoint> m_seeds;
    /// Time for which callers may keep an address answer.
    seconds m_address_keep{10};
    /// Time between two reads of the configuration, for up to 18 live nodes.
    milliseconds m_table_poll{3000};
    /// Time between two reads of the host list.
    milliseconds m_host_list_poll{1000};
    lease_settings m_lease;
    membership_times m_membership;
    /// Memory of the machine that this process may take.
    std::size_t m_memory_bytes = 256'000'000;
    /// Descriptors that this process may open; zero for what the system allows it.
    std::uint32_t m_max_open_files = 0;
    http_settings m_http;
    request_settings m_requests;
    /// Directory of log files; empty for none.
    std::string m_log_directory;
    bool m_log_to_stderr = true;
};

/// Longest settings file, in bytes.
constexpr std::size_t max_settings_bytes = 256UL * 1024;

/// Reads the settings from JSON with comments. Reports all faults in one go.
result<daemon_settings, document_faults> parse_daemon_settings(std::string_view text);

} // namespace geraniumdoor
