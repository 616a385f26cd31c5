#include "silence_story.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds long_silence{3000};

/// Resumable streams that fall silent at the only engine of their pool, beside a second
/// engine that is ready only once they have begun.
class overdue_streams
{
public:
    explicit overdue_streams(std::uint16_t first_port)
        : m_story{first_port, 1, 1, 0}, m_second{m_story.add_upstream("second", "engine")}
    {
        // Enough retries for each stream.
        m_story.m_cluster.m_retry_limits.m_slack = 100;
        m_story.m_cluster.set_worker_state(m_second, "draining");
        m_story.start();
    }

    void send(silence_phase phase)
    {
        m_story.send(request_kind::resumable_stream, phase, long_silence);
        m_story.m_cluster.run_for(500ms);
        m_story.m_cluster.set_worker_state(m_second, "ready");
    }

    /// Runs until the second engine has got a stream.
    void run_until_offered()
    {
        const time_point last = std::chrono::steady_clock::now() + 3s;
        while (m_second.m_seen.empty() && std::chrono::steady_clock::now() < last)
        {
            m_story.m_cluster.run_for(5ms);
        }
        cr_assert(!m_second.m_seen.empty(), "no stream was offered");
    }

    silence_story m_story;
    worker_standin& m_second;
};

void expect_first_engine_keeps_stream(std::uint16_t first_port, worker_mode second_mode,
                                      silence_phase phase)
{
    overdue_streams streams{first_port};
    streams.m_second.m_mode = second_mode;
    streams.send(phase);
    streams.m_story.run_until_answered();
    cr_expect(!streams.m_second.m_seen.empty(), "no stream was offered");
    streams.m_story.expect_nothing_lost();
}

} // namespace

TestSuite(silent_takeover, .timeout = 60);

// Guards against streams that are given up although the response of their successor
// shows that it does not take them over.
Test(silent_takeover, a_stream_stays_when_its_successor_closes_the_connection)
{
    expect_first_engine_keeps_stream(28880, worker_mode::lose_answer,
                                     silence_phase::between_events);
}

Test(silent_takeover, a_stream_stays_when_its_successor_fails)
{
    expect_first_engine_keeps_stream(28920, worker_mode::fail,
                                     silence_phase::between_events);
}

Test(silent_takeover, a_stream_without_a_head_stays_when_its_successor_fails)
{
    expect_first_engine_keeps_stream(28960, worker_mode::fail,
                                     silence_phase::before_head);
}

Test(silent_takeover, a_stream_stays_when_its_successor_answers_another_request)
{
    expect_first_engine_keeps_stream(29000, worker_mode::foreign,
                                     silence_phase::between_events);
}

// Guards against streams that are cut off while their successor works on them.
Test(silent_takeover, streams_go_on_when_their_successor_leaves_the_registry)
{
    overdue_streams streams{29040};
    silence_story& story = streams.m_story;
    streams.m_second.m_delay = 400ms;
    {
        // Offers follow each other while the registry is read again.
        for (int number = 0; number < 7; ++number)
        {
            story.send(request_kind::resumable_stream, silence_phase::between_events,
                       long_silence);
            story.m_cluster.run_for(100ms);
        }
        story.m_cluster.set_worker_state(streams.m_second, "ready");
    }
    streams.run_until_offered();
    story.m_cluster.m_store.remove("servers", "second");
    story.run_until_answered();
    story.expect_nothing_lost();
}
