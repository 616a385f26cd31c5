#include "edge_cluster.hpp"

#include <geraniumdoor/base/random.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <thread>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

const std::string read_route = sample_read_route;
const std::string all_routes = sample_routes();

int count_runs(const edge_cluster& cluster, const std::string& id)
{
    int runs = 0;
    for (const auto& worker : cluster.m_workers)
    {
        const auto at = worker->m_runs.find(id);
        runs += at == worker->m_runs.end() ? 0 : at->second;
    }
    return runs;
}

http_request make_stream_request(const std::string& target, const std::string& id)
{
    return sample_stream(target, id, 3000);
}

/// Returns the events of a stream without its comments, which may be forwarded.
std::string without_comments(std::string stream)
{
    const std::string comment = ": still here\n\n";
    for (auto at = stream.find(comment); at != std::string::npos;
         at = stream.find(comment))
    {
        stream.erase(at, comment.size());
    }
    return stream;
}

const std::string complete_stream =
    "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n";

} // namespace

// Integration tests of complete edge hosts on real sockets, with stand-ins of the
// platform's store and workers. Each test has its own ports.
TestSuite(edge, .timeout = 60);

Test(edge, a_caller_gets_the_workers_answer_unchanged)
{
    edge_cluster cluster{23000, 1};
    worker_standin& worker = cluster.add_worker("w1", "plain");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.send_request(0, sample_get("/read/1?q=2", "id1", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 200U);
    EXPECT_EQUAL(answer.m_body, "w1:/read/1?q=2:");
    EXPECT_EQUAL(find_field(answer.m_fields, "Response-Signature"), "w1");
    EXPECT_EQUAL(find_field(worker.m_seen[0].m_fields, "Tenant"), "t");
    cr_expect(find_field(worker.m_seen[0].m_fields, "Credential").empty());
}

Test(edge, a_payment_whose_answer_is_lost_runs_once_and_is_not_refused)
{
    edge_cluster cluster{23040, 1};
    cluster.add_worker("w1", "plain").m_mode = worker_mode::lose_answer;
    cluster.add_worker("w2", "plain").m_mode = worker_mode::lose_answer;
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer = cluster.send_request(0, sample_post("/pay/1", "id1", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 502U);
    EXPECT_EQUAL(count_runs(cluster, "id1"), 1);
}

Test(edge, a_payment_that_is_declined_everywhere_is_refused_with_a_time_to_return)
{
    edge_cluster cluster{23080, 1};
    cluster.add_worker("w1", "plain").m_mode = worker_mode::decline;
    cluster.add_worker("w2", "plain").m_mode = worker_mode::decline;
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer = cluster.send_request(0, sample_post("/pay/1", "id1", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 503U);
    cr_expect(not find_field(answer.m_fields, "Retry-After").empty());
    EXPECT_EQUAL(count_runs(cluster, "id1"), 0);
}

Test(edge, a_failed_read_is_retried_at_another_worker)
{
    edge_cluster cluster{23120, 1};
    worker_standin& first = cluster.add_worker("w1", "plain");
    worker_standin& second = cluster.add_worker("w2", "plain");
    cluster.set_config(all_routes, 1);
    cluster.start();
    for (const auto mode : {worker_mode::fail, worker_mode::tear, worker_mode::foreign,
                            worker_mode::lose_answer})
    {
        first.m_script = {mode};
        second.m_script.clear();
        const std::string id = "id" + std::to_string(static_cast<int>(mode));
        const auto answer = cluster.send_request(0, sample_get("/read/1", id, 1500), 2s);
        EXPECT_EQUAL(answer.m_status, 200U);
        first.m_script.clear();
    }
}

Test(edge, a_complete_stream_arrives_and_its_inputs_are_released)
{
    edge_cluster cluster{23160, 1};
    worker_standin& engine = cluster.add_worker("e1", "engine");
    worker_standin& stage = cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.send_request(0, make_stream_request("/stream/1", "id1"), 3s);
    EXPECT_EQUAL(answer.m_body, complete_stream);
    const auto inputs = find_field(engine.m_seen[0].m_fields, "Inputs");
    EXPECT_EQUAL(std::count(inputs.begin(), inputs.end(), ','), 2);
    cluster.run_for(200ms);
    EXPECT_EQUAL(stage.m_released, 3);
}

// Seed 10 of the soak test: an engine failed before the first event of a stream, the
// inputs were computed again, this was refused, and the response to the caller stated
// that nothing had run.
Test(edge, a_request_that_has_run_is_not_refused_when_its_inputs_cannot_be_recomputed)
{
    edge_cluster cluster{23920, 1};
    for (const char* id : {"e1", "e2"})
    {
        worker_standin& engine = cluster.add_worker(id, "engine");
        engine.m_mode = worker_mode::lose_answer;
        engine.m_delay = 300ms;
    }
    worker_standin& stage = cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.start_request(0, make_stream_request("/resume/1", "id1"), 4s);
    cluster.run_for(200ms);
    EXPECT_EQUAL(stage.m_released, 3);
    stage.m_refuse_pieces = "error";
    cluster.run_for(3500ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL(count_runs(cluster, "id1"), 1);
    EXPECT_EQUAL((*answer)->m_status / 100, 5U);
    cr_expect((*answer)->m_status != 503);
}

Test(edge, operators_can_query_the_state_of_a_host)
{
    edge_cluster cluster{23960, 2};
    cluster.add_worker("w1", "plain");
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 7);
    cluster.start();
    const auto get = [&cluster](const std::string& subject)
    {
        const auto answer = cluster.get_admin(0, "/admin/" + subject);
        EXPECT_EQUAL(answer.m_status, 200U);
        return boost::json::parse(answer.m_body).as_object();
    };
    const auto status = get("status");
    EXPECT_EQUAL(status.at("configuration_version").as_int64(), 7);
    cr_expect(status.at("ready").as_bool());
    EXPECT_EQUAL(status.at("live_hosts").as_int64(), 2);
    cr_expect(status.at("store_age_ms").is_number());
    EXPECT_EQUAL(get("hosts").at("hosts").as_array().size(), 2U);
    EXPECT_EQUAL(get("upstreams").at("upstreams").as_array().size(), 2U);
    const auto queues = get("queues").at("queues").as_array();
    cr_assert(queues.size() == 1);
    EXPECT_EQUAL(queues[0].at("pool").as_string(), "stage");
    cr_expect(get("suspects").at("suspects").as_array().empty());
    EXPECT_EQUAL(get("limits").at("hosts_that_share_bounds").as_int64(), 2);
    EXPECT_EQUAL(cluster.get_admin(0, "/admin/unknown").m_status, 404U);
}

// Guards against results that occupy memory at their producers while the engine reads the
// prompt.
Test(edge, inputs_are_released_while_the_engine_reads_the_prompt)
{
    edge_cluster cluster{23840, 1};
    worker_standin& engine = cluster.add_worker("e1", "engine");
    worker_standin& stage = cluster.add_worker("s1", "stage");
    engine.m_delay = 800ms;
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.start_request(0, make_stream_request("/stream/1", "id1"), 3s);
    cluster.run_for(600ms);
    cr_expect(not answer->has_value());
    EXPECT_EQUAL(engine.m_seen.size(), 1U);
    EXPECT_EQUAL(stage.m_released, 3);
    cluster.run_for(900ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_body, complete_stream);
}

// Hosts crashed when the timer for the release of inputs expired in the same iteration of
// the event loop in which its request ended. Streams here end at about the time at which
// the timer expires, and the loop is blocked now and then so that several events become
// due together.
Test(edge, a_request_that_ends_when_its_inputs_are_released_does_not_crash_the_host)
{
    edge_cluster cluster{23880, 1};
    worker_standin& engine = cluster.add_worker("e1", "engine");
    worker_standin& stage = cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    random_source random{20261204};
    std::vector<std::shared_ptr<std::optional<http_response>>> answers;
    for (int at = 0; at < 150; ++at)
    {
        engine.m_delay = milliseconds{5 + uniform_below(random, 40)};
        answers.push_back(cluster.start_request(
            0, make_stream_request("/stream/1", "id" + std::to_string(at)), 3s));
        for (int turn = 0; turn < 6; ++turn)
        {
            cluster.run_for(milliseconds{1 + uniform_below(random, 6)});
            std::this_thread::sleep_for(milliseconds{uniform_below(random, 9)});
        }
    }
    cluster.run_for(1500ms);
    int served = 0;
    for (const auto& answer : answers)
    {
        served += answer->has_value() && (*answer)->m_status == 200 ? 1 : 0;
    }
    cr_expect(served > 100, "%d of 150 served", served);
    cr_expect(stage.m_released > 300);
}

Test(edge, a_broken_stream_is_resumed_without_a_gap_where_that_is_allowed)
{
    edge_cluster cluster{23200, 1};
    worker_standin& first = cluster.add_worker("e1", "engine");
    worker_standin& second = cluster.add_worker("e2", "engine");
    cluster.add_worker("s1", "stage");
    first.m_script = {worker_mode::tear};
    second.m_script = {worker_mode::tear};
    cluster.set_config(all_routes, 1);
    cluster.start();
    // Only the engine that gets the request first breaks the stream.
    auto request = make_stream_request("/resume/1", "id1");
    const auto answer = cluster.start_request(0, request, 3s);
    cluster.run_for(30ms);
    (first.m_seen.empty() ? first : second).m_script.clear();
    cluster.run_for(2500ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_body, complete_stream);
    EXPECT_EQUAL(count_runs(cluster, "id1"), 2);
}

// Guards against upstreams in trouble whose bytes keep a stream open: a stalled one that
// sends comments, and one whose event does not end.
Test(edge, a_stalled_stream_is_resumed_although_bytes_arrive)
{
    edge_cluster cluster{24000, 1};
    worker_standin& first = cluster.add_worker("e1", "engine");
    worker_standin& second = cluster.add_worker("e2", "engine");
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    for (const auto mode : {worker_mode::stall, worker_mode::endless_event})
    {
        first.m_seen.clear();
        second.m_seen.clear();
        first.m_script = {mode};
        second.m_script = {mode};
        const std::string id = "id" + std::to_string(static_cast<int>(mode));
        const auto answer =
            cluster.start_request(0, make_stream_request("/resume/1", id), 3s);
        for (int at = 0; at < 100 && first.m_seen.empty() && second.m_seen.empty(); ++at)
        {
            cluster.run_for(10ms);
        }
        (first.m_seen.empty() ? first : second).m_script.clear();
        cluster.run_for(1500ms);
        cr_assert(answer->has_value());
        EXPECT_EQUAL(without_comments((*answer)->m_body), complete_stream);
        EXPECT_EQUAL(count_runs(cluster, id), 2);
    }
}

Test(edge, a_stalled_stream_that_may_not_be_resumed_ends_at_the_callers_deadline)
{
    edge_cluster cluster{24040, 1};
    cluster.add_worker("e1", "engine").m_mode = worker_mode::stall;
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto began = std::chrono::steady_clock::now();
    const auto answer =
        cluster.send_request(0, sample_stream("/stream/1", "id1", 1500), 4s);
    EXPECT_EQUAL(answer.m_status, 0U);
    cr_expect(std::chrono::steady_clock::now() - began < 3s);
    EXPECT_EQUAL(count_runs(cluster, "id1"), 1);
}

Test(edge, a_slow_stream_within_its_gaps_runs_once_to_its_end)
{
    edge_cluster cluster{22960, 1};
    cluster.add_worker("e1", "engine").m_mode = worker_mode::slow_stream;
    cluster.add_worker("e2", "engine").m_mode = worker_mode::slow_stream;
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.send_request(0, make_stream_request("/resume/1", "id1"), 4s);
    EXPECT_EQUAL(answer.m_body, complete_stream);
    EXPECT_EQUAL(count_runs(cluster, "id1"), 1);
}

Test(edge, a_broken_stream_that_may_not_be_resumed_never_looks_complete)
{
    edge_cluster cluster{23240, 1};
    cluster.add_worker("e1", "engine").m_mode = worker_mode::tear;
    cluster.add_worker("e2", "engine").m_mode = worker_mode::tear;
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.send_request(0, make_stream_request("/stream/1", "id1"), 3s);
    EXPECT_EQUAL(answer.m_status, 0U);
    EXPECT_EQUAL(count_runs(cluster, "id1"), 1);
}

// Guards against a stream whose end is only the end of its connection and that its
// crashed upstream cut inside an event, delivered as complete.
Test(edge, an_unframed_stream_that_ends_inside_an_event_never_looks_complete)
{
    edge_cluster cluster{22920, 1};
    worker_standin& engine = cluster.add_worker("e1", "engine");
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    for (const auto mode : {worker_mode::unframed_cut, worker_mode::unframed_empty})
    {
        engine.m_mode = mode;
        const std::string id = "id" + std::to_string(static_cast<int>(mode));
        const auto answer =
            cluster.send_request(0, make_stream_request("/stream/1", id), 3s);
        EXPECT_EQUAL(answer.m_status, 0U);
        EXPECT_EQUAL(count_runs(cluster, id), 1);
    }
    engine.m_mode = worker_mode::unframed;
    const auto answer =
        cluster.send_request(0, make_stream_request("/stream/1", "whole"), 3s);
    EXPECT_EQUAL(answer.m_status, 200U);
    EXPECT_EQUAL(answer.m_body, complete_stream);
}

Test(edge, an_unframed_stream_that_ends_inside_an_event_is_resumed)
{
    edge_cluster cluster{22880, 1};
    worker_standin& first = cluster.add_worker("e1", "engine");
    worker_standin& second = cluster.add_worker("e2", "engine");
    cluster.add_worker("s1", "stage");
    // Time to clear the script of the engine that the request did not reach.
    first.m_delay = 50ms;
    second.m_delay = 50ms;
    cluster.set_config(all_routes, 1);
    cluster.start();
    for (const auto mode : {worker_mode::unframed_cut, worker_mode::unframed_empty})
    {
        first.m_seen.clear();
        second.m_seen.clear();
        first.m_script = {mode};
        second.m_script = {mode};
        const std::string id = "id" + std::to_string(static_cast<int>(mode));
        const auto answer =
            cluster.start_request(0, make_stream_request("/resume/1", id), 3s);
        for (int at = 0; at < 100 && first.m_seen.empty() && second.m_seen.empty(); ++at)
        {
            cluster.run_for(10ms);
        }
        (first.m_seen.empty() ? first : second).m_script.clear();
        cluster.run_for(1500ms);
        cr_assert(answer->has_value());
        EXPECT_EQUAL((*answer)->m_body, complete_stream);
        EXPECT_EQUAL(count_runs(cluster, id), 2);
    }
}

// Guards against a body of another type that is taken for a broken stream, or split at
// its empty lines.
Test(edge, a_body_without_events_on_a_stream_route_is_delivered_unchanged)
{
    edge_cluster cluster{22840, 1};
    worker_standin& engine = cluster.add_worker("e1", "engine");
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    engine.m_mode = worker_mode::document;
    const std::string document =
        boost::json::serialize(boost::json::array(std::size_t{150} * 1024, 1));
    for (const std::string target : {"/stream/1", "/resume/1"})
    {
        const auto answer =
            cluster.send_request(0, make_stream_request(target, "id" + target), 3s);
        EXPECT_EQUAL(answer.m_status, 200U);
        EXPECT_EQUAL(answer.m_body.size(), document.size());
    }
}

// The host crashed when it released the stage results of a rejected request, which has
// none.
Test(edge, a_rejected_request_on_a_route_with_stages_does_not_crash_the_host)
{
    edge_cluster cluster{23280, 1};
    cluster.add_worker("e1", "engine");
    cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    auto request = make_stream_request("/stream/1", "id1");
    request.m_fields[3].second = "unknown";
    EXPECT_EQUAL(cluster.send_request(0, request, 2s).m_status, 401U);
    EXPECT_EQUAL(
        cluster.send_request(0, make_stream_request("/stream/2", "id2"), 3s).m_status,
        200U);
}

// A started stream whose inputs could not be computed again got a second answer, and the
// host stopped because of the broken invariant.
Test(edge, a_started_stream_whose_inputs_are_lost_is_aborted)
{
    edge_cluster cluster{23320, 1};
    cluster.add_worker("e1", "engine").m_mode = worker_mode::tear;
    cluster.add_worker("e2", "engine").m_mode = worker_mode::tear;
    worker_standin& stage = cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.start_request(0, make_stream_request("/resume/1", "id1"), 3s);
    for (int at = 0; at < 100 && cluster.m_workers[0]->m_seen.empty() &&
                     cluster.m_workers[1]->m_seen.empty();
         ++at)
    {
        cluster.run_for(5ms);
    }
    stage.m_refuse_pieces = "error";
    cluster.run_for(3000ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 0U);
    stage.m_refuse_pieces.clear();
    EXPECT_EQUAL(cluster.send_request(0, sample_get("/read/1", "id2", 500), 1s).m_status,
                 503U);
}

Test(edge, a_request_that_cannot_be_served_in_time_is_refused_immediately)
{
    edge_cluster cluster{23360, 1};
    cluster.add_worker("e1", "engine");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto began = std::chrono::steady_clock::now();
    const auto answer =
        cluster.send_request(0, make_stream_request("/stream/1", "id1"), 3s);
    EXPECT_EQUAL(answer.m_status, 503U);
    cr_expect(std::chrono::steady_clock::now() - began < 500ms);
}

Test(edge, a_request_ends_when_its_caller_disconnects)
{
    edge_cluster cluster{23400, 1};
    worker_standin& worker = cluster.add_worker("w1", "plain");
    worker.m_mode = worker_mode::hang;
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer =
        cluster.start_request(0, sample_post("/pay/1", "id1", 1500), 100ms);
    cluster.run_for(400ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL(worker.m_server->connection_count(), 1U);
    EXPECT_EQUAL(count_runs(cluster, "id1"), 1);
}

Test(edge, a_smuggled_request_is_rejected_and_reaches_no_worker)
{
    edge_cluster cluster{23440, 1};
    worker_standin& worker = cluster.add_worker("w1", "plain");
    cluster.set_config(all_routes, 1);
    cluster.start();
    const std::string hidden = "GET /read/hidden HTTP/1.1\r\nHost: a.example\r\n"
                               "Attempt-Id: x\r\nCredential: key\r\n\r\n";
    for (const std::string framing :
         {"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
          "Content-Length: 4\r\nContent-Length: 4\r\n", "Host: b.example\r\n"})
    {
        boost::asio::ip::tcp::socket socket{cluster.m_io};
        socket.connect(cluster.caller_endpoint(0));
        const std::string bytes = "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\n"
                                  "Attempt-Id: y\r\nCredential: key\r\n" +
                                  framing + "\r\n" + hidden;
        boost::asio::write(socket, boost::asio::buffer(bytes));
        cluster.run_for(100ms);
        char answer[16] = {};
        boost::system::error_code ignored;
        socket.non_blocking(true);
        socket.read_some(boost::asio::buffer(answer, 12), ignored);
        EXPECT_EQUAL(std::string{answer}.substr(9, 3), "400");
    }
    cr_expect(worker.m_seen.empty());
}

Test(edge, requests_of_two_hosts_are_batched_in_one_queue)
{
    edge_cluster cluster{23480, 2};
    cluster.add_worker("e1", "engine");
    worker_standin& stage = cluster.add_worker("s1", "stage");
    stage.m_delay = 60ms;
    cluster.set_config(all_routes, 1);
    cluster.start();
    std::vector<std::shared_ptr<std::optional<http_response>>> answers;
    for (int at = 0; at < 6; ++at)
    {
        auto request = make_stream_request("/stream/1", "id" + std::to_string(at));
        answers.push_back(cluster.start_request(at % 2, std::move(request), 3s));
    }
    cluster.run_for(1500ms);
    for (const auto& answer : answers)
    {
        cr_assert(answer->has_value());
        EXPECT_EQUAL((*answer)->m_status, 200U);
    }
    // One host alone submits at most nine pieces, in two calls. The queue batches the
    // pieces of both hosts.
    cr_expect(stage.m_most_pieces >= 6, "most pieces in a call: %zu",
              stage.m_most_pieces);
    cr_expect(stage.m_calls <= 5, "%d calls", stage.m_calls);
}

// The result memory reserved for a call was not freed if its job was cancelled meanwhile,
// and the worker counted as full forever after 125 such results.
Test(edge, callers_that_disconnect_during_a_call_leak_no_result_memory)
{
    edge_cluster cluster{23680, 1};
    cluster.add_worker("e1", "engine");
    worker_standin& stage = cluster.add_worker("s1", "stage");
    cluster.set_config(all_routes, 1);
    cluster.start();
    stage.m_delay = 60ms;
    for (int at = 0; at < 25; ++at)
    {
        auto request = make_stream_request("/stream/1", "gone" + std::to_string(at));
        request.m_fields[6].second = "8";
        const auto answer = cluster.start_request(0, std::move(request), 30ms);
        cluster.run_for(90ms);
    }
    stage.m_delay = 0ms;
    cluster.run_for(300ms);
    EXPECT_EQUAL(
        cluster.send_request(0, make_stream_request("/stream/1", "id1"), 3s).m_status,
        200U);
}

Test(edge, a_new_configuration_is_applied_and_a_lower_version_is_ignored)
{
    edge_cluster cluster{23520, 1};
    cluster.add_worker("w1", "plain");
    cluster.set_config(read_route, 5);
    cluster.start();
    EXPECT_EQUAL(cluster.send_request(0, sample_post("/pay/1", "id1", 1000), 2s).m_status,
                 404U);
    cluster.set_config(all_routes, 9);
    cluster.run_for(800ms);
    EXPECT_EQUAL(cluster.send_request(0, sample_post("/pay/1", "id2", 1000), 2s).m_status,
                 200U);
    cluster.set_config(read_route, 7);
    cluster.run_for(800ms);
    EXPECT_EQUAL(cluster.send_request(0, sample_post("/pay/1", "id3", 1000), 2s).m_status,
                 200U);
}

Test(edge, a_host_without_a_configuration_answers_503_and_is_not_ready)
{
    edge_cluster cluster{23560, 1};
    cluster.m_store.m_down = true;
    cluster.start();
    const auto answer = cluster.send_request(0, sample_get("/read/1", "id1", 1000), 2s);
    EXPECT_EQUAL(answer.m_status, 503U);
    cr_expect(not find_field(answer.m_fields, "Retry-After").empty());
}

// Hosts that restarted together after a power failure refused callers for a second, and
// the callers had no retries left.
Test(edge, a_request_waits_until_a_starting_host_has_its_configuration)
{
    edge_cluster cluster{23720, 1};
    cluster.add_worker("w1", "plain");
    cluster.start();
    const auto answer = cluster.start_request(0, sample_get("/read/1", "id1", 1500), 2s);
    cluster.run_for(100ms);
    cr_expect(not answer->has_value());
    cluster.set_config(all_routes, 1);
    cluster.run_for(900ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 200U);
}

// A host that starts while the store is unavailable gets its rows from other hosts.
Test(edge, a_host_starts_while_the_store_is_unavailable)
{
    edge_cluster cluster{23760, 2};
    cluster.add_worker("w1", "plain");
    cluster.set_config(all_routes, 1);
    cluster.start_store();
    cluster.start_host(0);
    cluster.run_for(1000ms);
    cluster.m_store.m_down = true;
    cluster.start_host(1);
    cluster.run_for(2500ms);
    EXPECT_EQUAL(cluster.send_request(1, sample_get("/read/1", "id1", 1000), 2s).m_status,
                 200U);
}

// Guards against repeated calls to a stage worker whose address another process uses now.
Test(edge, a_stage_worker_that_is_not_the_intended_one_is_backed_off)
{
    edge_cluster cluster{23800, 1};
    cluster.add_worker("e1", "engine");
    worker_standin& wrong = cluster.add_worker("s1", "stage");
    worker_standin& right = cluster.add_worker("s2", "stage");
    wrong.m_pieces_status = 421;
    cluster.set_config(all_routes, 1);
    cluster.start();
    for (int at = 0; at < 8; ++at)
    {
        const auto answer = cluster.send_request(
            0, make_stream_request("/stream/1", "id" + std::to_string(at)), 3s);
        EXPECT_EQUAL(answer.m_status, 200U);
    }
    cr_expect(right.m_calls >= 8);
    cr_expect(wrong.m_calls <= 4, "%d calls to the wrong worker", wrong.m_calls);
}

// Guards against hosts that are blind after the store has come back from an older copy,
// or believe its older rows.
Test(edge, hosts_follow_a_store_that_comes_back_from_an_older_copy)
{
    edge_cluster cluster{22640, 2};
    worker_standin& leaving = cluster.add_worker("w1", "plain");
    cluster.add_worker("w2", "plain");
    cluster.set_config(read_route, 5);
    cluster.start();

    // After the copy was made, a worker leaves and a route is added.
    const auto copy = cluster.m_store.make_copy();
    cluster.m_store.put("servers", "w1",
                        registry_entry(leaving, leaving.m_port, "draining"));
    cluster.set_config(all_routes, 6);
    cluster.m_store.put("op", "unrelated", "1");
    cluster.run_for(1200ms);
    cluster.m_store.m_down = true;
    cluster.run_for(300ms);
    cluster.m_store.go_back(copy);
    cluster.m_store.m_down = false;
    cluster.run_for(1200ms);

    // What was known stays in force.
    const auto seen = leaving.m_seen.size();
    for (int at = 0; at < 6; ++at)
    {
        const std::string id = "id" + std::to_string(at);
        EXPECT_EQUAL(
            cluster.send_request(at % 2, sample_post("/pay/1", id, 1000), 2s).m_status,
            200U);
    }
    EXPECT_EQUAL(leaving.m_seen.size(), seen);

    // What is written from now on is seen, under versions that were given out before.
    worker_standin& added = cluster.add_worker("w3", "plain");
    cluster.m_store.remove("servers", "w2");
    cluster.m_store.put("servers", "w1",
                        registry_entry(leaving, leaving.m_port, "draining"));
    cluster.set_config(read_route, 7);
    cluster.run_for(3000ms);
    for (int host = 0; host < 2; ++host)
    {
        const std::string id = "last" + std::to_string(host);
        EXPECT_EQUAL(
            cluster.send_request(host, sample_get("/read/1", id, 1000), 2s).m_status,
            200U);
        EXPECT_EQUAL(
            cluster.send_request(host, sample_post("/pay/1", id, 1000), 2s).m_status,
            404U);
    }
    EXPECT_EQUAL(added.m_seen.size(), 2U);
    EXPECT_EQUAL(leaving.m_seen.size(), seen);
}

Test(edge, a_removed_worker_gets_no_more_requests)
{
    edge_cluster cluster{23600, 1};
    worker_standin& first = cluster.add_worker("w1", "plain");
    cluster.add_worker("w2", "plain");
    cluster.set_config(all_routes, 1);
    cluster.start();
    cluster.m_store.remove("servers", "w1");
    cluster.run_for(1200ms);
    const auto seen = first.m_seen.size();
    for (int at = 0; at < 10; ++at)
    {
        const auto answer = cluster.send_request(
            0, sample_get("/read/1", "id" + std::to_string(at), 1000), 2s);
        EXPECT_EQUAL(answer.m_status, 200U);
    }
    EXPECT_EQUAL(first.m_seen.size(), seen);
}

Test(edge, a_graceful_shutdown_completes_requests_in_progress)
{
    edge_cluster cluster{23640, 1};
    worker_standin& worker = cluster.add_worker("w1", "plain");
    worker.m_delay = 700ms;
    cluster.set_config(all_routes, 1);
    cluster.start();
    const auto answer = cluster.start_request(0, sample_post("/pay/1", "id1", 1800), 2s);
    cluster.run_for(100ms);
    bool stopped = false;
    cluster.begin_stop(0,
                       [&stopped]
                       {
                           stopped = true;
                       });
    worker.m_delay = 0ms;
    EXPECT_EQUAL(cluster.send_request(0, sample_post("/pay/2", "id2", 1500), 2s).m_status,
                 200U);
    cluster.run_for(900ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 200U);
    cluster.run_for(4500ms);
    cr_expect(stopped);
}
