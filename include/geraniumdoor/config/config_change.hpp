#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/config/configuration.hpp>
#include <geraniumdoor/config/sheet.hpp>
#include <geraniumdoor/config/urgent_state.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumdoor
{

struct replace_by_sheet
{
    sheet_content m_sheet;
};

struct set_data_centre_state
{
    data_centre_id m_data_centre;
    data_centre_state m_state = data_centre_state::in;
};

/// At least one of the values is set.
struct set_workspace
{
    workspace_id m_workspace;
    std::optional<std::uint32_t> m_priority;
    std::optional<std::uint32_t> m_weight;
};

/// At least one of the values is set.
struct set_pool_limits
{
    pool_id m_pool;
    std::optional<std::uint32_t> m_cold_limit;
    std::optional<std::uint32_t> m_warm_limit;
};

using change_body =
    std::variant<replace_by_sheet, set_data_centre_state, set_workspace, set_pool_limits>;

struct config_change
{
    /// Chosen by the operator's tool, so that a repeated request is recognised.
    change_id m_id;
    std::string m_operator;
    /// Version that the operator saw. Absent: the change applies to any version.
    std::optional<config_version> m_base;
    change_body m_body;
    /// States of data centres that the change names, with their marks. The keeper sets
    /// them when the change is submitted.
    std::vector<urgent_state> m_states;
};

/// A demand that the plan does not meet in full.
struct demand_shortfall
{
    /// Row of the imported sheet; zero when the change is not a sheet.
    std::size_t m_row = 0;
    workspace_id m_workspace;
    pipeline_id m_pipeline;
    pool_id m_pool;
    double m_wanted_per_s = 0;
    double m_granted_per_s = 0;

    bool operator==(const demand_shortfall&) const = default;
};

/// Why a change was not made.
struct change_refusal
{
    /// Field that the change and its winner both touch, or that is at fault.
    std::string m_field;
    std::string m_message;
    /// Winner of the race; empty when the change is refused for another reason.
    change_id m_winner;
    std::string m_winning_operator;
};

/// Configuration after a change.
struct change_effect
{
    configuration m_config;
    std::vector<demand_shortfall> m_shortfalls;
};

/// Fields that the change touches.
std::vector<std::string> fields_of(const config_change& change);

/// Finds a change since the base version that touches one of the same fields. A sheet
/// touches every field.
std::optional<change_refusal> find_conflict(const configuration& current,
                                            const config_change& change);

/// Makes the change on the current configuration, which is null when there is none yet.
/// The result has the given version, a fitted plan and a record of the change.
result<change_effect, change_refusal> apply_change(const configuration* current,
                                                   const config_change& change,
                                                   config_version version);

/// Adds the record, and forgets the oldest beyond max_history.
void add_record(configuration& config, change_record record);

/// Returns the record of a change, or null.
const change_record* find_record(const configuration& config, const change_id& change);

/// Field of a data centre's state, as change records name it.
std::string state_field(const data_centre_id& data_centre);

} // namespace geraniumdoor
