#include "edge_cluster.hpp"
#include "repeating_server.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

#include <src/edge/send_permits.hpp>
#include <src/edge/stage_scheduler.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::edge;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint64_t result_bytes = 600'000;

/// A queue of one host with one upstream of pieces that writes some answers twice.
struct queue_story
{
    queue_story(std::uint16_t port, copy_time time, repeating_server::handler answer)
        : m_server{m_io.get_executor(),
                   {asio::ip::make_address("127.20.0.1"), port},
                   time,
                   std::move(answer)}
        , m_permits{m_state, [](const auto&, const auto&) {}}
        , m_rollouts{m_state, [](const auto&, const auto&) {},
                     [](const auto&)
                     {
                         return milliseconds{0};
                     }}
        , m_scheduler{m_state,
                      m_dialer,
                      m_permits,
                      m_rollouts,
                      [this](const node_id&, pieces_result result)
                      {
                          m_results.push_back(std::move(result));
                      },
                      [](const node_id&, const pieces_forecast&) {}}
    {
        m_state.m_own_report.m_node.m_value = "own";
        m_state.m_own_report.m_processor = 1000;
        m_state.m_own_report.m_ready = true;
        auto routing = std::make_shared<serving::routing_config>();
        serving::piece_limits limits;
        limits.m_base_call_time = 20ms;
        limits.m_result_memory_bytes = 1'000'000;
        routing->m_pools[m_pool].m_pieces = limits;
        m_state.m_routing = routing;
        serving::upstream_entry entry;
        entry.m_id = m_upstream;
        entry.m_pool = m_pool;
        entry.m_address = {asio::ip::make_address("127.20.0.1"), port};
        serving::apply_entry(m_state.m_upstreams, entry, now());
        m_scheduler.start();
    }

    void run_for(milliseconds length)
    {
        const time_point end = now() + length;
        while (now() < end)
        {
            m_io.restart();
            m_io.run_for(5ms);
            m_timers.advance_to(now());
        }
    }

    /// Makes one piece and returns the handle of its result; empty if it failed.
    std::string make_piece(const std::string& id)
    {
        pieces_request request;
        request.m_job = ++m_last_job;
        request.m_pool = m_pool;
        request.m_request.m_value = id;
        request.m_pieces = 1;
        request.m_key = "k";
        request.m_due_ms = 2000;
        request.m_deadline_ms = 2000;
        request.m_result_bytes = result_bytes;
        m_results.clear();
        m_scheduler.on_request(m_state.m_own_report.m_node, incarnation{1}, request);
        const time_point last = now() + 2500ms;
        while (m_results.empty() && now() < last)
        {
            run_for(5ms);
        }
        const bool done = !m_results.empty() && !m_results.front().m_handles.empty();
        return done ? m_results.front().m_handles.front() : std::string{};
    }

    void release(const std::string& handle)
    {
        m_scheduler.on_release({m_pool, {handle}});
        run_for(200ms);
    }

    serving::send_account& account()
    {
        return m_state.m_upstreams.m_rows.find(m_upstream)->m_sends;
    }

    /// Connections on which requests for a path have arrived, in their order.
    std::vector<int> connections_of(const std::string& path) const
    {
        std::vector<int> connections;
        for (const auto& arrival : m_server.m_arrivals)
        {
            if (arrival.m_request.m_target == path)
            {
                connections.push_back(arrival.m_connection);
            }
        }
        return connections;
    }

    pool_id m_pool{"stage"};
    upstream_id m_upstream{"w0"};
    asio::io_context m_io{1};
    repeating_server m_server;
    timer_service m_timers{now()};
    edge_state m_state{m_io.get_executor(), {}, m_timers};
    upstream_dialer m_dialer{m_state, {}, [] {}};
    send_permits m_permits;
    rollout_exchange m_rollouts;
    std::vector<pieces_result> m_results;
    stage_scheduler m_scheduler;
    std::uint64_t m_last_job = 0;
};

/// Answer to a call of one piece.
std::string made_piece(const http_request& call)
{
    const auto body = boost::json::parse(call.m_body);
    const auto& id = body.at("items").as_array().front().at("id").as_string();
    return make_answer(200, {{"Content-Type", "application/json"}},
                       R"({"items":[{"handle":"127.20.0.1:1/)" + std::string{id} +
                           R"("}]})");
}

/// Answer of a worker that has run a request.
std::string run_answer(const http_request& request)
{
    const std::string id{find_field(request.m_fields, "Attempt-Id")};
    return make_answer(200, {{"Attempt-Id", id}, {"Response-Signature", "w0"}},
                       "ran " + id);
}

/// One host with one worker, which refuses each request of a caller at first and writes
/// the refusal twice.
struct caller_story
{
    caller_story(std::uint16_t first_port, copy_time time, unsigned status, bool has_id)
        : m_cluster{first_port, 1}
        , m_worker{
              m_cluster.m_io.get_executor(),
              {asio::ip::make_address("127.20.0.1"),
               static_cast<std::uint16_t>(first_port + 20)},
              time,
              [this, status, has_id](const http_request& request)
              {
                  const std::string id{find_field(request.m_fields, "Attempt-Id")};
                  if (++m_arrivals[id] > 1)
                  {
                      return repeating_server::reply{run_answer(request), true};
                  }
                  http_fields fields{{"Not-Executed", "1"}};
                  if (has_id)
                  {
                      fields.emplace_back("Attempt-Id", id);
                  }
                  return repeating_server::reply{make_answer(status, fields, ""), true};
              }}
    {
        worker_standin listed;
        listed.m_id = "w0";
        listed.m_service = "plain";
        listed.m_address = "127.20.0.1";
        m_cluster.m_store.put(
            "servers", "w0",
            registry_entry(listed, static_cast<std::uint16_t>(first_port + 20)));
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    std::map<std::string, int> m_arrivals;
    edge_cluster m_cluster;
    repeating_server m_worker;
};

/// Bytes of a request of a caller that keeps its connection.
std::string caller_request(const std::string& id)
{
    const http_request request = sample_post("/pay/" + id, id, 2000);
    std::string text = "POST " + request.m_target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.m_fields)
    {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(request.m_body.size()) +
           "\r\n\r\n" + request.m_body;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

/// Reads what has arrived.
std::string read_available(tcp::socket& socket)
{
    boost::system::error_code error;
    std::string bytes(socket.available(error), '\0');
    if (!bytes.empty())
    {
        bytes.resize(socket.read_some(asio::buffer(bytes), error));
    }
    return bytes;
}

bool are_distinct(const std::vector<int>& connections)
{
    return std::set<int>(connections.begin(), connections.end()).size() ==
           connections.size();
}

} // namespace

// Guards against a copy of an earlier answer of an upstream that is taken for the answer
// to a later call, for each kind of call.
TestSuite(repeated_answer, .timeout = 60);

Test(repeated_answer, a_refused_call_of_pieces_is_made_again_on_another_connection)
{
    std::uint16_t port = 28780;
    for (const copy_time time : copy_times)
    {
        queue_story story{
            port++, time,
            [calls = 0](const http_request& call) mutable
            {
                ++calls;
                return calls == 1
                           ? repeating_server::reply{make_answer(503,
                                                                 {{"Not-Executed", "1"}},
                                                                 ""),
                                                     true}
                           : repeating_server::reply{made_piece(call), false};
            }};
        const std::string handle = story.make_piece("a");
        cr_expect(handle == "127.20.0.1:1/a", "%s: %s", to_text(time), handle.c_str());
        const auto connections = story.connections_of("/stage-run");
        cr_expect(connections.size() == 2, "%s: %zu calls", to_text(time),
                  connections.size());
        cr_expect(are_distinct(connections), "%s", to_text(time));
    }
}

Test(repeated_answer, a_copy_of_the_answer_to_a_release_does_not_end_a_limit)
{
    std::uint16_t port = 28790;
    for (const copy_time time : copy_times)
    {
        bool names_limit = false;
        queue_story story{port++, time,
                          [&names_limit](const http_request& call)
                          {
                              if (call.m_target == "/stage-run")
                              {
                                  return repeating_server::reply{made_piece(call), false};
                              }
                              const http_fields fields =
                                  names_limit ? http_fields{{"Server-Limit", "2"}}
                                              : http_fields{};
                              return repeating_server::reply{make_answer(200, fields, ""),
                                                             !names_limit};
                          }};
        story.release(story.make_piece("a"));
        cr_assert(story.connections_of("/stage-free").size() == 1);
        const std::string handle = story.make_piece("b");
        names_limit = true;
        serving::record_statement(story.account(), serving::requests_per_s{2}, false,
                                  now(), now());
        story.release(handle);
        story.run_for(600ms);
        cr_expect(story.connections_of("/stage-free").size() == 2, "%s: %zu releases",
                  to_text(time), story.connections_of("/stage-free").size());
        cr_expect(story.account().m_statement.m_limit.has_value(),
                  "%s: the limit has ended", to_text(time));
    }
}

Test(repeated_answer, a_copy_of_a_limit_that_has_ended_does_not_bring_it_back)
{
    std::uint16_t port = 28800;
    for (const copy_time time : copy_times)
    {
        bool names_limit = true;
        queue_story story{
            port++, time,
            [&names_limit](const http_request& call)
            {
                if (call.m_target == "/stage-run")
                {
                    return repeating_server::reply{made_piece(call), false};
                }
                const http_fields fields =
                    names_limit ? http_fields{{"Server-Limit", "2"}} : http_fields{};
                return repeating_server::reply{make_answer(200, fields, ""), names_limit};
            }};
        story.release(story.make_piece("a"));
        cr_assert(story.account().m_statement.m_limit.has_value());
        names_limit = false;
        const std::string handle = story.make_piece("b");
        cr_assert(!story.account().m_statement.m_limit.has_value());
        story.release(handle);
        cr_expect(story.connections_of("/stage-free").size() == 2, "%s: %zu releases",
                  to_text(time), story.connections_of("/stage-free").size());
        cr_expect(!story.account().m_statement.m_limit.has_value(),
                  "%s: the limit is back", to_text(time));
    }
}

Test(repeated_answer, releases_share_a_connection_while_no_limit_is_named)
{
    queue_story story{28820, copy_time::never,
                      [](const http_request& call)
                      {
                          return repeating_server::reply{call.m_target == "/stage-run"
                                                             ? made_piece(call)
                                                             : make_answer(200, {}, ""),
                                                         false};
                      }};
    for (const std::string id : {"a", "b", "c"})
    {
        story.release(story.make_piece(id));
    }
    const auto connections = story.connections_of("/stage-free");
    EXPECT_EQUAL(connections.size(), 3U);
    EXPECT_EQUAL(std::set<int>(connections.begin(), connections.end()).size(), 1U);
}

Test(repeated_answer, a_refused_request_of_a_caller_runs_once_and_is_answered_once)
{
    std::uint16_t first_port = 28080;
    for (const copy_time time : copy_times)
    {
        caller_story story{first_port, time, 503, true};
        first_port += 40;
        tcp::socket caller{story.m_cluster.m_io};
        caller.connect(story.m_cluster.caller_endpoint(0));
        for (const std::string id : {"p1", "p2"})
        {
            asio::write(caller, asio::buffer(caller_request(id)));
            std::string received;
            const time_point last = now() + 2s;
            while (received.find("ran " + id) == std::string::npos && now() < last)
            {
                story.m_cluster.run_for(10ms);
                received += read_available(caller);
            }
            // Time for an answer that comes late.
            story.m_cluster.run_for(200ms);
            received += read_available(caller);
            cr_expect(received.starts_with("HTTP/1.1 200") &&
                          count_of(received, "HTTP/1.1 ") == 1 &&
                          received.ends_with("ran " + id),
                      "%s: %s", to_text(time), received.c_str());
            // The second arrival runs it.
            EXPECT_EQUAL(story.m_arrivals[id], 2);
        }
        std::vector<int> connections;
        for (const auto& arrival : story.m_worker.m_arrivals)
        {
            connections.push_back(arrival.m_connection);
        }
        cr_expect(are_distinct(connections), "%s", to_text(time));
    }
}

Test(repeated_answer, a_refusal_without_an_id_is_believed_on_its_own_connection)
{
    std::uint16_t first_port = 28280;
    for (const unsigned status : {429U, 503U})
    {
        caller_story story{first_port, copy_time::with_answer, status, false};
        first_port += 40;
        const auto answer =
            story.m_cluster.send_request(0, sample_post("/pay/p1", "p1", 2000), 2s);
        cr_expect(answer.m_status == 200 && answer.m_body == "ran p1", "%u: %u", status,
                  answer.m_status);
        EXPECT_EQUAL(story.m_arrivals["p1"], 2);
    }
}
