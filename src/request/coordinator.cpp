#include "request_steps.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

void record_answer(request_context context, active_request& row,
                   const stage_result& result)
{
    const auto* attempt = find_attempt(row, row.m_stage, result.m_key.m_attempt);
    const auto response = context.m_now - attempt->m_sent;
    record_stage_time(context.m_state.m_stage_times, row.m_pipeline->m_id, row.m_stage,
                      response, microseconds{result.m_upstream_us});
    row.m_stage_reports.push_back({current_stage(row).m_name, result.m_upstream,
                                   row.m_last_attempt, result.m_upstream_us});
}

void on_idempotent_answer(request_context context, active_request& row,
                          const stage_result& result)
{
    record_answer(context, row, result);
    remove_attempt(context, row, result.m_key.m_attempt, result.m_hint);
    cancel_attempts(context, row);
    if (is_streamed(row) && row.m_stream.m_delivered.size() != result.m_tokens)
    {
        end_request(context, row, answer_code::incomplete,
                    "the stream has more tokens than its end says");
        return;
    }
    finish_stage(context, row, result.m_output);
}

/// Handles the result of an attempt at an idempotent stage.
void on_idempotent_result(request_context context, active_request& row,
                          const stage_result& result)
{
    if (result.m_outcome == call_outcome::answered &&
        wait_for_tokens(context, row, result))
    {
        return;
    }
    const node_id owner = find_attempt(row, row.m_stage, result.m_key.m_attempt)->m_owner;
    if (result.m_outcome == call_outcome::answered)
    {
        on_idempotent_answer(context, row, result);
        return;
    }
    remove_attempt(context, row, result.m_key.m_attempt, result.m_hint);
    row.m_last_reason = result.m_reason;
    row.m_retry_hint = milliseconds{result.m_retry_after_ms};
    if (result.m_outcome == call_outcome::failed)
    {
        row.m_excluded_upstreams.push_back(result.m_upstream);
        retry_or_end(context, row);
        return;
    }
    exclude_not_dispatched(row, owner, result);
    if (row.m_attempts.empty())
    {
        resend_or_end(context, row);
    }
}

void fail_idempotent_attempt(request_context context, active_request& row,
                             attempt_number number)
{
    const auto* attempt = find_attempt(row, row.m_stage, number);
    if (attempt == nullptr)
    {
        return;
    }
    row.m_lost_owners.push_back(attempt->m_owner);
    remove_attempt(context, row, number, {});
    row.m_last_reason = call_reason::none;
    retry_or_end(context, row);
}

/// Numbers of the request's outstanding attempts at the owner.
std::vector<attempt_number> attempts_on(const active_request& row, const node_id& owner)
{
    std::vector<attempt_number> numbers;
    for (const auto& attempt : row.m_attempts)
    {
        if (attempt.m_owner == owner)
        {
            numbers.push_back(attempt.m_number);
        }
    }
    return numbers;
}

void handle_owner_loss(request_context context, const node_id& node)
{
    for (auto& [id, row] : context.m_state.m_requests)
    {
        for (const auto number : attempts_on(row, node))
        {
            if (has_outstanding_guarded_call(row))
            {
                start_query(context, row);
            }
            else
            {
                fail_idempotent_attempt(context, row, number);
            }
        }
    }
}

void end_past_deadline(request_context context, active_request& row)
{
    if (row.m_phase != request_phase::running &&
        is_waiting(context.m_state.m_claims, row.m_guarded.m_claim))
    {
        end_request(context, row, answer_code::in_progress,
                    "the same request is still running");
        return;
    }
    end_request(context, row, answer_code::deadline_exceeded, "the deadline has passed");
}

/// Cancels attempts whose owner has not answered in time and treats them as lost.
void expire_attempts(request_context context, active_request& row)
{
    const auto attempts = row.m_attempts;
    for (const auto& attempt : attempts)
    {
        if (row.m_ended || context.m_now < attempt.m_expires)
        {
            continue;
        }
        const call_key key{row.m_request.m_id, row.m_stage, attempt.m_number};
        context.m_actions.push_back(send_stage_cancel{attempt.m_owner, {key}});
        fail_idempotent_attempt(context, row, attempt.m_number);
    }
}

void tick_stream(request_context context, active_request& row)
{
    if (row.m_stream.m_result && context.m_now >= row.m_stream.m_result_deadline)
    {
        const auto result = *row.m_stream.m_result;
        row.m_excluded_upstreams.push_back(result.m_upstream);
        remove_attempt(context, row, result.m_key.m_attempt, result.m_hint);
        retry_or_end(context, row);
    }
}

void tick_request(request_context context, active_request& row)
{
    if (!row.m_ended && context.m_now >= row.m_request.m_deadline)
    {
        end_past_deadline(context, row);
    }
    if (has_outstanding_guarded_call(row))
    {
        tick_guarded(context, row);
        return;
    }
    if (!row.m_ended && context.m_now >= row.m_resend_at)
    {
        resend_or_end(context, row);
    }
    if (!row.m_ended && !has_outstanding_guarded_call(row))
    {
        tick_stream(context, row);
        expire_attempts(context, row);
    }
    if (!row.m_ended)
    {
        hedge_if_due(context, row);
    }
}

} // namespace

void on_stage_chunk(coordinator& state, const stage_chunk& chunk, time_point now,
                    coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    auto* row = state.m_requests.find(chunk.m_key.m_request);
    if (row == nullptr ||
        find_attempt(*row, chunk.m_key.m_stage, chunk.m_key.m_attempt) == nullptr)
    {
        ++state.m_counters.m_dropped_chunks;
        return;
    }
    add_token(context, *row, chunk);
    if (const auto waiting = row->m_stream.m_result)
    {
        on_idempotent_result(context, *row, *waiting);
    }
    finish_event(context);
}

void on_stage_result(coordinator& state, const stage_result& result, time_point now,
                     coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    const auto& key = result.m_key;
    auto* row = state.m_requests.find(key.m_request);
    if (row == nullptr || find_attempt(*row, key.m_stage, key.m_attempt) == nullptr)
    {
        ++state.m_counters.m_superseded_results;
        return;
    }
    const milliseconds wait{result.m_hint.m_queue_wait_ms};
    record_pool_wait(state.m_admission, current_stage(*row).m_pool, wait,
                     result.m_hint.m_total_slots);
    if (has_outstanding_guarded_call(*row))
    {
        if (result.m_outcome == call_outcome::answered)
        {
            record_answer(context, *row, result);
        }
        on_guarded_result(context, *row, result);
    }
    else
    {
        on_idempotent_result(context, *row, result);
    }
    finish_event(context);
}

void on_attempt_status(coordinator& state, const attempt_status& status, time_point now,
                       coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    for (auto& [id, row] : state.m_requests)
    {
        const bool asked = has_outstanding_guarded_call(row) &&
                           row.m_guarded.m_querying &&
                           guarded_attempt_id(row, row.m_attempts.front().m_number) ==
                               status.m_attempt_id;
        if (asked)
        {
            on_guarded_status(context, row, status);
            break;
        }
    }
    finish_event(context);
}

void on_connection_lost(coordinator& state, const node_id& node, time_point now,
                        coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    handle_owner_loss(context, node);
    finish_event(context);
}

void on_table_transaction_end(coordinator& state, const table_transaction_end& end,
                              time_point now, coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    on_claim_transaction_end(state.m_claims, end, now, effects_of(context));
    finish_event(context);
}

void on_table_read_end(coordinator& state, const table_read_end& end, time_point now,
                       coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    on_claim_read_end(state.m_claims, end, now, effects_of(context));
    finish_event(context);
}

void on_caller_disconnected(coordinator& state, const request_id& id, time_point now,
                            coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    if (auto* row = state.m_requests.find(id))
    {
        abandon_request(context, *row);
    }
    finish_event(context);
}

void on_process_alive(coordinator& state, const node_id& node, incarnation seen)
{
    on_holder_seen(state.m_claims, node, seen);
}

void on_ownership_announce(coordinator& state, const ownership_announce& announce,
                           time_point, coordinator_actions&)
{
    on_holder_seen(state.m_claims, announce.m_owner, announce.m_incarnation);
    apply_announcement(state.m_routes, announce);
}

void on_owner_gone(coordinator& state, const node_id& node, time_point now,
                   coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    remove_owner(state.m_routes, node);
    on_holder_gone(state.m_claims, node);
    handle_owner_loss(context, node);
    finish_event(context);
}

void set_configuration(coordinator& state, const configuration& config, time_point)
{
    state.m_config = config;
    set_admission_configuration(state.m_admission, config);
    state.m_routes.m_excluded_data_centres.clear();
    for (const auto& data_centre : config.m_data_centres)
    {
        if (data_centre.m_state == data_centre_state::out)
        {
            state.m_routes.m_excluded_data_centres.push_back(data_centre.m_id);
        }
    }
}

void tick(coordinator& state, time_point now, coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    adjust_shares(state.m_admission, now);
    decay_stage_times(state.m_stage_times, now);
    tick_claims(state.m_claims, now, effects_of(context));
    apply_claim_events(context);
    for (auto& [id, row] : state.m_requests)
    {
        tick_request(context, row);
    }
    finish_event(context);
}

} // namespace geraniumdoor
