#pragma once

#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <cstdint>

namespace geraniumdoor
{

struct pool_admission
{
    /// Share of the requests of an average workspace of priority 0 that is admitted.
    double m_share = 1;
    /// Reported waits times slots, and the slots. Older reports count less.
    double m_wait_sum_ms = 0;
    double m_slots = 0;
    /// Whether a wait was reported since the last adjustment.
    bool m_noted = false;
    /// Shortest deadline of the pipelines that use the pool.
    milliseconds m_deadline{3000};
};

struct admission
{
    table<pool_id, pool_admission> m_pools;
    time_point m_adjusted;
    double m_mean_weight = 1;
};

void set_admission_configuration(admission& state, const configuration& config);

/// Notes the wait at one owner. The slots that it has weigh the wait, so that an owner of
/// a cold upstream does not pass for the whole pool.
void note_pool_wait(admission& state, const pool_id& pool, milliseconds wait,
                    std::uint32_t slots = 1);

/// Adjusts the shares once per 100 ms: times 0.9 while the mean wait exceeds a tenth of
/// the deadline, plus 0.02 otherwise.
void adjust_shares(admission& state, time_point now);

/// Probability that a pool admits a request: the share to the power of
/// (priority + 1) * mean weight / weight, so that low priorities and small weights are
/// refused first.
double admitted_share(const admission& state, const pool_id& pool, std::uint32_t priority,
                      std::uint32_t weight);

/// Whether every pool on the path admits the request. One draw in [0, 1) serves all
/// pools, so that a pipeline through several pools is not refused more often than its
/// most loaded pool demands.
bool admits(const admission& state, const pipeline_config& pipeline,
            std::uint32_t priority, std::uint32_t weight, double draw);

} // namespace geraniumdoor
