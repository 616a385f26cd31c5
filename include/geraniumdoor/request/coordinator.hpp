#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/request/admission.hpp>
#include <geraniumdoor/request/claim_sweep.hpp>
#include <geraniumdoor/request/claims.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>
#include <geraniumdoor/request/owner_selection.hpp>
#include <geraniumdoor/request/retry_budget.hpp>
#include <geraniumdoor/request/stage_budget.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor
{

using coordinator_actions = std::vector<coordinator_action>;

/// An attempt at the current stage that has no result yet.
struct active_attempt
{
    attempt_number m_number;
    node_id m_owner;
    incarnation m_owner_incarnation;
    time_point m_sent;
    /// Time at which the attempt counts as lost if no result has arrived.
    time_point m_expires;
};

enum class request_phase : std::uint8_t
{
    /// Reading the claim row before the first stage runs.
    checking,
    /// Writing the claim of the current stage.
    claiming,
    /// Attempts at the current stage are in progress, or the next one is due at
    /// m_resend_at.
    running,
};

/// State of a request's guarded calls: calls of non-idempotent stages, each sent under a
/// claim.
struct guarded_state
{
    /// Claim of the current stage; empty if there is none.
    attempt_id m_claim;
    /// Claim whose row stores the final answer of the request; empty if there is none.
    attempt_id m_answer_claim;
    /// Calls sent, and how many of them are known not to have been dispatched by the
    /// owner.
    std::uint32_t m_sent = 0;
    std::uint32_t m_fenced = 0;
    /// Whether a non-idempotent stage has run, in this request or an earlier one with the
    /// same key.
    bool m_ran = false;
    /// Whether a call may have run, or the insert of a claim may have taken effect.
    bool m_unknown = false;
    /// Until this time the owner is queried about the state of the call.
    time_point m_query_until;
    time_point m_next_query;
    bool m_querying = false;
};

/// A follow-up row that this request deletes after the stage has run.
struct pending_follow_up
{
    stage_index m_stage;
    std::string m_key;
};

/// State of the token stream of the last stage.
struct token_stream
{
    /// Tokens sent to the caller, in order.
    std::vector<std::string> m_delivered;
    /// Tokens received while an earlier one is missing, by index.
    std::map<std::uint32_t, std::string> m_out_of_order;
    /// Result held back until the missing tokens arrive.
    std::optional<stage_result> m_result;
    time_point m_result_deadline;
};

/// A request that has been started and not yet erased.
struct active_request
{
    pipeline_request m_request;
    /// Snapshot of the pipeline configuration at the start of the request.
    std::shared_ptr<const pipeline_config> m_pipeline;
    std::uint32_t m_priority = 1;
    std::uint32_t m_weight = 1;
    /// Part of each claim row key that identifies the request.
    std::string m_key;
    request_phase m_phase = request_phase::running;
    stage_index m_stage;
    stage_index m_last_stage;
    /// Input of the current stage.
    std::string m_input;
    std::uint32_t m_last_attempt = 0;
    std::vector<active_attempt> m_attempts;
    std::vector<upstream_id> m_excluded_upstreams;
    /// Owners that did not dispatch an attempt at this stage in the current resend round.
    std::vector<node_id> m_refusing_owners;
    /// Owners whose attempt at this stage ended without a result; their upstreams may
    /// have run it.
    std::vector<node_id> m_lost_owners;
    std::uint32_t m_resend_rounds = 0;
    time_point m_resend_at = time_point::max();
    call_reason m_last_reason = call_reason::none;
    milliseconds m_retry_hint{0};
    guarded_state m_guarded;
    std::vector<pending_follow_up> m_pending_follow_ups;
    token_stream m_stream;
    std::vector<stage_report> m_stage_reports;
    bool m_replayed = false;
    /// Whether the request runs a follow-up and has no caller to answer.
    bool m_internal = false;
    /// Whether the final answer was sent or the caller disconnected.
    bool m_ended = false;
    /// Once the request has ended, a guarded call without a result by this time is in
    /// doubt.
    time_point m_linger_until;
};

struct coordinator_counters
{
    std::uint64_t m_superseded_results = 0;
    std::uint64_t m_dropped_chunks = 0;
    std::uint64_t m_first_attempts = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_resumes = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_replayed = 0;
    std::uint64_t m_in_doubt = 0;
};

/// State of the coordinator of one process. Modified only by the functions below.
struct coordinator
{
    node_id m_node;
    incarnation m_incarnation;
    random_source m_random;
    configuration m_config;
    owner_routes m_routes;
    table<request_id, active_request> m_requests;
    claims m_claims;
    std::vector<claim_event> m_claim_events;
    /// Requests that ended during the current event; erased after it if nothing is
    /// outstanding.
    std::vector<request_id> m_ended;
    stage_times m_stage_times;
    retry_budget m_retry_budget;
    admission m_admission;
    coordinator_counters m_counters;
};

coordinator make_coordinator(const node_id& node, incarnation own_incarnation,
                             std::uint64_t seed);

/// Starts a request. Exactly one reply_final with its id is emitted, by this call or a
/// later one, unless on_caller_disconnected is called first.
/// Precondition: the configuration contains the pipeline, and the id is unused.
void start_request(coordinator& state, const pipeline_request& request, time_point now,
                   coordinator_actions& actions);

void on_stage_chunk(coordinator& state, const stage_chunk& chunk, time_point now,
                    coordinator_actions& actions);

void on_stage_result(coordinator& state, const stage_result& result, time_point now,
                     coordinator_actions& actions);

void on_attempt_status(coordinator& state, const attempt_status& status, time_point now,
                       coordinator_actions& actions);

/// Handles a broken connection to an owner: calls in progress there yield no result.
void on_connection_lost(coordinator& state, const node_id& node, time_point now,
                        coordinator_actions& actions);

void on_table_transaction_end(coordinator& state, const table_transaction_end& end,
                              time_point now, coordinator_actions& actions);

void on_table_read_end(coordinator& state, const table_read_end& end, time_point now,
                       coordinator_actions& actions);

/// Runs the stages of a follow-up whose non-idempotent stage has run, under a new request
/// id. Deletes the row when the last stage has run; no answer is emitted.
void run_follow_up(coordinator& state, const request_id& id, const follow_up_row& row,
                   time_point now, coordinator_actions& actions);

/// Ids of all requests that are not erased yet, for decide_follow_ups.
std::vector<request_id> requests_in_progress(const coordinator& state);

/// Records that membership reports the process alive, to tell running claims of live
/// processes from those of dead ones.
void on_process_alive(coordinator& state, const node_id& node, incarnation seen);

/// Cancels the calls of a request whose caller disconnected; no answer is emitted.
void on_caller_disconnected(coordinator& state, const request_id& id, time_point now,
                            coordinator_actions& actions);

void on_ownership_announce(coordinator& state, const ownership_announce& announce,
                           time_point now, coordinator_actions& actions);

/// Removes an owner that membership declared gone.
void on_owner_gone(coordinator& state, const node_id& node, time_point now,
                   coordinator_actions& actions);

/// Applies the configuration in force, which includes urgent data centre states.
void set_configuration(coordinator& state, const configuration& config, time_point now);

/// Enforces deadlines and timeouts. Must be called every 50 ms.
void tick(coordinator& state, time_point now, coordinator_actions& actions);

} // namespace geraniumdoor
