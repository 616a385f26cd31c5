#include <geraniumdoor/serving/engine_pace.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

/// The newest sample has this weight at least, and more while there are few.
constexpr double min_pace_weight = 0.05;

/// Times beyond these multiples of the expected one are of other causes.
constexpr double min_sample = 0.1;
constexpr double max_sample = 10;

/// Bounds of what a pool can be learnt to take.
constexpr double min_ratio = 0.2;
constexpr double max_ratio = 5;

} // namespace

double record_first_token(engine_pace& pace, double expected_ms, double elapsed_ms)
{
    const double sample =
        std::clamp(elapsed_ms / std::max(1.0, expected_ms), min_sample, max_sample);
    pace.m_samples += 1;
    const double weight = std::max(min_pace_weight, 1 / (pace.m_samples + 1));
    pace.m_ratio =
        std::clamp(pace.m_ratio + weight * (sample - pace.m_ratio), min_ratio, max_ratio);
    return std::clamp(sample / pace.m_ratio, min_engine_slowness, max_engine_slowness);
}

} // namespace geraniumdoor::serving
