#include "result_delivery.hpp"

#include <geraniumdoor/base/log.hpp>

#include <map>
#include <utility>

namespace geraniumdoor::edge
{

namespace
{

/// Losses of both connections with a host fall into one interval.
constexpr milliseconds check_interval{50};

} // namespace

result_delivery::result_delivery(edge_state& state, message_sender send,
                                 milliseconds retention)
    : m_state{state}, m_send{std::move(send)}, m_retention{retention}
{
}

void result_delivery::start()
{
    m_state.m_timers.every(check_interval,
                           [this](time_point)
                           {
                               check_kept();
                           });
}

void result_delivery::send(const node_id& host, pieces_result result)
{
    if (host != m_state.m_own_report.m_node)
    {
        m_kept.push_back({host, result, now(), false});
    }
    m_send(host, std::move(result));
}

void result_delivery::on_connection_lost(const node_id& host)
{
    for (kept_result& kept : m_kept)
    {
        kept.m_is_lost = kept.m_is_lost || kept.m_host == host;
    }
}

void result_delivery::on_not_sent(const node_id& host, const node_message& message)
{
    const auto* result = std::get_if<pieces_result>(&message);
    if (result == nullptr)
    {
        return;
    }
    for (kept_result& kept : m_kept)
    {
        if (kept.m_host == host && kept.m_result.m_job == result->m_job)
        {
            kept.m_is_lost = true;
        }
    }
}

void result_delivery::check_kept()
{
    while (!m_kept.empty() && now() - m_kept.front().m_sent_at >= m_retention)
    {
        m_kept.pop_front();
    }
    std::map<node_id, std::size_t> counts;
    for (kept_result& kept : m_kept)
    {
        if (std::exchange(kept.m_is_lost, false))
        {
            m_send(kept.m_host, kept.m_result);
            ++counts[kept.m_host];
        }
    }
    for (const auto& [host, count] : counts)
    {
        log_event{"results_sent_again"}.add("host", host).add("results", count);
    }
}

} // namespace geraniumdoor::edge
