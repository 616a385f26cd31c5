#pragma once

#include <geraniumdoor/request/coordinator.hpp>

#include <string>

namespace geraniumdoor
{

/// Arguments of one coordinator event, passed between the functions that handle it.
struct request_context
{
    coordinator& m_state;
    time_point m_now;
    coordinator_actions& m_actions;
};

inline claim_effects effects_of(request_context context)
{
    return {context.m_actions, context.m_state.m_claim_events};
}

inline const stage_config& current_stage(const active_request& row)
{
    return row.m_pipeline->m_stages[row.m_stage.m_value];
}

inline bool is_last_stage(const active_request& row)
{
    return row.m_stage == row.m_last_stage;
}

inline bool is_streamed(const active_request& row)
{
    return row.m_request.m_streamed && row.m_stage == row.m_last_stage &&
           current_stage(row).m_idempotent;
}

/// Whether a guarded call was sent and has no result: it may run, or may have run.
inline bool has_outstanding_guarded_call(const active_request& row)
{
    return !current_stage(row).m_idempotent && !row.m_attempts.empty();
}

// Defined in request_end.cpp.

/// Emits the final answer and cancels the request's calls. An outstanding guarded call is
/// kept until its result settles the claim.
void end_request(request_context context, active_request& row, answer_code code,
                 const std::string& message);

/// Ends the request without an answer, because the caller disconnected.
void abandon_request(request_context context, active_request& row);

/// Cancels the outstanding attempts of an idempotent stage.
void cancel_attempts(request_context context, active_request& row);

/// Erases requests that have ended and have no outstanding attempt.
void erase_ended(coordinator& state);

// Defined in stage_steps.cpp.

void start_stage(request_context context, active_request& row);
void check_first_claim(request_context context, active_request& row);

/// Completes the current stage and starts the next one, or answers after the last.
void finish_stage(request_context context, active_request& row,
                  const std::string& output);

/// Handles the pending claim events, and those raised while handling them.
void apply_claim_events(request_context context);

/// Completes a coordinator event: handles claim events, flushes queued claim writes, and
/// erases ended requests.
void finish_event(request_context context);

// Defined in stage_attempts.cpp.

enum class attempt_cause : std::uint8_t
{
    first,
    retry,
    /// The previous call was not dispatched.
    resend,
    hedge,
    resume,
};

/// Sends one attempt to a chosen owner. Returns false if no owner is eligible or the
/// limit of attempts is reached.
bool send_attempt(request_context context, active_request& row, attempt_cause cause);

/// Sends the call again, at once or after a backoff, or ends the request if neither is
/// possible.
void resend_or_end(request_context context, active_request& row);

/// Handles a failed call of an idempotent stage: retries within the retry budget, or ends
/// the request.
void retry_or_end(request_context context, active_request& row);

/// Excludes the cause of an attempt that was not dispatched from further attempts: the
/// unreachable upstream, or else the owner.
void exclude_not_dispatched(active_request& row, const node_id& owner,
                            const stage_result& result);

void hedge_if_due(request_context context, active_request& row);

active_attempt* find_attempt(active_request& row, stage_index stage,
                             attempt_number number);

/// Removes the attempt and updates the load estimate of its owner.
void remove_attempt(request_context context, active_request& row, attempt_number number,
                    const std::optional<pool_hint>& hint);

// Defined in guarded_calls.cpp.

/// Handles the result of the outstanding guarded call.
void on_guarded_result(request_context context, active_request& row,
                       const stage_result& result);

/// Queries the owner about the state of the guarded call after their connection broke.
void start_query(request_context context, active_request& row);

void on_guarded_status(request_context context, active_request& row,
                       const attempt_status& status);

void tick_guarded(request_context context, active_request& row);

/// Id by which the owner deduplicates this attempt, so that it is dispatched at most
/// once.
attempt_id guarded_attempt_id(const active_request& row, attempt_number number);

// Defined in token_stream.cpp.

void add_token(request_context context, active_request& row, const stage_chunk& chunk);

/// Returns whether the stage is streamed and tokens before its end are missing; if so,
/// holds the result back.
bool wait_for_tokens(request_context context, active_request& row,
                     const stage_result& result);

} // namespace geraniumdoor
