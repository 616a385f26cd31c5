#pragma once

#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/config/daemon_settings.hpp>
#include <geraniumdoor/serving/routing.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace geraniumdoor::serving
{

/// What an upstream says of itself in the registry.
struct upstream_entry
{
    upstream_id m_id;
    pool_id m_pool;
    ip_endpoint m_address;
    data_centre_id m_data_centre;
    bool m_leaving = false;
    std::uint32_t m_concurrency = 1;
    /// How much longer it stays cold, when the entry was written.
    milliseconds m_cold_remaining{0};
    /// Start of the process in Unix milliseconds; a restart under the same id changes it.
    std::int64_t m_started_unix_ms = 0;
};

/// Times of the circuit breaker that keeps failing upstreams out of the choice.
/// A dark upstream costs each request that tries it one connect timeout; the registry
/// drops it after about 4 s.
inline constexpr milliseconds first_ejection{700};
inline constexpr milliseconds max_ejection{5000};

/// Weight of the newest sample in moving averages of response times and failures.
inline constexpr double sample_weight = 0.2;

/// An upstream and what this host has seen of it.
struct upstream
{
    upstream_entry m_entry;
    /// Requests that this host has in progress there.
    std::uint32_t m_running = 0;
    /// Prompt tokens of these requests.
    std::uint64_t m_running_tokens = 0;
    /// Requests and tokens that other hosts report to have there.
    std::uint32_t m_running_elsewhere = 0;
    std::uint64_t m_tokens_elsewhere = 0;
    time_point m_cold_until{};
    /// Failures in a row that point to the upstream itself.
    std::uint32_t m_consecutive_failures = 0;
    time_point m_ejected_until{};
    /// Moving average of the share of answers that failed.
    double m_failure_share = 0;
    /// Moving average of the time to an answer against what was expected; 1 is as
    /// expected.
    double m_slowness = 1;
    /// Requests that this host may send it in one second while it is cold.
    std::uint32_t m_cold_quota = UINT32_MAX;
    /// Requests sent while it was cold since the start of a second.
    time_point m_cold_window_start{};
    std::uint32_t m_cold_window_sends = 0;
};

/// Requests a second that a host may send to a cold upstream.
///
/// Load pattern: a hot key whose home has just come back cold, and hosts that cannot hear
/// each other. The bound is divided by the hosts; when there are more hosts than
/// requests, only those with the highest rendezvous weights for the upstream may send.
/// @param bound requests in one second that the upstream bears from all hosts
/// @param rank hosts with a higher weight for the upstream
std::uint32_t cold_quota(double bound, std::size_t hosts, std::size_t rank);

/// Whether the upstream is warm, or this host has not used up its quota of this second.
bool is_within_cold_quota(const upstream& row, time_point now);

/// Counts a request sent to the upstream.
void record_send(upstream& row, time_point now);

/// Upstreams by id, and what the operator has said of data centres.
struct upstream_table
{
    table<upstream_id, upstream> m_rows;
    std::unordered_set<data_centre_id> m_evacuated_data_centres;
};

/// Takes over a registry entry. A changed start, pool or address forgets what was seen of
/// the process before.
void apply_entry(upstream_table& table, const upstream_entry& entry, time_point now);

/// Whether two entries of one upstream differ in what choices depend on. The entries
/// change with each heartbeat; most of these changes mean nothing to other hosts.
bool has_routing_change(const upstream_entry& before, const upstream_entry& after);

/// Whether new work may go to the upstream at all.
bool accepts_work(const upstream_table& table, const upstream& candidate);

/// Whether the upstream also looks healthy to this host.
bool is_available(const upstream_table& table, const upstream& candidate, time_point now);

/// Notes an answer: whether it was good and how long it took against the expectation.
void record_response(upstream& row, bool good, double slowness);

/// Notes a connection that could not be made, broke, or stayed silent. Ejects the
/// upstream for a time that doubles with each failure in a row.
void record_unreachable(upstream& row, time_point now);

/// Load that counts for a choice: requests of all hosts against the slots.
double load_ratio(const upstream& row);

/// Chooses the upstream of a plain service for one request.
///
/// Load pattern: a service of a few upstreams with few slots, of which some work slowly
/// or fail part of their answers while their status check is good. Picks the lowest
/// expected response time, that is slowness times load, with a share of failures counted
/// as repeated work, and prefers the host's own data centre on a tie.
/// @param tried upstreams that the request was already sent to
const upstream* choose_upstream(const upstream_table& table, const pool_id& pool,
                                const data_centre_id& own,
                                const std::vector<upstream_id>& tried, time_point now);

} // namespace geraniumdoor::serving
