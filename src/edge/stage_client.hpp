#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/cluster/messages.hpp>

#include <functional>
#include <map>
#include <unordered_map>

namespace geraniumdoor::edge
{

/// Submits the stages of this host's requests to the hosts that run the pools' queues.
class stage_client
{
public:
    /// @param host queue host that ran the pieces; release the results there
    using completion = std::function<void(pieces_result, const node_id& host)>;
    using message_sender = std::function<void(const node_id& host, node_message message)>;

    stage_client(edge_state& state, message_sender send);

    /// Starts the periodic check of open jobs.
    void start();

    using forecast_callback = std::function<void(serving::queue_waits)>;

    /// Announces a future job to the host that runs the pool's queue and asks for a
    /// forecast of its wait times. The callback is called at most once, and not after the
    /// job was submitted or cancelled.
    /// @param eta time until the job is expected to be submitted
    /// @return number of the job, for submit and cancel
    std::uint64_t announce(const pool_id& pool, std::uint32_t pieces, milliseconds eta,
                           forecast_callback done);

    /// Returns a number for a job that is submitted without an announcement.
    std::uint64_t next_job_number()
    {
        return m_state.m_numbers.next();
    }

    /// Submits a stage to the host that runs the pool's queue. The completion is called
    /// exactly once, never from within this call; it is not called if the job is
    /// cancelled.
    /// @param job number from announce or next_job_number
    void submit(std::uint64_t job, pieces_request request, completion done);

    /// Cancels a job. The queue host releases its results.
    void cancel(std::uint64_t job);

    /// Releases results that are no longer needed.
    /// @param queue_host host whose queue produced them and counts them in the result
    /// memory in use. The pool's queue may have moved to another host since.
    void release_results(const pool_id& pool, std::vector<std::string> handles,
                         const node_id& queue_host);

    void on_forecast(const pieces_forecast& forecast);
    void on_result(const node_id& from, const pieces_result& result);

    /// Handles a broken connection to a host. Messages sent to it may be lost, so its
    /// jobs are sent again.
    void on_connection_lost(const node_id& host);
    void on_not_sent(const node_id& host, const node_message& message);

private:
    struct open_job
    {
        pieces_request m_request;
        completion m_done;
        forecast_callback m_forecast;
        /// The job was announced but not submitted yet.
        bool m_announced = false;
        node_id m_host;
        time_point m_due{};
        time_point m_deadline{};
        bool m_sent = false;
    };

    void send_job(open_job& job);
    /// Whether a silent host has not answered a probe in time. Sends the probe first.
    bool is_unresponsive(const node_id& host);
    void finish(std::uint64_t job, pieces_result result, const node_id& host);
    bool is_down(const node_id& host) const;
    void check_jobs();

    edge_state& m_state;
    message_sender m_send;
    std::map<std::uint64_t, open_job> m_jobs;
    /// Silent hosts, and when each was probed.
    std::map<node_id, time_point> m_probes;
};

} // namespace geraniumdoor::edge
