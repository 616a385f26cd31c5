#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/serving/routing.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor::serving
{

/// Identifies a stage of a request at the host that runs the queue.
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
    /// Calls in progress that carry it; more than one when a slow call is repeated.
    std::uint32_t m_active_calls = 0;
    std::uint32_t m_failures = 0;
    /// Where the result lies; empty until it is done.
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
    /// Results of the stages before.
    std::vector<std::string> m_inputs;
    /// When the stage must end for the request to meet its response-time goal.
    time_point m_due{};
    /// When the stage must end for the request to be answered at all.
    time_point m_deadline{};
    /// Rank of workspace and route; 0 first.
    std::uint32_t m_priority = 0;
    /// Data centre in which the results are wanted, or the inputs lie; empty for any.
    data_centre_id m_preferred_data_centre;
    /// Bytes for each piece that cross data centres when it is made elsewhere.
    std::uint64_t m_transfer_bytes = 0;
    std::uint64_t m_result_bytes = 0;
    time_point m_arrived{};
};

/// An upstream that runs pieces, as the host that feeds it sees it.
struct stage_worker
{
    data_centre_id m_data_centre;
    /// When the call in progress is expected to end; empty when it is idle.
    std::optional<time_point> m_busy_until;
    time_point m_call_started{};
    /// Not to be used before, after an answer that it is full, failed or has no room.
    time_point m_blocked_until{};
    /// Bytes of results that were made there and not freed.
    std::uint64_t m_result_memory_used = 0;
    /// Time of its calls against the expectation; 1 is as expected.
    double m_slowness = 1;
    std::uint32_t m_consecutive_failures = 0;
};

/// A job that is expected because its request was admitted and is at an earlier stage.
struct announced_job
{
    std::uint32_t m_pieces = 0;
    time_point m_expected_arrival{};
};

/// Work that waits for the upstreams of one pool, and these upstreams.
struct stage_queue
{
    piece_limits m_limits;
    std::map<job_id, stage_job> m_jobs;
    std::map<upstream_id, stage_worker> m_workers;
    std::map<job_id, announced_job> m_announced;
    /// Pieces a second that arrive with a chance to meet their goal, averaged over
    /// inflow_window.
    double m_on_time_arrivals_per_s = 0;
    time_point m_arrivals_updated_at{};
};

/// Time over which arrivals are averaged; a burst of a class lasts about five seconds.
inline constexpr milliseconds arrival_rate_window{1000};

/// Counts the pieces of a job that has arrived.
void record_arrival(stage_queue& queue, const stage_job& job, time_point now);

struct piece_ref
{
    job_id m_job;
    std::uint32_t m_piece = 0;
};

/// Order of jobs: the earlier one goes first.
struct job_urgency
{
    /// Jobs that can no longer meet their goal go after all that can.
    bool m_late = false;
    time_point m_virtual_due{};

    auto operator<=>(const job_urgency&) const = default;
};

/// Later due time of a job for each step of its rank. A request of rank 2 overtakes one
/// of rank 0 only when its goal is 500 ms closer.
inline constexpr milliseconds priority_step{250};

/// Returns the expected time of a call with that many pieces.
milliseconds expected_call_time(const stage_queue& queue, std::size_t pieces,
                                double slowness);

job_urgency urgency_of(const stage_queue& queue, const stage_job& job, time_point now);

/// Chooses the pieces of the next call to an idle upstream; none when it should wait.
///
/// Load pattern: calls take 150 ms plus a few milliseconds for each piece, so capacity
/// comes from full calls, and one request brings 1 to 40 pieces. Whole jobs go first, in
/// order of urgency; a job is split only when the pieces that wait fill more than two
/// calls. Under overload the jobs that can still meet their goal go before those that
/// cannot, and higher ranks before lower ones. Late jobs leave part of the room for
/// results to the others, because their results lie there while they wait at a later
/// stage.
std::vector<piece_ref> next_call(const stage_queue& queue, const upstream_id& worker,
                                 time_point now);

/// When a job that arrives now would be done. A late job only gets the capacity that the
/// arrivals with a chance to meet their goal leave.
time_point predicted_end(const stage_queue& queue, const stage_job& job, time_point now);

/// Waits of a job that arrives now before its own call begins.
struct queue_waits
{
    /// When it can meet its goal.
    milliseconds m_on_time{0};
    /// When it cannot.
    milliseconds m_late{0};
};

queue_waits current_waits(const stage_queue& queue, time_point now);

/// Waits of a job that will arrive at a later time.
///
/// Load pattern: a burst fills the first stage for 200 ms before its work reaches the
/// second one, whose queue is still short when it is asked. The forecast counts the jobs
/// that were announced until then.
queue_waits forecast_waits(const stage_queue& queue, time_point arrival, time_point now);

/// Forgets announced jobs that did not come.
void expire_announcements(stage_queue& queue, time_point now);

/// State of a queue for logs.
struct queue_summary
{
    /// Pieces that wait, by whether their job can still meet its goal.
    std::size_t m_on_time = 0;
    std::size_t m_late = 0;
    std::size_t m_running = 0;
    std::size_t m_idle_upstreams = 0;
    /// Room for results that is taken, as a share of all room.
    double m_result_memory_share = 0;
};

queue_summary summarize(const stage_queue& queue, time_point now);

/// Jobs whose deadline cannot be met any more.
std::vector<job_id> infeasible_jobs(const stage_queue& queue, time_point now);

/// Calls that take so long that their pieces should run elsewhere as well.
std::vector<upstream_id> overdue_workers(const stage_queue& queue, time_point now);

} // namespace geraniumdoor::serving
