#include "edge_cluster.hpp"

#include <geraniumdoor/net/node_transport.hpp>

#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <src/edge/result_delivery.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::edge;
using namespace std::chrono_literals;

namespace
{

const node_id waiting{"waiting"};
const node_id other{"other"};

struct delivery_fixture
{
    delivery_fixture()
    {
        m_state.m_own_report.m_node.m_value = "own";
        m_delivery.start();
    }

    void send(const node_id& host, std::uint64_t job)
    {
        m_delivery.send(host, {job, pieces_outcome::done, {"10.0.0.1:1/a"}, 0});
    }

    /// Jobs whose results were sent to the host since the last call.
    std::vector<std::uint64_t> take_sent(const node_id& host)
    {
        std::vector<std::uint64_t> jobs;
        for (const auto& [to, message] : std::exchange(m_sent, {}))
        {
            if (to == host)
            {
                jobs.push_back(std::get<pieces_result>(message).m_job);
            }
        }
        return jobs;
    }

    void pass(milliseconds time)
    {
        std::this_thread::sleep_for(time);
        m_timers.advance_to(now());
    }

    boost::asio::io_context m_io;
    timer_service m_timers{now()};
    edge_state m_state{m_io.get_executor(), {}, m_timers};
    std::vector<std::pair<node_id, node_message>> m_sent;
    result_delivery m_delivery{m_state,
                               [this](const node_id& host, node_message message)
                               {
                                   m_sent.emplace_back(host, std::move(message));
                               },
                               500ms};
};

using jobs = std::vector<std::uint64_t>;

/// A host of the test that waits for a stage. It sends a job to a real host, and counts
/// the results that come back.
struct waiting_host
{
    explicit waiting_host(test::edge_cluster& cluster, std::uint16_t queue_port)
        : m_cluster{cluster}
    {
        m_transport.start();
        m_transport.set_peer(m_queue_host, {m_address, queue_port});
        host_report report;
        report.m_node = waiting;
        report.m_incarnation = incarnation{1};
        report.m_sequence = 1;
        report.m_interval_ms = 200;
        report.m_peer = {m_address, m_transport.port()};
        m_transport.send_datagram({m_address, queue_port}, report);
    }

    void submit()
    {
        pieces_request request;
        request.m_job = 1;
        request.m_pool = pool_id{"stage"};
        request.m_request = attempt_id{"r1"};
        request.m_pieces = 2;
        request.m_key = "k";
        request.m_due_ms = 3000;
        request.m_deadline_ms = 5000;
        m_transport.send(m_queue_host, request);
    }

    void wait_for_results(int count)
    {
        for (int step = 0; step < 200 && m_results < count; ++step)
        {
            m_cluster.run_for(10ms);
        }
        cr_expect(m_results == count, "%d results, expected %d", m_results, count);
    }

    node_transport_callbacks callbacks()
    {
        node_transport_callbacks calls;
        calls.m_on_message = [this](const node_id&, incarnation, node_message message)
        {
            m_results += std::holds_alternative<pieces_result>(message) ? 1 : 0;
        };
        calls.m_on_lost = [](const node_id&, incarnation) {};
        calls.m_on_not_sent = [](const node_id&, const node_message&) {};
        calls.m_on_datagram = [](const datagram&, const node_address&) {};
        return calls;
    }

    test::edge_cluster& m_cluster;
    std::string m_address = "127.20.0.1";
    node_id m_queue_host{"host-0"};
    int m_results = 0;
    node_transport m_transport{m_cluster.m_io.get_executor(),
                               {waiting, incarnation{1}, {m_address, 0}},
                               {},
                               callbacks()};
};

} // namespace

// Guards against requests that wait for results which a silent connection has lost, and
// are refused at their deadline.
TestSuite(result_delivery, .timeout = 60);

Test(result_delivery, a_host_sends_a_result_again_when_its_connection_breaks)
{
    constexpr std::uint16_t first_port = 29900;
    test::edge_cluster cluster{first_port, 1};
    cluster.add_worker("s0", "stage");
    cluster.set_config(sample_routes(), 1);
    cluster.start();
    // Hosts listen for each other on the fifth port of the test.
    waiting_host host{cluster, first_port + 4};
    cluster.run_for(100ms);
    host.submit();
    host.wait_for_results(1);
    host.m_transport.disconnect(host.m_queue_host);
    host.wait_for_results(2);
}

Test(result_delivery, results_that_a_broken_connection_may_have_lost_are_sent_again)
{
    delivery_fixture fixture;
    fixture.send(waiting, 1);
    fixture.send(other, 2);
    fixture.send(waiting, 3);
    EXPECT_EQUAL(fixture.take_sent(waiting), (jobs{1, 3}));
    // Both connections with the host break.
    fixture.m_delivery.on_connection_lost(waiting);
    fixture.m_delivery.on_connection_lost(waiting);
    fixture.pass(80ms);
    EXPECT_EQUAL(fixture.take_sent(waiting), (jobs{1, 3}));
    // The connection that took its place may break as well.
    fixture.m_delivery.on_connection_lost(waiting);
    fixture.pass(80ms);
    EXPECT_EQUAL(fixture.take_sent(waiting), (jobs{1, 3}));
    fixture.m_delivery.on_connection_lost(other);
    fixture.pass(80ms);
    EXPECT_EQUAL(fixture.take_sent(other), (jobs{2}));
}

Test(result_delivery, results_that_have_arrived_for_certain_are_not_kept)
{
    delivery_fixture fixture;
    fixture.send(waiting, 1);
    fixture.send(node_id{"own"}, 2);
    EXPECT_EQUAL(fixture.m_delivery.kept_count(), 1U);
    fixture.pass(700ms);
    EXPECT_EQUAL(fixture.m_delivery.kept_count(), 0U);
    fixture.take_sent(waiting);
    fixture.m_delivery.on_connection_lost(waiting);
    fixture.pass(80ms);
    cr_expect(fixture.m_sent.empty());
}

Test(result_delivery,
     a_result_for_which_no_connection_opened_is_tried_again_after_a_pause)
{
    delivery_fixture fixture;
    fixture.send(waiting, 1);
    fixture.take_sent(waiting);
    fixture.m_delivery.on_not_sent(waiting, pieces_result{1, {}, {}, 0});
    cr_expect(fixture.m_sent.empty());
    fixture.pass(80ms);
    EXPECT_EQUAL(fixture.take_sent(waiting), (jobs{1}));
    fixture.pass(80ms);
    cr_expect(fixture.take_sent(waiting).empty());
}
