#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/stream_origins.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace geraniumdoor::serving
{

namespace
{

void drop_ended_streams(stream_origins& origins, time_point now)
{
    std::erase_if(origins.m_streams,
                  [&origins, now](const auto& entry)
                  {
                      return now - entry.second.m_began_at > origins.m_lifetime;
                  });
}

void drop_oldest_stream(stream_origins& origins)
{
    const auto oldest =
        std::min_element(origins.m_streams.begin(), origins.m_streams.end(),
                         [](const auto& left, const auto& right)
                         {
                             return left.second.m_began_at < right.second.m_began_at;
                         });
    origins.m_streams.erase(oldest);
}

} // namespace

stream_key key_of_stream(const attempt_id& first_attempt)
{
    return stream_key{stable_hash(first_attempt.m_value)};
}

void extend_lifetime(stream_origins& origins, const routing_config& config)
{
    for (const route& listed : config.m_routes)
    {
        origins.m_lifetime =
            std::max<duration>(origins.m_lifetime, listed.m_timeout + take_up_margin);
    }
}

std::vector<pool_id> observe_versions(stream_origins& origins,
                                      const upstream_table& upstreams, time_point now)
{
    std::set<pool_id> mixed_before;
    for (auto& [pool, history] : origins.m_pools)
    {
        std::erase_if(history.m_last_seen,
                      [&origins, now](const auto& entry)
                      {
                          return now - entry.second > origins.m_lifetime;
                      });
        if (history.m_last_seen.size() > 1)
        {
            mixed_before.insert(pool);
        }
    }
    for (const auto& [id, row] : upstreams.m_rows)
    {
        const auto [at, is_new] = origins.m_pools.try_emplace(row.m_entry.m_pool);
        if (is_new)
        {
            at->second.m_observed_since = now;
        }
        at->second.m_last_seen[row.m_entry.m_version] = now;
    }
    drop_ended_streams(origins, now);
    std::vector<pool_id> mixed_now;
    for (const auto& [pool, history] : origins.m_pools)
    {
        if (history.m_last_seen.size() > 1 && !mixed_before.contains(pool))
        {
            mixed_now.push_back(pool);
        }
    }
    return mixed_now;
}

bool has_several_versions(const stream_origins& origins, const pool_id& pool)
{
    const auto at = origins.m_pools.find(pool);
    return at != origins.m_pools.end() && at->second.m_last_seen.size() > 1;
}

bool is_complete(const stream_origins& origins, const table_view& registry)
{
    return origins.m_completed_at &&
           *origins.m_completed_at >= registry.m_continuous_since;
}

std::optional<software_version> only_version(const stream_origins& origins,
                                             const table_view& registry,
                                             const pool_id& pool, time_point now)
{
    const auto at = origins.m_pools.find(pool);
    if (!shows_absence(registry, now) || at == origins.m_pools.end() ||
        at->second.m_last_seen.size() != 1)
    {
        return std::nullopt;
    }
    const time_point observed_since =
        std::max(at->second.m_observed_since, registry.m_continuous_since);
    if (now - observed_since < origins.m_lifetime && !is_complete(origins, registry))
    {
        return std::nullopt;
    }
    return at->second.m_last_seen.begin()->first;
}

void record_origin(stream_origins& origins, stream_key stream, const known_origin& origin)
{
    if (origins.m_streams.contains(stream))
    {
        return;
    }
    if (origins.m_streams.size() >= max_stream_origins)
    {
        drop_oldest_stream(origins);
    }
    origins.m_streams.emplace(stream, origin);
}

std::vector<node_address> origin_hosts(const host_table& table, stream_key stream,
                                       time_point now)
{
    struct candidate
    {
        std::uint64_t m_weight = 0;
        const host_report* m_report = nullptr;
    };
    const std::string key = std::to_string(stream.m_value);
    std::vector<candidate> candidates;
    for (const auto& [id, host] : table.m_hosts)
    {
        if (is_live(host, now))
        {
            candidates.push_back({rendezvous_weight(key, id.m_value), &host.m_report});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right)
              {
                  return left.m_weight > right.m_weight;
              });
    std::vector<node_address> hosts;
    std::vector<node_address> others;
    std::set<data_centre_id> taken;
    for (const candidate& entry : candidates)
    {
        const bool is_first = taken.insert(entry.m_report->m_data_centre).second;
        (is_first ? hosts : others).push_back(entry.m_report->m_peer);
    }
    hosts.insert(hosts.end(), others.begin(), others.end());
    hosts.resize(std::min(hosts.size(), origin_holders));
    for (const candidate& entry : candidates)
    {
        const node_address& peer = entry.m_report->m_peer;
        if (entry.m_report->m_store_access == store_access::reading &&
            std::find(hosts.begin(), hosts.end(), peer) == hosts.end())
        {
            hosts.push_back(peer);
        }
    }
    return hosts;
}

origin_reply answer_origin_request(const stream_origins& origins,
                                   const table_view& registry,
                                   const origin_request& request, time_point now)
{
    origin_reply reply;
    reply.m_number = request.m_number;
    reply.m_view_age_ms = age_ms(registry, now);
    const auto known = origins.m_streams.find(stream_key{request.m_stream});
    if (known != origins.m_streams.end())
    {
        reply.m_finding = origin_finding::recorded;
        reply.m_version = known->second.m_version.m_value;
        return reply;
    }
    const pool_id pool{request.m_pool};
    if (has_several_versions(origins, pool))
    {
        reply.m_finding = origin_finding::several_versions;
    }
    else if (const auto only = only_version(origins, registry, pool, now))
    {
        reply.m_finding = origin_finding::only_version;
        reply.m_version = only->m_value;
    }
    return reply;
}

const char* to_text(origin_source source)
{
    switch (source)
    {
    case origin_source::own_record:
        return "own_record";
    case origin_source::stored_record:
        return "stored_record";
    case origin_source::other_host:
        return "other_host";
    case origin_source::only_version:
        return "only_version";
    case origin_source::unknown:
        return "unknown";
    }
    return "unknown";
}

origin_decision decide_origin(const stream_origins& origins, const table_view& registry,
                              stream_key stream, const pool_id& pool,
                              const origin_answers& answers, time_point now)
{
    const auto own = origins.m_streams.find(stream);
    if (own != origins.m_streams.end())
    {
        return {own->second.m_version, own->second.m_was_stored
                                           ? origin_source::stored_record
                                           : origin_source::own_record};
    }
    bool has_several = has_several_versions(origins, pool);
    const bool is_alone = answers.m_asked == 0;
    bool is_current = shows_absence(registry, now);
    std::set<software_version> only;
    for (const origin_reply& reply : answers.m_replies)
    {
        const software_version version{reply.m_version};
        const bool shows =
            shows_absence(view_of_age(reply.m_view_age_ms, answers.m_asked_at), now);
        is_current |= shows;
        if (reply.m_finding == origin_finding::recorded)
        {
            return {version, origin_source::other_host};
        }
        if (reply.m_finding == origin_finding::only_version && shows)
        {
            only.insert(version);
        }
        has_several |= reply.m_finding == origin_finding::several_versions;
    }
    const auto at = origins.m_pools.find(pool);
    if (at == origins.m_pools.end() || at->second.m_last_seen.empty())
    {
        return {};
    }
    if (has_several)
    {
        const bool is_final =
            is_current && answers.m_replies.size() >= answers.m_asked &&
            now - at->second.m_observed_since >= stored_origins_read_time;
        return {std::nullopt, origin_source::unknown, is_final};
    }
    const software_version& listed = at->second.m_last_seen.begin()->first;
    const bool knows_itself = (is_alone || !answers.m_replies.empty()) &&
                              only_version(origins, registry, pool, now).has_value();
    const bool is_certain = !only.empty() || knows_itself;
    only.insert(listed);
    if (!is_certain || only.size() > 1)
    {
        return {};
    }
    return {listed, origin_source::only_version};
}

bool has_upstream_of(const upstream_table& table, const pool_id& pool,
                     const std::optional<software_version>& version)
{
    for (const auto& [id, row] : table.m_rows)
    {
        if (row.m_entry.m_pool == pool && accepts_work(table, row) &&
            has_version(row, version))
        {
            return true;
        }
    }
    return false;
}

} // namespace geraniumdoor::serving
