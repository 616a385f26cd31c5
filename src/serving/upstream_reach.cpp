#include <geraniumdoor/serving/upstream_reach.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

bool record_direct_success(pool_reach& reach)
{
    const bool was_cut_off = reach.m_is_cut_off;
    reach = {};
    return was_cut_off;
}

bool record_direct_failure(pool_reach& reach, const upstream_id& upstream,
                           std::size_t usable, time_point now)
{
    reach.m_failed[upstream] = now;
    const std::size_t bound = std::clamp<std::size_t>(usable, 1, min_unreached_upstreams);
    if (reach.m_is_cut_off || reach.m_failed.size() < bound)
    {
        return false;
    }
    reach.m_is_cut_off = true;
    reach.m_last_probe = {};
    return true;
}

std::size_t count_usable(const upstream_table& table, const pool_id& pool)
{
    std::size_t count = 0;
    for (const auto& [id, row] : table.m_rows)
    {
        count += row.m_entry.m_pool == pool && accepts_work(table, row) ? 1 : 0;
    }
    return count;
}

const upstream* next_reach_probe(const pool_reach& reach, const upstream_table& table,
                                 const pool_id& pool, time_point now)
{
    if (!reach.m_is_cut_off || now - reach.m_last_probe < reach_probe_interval)
    {
        return nullptr;
    }
    const upstream* next = nullptr;
    time_point next_failed_at{};
    for (const auto& [id, row] : table.m_rows)
    {
        if (row.m_entry.m_pool != pool || !accepts_work(table, row))
        {
            continue;
        }
        const auto failed = reach.m_failed.find(id);
        const time_point failed_at =
            failed == reach.m_failed.end() ? time_point{} : failed->second;
        if (next == nullptr || failed_at < next_failed_at)
        {
            next = &row;
            next_failed_at = failed_at;
        }
    }
    return next;
}

const peer_host* choose_tunnel_host(const host_table& table, const host_report& own,
                                    const pool_reach& reach, const pool_id& pool,
                                    time_point now)
{
    const std::uint32_t pool_hash = id_hash(pool.m_value);
    const peer_host* chosen = nullptr;
    double chosen_cost = 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const host_report& report = host.m_report;
        const auto failed = reach.m_failed_hosts.find(id);
        const bool has_failed = failed != reach.m_failed_hosts.end() &&
                                now - failed->second < failed_tunnel_hold;
        const auto& unreached = report.m_unreached;
        const bool is_candidate =
            is_live(host, now) && report.m_ready && !report.m_stopping &&
            report.m_tunnel_port != 0 && report.m_region == own.m_region && !has_failed &&
            std::find(unreached.begin(), unreached.end(), pool_hash) == unreached.end();
        if (!is_candidate)
        {
            continue;
        }
        const auto asked = reach.m_asked.find(id);
        const double count = asked == reach.m_asked.end() ? 0 : asked->second;
        const double cost = (count + 1) / std::max<std::uint32_t>(1, report.m_processor);
        if (chosen == nullptr || cost < chosen_cost)
        {
            chosen = &host;
            chosen_cost = cost;
        }
    }
    return chosen;
}

} // namespace geraniumdoor::serving
