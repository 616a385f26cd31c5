#include <geraniumdoor/request/retry_budget.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

double& tokens_of(retry_budget& budget, const pool_id& pool)
{
    auto* tokens = budget.m_tokens.find(pool);
    return tokens != nullptr ? *tokens : budget.m_tokens.put(pool, retry_burst);
}

} // namespace

void record_first_attempt(retry_budget& budget, const pool_id& pool)
{
    auto& tokens = tokens_of(budget, pool);
    tokens = std::min(tokens + retry_ratio, retry_burst);
}

bool take_retry(retry_budget& budget, const pool_id& pool)
{
    auto& tokens = tokens_of(budget, pool);
    if (tokens < 1)
    {
        return false;
    }
    tokens -= 1;
    return true;
}

} // namespace geraniumdoor
