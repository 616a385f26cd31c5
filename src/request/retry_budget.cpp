#include <geraniumdoor/request/retry_budget.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

double& available_retries(retry_budget& budget, const pool_id& pool)
{
    auto* retries = budget.m_available_retries.find(pool);
    return retries != nullptr ? *retries
                              : budget.m_available_retries.put(pool, max_saved_retries);
}

} // namespace

void record_first_attempt(retry_budget& budget, const pool_id& pool)
{
    auto& retries = available_retries(budget, pool);
    retries = std::min(retries + retries_per_first_attempt, max_saved_retries);
}

bool take_retry(retry_budget& budget, const pool_id& pool)
{
    auto& retries = available_retries(budget, pool);
    if (retries < 1)
    {
        return false;
    }
    retries -= 1;
    return true;
}

} // namespace geraniumdoor
