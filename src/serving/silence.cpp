#include <geraniumdoor/serving/silence.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

time_point successor_due(const silent_attempt& attempt)
{
    const time_point overdue = attempt.m_since + attempt.m_usual;
    const bool can_meet_target = overdue + attempt.m_takeover_time <= attempt.m_target;
    if (can_meet_target || attempt.m_upstream_in_doubt)
    {
        return overdue;
    }
    const time_point patient = attempt.m_since + std::max(attempt.m_usual, sound_silence);
    const time_point latest =
        attempt.m_abandoned_at - attempt.m_takeover_time - takeover_margin;
    return std::max(overdue, std::min(patient, latest));
}

milliseconds caller_stream_timeout(const route& chosen)
{
    constexpr milliseconds min_timeout{2000};
    constexpr int target_multiple = 4;
    constexpr int gap_multiple = 8;
    return std::max({min_timeout, chosen.m_latency_target * target_multiple,
                     chosen.m_event_gap_target * gap_multiple});
}

} // namespace geraniumdoor::serving
