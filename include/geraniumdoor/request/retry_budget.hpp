#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/table.hpp>

namespace geraniumdoor
{

/// Token bucket for each pool that limits the retries and hedged requests of this
/// coordinator.
struct retry_budget
{
    table<pool_id, double> m_available_retries;
};

/// Retries added to the budget of a pool by each first attempt.
inline constexpr double retries_per_first_attempt = 0.1;
/// Maximum content of a pool's budget, and its initial content.
inline constexpr double max_saved_retries = 10;

void record_first_attempt(retry_budget& budget, const pool_id& pool);

/// Takes one retry from the budget. Returns false if less than one is left.
bool take_retry(retry_budget& budget, const pool_id& pool);

} // namespace geraniumdoor
