#include "claim_steps.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/request/claims.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

/// The table service counts as down when one call takes longer.
constexpr milliseconds table_call_timeout{500};
constexpr milliseconds read_retry_interval{200};
/// Failed reads after which an unconfirmed insert is reported as such.
constexpr std::uint32_t max_failed_reads = 3;

attempt_id add_entry(claims& state, const std::string& key, const claim_row& row)
{
    attempt_id claim{state.m_node.m_value + '.' +
                     std::to_string(state.m_incarnation.m_value) + '.' +
                     std::to_string(++state.m_last_claim)};
    claim_entry entry;
    entry.m_key = key;
    entry.m_row = row;
    entry.m_row.m_attempt = claim;
    entry.m_row.m_holder = state.m_node;
    entry.m_row.m_incarnation = state.m_incarnation;
    entry.m_row.m_state = claim_state::running;
    state.m_entries.put(claim, std::move(entry));
    return claim;
}

/// Returns true if the claim was refused because the service counts as down.
bool refuse_while_down(claims& state, const attempt_id& claim, time_point now,
                       claim_effects effects)
{
    if (now >= state.m_down_until)
    {
        return false;
    }
    end_unheld_claim(state, claim, claim_event_kind::unavailable, effects);
    return true;
}

void on_read_failed(claims& state, const attempt_id& claim, claim_entry& entry,
                    time_point now, claim_effects effects)
{
    mark_service_down(state, now);
    entry.m_read_at = now + read_retry_interval;
    ++entry.m_failed_reads;
    if (entry.m_step == claim_step::checking)
    {
        end_unheld_claim(state, claim, claim_event_kind::unavailable, effects);
    }
    else if (entry.m_step == claim_step::inserting && !entry.m_released &&
             entry.m_failed_reads >= max_failed_reads)
    {
        effects.m_events.push_back(
            {entry.m_row.m_request, claim, claim_event_kind::unconfirmed, {}, {}, {}});
        release_claim(state, claim);
    }
}

bool is_read_due(const claim_entry& entry, time_point now)
{
    const bool wanted = entry.m_write == claim_write::unconfirmed ||
                        (entry.m_step == claim_step::waiting && !entry.m_released);
    return wanted && !entry.m_read_in_flight && now >= entry.m_read_at;
}

/// Whether the insert is pending and no write of the claim can have taken effect.
bool is_unsent(const claim_entry& entry)
{
    return entry.m_step == claim_step::inserting && !entry.m_sent;
}

bool is_stalled(const claim_entry& entry, bool write_stalled, time_point now)
{
    const bool read_stalled = entry.m_step == claim_step::checking &&
                              entry.m_read_in_flight &&
                              now - entry.m_read_at > table_call_timeout;
    return read_stalled || (write_stalled && is_unsent(entry));
}

void refuse_stalled_claims(claims& state, bool write_stalled, time_point now,
                           claim_effects effects)
{
    std::vector<attempt_id> stalled;
    for (const auto& [claim, entry] : state.m_entries)
    {
        if (is_stalled(entry, write_stalled, now))
        {
            stalled.push_back(claim);
        }
    }
    for (const auto& claim : stalled)
    {
        mark_service_down(state, now);
        end_unheld_claim(state, claim, claim_event_kind::unavailable, effects);
    }
}

} // namespace

attempt_id check_claim(claims& state, const std::string& key, const claim_row& row,
                       time_point now, claim_effects effects)
{
    auto claim = add_entry(state, key, row);
    if (!refuse_while_down(state, claim, now, effects))
    {
        auto& entry = *state.m_entries.find(claim);
        entry.m_check_only = true;
        start_read(state, claim, entry, now, effects);
    }
    return claim;
}

attempt_id insert_claim(claims& state, const std::string& key, const claim_row& row,
                        time_point now, claim_effects effects)
{
    auto claim = add_entry(state, key, row);
    state.m_entries.find(claim)->m_step = claim_step::checked;
    insert_checked_claim(state, claim, now, effects);
    return claim;
}

void insert_checked_claim(claims& state, const attempt_id& claim, time_point now,
                          claim_effects effects)
{
    auto& entry = *state.m_entries.find(claim);
    require_invariant(entry.m_step == claim_step::checked, "claims_are_inserted_once",
                      claim.m_value);
    entry.m_check_only = false;
    entry.m_step = claim_step::inserting;
    if (!refuse_while_down(state, claim, now, effects))
    {
        queue_write(state, claim, entry);
    }
}

void store_claim_outcome(claims& state, const attempt_id& claim, claim_state end,
                         const std::string& output,
                         std::vector<claim_follow_up> follow_ups)
{
    auto* entry = state.m_entries.find(claim);
    if (entry == nullptr)
    {
        return;
    }
    require_invariant(entry->m_step == claim_step::held, "only_held_claims_are_settled",
                      claim.m_value);
    entry->m_released = true;
    entry->m_row.m_state = end;
    entry->m_row.m_output = output;
    entry->m_follow_ups = std::move(follow_ups);
    queue_write(state, claim, *entry);
}

void await_answer(claims& state, const attempt_id& claim)
{
    if (auto* entry = state.m_entries.find(claim))
    {
        entry->m_awaits_answer = true;
    }
}

void store_answer(claims& state, const attempt_id& claim, const std::string& answer)
{
    auto* entry = state.m_entries.find(claim);
    if (entry != nullptr && entry->m_awaits_answer)
    {
        entry->m_awaits_answer = false;
        entry->m_row.m_answer = answer;
        queue_write(state, claim, *entry);
    }
}

void cancel_answer_wait(claims& state, const attempt_id& claim)
{
    auto* entry = state.m_entries.find(claim);
    if (entry == nullptr || !entry->m_awaits_answer)
    {
        return;
    }
    entry->m_awaits_answer = false;
    if (entry->m_write == claim_write::none &&
        entry->m_stored_state == entry->m_row.m_state)
    {
        state.m_entries.erase(claim);
    }
}

void release_claim(claims& state, const attempt_id& claim)
{
    auto* entry = state.m_entries.find(claim);
    if (entry == nullptr || entry->m_released)
    {
        return;
    }
    if (!entry->m_sent)
    {
        state.m_entries.erase(claim);
        return;
    }
    entry->m_released = true;
    entry->m_row.m_state = claim_state::withdrawn;
    if (entry->m_step == claim_step::held)
    {
        queue_write(state, claim, *entry);
    }
    else if (entry->m_step == claim_step::waiting)
    {
        state.m_entries.erase(claim);
    }
}

void finish_follow_up(claims& state, const std::string& key)
{
    for (auto& [claim, entry] : state.m_entries)
    {
        for (auto& follow_up : entry.m_follow_ups)
        {
            if (follow_up.m_key == key)
            {
                follow_up.m_finished = true;
                return;
            }
        }
    }
    state.m_deletes.push_back(key);
}

bool is_held(const claims& state, const attempt_id& claim)
{
    const auto* entry = state.m_entries.find(claim);
    return entry != nullptr && entry->m_step == claim_step::held &&
           entry->m_stored_state == claim_state::running &&
           entry->m_row.m_state == claim_state::running;
}

bool is_waiting(const claims& state, const attempt_id& claim)
{
    const auto* entry = state.m_entries.find(claim);
    return entry != nullptr && entry->m_step == claim_step::waiting;
}

bool may_be_inserted(const claims& state, const attempt_id& claim)
{
    const auto* entry = state.m_entries.find(claim);
    return entry != nullptr && entry->m_step == claim_step::inserting && entry->m_sent;
}

bool is_holder_dead(const claims& state, const node_id& holder, incarnation started)
{
    if (holder == state.m_node)
    {
        return started < state.m_incarnation;
    }
    const auto* known = state.m_holders.find(holder);
    return known != nullptr && (started < known->m_incarnation ||
                                (known->m_gone && started <= known->m_incarnation));
}

void on_holder_seen(claims& state, const node_id& node, incarnation started)
{
    auto* known = state.m_holders.find(node);
    if (known == nullptr || known->m_incarnation <= started)
    {
        state.m_holders.put(node, {started, false});
    }
}

void on_holder_gone(claims& state, const node_id& node)
{
    if (auto* known = state.m_holders.find(node))
    {
        known->m_gone = true;
    }
}

bool on_claim_read_end(claims& state, const table_read_end& end, time_point now,
                       claim_effects effects)
{
    const auto* read = state.m_reads.find(end.m_id);
    if (read == nullptr)
    {
        return false;
    }
    const attempt_id claim = *read;
    state.m_reads.erase(end.m_id);
    auto* entry = state.m_entries.find(claim);
    if (entry == nullptr)
    {
        return true;
    }
    entry->m_read_in_flight = false;
    if (!end.m_row)
    {
        on_read_failed(state, claim, *entry, now, effects);
        return true;
    }
    state.m_down_until = {};
    reconcile_row(state, claim, *end.m_row, now, effects);
    return true;
}

void tick_claims(claims& state, time_point now, claim_effects effects)
{
    const bool write_stalled =
        state.m_transaction && now - state.m_transaction->m_sent > table_call_timeout;
    if (write_stalled)
    {
        mark_service_down(state, now);
    }
    refuse_stalled_claims(state, write_stalled, now, effects);
    for (auto& [claim, entry] : state.m_entries)
    {
        if (is_read_due(entry, now))
        {
            start_read(state, claim, entry, now, effects);
        }
    }
    flush_claims(state, now, effects);
}

} // namespace geraniumdoor
