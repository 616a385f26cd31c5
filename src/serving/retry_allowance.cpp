#include <geraniumdoor/serving/retry_allowance.hpp>

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

void note_first_send(retry_allowance& allowance, const pool_id& pool, time_point now)
{
    pool_sends& sends = allowance.m_pools[pool];
    sends.m_first.push_back(now);
    drop_before(sends.m_first, now - allowance.m_bound.m_window);
}

bool may_repeat(retry_allowance& allowance, const pool_id& pool, std::size_t hosts,
                time_point now)
{
    pool_sends& sends = allowance.m_pools[pool];
    const time_point start = now - allowance.m_bound.m_window;
    drop_before(sends.m_first, start);
    drop_before(sends.m_repeats, start);
    const double slack =
        allowance.m_bound.m_slack / static_cast<double>(std::max<std::size_t>(1, hosts));
    const double allowed =
        allowance.m_bound.m_ratio * static_cast<double>(sends.m_first.size()) + slack;
    return static_cast<double>(sends.m_repeats.size()) + 1 <= used_share * allowed;
}

void note_repeat(retry_allowance& allowance, const pool_id& pool, time_point now)
{
    allowance.m_pools[pool].m_repeats.push_back(now);
}

} // namespace geraniumdoor::serving
