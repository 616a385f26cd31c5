#include "claim_steps.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/request/claims.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

constexpr std::size_t max_rows = 64;
/// Pause after a transaction with unknown effect or with an unusable answer.
constexpr milliseconds write_pause{100};
/// One lost answer does not mean that the service is down.
constexpr std::uint32_t failures_when_down = 2;

std::size_t rows_of(const claim_entry& entry)
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
    entry.m_writing = entry.m_row.m_state;
    entry.m_has_answer = entry.m_row.m_answer.has_value();
    entry.m_sent_before = entry.m_sent;
    entry.m_sent = true;
}

/// Whether the transaction writes the row already. Two local requests with one key must
/// not meet in one transaction: the service checks both against the version before it.
bool holds_key(const table_transaction& transaction, const std::string& key)
{
    return std::any_of(transaction.m_checks.begin(), transaction.m_checks.end(),
                       [&](const row_check& check)
                       {
                           return check.m_key == key;
                       });
}

void add_claims(claims& state, table_transaction& transaction, claim_transaction& sent)
{
    std::deque<attempt_id> left;
    for (; !state.m_queue.empty(); state.m_queue.pop_front())
    {
        const auto& claim = state.m_queue.front();
        auto* entry = state.m_entries.find(claim);
        if (entry == nullptr || entry->m_write != claim_write::queued)
        {
            continue;
        }
        const bool full = transaction.m_writes.size() + rows_of(*entry) > max_rows &&
                          !transaction.m_writes.empty();
        if (full || holds_key(transaction, entry->m_key))
        {
            left.push_back(claim);
            continue;
        }
        add_claim(*entry, transaction);
        sent.m_claims.push_back(claim);
    }
    state.m_queue = std::move(left);
}

void add_deletes(claims& state, table_transaction& transaction, claim_transaction& sent)
{
    while (!state.m_deletes.empty() && transaction.m_writes.size() < max_rows)
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

void settle_by_read(claims& state, const attempt_id& claim, claim_entry& entry,
                    time_point now, claim_effects effects)
{
    entry.m_write = claim_write::settling;
    start_read(state, claim, entry, now, effects);
}

void on_committed(claims& state, const claim_transaction& sent,
                  const table_transaction_end& end, time_point now, claim_effects effects)
{
    state.m_failures = 0;
    state.m_down_until = {};
    for (const auto& claim : sent.m_claims)
    {
        auto* entry = state.m_entries.find(claim);
        const auto* row = entry == nullptr ? nullptr : find_row(end, entry->m_key);
        if (row != nullptr)
        {
            entry->m_version = row->m_version;
            on_row_stored(state, claim, entry->m_writing, effects);
        }
        else if (entry != nullptr)
        {
            settle_by_read(state, claim, *entry, now, effects);
        }
    }
}

/// Answers the conflicting rows one by one and queues the others again, first.
void on_conflict(claims& state, const claim_transaction& sent,
                 const table_transaction_end& end, time_point now, claim_effects effects)
{
    state.m_failures = 0;
    state.m_down_until = {};
    bool any_found = false;
    std::deque<attempt_id> again;
    for (const auto& claim : sent.m_claims)
    {
        auto* entry = state.m_entries.find(claim);
        if (entry == nullptr)
        {
            continue;
        }
        entry->m_sent = entry->m_sent_before;
        if (const auto* row = find_row(end, entry->m_key))
        {
            any_found = true;
            judge_row(state, claim, *row, now, effects);
            continue;
        }
        entry->m_write = claim_write::queued;
        again.push_back(claim);
    }
    state.m_queue.insert(state.m_queue.begin(), again.begin(), again.end());
    if (!any_found)
    {
        state.m_write_after = now + write_pause;
    }
}

/// The row is not ours yet, and no earlier insert may turn up.
bool is_first_insert(const claim_entry& entry)
{
    return entry.m_step == claim_step::inserting && !entry.m_sent_before;
}

/// Refuses first inserts at once and queues the other writes again; no effect has to be
/// read back.
void on_not_written(claims& state, const claim_transaction& sent, time_point now,
                    claim_effects effects)
{
    log_event{"claim_write_not_sent"}.add("rows", sent.m_claims.size());
    state.m_write_after = now + write_pause;
    note_service_down(state, now);
    for (const auto& claim : sent.m_claims)
    {
        auto* entry = state.m_entries.find(claim);
        if (entry == nullptr)
        {
            continue;
        }
        entry->m_write = claim_write::none;
        entry->m_sent = entry->m_sent_before;
        if (is_first_insert(*entry))
        {
            end_claim(state, claim, claim_event_kind::unavailable, effects);
        }
        else if (entry->m_step == claim_step::held)
        {
            queue_write(state, claim, *entry);
        }
        else
        {
            // An insert of unknown effect went before: it is read back or withdrawn.
            settle_by_read(state, claim, *entry, now, effects);
        }
    }
}

void on_unknown(claims& state, const claim_transaction& sent, time_point now,
                claim_effects effects)
{
    ++state.m_failures;
    log_event{"claim_write_unknown"}
        .add("rows", sent.m_claims.size())
        .add("failures", state.m_failures);
    state.m_write_after = now + write_pause;
    if (state.m_failures >= failures_when_down)
    {
        note_service_down(state, now);
    }
    for (const auto& claim : sent.m_claims)
    {
        if (auto* entry = state.m_entries.find(claim))
        {
            settle_by_read(state, claim, *entry, now, effects);
        }
    }
}

} // namespace

void flush_claims(claims& state, time_point now, claim_effects effects)
{
    if (state.m_transaction || now < state.m_write_after)
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
