#include <geraniumdoor/serving/table_view.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};

} // namespace

TestSuite(table_view);

Test(table_view, absence_is_concluded_from_a_current_view_alone)
{
    table_view view;
    cr_expect(not shows_absence(view, start));
    EXPECT_EQUAL(age_ms(view, start), no_view_age);
    confirm_view(view, start);
    cr_expect(shows_absence(view, start + max_conclusive_age));
    cr_expect(not shows_absence(view, start + max_conclusive_age + 1ms));
    EXPECT_EQUAL(age_ms(view, start + 250ms), 250U);
    // A confirmation that arrives late does not make it older.
    confirm_view(view, start - 1s);
    EXPECT_EQUAL(age_ms(view, start + 250ms), 250U);
}

Test(table_view, a_gap_begins_the_view_anew)
{
    table_view view;
    confirm_view(view, start);
    confirm_view(view, start + max_view_gap);
    EXPECT_EQUAL(view.m_continuous_since, start);
    const time_point later = start + 2 * max_view_gap + 1ms;
    confirm_view(view, later);
    EXPECT_EQUAL(view.m_continuous_since, later);
}

// Guards against a host that stood still and takes what has waited in its sockets for
// news.
Test(table_view, a_message_that_waited_counts_as_of_when_it_was_sent)
{
    message_delay delay;
    // The sender's clock began elsewhere.
    const auto sent = [](int at)
    {
        return static_cast<std::uint64_t>(500'000 + at);
    };
    EXPECT_EQUAL(sending_time(delay, sent(0), start + 3ms), start + 3ms);
    EXPECT_EQUAL(sending_time(delay, sent(200), start + 201ms), start + 201ms);
    const time_point read = start + 5s;
    const time_point told = sending_time(delay, sent(400), read);
    cr_expect(told > start + 395ms && told < start + 410ms);
    // Clocks that drift apart do not make all later messages look late.
    time_point seen = read;
    for (int second = 6; second < 4000; ++second)
    {
        // The sender's clock is slower by 100 parts in a million.
        const int at = second * 1000 - second / 10;
        seen = sending_time(delay, sent(at), start + milliseconds{second * 1000});
        cr_assert(start + milliseconds{second * 1000} - seen < 20ms);
    }
}
