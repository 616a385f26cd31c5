#include "edge_world.hpp"

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

int runs_of(const edge_world& world, const std::string& id)
{
    int runs = 0;
    for (const auto& worker : world.m_workers)
    {
        const auto at = worker->m_runs.find(id);
        runs += at == worker->m_runs.end() ? 0 : at->second;
    }
    return runs;
}

http_request streamed(const std::string& target, const std::string& id)
{
    return sample_stream(target, id, 3000);
}

const std::string whole_stream =
    "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n";

} // namespace

// Guards against faults in the wiring of a whole host, on real sockets, with stand-ins of
// the platform's store and workers. Each test has ports of its own.
TestSuite(edge, .timeout = 60);

Test(edge, a_caller_gets_the_workers_answer_unchanged)
{
    edge_world world{23000, 1};
    worker_standin& worker = world.add_worker("w1", "plain");
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.ask(0, sample_get("/read/1?q=2", "id1", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 200U);
    EXPECT_EQUAL(answer.m_body, "w1:/read/1?q=2:");
    EXPECT_EQUAL(find_field(answer.m_fields, "Response-Signature"), "w1");
    EXPECT_EQUAL(find_field(worker.m_seen[0].m_fields, "Tenant"), "t");
    cr_expect(find_field(worker.m_seen[0].m_fields, "Credential").empty());
}

Test(edge, a_payment_whose_answer_is_lost_runs_once_and_is_not_refused)
{
    edge_world world{23040, 1};
    world.add_worker("w1", "plain").m_mode = worker_mode::lose_answer;
    world.add_worker("w2", "plain").m_mode = worker_mode::lose_answer;
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.ask(0, sample_post("/pay/1", "id1", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 502U);
    EXPECT_EQUAL(runs_of(world, "id1"), 1);
}

Test(edge, a_payment_that_is_declined_everywhere_is_refused_with_a_time_to_return)
{
    edge_world world{23080, 1};
    world.add_worker("w1", "plain").m_mode = worker_mode::decline;
    world.add_worker("w2", "plain").m_mode = worker_mode::decline;
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.ask(0, sample_post("/pay/1", "id1", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 503U);
    cr_expect(not find_field(answer.m_fields, "Retry-After").empty());
    EXPECT_EQUAL(runs_of(world, "id1"), 0);
}

Test(edge, a_read_that_fails_is_asked_for_elsewhere)
{
    edge_world world{23120, 1};
    worker_standin& first = world.add_worker("w1", "plain");
    worker_standin& second = world.add_worker("w2", "plain");
    world.set_config(all_routes, 1);
    world.start();
    for (const auto mode : {worker_mode::fail, worker_mode::tear, worker_mode::foreign,
                            worker_mode::lose_answer})
    {
        first.m_script = {mode};
        second.m_script.clear();
        const std::string id = "id" + std::to_string(static_cast<int>(mode));
        const auto answer = world.ask(0, sample_get("/read/1", id, 1500), 2s);
        EXPECT_EQUAL(answer.m_status, 200U);
        first.m_script.clear();
    }
}

Test(edge, a_whole_stream_arrives_and_its_inputs_are_released)
{
    edge_world world{23160, 1};
    worker_standin& engine = world.add_worker("e1", "engine");
    worker_standin& stage = world.add_worker("s1", "stage");
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.ask(0, streamed("/stream/1", "id1"), 3s);
    EXPECT_EQUAL(answer.m_body, whole_stream);
    const auto inputs = find_field(engine.m_seen[0].m_fields, "Inputs");
    EXPECT_EQUAL(std::count(inputs.begin(), inputs.end(), ','), 2);
    world.run_for(200ms);
    EXPECT_EQUAL(stage.m_released, 3);
}

// Seed 10 of the soak: a stream whose engine broke before its first event had its inputs
// made again, these were refused, and the caller was told that nothing had run.
Test(edge, a_request_that_has_run_is_not_refused_when_its_inputs_cannot_be_made_again)
{
    edge_world world{23920, 1};
    for (const char* id : {"e1", "e2"})
    {
        worker_standin& engine = world.add_worker(id, "engine");
        engine.m_mode = worker_mode::lose_answer;
        engine.m_delay = 300ms;
    }
    worker_standin& stage = world.add_worker("s1", "stage");
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.start_request(0, streamed("/resume/1", "id1"), 4s);
    world.run_for(200ms);
    EXPECT_EQUAL(stage.m_released, 3);
    stage.m_refuse_pieces = "error";
    world.run_for(3500ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL(runs_of(world, "id1"), 1);
    EXPECT_EQUAL((*answer)->m_status / 100, 5U);
    cr_expect((*answer)->m_status != 503);
}

// What operators see of a running host.
Test(edge, a_host_says_what_it_knows)
{
    edge_world world{23960, 2};
    world.add_worker("w1", "plain");
    world.add_worker("s1", "stage");
    world.set_config(all_routes, 7);
    world.start();
    const auto ask = [&world](const std::string& subject)
    {
        const auto answer = world.ask_operator(0, "/admin/" + subject);
        EXPECT_EQUAL(answer.m_status, 200U);
        return boost::json::parse(answer.m_body).as_object();
    };
    const auto status = ask("status");
    EXPECT_EQUAL(status.at("configuration_version").as_int64(), 7);
    cr_expect(status.at("ready").as_bool());
    EXPECT_EQUAL(status.at("live_hosts").as_int64(), 2);
    cr_expect(status.at("store_age_ms").is_number());
    EXPECT_EQUAL(ask("hosts").at("hosts").as_array().size(), 2U);
    EXPECT_EQUAL(ask("upstreams").at("upstreams").as_array().size(), 2U);
    const auto queues = ask("queues").at("queues").as_array();
    cr_assert(queues.size() == 1);
    EXPECT_EQUAL(queues[0].at("pool").as_string(), "stage");
    EXPECT_EQUAL(ask("limits").at("hosts_that_share_bounds").as_int64(), 2);
    EXPECT_EQUAL(world.ask_operator(0, "/admin/unknown").m_status, 404U);
}

// Results held the room of their makers for as long as the engine read the prompt.
Test(edge, inputs_are_released_while_the_engine_reads_the_prompt)
{
    edge_world world{23840, 1};
    worker_standin& engine = world.add_worker("e1", "engine");
    worker_standin& stage = world.add_worker("s1", "stage");
    engine.m_delay = 800ms;
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.start_request(0, streamed("/stream/1", "id1"), 3s);
    world.run_for(600ms);
    cr_expect(not answer->has_value());
    EXPECT_EQUAL(engine.m_seen.size(), 1U);
    EXPECT_EQUAL(stage.m_released, 3);
    world.run_for(900ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_body, whole_stream);
}

// Hosts died of a timer for the release of inputs that was due in the same turn of the
// event loop in which its request ended. Streams end here about when the timer is due,
// and the loop is held up so that what is due comes in batches.
Test(edge, a_request_that_ends_when_its_inputs_are_released_leaves_the_host_alive)
{
    edge_world world{23880, 1};
    worker_standin& engine = world.add_worker("e1", "engine");
    worker_standin& stage = world.add_worker("s1", "stage");
    world.set_config(all_routes, 1);
    world.start();
    random_source random{20261204};
    std::vector<std::shared_ptr<std::optional<http_response>>> answers;
    for (int at = 0; at < 150; ++at)
    {
        engine.m_delay = milliseconds{5 + uniform_below(random, 40)};
        answers.push_back(
            world.start_request(0, streamed("/stream/1", "id" + std::to_string(at)), 3s));
        for (int turn = 0; turn < 6; ++turn)
        {
            world.run_for(milliseconds{1 + uniform_below(random, 6)});
            std::this_thread::sleep_for(milliseconds{uniform_below(random, 9)});
        }
    }
    world.run_for(1500ms);
    int served = 0;
    for (const auto& answer : answers)
    {
        served += answer->has_value() && (*answer)->m_status == 200 ? 1 : 0;
    }
    cr_expect(served > 100, "%d of 150 served", served);
    cr_expect(stage.m_released > 300);
}

Test(edge, a_stream_that_breaks_is_resumed_without_a_gap_where_that_is_allowed)
{
    edge_world world{23200, 1};
    worker_standin& first = world.add_worker("e1", "engine");
    worker_standin& second = world.add_worker("e2", "engine");
    world.add_worker("s1", "stage");
    first.m_script = {worker_mode::tear};
    second.m_script = {worker_mode::tear};
    world.set_config(all_routes, 1);
    world.start();
    // Only one of the engines gets the request first; the other one has to be sound.
    auto request = streamed("/resume/1", "id1");
    const auto probe = world.start_request(0, request, 3s);
    world.run_for(30ms);
    (first.m_seen.empty() ? first : second).m_script.clear();
    world.run_for(2500ms);
    cr_assert(probe->has_value());
    EXPECT_EQUAL((*probe)->m_body, whole_stream);
    EXPECT_EQUAL(runs_of(world, "id1"), 2);
}

Test(edge, a_stream_that_may_not_be_resumed_is_cut_off_and_never_looks_whole)
{
    edge_world world{23240, 1};
    world.add_worker("e1", "engine").m_mode = worker_mode::tear;
    world.add_worker("e2", "engine").m_mode = worker_mode::tear;
    world.add_worker("s1", "stage");
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.ask(0, streamed("/stream/1", "id1"), 3s);
    EXPECT_EQUAL(answer.m_status, 0U);
    EXPECT_EQUAL(runs_of(world, "id1"), 1);
}

// The host released results of stages that a rejected request never had, and died.
Test(edge, a_rejected_request_on_a_route_with_stages_leaves_the_host_alive)
{
    edge_world world{23280, 1};
    world.add_worker("e1", "engine");
    world.add_worker("s1", "stage");
    world.set_config(all_routes, 1);
    world.start();
    auto request = streamed("/stream/1", "id1");
    request.m_fields[3].second = "unknown";
    EXPECT_EQUAL(world.ask(0, request, 2s).m_status, 401U);
    EXPECT_EQUAL(world.ask(0, streamed("/stream/2", "id2"), 3s).m_status, 200U);
}

// A begun stream whose inputs could not be made again was answered a second time, and the
// host died of the broken invariant.
Test(edge, a_begun_stream_whose_inputs_are_lost_is_cut_off)
{
    edge_world world{23320, 1};
    world.add_worker("e1", "engine").m_mode = worker_mode::tear;
    world.add_worker("e2", "engine").m_mode = worker_mode::tear;
    worker_standin& stage = world.add_worker("s1", "stage");
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.start_request(0, streamed("/resume/1", "id1"), 3s);
    for (int at = 0; at < 100 && world.m_workers[0]->m_seen.empty() &&
                     world.m_workers[1]->m_seen.empty();
         ++at)
    {
        world.run_for(5ms);
    }
    stage.m_refuse_pieces = "error";
    world.run_for(3000ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 0U);
    stage.m_refuse_pieces.clear();
    EXPECT_EQUAL(world.ask(0, sample_get("/read/1", "id2", 500), 1s).m_status, 503U);
}

Test(edge, a_request_that_nothing_can_serve_in_time_is_refused_at_once)
{
    edge_world world{23360, 1};
    world.add_worker("e1", "engine");
    world.set_config(all_routes, 1);
    world.start();
    const auto began = std::chrono::steady_clock::now();
    const auto answer = world.ask(0, streamed("/stream/1", "id1"), 3s);
    EXPECT_EQUAL(answer.m_status, 503U);
    cr_expect(std::chrono::steady_clock::now() - began < 500ms);
}

Test(edge, a_caller_that_leaves_takes_its_request_along)
{
    edge_world world{23400, 1};
    worker_standin& worker = world.add_worker("w1", "plain");
    worker.m_mode = worker_mode::hang;
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.start_request(0, sample_post("/pay/1", "id1", 1500), 100ms);
    world.run_for(400ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL(worker.m_server->connection_count(), 1U);
    EXPECT_EQUAL(runs_of(world, "id1"), 1);
}

Test(edge, a_smuggled_request_is_rejected_and_reaches_no_worker)
{
    edge_world world{23440, 1};
    worker_standin& worker = world.add_worker("w1", "plain");
    world.set_config(all_routes, 1);
    world.start();
    const std::string hidden = "GET /read/hidden HTTP/1.1\r\nHost: a.example\r\n"
                               "Attempt-Id: x\r\nCredential: key\r\n\r\n";
    for (const std::string framing :
         {"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
          "Content-Length: 4\r\nContent-Length: 4\r\n", "Host: b.example\r\n"})
    {
        boost::asio::ip::tcp::socket socket{world.m_io};
        socket.connect(world.callers_of(0));
        const std::string bytes = "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\n"
                                  "Attempt-Id: y\r\nCredential: key\r\n" +
                                  framing + "\r\n" + hidden;
        boost::asio::write(socket, boost::asio::buffer(bytes));
        world.run_for(100ms);
        char answer[16] = {};
        boost::system::error_code ignored;
        socket.non_blocking(true);
        socket.read_some(boost::asio::buffer(answer, 12), ignored);
        EXPECT_EQUAL(std::string{answer}.substr(9, 3), "400");
    }
    cr_expect(worker.m_seen.empty());
}

Test(edge, requests_of_two_hosts_share_the_calls_of_one_queue)
{
    edge_world world{23480, 2};
    world.add_worker("e1", "engine");
    worker_standin& stage = world.add_worker("s1", "stage");
    stage.m_delay = 60ms;
    world.set_config(all_routes, 1);
    world.start();
    std::vector<std::shared_ptr<std::optional<http_response>>> answers;
    for (int at = 0; at < 6; ++at)
    {
        auto request = streamed("/stream/1", "id" + std::to_string(at));
        answers.push_back(world.start_request(at % 2, std::move(request), 3s));
    }
    world.run_for(1500ms);
    for (const auto& answer : answers)
    {
        cr_assert(answer->has_value());
        EXPECT_EQUAL((*answer)->m_status, 200U);
    }
    // One host alone has nine pieces at most, in two calls; the queue joins those of
    // both.
    cr_expect(stage.m_most_pieces >= 6, "most pieces in a call: %zu",
              stage.m_most_pieces);
    cr_expect(stage.m_calls <= 5, "%d calls", stage.m_calls);
}

// The room of a call was not given back when its job was cancelled meanwhile: the worker
// looked full for good after 125 such results.
Test(edge, callers_that_leave_during_a_call_cost_no_room)
{
    edge_world world{23680, 1};
    world.add_worker("e1", "engine");
    worker_standin& stage = world.add_worker("s1", "stage");
    world.set_config(all_routes, 1);
    world.start();
    stage.m_delay = 60ms;
    for (int at = 0; at < 25; ++at)
    {
        auto request = streamed("/stream/1", "gone" + std::to_string(at));
        request.m_fields[6].second = "8";
        const auto answer = world.start_request(0, std::move(request), 30ms);
        world.run_for(90ms);
    }
    stage.m_delay = 0ms;
    world.run_for(300ms);
    EXPECT_EQUAL(world.ask(0, streamed("/stream/1", "id1"), 3s).m_status, 200U);
}

Test(edge, a_new_configuration_is_in_force_and_a_lower_version_changes_nothing)
{
    edge_world world{23520, 1};
    world.add_worker("w1", "plain");
    world.set_config(read_route, 5);
    world.start();
    EXPECT_EQUAL(world.ask(0, sample_post("/pay/1", "id1", 1000), 2s).m_status, 404U);
    world.set_config(all_routes, 9);
    world.run_for(800ms);
    EXPECT_EQUAL(world.ask(0, sample_post("/pay/1", "id2", 1000), 2s).m_status, 200U);
    world.set_config(read_route, 7);
    world.run_for(800ms);
    EXPECT_EQUAL(world.ask(0, sample_post("/pay/1", "id3", 1000), 2s).m_status, 200U);
}

Test(edge, a_host_without_a_configuration_answers_503_and_is_not_ready)
{
    edge_world world{23560, 1};
    world.m_store.m_down = true;
    world.start();
    const auto answer = world.ask(0, sample_get("/read/1", "id1", 1000), 2s);
    EXPECT_EQUAL(answer.m_status, 503U);
    cr_expect(not find_field(answer.m_fields, "Retry-After").empty());
}

// Hosts that came back together from a loss of power refused callers for a second, and
// these had no repeat left.
Test(edge, a_request_waits_for_the_configuration_of_a_host_that_starts)
{
    edge_world world{23720, 1};
    world.add_worker("w1", "plain");
    world.start();
    const auto answer = world.start_request(0, sample_get("/read/1", "id1", 1500), 2s);
    world.run_for(100ms);
    cr_expect(not answer->has_value());
    world.set_config(all_routes, 1);
    world.run_for(900ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 200U);
}

// A host that starts while the store is away learns what it needs from the others.
Test(edge, a_host_starts_while_the_store_is_away)
{
    edge_world world{23760, 2};
    world.add_worker("w1", "plain");
    world.set_config(all_routes, 1);
    world.start_store();
    world.start_host(0);
    world.run_for(1000ms);
    world.m_store.m_down = true;
    world.start_host(1);
    world.run_for(2500ms);
    EXPECT_EQUAL(world.ask(1, sample_get("/read/1", "id1", 1000), 2s).m_status, 200U);
}

// A stage worker whose address another process had taken was asked for each call again.
Test(edge, a_stage_worker_that_answers_for_another_one_is_left_alone_for_a_while)
{
    edge_world world{23800, 1};
    world.add_worker("e1", "engine");
    worker_standin& wrong = world.add_worker("s1", "stage");
    worker_standin& right = world.add_worker("s2", "stage");
    wrong.m_pieces_status = 421;
    world.set_config(all_routes, 1);
    world.start();
    for (int at = 0; at < 8; ++at)
    {
        const auto answer =
            world.ask(0, streamed("/stream/1", "id" + std::to_string(at)), 3s);
        EXPECT_EQUAL(answer.m_status, 200U);
    }
    cr_expect(right.m_calls >= 8);
    cr_expect(wrong.m_calls <= 4, "%d calls to the wrong worker", wrong.m_calls);
}

Test(edge, a_worker_that_leaves_gets_nothing_more)
{
    edge_world world{23600, 1};
    worker_standin& first = world.add_worker("w1", "plain");
    world.add_worker("w2", "plain");
    world.set_config(all_routes, 1);
    world.start();
    world.m_store.remove("servers", "w1");
    world.run_for(1200ms);
    const auto seen = first.m_seen.size();
    for (int at = 0; at < 10; ++at)
    {
        const auto answer =
            world.ask(0, sample_get("/read/1", "id" + std::to_string(at), 1000), 2s);
        EXPECT_EQUAL(answer.m_status, 200U);
    }
    EXPECT_EQUAL(first.m_seen.size(), seen);
}

Test(edge, a_planned_stop_finishes_what_is_in_progress)
{
    edge_world world{23640, 1};
    worker_standin& worker = world.add_worker("w1", "plain");
    worker.m_delay = 700ms;
    world.set_config(all_routes, 1);
    world.start();
    const auto answer = world.start_request(0, sample_post("/pay/1", "id1", 1800), 2s);
    world.run_for(100ms);
    bool stopped = false;
    world.begin_stop(0,
                     [&stopped]
                     {
                         stopped = true;
                     });
    worker.m_delay = 0ms;
    EXPECT_EQUAL(world.ask(0, sample_post("/pay/2", "id2", 1500), 2s).m_status, 200U);
    world.run_for(900ms);
    cr_assert(answer->has_value());
    EXPECT_EQUAL((*answer)->m_status, 200U);
    world.run_for(4500ms);
    cr_expect(stopped);
}
