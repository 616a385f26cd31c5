#include <geraniumdoor/config/config_change.hpp>
#include <geraniumdoor/config/configuration_document.hpp>
#include <geraniumdoor/config/plan.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

/// Field of a change that replaces the whole configuration.
constexpr const char* whole_sheet = "sheet";

struct list_fields
{
    std::vector<std::string> operator()(const replace_by_sheet&) const
    {
        return {whole_sheet};
    }

    std::vector<std::string> operator()(const set_data_centre_state& body) const
    {
        return {state_field(body.m_data_centre)};
    }

    std::vector<std::string> operator()(const set_workspace& body) const
    {
        const std::string row = "workspaces." + body.m_workspace.m_value;
        std::vector<std::string> fields;
        if (body.m_priority)
        {
            fields.push_back(row + ".priority");
        }
        if (body.m_weight)
        {
            fields.push_back(row + ".weight");
        }
        return fields;
    }

    std::vector<std::string> operator()(const set_pool_limits& body) const
    {
        const std::string row = "pools." + body.m_pool.m_value;
        std::vector<std::string> fields;
        if (body.m_cold_limit)
        {
            fields.push_back(row + ".cold_limit");
        }
        if (body.m_warm_limit)
        {
            fields.push_back(row + ".warm_limit");
        }
        return fields;
    }
};

/// Field in which two changes meet.
std::optional<std::string> common_field(const std::vector<std::string>& mine,
                                        const std::vector<std::string>& theirs)
{
    for (const auto& left : mine)
    {
        for (const auto& right : theirs)
        {
            if (left == right || right == whole_sheet)
            {
                return left;
            }
            if (left == whole_sheet)
            {
                return right;
            }
        }
    }
    return std::nullopt;
}

change_refusal lost_race(std::string field, const change_record& winner)
{
    std::string message = "changed by " + winner.m_change.m_value + " of " +
                          winner.m_operator + " in version " +
                          std::to_string(winner.m_version.m_value);
    return {std::move(field), std::move(message), winner.m_change, winner.m_operator};
}

change_refusal unknown_row(std::string field)
{
    return {std::move(field), "does not exist in the configuration", {}, ""};
}

template<class Row, class Id>
Row* find_mutable(std::vector<Row>& rows, const Id& id)
{
    const auto at = std::find_if(rows.begin(), rows.end(),
                                 [&](const Row& row)
                                 {
                                     return row.m_id == id;
                                 });
    return at == rows.end() ? nullptr : &*at;
}

using apply_result = result<configuration, change_refusal>;

/// Sets a state that a change names, unless a later change already holds. A data centre
/// that the same change adds keeps the mark that keep_states gave it.
std::optional<change_refusal> set_state(configuration& config, const urgent_state& state)
{
    auto* row = find_mutable(config.m_data_centres, state.m_data_centre);
    if (row == nullptr)
    {
        return unknown_row(state_field(state.m_data_centre));
    }
    const bool is_new = row->m_mark.m_change == state.m_mark.m_change;
    if (!is_new && !overrules(state, stored_state(*row)))
    {
        const auto* record = find_record(config, row->m_mark.m_change);
        const change_record winner =
            record != nullptr
                ? *record
                : change_record{config.m_version, row->m_mark.m_change, "", {}};
        return lost_race(state_field(state.m_data_centre), winner);
    }
    row->m_state = state.m_state;
    row->m_mark = is_new ? row->m_mark : state.m_mark;
    return std::nullopt;
}

/// Keeps the states in force, and marks new data centres so that an older record cannot
/// change them.
void keep_states(configuration& next, const configuration& current,
                 const change_id& change)
{
    for (auto& row : next.m_data_centres)
    {
        if (const auto* known = find_data_centre(current, row.m_id))
        {
            row.m_state = known->m_state;
            row.m_mark = known->m_mark;
        }
        else
        {
            row.m_state = data_centre_state::in;
            row.m_mark = {current.m_version, 0, change};
        }
    }
}

struct apply_body
{
    const configuration& m_current;
    const config_change& m_change;

    apply_result operator()(const replace_by_sheet& body) const
    {
        configuration next = body.m_sheet.m_config;
        next.m_version = m_current.m_version;
        next.m_history = m_current.m_history;
        keep_states(next, m_current, m_change.m_id);
        return set_states(std::move(next));
    }

    apply_result operator()(const set_data_centre_state&) const
    {
        return set_states(m_current);
    }

    apply_result operator()(const set_workspace& body) const
    {
        configuration next = m_current;
        auto* row = find_mutable(next.m_workspaces, body.m_workspace);
        if (row == nullptr)
        {
            return unknown_row("workspaces." + body.m_workspace.m_value);
        }
        row->m_priority = body.m_priority.value_or(row->m_priority);
        row->m_weight = body.m_weight.value_or(row->m_weight);
        return next;
    }

    apply_result operator()(const set_pool_limits& body) const
    {
        configuration next = m_current;
        auto* row = find_mutable(next.m_pools, body.m_pool);
        if (row == nullptr)
        {
            return unknown_row("pools." + body.m_pool.m_value);
        }
        row->m_cold_limit = body.m_cold_limit.value_or(row->m_cold_limit);
        row->m_warm_limit = body.m_warm_limit.value_or(row->m_warm_limit);
        return next;
    }

private:
    apply_result set_states(configuration next) const
    {
        for (const auto& state : m_change.m_states)
        {
            if (auto refusal = set_state(next, state))
            {
                return *refusal;
            }
        }
        return next;
    }
};

std::vector<demand_shortfall> describe(const std::vector<plan_shortfall>& shortfalls,
                                       const configuration& config,
                                       const change_body& body)
{
    const auto* sheet = std::get_if<replace_by_sheet>(&body);
    std::vector<demand_shortfall> described;
    for (const auto& shortfall : shortfalls)
    {
        const demand_config& demand = config.m_demands[shortfall.m_demand];
        const std::size_t row =
            sheet == nullptr ? 0 : sheet->m_sheet.m_demand_rows[shortfall.m_demand];
        described.push_back({row, demand.m_workspace, demand.m_pipeline, shortfall.m_pool,
                             shortfall.m_wanted_per_s, shortfall.m_granted_per_s});
    }
    return described;
}

} // namespace

std::string state_field(const data_centre_id& data_centre)
{
    return "data_centres." + data_centre.m_value + ".state";
}

std::vector<std::string> fields_of(const config_change& change)
{
    return std::visit(list_fields{}, change.m_body);
}

const change_record* find_record(const configuration& config, const change_id& change)
{
    const auto at = std::find_if(config.m_history.rbegin(), config.m_history.rend(),
                                 [&](const change_record& record)
                                 {
                                     return record.m_change == change;
                                 });
    return at == config.m_history.rend() ? nullptr : &*at;
}

void add_record(configuration& config, change_record record)
{
    config.m_history.push_back(std::move(record));
    if (config.m_history.size() > max_history)
    {
        config.m_history.erase(config.m_history.begin());
    }
}

std::optional<change_refusal> find_conflict(const configuration& current,
                                            const config_change& change)
{
    if (!change.m_base || *change.m_base == current.m_version)
    {
        return std::nullopt;
    }
    if (*change.m_base > current.m_version || current.m_history.empty())
    {
        return change_refusal{"base_version",
                              "is not the version in force, which is " +
                                  std::to_string(current.m_version.m_value),
                              {},
                              ""};
    }
    const auto fields = fields_of(change);
    for (auto record = current.m_history.rbegin(); record != current.m_history.rend();
         ++record)
    {
        if (record->m_version <= *change.m_base)
        {
            return std::nullopt;
        }
        if (auto field = common_field(fields, record->m_fields))
        {
            return lost_race(std::move(*field), *record);
        }
    }
    const bool complete =
        current.m_history.front().m_version.m_value <= change.m_base->m_value + 1;
    return complete ? std::nullopt
                    : std::optional{lost_race("base_version", current.m_history.back())};
}

result<change_effect, change_refusal> apply_change(const configuration* current,
                                                   const config_change& change,
                                                   config_version version)
{
    const bool is_sheet = std::holds_alternative<replace_by_sheet>(change.m_body);
    if (current == nullptr && !is_sheet)
    {
        return change_refusal{
            "", "there is no configuration yet; import a sheet", {}, ""};
    }
    static const configuration empty;
    const configuration& base = current == nullptr ? empty : *current;
    if (auto conflict = find_conflict(base, change))
    {
        return *conflict;
    }
    auto applied = std::visit(apply_body{base, change}, change.m_body);
    if (!is_ok(applied))
    {
        return error_of(applied);
    }
    change_effect effect{value_of(std::move(applied)), {}};
    const auto faults = check_configuration(effect.m_config);
    if (!faults.empty())
    {
        return change_refusal{faults[0].m_path, faults[0].m_message, {}, ""};
    }
    const auto shortfalls = fit_plan(effect.m_config);
    effect.m_shortfalls = describe(shortfalls, effect.m_config, change.m_body);
    effect.m_config.m_version = version;
    effect.m_config.m_change = change.m_id;
    effect.m_config.m_operator = change.m_operator;
    add_record(effect.m_config,
               {version, change.m_id, change.m_operator, fields_of(change)});
    return effect;
}

} // namespace geraniumdoor
