#include <geraniumdoor/dispatch/concurrency_limit.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

/// Weight of the newest sample in the moving average.
constexpr double new_sample_weight = 0.1;
constexpr double max_raise_ratio = 2.0;
constexpr double slow_ratio = 3.0;
/// Smaller differences from an average time per token are scheduling jitter, which
/// dominates for an upstream that answers within a millisecond. They neither prevent a
/// raise nor count as slow.
constexpr double jitter_ms_per_token = 5.0;
constexpr std::uint32_t reset_threshold = 2;
constexpr milliseconds max_raise_delay{200};
constexpr milliseconds initial_backoff{200};
constexpr milliseconds max_backoff{5000};

duration random_up_to(duration max_length, random_source& random)
{
    const double part = uniform_unit(random) * static_cast<double>(max_length.count());
    return duration{static_cast<duration::rep>(part)};
}

void set_limit(concurrency_limit& limit, std::uint32_t new_limit, time_point now)
{
    limit.m_limit = new_limit;
    limit.m_limit_since = now;
    limit.m_answers_at_limit = 0;
    limit.m_raise_at.reset();
}

void back_off(concurrency_limit& limit, time_point now, random_source& random)
{
    const duration doubled = limit.m_backing_off ? limit.m_backoff * 2 : initial_backoff;
    limit.m_backoff = std::min<duration>(doubled, max_backoff);
    limit.m_backing_off = true;
    limit.m_next_probe = now + random_up_to(limit.m_backoff, random);
}

bool is_slow(const concurrency_limit& limit, double ms_per_token)
{
    if (!limit.m_average_ms_per_token)
    {
        return false;
    }
    const double average = *limit.m_average_ms_per_token;
    return ms_per_token > std::max(slow_ratio * average, average + jitter_ms_per_token);
}

bool allows_raise(const response_sample& sample)
{
    if (!sample.m_lowest_average_ms_per_token)
    {
        return true;
    }
    const double best = *sample.m_lowest_average_ms_per_token;
    return sample.m_ms_per_token <=
           std::max(max_raise_ratio * best, best + jitter_ms_per_token);
}

void count_towards_raise(concurrency_limit& limit, const limit_bounds& bounds,
                         const response_sample& sample, time_point now,
                         random_source& random)
{
    const bool dispatched_at_limit = sample.m_dispatched >= limit.m_limit_since;
    if (!dispatched_at_limit || limit.m_raise_at || limit.m_limit >= bounds.m_warm ||
        !allows_raise(sample))
    {
        return;
    }
    ++limit.m_answers_at_limit;
    if (limit.m_answers_at_limit >= limit.m_limit)
    {
        limit.m_raise_at = now + random_up_to(max_raise_delay, random);
    }
}

void update_average(concurrency_limit& limit, double ms_per_token)
{
    const double before = limit.m_average_ms_per_token.value_or(ms_per_token);
    limit.m_average_ms_per_token = before + new_sample_weight * (ms_per_token - before);
}

} // namespace

concurrency_limit initial_limit(const limit_bounds& bounds, time_point now)
{
    concurrency_limit limit;
    set_limit(limit, bounds.m_cold, now);
    return limit;
}

void reset_limit(concurrency_limit& limit, const limit_bounds& bounds, time_point now)
{
    set_limit(limit, bounds.m_cold, now);
    limit.m_consecutive_slow = 0;
    limit.m_initial = false;
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
    limit.m_consecutive_failures = 0;
    limit.m_backing_off = false;
    limit.m_initial = false;
    const bool slow = is_slow(limit, sample.m_ms_per_token);
    update_average(limit, sample.m_ms_per_token);
    limit.m_consecutive_slow = slow ? limit.m_consecutive_slow + 1 : 0;
    if (limit.m_consecutive_slow >= reset_threshold)
    {
        reset_limit(limit, bounds, now);
        return;
    }
    count_towards_raise(limit, bounds, sample, now, random);
}

void record_failure(concurrency_limit& limit, const limit_bounds& bounds, time_point now,
                    random_source& random)
{
    ++limit.m_consecutive_failures;
    if (limit.m_consecutive_failures >= reset_threshold || limit.m_backing_off)
    {
        reset_limit(limit, bounds, now);
        back_off(limit, now, random);
    }
}

void record_overload(concurrency_limit& limit, const limit_bounds& bounds, time_point now)
{
    // An upstream that refuses calls within its warm limit may have become cold without
    // notice. After a smaller reduction, further calls could still exceed its
    // capacity.
    reset_limit(limit, bounds, now);
}

void record_unresponsive(concurrency_limit& limit, const limit_bounds& bounds,
                         time_point now, random_source& random)
{
    reset_limit(limit, bounds, now);
    back_off(limit, now, random);
}

void apply_load_report(concurrency_limit& limit, const limit_bounds& bounds,
                       incarnation reported_incarnation, std::uint32_t sustained_calls,
                       time_point now)
{
    const bool same_incarnation = reported_incarnation != incarnation{} &&
                                  limit.m_incarnation == reported_incarnation;
    if (!limit.m_initial || !same_incarnation || sustained_calls <= limit.m_limit)
    {
        return;
    }
    set_limit(limit, std::min(sustained_calls, std::max(bounds.m_cold, bounds.m_warm)),
              now);
    limit.m_initial = false;
}

void apply_due_raise(concurrency_limit& limit, const limit_bounds& bounds, time_point now)
{
    if (!limit.m_raise_at || now < *limit.m_raise_at)
    {
        return;
    }
    const std::uint32_t raised = limit.m_limit + std::max(1U, limit.m_limit / 2);
    set_limit(limit, std::min(raised, std::max(bounds.m_cold, bounds.m_warm)), now);
}

std::uint32_t usable_limit(const concurrency_limit& limit, time_point now)
{
    if (!limit.m_backing_off)
    {
        return limit.m_limit;
    }
    return now >= limit.m_next_probe ? 1 : 0;
}

} // namespace geraniumdoor
