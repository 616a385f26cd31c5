#include "edge_cluster.hpp"
#include "repeating_server.hpp"

#include <boost/asio/connect.hpp>
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
        , m_scheduler{m_state, m_permits,
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
    send_permits m_permits;
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
