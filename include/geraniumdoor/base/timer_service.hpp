#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace geraniumdoor
{

/// Identifies a subscription. Zero is never given out.
struct timer_id
{
    std::uint64_t m_value = 0;

    auto operator<=>(const timer_id&) const = default;
};

/// Calls subscribers when their time has come. Time moves only through advance_to, so
/// that a daemon drives it from its steady clock and a test by hand. Subscribers with
/// the same time are called in the order of subscription.
class timer_service
{
public:
    using callback = std::function<void(time_point now)>;

    explicit timer_service(time_point start);

    time_point now() const
    {
        return m_now;
    }

    /// Calls the subscriber once, after the delay.
    timer_id after(duration delay, callback call);

    /// Calls the subscriber once per period, first after one period. Periods missed in a
    /// pause are not made up for.
    timer_id every(duration period, callback call);

    void cancel(timer_id id);

    /// Moves time forward and calls all subscribers that are due. Time never moves back.
    void advance_to(time_point now);

    /// Time of the next subscriber, or time_point::max() when there is none.
    time_point next_due() const;

private:
    struct key
    {
        time_point m_due;
        std::uint64_t m_sequence = 0;

        auto operator<=>(const key&) const = default;
    };

    struct subscription
    {
        timer_id m_id;
        duration m_period{};
        callback m_call;
    };

    timer_id subscribe(duration delay, duration period, callback call);

    time_point m_now;
    std::uint64_t m_last_sequence = 0;
    std::map<key, subscription> m_due;
    std::unordered_map<std::uint64_t, key> m_by_id;
};

} // namespace geraniumdoor
