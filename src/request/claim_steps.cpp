#include "claim_steps.hpp"

#include <geraniumdoor/base/log.hpp>

#include <utility>

namespace geraniumdoor
{

namespace
{

/// Interval at which a repeated request polls for the outcome of the first one.
constexpr milliseconds poll_interval{200};
/// Outages last for seconds; trying a claim every half second detects their end in time.
constexpr milliseconds outage_backoff{500};

void erase_claim(claims& state, const attempt_id& claim)
{
    state.m_entries.erase(claim);
}

void on_row_unclaimed(claims& state, const attempt_id& claim, claim_entry& entry,
                      std::uint64_t version, claim_effects effects)
{
    entry.m_version = version;
    if (entry.m_check_only)
    {
        entry.m_step = claim_step::checked;
        effects.m_events.push_back(
            {entry.m_row.m_request, claim, claim_event_kind::unclaimed, {}, {}, {}});
        return;
    }
    entry.m_step = claim_step::inserting;
    queue_write(state, claim, entry);
}

void on_row_running(claims& state, const attempt_id& claim, claim_entry& entry,
                    const claim_row& other, time_point now, claim_effects effects)
{
    if (is_holder_dead(state, other.m_holder, other.m_incarnation))
    {
        end_unheld_claim(state, claim, claim_event_kind::in_doubt, effects);
        return;
    }
    entry.m_step = claim_step::waiting;
    entry.m_write = claim_write::none;
    entry.m_read_at = now + poll_interval;
}

/// The row belongs to another attempt and is not withdrawn.
void on_row_taken(claims& state, const attempt_id& claim, claim_entry& entry,
                  const claim_row& other, time_point now, claim_effects effects)
{
    const bool same_request =
        other.m_body == entry.m_row.m_body && other.m_pipeline == entry.m_row.m_pipeline;
    if (!same_request)
    {
        end_unheld_claim(state, claim, claim_event_kind::key_reused, effects);
    }
    else if (other.m_state == claim_state::done)
    {
        effects.m_events.push_back({entry.m_row.m_request, claim,
                                    claim_event_kind::replay, other.m_output,
                                    other.m_request, other.m_answer});
        erase_claim(state, claim);
    }
    else if (other.m_state == claim_state::in_doubt)
    {
        end_unheld_claim(state, claim, claim_event_kind::in_doubt, effects);
    }
    else
    {
        on_row_running(state, claim, entry, other, now, effects);
    }
}

/// The row held this claim, and another attempt has replaced it.
void on_row_replaced(claims& state, const attempt_id& claim, const claim_entry& entry)
{
    if (entry.m_row.m_state != claim_state::withdrawn)
    {
        log_event{"claim_replaced"}.add("key", entry.m_key).add("claim", claim);
    }
    erase_claim(state, claim);
}

void reconcile_own_row(claims& state, const attempt_id& claim, claim_entry& entry,
                       const table_row& row, const claim_row& found,
                       claim_effects effects)
{
    entry.m_version = row.m_version;
    entry.m_has_answer = found.m_answer.has_value();
    on_row_stored(state, claim, found.m_state, effects);
}

/// The final state of the claim is stored; the answer of the request may be missing.
void on_outcome_stored(claims& state, const attempt_id& claim, claim_entry& entry)
{
    // Follow-up rows are inserted once: a later write must not insert them after they
    // were deleted.
    for (const auto& follow_up : std::exchange(entry.m_follow_ups, {}))
    {
        if (follow_up.m_finished)
        {
            state.m_deletes.push_back(follow_up.m_key);
        }
    }
    if (entry.m_row.m_answer && !entry.m_has_answer)
    {
        queue_write(state, claim, entry);
    }
    else if (!entry.m_awaits_answer)
    {
        erase_claim(state, claim);
    }
}

/// The table service has no row for the key.
void on_row_absent(claims& state, const attempt_id& claim, claim_entry& entry,
                   claim_effects effects)
{
    if (entry.m_step != claim_step::held && !entry.m_released)
    {
        on_row_unclaimed(state, claim, entry, 0, effects);
        return;
    }
    if (!entry.m_sent)
    {
        erase_claim(state, claim);
        return;
    }
    // The row is written even if it is withdrawn: a delayed insert may still arrive, and
    // its version condition must then fail.
    entry.m_version = 0;
    entry.m_stored_state.reset();
    queue_write(state, claim, entry);
}

} // namespace

void reconcile_row(claims& state, const attempt_id& claim, const table_row& row,
                   time_point now, claim_effects effects)
{
    auto& entry = *state.m_entries.find(claim);
    entry.m_write = claim_write::none;
    entry.m_failed_reads = 0;
    if (row.m_version == 0)
    {
        on_row_absent(state, claim, entry, effects);
        return;
    }
    const auto parsed = parse_claim_row(row.m_value);
    if (!is_ok(parsed))
    {
        log_event{"claim_unreadable"}
            .add("key", entry.m_key)
            .add("reason", error_of(parsed).m_message);
        end_unheld_claim(state, claim, claim_event_kind::in_doubt, effects);
        return;
    }
    const auto& found = value_of(parsed);
    if (found.m_attempt == claim)
    {
        reconcile_own_row(state, claim, entry, row, found, effects);
    }
    else if (entry.m_step == claim_step::held)
    {
        on_row_replaced(state, claim, entry);
    }
    else if (entry.m_released)
    {
        erase_claim(state, claim);
    }
    else if (found.m_state == claim_state::withdrawn)
    {
        on_row_unclaimed(state, claim, entry, row.m_version, effects);
    }
    else
    {
        on_row_taken(state, claim, entry, found, now, effects);
    }
}

void on_row_stored(claims& state, const attempt_id& claim, claim_state stored,
                   claim_effects effects)
{
    auto& entry = *state.m_entries.find(claim);
    entry.m_write = claim_write::none;
    entry.m_stored_state = stored;
    const bool first = entry.m_step != claim_step::held;
    entry.m_step = claim_step::held;
    if (first && !entry.m_released)
    {
        effects.m_events.push_back(
            {entry.m_row.m_request, claim, claim_event_kind::confirmed, {}, {}, {}});
    }
    if (stored != entry.m_row.m_state)
    {
        queue_write(state, claim, entry);
        return;
    }
    if (stored != claim_state::running)
    {
        on_outcome_stored(state, claim, entry);
    }
}

void queue_write(claims& state, const attempt_id& claim, claim_entry& entry)
{
    if (entry.m_write == claim_write::none)
    {
        entry.m_write = claim_write::queued;
        state.m_queue.push_back(claim);
    }
}

void start_read(claims& state, const attempt_id& claim, claim_entry& entry,
                time_point now, claim_effects effects)
{
    const table_call_id call{++state.m_last_call};
    entry.m_read_in_flight = true;
    entry.m_read_at = now;
    state.m_reads.put(call, claim);
    effects.m_actions.push_back(table_read{call, entry.m_key});
}

void end_unheld_claim(claims& state, const attempt_id& claim, claim_event_kind kind,
                      claim_effects effects)
{
    const auto& entry = *state.m_entries.find(claim);
    if (!entry.m_released)
    {
        effects.m_events.push_back({entry.m_row.m_request, claim, kind, {}, {}, {}});
    }
    erase_claim(state, claim);
}

void mark_service_down(claims& state, time_point now)
{
    state.m_down_until = now + outage_backoff;
}

} // namespace geraniumdoor
