#include "config_keeper_parts.hpp"

#include <geraniumdoor/base/log.hpp>

namespace geraniumdoor
{

namespace
{

change_report refused_report(const change_id& id, change_refusal refusal)
{
    change_report report;
    report.m_id = id;
    report.m_outcome = change_outcome::refused;
    report.m_refusal = std::move(refusal);
    return report;
}

/// State of the data centre in force; unmarked when it does not exist.
urgent_state state_in_force(const config_keeper& keeper, const data_centre_id& id)
{
    const auto* row =
        keeper.m_in_force == nullptr ? nullptr : find_data_centre(*keeper.m_in_force, id);
    return row == nullptr ? urgent_state{id, data_centre_state::in, {}, ""}
                          : stored_state(*row);
}

urgent_state named_state(const config_keeper& keeper, const config_change& change,
                         const data_centre_id& id, data_centre_state state)
{
    const auto mark =
        next_mark(state_in_force(keeper, id), version_of(keeper), change.m_id);
    return {id, state, mark, change.m_operator};
}

/// Marks the states that a sheet names.
void mark_sheet_states(const config_keeper& keeper, config_change& change,
                       const sheet_content& sheet)
{
    for (const auto& id : sheet.m_named_states)
    {
        const auto* row = find_data_centre(sheet.m_config, id);
        change.m_states.push_back(named_state(keeper, change, id, row->m_state));
    }
}

std::optional<change_refusal> check_urgent(const config_keeper& keeper,
                                           const config_change& change,
                                           const set_data_centre_state& body)
{
    const std::string field = state_field(body.m_data_centre);
    if (keeper.m_in_force == nullptr)
    {
        return change_refusal{
            field, "there is no configuration yet; import a sheet", {}, ""};
    }
    if (find_data_centre(*keeper.m_in_force, body.m_data_centre) == nullptr)
    {
        return change_refusal{field, "does not exist in the configuration", {}, ""};
    }
    return find_conflict(*keeper.m_in_force, change);
}

/// Puts the state in force at once; the table service learns of it later.
change_report submit_urgent(config_keeper& keeper, const config_change& change,
                            const set_data_centre_state& body, time_point now,
                            config_actions& actions)
{
    if (auto refusal = check_urgent(keeper, change, body))
    {
        auto report = refused_report(change.m_id, std::move(*refusal));
        settle(keeper, report, actions);
        return report;
    }
    const auto state = named_state(keeper, change, body.m_data_centre, body.m_state);
    on_urgent_state(keeper, state, now, actions);
    keeper.m_urgent.find(body.m_data_centre)->m_store_at = now;
    change_report report;
    report.m_id = change.m_id;
    report.m_outcome = change_outcome::in_force_not_stored;
    report.m_refusal.m_field = state_field(body.m_data_centre);
    settle(keeper, report, actions);
    advance_store(keeper, now, actions);
    return report;
}

change_report submit_pending(config_keeper& keeper, config_change change, time_point now,
                             config_actions& actions)
{
    if (keeper.m_pending.size() >= keeper.m_settings.m_max_pending)
    {
        return refused_report(
            change.m_id, {"", "too many changes wait for the table service", {}, ""});
    }
    if (const auto* sheet = std::get_if<replace_by_sheet>(&change.m_body))
    {
        mark_sheet_states(keeper, change, sheet->m_sheet);
    }
    change_report report;
    report.m_id = change.m_id;
    report.m_message = "in progress";
    settle(keeper, report, actions);
    keeper.m_pending.push_back(
        {std::move(change), now + keeper.m_settings.m_change_timeout, false});
    advance_store(keeper, now, actions);
    return report;
}

} // namespace

change_report submit_change(config_keeper& keeper, config_change change, time_point now,
                            config_actions& actions)
{
    note_time(keeper, now);
    if (auto known = find_change(keeper, change.m_id))
    {
        return *known;
    }
    log_event event{"config_change_submitted"};
    event.add("change", change.m_id).add("operator", change.m_operator);
    for (const auto& field : fields_of(change))
    {
        event.add("field", field);
    }
    if (const auto* body = std::get_if<set_data_centre_state>(&change.m_body))
    {
        return submit_urgent(keeper, change, *body, now, actions);
    }
    return submit_pending(keeper, std::move(change), now, actions);
}

} // namespace geraniumdoor
