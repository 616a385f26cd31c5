#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/table.hpp>

namespace geraniumdoor
{

/// Token bucket for each pool that limits the retries and hedged requests of this
/// coordinator.
struct retry_budget
{
    table<pool_id, double> m_tokens;
};

/// Tokens added by each first attempt.
inline constexpr double retry_ratio = 0.1;
inline constexpr double retry_burst = 10;

void record_first_attempt(retry_budget& budget, const pool_id& pool);

/// Takes one token. Returns false if less than one is left.
bool take_retry(retry_budget& budget, const pool_id& pool);

} // namespace geraniumdoor
