#pragma once

#include "edge_state.hpp"
#include "host_status.hpp"

#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/serving/stage_queue.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumdoor::edge
{

/// Shortest time to return that a refusal names, so that a caller does not return into
/// the same queue.
inline constexpr milliseconds shortest_retry{100};

/// Runs the queues of the pools that this host is chosen for: forms calls from the pieces
/// of all hosts, sends them, and returns the results.
class stage_scheduler
{
public:
    using reply = std::function<void(const node_id& host, pieces_result result)>;

    using forecast_reply =
        std::function<void(const node_id& host, pieces_forecast forecast)>;

    stage_scheduler(edge_state& state, reply send_reply, forecast_reply send_forecast);

    /// Starts the periodic work.
    void start();

    void on_request(const node_id& from, incarnation from_incarnation,
                    const pieces_request& request);
    void on_announce(const node_id& from, incarnation from_incarnation,
                     const pieces_announce& announced);
    void on_cancel(const node_id& from, incarnation from_incarnation,
                   const pieces_cancel& cancel);
    void on_release(const results_release& release);

    /// Adopts changes of the registry and the configuration.
    void refresh();

    /// Waits of all queues that have had work lately.
    std::vector<pool_wait> wait_times() const;

    /// Waits at the own queue of a pool; zero when this host has none.
    serving::queue_waits wait_times_of(const pool_id& pool) const;

    /// State of all queues that this host runs.
    std::vector<queue_status> queue_statuses() const;

    /// Jobs that are not answered yet.
    std::size_t open_job_count() const;

private:
    struct call
    {
        upstream_id m_upstream;
        std::vector<serving::piece_ref> m_pieces;
        /// Size of each result. Its job may be gone when the call ends.
        std::vector<std::uint64_t> m_result_bytes;
        /// The pieces were handed to other upstreams as well.
        bool m_repeated = false;
    };

    /// Results at one upstream that were made and not released.
    struct held_result
    {
        upstream_id m_upstream;
        std::uint64_t m_bytes = 0;
        time_point m_expires{};
    };

    struct pool_service
    {
        serving::stage_queue m_queue;
        std::unordered_map<upstream_id, call> m_calls;
        std::unordered_map<std::string, held_result> m_results;
        /// Handles to release, by upstream.
        std::unordered_map<upstream_id, std::vector<std::string>> m_to_release;
        time_point m_last_work{};
        time_point m_last_log{};
    };

    void refresh_workers(const pool_id& pool, pool_service& service);
    pool_service* find_service(const pool_id& pool);
    void pump(const pool_id& pool, pool_service& service);
    void start_call(const pool_id& pool, pool_service& service,
                    const upstream_id& upstream, std::vector<serving::piece_ref> pieces);
    boost::asio::awaitable<void> run_call(pool_id pool, upstream_id upstream,
                                          ip_endpoint address, http_request request,
                                          milliseconds expected);
    void finish_call(const pool_id& pool, const upstream_id& upstream,
                     const result<http_response, http_error>& answer, milliseconds took,
                     milliseconds expected);
    void return_pieces(pool_service& service, const call& ended, bool failed);
    void take_result(pool_service& service, const upstream_id& upstream,
                     const serving::piece_ref& ref, const std::string& handle,
                     std::uint64_t bytes);
    void finish_job(pool_service& service, const serving::job_id& id,
                    pieces_result result);
    void drop_job(pool_service& service, const serving::job_id& id);
    void release(pool_service& service, const std::string& handle);
    void flush_releases(pool_service& service);
    boost::asio::awaitable<void> send_release(ip_endpoint address,
                                              std::vector<std::string> handles);
    void check(const pool_id& pool, pool_service& service);
    void log_queue(const pool_id& pool, pool_service& service);
    void refuse_hopeless(pool_service& service);
    void repeat_overdue(pool_service& service);
    void expire_results(pool_service& service);

    edge_state& m_state;
    reply m_reply;
    forecast_reply m_forecast_reply;
    http_client m_http;
    std::unordered_map<pool_id, pool_service> m_pools;
};

} // namespace geraniumdoor::edge
