#include "dispatcher_internal.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace geraniumdoor::dispatcher_detail
{

namespace
{

/// Bounds the time of one pass when many queued calls exclude the free upstreams.
constexpr std::size_t max_deferred = 8;

/// Result of evaluating all upstreams of a pool for one call.
struct upstream_choice
{
    upstream_row* m_row = nullptr;
    std::uint32_t m_counted = 0;
    std::uint32_t m_limit = 1;
    const char* m_reason = "least_loaded";
    /// Number of rejected upstreams by rejection.
    std::array<std::uint32_t, 6> m_rejected{};
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_total_slots = 0;
};

std::uint32_t rejected_for(const upstream_choice& choice, rejection reason)
{
    return choice.m_rejected[static_cast<std::size_t>(reason)];
}

bool is_excluded(const stage_call& call, const upstream_id& id)
{
    const auto& excluded = call.m_excluded;
    return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

/// Occupied and usable slots of one upstream.
struct slot_use
{
    std::uint32_t m_counted = 0;
    std::uint32_t m_usable = 0;
};

slot_use use_of(const upstream_row& row, time_point now)
{
    return {counted_outstanding(row, now), usable_limit(row.m_limit, now)};
}

rejection find_rejection(const upstream_row& row, const stage_call& call,
                         const slot_use& use)
{
    if (!call.m_excluded.empty() && is_excluded(call, row.m_record.m_id))
    {
        return rejection::excluded;
    }
    if (use.m_counted < use.m_usable)
    {
        return rejection::none;
    }
    return row.m_limit.m_backing_off ? rejection::backing_off : rejection::busy;
}

bool is_eligible(const upstream_row& row, time_point now)
{
    return row.m_authority_until > now && !is_withdrawn(row);
}

/// Compares outstanding / limit by cross-multiplication.
bool is_less_loaded(std::uint32_t counted, std::uint32_t limit,
                    const upstream_choice& choice)
{
    return std::uint64_t{counted} * choice.m_limit <
           std::uint64_t{choice.m_counted} * limit;
}

void consider_upstream(upstream_choice& choice, upstream_row& row, const stage_call& call,
                       time_point now)
{
    if (!is_eligible(row, now))
    {
        const bool withdrawn = row.m_authority_until > now;
        const auto reason = withdrawn ? rejection::withdrawn : rejection::no_authority;
        ++choice.m_rejected[static_cast<std::size_t>(reason)];
        return;
    }
    const slot_use use = use_of(row, now);
    choice.m_total_slots += use.m_usable;
    choice.m_free_slots += use.m_usable - std::min(use.m_usable, use.m_counted);
    const rejection reason = find_rejection(row, call, use);
    if (reason != rejection::none)
    {
        ++choice.m_rejected[static_cast<std::size_t>(reason)];
        return;
    }
    const std::uint32_t limit = row.m_limit.m_limit;
    if (choice.m_row == nullptr || is_less_loaded(use.m_counted, limit, choice))
    {
        choice.m_row = &row;
        choice.m_counted = use.m_counted;
        choice.m_limit = limit;
    }
}

void prefer_known_prefix(upstream_choice& choice, dispatcher_state& state,
                         const pool_row& pool, const stage_call& call,
                         const std::vector<std::uint64_t>& hashes, time_point now)
{
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash)
    {
        const auto served = pool.m_prefixes.m_last_served.find(*hash);
        if (served == pool.m_prefixes.m_last_served.end())
        {
            continue;
        }
        upstream_row* row = state.m_upstreams.find(served->second);
        if (row != nullptr && is_eligible(*row, now) &&
            find_rejection(*row, call, use_of(*row, now)) == rejection::none)
        {
            choice.m_row = row;
            choice.m_reason = "known_prefix";
            return;
        }
    }
}

upstream_choice choose_upstream(dispatcher_state& state, pool_row& pool,
                                const stage_call& call, time_point now)
{
    upstream_choice choice;
    const std::size_t count = pool.m_upstreams.size();
    // A random start distributes calls over upstreams with equal load.
    std::size_t at =
        count == 0 ? 0 : uniform_below(state.m_random, static_cast<std::uint32_t>(count));
    for (std::size_t seen = 0; seen < count; ++seen)
    {
        auto& entry = *(state.m_upstreams.begin() +
                        static_cast<std::ptrdiff_t>(pool.m_upstreams[at]));
        consider_upstream(choice, entry.m_row, call, now);
        at = at + 1 == count ? 0 : at + 1;
    }
    pool.m_free_slots = choice.m_free_slots;
    pool.m_total_slots = choice.m_total_slots;
    return choice;
}

void require_dispatchable(const upstream_row& row, const limit_bounds& bounds,
                          time_point now)
{
    const std::string& id = row.m_record.m_id.m_value;
    require_invariant(now < row.m_authority_until, "dispatch_needs_authority", id);
    require_invariant(!row.m_record.m_leaving && !row.m_reported_leaving &&
                          !row.m_delisted,
                      "no_dispatch_to_leaving_upstream", id);
    require_invariant(!row.m_data_centre_out, "no_dispatch_into_out_data_centre", id);
    const std::uint32_t after = counted_outstanding(row, now) + 1;
    require_invariant(after <= row.m_limit.m_limit, "outstanding_within_limit", id);
    const bool cold = row.m_limit.m_limit <= bounds.m_cold || row.m_limit.m_backing_off;
    require_invariant(!cold || after <= bounds.m_cold, "cold_limit", id);
}

void log_route(const call_row& call, const upstream_choice& choice)
{
    const auto& rejected = choice.m_rejected;
    log_event{"route"}
        .add("request", to_string(call.m_call.m_key.m_request))
        .add("stage", call.m_call.m_key.m_stage)
        .add("attempt", call.m_call.m_key.m_attempt)
        .add("upstream", choice.m_row->m_record.m_id)
        .add("reason", choice.m_reason)
        .add("rejected", std::accumulate(rejected.begin(), rejected.end(), 0U));
}

milliseconds timeout_of(const call_row& call, const pool_row& pool, time_point now)
{
    const milliseconds pool_timeout = pool.m_config.m_timeout;
    if (!call.m_call.m_idempotent)
    {
        // The outcome must be recorded in the request's claim even after the deadline.
        return pool_timeout;
    }
    const auto left = std::chrono::ceil<milliseconds>(call.m_deadline - now);
    return std::min(pool_timeout, left);
}

void start_call(dispatcher_state& state, pool_row& pool, call_row& call,
                const upstream_choice& choice, time_point now,
                std::vector<dispatcher_action>& actions)
{
    upstream_row& row = *choice.m_row;
    require_dispatchable(row, bounds_of(pool.m_config), now);
    const upstream_call_id id{++state.m_last_call_id};
    if (row.m_outstanding == 0)
    {
        row.m_last_activity = now;
    }
    ++row.m_outstanding;
    pool.m_free_slots -= std::min(1U, pool.m_free_slots);
    call.m_upstream_call = id;
    call.m_next_token = static_cast<std::uint32_t>(call.m_call.m_delivered.size());
    running_row running;
    running.m_key = call.m_call.m_key;
    running.m_upstream = row.m_record.m_id;
    running.m_pool = call.m_call.m_pool;
    running.m_dispatched = now;
    state.m_running.put(id, std::move(running));
    log_route(call, choice);
    actions.push_back(start_upstream_call{id, row.m_record.m_id, row.m_record.m_endpoint,
                                          pool.m_config.m_kind,
                                          timeout_of(call, pool, now), call.m_call});
}

/// Records the attempt of a non-idempotent call as dispatched. Returns whether the call
/// may be dispatched; otherwise it was answered as a duplicate.
bool record_dispatch(dispatcher_state& state, const call_row& call,
                     std::vector<dispatcher_action>& actions)
{
    if (call.m_call.m_idempotent)
    {
        return true;
    }
    const bool first = record_attempt(state.m_attempts, call.m_call.m_attempt_id,
                                      attempt_state::dispatched, attempt_expiry(call));
    if (!first)
    {
        stage_result result;
        result.m_reason = call_reason::duplicate_attempt;
        finish_call(state, call.m_call.m_key, std::move(result), actions);
    }
    return first;
}

bool can_wait(const upstream_choice& choice)
{
    return rejected_for(choice, rejection::busy) > 0;
}

call_reason refusal_reason(const upstream_choice& choice)
{
    const bool others = rejected_for(choice, rejection::withdrawn) > 0 ||
                        rejected_for(choice, rejection::backing_off) > 0 ||
                        rejected_for(choice, rejection::excluded) > 0;
    return others ? call_reason::no_capacity : call_reason::no_authority;
}

enum class dispatch_outcome : std::uint8_t
{
    left_queue,
    all_free_excluded,
    all_busy,
};

dispatch_outcome try_dispatch(dispatcher_state& state, pool_row& pool, call_row& call,
                              time_point now, std::vector<dispatcher_action>& actions)
{
    const call_key key = call.m_call.m_key;
    if (call.m_deadline <= now)
    {
        refuse_call(state, key, call_reason::deadline, actions);
        return dispatch_outcome::left_queue;
    }
    upstream_choice choice = choose_upstream(state, pool, call.m_call, now);
    if (choice.m_row == nullptr)
    {
        if (can_wait(choice))
        {
            return choice.m_free_slots > 0 ? dispatch_outcome::all_free_excluded
                                           : dispatch_outcome::all_busy;
        }
        refuse_call(state, key, refusal_reason(choice), actions);
        return dispatch_outcome::left_queue;
    }
    std::vector<std::uint64_t> hashes;
    if (pool.m_config.m_kind == stage_kind::generate)
    {
        hashes = prefix_hashes(call.m_call.m_input);
        prefer_known_prefix(choice, state, pool, call.m_call, hashes, now);
        record_prefix(pool.m_prefixes, hashes, choice.m_row->m_record.m_id);
    }
    if (record_dispatch(state, call, actions))
    {
        start_call(state, pool, call, choice, now, actions);
    }
    return dispatch_outcome::left_queue;
}

} // namespace

void dispatch_queued(dispatcher_state& state, const pool_id& id, time_point now,
                     std::vector<dispatcher_action>& actions)
{
    pool_row* pool = state.m_pools.find(id);
    std::vector<call_key> deferred;
    while (pool != nullptr && deferred.size() < max_deferred)
    {
        const auto key = pop_call(pool->m_queue);
        if (!key)
        {
            break;
        }
        auto& call = state.m_calls.at(*key);
        const dispatch_outcome end = try_dispatch(state, *pool, call, now, actions);
        if (end != dispatch_outcome::left_queue)
        {
            deferred.push_back(*key);
        }
        if (end == dispatch_outcome::all_busy)
        {
            break;
        }
    }
    for (auto key = deferred.rbegin(); key != deferred.rend(); ++key)
    {
        push_call_front(pool->m_queue, scheduling_class_of(state.m_calls.at(*key).m_call),
                        *key);
    }
}

} // namespace geraniumdoor::dispatcher_detail
