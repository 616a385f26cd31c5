#include <geraniumdoor/serving/table_view.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

/// Bound on the rate at which two clocks drift apart: one part in 2000.
constexpr int clock_drift_divisor = 2000;

} // namespace

void confirm_view(table_view& view, time_point as_of)
{
    if (!view.m_as_of || as_of - *view.m_as_of > max_view_gap)
    {
        view.m_continuous_since = as_of;
    }
    view.m_as_of = std::max(view.m_as_of.value_or(as_of), as_of);
}

bool shows_absence(const table_view& view, time_point now)
{
    return view.m_as_of && now - *view.m_as_of <= max_conclusive_age;
}

std::uint32_t age_ms(const table_view& view, time_point now)
{
    if (!view.m_as_of)
    {
        return no_view_age;
    }
    const auto age = std::chrono::ceil<milliseconds>(now - *view.m_as_of);
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age.count(), 0, no_view_age - 1));
}

table_view view_of_age(std::uint32_t age_ms, time_point at)
{
    if (age_ms == no_view_age)
    {
        return {};
    }
    const time_point as_of = at - milliseconds{age_ms};
    return {as_of, as_of};
}

time_point sending_time(message_delay& delay, std::uint64_t sent_ms, time_point now)
{
    const duration offset =
        now.time_since_epoch() - milliseconds{static_cast<std::int64_t>(sent_ms)};
    if (delay.m_least_offset)
    {
        const duration drift = (now - delay.m_updated) / clock_drift_divisor;
        delay.m_least_offset = std::min(*delay.m_least_offset + drift, offset);
    }
    else
    {
        delay.m_least_offset = offset;
    }
    delay.m_updated = now;
    return now - (offset - *delay.m_least_offset);
}

} // namespace geraniumdoor::serving
