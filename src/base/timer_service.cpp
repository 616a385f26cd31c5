#include <geraniumdoor/base/timer_service.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

timer_service::timer_service(time_point start) : m_now{start} {}

timer_id timer_service::after(duration delay, callback call)
{
    return subscribe(delay, duration::zero(), std::move(call));
}

timer_id timer_service::every(duration period, callback call)
{
    return subscribe(period, period, std::move(call));
}

timer_id timer_service::subscribe(duration delay, duration period, callback call)
{
    const timer_id id{++m_last_sequence};
    const key at{m_now + delay, id.m_value};
    m_due.emplace(at, subscription{id, period, std::move(call)});
    m_by_id.emplace(id.m_value, at);
    return id;
}

void timer_service::cancel(timer_id id)
{
    const auto at = m_by_id.find(id.m_value);
    if (at == m_by_id.end())
    {
        return;
    }
    m_due.erase(at->second);
    m_by_id.erase(at);
}

void timer_service::advance_to(time_point now)
{
    m_now = std::max(m_now, now);
    while (!m_due.empty() && m_due.begin()->first.m_due <= m_now)
    {
        auto node = m_due.extract(m_due.begin());
        subscription& current = node.mapped();
        callback call = current.m_call;
        if (current.m_period > duration::zero())
        {
            const key next{m_now + current.m_period, node.key().m_sequence};
            m_by_id[current.m_id.m_value] = next;
            m_due.emplace(next, std::move(current));
        }
        else
        {
            m_by_id.erase(current.m_id.m_value);
        }
        call(m_now);
    }
}

time_point timer_service::next_due() const
{
    return m_due.empty() ? time_point::max() : m_due.begin()->first.m_due;
}

} // namespace geraniumdoor
