#include "request_steps.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/request/answer_names.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

constexpr milliseconds min_retry_after{500};
/// Time after the pool's timeout during which the owner's result may still arrive.
constexpr seconds result_grace{5};

milliseconds jittered_retry_after(coordinator& state, const active_request& row)
{
    const auto base = std::max(min_retry_after, row.m_retry_hint);
    const double factor = 0.5 + uniform_unit(state.m_random);
    return milliseconds{static_cast<std::int64_t>(to_ms(base) * factor)};
}

/// Effects are unknown while a guarded call is outstanding, or when the insert of a claim
/// has no confirmed outcome.
bool are_effects_unknown(const coordinator& state, const active_request& row)
{
    return row.m_guarded.m_unknown || has_outstanding_guarded_call(row) ||
           may_be_inserted(state.m_claims, row.m_guarded.m_claim);
}

ran_state ran_state_of(const coordinator& state, const active_request& row,
                       answer_code code)
{
    if (code == answer_code::in_progress)
    {
        return ran_state::in_progress;
    }
    if (are_effects_unknown(state, row))
    {
        return ran_state::unknown;
    }
    if (row.m_guarded.m_ran || code == answer_code::ok)
    {
        return ran_state::ran;
    }
    require_invariant(row.m_guarded.m_sent == row.m_guarded.m_fenced,
                      "not_run_answers_are_true", to_string(row.m_request.m_id));
    return ran_state::not_run;
}

pipeline_answer make_answer(coordinator& state, active_request& row, answer_code code,
                            const std::string& message)
{
    pipeline_answer answer;
    answer.m_id = row.m_request.m_id;
    answer.m_code = code;
    answer.m_ran = ran_state_of(state, row, code);
    answer.m_message = message;
    answer.m_tokens = static_cast<std::uint32_t>(row.m_stream.m_delivered.size());
    answer.m_replayed = row.m_replayed;
    answer.m_stages = row.m_stage_reports;
    if (code == answer_code::ok)
    {
        answer.m_output = row.m_input;
    }
    else
    {
        answer.m_retry_after = jittered_retry_after(state, row);
    }
    return answer;
}

/// Asks the owner to cancel the call. The attempt is kept, because its result settles the
/// claim.
void cancel_guarded_call(request_context context, active_request& row)
{
    for (const auto& attempt : row.m_attempts)
    {
        const call_key key{row.m_request.m_id, row.m_stage, attempt.m_number};
        context.m_actions.push_back(send_stage_cancel{attempt.m_owner, {key}});
    }
    const auto* pool = find_pool(context.m_state.m_config, current_stage(row).m_pool);
    const auto timeout = pool != nullptr ? pool->m_timeout : milliseconds{0};
    const auto from = std::max(context.m_now, row.m_request.m_deadline);
    row.m_linger_until = from + timeout + result_grace;
}

/// Withdraws the claim; no call is outstanding under it.
void withdraw_claim(request_context context, active_request& row)
{
    auto& claims = context.m_state.m_claims;
    const auto& claim = row.m_guarded.m_claim;
    if (is_held(claims, claim))
    {
        store_claim_outcome(claims, claim, claim_state::withdrawn, {}, {});
    }
    else
    {
        release_claim(claims, claim);
    }
}

void stop_calls(request_context context, active_request& row)
{
    row.m_resend_at = time_point::max();
    if (has_outstanding_guarded_call(row))
    {
        cancel_guarded_call(context, row);
        return;
    }
    withdraw_claim(context, row);
    cancel_attempts(context, row);
}

/// Stores a successful answer in the claim row, from which a repeated request is answered
/// without running a stage again.
void settle_answer_claim(coordinator& state, const active_request& row, answer_code code)
{
    const auto& claim = row.m_guarded.m_answer_claim;
    if (code == answer_code::ok)
    {
        store_answer(state.m_claims, claim, row.m_input);
        return;
    }
    cancel_answer_wait(state.m_claims, claim);
}

void log_end(const active_request& row, const pipeline_answer& answer)
{
    log_event{"request_end"}
        .add("request", to_string(row.m_request.m_id))
        .add("code", name_of(answer.m_code))
        .add("ran", name_of(answer.m_ran))
        .add("stage", row.m_stage)
        .add("reason", answer.m_message);
}

} // namespace

void end_request(request_context context, active_request& row, answer_code code,
                 const std::string& message)
{
    require_invariant(!row.m_ended, "one_final_answer", to_string(row.m_request.m_id));
    row.m_ended = true;
    context.m_state.m_ended.push_back(row.m_request.m_id);
    auto answer = make_answer(context.m_state, row, code, message);
    log_end(row, answer);
    settle_answer_claim(context.m_state, row, code);
    stop_calls(context, row);
    if (!row.m_internal)
    {
        context.m_actions.push_back(reply_final{std::move(answer)});
    }
}

void abandon_request(request_context context, active_request& row)
{
    if (!row.m_ended)
    {
        row.m_ended = true;
        context.m_state.m_ended.push_back(row.m_request.m_id);
        cancel_answer_wait(context.m_state.m_claims, row.m_guarded.m_answer_claim);
        stop_calls(context, row);
    }
}

void cancel_attempts(request_context context, active_request& row)
{
    auto& routes = context.m_state.m_routes;
    for (const auto& attempt : row.m_attempts)
    {
        const call_key key{row.m_request.m_id, row.m_stage, attempt.m_number};
        context.m_actions.push_back(send_stage_cancel{attempt.m_owner, {key}});
        record_call_end(routes, current_stage(row).m_pool, attempt.m_owner, {},
                        context.m_now);
    }
    row.m_attempts.clear();
}

void erase_ended(coordinator& state)
{
    for (const auto& id : std::exchange(state.m_ended, {}))
    {
        const auto* row = state.m_requests.find(id);
        if (row != nullptr && row->m_ended && row->m_attempts.empty())
        {
            state.m_requests.erase(id);
        }
    }
}

} // namespace geraniumdoor
