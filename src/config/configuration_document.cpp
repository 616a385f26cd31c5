#include "configuration_names.hpp"

#include <geraniumdoor/config/configuration_document.hpp>

#include <boost/json/serialize.hpp>

namespace geraniumdoor
{

namespace
{

constexpr number_range any_number{0, UINT64_MAX};
constexpr std::size_t max_operation_length = 128;
constexpr std::size_t max_fields = 16;
constexpr std::uint64_t max_call_ms = 600'000;

std::uint32_t read_count(object_reader& reader, std::string_view key, std::uint32_t min,
                         std::uint32_t max)
{
    return static_cast<std::uint32_t>(reader.number(key, {min, max}));
}

milliseconds read_ms(object_reader& reader, std::string_view key)
{
    return milliseconds{reader.number(key, {1, max_call_ms})};
}

data_centre_config read_data_centre(object_reader& reader)
{
    data_centre_config row;
    row.m_id.m_value = reader.id("id");
    row.m_region.m_value = reader.id("region");
    row.m_state = reader.name("state", data_centre_state_names);
    row.m_mark.m_base.m_value = reader.number_or("state_base", 0, any_number);
    row.m_mark.m_counter = reader.number_or("state_counter", 0, any_number);
    row.m_mark.m_change.m_value = reader.optional_id("state_change").value_or("");
    return row;
}

pool_config read_pool(object_reader& reader)
{
    pool_config row;
    row.m_id.m_value = reader.id("id");
    row.m_kind = reader.name("kind", stage_kind_names);
    row.m_cold_limit = read_count(reader, "cold_limit", 1, max_upstream_limit);
    row.m_warm_limit = read_count(reader, "warm_limit", 1, max_upstream_limit);
    row.m_timeout = read_ms(reader, "timeout_ms");
    row.m_checks_fence = reader.flag_or("checks_fence", false);
    row.m_workers = read_count(reader, "workers", 1, max_workers);
    row.m_service_time = read_ms(reader, "service_time_ms");
    return row;
}

/// Turns the name of an earlier stage into its position.
std::optional<stage_index> find_earlier(const std::vector<stage_config>& stages,
                                        const std::string& name)
{
    for (std::uint32_t i = 0; i < stages.size(); ++i)
    {
        if (stages[i].m_name == name)
        {
            return stage_index{i};
        }
    }
    return std::nullopt;
}

stage_config read_stage(object_reader& reader, const std::vector<stage_config>& earlier)
{
    stage_config row;
    row.m_name = reader.id("name");
    row.m_pool.m_value = reader.id("pool");
    row.m_operation = reader.text("operation", max_operation_length, false);
    row.m_idempotent = reader.flag_or("idempotent", true);
    if (const auto name = reader.optional_id("required_after"))
    {
        row.m_required_after = find_earlier(earlier, *name);
        if (!row.m_required_after)
        {
            reader.fault("required_after",
                         "must name an earlier stage of the pipeline, but is \"" + *name +
                             '"');
        }
    }
    return row;
}

pipeline_config read_pipeline(object_reader& reader)
{
    pipeline_config row;
    row.m_id.m_value = reader.id("id");
    row.m_deadline = read_ms(reader, "deadline_ms");
    reader.each_object("stages", max_stages,
                       [&](object_reader& stage)
                       {
                           row.m_stages.push_back(read_stage(stage, row.m_stages));
                       });
    return row;
}

workspace_config read_workspace(object_reader& reader)
{
    workspace_config row;
    row.m_id.m_value = reader.id("id");
    row.m_priority = read_count(reader, "priority", 0, max_priority);
    row.m_weight = read_count(reader, "weight", 1, max_weight);
    return row;
}

demand_config read_demand(object_reader& reader)
{
    demand_config row;
    row.m_workspace.m_value = reader.id("workspace");
    row.m_pipeline.m_value = reader.id("pipeline");
    row.m_wanted_per_s = reader.real("wanted_per_s", 0, max_wanted_per_s);
    row.m_granted_per_s = reader.real("granted_per_s", 0, max_wanted_per_s);
    return row;
}

change_record read_record(object_reader& reader)
{
    change_record row;
    row.m_version.m_value = reader.number("version", any_number);
    row.m_change.m_value = reader.id("change_id");
    row.m_operator = reader.id("operator");
    reader.each_text("fields", max_fields,
                     [&](const std::string& item, const std::string&)
                     {
                         row.m_fields.push_back(item);
                     });
    return row;
}

/// Reads an array of objects into rows.
template<class Row>
void read_rows(object_reader& reader, std::string_view key, std::size_t max_items,
               std::vector<Row>& rows, Row (*read)(object_reader&))
{
    reader.each_object(key, max_items,
                       [&](object_reader& item)
                       {
                           rows.push_back(read(item));
                       });
}

configuration read_configuration(object_reader& reader)
{
    configuration config;
    config.m_version.m_value = reader.number("version", any_number);
    config.m_change.m_value = reader.id("change_id");
    config.m_operator = reader.id("operator");
    read_rows(reader, "data_centres", max_data_centres, config.m_data_centres,
              &read_data_centre);
    read_rows(reader, "pools", max_pools, config.m_pools, &read_pool);
    read_rows(reader, "pipelines", max_pipelines, config.m_pipelines, &read_pipeline);
    read_rows(reader, "workspaces", max_workspaces, config.m_workspaces, &read_workspace);
    read_rows(reader, "demands", max_demands, config.m_demands, &read_demand);
    read_rows(reader, "history", max_history, config.m_history, &read_record);
    return config;
}

boost::json::object encode(const data_centre_config& row)
{
    boost::json::object object{{"id", row.m_id.m_value},
                               {"region", row.m_region.m_value},
                               {"state", to_text(row.m_state)}};
    if (!row.m_mark.m_change.m_value.empty())
    {
        object["state_base"] = row.m_mark.m_base.m_value;
        object["state_counter"] = row.m_mark.m_counter;
        object["state_change"] = row.m_mark.m_change.m_value;
    }
    return object;
}

boost::json::object encode(const pool_config& row)
{
    return {{"id", row.m_id.m_value},
            {"kind", to_text(row.m_kind)},
            {"cold_limit", row.m_cold_limit},
            {"warm_limit", row.m_warm_limit},
            {"timeout_ms", row.m_timeout.count()},
            {"checks_fence", row.m_checks_fence},
            {"workers", row.m_workers},
            {"service_time_ms", row.m_service_time.count()}};
}

boost::json::object encode(const pipeline_config& row)
{
    boost::json::array stages;
    for (const auto& stage : row.m_stages)
    {
        boost::json::object object{{"name", stage.m_name},
                                   {"pool", stage.m_pool.m_value},
                                   {"operation", stage.m_operation},
                                   {"idempotent", stage.m_idempotent}};
        if (stage.m_required_after)
        {
            object["required_after"] =
                row.m_stages.at(stage.m_required_after->m_value).m_name;
        }
        stages.push_back(std::move(object));
    }
    return {{"id", row.m_id.m_value},
            {"deadline_ms", row.m_deadline.count()},
            {"stages", std::move(stages)}};
}

boost::json::object encode(const workspace_config& row)
{
    return {
        {"id", row.m_id.m_value}, {"priority", row.m_priority}, {"weight", row.m_weight}};
}

boost::json::object encode(const demand_config& row)
{
    return {{"workspace", row.m_workspace.m_value},
            {"pipeline", row.m_pipeline.m_value},
            {"wanted_per_s", row.m_wanted_per_s},
            {"granted_per_s", row.m_granted_per_s}};
}

boost::json::object encode(const change_record& row)
{
    return {{"version", row.m_version.m_value},
            {"change_id", row.m_change.m_value},
            {"operator", row.m_operator},
            {"fields", boost::json::array(row.m_fields.begin(), row.m_fields.end())}};
}

template<class Row>
boost::json::array encode_rows(const std::vector<Row>& rows)
{
    boost::json::array array;
    array.reserve(rows.size());
    for (const auto& row : rows)
    {
        array.push_back(encode(row));
    }
    return array;
}

template<class Enum>
const char* name_of(enum_names<Enum> names, Enum value)
{
    for (const auto& [name, named] : names)
    {
        if (named == value)
        {
            return name.data();
        }
    }
    return "unknown";
}

} // namespace

const char* to_text(stage_kind kind)
{
    return name_of(stage_kind_names, kind);
}

const char* to_text(data_centre_state state)
{
    return name_of(data_centre_state_names, state);
}

boost::json::object encode_configuration_object(const configuration& config)
{
    return {{"version", config.m_version.m_value},
            {"change_id", config.m_change.m_value},
            {"operator", config.m_operator},
            {"data_centres", encode_rows(config.m_data_centres)},
            {"pools", encode_rows(config.m_pools)},
            {"pipelines", encode_rows(config.m_pipelines)},
            {"workspaces", encode_rows(config.m_workspaces)},
            {"demands", encode_rows(config.m_demands)},
            {"history", encode_rows(config.m_history)}};
}

std::string encode_configuration(const configuration& config)
{
    return boost::json::serialize(encode_configuration_object(config));
}

result<configuration, document_faults> decode_configuration(std::string_view text)
{
    const auto document = parse_document(text, max_configuration_bytes);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    document_faults faults;
    object_reader reader{value_of(document), "", faults};
    configuration config = read_configuration(reader);
    reader.finish();
    if (faults.empty())
    {
        faults = check_configuration(config);
    }
    if (!faults.empty())
    {
        return faults;
    }
    return config;
}

} // namespace geraniumdoor
