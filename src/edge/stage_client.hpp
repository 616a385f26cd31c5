#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/cluster/messages.hpp>

#include <functional>
#include <map>
#include <unordered_map>

namespace geraniumdoor::edge
{

/// Stages of this host's requests at the queues of all hosts.
class stage_client
{
public:
    /// @param host where the pieces were made; results are given back there
    using completion = std::function<void(pieces_result, const node_id& host)>;
    using sender = std::function<void(const node_id& host, node_message message)>;

    stage_client(edge_state& state, sender send);

    /// Starts the periodic work.
    void start();

    using forecast_callback = std::function<void(serving::queue_waits)>;

    /// Tells the host that runs the pool's queue of a job to come. The forecast is called
    /// once, unless the job is submitted or cancelled before.
    /// @return number of the job, for submit and cancel
    std::uint64_t announce(const pool_id& pool, std::uint32_t pieces, milliseconds eta,
                           forecast_callback done);

    /// Number for a job that was not announced.
    std::uint64_t next_job_number()
    {
        return ++m_last_job;
    }

    /// Hands a stage to the host that runs the pool's queue. The completion is called
    /// once, never from within this call, unless the job is cancelled.
    /// @param job number from announce or next_job_number
    void submit(std::uint64_t job, pieces_request request, completion done);

    /// Gives up a job. Its results are released.
    void cancel(std::uint64_t job);

    /// Gives back results that are not needed any more.
    /// @param maker host whose queue had them made: it counts them as room in use. The
    /// queue may have moved since.
    void release_results(const pool_id& pool, std::vector<std::string> handles,
                         const node_id& maker);

    void on_forecast(const pieces_forecast& forecast);
    void on_result(const node_id& from, const pieces_result& result);

    /// A connection with the host broke: what was sent to it may be lost.
    void on_connection_lost(const node_id& host);
    void on_not_sent(const node_id& host, const node_message& message);

private:
    struct open_job
    {
        pieces_request m_request;
        completion m_done;
        forecast_callback m_forecast;
        /// Announced, and not submitted yet.
        bool m_announced = false;
        node_id m_host;
        time_point m_due{};
        time_point m_deadline{};
        bool m_sent = false;
    };

    void send_job(open_job& job);
    void finish(std::uint64_t job, pieces_result result, const node_id& host);
    bool is_silent(const node_id& host) const;
    void check();

    edge_state& m_state;
    sender m_send;
    std::map<std::uint64_t, open_job> m_jobs;
    std::uint64_t m_last_job = 0;
};

} // namespace geraniumdoor::edge
