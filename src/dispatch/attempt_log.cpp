#include <geraniumdoor/dispatch/attempt_log.hpp>

namespace geraniumdoor
{

const attempt_state* find_attempt(const attempt_log& log, const attempt_id& id)
{
    const auto found = log.m_states.find(id);
    return found == log.m_states.end() ? nullptr : &found->second;
}

bool record_attempt(attempt_log& log, const attempt_id& id, attempt_state state,
                    time_point expires)
{
    if (!log.m_states.try_emplace(id, state).second)
    {
        return false;
    }
    log.m_expiry.emplace(expires, id);
    return true;
}

void fence_unsent_attempt(attempt_log& log, const attempt_id& id)
{
    const auto found = log.m_states.find(id);
    if (found != log.m_states.end())
    {
        found->second = attempt_state::fenced;
    }
}

void erase_expired_attempts(attempt_log& log, time_point now)
{
    while (!log.m_expiry.empty() && log.m_expiry.begin()->first <= now)
    {
        log.m_states.erase(log.m_expiry.begin()->second);
        log.m_expiry.erase(log.m_expiry.begin());
    }
}

} // namespace geraniumdoor
