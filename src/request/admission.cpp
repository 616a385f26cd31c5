#include <geraniumdoor/request/admission.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor
{

namespace
{

constexpr milliseconds adjust_interval{100};
constexpr double decrease = 0.9;
constexpr double increase = 0.02;
/// Some requests must be admitted, because only their waits can show that the overload
/// has ended.
constexpr double min_share = 0.02;
/// Mean wait, as a fraction of the deadline, above which the share decreases.
constexpr double max_wait_ratio = 0.1;
/// Factor by which earlier reports are weighted in each interval. A node of a small
/// deployment receives about one answer of a pool per 100 ms, too few for a mean.
constexpr double wait_decay = 0.8;

double mean_weight(const configuration& config)
{
    if (config.m_workspaces.empty())
    {
        return 1;
    }
    double sum = 0;
    for (const auto& workspace : config.m_workspaces)
    {
        sum += workspace.m_weight;
    }
    return std::max(sum / static_cast<double>(config.m_workspaces.size()), 1e-3);
}

void adjust(pool_admission& pool)
{
    const double wait = pool.m_slots_sum == 0 ? 0 : pool.m_wait_sum_ms / pool.m_slots_sum;
    const bool slow =
        pool.m_wait_reported && wait > max_wait_ratio * to_ms(pool.m_min_deadline);
    pool.m_share = slow ? std::max(pool.m_share * decrease, min_share)
                        : std::min(pool.m_share + increase, 1.0);
    pool.m_wait_sum_ms *= wait_decay;
    pool.m_slots_sum *= wait_decay;
    pool.m_wait_reported = false;
}

} // namespace

void set_admission_configuration(admission& state, const configuration& config)
{
    state.m_mean_workspace_weight = mean_weight(config);
    table<pool_id, pool_admission> pools;
    for (const auto& pipeline : config.m_pipelines)
    {
        for (const auto& stage : pipeline.m_stages)
        {
            auto* pool = pools.find(stage.m_pool);
            if (pool == nullptr)
            {
                const auto* previous = state.m_pools.find(stage.m_pool);
                pool = &pools.put(stage.m_pool, previous ? *previous : pool_admission{});
                pool->m_min_deadline = pipeline.m_deadline;
            }
            pool->m_min_deadline = std::min(pool->m_min_deadline, pipeline.m_deadline);
        }
    }
    state.m_pools = std::move(pools);
}

void record_pool_wait(admission& state, const pool_id& pool, milliseconds wait,
                      std::uint32_t slots)
{
    if (auto* row = state.m_pools.find(pool))
    {
        const double weight = std::max(slots, 1U);
        row->m_wait_sum_ms += weight * to_ms(wait);
        row->m_slots_sum += weight;
        row->m_wait_reported = true;
    }
}

void adjust_shares(admission& state, time_point now)
{
    if (now - state.m_adjusted_at < adjust_interval)
    {
        return;
    }
    state.m_adjusted_at = now;
    for (auto& [id, pool] : state.m_pools)
    {
        adjust(pool);
    }
}

double admission_probability(const admission& state, const pool_id& pool,
                             std::uint32_t priority, std::uint32_t weight)
{
    const auto* row = state.m_pools.find(pool);
    if (row == nullptr)
    {
        return 1;
    }
    const double relative = state.m_mean_workspace_weight / std::max(weight, 1U);
    return std::pow(row->m_share, (priority + 1) * relative);
}

bool admits(const admission& state, const pipeline_config& pipeline,
            std::uint32_t priority, std::uint32_t weight, double draw)
{
    return std::all_of(pipeline.m_stages.begin(), pipeline.m_stages.end(),
                       [&](const stage_config& stage)
                       {
                           return draw < admission_probability(state, stage.m_pool,
                                                               priority, weight);
                       });
}

} // namespace geraniumdoor
