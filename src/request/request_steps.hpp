#pragma once

#include <geraniumdoor/request/coordinator.hpp>

#include <string>

namespace geraniumdoor
{

/// One event on the coordinator, as its steps pass it on.
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

/// A non-idempotent call is out: it may run, or may have run.
inline bool is_guarded_call_out(const active_request& row)
{
    return !current_stage(row).m_idempotent && !row.m_attempts.empty();
}

// Defined in request_end.cpp.

/// Gives the final answer and stops the request's calls. A non-idempotent call that is
/// out stays in the table until its result settles the claim.
void end_request(request_context context, active_request& row, answer_code code,
                 const std::string& message);

/// Ends the request without an answer, because the caller has gone.
void abandon_request(request_context context, active_request& row);

/// Cancels the attempts of an idempotent stage.
void cancel_attempts(request_context context, active_request& row);

/// Erases rows that have ended and wait for nothing.
void erase_ended(coordinator& state);

// Defined in stage_steps.cpp.

void start_stage(request_context context, active_request& row);
void check_first_claim(request_context context, active_request& row);

/// The current stage has run: goes on with the next one or answers.
void finish_stage(request_context context, active_request& row,
                  const std::string& output);

/// Handles the claim events that have come up, and those that these cause.
void apply_claim_events(request_context context);

/// Finishes an event: its claim events, the queued claim writes, and ended rows.
void close_event(request_context context);

// Defined in stage_attempts.cpp.

enum class attempt_cause : std::uint8_t
{
    first,
    retry,
    /// The call before was never dispatched.
    resend,
    hedge,
    resume,
};

/// Sends one attempt to a chosen owner. Returns false when no owner is left.
bool send_attempt(request_context context, active_request& row, attempt_cause cause);

/// Sends the call again, now or after a pause, or ends the request when that is over.
void resend_or_end(request_context context, active_request& row);

/// A call of an idempotent stage failed: retries within the budget, or ends the request.
void retry_or_end(request_context context, active_request& row);

/// Excludes what did not dispatch an attempt: the upstream that could not be reached, or
/// the owner.
void exclude_not_dispatched(active_request& row, const node_id& owner,
                            const stage_result& result);

void hedge_if_due(request_context context, active_request& row);

active_attempt* find_attempt(active_request& row, stage_index stage,
                             attempt_number number);

/// Removes the attempt and updates the load estimate of its owner.
void remove_attempt(request_context context, active_request& row, attempt_number number,
                    const std::optional<pool_hint>& hint);

// Defined in guarded_calls.cpp.

/// Result of the non-idempotent call that is out.
void on_guarded_result(request_context context, active_request& row,
                       const stage_result& result);

/// The connection to the owner of the call broke: asks what became of it.
void start_query(request_context context, active_request& row);

void on_guarded_status(request_context context, active_request& row,
                       const attempt_status& status);

void tick_guarded(request_context context, active_request& row);

/// Id under which the owner dispatches this attempt at most once.
attempt_id guarded_attempt_id(const active_request& row, attempt_number number);

// Defined in token_stream.cpp.

void add_token(request_context context, active_request& row, const stage_chunk& chunk);

/// Whether the stage is streamed and tokens up to the end are missing. Keeps the result.
bool wait_for_tokens(request_context context, active_request& row,
                     const stage_result& result);

} // namespace geraniumdoor
