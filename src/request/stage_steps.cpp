#include "request_steps.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace geraniumdoor
{

namespace
{

/// Number of non-idempotent stages before the given one.
std::uint32_t non_idempotent_ordinal(const pipeline_config& pipeline, stage_index stage)
{
    const auto begin = pipeline.m_stages.begin();
    return static_cast<std::uint32_t>(std::count_if(begin, begin + stage.m_value,
                                                    [](const stage_config& config)
                                                    {
                                                        return !config.m_idempotent;
                                                    }));
}

std::string claim_key_of(const active_request& row, stage_index stage)
{
    return claim_row_key(row.m_request.m_workspace, row.m_key,
                         non_idempotent_ordinal(*row.m_pipeline, stage));
}

claim_row claim_row_of(const active_request& row)
{
    const auto standard =
        row.m_request.m_idempotency_key ? supplied_key_retention : derived_key_retention;
    const auto retention = row.m_request.m_retention.value_or(standard);
    claim_row claim;
    claim.m_request = row.m_request.m_id;
    claim.m_pipeline = row.m_pipeline->m_id;
    claim.m_body = row.m_request.m_input;
    claim.m_created_unix_s = row.m_request.m_received_unix_s;
    claim.m_retention_s = retention.count();
    return claim;
}

void start_claim(request_context context, active_request& row)
{
    auto& claims = context.m_state.m_claims;
    row.m_phase = request_phase::claiming;
    if (!row.m_guarded.m_claim.m_value.empty())
    {
        insert_checked_claim(claims, row.m_guarded.m_claim, context.m_now,
                             effects_of(context));
        return;
    }
    row.m_guarded.m_claim =
        insert_claim(claims, claim_key_of(row, row.m_stage), claim_row_of(row),
                     context.m_now, effects_of(context));
}

void finish_pending_follow_ups(request_context context, active_request& row)
{
    std::erase_if(row.m_pending_follow_ups,
                  [&](const pending_follow_up& owed)
                  {
                      if (owed.m_stage != row.m_stage)
                      {
                          return false;
                      }
                      finish_follow_up(context.m_state.m_claims, owed.m_key);
                      return true;
                  });
}

/// Text of an answer of the form {"text": ...}; nothing for other answers.
std::optional<std::string> generated_text(const std::string& answer)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(answer, error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* text = object == nullptr ? nullptr : object->if_contains("text");
    if (text == nullptr || !text->is_string())
    {
        return std::nullopt;
    }
    return std::string{text->get_string()};
}

/// Adds the follow-ups that the original request inserted when it ran the stage.
void add_pending_follow_ups(active_request& row, const request_id& original)
{
    const auto& stages = row.m_pipeline->m_stages;
    for (std::uint32_t at = 0; at < stages.size(); ++at)
    {
        if (stages[at].m_required_after == row.m_stage)
        {
            row.m_pending_follow_ups.push_back({{at}, follow_up_row_key(original, {at})});
        }
    }
}

/// Replays the stored answer of the original request. A streamed repeat receives the text
/// as a single token, because the row does not store token boundaries.
void replay_answer(request_context context, active_request& row,
                   const std::string& answer)
{
    row.m_stage = row.m_last_stage;
    row.m_input = answer;
    const auto text = is_streamed(row) ? generated_text(answer) : std::nullopt;
    if (text)
    {
        row.m_stream.m_delivered.push_back(*text);
        context.m_actions.push_back(reply_part{row.m_request.m_id, 0, *text});
    }
    end_request(context, row, answer_code::ok, {});
}

void on_replay(request_context context, active_request& row, const claim_event& event)
{
    const auto& stages = row.m_pipeline->m_stages;
    ++context.m_state.m_counters.m_replayed;
    row.m_replayed = true;
    row.m_guarded.m_ran = true;
    row.m_guarded.m_claim = {};
    if (event.m_answer)
    {
        replay_answer(context, row, *event.m_answer);
        return;
    }
    while (stages[row.m_stage.m_value].m_idempotent)
    {
        ++row.m_stage.m_value;
    }
    add_pending_follow_ups(row, event.m_original);
    finish_stage(context, row, event.m_output);
}

void on_claim_confirmed(request_context context, active_request& row)
{
    row.m_phase = request_phase::running;
    if (!send_attempt(context, row, attempt_cause::first))
    {
        resend_or_end(context, row);
    }
}

void end_on_claim_failure(request_context context, active_request& row,
                          const claim_event& event)
{
    switch (event.m_kind)
    {
    case claim_event_kind::key_reused:
        end_request(context, row, answer_code::key_reused,
                    "the idempotency key was used with another body or pipeline");
        return;
    case claim_event_kind::in_doubt:
        row.m_guarded.m_unknown = true;
        ++context.m_state.m_counters.m_in_doubt;
        end_request(context, row, answer_code::in_doubt,
                    "an earlier call under this key may have run");
        return;
    case claim_event_kind::unconfirmed:
        row.m_guarded.m_unknown = true;
        end_request(context, row, answer_code::claims_unavailable,
                    "it is not known whether the claim was inserted");
        return;
    default:
        end_request(context, row, answer_code::claims_unavailable,
                    "claims cannot be written");
    }
}

void apply_claim_event(request_context context, const claim_event& event)
{
    auto* row = context.m_state.m_requests.find(event.m_request);
    const bool expected = row != nullptr && !row->m_ended &&
                          row->m_phase != request_phase::running &&
                          row->m_guarded.m_claim == event.m_claim;
    if (!expected)
    {
        return;
    }
    if (event.m_kind == claim_event_kind::unclaimed)
    {
        start_stage(context, *row);
    }
    else if (event.m_kind == claim_event_kind::confirmed)
    {
        on_claim_confirmed(context, *row);
    }
    else if (event.m_kind == claim_event_kind::replay)
    {
        on_replay(context, *row, event);
    }
    else
    {
        end_on_claim_failure(context, *row, event);
    }
}

} // namespace

void check_first_claim(request_context context, active_request& row)
{
    const auto& stages = row.m_pipeline->m_stages;
    const auto guarded = std::find_if(stages.begin(), stages.end(),
                                      [](const stage_config& stage)
                                      {
                                          return !stage.m_idempotent;
                                      });
    if (guarded == stages.end() || guarded == stages.begin() || row.m_internal)
    {
        start_stage(context, row);
        return;
    }
    row.m_phase = request_phase::checking;
    const stage_index stage{static_cast<std::uint32_t>(guarded - stages.begin())};
    row.m_guarded.m_claim =
        check_claim(context.m_state.m_claims, claim_key_of(row, stage), claim_row_of(row),
                    context.m_now, effects_of(context));
}

void start_stage(request_context context, active_request& row)
{
    row.m_phase = request_phase::running;
    row.m_last_attempt = 0;
    row.m_excluded_upstreams.clear();
    row.m_refusing_owners.clear();
    row.m_lost_owners.clear();
    row.m_resend_rounds = 0;
    row.m_last_reason = call_reason::none;
    if (!current_stage(row).m_idempotent)
    {
        start_claim(context, row);
        return;
    }
    if (!send_attempt(context, row, attempt_cause::first))
    {
        resend_or_end(context, row);
    }
}

void finish_stage(request_context context, active_request& row, const std::string& output)
{
    row.m_input = output;
    finish_pending_follow_ups(context, row);
    if (row.m_stage == row.m_last_stage)
    {
        end_request(context, row, answer_code::ok, {});
        return;
    }
    if (!current_stage(row).m_idempotent)
    {
        row.m_guarded.m_claim = {};
    }
    ++row.m_stage.m_value;
    start_stage(context, row);
}

void apply_claim_events(request_context context)
{
    auto& events = context.m_state.m_claim_events;
    while (!events.empty())
    {
        const auto batch = std::exchange(events, {});
        for (const auto& event : batch)
        {
            apply_claim_event(context, event);
        }
    }
}

void finish_event(request_context context)
{
    apply_claim_events(context);
    flush_claims(context.m_state.m_claims, context.m_now, effects_of(context));
    apply_claim_events(context);
    erase_ended(context.m_state);
}

} // namespace geraniumdoor
