#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/units.hpp>

#include <cstdint>
#include <optional>

namespace geraniumdoor
{

/// Bounds of the concurrency limit of a pool's upstreams.
struct limit_bounds
{
    std::uint32_t m_cold = 1;
    std::uint32_t m_warm = 8;
};

/// Adaptive limit of the concurrent calls to one upstream, with its control state.
struct concurrency_limit
{
    std::uint32_t m_limit = 1;
    /// While set, one call at a time is sent as a probe, each after a random delay whose
    /// bound doubles.
    bool m_backing_off = false;
    time_point m_next_probe{};
    /// Incarnation of the upstream; zero until an answer or a load report states it.
    incarnation m_incarnation;
    /// Time when the present limit was set. Only calls dispatched since then count
    /// towards a raise.
    time_point m_limit_since{};
    std::uint32_t m_answers_at_limit = 0;
    std::optional<time_point> m_raise_at;
    /// Exponentially weighted moving average of the time per token, in milliseconds.
    std::optional<double> m_average_ms_per_token;
    std::uint32_t m_consecutive_failures = 0;
    std::uint32_t m_consecutive_slow = 0;
    duration m_backoff{};
    /// The limit is still the one with which this owner took over; cleared by any answer,
    /// reset or applied load report. Only such a limit is raised by apply_load_report.
    bool m_initial = true;
};

/// Response time of one answered call, divided by its tokens (by 1 if it has none).
struct response_sample
{
    double m_ms_per_token = 0;
    /// Lowest average time per token among this owner's upstreams of the pool; absent
    /// when none is known.
    std::optional<double> m_lowest_average_ms_per_token;
    time_point m_dispatched;
};

/// Returns the cold limit, for an upstream of unknown state.
concurrency_limit initial_limit(const limit_bounds& bounds, time_point now);

/// Lowers the limit to the cold limit and discards progress towards a raise.
void reset_limit(concurrency_limit& limit, const limit_bounds& bounds, time_point now);

/// Clamps the limit to changed bounds.
void clamp_limit(concurrency_limit& limit, const limit_bounds& bounds);

/// Resets the limit when the incarnation differs from the known one. Returns whether it
/// did.
bool record_incarnation(concurrency_limit& limit, const limit_bounds& bounds,
                        incarnation seen, time_point now);

void record_answer(concurrency_limit& limit, const limit_bounds& bounds,
                   const response_sample& sample, time_point now, random_source& random);

/// Records a failed call. The second consecutive failure resets the limit and starts the
/// back-off; otherwise an upstream that refuses connections would always appear idle and
/// attract calls.
void record_failure(concurrency_limit& limit, const limit_bounds& bounds, time_point now,
                    random_source& random);

/// Lowers the limit to the cold limit.
void record_overload(concurrency_limit& limit, const limit_bounds& bounds,
                     time_point now);

/// Resets the limit and starts or extends the back-off of an upstream that sent nothing
/// for the timeout of its pool.
void record_unresponsive(concurrency_limit& limit, const limit_bounds& bounds,
                         time_point now, random_source& random);

/// Raises the limit to the concurrency that a warm upstream reported as sustained.
/// Applied only by a new owner that has received no answer yet, and only for the known
/// incarnation. Precondition: the report is at most two seconds old.
void apply_load_report(concurrency_limit& limit, const limit_bounds& bounds,
                       incarnation reported_incarnation, std::uint32_t sustained_calls,
                       time_point now);

/// Raises the limit when the random delay of a pending raise has passed.
void apply_due_raise(concurrency_limit& limit, const limit_bounds& bounds,
                     time_point now);

/// Returns the number of calls that may be outstanding now; at most one during back-off.
std::uint32_t usable_limit(const concurrency_limit& limit, time_point now);

} // namespace geraniumdoor
