#include <geraniumdoor/config/configuration_document.hpp>

#include <cmath>
#include <unordered_set>

namespace geraniumdoor
{

namespace
{

std::string row_path(std::string_view table, std::size_t row)
{
    return std::string{table} + '[' + std::to_string(row) + ']';
}

std::string quoted(const std::string& text)
{
    return '"' + text + '"';
}

/// Adds a fault for each id that is malformed or was given before, and for a table that
/// is too long.
template<class Row>
void check_ids(const std::vector<Row>& rows, std::string_view table, std::size_t max_rows,
               document_faults& faults)
{
    if (rows.size() > max_rows)
    {
        add_fault(faults, std::string{table},
                  "has " + std::to_string(rows.size()) + " rows; at most " +
                      std::to_string(max_rows) + " are accepted");
    }
    std::unordered_set<std::string> seen;
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const std::string& id = rows[i].m_id.m_value;
        if (!is_id(id))
        {
            add_fault(faults, row_path(table, i) + ".id", "is not a valid id");
        }
        else if (!seen.insert(id).second)
        {
            add_fault(faults, row_path(table, i) + ".id", "repeats the id " + quoted(id));
        }
    }
}

void check_range(std::uint64_t value, number_range range, const std::string& path,
                 document_faults& faults)
{
    if (value < range.m_min || value > range.m_max)
    {
        add_fault(faults, path,
                  "must be from " + std::to_string(range.m_min) + " to " +
                      std::to_string(range.m_max) + ", but is " + std::to_string(value));
    }
}

void check_ms(milliseconds value, const std::string& path, document_faults& faults)
{
    const auto max = static_cast<std::uint64_t>(max_call_time.count());
    check_range(value.count() < 0 ? 0 : static_cast<std::uint64_t>(value.count()),
                {1, max}, path, faults);
}

void check_pool(const pool_config& pool, const std::string& path, document_faults& faults)
{
    check_range(pool.m_warm_limit, {1, max_upstream_limit}, path + ".warm_limit", faults);
    check_range(pool.m_cold_limit, {1, max_upstream_limit}, path + ".cold_limit", faults);
    check_range(pool.m_workers, {1, max_workers}, path + ".workers", faults);
    check_ms(pool.m_timeout, path + ".timeout_ms", faults);
    check_ms(pool.m_service_time, path + ".service_time_ms", faults);
    if (pool.m_cold_limit > pool.m_warm_limit)
    {
        add_fault(faults, path + ".cold_limit",
                  "must not exceed warm_limit, which is " +
                      std::to_string(pool.m_warm_limit));
    }
}

void check_stage(const configuration& config, const pipeline_config& pipeline,
                 std::size_t index, const std::string& path, document_faults& faults)
{
    const stage_config& stage = pipeline.m_stages[index];
    const auto* pool = find_pool(config, stage.m_pool);
    if (pool == nullptr)
    {
        add_fault(faults, path + ".pool",
                  "names no pool of the configuration: " + quoted(stage.m_pool.m_value));
    }
    else if (!stage.m_idempotent && pool->m_kind != stage_kind::service)
    {
        add_fault(faults, path + ".idempotent",
                  "may be false only in a pool of kind \"service\", but " +
                      quoted(stage.m_pool.m_value) + " is of kind " +
                      quoted(to_text(pool->m_kind)));
    }
    if (stage.m_operation.empty())
    {
        add_fault(faults, path + ".operation", "is missing");
    }
    if (stage.m_required_after && stage.m_required_after->m_value >= index)
    {
        add_fault(faults, path + ".required_after",
                  "must name an earlier stage of the pipeline");
    }
}

void check_pipeline(const configuration& config, const pipeline_config& pipeline,
                    const std::string& path, document_faults& faults)
{
    check_ms(pipeline.m_deadline, path + ".deadline_ms", faults);
    check_range(pipeline.m_stages.size(), {1, max_stages}, path + ".stages", faults);
    std::unordered_set<std::string> names;
    for (std::size_t i = 0; i < pipeline.m_stages.size(); ++i)
    {
        const std::string stage_path = row_path(path + ".stages", i);
        const std::string& name = pipeline.m_stages[i].m_name;
        if (!is_id(name))
        {
            add_fault(faults, stage_path + ".name", "is not a valid id");
        }
        else if (!names.insert(name).second)
        {
            add_fault(faults, stage_path + ".name", "repeats the name " + quoted(name));
        }
        check_stage(config, pipeline, i, stage_path, faults);
    }
}

void check_data_centres(const configuration& config, document_faults& faults)
{
    check_ids(config.m_data_centres, "data_centres", max_data_centres, faults);
    check_range(config.m_data_centres.size(), {1, max_data_centres}, "data_centres",
                faults);
    for (std::size_t i = 0; i < config.m_data_centres.size(); ++i)
    {
        if (!is_id(config.m_data_centres[i].m_region.m_value))
        {
            add_fault(faults, row_path("data_centres", i) + ".region",
                      "is not a valid id");
        }
    }
}

void check_workspaces(const configuration& config, document_faults& faults)
{
    check_ids(config.m_workspaces, "workspaces", max_workspaces, faults);
    for (std::size_t i = 0; i < config.m_workspaces.size(); ++i)
    {
        const std::string path = row_path("workspaces", i);
        const workspace_config& row = config.m_workspaces[i];
        check_range(row.m_priority, {0, max_priority}, path + ".priority", faults);
        check_range(row.m_weight, {1, max_weight}, path + ".weight", faults);
    }
}

void check_rate(double rate, const std::string& path, document_faults& faults)
{
    if (!(rate >= 0 && rate <= max_wanted_per_s))
    {
        add_fault(faults, path, "must be from 0 to 1000000 a second");
    }
}

template<class Row>
std::unordered_set<std::string> ids_of(const std::vector<Row>& rows)
{
    std::unordered_set<std::string> ids;
    for (const auto& row : rows)
    {
        ids.insert(row.m_id.m_value);
    }
    return ids;
}

void check_demands(const configuration& config, document_faults& faults)
{
    check_range(config.m_demands.size(), {0, max_demands}, "demands", faults);
    const auto workspaces = ids_of(config.m_workspaces);
    const auto pipelines = ids_of(config.m_pipelines);
    std::unordered_set<std::string> seen;
    for (std::size_t i = 0; i < config.m_demands.size(); ++i)
    {
        const std::string path = row_path("demands", i);
        const demand_config& row = config.m_demands[i];
        const std::string& workspace = row.m_workspace.m_value;
        const std::string& pipeline = row.m_pipeline.m_value;
        if (!workspaces.contains(workspace))
        {
            add_fault(faults, path + ".workspace",
                      "names no workspace of the configuration: " + quoted(workspace));
        }
        if (!pipelines.contains(pipeline))
        {
            add_fault(faults, path + ".pipeline",
                      "names no pipeline of the configuration: " + quoted(pipeline));
        }
        std::string key = workspace;
        key += '/';
        key += pipeline;
        if (!seen.insert(key).second)
        {
            add_fault(faults, path,
                      "repeats the demand of " + quoted(workspace) + " for " +
                          quoted(pipeline));
        }
        check_rate(row.m_wanted_per_s, path + ".wanted_per_s", faults);
        check_rate(row.m_granted_per_s, path + ".granted_per_s", faults);
    }
}

} // namespace

document_faults check_configuration(const configuration& config)
{
    document_faults faults;
    check_data_centres(config, faults);
    check_ids(config.m_pools, "pools", max_pools, faults);
    for (std::size_t i = 0; i < config.m_pools.size(); ++i)
    {
        check_pool(config.m_pools[i], row_path("pools", i), faults);
    }
    check_ids(config.m_pipelines, "pipelines", max_pipelines, faults);
    for (std::size_t i = 0; i < config.m_pipelines.size(); ++i)
    {
        check_pipeline(config, config.m_pipelines[i], row_path("pipelines", i), faults);
    }
    check_workspaces(config, faults);
    check_demands(config, faults);
    return faults;
}

} // namespace geraniumdoor
