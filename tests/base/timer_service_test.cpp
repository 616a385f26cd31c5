#include "testing.hpp"

#include <geraniumdoor/base/timer_service.hpp>

#include <vector>

using namespace geraniumdoor;
using namespace std::chrono_literals;

// Guards against subscribers that run early, run after cancellation, or run once for
// each period missed in a pause.
TestSuite(timer_service);

Test(timer_service, calls_subscribers_in_order_of_their_time)
{
    timer_service timers{time_point{}};
    std::vector<int> calls;
    timers.after(20ms,
                 [&](time_point)
                 {
                     calls.push_back(2);
                 });
    timers.after(10ms,
                 [&](time_point)
                 {
                     calls.push_back(1);
                 });
    timers.advance_to(time_point{9ms});
    cr_expect(calls.empty());
    timers.advance_to(time_point{30ms});
    EXPECT_EQUAL(calls, (std::vector<int>{1, 2}));
}

Test(timer_service, calls_a_periodic_subscriber_once_after_a_pause)
{
    timer_service timers{time_point{}};
    int calls = 0;
    timers.every(10ms,
                 [&](time_point)
                 {
                     ++calls;
                 });
    timers.advance_to(time_point{95ms});
    EXPECT_EQUAL(calls, 1);
    EXPECT_EQUAL(timers.next_due(), time_point{105ms});
}

Test(timer_service, a_subscriber_may_cancel_another)
{
    timer_service timers{time_point{}};
    bool called = false;
    const auto later = timers.after(10ms,
                                    [&](time_point)
                                    {
                                        called = true;
                                    });
    timers.after(5ms,
                 [&](time_point)
                 {
                     timers.cancel(later);
                 });
    timers.advance_to(time_point{20ms});
    cr_expect(not called);
}
