#include "dispatcher_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace geraniumdoor
{

using namespace dispatcher_detail;

namespace
{

/// Returns the row of an upstream, adding it when missing. A row that is not in the host
/// list yet is marked m_delisted, so that nothing is dispatched to it.
upstream_row& find_or_add_row(dispatcher_state& state, const upstream_id& id,
                              time_point now)
{
    if (upstream_row* known = state.m_upstreams.find(id))
    {
        return *known;
    }
    upstream_row row;
    row.m_record.m_id = id;
    row.m_delisted = true;
    row.m_limit = initial_limit(limit_bounds{}, now);
    return state.m_upstreams.put(id, std::move(row));
}

void index_upstreams(dispatcher_state& state)
{
    for (auto& pool : state.m_pools)
    {
        pool.m_row.m_upstreams.clear();
    }
    std::size_t at = 0;
    for (const auto& upstream : state.m_upstreams)
    {
        if (pool_row* pool = state.m_pools.find(upstream.m_row.m_record.m_pool))
        {
            pool->m_upstreams.push_back(at);
        }
        ++at;
    }
}

void erase_idle_delisted(dispatcher_state& state, time_point now)
{
    std::vector<upstream_id> idle;
    for (const auto& [id, row] : state.m_upstreams)
    {
        if (row.m_delisted && row.m_outstanding == 0 && row.m_authority_until <= now &&
            row.m_inherited_until <= now)
        {
            idle.push_back(id);
        }
    }
    for (const upstream_id& id : idle)
    {
        state.m_upstreams.erase(id);
    }
}

void update_record(dispatcher_state& state, upstream_row& row,
                   const upstream_record& record, time_point now)
{
    const bool moved = row.m_record.m_endpoint != record.m_endpoint ||
                       row.m_record.m_pool != record.m_pool;
    const bool first_listed = row.m_record.m_pool.m_value.empty();
    row.m_record = record;
    row.m_delisted = false;
    row.m_listed_leaving = record.m_leaving;
    row.m_data_centre_out = state.m_data_centres_out.contains(record.m_data_centre);
    const limit_bounds bounds = bounds_of(state, row);
    clamp_limit(row.m_limit, bounds);
    if (moved && !first_listed)
    {
        reset_limit(row.m_limit, bounds, now);
    }
}

std::vector<call_key> queued_in(const dispatcher_state& state, const pool_id& pool)
{
    std::vector<call_key> keys;
    for (const auto& [key, call] : state.m_calls)
    {
        if (!call.m_upstream_call && call.m_call.m_pool == pool)
        {
            keys.push_back(key);
        }
    }
    return keys;
}

void erase_pool(dispatcher_state& state, const pool_id& pool,
                std::vector<dispatcher_action>& actions)
{
    for (const call_key& key : queued_in(state, pool))
    {
        refuse_call(state, key, call_reason::no_capacity, actions);
    }
    state.m_pools.erase(pool);
}

void put_pool(dispatcher_state& state, const pool_config& config)
{
    if (pool_row* known = state.m_pools.find(config.m_id))
    {
        known->m_config = config;
        return;
    }
    pool_row row;
    row.m_config = config;
    state.m_pools.put(config.m_id, std::move(row));
}

void dispatch_all_queued(dispatcher_state& state, time_point now,
                         std::vector<dispatcher_action>& actions)
{
    for (auto& pool : state.m_pools)
    {
        dispatch_queued(state, pool.m_id, now, actions);
    }
}

} // namespace

void set_pools(dispatcher_state& state, const std::vector<pool_config>& pools,
               time_point now, std::vector<dispatcher_action>& actions)
{
    std::unordered_set<pool_id> configured;
    for (const pool_config& config : pools)
    {
        configured.insert(config.m_id);
        put_pool(state, config);
    }
    std::vector<pool_id> removed;
    for (const auto& pool : state.m_pools)
    {
        if (!configured.contains(pool.m_id))
        {
            removed.push_back(pool.m_id);
        }
    }
    for (const pool_id& pool : removed)
    {
        erase_pool(state, pool, actions);
    }
    for (auto& upstream : state.m_upstreams)
    {
        clamp_limit(upstream.m_row.m_limit, bounds_of(state, upstream.m_row));
    }
    index_upstreams(state);
    dispatch_all_queued(state, now, actions);
}

void set_upstreams(dispatcher_state& state, const std::vector<upstream_record>& records,
                   time_point now)
{
    for (auto& upstream : state.m_upstreams)
    {
        upstream.m_row.m_delisted = true;
    }
    for (const upstream_record& record : records)
    {
        update_record(state, find_or_add_row(state, record.m_id, now), record, now);
    }
    erase_idle_delisted(state, now);
    index_upstreams(state);
}

void set_authority(dispatcher_state& state, const upstream_id& upstream, time_point until)
{
    if (upstream_row* row = state.m_upstreams.find(upstream))
    {
        row->m_authority_until = until;
    }
}

void take_over(dispatcher_state& state, const upstream_id& upstream,
               const std::optional<handover_state>& from, time_point now)
{
    const bool known = state.m_upstreams.find(upstream) != nullptr;
    upstream_row& row = find_or_add_row(state, upstream, now);
    row.m_limit = initial_limit(bounds_of(state, row), now);
    row.m_reported_leaving = false;
    if (from)
    {
        row.m_limit.m_limit = std::max(from->m_limit, row.m_limit.m_limit);
        row.m_limit.m_incarnation = from->m_upstream_incarnation;
        row.m_inherited_outstanding = from->m_outstanding;
        row.m_inherited_until = now + from->m_longest_call;
    }
    if (known)
    {
        clamp_limit(row.m_limit, bounds_of(state, row));
    }
    index_upstreams(state);
    log_event{"take_over"}
        .add("upstream", upstream)
        .add("limit", row.m_limit.m_limit)
        .add("inherited_outstanding", row.m_inherited_outstanding);
}

void set_inherited_outstanding(dispatcher_state& state, const upstream_id& upstream,
                               std::uint32_t outstanding)
{
    if (upstream_row* row = state.m_upstreams.find(upstream))
    {
        row->m_inherited_outstanding =
            std::min(row->m_inherited_outstanding, outstanding);
    }
}

void set_data_centre_out(dispatcher_state& state, const data_centre_id& data_centre,
                         bool out, time_point now)
{
    if (out)
    {
        state.m_data_centres_out.insert(data_centre);
    }
    else
    {
        state.m_data_centres_out.erase(data_centre);
    }
    for (auto& upstream : state.m_upstreams)
    {
        upstream_row& row = upstream.m_row;
        if (row.m_record.m_data_centre != data_centre || row.m_data_centre_out == out)
        {
            continue;
        }
        row.m_data_centre_out = out;
        reset_limit(row.m_limit, bounds_of(state, row), now);
    }
}

void on_load_report(dispatcher_state& state, const load_report& report, time_point now,
                    std::vector<dispatcher_action>& actions)
{
    upstream_row* row = state.m_upstreams.find(report.m_upstream);
    if (row == nullptr)
    {
        return;
    }
    const limit_bounds bounds = bounds_of(state, *row);
    apply_load_report(row->m_limit, bounds, report.m_incarnation,
                      report.m_cold ? 0 : report.m_sustained, now);
    record_incarnation(row->m_limit, bounds, report.m_incarnation, now);
    if (report.m_cold)
    {
        reset_limit(row->m_limit, bounds, now);
    }
    row->m_reported_leaving = report.m_leaving;
    dispatch_queued(state, row->m_record.m_pool, now, actions);
}

} // namespace geraniumdoor
