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

bool is_result_of(const node_message& message, std::uint64_t job)
{
    const auto* result = std::get_if<pieces_result>(&message);
    return result != nullptr && result->m_job == job;
}

bool is_kept_kind(const node_message& message)
{
    return std::holds_alternative<pieces_result>(message) ||
           std::holds_alternative<results_release>(message) ||
           std::holds_alternative<pieces_cancel>(message);
}

/// Whether two messages about results say the same.
bool is_same(const node_message& left, const node_message& right)
{
    if (const auto* result = std::get_if<pieces_result>(&left))
    {
        return is_result_of(right, result->m_job);
    }
    if (const auto* cancel = std::get_if<pieces_cancel>(&left))
    {
        const auto* other = std::get_if<pieces_cancel>(&right);
        return other != nullptr && other->m_job == cancel->m_job;
    }
    const auto* release = std::get_if<results_release>(&left);
    const auto* other = std::get_if<results_release>(&right);
    return release != nullptr && other != nullptr &&
           other->m_handles == release->m_handles;
}

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

void result_delivery::send(const node_id& host, node_message message)
{
    if (host != m_state.m_own_report.m_node && is_kept_kind(message))
    {
        m_kept.push_back({host, message, now(), false});
    }
    m_send(host, std::move(message));
}

bool result_delivery::send_result_again(const node_id& host, std::uint64_t job)
{
    for (kept_message& kept : m_kept)
    {
        if (kept.m_host == host && is_result_of(kept.m_message, job))
        {
            kept.m_is_lost = true;
            return true;
        }
    }
    return false;
}

void result_delivery::on_connection_lost(const node_id& host)
{
    for (kept_message& kept : m_kept)
    {
        kept.m_is_lost = kept.m_is_lost || kept.m_host == host;
    }
}

void result_delivery::on_not_sent(const node_id& host, const node_message& message)
{
    for (kept_message& kept : m_kept)
    {
        if (kept.m_host == host && is_same(kept.m_message, message))
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
    for (kept_message& kept : m_kept)
    {
        if (std::exchange(kept.m_is_lost, false))
        {
            m_send(kept.m_host, kept.m_message);
            ++counts[kept.m_host];
        }
    }
    for (const auto& [host, count] : counts)
    {
        log_event{"results_sent_again"}.add("host", host).add("messages", count);
    }
}

} // namespace geraniumdoor::edge
