#pragma once

#include <geraniumdoor/config/configuration.hpp>

/// Two data centres, a pool of engines and one of services, one pipeline of each.
inline geraniumdoor::configuration sample_configuration()
{
    using namespace geraniumdoor;
    configuration config;
    config.m_version = config_version{1};
    config.m_change = change_id{"first"};
    config.m_operator = "ade";
    config.m_data_centres = {{{"ibadan-1"}, {"ibadan"}}, {{"ibadan-2"}, {"ibadan"}}};
    pool_config engines;
    engines.m_id = {"llm"};
    engines.m_kind = stage_kind::generate;
    engines.m_workers = 2;
    engines.m_service_time = milliseconds{400};
    pool_config payments;
    payments.m_id = {"payments"};
    payments.m_warm_limit = 4;
    config.m_pools = {engines, payments};
    const stage_config generate{"generate", {"llm"}, "generate"};
    const stage_config debit{"debit", {"payments"}, "debit", false};
    const stage_config post{"post", {"payments"}, "post", true, stage_index{0}};
    config.m_pipelines = {{{"ask"}, milliseconds{3000}, {generate}},
                          {{"renewal"}, milliseconds{2000}, {debit, post}}};
    config.m_workspaces = {{{"riders"}, 0, 1}, {{"depots"}, 1, 3}};
    config.m_demands = {{{"riders"}, {"ask"}, 10, 10},
                        {{"depots"}, {"renewal"}, 2.5, 2.5}};
    config.m_history = {
        {config.m_version, config.m_change, config.m_operator, {"sheet"}}};
    return config;
}
