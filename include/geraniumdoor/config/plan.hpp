#pragma once

#include <geraniumdoor/config/configuration.hpp>

#include <cstddef>
#include <vector>

namespace geraniumdoor
{

/// A demand that got less than it asked for.
struct plan_shortfall
{
    /// Position in configuration::m_demands.
    std::size_t m_demand = 0;
    /// Pool without capacity for the rest.
    pool_id m_pool;
    double m_wanted_per_s = 0;
    double m_granted_per_s = 0;

    bool operator==(const plan_shortfall&) const = default;
};

/// Calls a second that the upstreams of a pool carry when all are warm: workers times
/// warm limit over service time.
double pool_capacity_per_s(const pool_config& pool);

/// Sets m_granted_per_s of each demand. Lower priority numbers are served first; within a
/// priority the demands get weighted max-min fair shares of the pools that their
/// pipelines use, by progressive filling (Bertsekas and Gallager, "Data Networks",
/// section 6.5.2). Returns the demands that got less than they want.
/// Precondition: check_configuration finds no fault.
std::vector<plan_shortfall> fit_plan(configuration& config);

} // namespace geraniumdoor
