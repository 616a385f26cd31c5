#pragma once

#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/config/daemon_settings.hpp>
#include <geraniumdoor/serving/routing.hpp>
#include <geraniumdoor/serving/send_account.hpp>
#include <geraniumdoor/serving/table_view.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace geraniumdoor::serving
{

/// Registry entry in which an upstream describes itself.
struct upstream_entry
{
    upstream_id m_id;
    pool_id m_pool;
    ip_endpoint m_address;
    data_centre_id m_data_centre;
    bool m_leaving = false;
    std::uint32_t m_concurrency = 1;
    /// Remaining time for which the upstream is cold, as of when the entry was written.
    milliseconds m_cold_remaining{0};
    /// Start of the process in Unix milliseconds; a restart under the same id changes it.
    std::int64_t m_started_unix_ms = 0;
    software_version m_version;
};

upstream_run run_of(const upstream_entry& entry);

/// Ejection times of the circuit breaker that excludes unreachable upstreams from
/// selection. An upstream that does not respond costs each request that tries it one
/// connect timeout; the registry removes it after about 4 s.
inline constexpr milliseconds first_ejection{700};
inline constexpr milliseconds max_ejection{5000};

/// Weight of the newest sample in moving averages of response times and failures.
inline constexpr double sample_weight = 0.2;

/// What is known of an upstream's slowness and failures is forgotten once other upstreams
/// have had this number of its turns; half of it in each second number. A turn is as many
/// responses as the pool has upstreams.
inline constexpr double observation_lifetime_turns = 5;
inline constexpr double observation_half_life_turns = 10;

/// Which requests an upstream may get while its pool moves to another software version.
enum class upstream_use : std::uint8_t
{
    any,
    /// Requests that are selected to try the version.
    trial,
    /// Streams that its version has begun.
    begun_streams,
    closed,
};

/// An upstream and what this host has observed of it.
struct upstream
{
    upstream_entry m_entry;
    /// Requests that this host has in progress at the upstream.
    std::uint32_t m_running = 0;
    /// Prompt and output tokens of these requests.
    std::uint64_t m_running_tokens = 0;
    /// Requests and tokens that other hosts report to have in progress there.
    std::uint32_t m_running_elsewhere = 0;
    std::uint64_t m_tokens_elsewhere = 0;
    time_point m_cold_until{};
    /// Consecutive failures that indicate a fault of the upstream itself.
    std::uint32_t m_consecutive_failures = 0;
    time_point m_ejected_until{};
    /// Moving average of the share of responses that report a failure.
    double m_failure_share = 0;
    /// Moving average of the ratio of the measured to the expected response time.
    double m_slowness = 1;
    /// Turns that other upstreams of its pool have had since its last response. Both
    /// averages are as of then.
    double m_missed_turns = 0;
    /// The upstream has said that it leaves, which may be before its registry entry does.
    bool m_says_leaving = false;
    /// When it last said so to this host.
    std::optional<time_point> m_said_leaving_at;
    /// Tells the process from its predecessors.
    upstream_run m_run;
    /// When a connection broke or could not be opened: the process may have ended, and
    /// another one be there under its id. Empty while there is no doubt.
    std::optional<time_point> m_doubted_at;
    /// When this host last saw that itself.
    std::optional<time_point> m_doubted_here_at;
    /// When a connection was accepted after the doubt arose.
    std::optional<time_point> m_reached_at;
    /// Doubts up to then have been settled.
    time_point m_certain_at{};
    /// What bounds this host's requests to the upstream.
    send_account m_sends;
    /// Permits that this host issues to all hosts, if it is the one that does.
    permit_ledger m_issued;
    upstream_use m_use = upstream_use::any;
    /// Group under which its answers are counted meanwhile; 0 for versions in force.
    std::uint8_t m_version_group = 0;
    /// Calls of pieces in progress and results not released, where this host runs the
    /// queue of the pool.
    std::uint32_t m_results_held = 0;
};

/// Returns the requests per second that one host may send to a cold upstream.
///
/// Load pattern: a hot key whose home engine has just restarted cold, and hosts that are
/// partitioned from each other. The rate limit is divided by the number of hosts; when
/// there are more hosts than requests, only the hosts with the highest rendezvous weights
/// for the upstream may send.
/// @param rate_limit requests per second from all hosts that the upstream can take
/// @param rank number of hosts with a higher weight for the upstream
std::uint32_t cold_quota(double rate_limit, std::size_t hosts, std::size_t rank);

/// Decides whether this host may send a request to the upstream.
send_decision decide_send(const upstream& row, time_point now);

/// Upstreams by id, and the data centres that the operator has evacuated.
struct upstream_table
{
    table<upstream_id, upstream> m_rows;
    std::unordered_set<data_centre_id> m_evacuated_data_centres;
};

/// Returns the row of a process; null if it is not in the registry.
upstream* find_run(upstream_table& table, upstream_run run);

/// Time until the first upstream of a pool may be sent a request; empty if one may be
/// now, or if no upstream accepts work.
///
/// Load pattern: all upstreams of a pool name limits that are used up, or are full and
/// decline requests. A request that would end before one takes it is refused before
/// stages run for it, and is told when to return.
/// @param version software version that the upstream must have; empty for any
std::optional<milliseconds>
send_wait(const upstream_table& table, const pool_id& pool, time_point now,
          const std::optional<software_version>& version = std::nullopt);

/// Stores a registry entry. A changed start time, pool or address discards what was
/// observed of the previous process.
void apply_entry(upstream_table& table, const upstream_entry& entry, time_point now);

/// Whether two entries of one upstream differ in a field that affects the selection of
/// upstreams. The entries change with each heartbeat; most of these changes are
/// irrelevant to other hosts.
bool has_routing_change(const upstream_entry& before, const upstream_entry& after);

/// Whether new work may be sent to the upstream: it is not leaving, as its entry or the
/// upstream itself says, its data centre is not evacuated and its version not withdrawn.
bool accepts_work(const upstream_table& table, const upstream& candidate);

/// Whether the upstream accepts work, and wants requests from this host at the moment.
bool takes_requests(const upstream_table& table, const upstream& candidate,
                    time_point now);

/// Shortest time in which a process ends and another one accepts connections under its
/// id. The platform's upstreams are back after some seconds.
inline constexpr milliseconds min_restart_time{100};

/// Records that the process of an upstream may have ended.
void doubt_start(upstream& row, time_point at);

/// Records that the process is the one that the entry describes, as of a time.
void settle_start(upstream& row, time_point at);

/// Records that the upstream accepts connections.
void record_reached(upstream& row, time_point now);

/// Ends the doubt about upstreams that were reached before the view of the registry. An
/// upstream registers before it takes requests, so that the entry is of the process that
/// was reached.
void confirm_starts(upstream_table& table, const table_view& registry);

/// Whether an upstream may get a request while its pool moves to another version.
/// @param version software version that the request needs; empty for any
/// @param is_trial whether the request is selected to try the new version
bool is_in_use(const upstream& candidate, const std::optional<software_version>& version,
               bool is_trial);

/// Whether an upstream's software version is the one that a stream needs, and the process
/// is surely the one that its entry describes.
///
/// Load pattern: an upstream ends, its streams break off, and it is back under its id
/// with another version before hosts have read its entry.
/// @param version empty for any
bool has_version(const upstream& candidate,
                 const std::optional<software_version>& version);

/// Whether the upstream takes requests from this host and is not ejected by it.
bool is_available(const upstream_table& table, const upstream& candidate, time_point now);

/// Records a response and resets the circuit breaker.
/// @param row upstream of the table
/// @param slowness ratio of the measured to the expected response time
void record_response(upstream_table& table, upstream& row, bool succeeded,
                     double slowness);

struct observed_quality
{
    double m_failure_share = 0;
    double m_slowness = 1;
};

/// What the averages of an upstream amount to at the moment.
///
/// Load pattern: an upstream is slow or fails for some seconds and is sound again. At low
/// load it would get no request while others are better, and would be found sound only
/// by a burst. Counting requests rather than time bounds the share of them that tries an
/// upstream which is still in trouble.
observed_quality quality_of(const upstream& row);

/// Records a connection that could not be established, broke or timed out. Ejects the
/// upstream for a time that doubles with each consecutive failure.
void record_unreachable(upstream& row, time_point now);

/// Ends the ejection of an upstream that turned out not to have failed.
void clear_ejection(upstream& row);

/// Returns the ratio of the requests in progress from all hosts to the slots.
double load_ratio(const upstream& row);

/// Chooses the upstream for one request to a service that is not a model engine.
///
/// Load pattern: a service of a few upstreams with few slots, of which some are slow
/// or fail part of their requests while their health check succeeds. Selects the lowest
/// expected response time, which is slowness times load, increased by the expected cost
/// of retries after failures. Prefers this host's data centre on a tie.
/// @param own_data_centre data centre of this host
/// @param tried upstreams that the request was already sent to
/// @param version software version that the upstream must have; empty for any
/// @param is_trial chooses among upstreams of a version that is being tried
const upstream*
choose_upstream(const upstream_table& table, const pool_id& pool,
                const data_centre_id& own_data_centre,
                const std::vector<upstream_id>& tried, time_point now,
                const std::optional<software_version>& version = std::nullopt,
                bool is_trial = false);

} // namespace geraniumdoor::serving
