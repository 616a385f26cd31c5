#include "edge_cluster.hpp"

#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

/// The platform's gracePeriodS.
constexpr milliseconds grace_period{8000};

/// The platform lets a route keep callers waiting this long.
const char* const patient_route =
    R"({"name":"stream","host":"a.example","prefix":"/stream/","routeType":"streaming",)"
    R"("timeoutMs":20000,"targetLatencyMs":5000,"service":"engine","maxAttempts":1,)"
    R"("gapAimMs":300,"stages":[{"service":"stage","after":[],"bytes":8000}]})";

} // namespace

TestSuite(planned_stop, .timeout = 60);

// Guards against requests that wait for their stages when the host stops, and end without
// an answer together with the process.
Test(planned_stop, requests_that_wait_are_answered_before_the_process_ends)
{
    edge_cluster cluster{29440, 1};
    worker_standin& stage = cluster.add_worker("s0", "stage");
    worker_standin& engine = cluster.add_worker("e0", "engine");
    cluster.set_config(patient_route, 1);
    cluster.start();
    // The first call of the stage takes longer than the host has left.
    stage.m_delay = 12s;
    std::vector<std::shared_ptr<std::optional<http_response>>> answers;
    for (int at = 0; at < 6; ++at)
    {
        const std::string id = "r" + std::to_string(at);
        answers.push_back(
            cluster.start_request(0, sample_stream("/stream/" + id, id, 18000), 16s));
    }
    cluster.run_for(300ms);
    bool stopped = false;
    cluster.begin_stop(0,
                       [&stopped]
                       {
                           stopped = true;
                       });
    // Another one arrives at the address that its caller has kept.
    cluster.run_for(1500ms);
    answers.push_back(
        cluster.start_request(0, sample_stream("/stream/late", "late", 18000), 16s));
    const auto began = std::chrono::steady_clock::now();
    while (!stopped && std::chrono::steady_clock::now() - began < grace_period)
    {
        cluster.run_for(20ms);
    }
    cr_expect(stopped);
    for (const auto& answer : answers)
    {
        cr_assert(answer->has_value(), "a request has no answer when the host has ended");
        EXPECT_EQUAL((*answer)->m_status, 503U);
    }
    // The refusals are true.
    cr_expect(engine.m_seen.empty());
}

// Guards against streams that are accepted shortly before the end and cut off by it.
Test(planned_stop, a_stream_that_arrives_late_is_refused_at_once)
{
    edge_cluster cluster{29480, 1};
    cluster.add_worker("w0", "plain");
    cluster.add_worker("s0", "stage");
    worker_standin& engine = cluster.add_worker("e0", "engine");
    cluster.set_config(sample_routes(), 1);
    cluster.start();
    cluster.begin_stop(0, [] {});
    cluster.run_for(1000ms);
    EXPECT_EQUAL(
        cluster.send_request(0, sample_stream("/resume/a", "a", 2500), 3s).m_status,
        200U);
    cluster.run_for(2200ms);
    const std::size_t seen = engine.m_seen.size();
    const auto refused =
        cluster.send_request(0, sample_stream("/resume/b", "b", 2500), 300ms);
    EXPECT_EQUAL(refused.m_status, 503U);
    cr_expect(not find_field(refused.m_fields, "Retry-After").empty());
    EXPECT_EQUAL(engine.m_seen.size(), seen);
    // Short calls are still served.
    EXPECT_EQUAL(cluster.send_request(0, sample_get("/read/c", "c", 1000), 2s).m_status,
                 200U);
}
