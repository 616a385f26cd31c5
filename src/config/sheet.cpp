#include "configuration_names.hpp"
#include "sheet_cells.hpp"
#include "sheet_stages.hpp"

#include <geraniumdoor/config/configuration_document.hpp>
#include <geraniumdoor/config/sheet.hpp>

#include <charconv>

namespace geraniumdoor
{

namespace
{

/// Sheet being read, with the row of each entry of the configuration.
struct sheet_state
{
    sheet_content m_content;
    std::vector<std::size_t> m_data_centre_rows;
    std::vector<std::size_t> m_pool_rows;
    std::vector<std::size_t> m_pipeline_rows;
    std::vector<std::size_t> m_workspace_rows;
};

std::uint32_t read_count(sheet_row_reader& reader, const std::string& column,
                         number_range range)
{
    return static_cast<std::uint32_t>(reader.number(column, range));
}

milliseconds read_ms(sheet_row_reader& reader, const std::string& column)
{
    const auto max = static_cast<std::uint64_t>(max_call_time.count());
    return milliseconds{reader.number(column, {1, max})};
}

void read_data_centre(sheet_row_reader& reader, sheet_state& sheet)
{
    data_centre_config row;
    row.m_id.m_value = reader.id("name");
    row.m_region.m_value = reader.id("region");
    if (!reader.text("state").empty())
    {
        row.m_state = reader.name("state", data_centre_state_names);
        sheet.m_content.m_named_states.push_back(row.m_id);
    }
    sheet.m_content.m_config.m_data_centres.push_back(std::move(row));
    sheet.m_data_centre_rows.push_back(reader.row());
}

void read_pool(sheet_row_reader& reader, sheet_state& sheet)
{
    pool_config row;
    row.m_id.m_value = reader.id("name");
    row.m_kind = reader.name("stage_kind", stage_kind_names);
    row.m_cold_limit = read_count(reader, "cold_limit", {1, max_upstream_limit});
    row.m_warm_limit = read_count(reader, "warm_limit", {1, max_upstream_limit});
    row.m_timeout = read_ms(reader, "timeout_ms");
    row.m_checks_fence = reader.flag("checks_fence");
    row.m_workers = read_count(reader, "workers", {1, max_workers});
    row.m_service_time = read_ms(reader, "service_time_ms");
    sheet.m_content.m_config.m_pools.push_back(std::move(row));
    sheet.m_pool_rows.push_back(reader.row());
}

void read_pipeline(sheet_row_reader& reader, sheet_state& sheet)
{
    pipeline_config row;
    row.m_id.m_value = reader.id("name");
    row.m_deadline = read_ms(reader, "deadline_ms");
    auto stages = parse_sheet_stages(reader.text("stages"));
    if (is_ok(stages))
    {
        row.m_stages = value_of(std::move(stages));
    }
    else
    {
        reader.fault("stages", error_of(stages));
    }
    sheet.m_content.m_config.m_pipelines.push_back(std::move(row));
    sheet.m_pipeline_rows.push_back(reader.row());
}

void read_workspace(sheet_row_reader& reader, sheet_state& sheet)
{
    workspace_config row;
    row.m_id.m_value = reader.id("name");
    row.m_priority = read_count(reader, "priority", {0, max_priority});
    row.m_weight = read_count(reader, "weight", {1, max_weight});
    sheet.m_content.m_config.m_workspaces.push_back(std::move(row));
    sheet.m_workspace_rows.push_back(reader.row());
}

void read_demand(sheet_row_reader& reader, sheet_state& sheet)
{
    demand_config row;
    row.m_workspace.m_value = reader.id("workspace");
    row.m_pipeline.m_value = reader.id("pipeline");
    row.m_wanted_per_s = reader.real("wanted_per_s", 0, max_wanted_per_s);
    sheet.m_content.m_config.m_demands.push_back(std::move(row));
    sheet.m_content.m_demand_rows.push_back(reader.row());
}

using row_function = void (*)(sheet_row_reader&, sheet_state&);

constexpr std::pair<std::string_view, row_function> row_kind_rows[] = {
    {"data_centre", &read_data_centre}, {"pool", &read_pool},
    {"pipeline", &read_pipeline},       {"workspace", &read_workspace},
    {"demand", &read_demand},
};

void read_row(const sheet_cells& cells, const sheet_row& row, sheet_state& sheet,
              sheet_faults& faults)
{
    sheet_row_reader reader{cells, row, faults};
    const std::size_t faults_before = faults.size();
    const auto read = reader.name("kind", enum_names<row_function>{row_kind_rows});
    if (faults.size() == faults_before)
    {
        read(reader, sheet);
        reader.finish(reader.text("kind"));
    }
}

void check_columns(const sheet_cells& cells, sheet_faults& faults)
{
    static const std::set<std::string> known{
        "kind",         "name",       "region",      "state",           "stage_kind",
        "cold_limit",   "warm_limit", "workers",     "service_time_ms", "timeout_ms",
        "checks_fence", "stages",     "weight",      "deadline_ms",     "priority",
        "workspace",    "pipeline",   "wanted_per_s"};
    for (const auto& column : cells.m_columns)
    {
        if (!column.empty() && !known.contains(column))
        {
            add_fault(faults, 1, column, "is not a known column");
        }
    }
}

/// Splits "pools[3].warm_limit" into table, position and column.
struct fault_place
{
    std::string m_table;
    std::size_t m_index = SIZE_MAX;
    std::string m_column;
};

fault_place place_of(const std::string& path)
{
    fault_place place;
    const auto bracket = path.find('[');
    place.m_table = path.substr(0, bracket);
    if (bracket == std::string::npos)
    {
        return place;
    }
    const char* end = path.data() + path.size();
    const auto [stop, error] =
        std::from_chars(path.data() + bracket + 1, end, place.m_index);
    const auto column = static_cast<std::size_t>(stop - path.data()) + 2;
    if (error == std::errc{} && column < path.size())
    {
        place.m_column = path.substr(column, path.find_first_of("[.", column) - column);
    }
    return place;
}

const std::vector<std::size_t>& rows_of(const sheet_state& sheet,
                                        const std::string& table)
{
    static const std::vector<std::size_t> none;
    return table == "data_centres" ? sheet.m_data_centre_rows
           : table == "pools"      ? sheet.m_pool_rows
           : table == "pipelines"  ? sheet.m_pipeline_rows
           : table == "workspaces" ? sheet.m_workspace_rows
           : table == "demands"    ? sheet.m_content.m_demand_rows
                                   : none;
}

/// Turns the faults of the configuration into faults of rows and columns.
void check_content(const sheet_state& sheet, sheet_faults& faults)
{
    for (const auto& fault : check_configuration(sheet.m_content.m_config))
    {
        const fault_place place = place_of(fault.m_path);
        const auto& rows = rows_of(sheet, place.m_table);
        if (place.m_index < rows.size())
        {
            add_fault(faults, rows[place.m_index],
                      place.m_column == "id" ? "name" : place.m_column, fault.m_message);
        }
        else
        {
            add_fault(faults, 0, "", fault.m_path + ' ' + fault.m_message);
        }
    }
}

} // namespace

std::string to_text(const sheet_faults& faults)
{
    std::string text;
    for (const auto& fault : faults)
    {
        text += text.empty() ? "" : "\n";
        text += fault.m_row == 0 ? "sheet" : "row " + std::to_string(fault.m_row);
        text += fault.m_column.empty() ? "" : ", column \"" + fault.m_column + '"';
        text += ": " + fault.m_message;
    }
    return text;
}

result<sheet_content, sheet_faults> parse_sheet(std::string_view text)
{
    const auto cells = read_sheet_cells(text);
    if (!is_ok(cells))
    {
        return error_of(cells);
    }
    sheet_faults faults;
    check_columns(value_of(cells), faults);
    sheet_state sheet;
    for (const auto& row : value_of(cells).m_rows)
    {
        read_row(value_of(cells), row, sheet, faults);
    }
    if (faults.empty())
    {
        check_content(sheet, faults);
    }
    if (!faults.empty())
    {
        return faults;
    }
    return std::move(sheet.m_content);
}

} // namespace geraniumdoor
