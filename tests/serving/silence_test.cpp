#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/silence.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 1h;

/// A stream whose events are due every 600 ms; its caller leaves after 4.8 s without one.
silent_attempt sample_stream_gap()
{
    silent_attempt attempt;
    attempt.m_since = start;
    attempt.m_usual = 750ms;
    attempt.m_takeover_time = 300ms;
    attempt.m_abandoned_at = start + 4800ms;
    return attempt;
}

/// A read that is due 2 s after it was sent, and is overdue after 900 ms.
silent_attempt sample_read()
{
    silent_attempt attempt = sample_stream_gap();
    attempt.m_usual = 900ms;
    attempt.m_target = start + 2s;
    attempt.m_abandoned_at = start + 8s;
    return attempt;
}

milliseconds draw(random_source& random, milliseconds low, milliseconds high)
{
    const auto span = static_cast<std::uint32_t>((high - low).count());
    return low + milliseconds{uniform_below(random, span)};
}

} // namespace

// Guards against sound upstreams whose requests are moved or cut off because they were
// silent for a second.
TestSuite(silence);

Test(silence, a_gap_that_has_missed_its_target_is_waited_for_as_long_as_a_sound_one_lasts)
{
    cr_expect(successor_due(sample_stream_gap()) == start + sound_silence);
}

Test(silence, a_request_moves_early_while_its_target_can_still_be_met_elsewhere)
{
    silent_attempt attempt = sample_read();
    cr_expect(successor_due(attempt) == start + 900ms);
    // Another upstream would take longer than the target allows.
    attempt.m_takeover_time = 1200ms;
    cr_expect(successor_due(attempt) == start + sound_silence);
}

Test(silence, an_upstream_in_doubt_is_not_waited_for)
{
    silent_attempt attempt = sample_stream_gap();
    attempt.m_upstream_in_doubt = true;
    cr_expect(successor_due(attempt) == start + 750ms);
}

Test(silence, a_successor_is_sought_in_time_for_a_caller_who_leaves_early)
{
    silent_attempt attempt = sample_stream_gap();
    attempt.m_abandoned_at = start + 1800ms;
    cr_expect(successor_due(attempt) == start + 1300ms);
    // There is no time left in which it could begin: the upstream is overdue anyway.
    attempt.m_abandoned_at = start + 500ms;
    cr_expect(successor_due(attempt) == start + 750ms);
}

// Replays streams whose sound upstreams are silent once for 0.3 to 1.6 s, beside as many
// whose upstreams have failed and stay silent.
Test(silence, a_replay_of_sound_and_failed_upstreams_moves_the_failed_ones_alone)
{
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        random_source random{seed};
        for (int stream = 0; stream < 100; ++stream)
        {
            silent_attempt attempt = sample_stream_gap();
            attempt.m_takeover_time = draw(random, 50ms, 900ms);
            attempt.m_abandoned_at = start + draw(random, 3000ms, 8000ms);
            const time_point due = successor_due(attempt);
            const time_point goes_on = start + draw(random, 300ms, 1600ms);
            cr_expect(goes_on < due, "seed %u: moved although it was sound", seed);
            cr_expect(due + attempt.m_takeover_time < attempt.m_abandoned_at,
                      "seed %u: its caller has left", seed);
        }
    }
}
