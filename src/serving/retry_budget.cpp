#include <geraniumdoor/serving/retry_budget.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

/// Part of the bound that is used; the rest covers hosts that start meanwhile and sends
/// that arrive in a later window than they left.
constexpr double used_share = 0.75;

void drop_before(std::deque<time_point>& times, time_point start)
{
    while (!times.empty() && times.front() < start)
    {
        times.pop_front();
    }
}

} // namespace

void record_first_attempt(retry_budget& allowance, const pool_id& pool, time_point now)
{
    send_history& sends = allowance.m_pools[pool];
    sends.m_first_attempts.push_back(now);
    drop_before(sends.m_first_attempts, now - allowance.m_limits.m_window);
}

bool may_retry(retry_budget& allowance, const pool_id& pool, std::size_t hosts,
               time_point now)
{
    send_history& sends = allowance.m_pools[pool];
    const time_point start = now - allowance.m_limits.m_window;
    drop_before(sends.m_first_attempts, start);
    drop_before(sends.m_retries, start);
    const double slack =
        allowance.m_limits.m_slack / static_cast<double>(std::max<std::size_t>(1, hosts));
    const double allowed =
        allowance.m_limits.m_ratio * static_cast<double>(sends.m_first_attempts.size()) +
        slack;
    return static_cast<double>(sends.m_retries.size()) + 1 <= used_share * allowed;
}

void record_retry(retry_budget& allowance, const pool_id& pool, time_point now)
{
    allowance.m_pools[pool].m_retries.push_back(now);
}

} // namespace geraniumdoor::serving
