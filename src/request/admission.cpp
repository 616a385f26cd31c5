#include <geraniumdoor/request/admission.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor
{

namespace
{

constexpr milliseconds adjust_period{100};
constexpr double decrease = 0.9;
constexpr double increase = 0.02;
/// A share of zero would admit nothing that could show an end of the overload.
constexpr double least_share = 0.02;
constexpr double longest_wait = 0.1;
/// Part of the reported waits that counts again in the next period. A node of a small
/// deployment sees about one answer of a pool in 100 ms, which is too few for a mean.
constexpr double kept_per_period = 0.8;

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
    const double wait = pool.m_slots == 0 ? 0 : pool.m_wait_sum_ms / pool.m_slots;
    const bool slow = pool.m_noted && wait > longest_wait * to_ms(pool.m_deadline);
    pool.m_share = slow ? std::max(pool.m_share * decrease, least_share)
                        : std::min(pool.m_share + increase, 1.0);
    pool.m_wait_sum_ms *= kept_per_period;
    pool.m_slots *= kept_per_period;
    pool.m_noted = false;
}

} // namespace

void set_admission_configuration(admission& state, const configuration& config)
{
    state.m_mean_weight = mean_weight(config);
    table<pool_id, pool_admission> pools;
    for (const auto& pipeline : config.m_pipelines)
    {
        for (const auto& stage : pipeline.m_stages)
        {
            auto* pool = pools.find(stage.m_pool);
            if (pool == nullptr)
            {
                const auto* before = state.m_pools.find(stage.m_pool);
                pool = &pools.put(stage.m_pool, before ? *before : pool_admission{});
                pool->m_deadline = pipeline.m_deadline;
            }
            pool->m_deadline = std::min(pool->m_deadline, pipeline.m_deadline);
        }
    }
    state.m_pools = std::move(pools);
}

void note_pool_wait(admission& state, const pool_id& pool, milliseconds wait,
                    std::uint32_t slots)
{
    if (auto* row = state.m_pools.find(pool))
    {
        const double weight = std::max(slots, 1U);
        row->m_wait_sum_ms += weight * to_ms(wait);
        row->m_slots += weight;
        row->m_noted = true;
    }
}

void adjust_shares(admission& state, time_point now)
{
    if (now - state.m_adjusted < adjust_period)
    {
        return;
    }
    state.m_adjusted = now;
    for (auto& [id, pool] : state.m_pools)
    {
        adjust(pool);
    }
}

double admitted_share(const admission& state, const pool_id& pool, std::uint32_t priority,
                      std::uint32_t weight)
{
    const auto* row = state.m_pools.find(pool);
    if (row == nullptr)
    {
        return 1;
    }
    const double relative = state.m_mean_weight / std::max(weight, 1U);
    return std::pow(row->m_share, (priority + 1) * relative);
}

bool admits(const admission& state, const pipeline_config& pipeline,
            std::uint32_t priority, std::uint32_t weight, double draw)
{
    return std::all_of(pipeline.m_stages.begin(), pipeline.m_stages.end(),
                       [&](const stage_config& stage)
                       {
                           return draw <
                                  admitted_share(state, stage.m_pool, priority, weight);
                       });
}

} // namespace geraniumdoor
