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
        m_delivery.send(host,
                        pieces_result{job, pieces_outcome::done, {"10.0.0.1:1/a"}, 0});
    }

    /// Jobs whose results were sent to the host since the last call.
    std::vector<std::uint64_t> take_sent(const node_id& host)
    {
        std::vector<std::uint64_t> jobs;
        for (const auto& [to, message] : std::exchange(m_sent, {}))
        {
            const auto* result = std::get_if<pieces_result>(&message);
            if (to == host && result != nullptr)
            {
                jobs.push_back(result->m_job);
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

/// A host of the test beside a real one, which keeps all that it is sent.
struct test_host
{
    /// Hosts listen for each other on the fifth port of a test.
    test_host(test::edge_cluster& cluster, std::uint16_t first_port, bool runs_queues)
        : m_cluster{cluster}
        , m_real_address{m_address, static_cast<std::uint16_t>(first_port + 4)}
        , m_runs_queues{runs_queues}
    {
        m_transport.start();
        m_transport.set_peer(m_real_host, m_real_address);
        report();
        m_cluster.run_for(100ms);
    }

    /// A host that reports itself ready, with all processors, runs the queues.
    void report()
    {
        host_report report;
        report.m_node = waiting;
        report.m_incarnation = incarnation{1};
        report.m_sequence = ++m_sequence;
        report.m_interval_ms = 200;
        report.m_peer = {m_address, m_transport.port()};
        report.m_ready = m_runs_queues;
        report.m_processor = m_runs_queues ? 1'000'000'000 : 0;
        m_transport.send_datagram(m_real_address, report);
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
        m_transport.send(m_real_host, request);
    }

    template<class Message>
    std::vector<Message> all() const
    {
        std::vector<Message> found;
        for (const node_message& message : m_received)
        {
            if (const auto* wanted = std::get_if<Message>(&message))
            {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    /// Waits for messages of one kind, two seconds at most.
    template<class Message>
    void wait_for(std::size_t count)
    {
        for (int step = 0; step < 200 && all<Message>().size() < count; ++step)
        {
            if (step % 10 == 0)
            {
                report();
            }
            m_cluster.run_for(10ms);
        }
        const std::size_t found = all<Message>().size();
        cr_expect(found == count, "%zu messages, expected %zu", found, count);
    }

    void break_connections()
    {
        m_transport.disconnect(m_real_host);
    }

    node_transport_callbacks callbacks()
    {
        node_transport_callbacks calls;
        calls.m_on_message = [this](const node_id&, incarnation, node_message message)
        {
            m_received.push_back(std::move(message));
        };
        calls.m_on_lost = [](const node_id&, incarnation) {};
        calls.m_on_not_sent = [](const node_id&, const node_message&) {};
        calls.m_on_datagram = [](const datagram&, const node_address&) {};
        return calls;
    }

    test::edge_cluster& m_cluster;
    std::string m_address = "127.20.0.1";
    node_address m_real_address;
    node_id m_real_host{"host-0"};
    bool m_runs_queues;
    std::uint64_t m_sequence = 0;
    std::vector<node_message> m_received;
    node_transport m_transport{m_cluster.m_io.get_executor(),
                               {waiting, incarnation{1}, {m_address, 0}},
                               {},
                               callbacks()};
};

struct one_real_host
{
    explicit one_real_host(std::uint16_t first_port)
        : m_first_port{first_port}
        , m_cluster{first_port, 1}
        , m_stage{m_cluster.add_worker("s0", "stage")}
    {
        m_cluster.add_worker("e0", "engine");
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    std::uint16_t m_first_port;
    test::edge_cluster m_cluster;
    worker_standin& m_stage;
};

} // namespace

// Guards against requests that wait for results which a silent connection has lost, and
// are refused at their deadline.
TestSuite(result_delivery, .timeout = 60);

Test(result_delivery, a_host_sends_a_result_again_when_its_connection_breaks)
{
    one_real_host story{29900};
    test_host host{story.m_cluster, story.m_first_port, false};
    host.submit();
    host.wait_for<pieces_result>(1);
    host.break_connections();
    host.wait_for<pieces_result>(2);
}

// Guards against stages that are made twice, whose first results fill the memory of the
// upstreams until they expire: a host that has lost a connection submits its jobs again,
// also those whose result is on its way.
Test(result_delivery, a_job_that_is_submitted_again_gets_the_result_that_it_has)
{
    one_real_host story{29940};
    test_host host{story.m_cluster, story.m_first_port, false};
    host.submit();
    host.wait_for<pieces_result>(1);
    EXPECT_EQUAL(story.m_stage.m_calls, 1);
    host.submit();
    host.wait_for<pieces_result>(2);
    const auto results = host.all<pieces_result>();
    cr_assert(results.size() == 2);
    cr_expect(results[0].m_handles == results[1].m_handles);
    EXPECT_EQUAL(story.m_stage.m_calls, 1);
}

// Guards against results that nobody releases: the message was on a silent connection,
// and they fill the memory of the upstreams until they expire.
Test(result_delivery, a_host_releases_results_again_when_its_connection_breaks)
{
    one_real_host story{29980};
    test_host host{story.m_cluster, story.m_first_port, true};
    story.m_cluster.start_request(0, sample_stream("/stream/x", "x", 4000), 4s);
    host.wait_for<pieces_request>(1);
    const auto jobs = host.all<pieces_request>();
    cr_assert(jobs.size() == 1);
    const std::vector<std::string> handles{"10.0.0.1:1/a", "10.0.0.1:1/b",
                                           "10.0.0.1:1/c"};
    host.m_transport.send(host.m_real_host,
                          pieces_result{jobs[0].m_job, pieces_outcome::done, handles, 0});
    host.wait_for<results_release>(1);
    host.break_connections();
    host.wait_for<results_release>(2);
    for (const results_release& release : host.all<results_release>())
    {
        cr_expect(release.m_handles == handles);
    }
}

// Guards against a stopping host that ends with the stages of other hosts.
Test(result_delivery, a_host_that_stops_sends_the_results_of_the_jobs_that_it_has)
{
    one_real_host story{30050};
    test_host host{story.m_cluster, story.m_first_port, false};
    bool stopped = false;
    story.m_cluster.begin_stop(0,
                               [&stopped]
                               {
                                   stopped = true;
                               });
    story.m_cluster.run_for(3900ms);
    story.m_stage.m_delay = 500ms;
    host.submit();
    story.m_cluster.run_for(300ms);
    cr_expect(not stopped);
    host.wait_for<pieces_result>(1);
    cr_expect(not stopped);
    EXPECT_EQUAL(host.all<pieces_result>().size(), 1U);
    cr_assert(not host.all<pieces_result>().empty());
    cr_expect(host.all<pieces_result>().front().m_outcome == pieces_outcome::done);
    story.m_cluster.run_for(1000ms);
    cr_expect(stopped);
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

Test(result_delivery, cancellations_are_sent_again_and_requests_are_not)
{
    delivery_fixture fixture;
    fixture.m_delivery.send(waiting, pieces_cancel{1, pool_id{"stage"}});
    fixture.m_delivery.send(waiting, pieces_request{});
    EXPECT_EQUAL(std::exchange(fixture.m_sent, {}).size(), 2U);
    fixture.m_delivery.on_connection_lost(waiting);
    fixture.pass(80ms);
    EXPECT_EQUAL(fixture.m_sent.size(), 1U);
    cr_expect(std::holds_alternative<pieces_cancel>(fixture.m_sent.front().second));
    cr_expect(not fixture.m_delivery.send_result_again(waiting, 1));
}
