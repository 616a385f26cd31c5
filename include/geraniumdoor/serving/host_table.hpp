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

/// A host as its reports describe it.
struct peer_host
{
    host_report m_report;
    time_point m_last_heard{};
};

/// All hosts heard of, this one excluded.
struct host_table
{
    std::map<node_id, peer_host> m_hosts;
    /// Addresses of hosts from settings and the platform, which may be stale.
    std::vector<node_address> m_seeds;
};

/// Silence after which a host counts as down, in reporting periods. One lost datagram in
/// thirty must not take a host out.
inline constexpr int liveness_timeout_intervals = 4;

/// Takes over a report unless it is older than what is known. Returns whether the host
/// was not known to be live before.
bool apply_report(host_table& table, const host_report& report, duration live_for,
                  time_point now);

bool is_live(const peer_host& host, duration live_for, time_point now);

/// Hosts that count in a division of a shared bound: all heard within a minute, and this
/// one. A host that is cut off from this one may still send.
std::size_t count_possible_senders(const host_table& table, time_point now);

/// Whether this host reads the store for the others. The hosts with the highest
/// rendezvous weight do; one that is down, or has not read for the longest age, is
/// replaced by the next one at once.
/// @param readers hosts that should read at a time
/// @param longest_age age of a read above which a host does not count as a reader
bool is_store_reader(const host_table& table, const host_report& own, std::size_t readers,
                     duration longest_age, time_point now);

/// Whether this host is one of the first readers of hosts that have all just started: one
/// of those with the highest weights among the hosts it has heard of.
bool is_initial_store_reader(const host_table& table, const host_report& own,
                             std::size_t readers);

/// Live hosts, this one included.
std::size_t count_live_hosts(const host_table& table, duration live_for, time_point now);

/// The host that runs the queue of a pool: the live host with the highest rendezvous
/// weight, weighted towards hosts with more processor time.
/// @param own report of this host, a candidate unless it is stopping
node_id queue_host(const host_table& table, const host_report& own, const pool_id& pool,
                   duration live_for, time_point now);

/// Caller addresses in the order of an address answer: hosts of the data centre first,
/// then others until there are enough.
/// @param enough hosts that an answer names at least, if there are so many
std::vector<std::string> caller_addresses(const host_table& table, const host_report& own,
                                          const data_centre_id& near, std::size_t enough,
                                          duration live_for, time_point now);

} // namespace geraniumdoor::serving
