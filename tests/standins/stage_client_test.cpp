#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <thread>

#include <src/edge/stage_client.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::edge;
using namespace std::chrono_literals;

namespace
{

/// A stage client of the host "own", which knows the live host "other". Either may run
/// the queue of a pool, depending on their weights for it.
struct client_fixture
{
    client_fixture()
    {
        m_state.m_own_report.m_node.m_value = "own";
        m_state.m_own_report.m_processor = 1000;
        m_state.m_own_report.m_ready = true;
        receive_report("other");
    }

    void receive_report(const std::string& name)
    {
        host_report report;
        report.m_node.m_value = name;
        report.m_incarnation.m_value = 1;
        report.m_sequence = ++m_sequence;
        report.m_processor = 1000;
        report.m_ready = true;
        report.m_interval_ms = 200;
        serving::apply_report(m_state.m_hosts, report, now());
    }

    /// Returns a pool whose queue runs on the host.
    pool_id pool_of(const std::string& host) const
    {
        for (int at = 0;; ++at)
        {
            const pool_id pool{"pool-" + std::to_string(at)};
            if (queue_host_of(m_state, pool).m_value == host)
            {
                return pool;
            }
        }
    }

    node_id receiver_of_last_release() const
    {
        for (auto at = m_sent.rbegin(); at != m_sent.rend(); ++at)
        {
            if (std::holds_alternative<results_release>(at->second))
            {
                return at->first;
            }
        }
        return {};
    }

    boost::asio::io_context m_io;
    timer_service m_timers{now()};
    edge_state m_state{m_io.get_executor(), {}, m_timers};
    std::vector<std::pair<node_id, node_message>> m_sent;
    stage_client m_client{m_state, [this](const node_id& host, node_message message)
                          {
                              m_sent.emplace_back(host, std::move(message));
                          }};
    std::uint32_t m_sequence = 0;
};

} // namespace

// Guards against results that are released at a host that does not count them. After a
// queue had moved to another host, its former host kept counting its workers as full
// until the results expired after 4 s, and its last jobs timed out.
TestSuite(stage_client);

Test(stage_client, results_are_released_at_the_host_whose_queue_produced_them)
{
    client_fixture fixture;
    const pool_id pool = fixture.pool_of("own");
    fixture.m_client.release_results(pool, {"10.0.0.1:1/a"}, node_id{"other"});
    EXPECT_EQUAL(fixture.receiver_of_last_release().m_value, "other");
}

Test(stage_client, results_of_a_host_that_is_down_are_released_at_the_current_queue_host)
{
    client_fixture fixture;
    const pool_id pool = fixture.pool_of("own");
    fixture.m_client.release_results(pool, {"10.0.0.1:1/a"}, node_id{"gone"});
    EXPECT_EQUAL(fixture.receiver_of_last_release().m_value, "own");
}

Test(stage_client, a_completion_receives_the_host_that_sent_the_result)
{
    client_fixture fixture;
    const pool_id pool = fixture.pool_of("own");
    node_id queue_host;
    pieces_request request;
    request.m_pool = pool;
    request.m_pieces = 1;
    request.m_deadline_ms = 1000;
    fixture.m_client.submit(7, request,
                            [&queue_host](const pieces_result&, const node_id& host)
                            {
                                queue_host = host;
                            });
    fixture.m_client.on_result(node_id{"other"},
                               {7, pieces_outcome::done, {"10.0.0.1:1/a"}, 0});
    EXPECT_EQUAL(queue_host.m_value, "other");
}

namespace
{

/// Submits a job that runs on the host "other", and lets the host fall silent.
struct silent_host : client_fixture
{
    silent_host()
    {
        m_client.start();
        pieces_request request;
        request.m_pool = pool_of("other");
        request.m_pieces = 1;
        request.m_deadline_ms = 10000;
        m_client.submit(7, request, [](const pieces_result&, const node_id&) {});
        // The reports of the host state an interval of 200 ms.
        m_state.m_hosts.m_hosts.at(node_id{"other"}).m_last_heard = now() - 2s;
    }

    /// Runs the checks of the client for a time.
    void run_for(milliseconds length)
    {
        const time_point end = now() + length;
        while (now() < end)
        {
            std::this_thread::sleep_for(10ms);
            m_timers.advance_to(now());
        }
    }

    template<class Message>
    std::size_t count_sent(const std::string& host) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_sent.begin(), m_sent.end(),
                          [&host](const auto& sent)
                          {
                              return sent.first.m_value == host &&
                                     std::holds_alternative<Message>(sent.second);
                          }));
    }
};

} // namespace

// Guards against work that is started a second time because its host was only silent: its
// reports were lost, or it had no processor time for them.
Test(stage_client, work_of_a_silent_host_stays_there_when_the_host_answers_a_probe)
{
    silent_host fixture;
    fixture.run_for(150ms);
    EXPECT_EQUAL(fixture.count_sent<host_probe>("other"), 1U);
    serving::record_message(fixture.m_state.m_hosts, node_id{"other"}, incarnation{1},
                            now());
    fixture.run_for(600ms);
    EXPECT_EQUAL(fixture.count_sent<pieces_request>("other"), 1U);
    EXPECT_EQUAL(fixture.count_sent<pieces_request>("own"), 0U);
}

Test(stage_client, work_of_a_silent_host_is_sent_elsewhere_without_an_answer)
{
    silent_host fixture;
    fixture.run_for(300ms);
    EXPECT_EQUAL(fixture.count_sent<pieces_request>("own"), 0U);
    fixture.run_for(300ms);
    EXPECT_EQUAL(fixture.count_sent<pieces_request>("own"), 1U);
}

Test(stage_client, work_of_a_host_whose_connection_is_lost_is_sent_elsewhere_at_once)
{
    silent_host fixture;
    fixture.m_client.on_connection_lost(node_id{"other"});
    fixture.run_for(100ms);
    EXPECT_EQUAL(fixture.count_sent<pieces_request>("own"), 1U);
}
