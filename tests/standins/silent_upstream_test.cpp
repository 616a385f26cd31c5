#include "silence_story.hpp"

#include <array>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::array<milliseconds, 4> all_silences{300ms, 1100ms, 1600ms, 3000ms};
constexpr std::array<milliseconds, 3> short_silences{300ms, 1100ms, 1600ms};

/// A configuration without the routes and pools of silence_story.
const char* const configuration_without_pools =
    R"({"version":2,"routes":[],"services":[{"name":"new"}],)"
    R"("tenants":[{"name":"t","apiKeys":["key"]}]})";

/// Sends requests of these kinds to one upstream, for each phase and silence.
void expect_one_upstream_enough(std::uint16_t first_port,
                                const std::vector<request_kind>& kinds)
{
    silence_story story{first_port, 1, 1, 1};
    story.start();
    for (const milliseconds silence : all_silences)
    {
        for (const request_kind kind : kinds)
        {
            story.send_each_phase(kind, silence);
        }
        story.run_until_answered();
    }
    story.expect_nothing_lost();
    story.expect_few_extra_runs();
}

void send_all_kinds(silence_story& story, milliseconds silence)
{
    story.send_each_phase(request_kind::resumable_stream, silence);
    story.send_each_phase(request_kind::stream, silence);
    story.send_each_phase(request_kind::read, silence);
    story.send_each_phase(request_kind::payment, silence);
}

/// Lets streams of one engine fall silent beside a second engine that does not take over.
/// @param prevent called when the streams have begun
void expect_no_successor_needed(
    silence_story& story, const std::function<void(worker_standin& second)>& prevent)
{
    // The second engine is not chosen at first, and ready when a successor is looked for.
    worker_standin& second = story.add_upstream("second", "engine", "v1");
    story.m_cluster.set_worker_state(second, "draining");
    story.start();
    for (const milliseconds silence : {1600ms, 3000ms})
    {
        story.send_each_phase(request_kind::resumable_stream, silence);
    }
    story.run_until_running();
    story.m_cluster.run_for(150ms);
    story.m_cluster.set_worker_state(second, "ready");
    prevent(second);
    story.run_until_answered();
    story.expect_nothing_lost();
}

std::string replaced(std::string text, const std::string& part,
                     const std::string& replacement)
{
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + replacement.size()))
    {
        text.replace(at, part.size(), replacement);
    }
    return text;
}

/// Compares requests that are underway when a configuration arrives with others.
/// @param change makes the new configuration from the present one
void expect_harmless_change(std::uint16_t first_port,
                            const std::function<std::string(std::string)>& change)
{
    silence_story story{first_port, 3, 8, 4};
    story.start();
    std::size_t extra_runs_without = 0;
    {
        // Without a change.
        for (const milliseconds silence : short_silences)
        {
            send_all_kinds(story, silence);
        }
        story.run_until_answered();
        extra_runs_without = story.count_resumable().m_extra_runs;
    }
    {
        for (const milliseconds silence : short_silences)
        {
            send_all_kinds(story, silence);
        }
        // The silences have begun, and none has been noticed yet.
        story.m_cluster.run_for(250ms);
        story.m_cluster.m_store.put("op", "config",
                                    change(sample_configuration(silence_routes(), 2)));
        story.run_until_answered();
    }
    story.expect_nothing_lost();
    const std::size_t extra_runs =
        story.count_resumable().m_extra_runs - extra_runs_without;
    cr_expect(extra_runs <= extra_runs_without + 1,
              "%zu extra runs beside the change, %zu without", extra_runs,
              extra_runs_without);
}

} // namespace

TestSuite(silent_upstream, .timeout = 60);

// Guards against sound upstreams that are given up for a silence, with nothing to go on
// at elsewhere.
Test(silent_upstream, resumable_streams_outlast_silences_of_their_only_engine)
{
    expect_one_upstream_enough(24880, {request_kind::resumable_stream});
}

Test(silent_upstream, other_streams_outlast_silences_of_their_only_engine)
{
    expect_one_upstream_enough(24920, {request_kind::stream});
}

Test(silent_upstream, reads_and_payments_outlast_silences_of_their_only_upstream)
{
    expect_one_upstream_enough(24960, {request_kind::read, request_kind::payment});
}

Test(silent_upstream, streams_outlast_silences_of_their_only_stage_upstream)
{
    silence_story story{25000, 1, 1, 0};
    story.start();
    {
        for (const milliseconds silence : short_silences)
        {
            for (const auto kind : {request_kind::resumable_stream, request_kind::stream})
            {
                story.send(kind, silence_phase::in_stage, silence);
                story.run_until_answered();
                // The next call uses the connection on which the release falls silent.
                story.send(kind, silence_phase::in_release, silence);
                story.run_until_answered();
            }
        }
    }
    {
        // The route and the pool of the stage are removed during a silent call.
        for (const auto kind : {request_kind::resumable_stream, request_kind::stream})
        {
            story.send(kind, silence_phase::in_stage, 1100ms);
        }
        story.m_cluster.run_for(250ms);
        story.m_cluster.m_store.put("op", "config", configuration_without_pools);
        story.run_until_answered();
    }
    // The last results are released in a call of their own.
    story.m_cluster.run_for(500ms);
    story.expect_nothing_lost();
    story.expect_few_extra_runs();
}

// Guards against work that is done twice because its upstream was silent for a moment.
Test(silent_upstream, most_streams_wait_for_their_engine_among_eight)
{
    silence_story story{25040, 3, 8, 4};
    story.start();
    {
        // Silences after which the stream may still be on time.
        for (const milliseconds silence : short_silences)
        {
            send_all_kinds(story, silence);
        }
        story.run_until_answered();
        story.expect_few_extra_runs();
    }
    {
        // Up to the limit of the callers.
        send_all_kinds(story, 3000ms);
        story.run_until_answered();
        story.expect_nothing_lost();
    }
}

Test(silent_upstream, a_stall_without_end_moves_to_a_sound_engine)
{
    silence_story story{25080, 3, 4, 2};
    story.start();
    constexpr milliseconds endless{60000};
    for (const auto phase :
         {silence_phase::before_head, silence_phase::before_first_event,
          silence_phase::between_events, silence_phase::inside_event})
    {
        story.send(request_kind::resumable_stream, phase, endless);
        story.send(request_kind::resumable_stream, phase, endless);
    }
    story.send(request_kind::read, silence_phase::before_head, endless);
    story.run_until_answered();
    story.expect_nothing_lost();
}

// Guards against streams that are given up before their successor is known to take over.
Test(silent_upstream, streams_stay_when_the_second_engine_declines)
{
    silence_story story{25120, 1, 1, 0};
    expect_no_successor_needed(story,
                               [](worker_standin& second)
                               {
                                   second.m_mode = worker_mode::decline;
                               });
}

Test(silent_upstream, streams_stay_when_the_second_engine_has_another_version)
{
    silence_story story{25160, 1, 1, 0};
    expect_no_successor_needed(story,
                               [&story](worker_standin& second)
                               {
                                   second.m_version = "v2";
                                   story.m_cluster.set_worker_state(second, "ready");
                               });
}

Test(silent_upstream, streams_stay_when_the_stages_refuse)
{
    silence_story story{25200, 1, 1, 0};
    expect_no_successor_needed(story,
                               [&story](worker_standin&)
                               {
                                   worker_standin& stage =
                                       *story.m_cluster.m_workers.front();
                                   stage.m_pieces_status = 503;
                                   stage.m_retry_after = "5";
                               });
}

Test(silent_upstream, streams_stay_without_a_retry_budget)
{
    silence_story story{25240, 1, 1, 0};
    story.m_cluster.m_retry_limits.m_ratio = 0;
    story.m_cluster.m_retry_limits.m_slack = 0;
    expect_no_successor_needed(story, [](worker_standin&) {});
}

Test(silent_upstream, streams_stay_when_the_second_engine_leaves)
{
    silence_story story{25280, 1, 1, 0};
    expect_no_successor_needed(story,
                               [&story](worker_standin& second)
                               {
                                   second.m_says_leaving = true;
                                   story.m_cluster.set_worker_state(second, "draining");
                               });
}

// Guards against configurations that end requests underway, or take away what they need
// to outlast a silence.
Test(silent_upstream, a_route_moves_to_another_pool_during_a_silence)
{
    expect_harmless_change(25320,
                           [](const std::string& present)
                           {
                               // Streams go to "plain", and the others to "engine".
                               std::string moved =
                                   replaced(present, R"("service":"engine","max)",
                                            R"("service":"other","max)");
                               moved = replaced(moved, R"("service":"plain","max)",
                                                R"("service":"engine","max)");
                               return replaced(moved, R"("service":"other","max)",
                                               R"("service":"plain","max)");
                           });
}

Test(silent_upstream, a_route_is_split_during_a_silence)
{
    expect_harmless_change(
        25360,
        [](const std::string& present)
        {
            return replaced(present, R"("service":"engine","max)",
                            R"("weightedBackends":[{"service":"engine","weight":1},)"
                            R"({"service":"plain","weight":9}],"max)");
        });
}

Test(silent_upstream, a_timeout_is_lowered_during_a_silence)
{
    expect_harmless_change(25400,
                           [](const std::string& present)
                           {
                               return replaced(present, R"("timeoutMs":6000)",
                                               R"("timeoutMs":900)");
                           });
}

Test(silent_upstream, a_workspace_comes_and_another_goes_during_a_silence)
{
    expect_harmless_change(
        25440,
        [](const std::string& present)
        {
            return replaced(present, R"({"name":"t","apiKeys":["key"],"priority":0})",
                            R"({"name":"u","apiKeys":["key-of-u"],"priority":0})");
        });
}

Test(silent_upstream, the_idle_timeout_is_lowered_during_a_silence)
{
    expect_harmless_change(25480,
                           [](const std::string& present)
                           {
                               return replaced(present, R"("tenants":)",
                                               R"("limits":{"idleTimeoutMs":200,)"
                                               R"("headerTimeoutMs":200},"tenants":)");
                           });
}

Test(silent_upstream, routes_are_removed_during_a_silence)
{
    expect_harmless_change(25520,
                           [](const std::string&)
                           {
                               return sample_configuration(silence_read_route, 2);
                           });
}

Test(silent_upstream, pools_and_their_stages_are_removed_during_a_silence)
{
    expect_harmless_change(25560,
                           [](const std::string&)
                           {
                               return std::string{configuration_without_pools};
                           });
}

Test(silent_upstream, the_number_of_attempts_is_lowered_during_a_silence)
{
    expect_harmless_change(25600,
                           [](const std::string& present)
                           {
                               return replaced(present, R"("maxAttempts":2)",
                                               R"("maxAttempts":1)");
                           });
}
