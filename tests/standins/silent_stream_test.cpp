#include "edge_cluster.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

/// The sample route with streams that may be resumed, whose events are due every 100 ms.
std::string impatient_routes()
{
    std::string routes = sample_resume_route;
    const std::string target = "\"gapAimMs\":300";
    return routes.replace(routes.find(target), target.size(), "\"gapAimMs\":100");
}

} // namespace

TestSuite(silent_stream, .timeout = 60);

// Guards against a slow but sound stream that is given up, although it cannot go on
// elsewhere: its inputs are gone, and the stages do not take them again.
Test(silent_stream, a_slow_stream_is_not_cut_off_when_its_inputs_cannot_be_made_again)
{
    edge_cluster cluster{22480, 1};
    worker_standin& stage = cluster.add_worker("s0", "stage");
    for (const char* id : {"e0", "e1"})
    {
        cluster.add_worker(id, "engine").m_mode = worker_mode::slow_stream;
    }
    cluster.set_config(impatient_routes(), 1);
    cluster.start();
    const auto answer =
        cluster.start_request(0, sample_stream("/resume/x", "x", 3000), 3s);
    cluster.run_for(200ms);
    stage.m_pieces_status = 503;
    stage.m_retry_after = "3";
    cluster.run_for(3500ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 200U);
    cr_expect((*answer)->m_body.find("id: 4\n") != std::string::npos);
}

// Guards against a stream that breaks off later than its caller would have waited for the
// first event, and whose inputs are then refused as too late.
Test(silent_stream, a_stream_that_breaks_off_late_is_resumed_with_inputs_made_again)
{
    edge_cluster cluster{24520, 1};
    worker_standin& stage = cluster.add_worker("s0", "stage");
    stage.m_delay = 500ms;
    worker_standin& first = cluster.add_worker("e0", "engine");
    worker_standin& second = cluster.add_worker("e1", "engine");
    std::string routes = sample_resume_route;
    const auto replace = [&routes](const std::string& before, const std::string& after)
    {
        routes.replace(routes.find(before), before.size(), after);
    };
    replace("\"timeoutMs\":3000", "\"timeoutMs\":6000");
    replace("\"targetLatencyMs\":1000", "\"targetLatencyMs\":100");
    replace("\"gapAimMs\":300", "\"gapAimMs\":100");
    cluster.set_config(routes, 1);
    cluster.start();
    for (worker_standin* engine : {&first, &second})
    {
        engine->m_delay = 1300ms;
        engine->m_script = {worker_mode::tear};
    }
    const auto answer =
        cluster.start_request(0, sample_stream("/resume/x", "x", 6000), 6s);
    cluster.run_for(1000ms);
    worker_standin& other = first.m_seen.empty() ? first : second;
    other.m_script.clear();
    other.m_delay = 0ms;
    // A successor that is offered the stream meanwhile has no inputs before the break.
    // One that had begun it, too, would use up the upstreams that the route allows.
    stage.m_delay = 900ms;
    cluster.run_for(3500ms);
    EXPECT_EQUAL(other.m_seen.size(), 1U);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 200U);
    cr_expect((*answer)->m_body.find("id: 4\n") != std::string::npos);
}
