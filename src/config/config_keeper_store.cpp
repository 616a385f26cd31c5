#include "config_keeper_parts.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/config/configuration_document.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

bool has_due_state(const config_keeper& keeper, time_point now)
{
    return keeper.m_accepted != nullptr &&
           std::any_of(keeper.m_urgent.begin(), keeper.m_urgent.end(),
                       [&](const auto& entry)
                       {
                           return now >= entry.m_row.m_store_at;
                       });
}

void retry_later(config_keeper& keeper, time_point now)
{
    store_operation& store = keeper.m_store;
    const auto& settings = keeper.m_settings;
    store.m_phase = store_phase::idle;
    store.m_retry = std::clamp(store.m_retry * 2, settings.m_shortest_retry,
                               settings.m_longest_retry);
    store.m_retry_at = now + jittered(keeper, store.m_retry);
}

void start_read(config_keeper& keeper, config_actions& actions)
{
    keeper.m_store.m_phase = store_phase::reading;
    keeper.m_store.m_call = next_call(keeper);
    actions.emplace_back(table_read{keeper.m_store.m_call, config_row_key});
}

void give_up(config_keeper& keeper, const pending_change& pending,
             config_actions& actions)
{
    change_report report;
    report.m_id = pending.m_change.m_id;
    if (pending.m_maybe_written)
    {
        report.m_outcome = change_outcome::unknown;
        report.m_message = "the table service did not confirm the write";
        keeper.m_unsettled.push_back({report.m_id, keeper.m_store.m_checked_version});
    }
    else
    {
        report.m_outcome = change_outcome::refused;
        report.m_refusal.m_message =
            "the table service gave no readable configuration; nothing was written";
    }
    settle(keeper, std::move(report), actions);
}

/// Gives up the changes that have waited too long. The one that is being written stays
/// until its write has ended.
void expire_pending(config_keeper& keeper, time_point now, config_actions& actions)
{
    const store_operation& store = keeper.m_store;
    const bool writing = store.m_phase == store_phase::writing;
    std::deque<pending_change> kept;
    for (auto& pending : keeper.m_pending)
    {
        const bool in_progress = writing && store.m_change == pending.m_change.m_id;
        if (in_progress || now < pending.m_deadline)
        {
            kept.push_back(std::move(pending));
        }
        else
        {
            give_up(keeper, pending, actions);
        }
    }
    keeper.m_pending = std::move(kept);
}

/// Removes the first pending change if the accepted configuration shows it.
bool drop_stored_change(config_keeper& keeper)
{
    const bool stored = keeper.m_accepted != nullptr &&
                        find_record(*keeper.m_accepted,
                                    keeper.m_pending.front().m_change.m_id) != nullptr;
    if (stored)
    {
        keeper.m_pending.pop_front();
    }
    return stored;
}

void refuse_first(config_keeper& keeper, const change_refusal& refusal,
                  config_actions& actions)
{
    change_report report;
    report.m_id = keeper.m_pending.front().m_change.m_id;
    report.m_outcome = change_outcome::refused;
    report.m_refusal = refusal;
    keeper.m_pending.pop_front();
    settle(keeper, std::move(report), actions);
}

config_version next_version(const config_keeper& keeper)
{
    return config_version{version_of(keeper).m_value + 1};
}

/// Accepted configuration with all urgent states; absent when it contains them already.
std::optional<configuration> with_urgent_states(const config_keeper& keeper)
{
    configuration next = *keeper.m_accepted;
    next.m_version = next_version(keeper);
    bool changed = false;
    for (auto& row : next.m_data_centres)
    {
        if (const auto* entry = keeper.m_urgent.find(row.m_id))
        {
            const urgent_state& state = entry->m_state;
            row.m_state = state.m_state;
            row.m_mark = state.m_mark;
            next.m_change = state.m_mark.m_change;
            next.m_operator = state.m_operator;
            add_record(next, {next.m_version,
                              next.m_change,
                              next.m_operator,
                              {state_field(row.m_id)}});
            changed = true;
        }
    }
    return changed ? std::optional{std::move(next)} : std::nullopt;
}

void start_write(config_keeper& keeper, change_effect effect, std::uint64_t row_version,
                 config_actions& actions)
{
    store_operation& store = keeper.m_store;
    store.m_phase = store_phase::writing;
    store.m_call = next_call(keeper);
    store.m_checked_version = row_version;
    store.m_effect = std::move(effect);
    std::string document = encode_configuration(store.m_effect.m_config);
    actions.emplace_back(table_transaction{store.m_call,
                                           {{config_row_key, row_version}},
                                           {{config_row_key, std::move(document)}}});
}

/// Notes what the accepted change will report.
void note_write(config_keeper& keeper, const change_effect& effect)
{
    const pending_change& first = keeper.m_pending.front();
    keeper.m_store.m_change = first.m_change.m_id;
    if (auto* report = keeper.m_reports.find(first.m_change.m_id))
    {
        report->m_shortfalls = effect.m_shortfalls;
    }
}

/// Writes the first pending change that can be made. Returns whether there was one.
bool write_change(config_keeper& keeper, std::uint64_t row_version,
                  config_actions& actions)
{
    while (!keeper.m_pending.empty())
    {
        if (drop_stored_change(keeper))
        {
            continue;
        }
        auto effect =
            apply_change(keeper.m_accepted.get(), keeper.m_pending.front().m_change,
                         next_version(keeper));
        if (is_ok(effect))
        {
            note_write(keeper, value_of(effect));
            start_write(keeper, value_of(std::move(effect)), row_version, actions);
            return true;
        }
        refuse_first(keeper, error_of(effect), actions);
    }
    return false;
}

bool write_urgent_states(config_keeper& keeper, std::uint64_t row_version, time_point now,
                         config_actions& actions)
{
    if (!has_due_state(keeper, now))
    {
        return false;
    }
    auto next = with_urgent_states(keeper);
    if (!next)
    {
        return false;
    }
    keeper.m_store.m_change.reset();
    start_write(keeper, {std::move(*next), {}}, row_version, actions);
    return true;
}

void end_committed(config_keeper& keeper, const table_transaction_end& end,
                   time_point now, config_actions& actions)
{
    store_operation& store = keeper.m_store;
    store.m_phase = store_phase::idle;
    store.m_retry = milliseconds{0};
    store.m_retry_at = now;
    if (!end.m_rows.empty())
    {
        keeper.m_row_version = end.m_rows[0].m_version;
    }
    if (store.m_effect.m_config.m_version > version_of(keeper))
    {
        put_in_force(keeper, std::move(store.m_effect.m_config), "table_service",
                     actions);
    }
    advance_store(keeper, now, actions);
}

/// The write may still take effect, so its change is not reported as refused.
void end_unknown(config_keeper& keeper, time_point now)
{
    const store_operation& store = keeper.m_store;
    for (auto& pending : keeper.m_pending)
    {
        pending.m_maybe_written |= store.m_change == pending.m_change.m_id;
    }
    log_event("config_write_unanswered").add("row_version", store.m_checked_version);
    retry_later(keeper, now);
}

} // namespace

void advance_store(config_keeper& keeper, time_point now, config_actions& actions)
{
    expire_pending(keeper, now, actions);
    const bool due = !keeper.m_pending.empty() || has_due_state(keeper, now);
    const bool may_start =
        keeper.m_store.m_phase == store_phase::idle && now >= keeper.m_store.m_retry_at;
    if (due && may_start)
    {
        start_read(keeper, actions);
    }
}

void on_store_row(config_keeper& keeper, const std::optional<table_row>& row,
                  time_point now, config_actions& actions)
{
    if (!row || !adopt_row(keeper, *row, actions))
    {
        retry_later(keeper, now);
        return;
    }
    settle_from_row(keeper, *row, actions);
    keeper.m_store.m_phase = store_phase::idle;
    const bool writing = write_change(keeper, row->m_version, actions) ||
                         write_urgent_states(keeper, row->m_version, now, actions);
    if (!writing)
    {
        keeper.m_store.m_retry = milliseconds{0};
        keeper.m_store.m_retry_at = now + keeper.m_settings.m_shortest_retry;
    }
}

void on_table_transaction_end(config_keeper& keeper, const table_transaction_end& end,
                              time_point now, config_actions& actions)
{
    note_time(keeper, now);
    store_operation& store = keeper.m_store;
    if (store.m_phase != store_phase::writing || store.m_call != end.m_id)
    {
        return;
    }
    switch (end.m_outcome)
    {
    case table_outcome::committed:
        end_committed(keeper, end, now, actions);
        break;
    case table_outcome::conflict:
        store.m_phase = store_phase::reading;
        on_store_row(keeper,
                     end.m_rows.empty() ? std::nullopt : std::optional{end.m_rows[0]},
                     now, actions);
        break;
    case table_outcome::unknown:
        end_unknown(keeper, now);
        break;
    case table_outcome::not_written:
        retry_later(keeper, now);
        break;
    }
}

} // namespace geraniumdoor
