#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace geraniumdoor
{

/// The upstreams of one pool that one owner holds, and the last known load there.
struct pool_owner
{
    node_id m_owner;
    std::vector<owned_upstream> m_upstreams;
    /// Sum of the concurrency limits of the upstreams.
    std::uint32_t m_limit = 0;
    pool_hint m_hint;
    bool m_has_hint = false;
    time_point m_hint_at;
    /// Calls sent by this coordinator that have not ended.
    std::uint32_t m_outstanding = 0;
    /// Calls sent since the hint arrived, which the hint does not include.
    std::uint32_t m_sent_since_hint = 0;
};

struct announced_owner
{
    incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
    std::vector<pool_id> m_pools;
};

/// Owners of the upstreams of each pool, as announced by the owners.
struct owner_routes
{
    table<node_id, announced_owner> m_owners;
    table<pool_id, std::vector<pool_owner>> m_pools;
    /// Data centres that are out of service and receive no new calls.
    std::vector<data_centre_id> m_excluded_data_centres;
};

/// Constraints of one routing decision.
struct owner_query
{
    pool_id m_pool;
    const std::vector<upstream_id>* m_excluded_upstreams = nullptr;
    const std::vector<node_id>* m_excluded_owners = nullptr;
};

struct owner_choice
{
    node_id m_owner;
    /// Number of candidates that were compared and not chosen.
    std::uint32_t m_rejected = 0;
};

/// Applies an announcement. Returns false if it is no newer than the last one applied.
bool apply_announcement(owner_routes& routes, const ownership_announce& announce);

void remove_owner(owner_routes& routes, const node_id& owner);

/// Chooses the better of two random owners of the pool that have an upstream which is
/// neither excluded nor in an excluded data centre. Returns nothing if there is none.
/// See Mitzenmacher, "The power of two choices in randomized load balancing",
/// IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
std::optional<owner_choice> choose_owner(const owner_routes& routes,
                                         const owner_query& query, random_source& random);

void record_call_sent(owner_routes& routes, const pool_id& pool, const node_id& owner);

/// Records the end of a call; the hint is absent if no result was received.
void record_call_end(owner_routes& routes, const pool_id& pool, const node_id& owner,
                     const std::optional<pool_hint>& hint, time_point now);

/// Mean queue wait over the owners of the pool, weighted by their limits. Hints older
/// than hint_ttl count as no wait: a refused request yields no new hint, so refusals
/// based on an expired one would never end.
milliseconds expected_wait(const owner_routes& routes, const pool_id& pool,
                           time_point now);

inline constexpr milliseconds hint_ttl{1000};

} // namespace geraniumdoor
