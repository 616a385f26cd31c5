#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/table.hpp>

namespace geraniumdoor
{

/// Retries and hedged requests that each pool may still get from this coordinator.
struct retry_budget
{
    table<pool_id, double> m_tokens;
};

/// Retries earned by one first attempt.
inline constexpr double retry_share = 0.1;
inline constexpr double retry_burst = 10;

void note_first_attempt(retry_budget& budget, const pool_id& pool);

/// Takes a token. Returns false when there is none.
bool take_retry(retry_budget& budget, const pool_id& pool);

} // namespace geraniumdoor
