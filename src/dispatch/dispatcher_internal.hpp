#pragma once

#include <geraniumdoor/dispatch/dispatcher.hpp>

#include <cstdint>
#include <vector>

// Parts of the dispatcher that its source files share.

namespace geraniumdoor::dispatcher_detail
{

/// Why an upstream cannot take a call now.
enum class rejection : std::uint8_t
{
    none,
    no_authority,
    /// Leaving, gone, or in a data centre that is out.
    withdrawn,
    backing_off,
    busy,
    excluded,
};

limit_bounds bounds_of(const pool_config& config);

/// Bounds of the upstream's pool; the defaults while the pool is unknown.
limit_bounds bounds_of(const dispatcher_state& state, const upstream_row& row);

queue_place place_of(const stage_call& call);

/// Calls that count against the limit, those of an earlier owner included.
std::uint32_t counted_outstanding(const upstream_row& row, time_point now);

/// Whether the upstream is leaving, gone, or in a data centre that is out.
bool is_withdrawn(const upstream_row& row);

/// Sends the one result of the call and forgets the call.
void finish_call(dispatcher_state& state, const call_key& key, stage_result result,
                 std::vector<dispatcher_action>& actions);

/// Answers a call that was never dispatched, and fences its attempt id.
/// Precondition: the call is not queued.
void refuse_call(dispatcher_state& state, const call_key& key, call_reason reason,
                 std::vector<dispatcher_action>& actions);

/// Dispatches queued calls of the pool until no upstream is free.
void drain_queue(dispatcher_state& state, const pool_id& pool, time_point now,
                 std::vector<dispatcher_action>& actions);

/// Aborts a running call whose result was sent or whose answer is broken.
void abort_running(dispatcher_state& state, upstream_call_id id,
                   std::vector<dispatcher_action>& actions);

/// Time when the state of the call's attempt id may be forgotten.
time_point attempt_expiry(const call_row& row);

std::uint32_t expected_wait_ms(const pool_row& pool, std::size_t queued);

const char* text_of(call_reason reason);

} // namespace geraniumdoor::dispatcher_detail
