#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/request/coordinator.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

constexpr std::uint32_t max_early_tokens = 256;
constexpr std::uint32_t max_attempts = 4;
constexpr milliseconds default_retry_after{500};

const stage_config& current_stage(const active_request& row)
{
    return row.m_pipeline->m_stages[row.m_stage.m_value];
}

bool is_last_stage(const active_request& row)
{
    return row.m_stage.m_value + 1 == row.m_pipeline->m_stages.size();
}

bool is_streamed(const active_request& row)
{
    return row.m_request.m_streamed && is_last_stage(row);
}

void cancel_attempts(coordinator& state, active_request& row,
                     coordinator_actions& actions)
{
    for (const auto& attempt : row.m_attempts)
    {
        const call_key key{row.m_request.m_id, row.m_stage, attempt.m_number};
        actions.push_back(send_stage_cancel{attempt.m_owner, {key}});
        note_call_end(state.m_routes, current_stage(row).m_pool, attempt.m_owner, {});
    }
    row.m_attempts.clear();
}

void finish(coordinator& state, active_request& row, answer_code code,
            const std::string& message, coordinator_actions& actions)
{
    cancel_attempts(state, row, actions);
    pipeline_answer answer;
    answer.m_id = row.m_request.m_id;
    answer.m_code = code;
    answer.m_message = message;
    answer.m_tokens = static_cast<std::uint32_t>(row.m_tokens.size());
    answer.m_stages = std::move(row.m_reports);
    if (code == answer_code::ok)
    {
        answer.m_ran = ran_state::ran;
        answer.m_output = std::move(row.m_input);
    }
    else
    {
        answer.m_retry_after = default_retry_after;
    }
    const request_id id = answer.m_id;
    actions.push_back(reply_final{std::move(answer)});
    state.m_requests.erase(id);
}

void send_attempt(coordinator& state, active_request& row, time_point now,
                  coordinator_actions& actions)
{
    const auto& stage = current_stage(row);
    const owner_query query{stage.m_pool, &row.m_used_upstreams, &row.m_refusing_owners};
    const auto choice = choose_owner(state.m_routes, query, state.m_random);
    if (!choice || row.m_last_attempt >= max_attempts)
    {
        finish(state, row,
               row.m_last_attempt == 0 ? answer_code::overloaded
                                       : answer_code::upstream_failed,
               "no upstream of stage " + stage.m_name + " is left to try", actions);
        return;
    }
    const attempt_number number{++row.m_last_attempt};
    log_event{"route"}
        .add("request", to_string(row.m_request.m_id))
        .add("stage", row.m_stage)
        .add("attempt", number)
        .add("owner", choice->m_owner)
        .add("reason", number.m_value == 1 ? "first" : "retry")
        .add("rejected", choice->m_rejected);
    const auto left =
        std::chrono::duration_cast<milliseconds>(row.m_request.m_deadline - now);
    stage_call call;
    call.m_key = {row.m_request.m_id, row.m_stage, number};
    call.m_pool = stage.m_pool;
    call.m_pipeline = row.m_pipeline->m_id;
    call.m_workspace = row.m_request.m_workspace;
    call.m_priority = row.m_priority;
    call.m_weight = row.m_weight;
    call.m_budget_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    call.m_idempotent = stage.m_idempotent;
    call.m_streamed = is_streamed(row);
    call.m_operation = stage.m_operation;
    call.m_input = row.m_input;
    call.m_delivered = row.m_tokens;
    call.m_excluded = row.m_used_upstreams;
    row.m_attempts.push_back({number, choice->m_owner, now, row.m_request.m_deadline});
    note_call_sent(state.m_routes, stage.m_pool, choice->m_owner);
    actions.push_back(send_stage_call{choice->m_owner, std::move(call)});
}

void start_stage(coordinator& state, active_request& row, time_point now,
                 coordinator_actions& actions)
{
    row.m_last_attempt = 0;
    row.m_used_upstreams.clear();
    row.m_refusing_owners.clear();
    row.m_stage_started = now;
    if (!current_stage(row).m_idempotent)
    {
        finish(state, row, answer_code::claims_unavailable, "claims cannot be written",
               actions);
        return;
    }
    send_attempt(state, row, now, actions);
}

void deliver_tokens(active_request& row, coordinator_actions& actions)
{
    for (auto next = row.m_early_tokens.begin();
         next != row.m_early_tokens.end() && next->first == row.m_tokens.size();
         next = row.m_early_tokens.erase(next))
    {
        row.m_tokens.push_back(next->second);
        actions.push_back(
            reply_part{row.m_request.m_id, next->first, std::move(next->second)});
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

void on_answered(coordinator& state, active_request& row, const stage_result& result,
                 time_point now, coordinator_actions& actions)
{
    cancel_attempts(state, row, actions);
    row.m_reports.push_back({current_stage(row).m_name, result.m_upstream,
                             row.m_last_attempt, result.m_upstream_us});
    row.m_input = result.m_output;
    if (is_last_stage(row))
    {
        const bool whole = !is_streamed(row) || row.m_tokens.size() == result.m_tokens;
        finish(state, row, whole ? answer_code::ok : answer_code::incomplete,
               whole ? "" : "tokens are missing", actions);
        return;
    }
    ++row.m_stage.m_value;
    start_stage(state, row, now, actions);
}

} // namespace

coordinator make_coordinator(const node_id& node, incarnation started, std::uint64_t seed)
{
    coordinator state;
    state.m_node = node;
    state.m_incarnation = started;
    state.m_random = random_source{seed};
    return state;
}

void start_request(coordinator& state, const pipeline_request& request, time_point now,
                   coordinator_actions& actions)
{
    require_invariant(state.m_requests.find(request.m_id) == nullptr,
                      "request_ids_are_unique", to_string(request.m_id));
    const auto* pipeline = find_pipeline(state.m_config, request.m_pipeline);
    require_invariant(pipeline != nullptr && !pipeline->m_stages.empty(),
                      "pipelines_are_known", request.m_pipeline.m_value);
    active_request row;
    row.m_request = request;
    row.m_pipeline = std::make_shared<const pipeline_config>(*pipeline);
    row.m_input = request.m_input;
    if (const auto* workspace = find_workspace(state.m_config, request.m_workspace))
    {
        row.m_priority = workspace->m_priority;
        row.m_weight = workspace->m_weight;
    }
    start_stage(state, state.m_requests.put(request.m_id, std::move(row)), now, actions);
}

void on_stage_chunk(coordinator& state, const stage_chunk& chunk, time_point,
                    coordinator_actions& actions)
{
    auto* row = state.m_requests.find(chunk.m_key.m_request);
    if (row == nullptr ||
        find_attempt(*row, chunk.m_key.m_stage, chunk.m_key.m_attempt) == nullptr ||
        !is_streamed(*row) || chunk.m_index < row->m_tokens.size() ||
        chunk.m_index >= row->m_tokens.size() + max_early_tokens)
    {
        ++state.m_counters.m_dropped_chunks;
        return;
    }
    row->m_early_tokens.try_emplace(chunk.m_index, chunk.m_token);
    deliver_tokens(*row, actions);
}

void on_stage_result(coordinator& state, const stage_result& result, time_point now,
                     coordinator_actions& actions)
{
    auto* row = state.m_requests.find(result.m_key.m_request);
    auto* attempt =
        row == nullptr ? nullptr
                       : find_attempt(*row, result.m_key.m_stage, result.m_key.m_attempt);
    if (attempt == nullptr)
    {
        ++state.m_counters.m_superseded_results;
        return;
    }
    const node_id owner = attempt->m_owner;
    row->m_attempts.erase(row->m_attempts.begin() + (attempt - row->m_attempts.data()));
    note_call_end(state.m_routes, current_stage(*row).m_pool, owner, result.m_hint);
    if (result.m_outcome == call_outcome::answered)
    {
        on_answered(state, *row, result, now, actions);
        return;
    }
    if (result.m_outcome == call_outcome::not_dispatched)
    {
        row->m_refusing_owners.push_back(owner);
    }
    else
    {
        row->m_used_upstreams.push_back(result.m_upstream);
    }
    if (row->m_attempts.empty())
    {
        ++state.m_counters.m_retries;
        send_attempt(state, *row, now, actions);
    }
}

void on_attempt_status(coordinator&, const attempt_status&, time_point,
                       coordinator_actions&)
{
}

void on_node_lost(coordinator& state, const node_id& node, time_point now,
                  coordinator_actions& actions)
{
    std::vector<request_id> hit;
    for (auto& [id, row] : state.m_requests)
    {
        const auto lost = std::erase_if(row.m_attempts,
                                        [&](const active_attempt& attempt)
                                        {
                                            return attempt.m_owner == node;
                                        });
        if (lost != 0)
        {
            note_call_end(state.m_routes, current_stage(row).m_pool, node, {});
            row.m_refusing_owners.push_back(node);
            hit.push_back(id);
        }
    }
    for (const auto& id : hit)
    {
        auto* row = state.m_requests.find(id);
        if (row != nullptr && row->m_attempts.empty())
        {
            send_attempt(state, *row, now, actions);
        }
    }
}

void on_table_transaction_end(coordinator&, const table_transaction_end&, time_point,
                              coordinator_actions&)
{
}

void on_table_read_end(coordinator&, const table_read_end&, time_point,
                       coordinator_actions&)
{
}

void on_caller_gone(coordinator& state, const request_id& id, time_point,
                    coordinator_actions& actions)
{
    if (auto* row = state.m_requests.find(id))
    {
        cancel_attempts(state, *row, actions);
        state.m_requests.erase(id);
    }
}

void on_ownership_announce(coordinator& state, const ownership_announce& announce,
                           time_point, coordinator_actions&)
{
    apply_announcement(state.m_routes, announce);
}

void on_owner_gone(coordinator& state, const node_id& node, time_point now,
                   coordinator_actions& actions)
{
    forget_owner(state.m_routes, node);
    on_node_lost(state, node, now, actions);
}

void set_configuration(coordinator& state, const configuration& config, time_point)
{
    state.m_config = config;
    state.m_routes.m_closed.clear();
    for (const auto& data_centre : config.m_data_centres)
    {
        if (data_centre.m_state == data_centre_state::out)
        {
            state.m_routes.m_closed.push_back(data_centre.m_id);
        }
    }
}

void tick(coordinator& state, time_point now, coordinator_actions& actions)
{
    std::vector<request_id> late;
    for (const auto& [id, row] : state.m_requests)
    {
        if (now >= row.m_request.m_deadline)
        {
            late.push_back(id);
        }
    }
    for (const auto& id : late)
    {
        finish(state, *state.m_requests.find(id), answer_code::deadline_exceeded,
               "the deadline has passed", actions);
    }
}

} // namespace geraniumdoor
