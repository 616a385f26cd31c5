#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/messages.hpp>

#include <cstddef>
#include <map>
#include <unordered_map>
#include <utility>

namespace geraniumdoor
{

/// Attempt ids of non-idempotent calls that were dispatched or fenced. A call with a
/// fenced id is never dispatched. The state of an id is recorded once and kept until it
/// expires; only fence_unsent_attempt changes it.
struct attempt_log
{
    std::unordered_map<attempt_id, attempt_state> m_states;
    std::multimap<time_point, attempt_id> m_expiry;
};

/// Returns the state of the attempt, or null when it is neither dispatched nor fenced.
const attempt_state* find_attempt(const attempt_log& log, const attempt_id& id);

/// Records the state of an attempt that has none. Returns whether it had none.
bool record_attempt(attempt_log& log, const attempt_id& id, attempt_state state,
                    time_point expires);

/// Fences an attempt that was recorded as dispatched but of which no byte was sent.
void fence_unsent_attempt(attempt_log& log, const attempt_id& id);

void erase_expired_attempts(attempt_log& log, time_point now);

} // namespace geraniumdoor
