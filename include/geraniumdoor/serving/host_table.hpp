#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>
#include <geraniumdoor/serving/table_view.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor::serving
{

/// Another host, as described by its latest report.
struct peer_host
{
    host_report m_report;
    /// When the host was last heard from.
    time_point m_last_heard{};
    /// When the report was sent, by this host's clock.
    time_point m_reported_at{};
    message_delay m_delay;
    /// Weight of the host as a reader of the store.
    double m_reader_weight = 0;
};

/// All other hosts that have sent a report.
struct host_table
{
    std::map<node_id, peer_host> m_hosts;
    /// When another host whose reads of the store had failed was last seen to read again.
    time_point m_store_recovered_at{};
    /// Addresses of hosts from the settings and the platform; some may be out of date.
    std::vector<node_address> m_known_addresses;
};

/// The report interval grows with the number of hosts. 6 ms per host keeps the reports
/// that a host receives below 170 per second, up to 133 hosts; above that the interval
/// stays at its maximum.
inline constexpr milliseconds report_interval_per_host{6};
inline constexpr milliseconds min_report_interval{200};
inline constexpr milliseconds max_report_interval{800};

/// Longest interval of a host that reads the store or runs a queue, so that the loss of
/// such a host is noticed in the same time in a deployment of any size.
inline constexpr milliseconds max_role_report_interval{400};

/// Number of report intervals without a report after which a host counts as down. With a
/// loss of one datagram in thirty, a live host must not be marked as down.
inline constexpr int liveness_timeout_intervals = 4;

/// Returns the time between two reports of a host.
/// @param hosts number of hosts that it knows, itself included
/// @param has_role whether it reads the store or runs a queue
milliseconds report_interval(std::size_t hosts, bool has_role);

/// Returns the time without a report after which a host counts as down. It follows from
/// the interval that the host itself has stated, because hosts may know different numbers
/// of hosts.
milliseconds liveness_timeout(const host_report& report);

/// Stores a report unless it is older than the known one. A lower incarnation counts as
/// older only while the known process is live. Returns true when the host was unknown,
/// down or restarted before this report.
bool apply_report(host_table& table, const host_report& report, time_point now);

/// Counts a message of a host as a sign of life. Its reports are datagrams, which are
/// lost when its link is full, while messages on its connections still arrive.
void record_message(host_table& table, const node_id& from, incarnation from_incarnation,
                    time_point now);

bool is_live(const peer_host& host, time_point now);

/// Number of hosts among which a shared rate limit is divided: this host and all hosts
/// heard from within the last minute. A host that is partitioned from this one may still
/// send requests.
std::size_t count_possible_senders(const host_table& table, time_point now);

/// Number of live hosts, including this one.
std::size_t count_live_hosts(const host_table& table, time_point now);

/// Weight of a host for a role in weighted rendezvous hashing. The share of roles that a
/// host gets is proportional to the cube of its processor time: small hosts have
/// disproportionately little bandwidth, and the holder of a role sends to all others.
double role_weight(std::string_view role, const host_report& host);

/// Name of the store reader's role.
inline constexpr std::string_view store_reader_role = "store";

/// Factor on the weight of a host that holds a role already. The role stays where it is
/// when a host with a somewhat higher weight starts, and leaves a host that is much
/// smaller than others.
inline constexpr double holder_weight_factor = 16;

/// Hash that stands for the id of a pool or an upstream in reports.
std::uint32_t id_hash(const std::string& id);

/// Whether a host reports that it runs the queue of a pool.
bool runs_queue(const host_report& report, const pool_id& pool);

/// Returns the host that runs the queue of a pool: the live and ready host with the
/// highest weight, times holder_weight_factor for those that run it already.
///
/// Load pattern: the host of a queue restarts in the middle of a burst. The host that
/// took over keeps the queue with its jobs, so that the workers are not given the calls
/// of two queues.
/// @param own report of this host, a candidate only if it is ready and not stopping
node_id queue_host(const host_table& table, const host_report& own, const pool_id& pool,
                   time_point now);

/// Returns the host that issues the permits to send to an upstream: the live and ready
/// host with the highest weight, which is not stopping.
/// @param run process of the upstream
node_id permit_issuer(const host_table& table, const host_report& own, upstream_run run,
                      time_point now);

/// Part of an upstream's limit that the host which issues its permits may use: the share
/// of live hosts among those that may still send. Hosts that are partitioned from each
/// other keep the limit together.
double permit_share(const host_table& table, time_point now);

/// Returns the addresses for callers in the order of an address response: hosts of the
/// caller's data centre first, then other hosts until there are min_count.
/// @param near data centre of the caller
/// @param min_count number of addresses to return at least, if there are as many hosts
std::vector<std::string> caller_addresses(const host_table& table, const host_report& own,
                                          const data_centre_id& near,
                                          std::size_t min_count, time_point now);

} // namespace geraniumdoor::serving
