#include <geraniumdoor/request/owner_selection.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

/// Random draws before falling back to a scan over all owners.
constexpr std::uint32_t max_draws = 8;

template<class T>
bool contains(const std::vector<T>* list, const T& value)
{
    return list != nullptr && std::find(list->begin(), list->end(), value) != list->end();
}

pool_owner* find_pool_owner(owner_routes& routes, const pool_id& pool,
                            const node_id& owner)
{
    auto* owners = routes.m_pools.find(pool);
    if (owners == nullptr)
    {
        return nullptr;
    }
    const auto at = std::find_if(owners->begin(), owners->end(),
                                 [&](const pool_owner& row)
                                 {
                                     return row.m_owner == owner;
                                 });
    return at == owners->end() ? nullptr : &*at;
}

void erase_pool_owner(owner_routes& routes, const pool_id& pool, const node_id& owner)
{
    if (auto* owners = routes.m_pools.find(pool))
    {
        std::erase_if(*owners,
                      [&](const pool_owner& row)
                      {
                          return row.m_owner == owner;
                      });
    }
}

pool_owner& find_or_add_pool_owner(owner_routes& routes, const pool_id& pool,
                                   const node_id& owner)
{
    if (auto* row = find_pool_owner(routes, pool, owner))
    {
        return *row;
    }
    auto* owners = routes.m_pools.find(pool);
    if (owners == nullptr)
    {
        owners = &routes.m_pools.put(pool, {});
    }
    owners->push_back(pool_owner{});
    owners->back().m_owner = owner;
    return owners->back();
}

/// Clears the upstream lists of the owner's pools but keeps their load estimates.
void clear_upstreams(owner_routes& routes, const node_id& owner,
                     const announced_owner& previous)
{
    for (const auto& pool : previous.m_pools)
    {
        if (auto* row = find_pool_owner(routes, pool, owner))
        {
            row->m_upstreams.clear();
            row->m_limit = 0;
        }
    }
}

bool is_usable(const owner_routes& routes, const owned_upstream& upstream,
               const owner_query& query)
{
    return !contains(&routes.m_excluded_data_centres, upstream.m_data_centre) &&
           !contains(query.m_excluded_upstreams, upstream.m_upstream);
}

bool is_eligible(const owner_routes& routes, const pool_owner& owner,
                 const owner_query& query)
{
    if (contains(query.m_excluded_owners, owner.m_owner))
    {
        return false;
    }
    return std::any_of(owner.m_upstreams.begin(), owner.m_upstreams.end(),
                       [&](const owned_upstream& upstream)
                       {
                           return is_usable(routes, upstream, query);
                       });
}

/// Free slots according to the last hint minus the calls sent since; negative if calls
/// are expected to queue.
double estimated_free_slots(const pool_owner& owner)
{
    const double free = owner.m_has_hint ? owner.m_hint.m_free_slots : owner.m_limit;
    const double sent = owner.m_has_hint ? owner.m_sent_since_hint : owner.m_outstanding;
    return free - sent;
}

bool is_better(const pool_owner& left, const pool_owner& right)
{
    const double left_free = estimated_free_slots(left);
    const double right_free = estimated_free_slots(right);
    if (left_free != right_free)
    {
        return left_free > right_free;
    }
    return left.m_hint.m_queue_wait_ms < right.m_hint.m_queue_wait_ms;
}

/// Picks a random eligible owner other than the given one.
const pool_owner* sample_owner(const owner_routes& routes,
                               const std::vector<pool_owner>& owners,
                               const owner_query& query, const pool_owner* other,
                               random_source& random)
{
    const auto count = static_cast<std::uint32_t>(owners.size());
    for (std::uint32_t draw = 0; draw < max_draws; ++draw)
    {
        const auto& candidate = owners[uniform_below(random, count)];
        if (&candidate != other && is_eligible(routes, candidate, query))
        {
            return &candidate;
        }
    }
    const auto first = uniform_below(random, count);
    for (std::uint32_t step = 0; step < count; ++step)
    {
        const auto& candidate = owners[(first + step) % count];
        if (&candidate != other && is_eligible(routes, candidate, query))
        {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace

bool apply_announcement(owner_routes& routes, const ownership_announce& announce)
{
    announced_owner previous;
    if (const auto* held = routes.m_owners.find(announce.m_owner))
    {
        if (std::pair{announce.m_incarnation, announce.m_sequence} <=
            std::pair{held->m_incarnation, held->m_sequence})
        {
            return false;
        }
        previous = *held;
    }
    if (previous.m_incarnation != announce.m_incarnation)
    {
        remove_owner(routes, announce.m_owner);
        previous.m_pools.clear();
    }
    clear_upstreams(routes, announce.m_owner, previous);
    announced_owner current{announce.m_incarnation, announce.m_sequence, {}};
    for (const auto& upstream : announce.m_upstreams)
    {
        auto& row = find_or_add_pool_owner(routes, upstream.m_pool, announce.m_owner);
        if (row.m_upstreams.empty())
        {
            current.m_pools.push_back(upstream.m_pool);
        }
        row.m_upstreams.push_back(upstream);
        row.m_limit += upstream.m_limit;
    }
    for (const auto& pool : previous.m_pools)
    {
        if (!contains(&current.m_pools, pool))
        {
            erase_pool_owner(routes, pool, announce.m_owner);
        }
    }
    routes.m_owners.put(announce.m_owner, std::move(current));
    return true;
}

void remove_owner(owner_routes& routes, const node_id& owner)
{
    if (const auto* held = routes.m_owners.find(owner))
    {
        for (const auto& pool : held->m_pools)
        {
            erase_pool_owner(routes, pool, owner);
        }
    }
    routes.m_owners.erase(owner);
}

std::optional<owner_choice> choose_owner(const owner_routes& routes,
                                         const owner_query& query, random_source& random)
{
    const auto* owners = routes.m_pools.find(query.m_pool);
    if (owners == nullptr || owners->empty())
    {
        return std::nullopt;
    }
    const auto* first = sample_owner(routes, *owners, query, nullptr, random);
    if (first == nullptr)
    {
        return std::nullopt;
    }
    const auto* second = sample_owner(routes, *owners, query, first, random);
    if (second == nullptr)
    {
        return owner_choice{first->m_owner, 0};
    }
    const auto* best = is_better(*second, *first) ? second : first;
    return owner_choice{best->m_owner, 1};
}

void record_call_sent(owner_routes& routes, const pool_id& pool, const node_id& owner)
{
    if (auto* row = find_pool_owner(routes, pool, owner))
    {
        ++row->m_outstanding;
        ++row->m_sent_since_hint;
    }
}

void record_call_end(owner_routes& routes, const pool_id& pool, const node_id& owner,
                     const std::optional<pool_hint>& hint, time_point now)
{
    auto* row = find_pool_owner(routes, pool, owner);
    if (row == nullptr)
    {
        return;
    }
    row->m_outstanding -= row->m_outstanding == 0 ? 0 : 1;
    if (hint)
    {
        row->m_hint = *hint;
        row->m_has_hint = true;
        row->m_hint_at = now;
        row->m_sent_since_hint = 0;
    }
}

milliseconds expected_wait(const owner_routes& routes, const pool_id& pool,
                           time_point now)
{
    const auto* owners = routes.m_pools.find(pool);
    std::uint64_t weighted = 0;
    std::uint64_t limits = 0;
    if (owners != nullptr)
    {
        for (const auto& row : *owners)
        {
            const bool fresh = row.m_has_hint && now - row.m_hint_at <= hint_ttl;
            const std::uint64_t wait_ms = fresh ? row.m_hint.m_queue_wait_ms : 0;
            weighted += row.m_limit * wait_ms;
            limits += row.m_limit;
        }
    }
    return milliseconds{limits == 0 ? 0 : weighted / limits};
}

} // namespace geraniumdoor
