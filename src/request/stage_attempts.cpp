#include "request_steps.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

constexpr std::uint32_t max_attempts = 8;
/// Rounds over all owners while ownership of upstreams changes, with exponential backoff.
constexpr std::uint32_t max_resend_rounds = 4;
constexpr milliseconds initial_resend_backoff{50};
/// Time after the budget for the owner's own deadline result to arrive.
constexpr milliseconds expiry_grace{100};
constexpr double hedge_quantile = 0.95;

std::string_view name_of(attempt_cause cause)
{
    switch (cause)
    {
    case attempt_cause::first:
        return "first";
    case attempt_cause::retry:
        return "retry";
    case attempt_cause::resend:
        return "resend";
    case attempt_cause::hedge:
        return "hedge";
    case attempt_cause::resume:
        return "resume";
    }
    return "unknown";
}

void log_route(const active_request& row, attempt_number number,
               const owner_choice& choice, attempt_cause cause)
{
    log_event{"route"}
        .add("request", to_string(row.m_request.m_id))
        .add("stage", row.m_stage)
        .add("attempt", number)
        .add("node", choice.m_owner)
        .add("reason", name_of(cause))
        .add("rejected", choice.m_rejected);
}

stage_call make_call(const active_request& row, attempt_number number, duration budget)
{
    const auto& stage = current_stage(row);
    const auto budget_ms = std::chrono::duration_cast<milliseconds>(budget).count();
    stage_call call;
    call.m_key = {row.m_request.m_id, row.m_stage, number};
    call.m_pool = stage.m_pool;
    call.m_pipeline = row.m_pipeline->m_id;
    call.m_workspace = row.m_request.m_workspace;
    call.m_priority = row.m_priority;
    call.m_weight = row.m_weight;
    call.m_budget_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(budget_ms, 1));
    call.m_idempotent = stage.m_idempotent;
    call.m_streamed = is_streamed(row);
    call.m_operation = stage.m_operation;
    call.m_input = row.m_input;
    call.m_delivered = row.m_stream.m_delivered;
    call.m_excluded = row.m_excluded_upstreams;
    return call;
}

void count_attempt(coordinator& state, const active_request& row, attempt_cause cause)
{
    auto& counters = state.m_counters;
    switch (cause)
    {
    case attempt_cause::first:
        ++counters.m_first_attempts;
        record_first_attempt(state.m_retry_budget, current_stage(row).m_pool);
        return;
    case attempt_cause::hedge:
        ++counters.m_hedges;
        return;
    case attempt_cause::resume:
        ++counters.m_resumes;
        return;
    default:
        ++counters.m_retries;
    }
}

/// Assigns the call its attempt id. A non-idempotent call is sent only under a confirmed
/// claim, and only if no earlier call of the request is outstanding.
void guard_call(request_context context, active_request& row, stage_call& call)
{
    auto& guarded = row.m_guarded;
    require_invariant(is_held(context.m_state.m_claims, guarded.m_claim),
                      "non_idempotent_calls_are_claimed", to_string(row.m_request.m_id));
    require_invariant(row.m_attempts.empty(), "non_idempotent_calls_are_not_repeated",
                      to_string(row.m_request.m_id));
    call.m_attempt_id = guarded_attempt_id(row, call.m_key.m_attempt);
    ++guarded.m_sent;
}

std::vector<node_id> owners_to_avoid(const active_request& row)
{
    auto owners = row.m_refusing_owners;
    owners.insert(owners.end(), row.m_lost_owners.begin(), row.m_lost_owners.end());
    for (const auto& attempt : row.m_attempts)
    {
        owners.push_back(attempt.m_owner);
    }
    return owners;
}

incarnation incarnation_of(const owner_routes& routes, const node_id& owner)
{
    const auto* announced = routes.m_owners.find(owner);
    return announced == nullptr ? incarnation{} : announced->m_incarnation;
}

/// Whether a later attempt may be dispatched, because ownership of upstreams is changing.
bool is_transient(call_reason reason)
{
    return reason == call_reason::none || reason == call_reason::no_authority ||
           reason == call_reason::node_leaving;
}

/// Whether the owner dispatched to an upstream that could not be reached.
bool is_upstream_unreachable(call_reason reason)
{
    return reason == call_reason::upstream_error ||
           reason == call_reason::upstream_timeout;
}

bool schedule_resend(request_context context, active_request& row)
{
    const auto backoff = initial_resend_backoff * (1 << row.m_resend_rounds);
    const bool in_time = context.m_now + backoff < row.m_request.m_deadline;
    if (!is_transient(row.m_last_reason) || row.m_resend_rounds >= max_resend_rounds ||
        !in_time)
    {
        return false;
    }
    ++row.m_resend_rounds;
    row.m_refusing_owners.clear();
    row.m_resend_at = context.m_now + backoff;
    return true;
}

void end_failed_stage(request_context context, active_request& row)
{
    const auto& name = current_stage(row).m_name;
    if (!row.m_stream.m_delivered.empty())
    {
        end_request(context, row, answer_code::incomplete,
                    "the stream of stage " + name + " broke and was not resumed");
    }
    else if (row.m_last_reason == call_reason::upstream_overloaded)
    {
        end_request(context, row, answer_code::overloaded,
                    "an upstream of stage " + name + " is overloaded");
    }
    else
    {
        end_request(context, row, answer_code::upstream_failed,
                    "stage " + name + " failed at every upstream that was tried");
    }
}

} // namespace

bool send_attempt(request_context context, active_request& row, attempt_cause cause)
{
    auto& state = context.m_state;
    const auto& stage = current_stage(row);
    const auto avoided = owners_to_avoid(row);
    const owner_query query{stage.m_pool, &row.m_excluded_upstreams, &avoided};
    const auto choice = choose_owner(state.m_routes, query, state.m_random);
    if (!choice || row.m_last_attempt >= max_attempts)
    {
        return false;
    }
    const attempt_number number{++row.m_last_attempt};
    log_route(row, number, *choice, cause);
    const auto remaining = row.m_request.m_deadline - context.m_now;
    const auto budget =
        stage_budget(state.m_stage_times, *row.m_pipeline, row.m_stage, remaining);
    auto call = make_call(row, number, budget);
    if (!stage.m_idempotent)
    {
        guard_call(context, row, call);
    }
    count_attempt(state, row, cause);
    row.m_attempts.push_back({number, choice->m_owner,
                              incarnation_of(state.m_routes, choice->m_owner),
                              context.m_now, context.m_now + budget + expiry_grace});
    record_call_sent(state.m_routes, stage.m_pool, choice->m_owner);
    context.m_actions.push_back(send_stage_call{choice->m_owner, std::move(call)});
    return true;
}

void exclude_not_dispatched(active_request& row, const node_id& owner,
                            const stage_result& result)
{
    if (is_upstream_unreachable(result.m_reason))
    {
        row.m_excluded_upstreams.push_back(result.m_upstream);
        return;
    }
    row.m_refusing_owners.push_back(owner);
}

void resend_or_end(request_context context, active_request& row)
{
    row.m_resend_at = time_point::max();
    if (row.m_last_reason == call_reason::deadline)
    {
        end_request(context, row, answer_code::deadline_exceeded,
                    "the time budget of stage " + current_stage(row).m_name +
                        " is used up");
        return;
    }
    if (send_attempt(context, row, attempt_cause::resend) ||
        schedule_resend(context, row))
    {
        return;
    }
    if (!row.m_stream.m_delivered.empty() || is_upstream_unreachable(row.m_last_reason))
    {
        end_failed_stage(context, row);
        return;
    }
    end_request(context, row, answer_code::overloaded,
                "no upstream of stage " + current_stage(row).m_name + " has capacity");
}

void retry_or_end(request_context context, active_request& row)
{
    if (!row.m_attempts.empty())
    {
        return;
    }
    const auto cause =
        row.m_stream.m_delivered.empty() ? attempt_cause::retry : attempt_cause::resume;
    // Undelivered tokens belong to the failed attempt; the next one generates them again.
    row.m_stream.m_out_of_order.clear();
    row.m_stream.m_result.reset();
    const bool sent =
        take_retry(context.m_state.m_retry_budget, current_stage(row).m_pool) &&
        send_attempt(context, row, cause);
    if (!sent)
    {
        end_failed_stage(context, row);
    }
}

void hedge_if_due(request_context context, active_request& row)
{
    auto& state = context.m_state;
    const bool hedgeable = current_stage(row).m_idempotent && !is_streamed(row) &&
                           row.m_attempts.size() == 1;
    if (!hedgeable)
    {
        return;
    }
    const auto after = response_quantile(state.m_stage_times, row.m_pipeline->m_id,
                                         row.m_stage, hedge_quantile);
    if (!after || context.m_now - row.m_attempts.front().m_sent < *after)
    {
        return;
    }
    const auto& pool = current_stage(row).m_pool;
    const auto avoided = owners_to_avoid(row);
    const owner_query query{pool, &row.m_excluded_upstreams, &avoided};
    if (choose_owner(state.m_routes, query, state.m_random) &&
        take_retry(state.m_retry_budget, pool))
    {
        send_attempt(context, row, attempt_cause::hedge);
    }
}

active_attempt* find_attempt(active_request& row, stage_index stage,
                             attempt_number number)
{
    const auto at = std::find_if(row.m_attempts.begin(), row.m_attempts.end(),
                                 [&](const active_attempt& attempt)
                                 {
                                     return attempt.m_number == number;
                                 });
    return row.m_stage != stage || at == row.m_attempts.end() ? nullptr : &*at;
}

void remove_attempt(request_context context, active_request& row, attempt_number number,
                    const std::optional<pool_hint>& hint)
{
    const auto& pool = current_stage(row).m_pool;
    if (const auto* attempt = find_attempt(row, row.m_stage, number))
    {
        record_call_end(context.m_state.m_routes, pool, attempt->m_owner, hint,
                        context.m_now);
    }
    std::erase_if(row.m_attempts,
                  [&](const active_attempt& attempt)
                  {
                      return attempt.m_number == number;
                  });
    if (row.m_ended)
    {
        context.m_state.m_ended.push_back(row.m_request.m_id);
    }
}

} // namespace geraniumdoor
