#include <geraniumdoor/config/configuration.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

template<class Row, class Id>
const Row* find_row(const std::vector<Row>& rows, const Id& id)
{
    const auto at = std::find_if(rows.begin(), rows.end(),
                                 [&](const Row& row)
                                 {
                                     return row.m_id == id;
                                 });
    return at == rows.end() ? nullptr : &*at;
}

} // namespace

const pool_config* find_pool(const configuration& config, const pool_id& id)
{
    return find_row(config.m_pools, id);
}

const pipeline_config* find_pipeline(const configuration& config, const pipeline_id& id)
{
    return find_row(config.m_pipelines, id);
}

const workspace_config* find_workspace(const configuration& config,
                                       const workspace_id& id)
{
    return find_row(config.m_workspaces, id);
}

const data_centre_config* find_data_centre(const configuration& config,
                                           const data_centre_id& id)
{
    return find_row(config.m_data_centres, id);
}

} // namespace geraniumdoor
