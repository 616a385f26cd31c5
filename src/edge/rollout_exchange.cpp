#include "rollout_exchange.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

constexpr milliseconds check_interval{200};

/// Routes whose usual times are kept at most; routes come and go with configurations.
constexpr std::size_t max_routes = 1000;

/// A host that was silent for so many report intervals does not count as heard.
constexpr int heard_intervals = 4;

} // namespace

rollout_exchange::rollout_exchange(edge_state& state, datagram_sender send,
                                   std::function<milliseconds(const pool_id&)> drain_time)
    : m_state{state}, m_send{std::move(send)}, m_drain_time{std::move(drain_time)}
{
}

void rollout_exchange::start()
{
    m_state.m_timers.every(check_interval,
                           [this](time_point)
                           {
                               check();
                           });
}

bool rollout_exchange::is_connected() const
{
    const time_point at = now();
    std::size_t live = 0;
    std::size_t heard = 0;
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        if (!is_live(host, at))
        {
            continue;
        }
        ++live;
        const milliseconds interval{host.m_report.m_interval_ms};
        heard += at - host.m_last_heard <= heard_intervals * interval ? 1 : 0;
    }
    const std::size_t possible = count_possible_senders(m_state.m_hosts, at) - 1;
    // Hosts that have gone for good count for a minute, so that half of them suffices.
    return 2 * heard >= live && 2 * live >= possible;
}

std::uint32_t rollout_exchange::in_progress_elsewhere(const rollout& entry) const
{
    std::uint32_t running = 0;
    for (const auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        const bool is_other = row.m_entry.m_pool == entry.m_order.m_pool &&
                              row.m_entry.m_version != entry.m_order.m_version;
        running += is_other ? row.m_running + row.m_results_held : 0;
    }
    return running;
}

rollout_view rollout_exchange::view_of(const rollout& entry) const
{
    rollout_view view;
    view.m_is_connected = is_connected();
    view.m_drain_time = m_drain_time(entry.m_order.m_pool);
    view.m_in_progress_elsewhere = in_progress_elsewhere(entry);
    for (const auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        const bool counts = row.m_entry.m_pool == entry.m_order.m_pool &&
                            !row.m_entry.m_leaving && !row.m_says_leaving;
        const bool is_new = row.m_entry.m_version == entry.m_order.m_version;
        view.m_upstreams += counts && is_new ? 1 : 0;
        view.m_others += counts && !is_new ? 1 : 0;
    }
    return view;
}

void rollout_exchange::apply()
{
    apply_rollouts(m_state.m_rollouts, m_state.m_upstreams, m_state.m_rollout_limits,
                   is_connected(), now());
}

void rollout_exchange::check()
{
    if (m_state.m_rollouts.m_orders.empty() &&
        !m_state.m_rollout_limits.m_holds_new_versions)
    {
        return;
    }
    for (auto& [pool, entry] : m_state.m_rollouts.m_orders)
    {
        if (advance(entry, view_of(entry), now()))
        {
            report_change(entry);
        }
    }
    apply();
    const milliseconds interval{m_state.m_own_report.m_interval_ms};
    if (now() - m_last_report >= interval)
    {
        send_reports();
    }
}

void rollout_exchange::send_reports()
{
    m_last_report = now();
    for (const auto& [pool, entry] : m_state.m_rollouts.m_orders)
    {
        const rollout_report report =
            make_rollout_report(entry, m_state.m_own_report, ++m_sequence,
                                in_progress_elsewhere(entry), now());
        for (const auto& [id, host] : m_state.m_hosts.m_hosts)
        {
            m_send(host.m_report.m_peer, report);
        }
    }
}

void rollout_exchange::report_change(const rollout& entry)
{
    const answer_counts sum = sum_counts(entry);
    const answer_count tried = count_new_version(sum);
    log_event{"rollout_phase"}
        .add("pool", entry.m_order.m_pool)
        .add("version", entry.m_order.m_version)
        .add("order", entry.m_order.m_id)
        .add("phase", to_text(entry.m_phase))
        .add("reason", entry.m_reason)
        .add("age_ms", to_ms(now() - entry.m_began_at))
        .add("answers", tried.m_answers)
        .add("faults", tried.m_faults)
        .add("slow", tried.m_slow);
    m_state.m_metrics.add("rollout_phases", {{"pool", entry.m_order.m_pool.m_value},
                                             {"phase", to_text(entry.m_phase)},
                                             {"reason", entry.m_reason}});
    // Others follow within the time of a datagram.
    m_last_report = {};
}

void rollout_exchange::on_report(const rollout_report& report)
{
    const auto at = m_state.m_rollouts.m_orders.find(pool_id{report.m_pool});
    if (apply_rollout_report(m_state.m_rollouts, report, now()))
    {
        report_change(at->second);
        apply();
    }
}

bool rollout_exchange::is_selected(const pool_id& pool, const attempt_id& request) const
{
    const auto at = m_state.m_rollouts.m_orders.find(pool);
    return at != m_state.m_rollouts.m_orders.end() &&
           serving::is_selected(at->second, m_state.m_rollout_limits, request.m_value);
}

void rollout_exchange::record_answer(const upstream& row, const std::string& route,
                                     const answer_time& taken, bool is_faulty,
                                     bool is_late)
{
    const pool_id& pool = row.m_entry.m_pool;
    const auto at = m_state.m_rollouts.m_orders.find(pool);
    const bool has_order = at != m_state.m_rollouts.m_orders.end();
    const std::uint8_t group = has_order ? row.m_version_group : 0;
    if (m_usual_times.size() >= max_routes)
    {
        m_usual_times.clear();
    }
    usual_time& usual = m_usual_times[pool.m_value + '/' + route];
    if (has_order)
    {
        const answer_quality quality = is_faulty ? answer_quality::faulty
                                       : is_late || is_slow(taken, usual)
                                           ? answer_quality::slow
                                           : answer_quality::sound;
        count_answer(at->second.m_counts, {id_hash(route), group}, quality);
        m_state.m_metrics.add("rollout_answers",
                              {{"pool", pool.m_value},
                               {"version", group == 0 ? "in_force" : "new"},
                               {"quality", to_text(quality)}});
    }
    if (group == 0 && !is_faulty && !is_late)
    {
        record_usual_time(usual, taken);
    }
}

bool rollout_exchange::may_finish(const rollout& entry) const
{
    std::vector<std::pair<node_id, incarnation>> others;
    const time_point at = now();
    constexpr seconds possible_sender_time{60};
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        if (at - host.m_last_heard < possible_sender_time)
        {
            others.emplace_back(id, host.m_report.m_incarnation);
        }
    }
    return serving::may_finish(entry, view_of(entry), others, at);
}

void rollout_exchange::enter(const pool_id& pool, rollout_phase phase, const char* reason)
{
    const auto at = m_state.m_rollouts.m_orders.find(pool);
    if (at != m_state.m_rollouts.m_orders.end() &&
        enter_phase(at->second, phase, reason, now()))
    {
        report_change(at->second);
        apply();
    }
}

} // namespace geraniumdoor::edge
