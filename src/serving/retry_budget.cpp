#include <geraniumdoor/serving/retry_budget.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

/// Share of the limit that is used. The rest is a margin for hosts that start in the
/// meantime and for requests that arrive in a later window than the one they were sent
/// in.
constexpr double used_share = 0.75;

void remove_before(std::deque<time_point>& times, time_point window_start)
{
    while (!times.empty() && times.front() < window_start)
    {
        times.pop_front();
    }
}

} // namespace

void record_first_attempt(retry_budget& budget, const pool_id& pool, time_point now)
{
    send_history& history = budget.m_pools[pool];
    history.m_first_attempts.push_back(now);
    remove_before(history.m_first_attempts, now - budget.m_limits.m_window);
}

bool may_retry(retry_budget& budget, const pool_id& pool, std::size_t hosts,
               time_point now)
{
    send_history& history = budget.m_pools[pool];
    const time_point window_start = now - budget.m_limits.m_window;
    remove_before(history.m_first_attempts, window_start);
    remove_before(history.m_retries, window_start);
    const double slack =
        budget.m_limits.m_slack / static_cast<double>(std::max<std::size_t>(1, hosts));
    const double allowed =
        budget.m_limits.m_ratio * static_cast<double>(history.m_first_attempts.size()) +
        slack;
    return static_cast<double>(history.m_retries.size()) + 1 <= used_share * allowed;
}

void record_retry(retry_budget& budget, const pool_id& pool, time_point now)
{
    budget.m_pools[pool].m_retries.push_back(now);
}

} // namespace geraniumdoor::serving
