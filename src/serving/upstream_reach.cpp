#include <geraniumdoor/serving/upstream_reach.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor::serving
{

bool record_direct_success(pool_reach& reach, const upstream_id& upstream, time_point now)
{
    const bool was_cut_off = std::exchange(reach.m_is_cut_off, false);
    reach.m_reached_at = now;
    reach.m_paths.erase(upstream);
    if (reach.m_paths.empty())
    {
        reach.m_asked.clear();
    }
    // The other paths may be back, too.
    reach.m_last_probe = {};
    return was_cut_off;
}

bool record_direct_failure(pool_reach& reach, const upstream_id& upstream,
                           std::size_t usable, time_point now)
{
    reach.m_paths[upstream].m_failed_at = now;
    std::size_t detoured = 0;
    std::size_t undecided = 0;
    for (const auto& [id, path] : reach.m_paths)
    {
        if (path.m_is_detoured)
        {
            ++detoured;
        }
        else if (path.m_failed_at > reach.m_reached_at)
        {
            ++undecided;
        }
    }
    const bool is_cut_off =
        undecided >= min_unreached_upstreams || detoured + undecided >= usable;
    if (reach.m_is_cut_off || !is_cut_off)
    {
        return false;
    }
    reach.m_is_cut_off = true;
    reach.m_last_probe = {};
    return true;
}

void record_tunnel(pool_reach& reach, const upstream_id& upstream, const node_id& host,
                   bool is_open, time_point now)
{
    failed_path& path = reach.m_paths[upstream];
    path.m_is_detoured = is_open;
    if (is_open)
    {
        path.m_failed_hosts.erase(host);
    }
    else
    {
        path.m_failed_hosts[host] = now;
    }
}

void count_tunnel(pool_reach& reach, const node_id& host)
{
    if (++reach.m_asked[host] < max_asked)
    {
        return;
    }
    for (auto& [id, asked] : reach.m_asked)
    {
        asked /= 2;
    }
}

bool uses_detour(const pool_reach& reach, const upstream_id& upstream)
{
    const auto path = reach.m_paths.find(upstream);
    return reach.m_is_cut_off ||
           (path != reach.m_paths.end() && path->second.m_is_detoured);
}

void forget_paths(pool_reach& reach, const upstream_table& table, time_point now)
{
    std::erase_if(reach.m_paths,
                  [&](const auto& item)
                  {
                      const auto& [id, path] = item;
                      const bool is_old = !reach.m_is_cut_off && !path.m_is_detoured &&
                                          now - path.m_failed_at >= failed_path_lifetime;
                      return is_old || table.m_rows.find(id) == nullptr;
                  });
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

std::vector<std::uint32_t> unreached_hashes(const std::map<pool_id, pool_reach>& reached)
{
    std::vector<std::uint32_t> hashes;
    for (const auto& [pool, reach] : reached)
    {
        if (reach.m_is_cut_off)
        {
            hashes.push_back(id_hash(pool.m_value));
        }
    }
    for (const auto& [pool, reach] : reached)
    {
        for (const auto& [id, path] : reach.m_paths)
        {
            if (!reach.m_is_cut_off)
            {
                hashes.push_back(id_hash(id.m_value));
            }
        }
    }
    hashes.resize(std::min(hashes.size(), max_reported_unreached));
    return hashes;
}

const upstream* next_reach_probe(const pool_reach& reach, const upstream_table& table,
                                 const pool_id& pool, time_point now)
{
    if (now - reach.m_last_probe < reach_probe_interval)
    {
        return nullptr;
    }
    const upstream* next = nullptr;
    time_point next_failed_at{};
    for (const auto& [id, row] : table.m_rows)
    {
        const bool is_candidate = row.m_entry.m_pool == pool && uses_detour(reach, id) &&
                                  accepts_work(table, row);
        if (!is_candidate)
        {
            continue;
        }
        const auto path = reach.m_paths.find(id);
        const time_point failed_at =
            path == reach.m_paths.end() ? time_point{} : path->second.m_failed_at;
        if (next == nullptr || failed_at < next_failed_at)
        {
            next = &row;
            next_failed_at = failed_at;
        }
    }
    return next;
}

const peer_host* choose_tunnel_host(const host_table& table, const host_report& own,
                                    const pool_reach& reach, const upstream_entry& target,
                                    time_point now)
{
    const std::uint32_t pool_hash = id_hash(target.m_pool.m_value);
    const std::uint32_t upstream_hash = id_hash(target.m_id.m_value);
    const auto path = reach.m_paths.find(target.m_id);
    const peer_host* chosen = nullptr;
    double chosen_cost = 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const host_report& report = host.m_report;
        const bool has_failed =
            path != reach.m_paths.end() && path->second.m_failed_hosts.contains(id) &&
            now - path->second.m_failed_hosts.at(id) < failed_tunnel_hold;
        const bool reaches_target =
            std::none_of(report.m_unreached.begin(), report.m_unreached.end(),
                         [&](std::uint32_t hash)
                         {
                             return hash == pool_hash || hash == upstream_hash;
                         });
        const bool is_candidate = is_live(host, now) && report.m_ready &&
                                  !report.m_stopping && report.m_tunnel_port != 0 &&
                                  report.m_region == own.m_region && !has_failed &&
                                  reaches_target;
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
