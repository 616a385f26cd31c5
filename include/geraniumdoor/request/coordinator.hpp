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

/// One attempt at the current stage that has no result yet.
struct active_attempt
{
    attempt_number m_number;
    node_id m_owner;
    incarnation m_owner_incarnation;
    time_point m_sent;
    /// Time at which the coordinator gives up on the attempt.
    time_point m_give_up;
};

enum class request_phase : std::uint8_t
{
    /// The claim row is read before the first stage.
    checking,
    /// The claim of the current stage is being written.
    claiming,
    /// Attempts at the current stage are in progress, or one is due at m_resend_at.
    running,
};

/// Calls of non-idempotent stages of one request.
struct guarded_state
{
    /// Claim of the current stage, or empty.
    attempt_id m_claim;
    /// Claim whose row receives the answer of the whole request, or empty.
    attempt_id m_answer_claim;
    /// Calls sent, and those of them known not to have left the owner.
    std::uint32_t m_sent = 0;
    std::uint32_t m_fenced = 0;
    /// A non-idempotent stage has run, now or in an earlier request with this key.
    bool m_ran = false;
    /// A call may have run, or an insert may be in effect.
    bool m_unknown = false;
    /// Until then the owner is asked what became of the call.
    time_point m_query_until;
    time_point m_next_query;
    bool m_querying = false;
};

/// A follow-up row that this request deletes once the stage has run.
struct pending_follow_up
{
    stage_index m_stage;
    std::string m_key;
};

/// Tokens of a streamed last stage.
struct token_stream
{
    /// Tokens passed to the caller, in order.
    std::vector<std::string> m_delivered;
    /// Tokens that arrived ahead of a gap, by index.
    std::map<std::uint32_t, std::string> m_early;
    /// Result that waits for missing tokens.
    std::optional<stage_result> m_result;
    time_point m_result_until;
};

/// A request between start_request and its end.
struct active_request
{
    pipeline_request m_request;
    /// The pipeline as it was when the request started.
    std::shared_ptr<const pipeline_config> m_pipeline;
    std::uint32_t m_priority = 1;
    std::uint32_t m_weight = 1;
    /// Part of the claim row keys that identifies the request.
    std::string m_key;
    request_phase m_phase = request_phase::running;
    stage_index m_stage;
    stage_index m_last_stage;
    /// Input of the current stage.
    std::string m_input;
    std::uint32_t m_last_attempt = 0;
    std::vector<active_attempt> m_attempts;
    std::vector<upstream_id> m_used_upstreams;
    /// Owners that did not dispatch an attempt at this stage in the present round.
    std::vector<node_id> m_refusing_owners;
    /// Owners that lost an attempt at this stage. Their upstreams may have run it.
    std::vector<node_id> m_lost_owners;
    std::uint32_t m_resend_rounds = 0;
    time_point m_resend_at = time_point::max();
    call_reason m_last_reason = call_reason::none;
    milliseconds m_retry_hint{0};
    guarded_state m_guarded;
    std::vector<pending_follow_up> m_pending_follow_ups;
    token_stream m_stream;
    std::vector<stage_report> m_reports;
    bool m_replayed = false;
    /// Runs a follow-up: nobody is answered.
    bool m_internal = false;
    /// The final answer was given, or the caller has gone.
    bool m_ended = false;
    /// A call without caller is given up at this time.
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

/// State of the coordinator of one process. Changed only by the functions below.
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
    /// Requests that ended during the event and may be erased after it.
    std::vector<request_id> m_ended;
    stage_times m_times;
    retry_budget m_retries;
    admission m_admission;
    coordinator_counters m_counters;
};

coordinator make_coordinator(const node_id& node, incarnation started,
                             std::uint64_t seed);

/// Runs a request. Exactly one reply_final with its id follows, now or later, unless
/// on_caller_disconnected is called first.
/// Precondition: the configuration knows the pipeline, and the id is new.
void start_request(coordinator& state, const pipeline_request& request, time_point now,
                   coordinator_actions& actions);

void on_stage_chunk(coordinator& state, const stage_chunk& chunk, time_point now,
                    coordinator_actions& actions);

void on_stage_result(coordinator& state, const stage_result& result, time_point now,
                     coordinator_actions& actions);

void on_attempt_status(coordinator& state, const attempt_status& status, time_point now,
                       coordinator_actions& actions);

/// The connection to an owner broke: calls in progress there have no result.
void on_connection_lost(coordinator& state, const node_id& node, time_point now,
                        coordinator_actions& actions);

void on_table_transaction_end(coordinator& state, const table_transaction_end& end,
                              time_point now, coordinator_actions& actions);

void on_table_read_end(coordinator& state, const table_read_end& end, time_point now,
                       coordinator_actions& actions);

/// Runs the stages of a follow-up whose decision was run, under a new request id. The
/// row is deleted when the last of them has run; nobody is answered.
void run_follow_up(coordinator& state, const request_id& id, const follow_up_row& row,
                   time_point now, coordinator_actions& actions);

/// Requests that have not ended, for decide_follow_ups.
std::vector<request_id> requests_in_progress(const coordinator& state);

/// Membership saw a process alive. Tells running claims of live processes from those of
/// dead ones.
void on_process_alive(coordinator& state, const node_id& node, incarnation started);

/// The caller disconnected: its calls are cancelled and nothing is answered.
void on_caller_disconnected(coordinator& state, const request_id& id, time_point now,
                            coordinator_actions& actions);

void on_ownership_announce(coordinator& state, const ownership_announce& announce,
                           time_point now, coordinator_actions& actions);

/// Membership declared the node gone: it is no owner any more.
void on_owner_gone(coordinator& state, const node_id& node, time_point now,
                   coordinator_actions& actions);

/// Takes the configuration in force, with urgent data centre states applied.
void set_configuration(coordinator& state, const configuration& config, time_point now);

/// Applies deadlines and timeouts. Called every 50 ms.
void tick(coordinator& state, time_point now, coordinator_actions& actions);

} // namespace geraniumdoor
