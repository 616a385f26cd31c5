#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/units.hpp>

#include <cstdint>
#include <optional>

namespace geraniumdoor
{

/// Smallest and largest number of concurrent calls of a pool's upstreams.
struct limit_bounds
{
    std::uint32_t m_cold = 1;
    std::uint32_t m_warm = 8;
};

/// Number of concurrent calls that one upstream may carry, and what it was learnt from.
struct concurrency_limit
{
    std::uint32_t m_limit = 1;
    /// While set, one call at a time is offered, each after a growing random delay.
    bool m_silent = false;
    time_point m_next_offer{};
    /// Zero until an answer or a load report named it.
    incarnation m_incarnation;
    /// Only calls dispatched since then count towards completing the level.
    time_point m_level_since{};
    std::uint32_t m_answered_at_level = 0;
    std::optional<time_point> m_raise_at;
    /// Exponentially weighted average of response times, in milliseconds.
    std::optional<double> m_average_ms;
    std::uint32_t m_errors_in_row = 0;
    std::uint32_t m_slow_in_row = 0;
    duration m_backoff{};
    /// No answer was seen since this owner took over.
    bool m_starting = true;
};

/// Response time of one answered call.
struct response_sample
{
    double m_ms = 0;
    /// Lowest average among the pool's upstreams of this owner; absent when none is
    /// known.
    std::optional<double> m_best_ms;
    time_point m_dispatched;
};

/// Returns the limit of an upstream about which nothing is known.
concurrency_limit start_limit(const limit_bounds& bounds, time_point now);

/// Lowers the limit to the cold limit at once and forgets progress towards a raise.
void reset_limit(concurrency_limit& limit, const limit_bounds& bounds, time_point now);

/// Keeps the limit within changed bounds.
void clamp_limit(concurrency_limit& limit, const limit_bounds& bounds);

/// Resets the limit when the incarnation differs from the known one. Returns whether it
/// did.
bool record_incarnation(concurrency_limit& limit, const limit_bounds& bounds,
                        incarnation seen, time_point now);

void record_answer(concurrency_limit& limit, const limit_bounds& bounds,
                   const response_sample& sample, time_point now, random_source& random);

/// Counts a failed call. The second in a row resets the limit and starts the back-off,
/// because an upstream that refuses connections would otherwise always look idle.
void record_error(concurrency_limit& limit, const limit_bounds& bounds, time_point now,
                  random_source& random);

/// Lowers the limit by a quarter.
void record_overload(concurrency_limit& limit, const limit_bounds& bounds,
                     time_point now);

/// The upstream gave no sign of life for the timeout of its stage.
void record_silence(concurrency_limit& limit, const limit_bounds& bounds, time_point now,
                    random_source& random);

/// The upstream reported itself warm with the concurrency that it sustains, no longer
/// than two seconds ago. Used only by a new owner that knows the incarnation already.
void record_sustained(concurrency_limit& limit, const limit_bounds& bounds,
                      incarnation seen, std::uint32_t sustained, time_point now);

/// Applies a raise whose random delay has passed.
void apply_due_raise(concurrency_limit& limit, const limit_bounds& bounds,
                     time_point now);

/// Returns the number of calls that may be outstanding now.
std::uint32_t usable_limit(const concurrency_limit& limit, time_point now);

} // namespace geraniumdoor
