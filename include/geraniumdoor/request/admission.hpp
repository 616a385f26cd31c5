#pragma once

#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <cstdint>

namespace geraniumdoor
{

struct pool_admission
{
    /// Fraction of requests admitted for a workspace of mean weight and priority 0.
    double m_share = 1;
    /// Sum of the reported waits weighted by slots, and sum of these slots. Both decay,
    /// so that older reports count less.
    double m_wait_sum_ms = 0;
    double m_slots_sum = 0;
    /// Whether a wait was reported since the last adjustment of the share.
    bool m_wait_reported = false;
    /// Minimum deadline of the pipelines that use the pool.
    milliseconds m_min_deadline{3000};
};

struct admission
{
    table<pool_id, pool_admission> m_pools;
    time_point m_adjusted_at;
    double m_mean_workspace_weight = 1;
};

void set_admission_configuration(admission& state, const configuration& config);

/// Records the queue wait at one owner, weighted by the owner's slots (calls that its
/// upstreams may run at once). An owner whose upstreams are at the cold limit has few
/// slots, so that its queue does not dominate the mean of the pool.
void record_pool_wait(admission& state, const pool_id& pool, milliseconds wait,
                      std::uint32_t slots = 1);

/// At most once per 100 ms, multiplies the share of each pool by 0.9 if a wait was
/// reported since the last adjustment and the mean wait exceeds a tenth of the pool's
/// minimum deadline; adds 0.02 otherwise. The share stays from 0.02 to 1.
void adjust_shares(admission& state, time_point now);

/// Probability that a pool admits a request: the share raised to the power
/// (priority + 1) * mean weight / weight, so that requests of low priority (high number)
/// and small weight are refused first.
double admission_probability(const admission& state, const pool_id& pool,
                             std::uint32_t priority, std::uint32_t weight);

/// Whether every pool of the pipeline admits the request. All pools are compared
/// with one draw in [0, 1), so that a pipeline is admitted with the probability of its
/// strictest pool, not with the product of the probabilities.
bool admits(const admission& state, const pipeline_config& pipeline,
            std::uint32_t priority, std::uint32_t weight, double draw);

} // namespace geraniumdoor
