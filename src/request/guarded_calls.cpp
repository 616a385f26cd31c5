#include "request_steps.hpp"

#include <geraniumdoor/base/log.hpp>

#include <utility>

namespace geraniumdoor
{

namespace
{

/// Interval at which the query to the owner is sent again: the connection may break
/// again and lose it.
constexpr milliseconds query_interval{200};
/// The claim is in doubt if the owner does not answer for this time.
constexpr seconds query_timeout{2};

/// Returns the rows of the stages that must run after the current one and records these
/// stages in the request.
std::vector<claim_follow_up>
make_follow_ups(const coordinator& state, active_request& row, const std::string& output)
{
    std::vector<claim_follow_up> follow_ups;
    const auto& stages = row.m_pipeline->m_stages;
    for (std::uint32_t at = 0; at < stages.size(); ++at)
    {
        if (stages[at].m_required_after != row.m_stage)
        {
            continue;
        }
        const stage_index stage{at};
        const auto key = follow_up_row_key(row.m_request.m_id, stage);
        const follow_up_row follow_up{row.m_request.m_id,
                                      row.m_request.m_workspace,
                                      row.m_pipeline->m_id,
                                      row.m_stage,
                                      stage,
                                      output,
                                      state.m_node,
                                      state.m_incarnation};
        follow_ups.push_back({key, to_json_text(follow_up), false});
        row.m_pending_follow_ups.push_back({stage, key});
    }
    return follow_ups;
}

/// Selects the first claim of a request to store the answer: a repeated request reads
/// that claim first.
void select_answer_claim(coordinator& state, active_request& row)
{
    auto& guarded = row.m_guarded;
    if (!row.m_internal && !guarded.m_ran && (!row.m_ended || is_last_stage(row)))
    {
        guarded.m_answer_claim = guarded.m_claim;
        await_answer(state.m_claims, guarded.m_claim);
    }
}

void on_guarded_answer(request_context context, active_request& row,
                       const stage_result& result)
{
    auto& state = context.m_state;
    select_answer_claim(state, row);
    store_claim_outcome(state.m_claims, row.m_guarded.m_claim, claim_state::done,
                        result.m_output, make_follow_ups(state, row, result.m_output));
    row.m_guarded.m_ran = true;
    if (is_last_stage(row))
    {
        store_answer(state.m_claims, row.m_guarded.m_answer_claim, result.m_output);
    }
    if (!row.m_ended)
    {
        finish_stage(context, row, result.m_output);
    }
}

void on_guarded_fenced(request_context context, active_request& row)
{
    ++row.m_guarded.m_fenced;
    if (row.m_ended)
    {
        store_claim_outcome(context.m_state.m_claims, row.m_guarded.m_claim,
                            claim_state::withdrawn, {}, {});
        return;
    }
    resend_or_end(context, row);
}

void on_guarded_in_doubt(request_context context, active_request& row)
{
    ++context.m_state.m_counters.m_in_doubt;
    log_event{"claim_in_doubt"}
        .add("request", to_string(row.m_request.m_id))
        .add("stage", row.m_stage)
        .add("claim", row.m_guarded.m_claim);
    store_claim_outcome(context.m_state.m_claims, row.m_guarded.m_claim,
                        claim_state::in_doubt, {}, {});
    row.m_guarded.m_unknown = true;
    if (!row.m_ended)
    {
        end_request(context, row, answer_code::in_doubt, "the call may have run");
    }
}

void send_query(request_context context, active_request& row)
{
    const auto& attempt = row.m_attempts.front();
    row.m_guarded.m_next_query = context.m_now + query_interval;
    context.m_actions.push_back(
        send_attempt_query{attempt.m_owner, {guarded_attempt_id(row, attempt.m_number)}});
}

} // namespace

attempt_id guarded_attempt_id(const active_request& row, attempt_number number)
{
    // Each attempt has its own id, so that a delayed "fenced" from an earlier owner is
    // not attributed to the next one.
    return {row.m_guarded.m_claim.m_value + '#' + std::to_string(number.m_value)};
}

void on_guarded_result(request_context context, active_request& row,
                       const stage_result& result)
{
    if (result.m_reason == call_reason::duplicate_attempt)
    {
        // The owner refused a duplicate of the call; the first result is still pending.
        ++context.m_state.m_counters.m_superseded_results;
        return;
    }
    const node_id owner = row.m_attempts.front().m_owner;
    remove_attempt(context, row, result.m_key.m_attempt, result.m_hint);
    row.m_guarded.m_querying = false;
    row.m_last_reason = result.m_reason;
    if (result.m_outcome == call_outcome::answered)
    {
        on_guarded_answer(context, row, result);
    }
    else if (result.m_outcome == call_outcome::not_dispatched)
    {
        exclude_not_dispatched(row, owner, result);
        on_guarded_fenced(context, row);
    }
    else
    {
        on_guarded_in_doubt(context, row);
    }
}

void start_query(request_context context, active_request& row)
{
    if (!row.m_guarded.m_querying)
    {
        row.m_guarded.m_querying = true;
        row.m_guarded.m_query_until = context.m_now + query_timeout;
    }
    send_query(context, row);
}

void on_guarded_status(request_context context, active_request& row,
                       const attempt_status& status)
{
    const auto attempt = row.m_attempts.front();
    // A process that started after the call was sent has no record of it.
    const bool same_process = status.m_owner_incarnation == attempt.m_owner_incarnation;
    remove_attempt(context, row, attempt.m_number, {});
    row.m_guarded.m_querying = false;
    if (status.m_state == attempt_state::fenced && same_process)
    {
        row.m_refusing_owners.push_back(attempt.m_owner);
        row.m_last_reason = call_reason::none;
        on_guarded_fenced(context, row);
        return;
    }
    on_guarded_in_doubt(context, row);
}

void tick_guarded(request_context context, active_request& row)
{
    auto& guarded = row.m_guarded;
    const bool query_timed_out =
        guarded.m_querying && context.m_now >= guarded.m_query_until;
    const bool linger_expired = row.m_ended && context.m_now >= row.m_linger_until;
    if (query_timed_out || linger_expired)
    {
        remove_attempt(context, row, row.m_attempts.front().m_number, {});
        guarded.m_querying = false;
        on_guarded_in_doubt(context, row);
    }
    else if (guarded.m_querying && context.m_now >= guarded.m_next_query)
    {
        send_query(context, row);
    }
}

} // namespace geraniumdoor
