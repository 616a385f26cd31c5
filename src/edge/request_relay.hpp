#pragma once

#include "edge_state.hpp"
#include "origin_exchange.hpp"
#include "rollout_exchange.hpp"
#include "send_permits.hpp"
#include "stage_client.hpp"
#include "stage_scheduler.hpp"
#include "takeover.hpp"
#include "upstream_dialer.hpp"

#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/http_server.hpp>
#include <geraniumdoor/serving/attempt_rules.hpp>
#include <geraniumdoor/serving/crash_suspects.hpp>
#include <geraniumdoor/serving/duration_estimate.hpp>
#include <geraniumdoor/serving/engine_choice.hpp>
#include <geraniumdoor/serving/engine_pace.hpp>
#include <geraniumdoor/serving/event_stream.hpp>
#include <geraniumdoor/serving/path_estimate.hpp>
#include <geraniumdoor/serving/request_identity.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

/// What the latest attempt of a request has shown.
struct attempt_progress
{
    bool m_head_received = false;
    /// Events of a stream, without comments.
    std::uint32_t m_events = 0;
    /// The upstream closed or lost the connection, as it does when it crashes.
    bool m_connection_lost = false;
    /// This host ended the attempt because the upstream was silent.
    bool m_gave_up = false;
    /// This host had no descriptor for the attempt, or no memory for the answer. Nothing
    /// is known of the upstream.
    bool m_lacked_resources = false;
};

/// State of one caller request from its arrival to the end of its response.
struct relayed_request
{
    explicit relayed_request(http_exchange& exchange,
                             const boost::asio::any_io_executor& executor)
        : m_exchange{exchange}, m_wake_timer{executor}
    {
    }

    http_exchange& m_exchange;
    platform::request_metadata m_metadata;
    /// Configuration that was in force when the request arrived.
    std::shared_ptr<const serving::routing_config> m_routing;
    const serving::route* m_route = nullptr;
    serving::workspace m_workspace;
    pool_id m_pool;
    time_point m_arrived_at{};
    /// Earlier of the caller's deadline and the route's timeout.
    time_point m_deadline{};
    /// Latency target for the first byte of the response.
    time_point m_target_time{};
    /// Time at which the caller abandons the request if no byte has arrived, or no
    /// further one of a stream that is to be resumed.
    time_point m_first_byte_deadline{};
    /// What the request has in common with others that may crash upstreams. The whole
    /// request is among them once it has been identified.
    std::vector<serving::request_trait> m_traits;
    bool m_is_identified = false;
    /// The request tries whether a suspect still crashes upstreams.
    bool m_is_trial = false;
    bool m_caller_gone = false;
    /// A response was started or sent in full, whether streamed, buffered or an error.
    bool m_any_response_started = false;

    /// Result handles of each stage; empty until the stage has completed.
    std::vector<std::vector<std::string>> m_results;
    /// Host whose queue ran each stage.
    std::vector<node_id> m_result_hosts;
    /// Number of each stage's job; zero if it has none.
    std::vector<std::uint64_t> m_job_numbers;
    /// Wait times that the queue hosts forecast for each stage.
    std::vector<serving::queue_waits> m_forecasts;
    std::size_t m_pending_forecasts = 0;
    std::vector<bool> m_stage_done;
    std::vector<bool> m_stage_submitted;
    std::vector<time_point> m_submitted_at;
    /// When to check again whether a delayed stage should be submitted.
    time_point m_next_submit = time_point::max();
    pieces_result m_stage_failure;
    bool m_stage_failed = false;
    /// Cancelled to wake the request when a stage ends or the caller disconnects.
    boost::asio::steady_timer m_wake_timer;
    /// Data centre in which stages should run; empty for any.
    data_centre_id m_preferred_data_centre;
    /// Data centre that holds most bytes of the upstream's inputs, once they exist.
    serving::input_location m_input_location;
    std::uint32_t m_stage_restarts = 0;

    serving::retry_state m_retry_state;
    std::vector<upstream_id> m_tried_upstreams;
    std::shared_ptr<http_call> m_upstream_call;
    upstream_id m_upstream;
    /// Host through which the latest attempt was connected; empty if it was directly.
    node_id m_tunnel_host;
    /// Process of that upstream when the attempt began.
    upstream_run m_upstream_run;
    /// Software version of that upstream.
    software_version m_upstream_version;
    /// Time to the first token at an engine of usual speed, as of the attempt's start;
    /// zero for other upstreams.
    double m_usual_first_token_ms = 0;
    /// Version that began the stream; empty before its first event.
    std::optional<software_version> m_stream_version;
    bool m_origin_recorded = false;
    /// Complete response of an upstream, not yet sent to the caller.
    std::optional<http_response> m_buffered_response;
    /// What the host holds for the request, without the caller's connection.
    memory_lease m_memory;
    /// Id of the last event forwarded to the caller, and the bytes received so far of an
    /// incomplete event.
    std::string m_last_event_id;
    serving::partial_event m_partial_event;
    /// Position in the stream of the latest attempt.
    serving::event_position m_event_position;
    attempt_progress m_progress;
    /// When the last event with an id arrived, or the response began.
    time_point m_last_event_at{};
    /// When bytes of a stream last arrived, whether they formed an event or not.
    time_point m_last_byte_at{};
    time_point m_first_byte_at{};
    /// Start of the most recent attempt.
    time_point m_last_sent_at{};
    /// Longest time without progress that is usual at this point of the attempt.
    milliseconds m_usual_silence{0};
    /// Time from the arrival to the first attempt, most of it for the inputs.
    milliseconds m_preparation_time{0};
    takeover m_takeover;
    /// End of each stage in milliseconds after the arrival, as "stage:ms", for the log.
    std::string m_stage_end_times;
    /// Reason of a rejection or refusal, for the log.
    std::string m_reason;
};

/// Proxies caller requests: matches the route, checks the API key, runs the route's
/// stages, chooses an upstream, and relays its response.
class request_relay
{
public:
    request_relay(edge_state& state, upstream_dialer& dialer, stage_client& stages,
                  const stage_scheduler& scheduler, send_permits& permits,
                  origin_exchange& origins, rollout_exchange& rollouts);

    /// Time that requests of a pool take at most, apart from few.
    milliseconds longest_time(const pool_id& pool) const;

    boost::asio::awaitable<void> serve(http_exchange& exchange);

    /// Number of requests in progress.
    std::size_t active() const
    {
        return m_active;
    }

    /// Ends the waits of all requests whose response has not begun, because the host
    /// stops: they are refused, or fail if an upstream may have run them.
    void end_waits();

private:
    using request = relayed_request;

    /// Parses the head of the caller's request. Returns the error response if the head is
    /// invalid.
    std::optional<http_response> parse_metadata(request& current);

    /// Returns the response for a request for which there is no memory.
    static std::optional<http_response> reject_without_memory(request& current);

    /// Asks for memory for that much of an answer. Returns whether it is granted.
    static bool hold_answer(request& current, std::size_t answer_bytes);

    /// Whether both the configuration and the registry of upstreams are known.
    bool state_loaded() const;
    boost::asio::awaitable<void> wait_for_configuration(request& current);

    /// Finds the route, workspace and pool, and sets the deadlines. Returns the error
    /// response if the request is rejected.
    std::optional<http_response> route_request(request& current);

    /// Returns the response to a request for something that the configuration does not
    /// have. The operator may have added it since this host last knew the store.
    http_response reject_as_unknown(request& current, unsigned status,
                                    const char* reason) const;
    /// When a request has to be answered because the host stops.
    time_point end_of_stop(const request& current) const;
    /// Whether a request may be passed on now although the host stops.
    bool is_taken_during_stop(const request& current) const;
    /// Refuses a request that has not run and would outlast the host.
    /// @return whether it was refused
    boost::asio::awaitable<bool> refuse_when_stopping(request& current);
    /// Time that calls on the route usually take at their upstreams; zero if none was
    /// made.
    milliseconds expected_time(const request& current) const;
    void record_duration(const request& current, duration taken, bool is_complete);
    /// Time at which the caller abandons the request if nothing more arrives.
    time_point next_byte_deadline(const request& current) const;
    boost::asio::awaitable<void> process(request& current);
    boost::asio::awaitable<void> reject(request& current, http_response response);
    boost::asio::awaitable<void> refuse(request& current, milliseconds until_capacity,
                                        const char* reason);

    /// Announces the stages and waits for the forecasts. Returns by how much the response
    /// is expected to miss its deadline; empty if the request is admitted.
    boost::asio::awaitable<std::optional<milliseconds>>
    announce_and_check_deadline(request& current);
    void announce_stages(request& current);
    std::optional<milliseconds> deadline_excess_from_forecast(request& current);
    /// @param late whether the request cannot meet its latency target
    std::vector<serving::stage_estimate> estimate_stages(const request& current,
                                                         bool late) const;
    milliseconds expected_first_token_time(const request& current) const;
    serving::queue_waits queue_wait_times(const pool_id& pool) const;
    /// Time left to run a stage before its inputs expire: the TTL of its inputs less a
    /// margin.
    std::int32_t input_deadline_ms(const request& current, std::uint32_t stage) const;
    void prefer_data_centre_of_engine(request& current) const;
    /// Data centre that holds most bytes of the results of these stages.
    serving::input_location
    main_data_centre_of_results(const request& current,
                                const std::vector<std::uint32_t>& stages) const;
    void set_placement(const request& current, std::uint32_t stage,
                       pieces_request& pieces) const;

    /// Runs the stages. Returns whether all have completed; otherwise the request was
    /// answered or its caller has disconnected.
    boost::asio::awaitable<bool> run_stages(request& current);
    void skip_empty_stages(request& current) const;
    void submit_ready_stages(request& current);
    void submit_stage(request& current, std::uint32_t stage,
                      const serving::path_estimate& path);
    pieces_request make_pieces_request(const request& current, std::uint32_t stage,
                                       const serving::path_estimate& path) const;
    void on_stage_end(request& current, std::uint32_t stage, pieces_result result,
                      const node_id& host);
    bool is_stage_ready(const request& current, std::uint32_t stage) const;
    /// Time by which to delay a final stage so that its results are not ready long before
    /// those of the other final stages.
    milliseconds submit_delay(const request& current, const serving::path_estimate& path,
                              std::uint32_t stage) const;
    bool stages_complete(const request& current) const;
    void release_results(request& current, bool all);
    void cancel_stages(request& current);
    bool has_final_inputs(const request& current) const;
    std::vector<std::string> final_inputs(const request& current) const;

    const serving::upstream* select_upstream(const request& current,
                                             const std::vector<upstream_id>& tried) const;
    /// Selects an untried upstream, or any if none can have run the request.
    const serving::upstream* select_next_upstream(request& current) const;
    /// Adds the whole request to the traits. Hashes the body.
    void identify(request& current) const;
    void identify_if_suspected(request& current) const;
    serving::request_identity identity_of(const request& current) const;
    /// Time until the request may be sent, if its traits are in quarantine. Begins a
    /// trial with the request when one is due.
    std::optional<milliseconds> quarantine_wait(request& current);
    /// Whether a trait was quarantined since the request was admitted.
    bool is_quarantined(request& current) const;
    const char* quarantine_reason(const request& current) const;
    /// Whether the request may be sent again after its upstream was lost.
    bool may_repeat(const request& current) const;
    /// Order in which this host may begin a trial of a suspect, from zero.
    std::size_t trial_rank(serving::suspect_key key) const;
    /// Records an attempt that may have crashed its upstream, or proved the request
    /// sound.
    void record_crash_evidence(request& current, serving::attempt_outcome outcome);
    void record_possible_crash(request& current, upstream_run upstream,
                               std::uint32_t weight);
    void record_sound_answer(request& current);
    void record_sound_traits(const request& current,
                             const std::vector<serving::request_trait>& traits);
    boost::asio::awaitable<void> run_attempts(request& current);
    /// Sends the request to an upstream, or follows it to its successor. Returns whether
    /// another attempt is made.
    boost::asio::awaitable<bool> attempt_at(request& current,
                                            serving::upstream_entry chosen);
    /// Performs the step that follows an attempt. Returns whether another attempt is
    /// made.
    boost::asio::awaitable<bool> handle_outcome(request& current,
                                                serving::attempt_outcome outcome);

    /// Finds the software version that began a stream which the caller takes up. Returns
    /// false if the request was refused or its caller has disconnected.
    boost::asio::awaitable<bool> find_stream_version(request& current);
    boost::asio::awaitable<serving::origin_decision> ask_for_origin(request& current);

    /// Records which version began the stream, before its first event is forwarded.
    void record_stream_origin(request& current);

    /// Records that an upstream could not be reached, and finds out whether its process
    /// may have ended.
    void note_unreachable(serving::upstream& row);

    /// Connects to an upstream that is in doubt. One that accepts sooner than another
    /// process could is the one that its entry describes.
    boost::asio::awaitable<void> check_start(serving::upstream_entry entry,
                                             time_point doubted);

    /// Time until a stream that no upstream can take on may be taken up again.
    milliseconds stream_version_wait(const request& current);

    /// Whether upstreams of the pool accept work, but none of the stream's version.
    bool lacks_stream_version(const request& current) const;

    /// Waits until something wakes the request.
    boost::asio::awaitable<void> wait_for_wake(request& current);

    /// Returns whether a request may be sent to an upstream, which may take a question to
    /// another host.
    boost::asio::awaitable<bool> get_permit(request& current, upstream_id id);

    /// Keeps a permit that a request has got and does not use.
    void keep_permit(const upstream_id& id);
    boost::asio::awaitable<void> finish(request& current, serving::next_step step);
    boost::asio::awaitable<serving::attempt_outcome>
    run_attempt(request& current, serving::upstream_entry chosen);
    /// How an attempt ended whose response cannot be relayed; empty if it can. Applies
    /// what the upstream says of itself.
    std::optional<serving::attempt_outcome> failure_of_head(const request& current,
                                                            const upstream_id& id,
                                                            time_point sent_at,
                                                            const http_answer_head& head);
    boost::asio::awaitable<serving::attempt_outcome>
    handle_response_head(request& current, http_answer_head head);
    /// Buffers the response, so that a truncated one can be requested again. Switches to
    /// relay_large_body when it exceeds the limit, or the memory that is left.
    boost::asio::awaitable<serving::attempt_outcome>
    relay_buffered(request& current, http_answer_head head);
    /// @param body_so_far first bytes of the body
    /// @param next_part bytes that follow them
    boost::asio::awaitable<serving::attempt_outcome>
    relay_large_body(request& current, const http_answer_head& head,
                     std::string body_so_far, std::string next_part);
    /// Relays a stream of events.
    boost::asio::awaitable<serving::attempt_outcome>
    relay_stream(request& current, const http_answer_head& head);
    boost::asio::awaitable<void> begin_response(request& current,
                                                const http_answer_head& head,
                                                std::optional<std::uint64_t> length);
    void record_first_byte(request& current);
    std::shared_ptr<http_call> make_upstream_call() const;
    http_request make_upstream_message(const request& current,
                                       const upstream_id& id) const;

    /// Begins to send the request over the open connection.
    std::shared_ptr<head_reply> send_to_upstream(request& current,
                                                 const std::shared_ptr<http_call>& call,
                                                 const upstream_id& id);
    /// Waits for the head of the response. Like read_stream_part, ends with a timeout
    /// when the time of the request is up or another upstream is ready to take it over.
    boost::asio::awaitable<result<http_answer_head, http_error>>
    await_head(request& current, std::shared_ptr<head_reply> reply);
    boost::asio::awaitable<result<std::string, http_error>>
    read_stream_part(request& current);
    boost::asio::awaitable<void>
    await_progress(request& current, std::shared_ptr<pending_operation> operation);

    /// When to look for a successor of a silent upstream; time_point::max() if the
    /// request has to stay.
    time_point next_search(const request& current, time_point at) const;
    /// When to look again.
    /// @param next result of next_search
    static time_point next_wake(const request& current, time_point next, time_point at);
    /// Takes the next steps of the search. Returns whether the successor is ready.
    bool search_successor(request& current);
    /// Takes these steps up to the first condition that is not met, and names it.
    const char* missing_for_takeover(request& current);
    bool choose_successor(request& current) const;
    bool prepare_successor_inputs(request& current);
    bool connect_successor(request& current);
    /// Sends the request to the connected successor, while the present upstream still has
    /// it, and waits for a short time for a failure. Like missing_for_takeover, names
    /// what is missing.
    const char* offer_to_successor(request& current);
    /// How the attempt at the successor has ended; empty if it takes the request over.
    std::optional<serving::attempt_outcome> failure_of_successor(const request& current);
    void record_failed_offer(request& current, serving::attempt_outcome failure);
    void exclude_successor(request& current);
    /// Ends the search, if there is one, because the upstream has made progress.
    void end_search(request& current);
    void log_search_end(const request& current, const takeover& ended, const char* end);
    /// Logs and counts how the stream of an attempt ended.
    void record_stream_end(const request& current, body_framing framing,
                           serving::attempt_outcome outcome);
    /// Returns the bytes to forward once a part of a stream has arrived. Of a stream that
    /// may be resumed these are whole events, so that it can be resumed after any of
    /// them.
    std::string take_events(request& current, std::string part) const;
    milliseconds time_left(const request& current) const;
    /// Longest time that an upstream usually takes until the head of its response.
    milliseconds usual_head_time(const request& current) const;
    void record_attempt(request& current, serving::attempt_outcome outcome,
                        time_point began);
    /// Counts an answer for the roll-out of its upstream's version.
    void record_for_rollout(const request& current, serving::attempt_outcome outcome,
                            time_point began);

    /// Factor by which engines of the request's pool take longer than the usual figures
    /// say. An upstream is overdue by what its pool takes; admission keeps to the usual
    /// figures, since a request that is turned away may yet have been served in time.
    double pace_of(const request& current) const;

    /// Time to the first token at an engine if it were of usual speed; zero for other
    /// upstreams.
    double usual_first_token_of(const request& current, const upstream_id& id) const;

    /// Records the time to the first byte of an upstream that is no engine. Returns it as
    /// a multiple of the pool's mean.
    double slowness_of_answer(const pool_id& pool, double elapsed_ms);

    /// Whether an upstream still takes requests from this host.
    bool takes_requests(const upstream_id& id) const;

    /// Time after sending at which the inputs of a request may be released; empty to
    /// release them at the first byte of the response.
    std::optional<milliseconds> input_release_delay(const request& current,
                                                    const upstream_id& engine) const;
    void log_request(const request& current, const char* outcome, unsigned status);
    boost::asio::awaitable<void> fail(request& current);
    void restart_stages(request& current);
    void record_stage_end(request& current, std::uint32_t stage);
    void handle_caller_gone(request& current);

    edge_state& m_state;
    upstream_dialer& m_dialer;
    stage_client& m_stage_client;
    const stage_scheduler& m_scheduler;
    send_permits& m_permits;
    origin_exchange& m_origins;
    rollout_exchange& m_rollouts;
    time_point m_started;
    std::size_t m_active = 0;
    /// Requests in progress.
    std::unordered_set<request*> m_requests;
    /// Durations of calls by the name of their route, from the sending to the last byte.
    std::unordered_map<std::string, serving::duration_estimate> m_durations;
    /// Times of first tokens in each pool of engines.
    std::unordered_map<pool_id, serving::engine_pace> m_engine_paces;
    /// Moving average of the time to the first byte in each pool, in milliseconds.
    std::unordered_map<pool_id, double> m_mean_first_byte_ms;
};

} // namespace geraniumdoor::edge
