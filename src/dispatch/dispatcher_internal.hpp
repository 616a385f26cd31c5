#pragma once

#include <geraniumdoor/dispatch/dispatcher.hpp>

#include <cstdint>
#include <vector>

// Declarations shared by the source files of the dispatcher.

namespace geraniumdoor::dispatcher_detail
{

/// Why an upstream cannot take a call now.
enum class rejection : std::uint8_t
{
    none,
    no_authority,
    /// Leaving, missing from the host list, or in a data centre that is out.
    withdrawn,
    backing_off,
    busy,
    excluded,
};

limit_bounds bounds_of(const pool_config& config);

/// Returns the bounds of the upstream's pool; the defaults when the pool is unknown.
limit_bounds bounds_of(const dispatcher_state& state, const upstream_row& row);

scheduling_class scheduling_class_of(const stage_call& call);

/// Returns the calls that count against the limit, including those of an earlier owner.
std::uint32_t counted_outstanding(const upstream_row& row, time_point now);

/// Returns whether the upstream is leaving, missing from the host list, or in a data
/// centre that is out.
bool is_withdrawn(const upstream_row& row);

/// Sends the result of the call and erases the call.
void finish_call(dispatcher_state& state, const call_key& key, stage_result result,
                 std::vector<dispatcher_action>& actions);

/// Answers a call that was never dispatched. Fences the attempt id of a non-idempotent
/// call.
/// Precondition: the call is not queued.
void refuse_call(dispatcher_state& state, const call_key& key, call_reason reason,
                 std::vector<dispatcher_action>& actions);

/// Dispatches queued calls of the pool while upstreams have free slots.
void dispatch_queued(dispatcher_state& state, const pool_id& pool, time_point now,
                     std::vector<dispatcher_action>& actions);

/// Aborts a running call that was cancelled or whose stream has a gap.
void abort_running(dispatcher_state& state, upstream_call_id id,
                   std::vector<dispatcher_action>& actions);

/// Returns the time at which the state of the call's attempt id may be erased.
time_point attempt_expiry(const call_row& row);

std::uint32_t expected_wait_ms(const pool_row& pool, std::size_t queued);

const char* text_of(call_reason reason);

} // namespace geraniumdoor::dispatcher_detail
