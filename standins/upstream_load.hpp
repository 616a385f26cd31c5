#pragma once

#include "standin_support.hpp"

#include <algorithm>

namespace geraniumdoor
{

/// Warm-up, slowing and collapse of one upstream, and what it counts. A cold upstream
/// sustains "cold_limit" calls until it has completed as many; after that each completed
/// call adds "warm_gain" to the sustained concurrency, up to "warm_limit".
class upstream_load
{
public:
    explicit upstream_load(const boost::json::object& settings)
        : m_cold_limit{number_or(settings, "cold_limit", 1)}
        , m_warm_limit{number_or(settings, "warm_limit", 8)}
        , m_warm_gain{number_or(settings, "warm_gain", 1)}
        , m_batch_slowdown{number_or(settings, "batch_slowdown", 0.3)}
    {
    }

    void turn_cold()
    {
        m_completed = 0;
    }

    bool cold() const
    {
        return m_completed < m_cold_limit;
    }

    std::uint32_t sustained() const
    {
        const double gain = cold() ? 0 : m_warm_gain * m_completed;
        return static_cast<std::uint32_t>(std::min(m_warm_limit, m_cold_limit + gain));
    }

    /// Whether one more call is more than the upstream sustains.
    bool is_full() const
    {
        return m_outstanding >= sustained();
    }

    void begin()
    {
        ++m_calls;
        // A warm upstream slows under too many calls; one that warms up collapses.
        if (is_full() && sustained() < m_warm_limit)
        {
            ++m_overloads;
            m_collapsed_until = steady_now() + seconds{1};
        }
        ++m_outstanding;
        m_max_cold = cold() ? std::max(m_max_cold, m_outstanding) : m_max_cold;
    }

    void end(time_point started, bool completed, bool cancelled)
    {
        const double busy = to_ms(steady_now() - started) * 1000;
        --m_outstanding;
        m_busy_us += busy;
        m_wasted_us += completed ? 0 : busy;
        m_completed += completed ? 1 : 0;
        m_cancelled += cancelled ? 1 : 0;
    }

    /// Whether a call is refused because of overload: half of the calls of an upstream
    /// that has collapsed, and all calls beyond four times the warm limit.
    bool refuses(random_source& random) const
    {
        const bool collapsed = steady_now() < m_collapsed_until;
        return m_outstanding > 4 * m_warm_limit ||
               (collapsed && uniform_unit(random) < 0.5);
    }

    /// Factor on the time of a call. Grows with the calls that are batched together.
    double slowness() const
    {
        constexpr double collapsed = 20;
        const double share = m_outstanding / m_warm_limit;
        const double batched = 1 + m_batch_slowdown * std::min(1.0, share);
        return steady_now() < m_collapsed_until ? collapsed
                                                : batched * std::max(1.0, share);
    }

    boost::json::object stats() const
    {
        return {{"calls", m_calls},
                {"cancelled", m_cancelled},
                {"overloads", m_overloads},
                {"outstanding", m_outstanding},
                {"sustained", sustained()},
                {"cold", cold()},
                {"cold_limit", m_cold_limit},
                {"max_outstanding_cold", m_max_cold},
                {"busy_us", static_cast<std::int64_t>(m_busy_us)},
                {"wasted_us", static_cast<std::int64_t>(m_wasted_us)}};
    }

    boost::json::object report(std::uint64_t incarnation, bool leaving) const
    {
        const char* state = cold() ? "cold" : "warm";
        return {{"incarnation", incarnation},
                {"state", leaving ? "leaving" : state},
                {"outstanding", m_outstanding},
                {"sustained", sustained()}};
    }

private:
    double m_cold_limit;
    double m_warm_limit;
    double m_warm_gain;
    double m_batch_slowdown;
    /// Calls completed since the upstream was cold.
    std::uint32_t m_completed = 0;
    std::uint32_t m_outstanding = 0;
    time_point m_collapsed_until;
    std::uint32_t m_max_cold = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_overloads = 0;
    double m_busy_us = 0;
    double m_wasted_us = 0;
};

} // namespace geraniumdoor
