#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// Longest sheet, in bytes. A sheet of 3,400 workspaces with three demands each has
/// about 600 KB.
constexpr std::size_t max_sheet_bytes = 1024UL * 1024;

/// One fault of a sheet. Row 1 is the header; row 0 stands for the whole sheet.
struct sheet_fault
{
    std::size_t m_row = 0;
    std::string m_column;
    std::string m_message;

    bool operator==(const sheet_fault&) const = default;
};

using sheet_faults = std::vector<sheet_fault>;

/// Returns "row 5, column "warm_limit": message", one fault per line.
std::string to_text(const sheet_faults& faults);

/// What a sheet asks for.
struct sheet_content
{
    /// Without version, change id and operator; nothing is granted yet.
    configuration m_config;
    /// Data centres whose state the sheet names. The others keep their state.
    std::vector<data_centre_id> m_named_states;
    /// Row of the sheet for each of m_config.m_demands.
    std::vector<std::size_t> m_demand_rows;
};

/// Reads a sheet. It is accepted as a whole or refused as a whole with all faults.
///
/// The first row names the columns, in any order. Each further row has a kind in the
/// column "kind" and uses the columns of that kind; the others are empty:
/// - data_centre: name, region, state (in or out; empty keeps the state in force)
/// - pool: name, stage_kind, cold_limit, warm_limit, timeout_ms, checks_fence (yes or
///   no; empty for no), workers, service_time_ms
/// - pipeline: name, deadline_ms, stages
/// - workspace: name, priority, weight
/// - demand: workspace, pipeline, wanted_per_s
///
/// The stages of a pipeline are separated by ";". Each is "NAME POOL/OPERATION", then
/// "once" when the stage is not idempotent, then "after EARLIER" when it must happen once
/// that earlier stage has run.
result<sheet_content, sheet_faults> parse_sheet(std::string_view text);

} // namespace geraniumdoor
