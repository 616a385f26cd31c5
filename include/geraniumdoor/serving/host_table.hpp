#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor::serving
{

/// Another host, as described by its latest report.
struct peer_host
{
    host_report m_report;
    /// When the report was received.
    time_point m_last_heard{};
};

/// All other hosts that have sent a report.
struct host_table
{
    std::map<node_id, peer_host> m_hosts;
    /// Addresses of hosts from the settings and the platform; some may be out of date.
    std::vector<node_address> m_known_addresses;
};

/// Number of report intervals without a report after which a host counts as down. With a
/// loss of one datagram in thirty, a live host must not be marked as down.
inline constexpr int liveness_timeout_intervals = 4;

/// Stores a report unless it is older than the known one. Returns true when the host was
/// unknown, down or restarted before this report.
bool apply_report(host_table& table, const host_report& report, duration liveness_timeout,
                  time_point now);

bool is_live(const peer_host& host, duration liveness_timeout, time_point now);

/// Number of hosts among which a shared rate limit is divided: this host and all hosts
/// heard from within the last minute. A host that is partitioned from this one may still
/// send requests.
std::size_t count_possible_senders(const host_table& table, time_point now);

/// Whether this host reads the store for the other hosts. The hosts with the highest
/// rendezvous weights do. A reader that is down, or whose last read is older than
/// max_read_age, is replaced by the host with the next weight at once.
/// @param reader_count number of hosts that should read at the same time
/// @param max_read_age age of the last read above which a host does not count as a reader
bool is_store_reader(const host_table& table, const host_report& own,
                     std::size_t reader_count, duration max_read_age, time_point now);

/// Whether this host reads the store when no host has read it yet, because all hosts have
/// just started: it has one of the highest weights among the hosts it has heard from.
bool is_initial_store_reader(const host_table& table, const host_report& own,
                             std::size_t reader_count);

/// Number of live hosts, including this one.
std::size_t count_live_hosts(const host_table& table, duration liveness_timeout,
                             time_point now);

/// Returns the host that runs the queue of a pool: the live host with the highest
/// rendezvous weight. Hosts with more processor time have higher weights.
/// @param own report of this host, a candidate only if it is ready and not stopping
node_id queue_host(const host_table& table, const host_report& own, const pool_id& pool,
                   duration liveness_timeout, time_point now);

/// Returns the addresses for callers in the order of an address response: hosts of the
/// caller's data centre first, then other hosts until there are min_count.
/// @param near data centre of the caller
/// @param min_count number of addresses to return at least, if there are as many hosts
std::vector<std::string> caller_addresses(const host_table& table, const host_report& own,
                                          const data_centre_id& near,
                                          std::size_t min_count,
                                          duration liveness_timeout, time_point now);

} // namespace geraniumdoor::serving
