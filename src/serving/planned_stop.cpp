#include <geraniumdoor/serving/planned_stop.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

/// Three times the TTL of an address answer.
constexpr milliseconds address_use_time{3000};

/// Time after which no caller should open a connection any more.
constexpr milliseconds drain_delay{4000};

/// Time between the end of the process and the platform's signal that kills it.
constexpr milliseconds kill_reserve{700};

/// Time for the last answers to reach their callers.
constexpr milliseconds last_answers_time{300};

} // namespace

stop_schedule make_stop_schedule(time_point began, milliseconds timeout)
{
    stop_schedule schedule;
    schedule.m_began = began;
    schedule.m_ends_at = began + std::max(milliseconds{0}, timeout - kill_reserve);
    schedule.m_answers_due_at = std::max(began, schedule.m_ends_at - last_answers_time);
    schedule.m_drains_at = std::min(began + drain_delay, schedule.m_answers_due_at);
    schedule.m_streams_refused_at =
        std::min(began + address_use_time, schedule.m_drains_at);
    return schedule;
}

stop_phase next_phase(const stop_schedule& schedule, stop_phase phase,
                      const owed_work& owed, time_point now)
{
    if (now >= schedule.m_ends_at)
    {
        return stop_phase::ended;
    }
    if (phase == stop_phase::serving)
    {
        return now >= schedule.m_drains_at ? stop_phase::draining : phase;
    }
    const bool callers_served =
        owed.m_caller_connections == 0 && owed.m_requests == 0 && owed.m_jobs == 0;
    if (phase == stop_phase::draining)
    {
        return callers_served || now >= schedule.m_answers_due_at ? stop_phase::closing
                                                                  : phase;
    }
    const bool all_served =
        callers_served && owed.m_unsent_peers == 0 && owed.m_service_connections == 0;
    return all_served ? stop_phase::ended : phase;
}

bool is_taken(const stop_schedule& schedule, const late_request& request, time_point now)
{
    if (request.m_is_stream)
    {
        // A stream that has begun may go on to the end of the process.
        return request.m_arrived_at < schedule.m_streams_refused_at &&
               now + request.m_expected <= schedule.m_ends_at;
    }
    return request.m_deadline <= schedule.m_answers_due_at ||
           now + request.m_expected < schedule.m_answers_due_at;
}

const char* to_text(stop_phase phase)
{
    switch (phase)
    {
    case stop_phase::serving:
        return "serving";
    case stop_phase::draining:
        return "draining";
    case stop_phase::closing:
        return "closing";
    case stop_phase::ended:
        return "ended";
    }
    return "unknown";
}

} // namespace geraniumdoor::serving
