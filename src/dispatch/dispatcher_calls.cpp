#include "dispatcher_internal.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor::dispatcher_detail
{

namespace
{

constexpr seconds attempt_retention{30};
/// Upper bound of the wait that a hint or a refusal states.
constexpr double max_wait_ms = 60000;

} // namespace

limit_bounds bounds_of(const pool_config& config)
{
    return {std::max(1U, config.m_cold_limit),
            std::max(config.m_cold_limit, config.m_warm_limit)};
}

limit_bounds bounds_of(const dispatcher_state& state, const upstream_row& row)
{
    const pool_row* pool = state.m_pools.find(row.m_record.m_pool);
    return pool == nullptr ? limit_bounds{} : bounds_of(pool->m_config);
}

scheduling_class scheduling_class_of(const stage_call& call)
{
    return {call.m_priority, call.m_workspace, call.m_weight};
}

std::uint32_t counted_outstanding(const upstream_row& row, time_point now)
{
    const bool inherits = row.m_inherited_outstanding > 0 && now < row.m_inherited_until;
    return row.m_outstanding + (inherits ? row.m_inherited_outstanding : 0);
}

bool is_withdrawn(const upstream_row& row)
{
    return row.m_delisted || row.m_data_centre_out || row.m_reported_leaving ||
           row.m_listed_leaving;
}

time_point attempt_expiry(const call_row& row)
{
    return row.m_deadline + attempt_retention;
}

std::uint32_t expected_wait_ms(const pool_row& pool, std::size_t queued)
{
    const double slots = std::max(1U, pool.m_total_slots);
    const double wait = static_cast<double>(queued) * pool.m_average_call_ms / slots;
    return static_cast<std::uint32_t>(std::min(wait, max_wait_ms));
}

const char* text_of(call_reason reason)
{
    switch (reason)
    {
    case call_reason::none:
        return "none";
    case call_reason::no_capacity:
        return "no_capacity";
    case call_reason::no_authority:
        return "no_authority";
    case call_reason::queue_full:
        return "queue_full";
    case call_reason::deadline:
        return "deadline";
    case call_reason::upstream_error:
        return "upstream_error";
    case call_reason::upstream_timeout:
        return "upstream_timeout";
    case call_reason::upstream_overloaded:
        return "upstream_overloaded";
    case call_reason::broken_stream:
        return "broken_stream";
    case call_reason::duplicate_attempt:
        return "duplicate_attempt";
    case call_reason::cancelled:
        return "cancelled";
    case call_reason::node_leaving:
        return "node_leaving";
    }
    return "unknown";
}

void finish_call(dispatcher_state& state, const call_key& key, stage_result result,
                 std::vector<dispatcher_action>& actions)
{
    const auto found = state.m_calls.find(key);
    require_invariant(found != state.m_calls.end(), "one_result_for_each_call",
                      to_string(key.m_request));
    result.m_key = key;
    result.m_owner_incarnation = state.m_incarnation;
    result.m_hint = pool_hint_of(state, found->second.m_call.m_pool);
    const node_id to = found->second.m_from;
    state.m_calls.erase(found);
    ++state.m_finished;
    actions.push_back(send_result{to, std::move(result)});
}

void refuse_call(dispatcher_state& state, const call_key& key, call_reason reason,
                 std::vector<dispatcher_action>& actions)
{
    const call_row& call = state.m_calls.at(key);
    require_invariant(!call.m_upstream_call, "not_dispatched_is_true",
                      to_string(key.m_request));
    if (!call.m_call.m_idempotent)
    {
        record_attempt(state.m_attempts, call.m_call.m_attempt_id, attempt_state::fenced,
                       attempt_expiry(call));
    }
    log_event{"route_refused"}
        .add("request", to_string(key.m_request))
        .add("stage", key.m_stage)
        .add("attempt", key.m_attempt)
        .add("pool", call.m_call.m_pool)
        .add("reason", text_of(reason));
    stage_result result;
    result.m_outcome = call_outcome::not_dispatched;
    result.m_reason = reason;
    result.m_retry_after_ms = pool_hint_of(state, call.m_call.m_pool).m_queue_wait_ms;
    finish_call(state, key, std::move(result), actions);
}

void abort_running(dispatcher_state& state, upstream_call_id id,
                   std::vector<dispatcher_action>& actions)
{
    running_row* running = state.m_running.find(id);
    if (running != nullptr && !running->m_abandoned)
    {
        running->m_abandoned = true;
        actions.push_back(abort_upstream_call{id});
    }
}

} // namespace geraniumdoor::dispatcher_detail
