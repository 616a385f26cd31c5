#include "request_steps.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

active_request& add_request(coordinator& state, const pipeline_request& request)
{
    require_invariant(state.m_requests.find(request.m_id) == nullptr,
                      "request_ids_are_unique", to_string(request.m_id));
    const auto* pipeline = find_pipeline(state.m_config, request.m_pipeline);
    require_invariant(pipeline != nullptr && !pipeline->m_stages.empty(),
                      "pipelines_are_known", request.m_pipeline.m_value);
    active_request row;
    row.m_request = request;
    row.m_pipeline = std::make_shared<const pipeline_config>(*pipeline);
    row.m_last_stage = {static_cast<std::uint32_t>(pipeline->m_stages.size() - 1)};
    row.m_input = request.m_input;
    row.m_key = request_key(request.m_idempotency_key, request.m_workspace,
                            request.m_pipeline, request.m_input);
    if (const auto* workspace = find_workspace(state.m_config, request.m_workspace))
    {
        row.m_priority = workspace->m_priority;
        row.m_weight = workspace->m_weight;
    }
    return state.m_requests.put(request.m_id, std::move(row));
}

duration expected_waits(const coordinator& state, const pipeline_config& pipeline,
                        time_point now)
{
    duration waits{};
    for (const auto& stage : pipeline.m_stages)
    {
        waits += expected_wait(state.m_routes, stage.m_pool, now);
    }
    return waits;
}

/// Expected total of service and queue wait times of the request.
duration expected_time(const coordinator& state, const active_request& row,
                       time_point now)
{
    return expected_service_time(state.m_stage_times, *row.m_pipeline) +
           expected_waits(state, *row.m_pipeline, now);
}

void log_refusal(const coordinator& state, const active_request& row, bool admitted,
                 duration need)
{
    double share = 1;
    for (const auto& stage : row.m_pipeline->m_stages)
    {
        share = std::min(share, admission_probability(state.m_admission, stage.m_pool,
                                                      row.m_priority, row.m_weight));
    }
    log_event{"refused_on_entry"}
        .add("request", to_string(row.m_request.m_id))
        .add("reason", admitted ? "infeasible" : "admission")
        .add("share", share)
        .add("need_ms", to_ms(need));
}

/// Refuses the request before its first stage if it is not admitted or is not expected to
/// meet its deadline. Returns whether it was refused.
bool refuse_on_entry(request_context context, active_request& row)
{
    auto& state = context.m_state;
    const double draw = uniform_unit(state.m_random);
    const bool admitted =
        admits(state.m_admission, *row.m_pipeline, row.m_priority, row.m_weight, draw);
    const duration need = expected_time(state, row, context.m_now);
    if (admitted && context.m_now + need <= row.m_request.m_deadline)
    {
        return false;
    }
    log_refusal(state, row, admitted, need);
    ++state.m_counters.m_refused;
    end_request(context, row, answer_code::overloaded,
                "the pipeline cannot answer within the deadline at its present load");
    return true;
}

} // namespace

coordinator make_coordinator(const node_id& node, incarnation own_incarnation,
                             std::uint64_t seed)
{
    coordinator state;
    state.m_node = node;
    state.m_incarnation = own_incarnation;
    state.m_random = random_source{seed};
    state.m_claims.m_node = node;
    state.m_claims.m_incarnation = own_incarnation;
    return state;
}

void start_request(coordinator& state, const pipeline_request& request, time_point now,
                   coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    auto& row = add_request(state, request);
    if (!refuse_on_entry(context, row))
    {
        check_first_claim(context, row);
    }
    finish_event(context);
}

void run_follow_up(coordinator& state, const request_id& id, const follow_up_row& row,
                   time_point now, coordinator_actions& actions)
{
    const request_context context{state, now, actions};
    const auto* pipeline = find_pipeline(state.m_config, row.m_pipeline);
    require_invariant(pipeline != nullptr && row.m_after < row.m_stage &&
                          row.m_stage.m_value < pipeline->m_stages.size(),
                      "follow_ups_are_decided_first", to_string(row.m_request));
    pipeline_request request;
    request.m_id = id;
    request.m_pipeline = row.m_pipeline;
    request.m_workspace = row.m_workspace;
    request.m_deadline = now + pipeline->m_deadline;
    request.m_input = row.m_input;
    auto& added = add_request(state, request);
    added.m_internal = true;
    added.m_stage = {row.m_after.m_value + 1};
    added.m_last_stage = row.m_stage;
    added.m_pending_follow_ups.push_back(
        {row.m_stage, follow_up_row_key(row.m_request, row.m_stage)});
    start_stage(context, added);
    finish_event(context);
}

std::vector<request_id> requests_in_progress(const coordinator& state)
{
    std::vector<request_id> ids;
    for (const auto& [id, row] : state.m_requests)
    {
        ids.push_back(id);
    }
    return ids;
}

} // namespace geraniumdoor
