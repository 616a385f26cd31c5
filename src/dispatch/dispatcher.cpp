#include "dispatcher_internal.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

using namespace dispatcher_detail;

namespace
{

/// Calls beyond this number would wait longer than any deadline, even in a deployment of
/// the design size.
constexpr std::size_t max_queued = 4096;
/// Retention of an attempt id that was fenced by a query. It is well above the longest
/// deadline that the configuration allows, so that a late call with this id is refused.
constexpr seconds fenced_attempt_retention{120};

/// Answers a non-idempotent call whose attempt id was recorded before. Returns whether it
/// did.
bool answer_duplicate_attempt(dispatcher_state& state, const call_key& key,
                              std::vector<dispatcher_action>& actions)
{
    const call_row& call = state.m_calls.at(key);
    if (call.m_call.m_idempotent)
    {
        return false;
    }
    const auto* recorded = find_attempt(state.m_attempts, call.m_call.m_attempt_id);
    if (recorded == nullptr)
    {
        return false;
    }
    if (*recorded == attempt_state::fenced)
    {
        refuse_call(state, key, call_reason::duplicate_attempt, actions);
        return true;
    }
    stage_result result;
    result.m_reason = call_reason::duplicate_attempt;
    finish_call(state, key, std::move(result), actions);
    return true;
}

bool is_queue_full(const pool_row& pool, const stage_call& call)
{
    const std::size_t ahead = queued_ahead(pool.m_queue, call.m_priority);
    const bool too_long = ahead > 0 && expected_wait_ms(pool, ahead) >= call.m_budget_ms;
    return too_long || pool.m_queue.m_size >= max_queued;
}

void cancel_call(dispatcher_state& state, const call_key& key, call_reason reason,
                 std::vector<dispatcher_action>& actions)
{
    const call_row& call = state.m_calls.at(key);
    if (!call.m_upstream_call)
    {
        pool_row* pool = state.m_pools.find(call.m_call.m_pool);
        remove_call(pool->m_queue, scheduling_class_of(call.m_call), key);
        refuse_call(state, key, reason, actions);
        return;
    }
    abort_running(state, *call.m_upstream_call, actions);
    stage_result result;
    result.m_reason = reason;
    if (const auto* running = state.m_running.find(*call.m_upstream_call))
    {
        result.m_upstream = running->m_upstream;
    }
    finish_call(state, key, std::move(result), actions);
}

/// Returns the queued calls with the given attempt id.
std::vector<call_key> queued_with_attempt(const dispatcher_state& state,
                                          const attempt_id& id)
{
    std::vector<call_key> keys;
    for (const auto& [key, call] : state.m_calls)
    {
        if (!call.m_upstream_call && !call.m_call.m_idempotent &&
            call.m_call.m_attempt_id == id)
        {
            keys.push_back(key);
        }
    }
    return keys;
}

void refuse_expired(dispatcher_state& state, time_point now,
                    std::vector<dispatcher_action>& actions)
{
    std::vector<call_key> expired;
    for (const auto& [key, call] : state.m_calls)
    {
        if (!call.m_upstream_call && call.m_deadline <= now)
        {
            expired.push_back(key);
        }
    }
    for (const call_key& key : expired)
    {
        cancel_call(state, key, call_reason::deadline, actions);
    }
}

/// Applies a due raise, and starts the back-off of an unresponsive upstream.
void update_upstream(dispatcher_state& state, const pool_row& pool, upstream_row& row,
                     time_point now)
{
    const limit_bounds bounds = bounds_of(pool.m_config);
    apply_due_raise(row.m_limit, bounds, now);
    if (row.m_outstanding > 0 && now - row.m_last_activity >= pool.m_config.m_timeout)
    {
        record_unresponsive(row.m_limit, bounds, now, state.m_random);
        row.m_last_activity = now;
        log_event{"upstream_unresponsive"}
            .add("upstream", row.m_record.m_id)
            .add("outstanding", row.m_outstanding);
    }
}

void update_pool(dispatcher_state& state, pool_row& pool, time_point now)
{
    std::optional<double> best;
    std::uint32_t free = 0;
    std::uint32_t total = 0;
    for (const std::size_t at : pool.m_upstreams)
    {
        upstream_row& row =
            (state.m_upstreams.begin() + static_cast<std::ptrdiff_t>(at))->m_row;
        update_upstream(state, pool, row, now);
        if (row.m_authority_until <= now || is_withdrawn(row))
        {
            continue;
        }
        const std::uint32_t usable = usable_limit(row.m_limit, now);
        total += usable;
        free += usable - std::min(usable, counted_outstanding(row, now));
        if (const auto average = row.m_limit.m_average_ms_per_token)
        {
            best = std::min(best.value_or(*average), *average);
        }
    }
    pool.m_lowest_average_ms_per_token = best;
    pool.m_free_slots = free;
    pool.m_total_slots = total;
}

} // namespace

dispatcher_state make_dispatcher(incarnation self, std::uint64_t seed)
{
    dispatcher_state state;
    state.m_incarnation = self;
    state.m_random.seed(seed);
    return state;
}

void on_stage_call(dispatcher_state& state, const node_id& from, stage_call call,
                   time_point now, std::vector<dispatcher_action>& actions)
{
    const call_key key = call.m_key;
    const time_point deadline = now + milliseconds{call.m_budget_ms};
    call_row row{from, std::move(call), now, deadline, std::nullopt, 0};
    const auto [at, inserted] = state.m_calls.try_emplace(key, std::move(row));
    if (!inserted)
    {
        log_event{"duplicate_call"}
            .add("request", to_string(key.m_request))
            .add("stage", key.m_stage)
            .add("attempt", key.m_attempt);
        return;
    }
    ++state.m_accepted;
    const stage_call& accepted = at->second.m_call;
    if (answer_duplicate_attempt(state, key, actions))
    {
        return;
    }
    pool_row* pool = state.m_pools.find(accepted.m_pool);
    if (pool == nullptr)
    {
        refuse_call(state, key, call_reason::no_capacity, actions);
        return;
    }
    if (is_queue_full(*pool, accepted))
    {
        refuse_call(state, key, call_reason::queue_full, actions);
        return;
    }
    push_call(pool->m_queue, scheduling_class_of(accepted), key);
    const pool_id id = accepted.m_pool;
    dispatch_queued(state, id, now, actions);
}

void on_stage_cancel(dispatcher_state& state, const stage_cancel& cancel, time_point now,
                     std::vector<dispatcher_action>& actions)
{
    const auto found = state.m_calls.find(cancel.m_key);
    if (found == state.m_calls.end())
    {
        return;
    }
    const call_row& call = found->second;
    if (call.m_upstream_call && !call.m_call.m_idempotent)
    {
        return;
    }
    const pool_id pool = call.m_call.m_pool;
    cancel_call(state, cancel.m_key, call_reason::cancelled, actions);
    dispatch_queued(state, pool, now, actions);
}

attempt_status on_attempt_query(dispatcher_state& state, const attempt_query& query,
                                time_point now, std::vector<dispatcher_action>& actions)
{
    for (const call_key& key : queued_with_attempt(state, query.m_attempt_id))
    {
        cancel_call(state, key, call_reason::cancelled, actions);
    }
    record_attempt(state.m_attempts, query.m_attempt_id, attempt_state::fenced,
                   now + fenced_attempt_retention);
    const attempt_state recorded = *find_attempt(state.m_attempts, query.m_attempt_id);
    return {query.m_attempt_id, state.m_incarnation, recorded};
}

void tick(dispatcher_state& state, time_point now,
          std::vector<dispatcher_action>& actions)
{
    erase_expired_attempts(state.m_attempts, now);
    refuse_expired(state, now, actions);
    for (auto& pool : state.m_pools)
    {
        update_pool(state, pool.m_row, now);
        dispatch_queued(state, pool.m_id, now, actions);
    }
    require_invariant(state.m_accepted == state.m_finished + state.m_calls.size(),
                      "one_result_for_each_call");
}

pool_hint pool_hint_of(const dispatcher_state& state, const pool_id& id)
{
    const pool_row* pool = state.m_pools.find(id);
    if (pool == nullptr)
    {
        return {};
    }
    return {pool->m_free_slots, pool->m_total_slots,
            expected_wait_ms(*pool, pool->m_queue.m_size)};
}

std::size_t calls_in_progress(const dispatcher_state& state)
{
    return state.m_calls.size();
}

std::uint32_t outstanding_on(const dispatcher_state& state, const upstream_id& upstream)
{
    const upstream_row* row = state.m_upstreams.find(upstream);
    return row == nullptr ? 0 : row->m_outstanding;
}

} // namespace geraniumdoor
