#include "dispatcher_internal.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

using namespace dispatcher_detail;

namespace
{

/// Weight of the newest sample in the moving average.
constexpr double new_sample_weight = 0.1;

/// Turns an answer into a failure if its stream had a gap or if, for a streamed call that
/// is still awaited, its token count differs from the number of tokens received.
void fail_on_token_mismatch(const running_row& running, const call_row* call,
                            upstream_call_end& end)
{
    const bool count_differs = call != nullptr && call->m_call.m_streamed &&
                               end.m_answered && end.m_tokens != call->m_next_token;
    if (running.m_token_gap || count_differs)
    {
        end.m_answered = false;
        end.m_reason = call_reason::broken_stream;
    }
}

void update_average_call(pool_row& pool, double ms)
{
    const double before = pool.m_average_call_ms > 0 ? pool.m_average_call_ms : ms;
    pool.m_average_call_ms = before + new_sample_weight * (ms - before);
}

void record_call_answer(dispatcher_state& state, pool_row& pool, upstream_row& row,
                        const running_row& running, const upstream_call_end& end,
                        time_point now)
{
    const double ms = to_ms(now - running.m_dispatched);
    // Answers are compared by time per token, because a long answer takes longer without
    // the engine being slow.
    const double ms_per_token = ms / std::max(1U, end.m_tokens);
    const response_sample sample{ms_per_token, pool.m_lowest_average_ms_per_token,
                                 running.m_dispatched};
    update_average_call(pool, ms);
    record_answer(row.m_limit, bounds_of(pool.m_config), sample, now, state.m_random);
    const double average = *row.m_limit.m_average_ms_per_token;
    pool.m_lowest_average_ms_per_token =
        std::min(pool.m_lowest_average_ms_per_token.value_or(average), average);
}

/// Returns whether a timeout says nothing about the health of the upstream. The call must
/// have been ended by its own deadline, before the timeout of the pool. In addition, it
/// must have run for less than twice the average call duration, or the upstream must have
/// been active since the dispatch.
bool timeout_is_inconclusive(const pool_row& pool, const upstream_row& row,
                             const running_row& running, call_reason reason,
                             time_point now)
{
    constexpr double late_factor = 2;
    const duration length = now - running.m_dispatched;
    const bool late = to_ms(length) >= late_factor * pool.m_average_call_ms;
    const bool no_activity = row.m_last_activity <= running.m_dispatched;
    return reason == call_reason::upstream_timeout && length < pool.m_config.m_timeout &&
           !(late && no_activity);
}

void record_call_failure(dispatcher_state& state, const pool_row& pool, upstream_row& row,
                         const running_row& running, call_reason reason, time_point now)
{
    if (timeout_is_inconclusive(pool, row, running, reason, now))
    {
        return;
    }
    const limit_bounds bounds = bounds_of(pool.m_config);
    const bool whole_timeout = now - running.m_dispatched >= pool.m_config.m_timeout;
    if (reason == call_reason::upstream_overloaded)
    {
        record_overload(row.m_limit, bounds, now);
    }
    else if (reason == call_reason::upstream_timeout && whole_timeout &&
             row.m_last_activity <= running.m_dispatched)
    {
        record_unresponsive(row.m_limit, bounds, now, state.m_random);
    }
    else
    {
        record_failure(row.m_limit, bounds, now, state.m_random);
    }
}

void record_call_end(dispatcher_state& state, upstream_row& row,
                     const running_row& running, const upstream_call_end& end,
                     time_point now)
{
    pool_row* pool = state.m_pools.find(running.m_pool);
    if (pool == nullptr)
    {
        return;
    }
    if (end.m_upstream_incarnation != incarnation{})
    {
        record_incarnation(row.m_limit, bounds_of(pool->m_config),
                           end.m_upstream_incarnation, now);
    }
    if (end.m_answered)
    {
        record_call_answer(state, *pool, row, running, end, now);
    }
    else if (!running.m_abandoned || running.m_token_gap)
    {
        record_call_failure(state, *pool, row, running, end.m_reason, now);
    }
}

void log_lowered_limit(const upstream_row& row, std::uint32_t before,
                       const upstream_call_end& end, double ms)
{
    if (row.m_limit.m_limit < before)
    {
        log_event{"limit_lowered"}
            .add("upstream", row.m_record.m_id)
            .add("from", before)
            .add("to", row.m_limit.m_limit)
            .add("answered", end.m_answered)
            .add("reason", text_of(end.m_reason))
            .add("ms", ms);
    }
}

void release_slot(dispatcher_state& state, const running_row& running,
                  const upstream_call_end& end, time_point now)
{
    upstream_row* row = state.m_upstreams.find(running.m_upstream);
    require_invariant(row != nullptr && row->m_outstanding > 0,
                      "outstanding_matches_calls", running.m_upstream.m_value);
    --row->m_outstanding;
    const std::uint32_t before = row->m_limit.m_limit;
    record_call_end(state, *row, running, end, now);
    log_lowered_limit(*row, before, end, to_ms(now - running.m_dispatched));
    if (end.m_reason != call_reason::upstream_timeout)
    {
        row->m_last_activity = now;
    }
    if (pool_row* pool = state.m_pools.find(running.m_pool))
    {
        pool->m_free_slots = std::min(pool->m_free_slots + 1, pool->m_total_slots);
    }
}

call_outcome outcome_of(const upstream_call_end& end)
{
    if (end.m_answered)
    {
        return call_outcome::answered;
    }
    return end.m_sent ? call_outcome::failed : call_outcome::not_dispatched;
}

/// Fences the attempt of a non-idempotent call of which no byte was sent. The call is
/// answered as not dispatched, which would be false if a late duplicate were dispatched.
void fence_if_unsent(dispatcher_state& state, const stage_call& call,
                     const upstream_call_end& end)
{
    if (!end.m_answered && !end.m_sent && !call.m_idempotent)
    {
        fence_unsent_attempt(state.m_attempts, call.m_attempt_id);
    }
}

stage_result result_of(const running_row& running, upstream_call_end&& end,
                       time_point now)
{
    stage_result result;
    result.m_outcome = outcome_of(end);
    result.m_reason = end.m_answered ? call_reason::none : end.m_reason;
    result.m_upstream = running.m_upstream;
    result.m_upstream_incarnation = end.m_upstream_incarnation;
    result.m_output = std::move(end.m_output);
    result.m_tokens = end.m_tokens;
    const auto took =
        std::chrono::duration_cast<microseconds>(now - running.m_dispatched);
    result.m_upstream_us = static_cast<std::uint32_t>(took.count());
    return result;
}

} // namespace

void on_upstream_token(dispatcher_state& state, upstream_call_id id, std::uint32_t index,
                       std::string token, time_point now,
                       std::vector<dispatcher_action>& actions)
{
    running_row* running = state.m_running.find(id);
    if (running == nullptr || running->m_abandoned)
    {
        return;
    }
    if (upstream_row* row = state.m_upstreams.find(running->m_upstream))
    {
        row->m_last_activity = now;
    }
    call_row& call = state.m_calls.at(running->m_key);
    if (index < call.m_next_token)
    {
        return;
    }
    if (index > call.m_next_token)
    {
        log_event{"token_gap"}
            .add("request", to_string(running->m_key.m_request))
            .add("stage", running->m_key.m_stage)
            .add("attempt", running->m_key.m_attempt)
            .add("upstream", running->m_upstream)
            .add("index", index)
            .add("expected", call.m_next_token);
        running->m_token_gap = true;
        abort_running(state, id, actions);
        return;
    }
    ++call.m_next_token;
    actions.push_back(send_chunk{
        call.m_from, {running->m_key, state.m_incarnation, index, std::move(token)}});
}

void on_upstream_end(dispatcher_state& state, upstream_call_end end, time_point now,
                     std::vector<dispatcher_action>& actions)
{
    const running_row* found = state.m_running.find(end.m_id);
    require_invariant(found != nullptr, "one_end_for_each_upstream_call");
    const running_row running = *found;
    state.m_running.erase(end.m_id);
    const auto call = state.m_calls.find(running.m_key);
    const bool is_awaited =
        call != state.m_calls.end() && call->second.m_upstream_call == end.m_id;
    fail_on_token_mismatch(running, is_awaited ? &call->second : nullptr, end);
    release_slot(state, running, end, now);
    if (is_awaited)
    {
        fence_if_unsent(state, call->second.m_call, end);
        finish_call(state, running.m_key, result_of(running, std::move(end), now),
                    actions);
    }
    dispatch_queued(state, running.m_pool, now, actions);
}

} // namespace geraniumdoor
