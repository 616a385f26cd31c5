#include "relay_util.hpp"
#include "request_relay.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <string>

// What the relay records of the attempts at upstreams: their times and failures.

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

/// Ids of the parts of a prompt, for the log.
std::string part_ids(const prompt& request_prompt)
{
    std::string ids;
    for (const prompt_part& part : request_prompt.m_parts)
    {
        ids += ids.empty() ? "" : ",";
        ids += part.m_id;
    }
    return ids;
}

/// When the latest attempt last made progress: its latest event, or its start.
time_point latest_progress(const relayed_request& current)
{
    return std::max(current.m_last_sent_at, current.m_last_event_at);
}

} // namespace

double request_relay::pace_of(const request& current) const
{
    const auto pace = m_engine_paces.find(current.m_pool);
    return pace == m_engine_paces.end() ? 1 : std::max(1.0, pace->second.m_ratio);
}

double request_relay::usual_first_token_of(const request& current,
                                           const upstream_id& id) const
{
    const auto pool = current.m_routing->m_pools.find(current.m_pool);
    const upstream* row = m_state.m_upstreams.m_rows.find(id);
    const bool is_engine = pool != current.m_routing->m_pools.end() &&
                           pool->second.m_engine && row != nullptr &&
                           is_stream(current.m_route->m_retry_safety);
    if (!is_engine)
    {
        return 0;
    }
    const prompt& request_prompt = current.m_metadata.m_prompt;
    return usual_first_token_ms(
        *row, request_prompt,
        is_home_engine(m_state.m_upstreams, request_prompt, *row, now()));
}

double request_relay::slowness_of_answer(const pool_id& pool, double elapsed_ms)
{
    double& mean_ms = m_mean_first_byte_ms[pool];
    mean_ms =
        mean_ms == 0 ? elapsed_ms : mean_ms + sample_weight * (elapsed_ms - mean_ms);
    constexpr double min_slowness = 0.3;
    constexpr double max_slowness = 8;
    return std::clamp(elapsed_ms / std::max(1.0, mean_ms), min_slowness, max_slowness);
}

void request_relay::record_attempt(request& current, attempt_outcome outcome,
                                   time_point began)
{
    const time_point at = now();
    upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    m_state.m_metrics.add("attempts", {{"end", to_text(outcome)}});
    if (outcome != attempt_outcome::answered)
    {
        log_event line{"attempt"};
        line.add("request", current.m_metadata.m_request)
            .add("upstream", current.m_upstream)
            .add("end", to_text(outcome))
            .add("caller_gone", current.m_caller_gone)
            .add("took_ms", ms_between(began, at).count());
        if (outcome == attempt_outcome::broken ||
            outcome == attempt_outcome::broken_stream)
        {
            line.add("head", current.m_progress.m_head_received)
                .add("events", current.m_progress.m_events)
                .add("connection_lost", current.m_progress.m_connection_lost)
                .add("gave_up", current.m_progress.m_gave_up)
                .add("silent_ms", ms_between(latest_progress(current), at).count())
                .add("run", current.m_upstream_run)
                .add("identity", identity_of(current))
                .add("parts", part_ids(current.m_metadata.m_prompt));
        }
    }
    if (current.m_caller_gone)
    {
        return;
    }
    const bool is_complete = outcome == attempt_outcome::answered;
    if (is_complete || current.m_progress.m_gave_up)
    {
        record_duration(current, at - began, is_complete);
    }
    if (row == nullptr)
    {
        return;
    }
    switch (outcome)
    {
    case attempt_outcome::not_sent:
        if (takes_requests(current.m_upstream) && !current.m_progress.m_lacked_resources)
        {
            note_unreachable(*row);
        }
        break;
    case attempt_outcome::wrong_upstream:
    case attempt_outcome::broken:
    case attempt_outcome::broken_stream:
    case attempt_outcome::unusable:
        if (!current.m_progress.m_lacked_resources)
        {
            note_unreachable(*row);
        }
        break;
    case attempt_outcome::answered:
    case attempt_outcome::answered_with_fault:
    case attempt_outcome::unproven_refusal:
    {
        const time_point first = std::max(began, current.m_first_byte_at);
        const double elapsed_ms = std::max(1.0, to_ms(first - began));
        const bool is_engine = current.m_usual_first_token_ms > 0;
        const double slowness =
            is_engine ? record_first_token(m_engine_paces[current.m_pool],
                                           current.m_usual_first_token_ms, elapsed_ms)
                      : slowness_of_answer(current.m_pool, elapsed_ms);
        record_response(m_state.m_upstreams, *row, outcome == attempt_outcome::answered,
                        slowness);
        break;
    }
    case attempt_outcome::declined:
    case attempt_outcome::input_gone:
        break;
    }
}

void request_relay::record_for_rollout(const request& current, attempt_outcome outcome,
                                       time_point began)
{
    const upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    const bool is_answered = outcome == attempt_outcome::answered;
    const bool is_broken =
        outcome == attempt_outcome::broken || outcome == attempt_outcome::broken_stream;
    const bool is_faulty =
        outcome == attempt_outcome::answered_with_fault ||
        outcome == attempt_outcome::unproven_refusal ||
        outcome == attempt_outcome::unusable ||
        (is_broken && !current.m_caller_gone && !current.m_progress.m_gave_up);
    const bool is_silent = is_broken && !is_faulty;
    if (row == nullptr || row->m_run != current.m_upstream_run ||
        current.m_progress.m_lacked_resources ||
        (!is_answered && !is_faulty && !is_silent))
    {
        return;
    }
    const time_point at = now();
    answer_time taken;
    const bool has_begun = current.m_first_byte_at >= began;
    const bool resumes_stream = !has_begun && current.m_first_byte_at != time_point{};
    if (!resumes_stream)
    {
        taken.m_first_byte_ms =
            std::max(1.0, to_ms((has_begun ? current.m_first_byte_at : at) - began));
    }
    if (has_begun && is_answered)
    {
        taken.m_rest_ms = to_ms(at - current.m_first_byte_at);
    }
    if (is_stream(current.m_route->m_retry_safety))
    {
        taken.m_reading_ms =
            current.m_metadata.m_prompt.m_prompt_tokens / prefill_tokens_per_ms;
    }
    // A caller that leaves early says nothing of the upstream.
    const bool is_late = is_silent && !current.m_caller_gone;
    m_rollouts.record_answer(*row, current.m_route->m_name, taken, is_faulty, is_late);
}

void request_relay::record_duration(const request& current, duration taken,
                                    bool is_complete)
{
    constexpr std::size_t max_removed_routes = 100;
    if (m_state.m_routing &&
        m_durations.size() > m_state.m_routing->m_routes.size() + max_removed_routes)
    {
        m_durations.clear();
    }
    duration_estimate& estimate = m_durations[current.m_route->m_name];
    // Of a call that was given up only a lower bound is known.
    if (is_complete || to_ms(taken) > estimate.m_mean_ms)
    {
        serving::record_duration(estimate, taken);
    }
}

} // namespace geraniumdoor::edge
