#pragma once

#include "edge_state.hpp"
#include "stage_client.hpp"
#include "stage_scheduler.hpp"

#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/http_server.hpp>
#include <geraniumdoor/serving/attempt_rules.hpp>
#include <geraniumdoor/serving/engine_choice.hpp>
#include <geraniumdoor/serving/path_estimate.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

/// One request of a caller on its way through the system.
struct relayed_request
{
    explicit relayed_request(http_exchange& exchange,
                             const boost::asio::any_io_executor& executor)
        : m_exchange{exchange}, m_wake{executor}
    {
    }

    http_exchange& m_exchange;
    platform::request_metadata m_head;
    /// Configuration that was in force when the request came.
    std::shared_ptr<const serving::routing_config> m_routing;
    const serving::route* m_route = nullptr;
    serving::workspace m_workspace;
    pool_id m_pool;
    time_point m_arrived{};
    /// When the caller leaves or the route's time is over, whichever is first.
    time_point m_deadline{};
    /// When the first byte should reach the caller.
    time_point m_goal{};
    /// When a caller abandons an answer of which nothing has come.
    time_point m_first_byte_deadline{};
    bool m_caller_gone = false;
    /// An answer was begun or sent.
    bool m_answered = false;

    /// Handles of each stage; empty until it is made.
    std::vector<std::vector<std::string>> m_results;
    /// Host whose queue had the results of each stage made.
    std::vector<node_id> m_result_hosts;
    /// Number of each stage's job; zero when it has none.
    std::vector<std::uint64_t> m_jobs;
    /// Waits that the queues forecast for each stage.
    std::vector<serving::queue_waits> m_forecasts;
    std::size_t m_forecasts_missing = 0;
    std::vector<bool> m_stage_done;
    std::vector<bool> m_stage_submitted;
    std::vector<time_point> m_submitted_at;
    /// When a stage that is held back should be looked at again.
    time_point m_next_submit = time_point::max();
    pieces_result m_failed_stage;
    bool m_stage_failed = false;
    /// Set whenever a stage ends or the caller leaves.
    boost::asio::steady_timer m_wake;
    /// Where results should be made; empty for anywhere.
    data_centre_id m_results_wanted_at;
    /// Where most bytes of the inputs lie, once they are made.
    serving::input_location m_inputs;
    std::uint32_t m_prepared_again = 0;

    serving::retry_state m_attempts;
    std::vector<upstream_id> m_tried;
    std::shared_ptr<http_call> m_call;
    upstream_id m_upstream;
    /// Whole answer of an upstream that has not gone to the caller yet.
    std::optional<http_response> m_answer;
    /// Last event of a stream that went to the caller, and bytes of one that is not
    /// whole.
    std::string m_last_event;
    std::string m_partial_event;
    time_point m_first_byte{};
    /// When the last attempt began.
    time_point m_sent{};
    /// End of each stage in milliseconds after the arrival, as "stage:ms", for the log.
    std::string m_stage_times;
    std::string m_detail;
};

/// Serves callers: finds the route, checks the key, has the stages made, chooses an
/// upstream, and relays its answer.
class request_relay
{
public:
    request_relay(edge_state& state, stage_client& stages, const stage_scheduler& queues);

    boost::asio::awaitable<void> serve(http_exchange& exchange);

    /// Requests in progress.
    std::size_t active() const
    {
        return m_active;
    }

private:
    using request = relayed_request;

    /// Fills in what the caller's head says, or returns the answer that rejects it.
    std::optional<http_response> read_head(request& current);

    bool knows_enough() const;
    boost::asio::awaitable<void> wait_for_start(request& current);

    /// Fills the request, or returns the answer that rejects it.
    std::optional<http_response> accept(request& current);
    boost::asio::awaitable<void> run(request& current);
    boost::asio::awaitable<void> reject(request& current, http_response response);
    boost::asio::awaitable<void> refuse(request& current, milliseconds until_capacity,
                                        const char* reason);

    /// Announces the stages and waits for the forecasts. Returns how much too late the
    /// answer would come; empty when the request is admitted.
    boost::asio::awaitable<std::optional<milliseconds>> path_excess(request& current);
    void announce_stages(request& current);
    std::optional<milliseconds> judge_path(request& current);
    /// @param late whether the request cannot meet its goal
    std::vector<serving::stage_estimate> stage_estimates(const request& current,
                                                         bool late) const;
    milliseconds expected_answer(const request& current) const;
    serving::queue_waits waits_at(const pool_id& pool) const;
    /// Time for which the inputs of a stage are kept by their makers.
    std::int32_t input_life_ms(const request& current, std::uint32_t stage) const;
    void choose_place(request& current) const;
    /// Data centre in which most bytes of the results of these stages lie.
    serving::input_location place_of(const request& current,
                                     const std::vector<std::uint32_t>& stages) const;
    void place_stage(const request& current, std::uint32_t stage,
                     pieces_request& wanted) const;

    /// Returns whether all stages are made; otherwise the request was answered.
    boost::asio::awaitable<bool> prepare(request& current);
    void skip_empty_stages(request& current) const;
    void submit_ready_stages(request& current);
    void submit_stage(request& current, std::uint32_t stage,
                      const serving::path_estimate& path);
    pieces_request request_for(const request& current, std::uint32_t stage,
                               const serving::path_estimate& path) const;
    void on_stage_end(request& current, std::uint32_t stage, pieces_result result,
                      const node_id& host);
    bool stage_is_ready(const request& current, std::uint32_t stage) const;
    /// Time for which a stage that nothing follows should wait for the others.
    milliseconds time_to_hold(const request& current, const serving::path_estimate& path,
                              std::uint32_t stage) const;
    bool stages_complete(const request& current) const;
    void release_results(request& current, bool all);
    void cancel_stages(request& current);
    bool has_inputs(const request& current) const;
    std::vector<std::string> final_inputs(const request& current) const;

    const serving::upstream* choose(const request& current) const;
    const serving::upstream* choose_untried(request& current) const;
    boost::asio::awaitable<void> attempt_all(request& current);
    /// Takes the step that follows an attempt. Returns whether another attempt is made.
    boost::asio::awaitable<bool> follow(request& current, serving::attempt_outcome end);
    boost::asio::awaitable<void> finish(request& current, serving::next_step step);
    boost::asio::awaitable<serving::attempt_outcome>
    attempt(request& current, const serving::upstream& chosen);
    boost::asio::awaitable<serving::attempt_outcome> read_answer(request& current,
                                                                 http_answer_head head);
    boost::asio::awaitable<serving::attempt_outcome> relay_whole(request& current,
                                                                 http_answer_head head);
    boost::asio::awaitable<serving::attempt_outcome>
    relay_stream(request& current, const http_answer_head& head, std::string begun);
    boost::asio::awaitable<bool> pass_on(request& current, std::string part);
    milliseconds time_left(const request& current) const;
    milliseconds first_byte_limit(const request& current) const;
    void note_attempt(request& current, serving::attempt_outcome end, time_point began);

    /// When the inputs of a request that is sent now may be given back; empty to wait for
    /// the first byte of the answer.
    std::optional<milliseconds> fetch_time(const request& current,
                                           const upstream_id& engine) const;
    void log_end(const request& current, const char* outcome, unsigned status);
    boost::asio::awaitable<void> fail(request& current);
    void restart_stages(request& current);
    void note_stage_end(request& current, std::uint32_t stage);
    void answer_caller_gone(request& current);

    edge_state& m_state;
    stage_client& m_stages;
    const stage_scheduler& m_queues;
    time_point m_started;
    std::size_t m_active = 0;
    /// Moving average of the time to the first byte in each pool, in milliseconds.
    std::unordered_map<pool_id, double> m_usual_ms;
};

} // namespace geraniumdoor::edge
