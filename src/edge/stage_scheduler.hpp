#pragma once

#include "edge_state.hpp"
#include "host_status.hpp"
#include "rollout_exchange.hpp"
#include "send_permits.hpp"
#include "upstream_dialer.hpp"

#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/serving/stage_queue.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

/// Lower bound of the retry time in a refusal. A caller that retries sooner would meet
/// the same queue.
inline constexpr milliseconds min_retry_after{100};

/// Schedules the stage work of the pools assigned to this host: collects the pieces that
/// all hosts submit, batches them into calls to upstreams, and returns the results.
class stage_scheduler
{
public:
    using result_sender = std::function<void(const node_id& host, pieces_result result)>;

    using forecast_sender =
        std::function<void(const node_id& host, pieces_forecast forecast)>;

    stage_scheduler(edge_state& state, upstream_dialer& dialer, send_permits& permits,
                    rollout_exchange& rollouts, result_sender send_result,
                    forecast_sender send_forecast);

    /// Starts the periodic checks of the queues.
    void start();

    void on_request(const node_id& from, incarnation from_incarnation,
                    const pieces_request& request);
    void on_announce(const node_id& from, incarnation from_incarnation,
                     const pieces_announce& announced);
    void on_cancel(const node_id& from, incarnation from_incarnation,
                   const pieces_cancel& cancel);
    void on_release(const results_release& release);

    /// Applies changes of the registry and the configuration.
    void refresh();

    /// Returns the current wait times of the queues with work in the last 10 s, for the
    /// host's report.
    std::vector<pool_wait> wait_times() const;

    /// Returns the wait times of this host's queue of a pool; zero if it has none.
    serving::queue_waits wait_times_of(const pool_id& pool) const;

    /// Returns the state of all queues that this host runs.
    std::vector<queue_status> queue_statuses() const;

    /// Returns the number of jobs whose result has not been sent yet.
    std::size_t open_job_count() const;

private:
    /// A call in progress; an upstream has at most one.
    struct call
    {
        upstream_id m_upstream;
        std::vector<serving::piece_ref> m_pieces;
        /// Result memory reserved for each piece. Stored here because the job may have
        /// been removed by the time the call ends.
        std::vector<std::uint64_t> m_result_bytes;
        /// The pieces were queued again because the call is overdue.
        bool m_hedged = false;
        /// Process of the upstream when the call began.
        upstream_run m_run;
        /// One for each request of the call.
        std::vector<serving::request_trait> m_traits;
    };

    /// A result that an upstream still stores.
    struct retained_result
    {
        upstream_id m_upstream;
        std::uint64_t m_bytes = 0;
        time_point m_expires{};
    };

    struct pool_state
    {
        serving::stage_queue m_queue;
        std::unordered_map<upstream_id, call> m_calls;
        std::unordered_map<std::string, retained_result> m_results;
        /// Handles to release, for each upstream.
        std::unordered_map<upstream_id, std::vector<std::string>> m_pending_releases;
        time_point m_last_activity{};
        time_point m_last_log{};
        /// Calls since an order to move the pool to another version, and those of them at
        /// upstreams on trial.
        store_version m_counted_order;
        double m_order_calls = 0;
        double m_trial_calls = 0;
    };

    void refresh_upstreams(const pool_id& pool, pool_state& state);
    pool_state* find_or_add_pool(const pool_id& pool);
    void dispatch_calls(const pool_id& pool, pool_state& state);

    /// Whether the upstream may get the next call while its pool moves to another
    /// version.
    bool may_use(const pool_id& pool, const pool_state& state,
                 const serving::upstream& row) const;
    void count_call(const pool_id& pool, pool_state& state, const serving::upstream& row);
    /// Counts the pieces of a call that has ended for the roll-out of its version.
    void record_for_rollout(
        const pool_state& state, const call& ended,
        const result<std::vector<platform::piece_result>, platform::decode_error>& pieces,
        milliseconds took);
    /// Notes for each upstream what it still does or keeps for this host.
    void update_held_results(const pool_id& pool, const pool_state& state);

    /// Whether a call may be started at an idle upstream. Asks for a permit if one is
    /// needed.
    bool may_call(const pool_id& pool, const upstream_id& id);
    void start_call(const pool_id& pool, pool_state& state, const upstream_id& upstream,
                    std::vector<serving::piece_ref> pieces);
    boost::asio::awaitable<void> run_call(serving::upstream_entry entry,
                                          http_request request, milliseconds expected);
    void finish_call(const pool_id& pool, const upstream_id& upstream,
                     const result<http_response, http_error>& answer, milliseconds took,
                     milliseconds expected);
    void requeue_pieces(pool_state& state, const call& ended, bool failed);
    /// Records that the upstream closed its connection during the call. Ends the jobs
    /// that are not worth another crash.
    void record_possible_crash(pool_state& state, const call& ended);
    void record_sound_call(const call& ended);
    /// Marks the jobs whose pieces go alone, and refuses those in quarantine.
    void update_suspects(pool_state& state);
    void record_result(pool_state& state, const upstream_id& upstream,
                       const serving::piece_ref& ref, const std::string& handle,
                       std::uint64_t bytes);
    void finish_job(pool_state& state, const serving::job_id& id, pieces_result result);
    void remove_job(pool_state& state, const serving::job_id& id);
    void release_result(pool_state& state, const std::string& handle);
    void flush_releases(pool_state& state);
    /// Whether results may be released at an upstream now. One that leaves or declines
    /// requests is sent no release, and one that has named a limit only when its memory
    /// needs it; results expire by themselves.
    bool may_release(const pool_state& state, const upstream_id& upstream,
                     const std::vector<std::string>& handles);
    boost::asio::awaitable<void> send_release(serving::upstream_entry entry,
                                              std::vector<std::string> handles);
    void run_checks(const pool_id& pool, pool_state& state);
    void log_queue(const pool_id& pool, pool_state& state);
    void refuse_infeasible_jobs(pool_state& state);
    void hedge_overdue_calls(pool_state& state);
    void expire_results(pool_state& state);

    edge_state& m_state;
    upstream_dialer& m_dialer;
    send_permits& m_permits;
    rollout_exchange& m_rollouts;
    result_sender m_send_result;
    forecast_sender m_send_forecast;
    http_client m_http;
    std::unordered_map<pool_id, pool_state> m_pools;
};

} // namespace geraniumdoor::edge
