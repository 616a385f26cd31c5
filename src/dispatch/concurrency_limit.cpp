#include <geraniumdoor/dispatch/concurrency_limit.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

constexpr double average_weight = 0.1;
constexpr double raise_factor = 2.0;
constexpr double slow_factor = 3.0;
/// Differences below this are scheduling noise of an upstream that answers within a
/// millisecond, and neither hold back a raise nor count as slow.
constexpr double noise_ms = 5.0;
constexpr std::uint32_t resets_after = 2;
constexpr milliseconds longest_raise_delay{200};
constexpr milliseconds first_backoff{200};
constexpr milliseconds longest_backoff{5000};

duration random_up_to(duration longest, random_source& random)
{
    const double part = uniform_unit(random) * static_cast<double>(longest.count());
    return duration{static_cast<duration::rep>(part)};
}

void start_level(concurrency_limit& limit, std::uint32_t level, time_point now)
{
    limit.m_limit = level;
    limit.m_level_since = now;
    limit.m_answered_at_level = 0;
    limit.m_raise_at.reset();
}

void back_off(concurrency_limit& limit, time_point now, random_source& random)
{
    const duration doubled = limit.m_silent ? limit.m_backoff * 2 : first_backoff;
    limit.m_backoff = std::min<duration>(doubled, longest_backoff);
    limit.m_silent = true;
    limit.m_next_offer = now + random_up_to(limit.m_backoff, random);
}

bool is_slow(const concurrency_limit& limit, double ms)
{
    if (!limit.m_average_ms)
    {
        return false;
    }
    const double average = *limit.m_average_ms;
    return ms > std::max(slow_factor * average, average + noise_ms);
}

bool allows_raise(const response_sample& sample)
{
    if (!sample.m_best_ms)
    {
        return true;
    }
    const double best = *sample.m_best_ms;
    return sample.m_ms <= std::max(raise_factor * best, best + noise_ms);
}

void count_towards_raise(concurrency_limit& limit, const limit_bounds& bounds,
                         const response_sample& sample, time_point now,
                         random_source& random)
{
    const bool at_level = sample.m_dispatched >= limit.m_level_since;
    if (!at_level || limit.m_raise_at || limit.m_limit >= bounds.m_warm ||
        !allows_raise(sample))
    {
        return;
    }
    ++limit.m_answered_at_level;
    if (limit.m_answered_at_level >= limit.m_limit)
    {
        limit.m_raise_at = now + random_up_to(longest_raise_delay, random);
    }
}

void update_average(concurrency_limit& limit, double ms)
{
    const double before = limit.m_average_ms.value_or(ms);
    limit.m_average_ms = before + average_weight * (ms - before);
}

} // namespace

concurrency_limit start_limit(const limit_bounds& bounds, time_point now)
{
    concurrency_limit limit;
    start_level(limit, bounds.m_cold, now);
    return limit;
}

void reset_limit(concurrency_limit& limit, const limit_bounds& bounds, time_point now)
{
    start_level(limit, bounds.m_cold, now);
    limit.m_slow_in_row = 0;
    limit.m_starting = false;
}

void clamp_limit(concurrency_limit& limit, const limit_bounds& bounds)
{
    const std::uint32_t warm = std::max(bounds.m_cold, bounds.m_warm);
    limit.m_limit = std::clamp(limit.m_limit, bounds.m_cold, warm);
}

bool record_incarnation(concurrency_limit& limit, const limit_bounds& bounds,
                        incarnation seen, time_point now)
{
    const bool known = limit.m_incarnation != incarnation{};
    const bool changed = known && limit.m_incarnation != seen;
    limit.m_incarnation = seen;
    if (changed)
    {
        reset_limit(limit, bounds, now);
    }
    return changed;
}

void record_answer(concurrency_limit& limit, const limit_bounds& bounds,
                   const response_sample& sample, time_point now, random_source& random)
{
    limit.m_errors_in_row = 0;
    limit.m_silent = false;
    limit.m_starting = false;
    const bool slow = is_slow(limit, sample.m_ms);
    update_average(limit, sample.m_ms);
    limit.m_slow_in_row = slow ? limit.m_slow_in_row + 1 : 0;
    if (limit.m_slow_in_row >= resets_after)
    {
        reset_limit(limit, bounds, now);
        return;
    }
    count_towards_raise(limit, bounds, sample, now, random);
}

void record_error(concurrency_limit& limit, const limit_bounds& bounds, time_point now,
                  random_source& random)
{
    ++limit.m_errors_in_row;
    if (limit.m_errors_in_row >= resets_after || limit.m_silent)
    {
        reset_limit(limit, bounds, now);
        back_off(limit, now, random);
    }
}

void record_overload(concurrency_limit& limit, const limit_bounds& bounds, time_point now)
{
    // An upstream that refuses work within its warm limit may have turned cold without
    // notice; a smaller cut let further calls exceed what it could carry.
    reset_limit(limit, bounds, now);
}

void record_silence(concurrency_limit& limit, const limit_bounds& bounds, time_point now,
                    random_source& random)
{
    reset_limit(limit, bounds, now);
    back_off(limit, now, random);
}

void record_sustained(concurrency_limit& limit, const limit_bounds& bounds,
                      incarnation seen, std::uint32_t sustained, time_point now)
{
    const bool known = seen != incarnation{} && limit.m_incarnation == seen;
    if (!limit.m_starting || !known || sustained <= limit.m_limit)
    {
        return;
    }
    start_level(limit, std::min(sustained, std::max(bounds.m_cold, bounds.m_warm)), now);
    limit.m_starting = false;
}

void apply_due_raise(concurrency_limit& limit, const limit_bounds& bounds, time_point now)
{
    if (!limit.m_raise_at || now < *limit.m_raise_at)
    {
        return;
    }
    const std::uint32_t raised = limit.m_limit + std::max(1U, limit.m_limit / 2);
    start_level(limit, std::min(raised, std::max(bounds.m_cold, bounds.m_warm)), now);
}

std::uint32_t usable_limit(const concurrency_limit& limit, time_point now)
{
    if (!limit.m_silent)
    {
        return limit.m_limit;
    }
    return now >= limit.m_next_offer ? 1 : 0;
}

} // namespace geraniumdoor
