#include "claim_steps.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/request/claims.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

constexpr std::size_t max_transaction_rows = 64;
/// Delay after a transaction that was not written, had an unknown effect, or conflicted
/// without naming a row.
constexpr milliseconds write_backoff{100};
/// Consecutive unknown effects after which the service counts as down: a single lost
/// response does not indicate an outage.
constexpr std::uint32_t unknown_writes_until_outage = 2;

std::size_t row_count(const claim_entry& entry)
{
    return 1 + entry.m_follow_ups.size();
}

void add_claim(claim_entry& entry, table_transaction& transaction)
{
    transaction.m_checks.push_back({entry.m_key, entry.m_version});
    transaction.m_writes.push_back({entry.m_key, to_json_text(entry.m_row)});
    for (const auto& follow_up : entry.m_follow_ups)
    {
        if (!follow_up.m_finished)
        {
            transaction.m_writes.push_back({follow_up.m_key, follow_up.m_value});
        }
    }
    entry.m_write = claim_write::in_flight;
    entry.m_in_flight_state = entry.m_row.m_state;
    entry.m_has_answer = entry.m_row.m_answer.has_value();
    entry.m_sent_earlier = entry.m_sent;
    entry.m_sent = true;
}

/// Whether the transaction already writes the row. Two local requests with the same key
/// must not share a transaction: the service checks both against the version before it.
bool contains_key(const table_transaction& transaction, const std::string& key)
{
    return std::any_of(transaction.m_checks.begin(), transaction.m_checks.end(),
                       [&](const row_check& check)
                       {
                           return check.m_key == key;
                       });
}

void add_claims(claims& state, table_transaction& transaction, claim_transaction& sent)
{
    std::deque<attempt_id> remaining;
    for (; !state.m_queue.empty(); state.m_queue.pop_front())
    {
        const auto& claim = state.m_queue.front();
        auto* entry = state.m_entries.find(claim);
        if (entry == nullptr || entry->m_write != claim_write::queued)
        {
            continue;
        }
        const bool full =
            transaction.m_writes.size() + row_count(*entry) > max_transaction_rows &&
            !transaction.m_writes.empty();
        if (full || contains_key(transaction, entry->m_key))
        {
            remaining.push_back(claim);
            continue;
        }
        add_claim(*entry, transaction);
        sent.m_claims.push_back(claim);
    }
    state.m_queue = std::move(remaining);
}

void add_deletes(claims& state, table_transaction& transaction, claim_transaction& sent)
{
    while (!state.m_deletes.empty() && transaction.m_writes.size() < max_transaction_rows)
    {
        transaction.m_writes.push_back({state.m_deletes.front(), std::nullopt});
        sent.m_deletes.push_back(std::move(state.m_deletes.front()));
        state.m_deletes.pop_front();
    }
}

const table_row* find_row(const table_transaction_end& end, const std::string& key)
{
    const auto at = std::find_if(end.m_rows.begin(), end.m_rows.end(),
                                 [&](const table_row& row)
                                 {
                                     return row.m_key == key;
                                 });
    return at == end.m_rows.end() ? nullptr : &*at;
}

void read_back(claims& state, const attempt_id& claim, claim_entry& entry, time_point now,
               claim_effects effects)
{
    entry.m_write = claim_write::unconfirmed;
    start_read(state, claim, entry, now, effects);
}

void on_committed(claims& state, const claim_transaction& sent,
                  const table_transaction_end& end, time_point now, claim_effects effects)
{
    state.m_unknown_writes = 0;
    state.m_down_until = {};
    for (const auto& claim : sent.m_claims)
    {
        auto* entry = state.m_entries.find(claim);
        const auto* row = entry == nullptr ? nullptr : find_row(end, entry->m_key);
        if (row != nullptr)
        {
            entry->m_version = row->m_version;
            on_row_stored(state, claim, entry->m_in_flight_state, effects);
        }
        else if (entry != nullptr)
        {
            read_back(state, claim, *entry, now, effects);
        }
    }
}

/// Handles each conflicting row and requeues the other claims at the front.
void on_conflict(claims& state, const claim_transaction& sent,
                 const table_transaction_end& end, time_point now, claim_effects effects)
{
    state.m_unknown_writes = 0;
    state.m_down_until = {};
    bool any_conflict = false;
    std::deque<attempt_id> requeued;
    for (const auto& claim : sent.m_claims)
    {
        auto* entry = state.m_entries.find(claim);
        if (entry == nullptr)
        {
            continue;
        }
        entry->m_sent = entry->m_sent_earlier;
        if (const auto* row = find_row(end, entry->m_key))
        {
            any_conflict = true;
            reconcile_row(state, claim, *row, now, effects);
            continue;
        }
        entry->m_write = claim_write::queued;
        requeued.push_back(claim);
    }
    state.m_queue.insert(state.m_queue.begin(), requeued.begin(), requeued.end());
    if (!any_conflict)
    {
        state.m_next_write_at = now + write_backoff;
    }
}

/// Whether the claim holds no row and no earlier insert may still take effect.
bool is_first_insert(const claim_entry& entry)
{
    return entry.m_step == claim_step::inserting && !entry.m_sent_earlier;
}

/// Refuses first inserts at once and requeues writes of held claims without a read, as
/// nothing was written.
void on_not_written(claims& state, const claim_transaction& sent, time_point now,
                    claim_effects effects)
{
    log_event{"claim_write_not_sent"}.add("rows", sent.m_claims.size());
    state.m_next_write_at = now + write_backoff;
    mark_service_down(state, now);
    for (const auto& claim : sent.m_claims)
    {
        auto* entry = state.m_entries.find(claim);
        if (entry == nullptr)
        {
            continue;
        }
        entry->m_write = claim_write::none;
        entry->m_sent = entry->m_sent_earlier;
        if (is_first_insert(*entry))
        {
            end_unheld_claim(state, claim, claim_event_kind::unavailable, effects);
        }
        else if (entry->m_step == claim_step::held)
        {
            queue_write(state, claim, *entry);
        }
        else
        {
            // An earlier insert has an unknown effect and must be read back.
            read_back(state, claim, *entry, now, effects);
        }
    }
}

void on_unknown(claims& state, const claim_transaction& sent, time_point now,
                claim_effects effects)
{
    ++state.m_unknown_writes;
    log_event{"claim_write_unknown"}
        .add("rows", sent.m_claims.size())
        .add("failures", state.m_unknown_writes);
    state.m_next_write_at = now + write_backoff;
    if (state.m_unknown_writes >= unknown_writes_until_outage)
    {
        mark_service_down(state, now);
    }
    for (const auto& claim : sent.m_claims)
    {
        if (auto* entry = state.m_entries.find(claim))
        {
            read_back(state, claim, *entry, now, effects);
        }
    }
}

} // namespace

void flush_claims(claims& state, time_point now, claim_effects effects)
{
    if (state.m_transaction || now < state.m_next_write_at)
    {
        return;
    }
    table_transaction transaction;
    claim_transaction sent;
    add_claims(state, transaction, sent);
    add_deletes(state, transaction, sent);
    if (transaction.m_writes.empty())
    {
        return;
    }
    transaction.m_id = {++state.m_last_call};
    sent.m_id = transaction.m_id;
    sent.m_sent = now;
    ++state.m_transactions;
    state.m_rows_written += transaction.m_writes.size();
    state.m_transaction = std::move(sent);
    effects.m_actions.push_back(std::move(transaction));
}

bool on_claim_transaction_end(claims& state, const table_transaction_end& end,
                              time_point now, claim_effects effects)
{
    if (!state.m_transaction || state.m_transaction->m_id != end.m_id)
    {
        return false;
    }
    const auto sent = std::move(*state.m_transaction);
    state.m_transaction.reset();
    if (end.m_outcome == table_outcome::committed)
    {
        on_committed(state, sent, end, now, effects);
        return true;
    }
    state.m_deletes.insert(state.m_deletes.begin(), sent.m_deletes.begin(),
                           sent.m_deletes.end());
    if (end.m_outcome == table_outcome::conflict)
    {
        on_conflict(state, sent, end, now, effects);
    }
    else if (end.m_outcome == table_outcome::not_written)
    {
        on_not_written(state, sent, now, effects);
    }
    else
    {
        on_unknown(state, sent, now, effects);
    }
    return true;
}

} // namespace geraniumdoor
