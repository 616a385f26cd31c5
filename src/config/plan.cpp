#include <geraniumdoor/config/plan.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

namespace geraniumdoor
{

namespace
{

/// Grants that were cut are rounded down to this step, so that the sum of all grants
/// never exceeds a pool.
constexpr double grant_step_per_s = 0.001;

/// Rounding error of a share, in grant steps. It keeps a share of exactly 12 from
/// becoming 11.999.
constexpr double rounding_error_steps = 1e-6;

/// Capacity below this share of a pool counts as none, because sums of grants have
/// rounding errors.
constexpr double negligible_share = 1e-9;

constexpr std::size_t no_pool = SIZE_MAX;

struct pool_state
{
    double m_capacity = 0;
    double m_left = 0;
    /// Weighted calls of the active demands: what one unit of fill level takes.
    double m_active_weight = 0;
    std::size_t m_active_count = 0;
    /// Demands of the current priority that use the pool.
    std::vector<std::size_t> m_demands;
};

struct demand_state
{
    std::uint32_t m_priority = 0;
    double m_weight = 1;
    /// Calls of one request to each pool.
    std::map<std::size_t, double> m_calls;
    std::size_t m_limiting_pool = no_pool;
    bool m_active = false;
};

struct plan_state
{
    std::vector<pool_state> m_pools;
    std::vector<demand_state> m_demands;
};

std::vector<pool_state> make_pools(const configuration& config)
{
    std::vector<pool_state> pools;
    for (const auto& pool : config.m_pools)
    {
        const double capacity = pool_capacity_per_s(pool);
        pools.push_back({capacity, capacity, 0, 0, {}});
    }
    return pools;
}

std::unordered_map<std::string, std::map<std::size_t, double>>
calls_of_pipelines(const configuration& config)
{
    std::unordered_map<std::string, std::map<std::size_t, double>> calls;
    for (const auto& pipeline : config.m_pipelines)
    {
        for (const auto& stage : pipeline.m_stages)
        {
            const auto* pool = find_pool(config, stage.m_pool);
            const auto index = static_cast<std::size_t>(pool - config.m_pools.data());
            calls[pipeline.m_id.m_value][index] += 1;
        }
    }
    return calls;
}

std::vector<demand_state> make_demands(const configuration& config)
{
    const auto calls = calls_of_pipelines(config);
    std::unordered_map<std::string, const workspace_config*> workspaces;
    for (const auto& workspace : config.m_workspaces)
    {
        workspaces[workspace.m_id.m_value] = &workspace;
    }
    std::vector<demand_state> demands;
    for (const auto& row : config.m_demands)
    {
        const workspace_config& workspace = *workspaces.at(row.m_workspace.m_value);
        demand_state demand;
        demand.m_priority = workspace.m_priority;
        demand.m_weight = workspace.m_weight;
        demand.m_calls = calls.at(row.m_pipeline.m_value);
        demands.push_back(std::move(demand));
    }
    return demands;
}

void activate(plan_state& plan, const std::vector<std::size_t>& group)
{
    for (auto& pool : plan.m_pools)
    {
        pool.m_active_weight = 0;
        pool.m_active_count = 0;
        pool.m_demands.clear();
    }
    for (const std::size_t index : group)
    {
        demand_state& demand = plan.m_demands[index];
        demand.m_active = true;
        for (const auto& [pool, calls] : demand.m_calls)
        {
            plan.m_pools[pool].m_active_weight += calls * demand.m_weight;
            ++plan.m_pools[pool].m_active_count;
            plan.m_pools[pool].m_demands.push_back(index);
        }
    }
}

void freeze(plan_state& plan, std::size_t index)
{
    demand_state& demand = plan.m_demands[index];
    demand.m_active = false;
    for (const auto& [pool, calls] : demand.m_calls)
    {
        plan.m_pools[pool].m_active_weight -= calls * demand.m_weight;
        --plan.m_pools[pool].m_active_count;
    }
}

/// Rise of the fill level until the pool is used up.
double rise_until_full(const pool_state& pool)
{
    const bool used_up = pool.m_left <= pool.m_capacity * negligible_share;
    return used_up ? 0 : pool.m_left / pool.m_active_weight;
}

/// Pool that is used up first as the fill level rises, and by how much it rises.
std::pair<std::size_t, double> next_full_pool(const plan_state& plan)
{
    std::pair<std::size_t, double> next{no_pool, HUGE_VAL};
    for (std::size_t i = 0; i < plan.m_pools.size(); ++i)
    {
        const pool_state& pool = plan.m_pools[i];
        if (pool.m_active_count > 0)
        {
            const double rise = rise_until_full(pool);
            next = rise < next.second ? std::pair{i, rise} : next;
        }
    }
    return next;
}

void raise_level(plan_state& plan, double rise)
{
    for (auto& pool : plan.m_pools)
    {
        pool.m_left = std::max(0.0, pool.m_left - rise * pool.m_active_weight);
    }
}

void cut_demands(plan_state& plan, configuration& config, std::size_t pool, double level)
{
    for (const std::size_t index : plan.m_pools[pool].m_demands)
    {
        demand_state& demand = plan.m_demands[index];
        if (demand.m_active)
        {
            const double steps = level * demand.m_weight / grant_step_per_s;
            config.m_demands[index].m_granted_per_s =
                std::floor(steps + rounding_error_steps) * grant_step_per_s;
            demand.m_limiting_pool = pool;
            freeze(plan, index);
        }
    }
}

/// Serves the demands of one priority from what is left of the pools.
void fill_group(plan_state& plan, configuration& config, std::vector<std::size_t> group)
{
    const auto level_wanted = [&](std::size_t index)
    {
        return config.m_demands[index].m_wanted_per_s / plan.m_demands[index].m_weight;
    };
    std::stable_sort(group.begin(), group.end(),
                     [&](std::size_t left, std::size_t right)
                     {
                         return level_wanted(left) < level_wanted(right);
                     });
    activate(plan, group);
    double level = 0;
    for (auto next = group.begin(); next != group.end();)
    {
        if (!plan.m_demands[*next].m_active)
        {
            ++next;
            continue;
        }
        const auto [pool, rise] = next_full_pool(plan);
        const double rise_to_demand = level_wanted(*next) - level;
        raise_level(plan, std::min(rise, rise_to_demand));
        level += std::min(rise, rise_to_demand);
        if (rise < rise_to_demand)
        {
            cut_demands(plan, config, pool, level);
            continue;
        }
        config.m_demands[*next].m_granted_per_s = config.m_demands[*next].m_wanted_per_s;
        freeze(plan, *next);
    }
}

std::vector<plan_shortfall> list_shortfalls(const plan_state& plan,
                                            const configuration& config)
{
    std::vector<plan_shortfall> shortfalls;
    for (std::size_t i = 0; i < config.m_demands.size(); ++i)
    {
        const demand_config& row = config.m_demands[i];
        const std::size_t pool = plan.m_demands[i].m_limiting_pool;
        if (pool != no_pool && row.m_granted_per_s < row.m_wanted_per_s)
        {
            shortfalls.push_back(
                {i, config.m_pools[pool].m_id, row.m_wanted_per_s, row.m_granted_per_s});
        }
    }
    return shortfalls;
}

} // namespace

double pool_capacity_per_s(const pool_config& pool)
{
    const double slots = static_cast<double>(pool.m_workers) * pool.m_warm_limit;
    return slots / to_s(pool.m_service_time);
}

std::vector<plan_shortfall> fit_plan(configuration& config)
{
    plan_state plan{make_pools(config), make_demands(config)};
    std::map<std::uint32_t, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < plan.m_demands.size(); ++i)
    {
        groups[plan.m_demands[i].m_priority].push_back(i);
    }
    for (const auto& [priority, group] : groups)
    {
        fill_group(plan, config, group);
    }
    return list_shortfalls(plan, config);
}

} // namespace geraniumdoor
