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
    double m_slots = 0;
    /// Whether a wait was reported since the last adjustment of the share.
    bool m_wait_reported = false;
    /// Minimum deadline of the pipelines that use the pool.
    milliseconds m_deadline{3000};
};

struct admission
{
    table<pool_id, pool_admission> m_pools;
    time_point m_adjusted;
    double m_mean_weight = 1;
};

void set_admission_configuration(admission& state, const configuration& config);

/// Records the queue wait at one owner, weighted by the owner's slots, so that the queue
/// of an owner with a cold upstream does not dominate the mean of the pool.
void record_pool_wait(admission& state, const pool_id& pool, milliseconds wait,
                      std::uint32_t slots = 1);

/// Adjusts the shares once per 100 ms: multiplies by 0.9 while the mean wait exceeds a
/// tenth of the deadline, adds 0.02 otherwise.
void adjust_shares(admission& state, time_point now);

/// Probability that a pool admits a request: the share raised to the power
/// (priority + 1) * mean weight / weight, so that requests of low priority (high number)
/// and small weight are refused first.
double admission_probability(const admission& state, const pool_id& pool,
                             std::uint32_t priority, std::uint32_t weight);

/// Whether every pool of the pipeline admits the request. All pools share one random draw
/// in [0, 1), so that a pipeline through several pools is refused no more often than its
/// most loaded pool requires.
bool admits(const admission& state, const pipeline_config& pipeline,
            std::uint32_t priority, std::uint32_t weight, double draw);

} // namespace geraniumdoor
