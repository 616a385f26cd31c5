#include "config_keeper_parts.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/config/configuration_document.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

/// Drops urgent states that the accepted configuration contains, overrules, or, because
/// it has no such data centre, makes pointless. A state of a data centre that is unknown
/// stays while its base is not older than the configuration.
void drop_stored_states(config_keeper& keeper)
{
    std::vector<data_centre_id> dropped;
    for (const auto& entry : keeper.m_urgent)
    {
        const urgent_state& state = entry.m_row.m_state;
        const auto* row = find_data_centre(*keeper.m_accepted, entry.m_id);
        const bool pointless =
            row == nullptr && state.m_mark.m_base < keeper.m_accepted->m_version;
        if (pointless || (row != nullptr && !overrules(state, stored_state(*row))))
        {
            dropped.push_back(entry.m_id);
        }
    }
    for (const auto& id : dropped)
    {
        keeper.m_urgent.erase(id);
    }
}

std::shared_ptr<const configuration> overlay(const config_keeper& keeper)
{
    if (keeper.m_urgent.empty())
    {
        return keeper.m_accepted;
    }
    auto config = std::make_shared<configuration>(*keeper.m_accepted);
    for (auto& row : config->m_data_centres)
    {
        if (const auto* entry = keeper.m_urgent.find(row.m_id))
        {
            row.m_state = entry->m_state.m_state;
            row.m_mark = entry->m_state.m_mark;
        }
    }
    return config;
}

change_report accepted_report(const change_record& record)
{
    change_report report;
    report.m_id = record.m_change;
    report.m_outcome = change_outcome::accepted;
    report.m_version = record.m_version;
    return report;
}

/// Report of a data centre state that is no longer urgent and has no record: it is stored
/// and its record forgotten, or another change has overruled it.
change_report unrecorded_report(const config_keeper& keeper, const change_report& report)
{
    for (const auto& row : keeper.m_accepted->m_data_centres)
    {
        if (row.m_mark.m_change == report.m_id)
        {
            return accepted_report({keeper.m_accepted->m_version, report.m_id, "", {}});
        }
    }
    change_report overruled = report;
    overruled.m_outcome = change_outcome::refused;
    overruled.m_refusal.m_message = "overruled by another change of the data centre";
    for (const auto& row : keeper.m_in_force->m_data_centres)
    {
        if (state_field(row.m_id) == report.m_refusal.m_field)
        {
            const auto* record = find_record(*keeper.m_in_force, row.m_mark.m_change);
            const auto* urgent = keeper.m_urgent.find(row.m_id);
            overruled.m_refusal.m_winner = row.m_mark.m_change;
            overruled.m_refusal.m_winning_operator =
                urgent != nullptr   ? urgent->m_state.m_operator
                : record != nullptr ? record->m_operator
                                    : "";
        }
    }
    return overruled;
}

bool is_urgent(const config_keeper& keeper, const change_id& id)
{
    return std::any_of(keeper.m_urgent.begin(), keeper.m_urgent.end(),
                       [&](const auto& entry)
                       {
                           return entry.m_row.m_state.m_mark.m_change == id;
                       });
}

bool is_pending(const config_keeper& keeper, const change_id& id)
{
    return std::any_of(keeper.m_pending.begin(), keeper.m_pending.end(),
                       [&](const pending_change& pending)
                       {
                           return pending.m_change.m_id == id;
                       });
}

/// The change needs no further write.
void forget_waiting(config_keeper& keeper, const change_id& id)
{
    std::erase_if(keeper.m_unsettled,
                  [&](const unsettled_change& change)
                  {
                      return change.m_id == id;
                  });
    std::erase_if(keeper.m_pending,
                  [&](const pending_change& pending)
                  {
                      return pending.m_change.m_id == id;
                  });
}

} // namespace

void put_in_force(config_keeper& keeper, configuration config, std::string_view source,
                  config_actions& actions)
{
    require_invariant(config.m_version > version_of(keeper),
                      "configuration version never falls",
                      std::to_string(config.m_version.m_value));
    log_event("config_applied")
        .add("version", config.m_version)
        .add("change", config.m_change)
        .add("operator", config.m_operator)
        .add("source", source);
    keeper.m_document = encode_configuration(config);
    keeper.m_accepted = std::make_shared<const configuration>(std::move(config));
    refresh_in_force(keeper, actions);
    settle_from_history(keeper, actions);
}

void refresh_in_force(config_keeper& keeper, config_actions& actions)
{
    if (keeper.m_accepted == nullptr)
    {
        return;
    }
    drop_stored_states(keeper);
    keeper.m_in_force = overlay(keeper);
    actions.emplace_back(configuration_in_force{keeper.m_in_force});
}

bool adopt_row(config_keeper& keeper, const table_row& row, config_actions& actions)
{
    if (row.m_version == 0 || row.m_version == keeper.m_row_version)
    {
        return true;
    }
    auto decoded = decode_configuration(row.m_value);
    if (!is_ok(decoded))
    {
        log_event("config_row_unreadable")
            .add("row_version", row.m_version)
            .add("reason", to_text(error_of(decoded)));
        return false;
    }
    keeper.m_row_version = row.m_version;
    if (value_of(decoded).m_version > version_of(keeper))
    {
        put_in_force(keeper, value_of(std::move(decoded)), "table_service", actions);
    }
    else if (value_of(decoded).m_version < version_of(keeper))
    {
        log_event("config_older_row_ignored")
            .add("version", value_of(decoded).m_version)
            .add("in_force", version_of(keeper));
    }
    return true;
}

void settle(config_keeper& keeper, change_report report, config_actions& actions)
{
    log_event("config_change")
        .add("change", report.m_id)
        .add("outcome", to_text(report.m_outcome))
        .add("version", report.m_version)
        .add("field", report.m_refusal.m_field)
        .add("winner", report.m_refusal.m_winner)
        .add("winning_operator", report.m_refusal.m_winning_operator)
        .add("reason", report.m_outcome == change_outcome::refused
                           ? report.m_refusal.m_message
                           : report.m_message);
    if (keeper.m_reports.find(report.m_id) == nullptr)
    {
        keeper.m_report_order.push_back(report.m_id);
    }
    keeper.m_reports.put(report.m_id, report);
    if (keeper.m_report_order.size() > keeper.m_settings.m_max_reports)
    {
        keeper.m_reports.erase(keeper.m_report_order.front());
        keeper.m_report_order.pop_front();
    }
    actions.emplace_back(change_settled{std::move(report)});
}

void settle_from_history(config_keeper& keeper, config_actions& actions)
{
    if (keeper.m_accepted == nullptr)
    {
        return;
    }
    std::vector<change_report> settled;
    for (const auto& entry : keeper.m_reports)
    {
        const change_report& report = entry.m_row;
        const bool in_force = report.m_outcome == change_outcome::in_force_not_stored;
        const bool open = in_force || report.m_outcome == change_outcome::unknown;
        const auto* record =
            open ? find_record(*keeper.m_accepted, report.m_id) : nullptr;
        if (record != nullptr)
        {
            change_report accepted = accepted_report(*record);
            accepted.m_shortfalls = report.m_shortfalls;
            settled.push_back(std::move(accepted));
        }
        else if (in_force && !is_urgent(keeper, report.m_id))
        {
            settled.push_back(unrecorded_report(keeper, report));
        }
    }
    for (auto& report : settled)
    {
        forget_waiting(keeper, report.m_id);
        settle(keeper, std::move(report), actions);
    }
}

void settle_from_row(config_keeper& keeper, const table_row& row, config_actions& actions)
{
    std::vector<unsettled_change> open;
    std::swap(open, keeper.m_unsettled);
    for (const auto& change : open)
    {
        const auto* report = keeper.m_reports.find(change.m_id);
        if (row.m_version == change.m_checked_version)
        {
            keeper.m_unsettled.push_back(change);
        }
        else if (report != nullptr && report->m_outcome == change_outcome::unknown &&
                 !is_pending(keeper, change.m_id))
        {
            change_report refused = *report;
            refused.m_outcome = change_outcome::refused;
            refused.m_refusal.m_message =
                "the write did not take effect before another one did";
            settle(keeper, std::move(refused), actions);
        }
    }
}

std::optional<change_report> find_change(const config_keeper& keeper, const change_id& id)
{
    if (const auto* report = keeper.m_reports.find(id))
    {
        return *report;
    }
    const auto* record =
        keeper.m_accepted == nullptr ? nullptr : find_record(*keeper.m_accepted, id);
    if (record != nullptr)
    {
        return accepted_report(*record);
    }
    if (is_urgent(keeper, id))
    {
        change_report report;
        report.m_id = id;
        report.m_outcome = change_outcome::in_force_not_stored;
        return report;
    }
    return std::nullopt;
}

const char* to_text(change_outcome outcome)
{
    switch (outcome)
    {
    case change_outcome::accepted:
        return "accepted";
    case change_outcome::refused:
        return "refused";
    case change_outcome::unknown:
        return "unknown";
    case change_outcome::in_force_not_stored:
        return "in force, not yet stored";
    }
    return "unknown";
}

} // namespace geraniumdoor
