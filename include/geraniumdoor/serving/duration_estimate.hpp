#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cmath>
#include <cstdint>

namespace geraniumdoor::serving
{

/// Moving averages of a duration and of its deviation, as TCP keeps them of round trips.
struct duration_estimate
{
    bool m_is_known = false;
    double m_mean_ms = 0;
    double m_deviation_ms = 0;
};

inline void record_duration(duration_estimate& estimate, duration measured)
{
    constexpr double mean_weight = 0.125;
    constexpr double deviation_weight = 0.25;
    const double sample_ms = to_ms(measured);
    if (!estimate.m_is_known)
    {
        estimate = {true, sample_ms, sample_ms / 4};
        return;
    }
    const double error_ms = sample_ms - estimate.m_mean_ms;
    estimate.m_deviation_ms +=
        deviation_weight * (std::abs(error_ms) - estimate.m_deviation_ms);
    estimate.m_mean_ms += mean_weight * error_ms;
}

/// The mean and a number of deviations; zero if nothing was measured.
inline milliseconds upper_estimate(const duration_estimate& estimate, double deviations)
{
    const double upper_ms = estimate.m_mean_ms + deviations * estimate.m_deviation_ms;
    return milliseconds{static_cast<std::int64_t>(upper_ms)};
}

} // namespace geraniumdoor::serving
