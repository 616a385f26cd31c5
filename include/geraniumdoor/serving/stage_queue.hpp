#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/serving/crash_suspects.hpp>
#include <geraniumdoor/serving/routing.hpp>
#include <geraniumdoor/serving/send_account.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor::serving
{

/// Identifies a stage of a request at the queue host. m_host is the host that submitted
/// it.
struct job_id
{
    node_id m_host;
    incarnation m_incarnation;
    std::uint64_t m_counter = 0;

    auto operator<=>(const job_id&) const = default;
};

enum class piece_state : std::uint8_t
{
    waiting,
    running,
    done,
};

struct piece
{
    piece_state m_state = piece_state::waiting;
    /// Calls in progress that contain the piece; more than one when an overdue call is
    /// hedged.
    std::uint32_t m_active_calls = 0;
    std::uint32_t m_failures = 0;
    /// Refers to the result; empty until the piece is done.
    std::string m_handle;
};

/// All pieces of one stage of one request.
struct stage_job
{
    attempt_id m_request;
    stage_index m_stage;
    std::vector<piece> m_pieces;
    /// Input of a stage without predecessors; empty otherwise.
    std::string m_piece_key;
    /// Handles of the results of the preceding stages.
    std::vector<std::string> m_inputs;
    /// When the stage must end for the request to meet its latency target.
    time_point m_due{};
    /// When the stage must end for the request to be answered before it times out.
    time_point m_deadline{};
    /// Combined priority of workspace and route; 0 is the highest.
    std::uint32_t m_priority = 0;
    /// Data centre in which the results are needed or the inputs are located; empty for
    /// any.
    data_centre_id m_preferred_data_centre;
    /// Bytes transferred between data centres for each piece that runs in another one.
    std::uint64_t m_transfer_bytes = 0;
    /// Size of the result of each piece.
    std::uint64_t m_result_bytes = 0;
    time_point m_arrived{};
    /// What the pieces have in common with those of the same request sent again.
    request_trait m_trait;
    /// The pieces may crash upstreams, and go in calls of their own.
    bool m_is_suspected = false;
    /// The request tries whether they still do.
    bool m_is_trial = false;
};

/// State of an upstream that runs pieces, as known to the queue host.
struct stage_upstream
{
    data_centre_id m_data_centre;
    /// When the call in progress is expected to end; empty when it is idle.
    std::optional<time_point> m_busy_until;
    time_point m_call_started{};
    /// No call is sent before this time, after the upstream answered that it is full,
    /// that it failed or that its memory for results is exhausted.
    time_point m_blocked_until{};
    /// Bytes of results that were produced there and have not been released.
    std::uint64_t m_result_memory_used = 0;
    /// Ratio of the measured to the expected time of its calls.
    double m_slowness = 1;
    std::uint32_t m_consecutive_failures = 0;
    /// Least time between two calls, when the upstream has named a limit.
    milliseconds m_call_interval{0};
    /// Earliest time of the next call, when its limit is used up or it declines calls.
    time_point m_next_send{};
};

/// A job that has not arrived yet, of a request that was admitted and is at an earlier
/// stage.
struct announced_job
{
    std::uint32_t m_pieces = 0;
    time_point m_expected_arrival{};
};

/// The jobs that wait for the upstreams of one pool, and these upstreams.
struct stage_queue
{
    piece_limits m_limits;
    std::map<job_id, stage_job> m_jobs;
    std::map<upstream_id, stage_upstream> m_upstreams;
    std::map<job_id, announced_job> m_announced;
    /// Arrival rate of pieces that can still meet their latency target, averaged over
    /// arrival_rate_window.
    double m_on_time_arrivals_per_s = 0;
    time_point m_arrivals_updated_at{};
};

/// Window of the average arrival rate. A burst of one class of requests lasts about five
/// seconds.
inline constexpr milliseconds arrival_rate_window{1000};

/// Adds the pieces of a job that has arrived to the arrival rate, unless the job is late.
void record_arrival(stage_queue& queue, const stage_job& job, time_point now);

struct piece_ref
{
    job_id m_job;
    std::uint32_t m_piece = 0;
};

/// Order in which jobs are served; the smaller value goes first.
struct job_urgency
{
    /// Jobs that can no longer meet their latency target go after all jobs that can.
    bool m_late = false;
    /// Due time of the job, postponed according to its priority.
    time_point m_virtual_due{};

    auto operator<=>(const job_urgency&) const = default;
};

/// Postponement of the due time of a job for each level of priority below the highest.
/// A request of priority 2 overtakes one of priority 0 only when it is due 500 ms
/// earlier.
inline constexpr milliseconds priority_step{250};

/// Takes over from an upstream's account when it may be sent calls.
void apply_account(stage_upstream& upstream, const send_account& account, time_point now);

/// Returns the expected duration of a call with that many pieces.
milliseconds expected_call_time(const stage_queue& queue, std::size_t pieces,
                                double slowness);

job_urgency urgency_of(const stage_queue& queue, const stage_job& job, time_point now);

/// Chooses the pieces of the next call to an idle upstream; none when it should stay
/// idle.
///
/// Load pattern: calls take 150 ms plus a few milliseconds for each piece, so
/// throughput depends on full calls, and one request has 1 to 40 pieces. Whole jobs go
/// first, in order of urgency. A job that does not fit whole is split only if it is the
/// first of a call, or to fill a call when the waiting pieces fill more than two calls.
/// Under overload, jobs that can still meet their latency target go before those that
/// cannot, and higher priorities before lower ones. Late jobs leave part of the memory
/// for results to the others, because their results occupy it while they wait at a later
/// stage. A suspected job shares no call, and has one call at a time: each costs the
/// upstream if the suspicion is right.
std::vector<piece_ref> next_call(const stage_queue& queue, const upstream_id& upstream,
                                 time_point now);

/// Returns when a job that arrives now is expected to be done. A late job only gets the
/// capacity that is left over by arrivals that can meet their latency target.
time_point predicted_end(const stage_queue& queue, const stage_job& job, time_point now);

/// Expected wait of a job before its first call begins.
struct queue_waits
{
    /// For a job that can meet its latency target.
    milliseconds m_on_time{0};
    /// For a job that cannot.
    milliseconds m_late{0};
};

/// Returns the expected waits of a job that arrives now.
queue_waits current_waits(const stage_queue& queue, time_point now);

/// Returns the expected waits of a job that will arrive at a later time.
///
/// Load pattern: a burst fills the first stage for 200 ms before its work reaches the
/// second one, whose queue is still short when the forecast is made. The forecast
/// includes the jobs announced to arrive until then.
queue_waits forecast_waits(const stage_queue& queue, time_point arrival, time_point now);

/// Removes announced jobs that did not arrive in time.
void expire_announcements(stage_queue& queue, time_point now);

/// State of a queue for log messages.
struct queue_summary
{
    /// Waiting pieces, by whether their job can still meet its latency target.
    std::size_t m_on_time = 0;
    std::size_t m_late = 0;
    std::size_t m_running = 0;
    std::size_t m_idle_upstreams = 0;
    /// Used share of the memory for results of all upstreams.
    double m_result_memory_share = 0;
};

queue_summary summarize(const stage_queue& queue, time_point now);

/// Whether results are worth one of the few requests that a limited upstream takes: they
/// fill half of its memory for results.
/// @param bytes size of the results that could be released
bool is_worth_release(const piece_limits& limits, std::uint64_t bytes);

/// Returns the jobs that can no longer meet their deadline.
std::vector<job_id> infeasible_jobs(const stage_queue& queue, time_point now);

/// Returns the upstreams whose call takes so long that its pieces should be hedged, that
/// is, run at other upstreams as well.
std::vector<upstream_id> overdue_upstreams(const stage_queue& queue, time_point now);

} // namespace geraniumdoor::serving
