#include <geraniumdoor/serving/stored_origins.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

const software_version unreadable_version{"unreadable"};

std::vector<pool_id>
apply_stored_versions(stream_origins& origins,
                      const std::map<pool_id, stored_versions>& stored, time_point now)
{
    std::vector<pool_id> mixed;
    for (const auto& [pool, row] : stored)
    {
        const bool was_mixed = has_several_versions(origins, pool);
        const auto [at, is_new] = origins.m_pools.try_emplace(pool);
        if (is_new)
        {
            at->second.m_observed_since = now;
        }
        for (const software_version& version : row.m_versions)
        {
            at->second.m_last_seen.try_emplace(version, now);
        }
        if (!was_mixed && has_several_versions(origins, pool))
        {
            mixed.push_back(pool);
        }
    }
    origins.m_completed_at = now;
    return mixed;
}

std::set<software_version> versions_to_store(const stream_origins& origins,
                                             const pool_id& pool,
                                             const stored_versions& stored)
{
    const auto at = origins.m_pools.find(pool);
    if (at == origins.m_pools.end())
    {
        return stored.m_versions;
    }
    std::set<software_version> wanted;
    for (const auto& [version, last_seen] : at->second.m_last_seen)
    {
        if (stored.m_versions.contains(version) || last_seen >= stored.m_known_since)
        {
            wanted.insert(version);
        }
    }
    return wanted;
}

bool has_several_versions(const stream_origins& origins)
{
    return std::any_of(origins.m_pools.begin(), origins.m_pools.end(),
                       [](const auto& entry)
                       {
                           return entry.second.m_last_seen.size() > 1;
                       });
}

std::vector<stream_version> unsaved_streams(const stream_origins& origins,
                                            std::size_t max_count)
{
    std::vector<stream_version> streams;
    for (const auto& [stream, origin] : origins.m_streams)
    {
        if (!origin.m_is_saved && streams.size() < max_count)
        {
            streams.emplace_back(stream, origin.m_version);
        }
    }
    return streams;
}

void mark_saved(stream_origins& origins, const std::vector<stream_version>& streams)
{
    for (const auto& [stream, version] : streams)
    {
        const auto at = origins.m_streams.find(stream);
        if (at != origins.m_streams.end())
        {
            at->second.m_is_saved = true;
        }
    }
}

void mark_unsaved(stream_origins& origins)
{
    for (auto& [stream, origin] : origins.m_streams)
    {
        origin.m_is_saved = false;
    }
}

void apply_stored_stream(stream_origins& origins, const stream_version& stream,
                         time_point now)
{
    known_origin origin;
    origin.m_version = stream.second;
    origin.m_began_at = now;
    origin.m_is_saved = true;
    origin.m_was_stored = true;
    record_origin(origins, stream.first, origin);
    mark_saved(origins, {stream});
}

bool writes_stored_origins(const host_table& table, const host_report& own,
                           time_point now)
{
    return own.m_store_access == store_access::reading &&
           std::none_of(table.m_hosts.begin(), table.m_hosts.end(),
                        [&](const auto& entry)
                        {
                            const peer_host& host = entry.second;
                            return entry.first < own.m_node && is_live(host, now) &&
                                   host.m_report.m_store_access == store_access::reading;
                        });
}

} // namespace geraniumdoor::serving
