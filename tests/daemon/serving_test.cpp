#include "caller_connection.hpp"
#include "serving_world.hpp"

#include <chrono>
#include <memory>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against faults in the wiring of whole daemons, on real sockets. Each test has
// ports of its own, because the tests run in parallel processes.
TestSuite(serving, .timeout = 120);

namespace
{

/// Sends a request to the daemons in turn every 50 ms.
struct trickle
{
    serving_world& m_world;
    std::vector<std::size_t> m_daemons;
    std::vector<pending_answer> m_sent;
    int m_input = 1000;
    time_point m_next{};

    void step()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_next)
        {
            m_next = now + 50ms;
            const auto daemon = m_daemons[m_sent.size() % m_daemons.size()];
            m_sent.push_back(m_world.send(daemon, "find", ++m_input));
        }
    }

    void run(milliseconds length)
    {
        m_world.run_until(
            [this]
            {
                step();
                return false;
            },
            length);
    }

    std::size_t whole() const
    {
        std::size_t count = 0;
        for (const auto& answer : m_sent)
        {
            count += answer->m_status == 200 ? 1 : 0;
        }
        return count;
    }

    /// Waits for the last answers, and expects that each request got its whole answer.
    void expect_whole()
    {
        m_world.run_for(3000ms);
        for (std::size_t at = 0; at < m_sent.size(); ++at)
        {
            cr_expect(m_sent[at]->m_status == 200, "request %zu: status %u %s", at,
                      m_sent[at]->m_status, m_sent[at]->m_body.c_str());
        }
    }
};

/// A caller that sends half of a request's body, and the rest 400 ms later.
struct slow_sender
{
    slow_sender(serving_world& world, int input)
        : m_body{"{\"input\":" + std::to_string(input) + "}"}
        , m_connection{world.m_io, world.caller_endpoint(0)}
    {
        m_connection.send("POST /v1/pipelines/find HTTP/1.1\r\nHost: a\r\n"
                          "X-Workspace: riders\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(m_body.size()) + "\r\n\r\n" +
                          m_body.substr(0, 4));
    }

    void send_rest_when_due()
    {
        if (!m_rest_sent && std::chrono::steady_clock::now() >= m_began + 400ms)
        {
            m_rest_sent = true;
            m_connection.send(m_body.substr(4));
        }
    }

    std::string m_body;
    caller_connection m_connection;
    time_point m_began = std::chrono::steady_clock::now();
    bool m_rest_sent = false;
};

std::int64_t now_unix_s()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<seconds>(now).count();
}

} // namespace

// Guards against a wrong or cut answer, a stage that runs again for a repeat, and a claim
// without its arrival time, which the sweep would delete within a minute.
Test(serving, whole_and_streamed_answers_and_a_replay)
{
    serving_world world{25000};
    world.start();
    const auto whole = world.ask(0, "find", 7);
    EXPECT_EQUAL(whole.m_status, 200U);
    EXPECT_EQUAL(whole.object().at("result").as_string(), "search(7)");
    const auto streamed = world.ask(2, "chat", 8, "", true);
    EXPECT_EQUAL(streamed.m_status, 200U);
    cr_expect(streamed.m_body.find(R"({"index":2,"token":"x"})") != std::string::npos);
    cr_expect(streamed.m_body.find(R"({"done":true)") != std::string::npos);
    EXPECT_EQUAL(world.ask(0, "renewal", 9, "k").m_status, 200U);
    world.run_for(300ms);
    const auto repeat = world.ask(2, "renewal", 9, "k");
    EXPECT_EQUAL(repeat.m_status, 200U);
    cr_expect(repeat.object().at("replayed").as_bool());
    EXPECT_EQUAL(world.executions("debit", 9), 1);
    EXPECT_EQUAL(world.executions_of("post\"debit(9)\""), 1);
    const auto claims = world.m_rows.claims();
    cr_assert(claims.size() == 1);
    cr_expect(std::abs(now_unix_s() - claims[0].m_created_unix_s) < 60);
}

// Guards against a daemon whose end cuts off callers of another host, and against
// coroutines of an ended daemon that touch freed state.
Test(serving, a_daemon_that_ends_in_mid_request_cuts_off_no_caller_of_another)
{
    serving_world world{25100};
    world.start();
    for (auto& upstream : world.m_upstreams)
    {
        upstream->m_delay = 200ms;
    }
    // The daemon that ends owns an upstream that the other host's callers need.
    const auto& owner = world.m_rows.m_rows.at("owner/search-dc-1").second;
    const std::size_t victim = owner.find("\"a.") != std::string::npos ? 0 : 1;
    std::vector<pending_answer> others;
    const auto own = world.send(victim, "find", 1);
    for (int input = 2; input < 5; ++input)
    {
        others.push_back(world.send(2, "find", input));
    }
    world.run_for(100ms);
    world.m_daemons[victim].reset();
    world.run_for(4000ms);
    cr_expect(own->m_ended and own->m_status == 0);
    for (const auto& answer : others)
    {
        cr_expect(answer->m_status == 200, "status %u %s", answer->m_status,
                  answer->m_body.c_str());
    }
    EXPECT_EQUAL(world.ask(2, "find", 9).m_status, 200U);
    EXPECT_EQUAL(world.ask(1 - victim, "find", 10).m_status, 200U);
}

// Guards against a non-idempotent call without claim, an untrue or late refusal, and
// idempotent requests that fail because the table service is down.
Test(serving, without_table_service_only_idempotent_requests_run)
{
    serving_world world{25200};
    world.start();
    world.open_table(false);
    for (int round = 0; round < 20; ++round)
    {
        const auto daemon = static_cast<std::size_t>(round % 3);
        const auto refused = world.ask(daemon, "renewal", round, "k");
        EXPECT_EQUAL(refused.m_status, 503U);
        EXPECT_EQUAL(refused.ran(), "not_run");
        const auto found = world.ask(daemon, "find", round);
        cr_expect(found.m_status == 200, "round %d: %u %s", round, found.m_status,
                  found.m_body.c_str());
        EXPECT_EQUAL(world.executions("debit", round), 0);
        // The rounds last longer than a lease: guarantors extend it.
        world.run_for(400ms);
    }
    world.open_table(true);
    cr_expect(world.run_until(
        [&]
        {
            return world.ask(1, "renewal", 50, "later").m_status == 200;
        },
        10'000ms));
    EXPECT_EQUAL(world.executions("debit", 50), 1);
}

// Guards against leases without guarantors, which cannot be extended when the table
// service goes down within the first renewal period of all daemons.
Test(serving, an_outage_right_after_the_start_leaves_authority)
{
    serving_world world{25600};
    world.start(500ms);
    world.open_table(false);
    for (int round = 0; round < 20; ++round)
    {
        const auto daemon = static_cast<std::size_t>(round % 3);
        const auto found = world.ask(daemon, "find", round);
        cr_expect(found.m_status == 200, "round %d: %u %s", round, found.m_status,
                  found.m_body.c_str());
        world.run_for(400ms);
    }
}

// Guards against a payment that runs twice because the answers to claim writes are lost.
Test(serving, lost_answers_of_the_table_service_double_no_payment)
{
    serving_world world{25300};
    world.start();
    for (int input = 1; input <= 8; ++input)
    {
        world.m_rows.m_lost_answers = 1 + input % 2;
        const auto key = "k" + std::to_string(input);
        const auto first = world.ask(0, "renewal", input, key);
        cr_expect(first.m_status == 200 or first.m_status == 503, "%u %s", first.m_status,
                  first.m_body.c_str());
        const auto again = world.ask(2, "renewal", input, key);
        cr_expect(again.m_status == 200 or again.m_status == 503, "%u %s", again.m_status,
                  again.m_body.c_str());
        const int executed = world.executions("debit", input);
        const bool answered = first.m_status == 200 or again.m_status == 200;
        cr_expect(executed == 1 or (executed == 0 and not answered), "input %d: %d",
                  input, executed);
        cr_expect(first.ran() != "not_run" or again.m_status == 200 or executed == 0);
    }
}

// Guards against calls into a data centre that operators have taken out, when the change
// cannot be stored.
Test(serving, a_data_centre_is_taken_out_while_the_table_service_is_down)
{
    serving_world world{25400};
    world.start();
    trickle requests{world, {0, 1, 2}, {}};
    requests.run(1000ms);
    world.open_table(false);
    const auto report = world.operate(0, "/admin/data-centres/dc-2/out",
                                      R"({"change_id":"out-1","operator":"ade"})");
    cr_expect(report.m_status / 100 == 2, "%u %s", report.m_status,
              report.m_body.c_str());
    const auto accepted = std::chrono::steady_clock::now();
    requests.run(6000ms);
    for (const auto& upstream : world.m_upstreams)
    {
        const bool called_late = upstream->m_last_call > accepted + 3s;
        const bool out = upstream->m_data_centre == "dc-2";
        cr_expect(not out or not called_late, "%s", upstream->m_id.c_str());
        cr_expect(upstream->m_id != "search-dc-1" or called_late);
    }
    requests.expect_whole();
}

// Guards against requests that are cut off or refused during a planned stop.
Test(serving, a_planned_stop_cuts_no_request)
{
    serving_world world{25500};
    world.start();
    trickle requests{world, {0, 1, 2}, {}};
    requests.run(1000ms);
    bool stopped = false;
    world.m_daemons[0]->begin_stop(
        [&]
        {
            stopped = true;
        });
    // Callers keep the address for the keep time of 1 s.
    requests.run(1000ms);
    requests.m_daemons = {1, 2};
    for (int second = 0; second < 30 and not stopped; ++second)
    {
        requests.run(1000ms);
    }
    cr_expect(stopped);
    world.m_daemons[0].reset();
    requests.run(2000ms);
    requests.expect_whole();
}

// Guards against requests that are being sent when a daemon closes its listener, and end
// without an answer.
Test(serving, requests_that_are_being_sent_during_a_stop_are_answered)
{
    serving_world world{25800};
    world.start();
    bool stopped = false;
    bool listens = true;
    std::vector<std::unique_ptr<slow_sender>> senders;
    world.m_daemons[0]->begin_stop(
        [&]
        {
            stopped = true;
        });
    time_point next{};
    const auto step = [&]
    {
        const auto now = std::chrono::steady_clock::now();
        if (listens && now >= next)
        {
            next = now + 100ms;
            try
            {
                const int input = 2000 + static_cast<int>(senders.size());
                senders.push_back(std::make_unique<slow_sender>(world, input));
            }
            catch (const boost::system::system_error&)
            {
                listens = false;
            }
        }
        for (const auto& each : senders)
        {
            each->send_rest_when_due();
        }
        return stopped;
    };
    cr_expect(world.run_until(step, 40s));
    cr_expect(not listens);
    cr_expect(senders.size() >= 10, "%zu", senders.size());
    for (const auto& each : senders)
    {
        cr_expect(each->m_connection.answered_with("200"), "%s: '%s'",
                  each->m_body.c_str(), each->m_connection.bytes().c_str());
    }
}

// Guards against limits of memory that a single request within the limits of the daemons
// meets: between the caller, the daemon that takes it, that which owns the upstream, and
// the upstream.
Test(serving, a_single_large_request_is_served_in_calm_on_small_machines)
{
    serving_world world{25900, 32'000'000};
    world.start();
    const std::string input(900'000, 'a');
    for (std::size_t daemon = 0; daemon < world.m_daemons.size(); ++daemon)
    {
        const auto answer =
            world.ask_with(daemon, "find", R"({"input":")" + input + "\"}");
        cr_expect(answer.m_status == 200, "daemon %zu: status %u %s", daemon,
                  answer.m_status, answer.m_body.substr(0, 200).c_str());
        cr_expect(answer.m_body.size() > input.size());
    }
    EXPECT_EQUAL(world.ask(0, "find", 7).m_status, 200U);
}
