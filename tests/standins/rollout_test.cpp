#include "edge_cluster.hpp"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

/// Hosts with upstreams of two versions of one pool, and requests that arrive all along.
struct rollout_story
{
    rollout_story(std::uint16_t first_port, int hosts, std::string pool)
        : m_cluster{first_port, hosts}, m_pool{std::move(pool)}
    {
        if (m_pool == "engine")
        {
            m_cluster.add_worker("s0", "stage");
        }
        for (const std::string version : {"v1", "v2"})
        {
            for (int at = 0; at < 3; ++at)
            {
                auto& worker = m_cluster.add_worker(version + "-" + std::to_string(at),
                                                    m_pool, version);
                m_workers[version].push_back(&worker);
            }
        }
        // The new version's upstreams register with the order.
        for (worker_standin* worker : m_workers["v2"])
        {
            m_cluster.m_store.remove("servers", worker->m_id);
        }
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start_store();
        for (int host = 0; host < 2; ++host)
        {
            m_cluster.start_host(host);
        }
        m_cluster.run_for(1500ms);
    }

    void order(const std::string& version, int duration_s)
    {
        for (worker_standin* worker : m_workers["v2"])
        {
            m_cluster.set_worker_state(*worker, "ready");
        }
        m_cluster.m_store.put("op", "rollout/" + m_pool,
                              R"({"service":")" + m_pool + R"(","to":")" + version +
                                  R"(","durationS":)" + std::to_string(duration_s) + "}");
    }

    /// What the operator reads: the state, or nothing.
    std::string state()
    {
        const auto& rows = m_cluster.m_store.m_tables["status"];
        const auto row = rows.find("rollout/" + m_pool);
        if (row == rows.end())
        {
            return "";
        }
        const auto status = boost::json::parse(row->second.m_value);
        EXPECT_EQUAL(status.at("to").as_string(), "v2");
        return std::string{status.at("state").as_string()};
    }

    std::size_t count_seen(const std::string& version)
    {
        std::size_t count = 0;
        for (const worker_standin* worker : m_workers[version])
        {
            count += worker->m_seen.size();
        }
        return count;
    }

    void send_next()
    {
        const std::string id = "r" + std::to_string(++m_sent);
        const int host = m_first_host + m_sent % m_hosts_used;
        http_request request = m_pool == "engine"
                                   ? sample_stream("/resume/" + id, id, 4000)
                               : m_sent % 3 == 0 ? sample_post("/pay/" + id, id, 4000)
                                                 : sample_get("/read/" + id, id, 4000);
        m_answers.push_back(m_cluster.start_request(host, std::move(request), 4000ms));
    }

    /// Sends a request every 20 ms until the order has ended, and on for a while.
    void run_until_end(std::chrono::milliseconds longest)
    {
        const auto last = std::chrono::steady_clock::now() + longest;
        while (std::chrono::steady_clock::now() < last && state() != "done" &&
               state() != "rolled_back")
        {
            send_next();
            m_cluster.run_for(20ms);
        }
    }

    void wait_for_answers()
    {
        m_cluster.run_for(1s);
    }

    std::size_t count_answers(unsigned status)
    {
        std::size_t count = 0;
        for (const auto& answer : m_answers)
        {
            count += *answer && (**answer).m_status == status ? 1 : 0;
        }
        return count;
    }

    /// Requests that ran more than once.
    std::size_t count_repeated_payments()
    {
        std::map<std::string, int> runs;
        for (const auto& [version, workers] : m_workers)
        {
            for (const worker_standin* worker : workers)
            {
                for (const http_request& request : worker->m_seen)
                {
                    runs[request.m_target] += request.m_target.starts_with("/pay/");
                }
            }
        }
        std::size_t count = 0;
        for (const auto& [target, number] : runs)
        {
            count += number > 1 ? 1 : 0;
        }
        return count;
    }

    edge_cluster m_cluster;
    std::string m_pool;
    std::map<std::string, std::vector<worker_standin*>> m_workers;
    std::vector<std::shared_ptr<std::optional<http_response>>> m_answers;
    int m_sent = 0;
    int m_first_host = 0;
    int m_hosts_used = 2;
};

} // namespace

TestSuite(rollout, .timeout = 60);

// Guards against a new version that never gets the traffic, and against upstreams that
// are told to stop while requests run at them.
Test(rollout, a_good_version_gets_all_requests_before_the_state_says_done)
{
    rollout_story story{26000, 2, "plain"};
    story.order("v2", 8);
    story.run_until_end(30s);
    EXPECT_EQUAL(story.state(), "done");
    const std::size_t before = story.count_seen("v1");
    // Earlier upstreams stop at once.
    for (worker_standin* worker : story.m_workers["v1"])
    {
        worker->m_server->close();
        story.m_cluster.m_store.remove("servers", worker->m_id);
    }
    for (int at = 0; at < 20; ++at)
    {
        story.send_next();
        story.m_cluster.run_for(20ms);
    }
    story.wait_for_answers();
    EXPECT_EQUAL(story.count_seen("v1"), before);
    EXPECT_EQUAL(story.count_answers(200), story.m_answers.size());
    EXPECT_EQUAL(story.count_repeated_payments(), 0U);
}

// Guards against a bad version that gets more requests than the operators allow.
Test(rollout, a_version_whose_answers_fail_is_rolled_back)
{
    rollout_story story{26040, 2, "plain"};
    for (worker_standin* worker : story.m_workers["v2"])
    {
        worker->m_mode = worker_mode::fail;
    }
    story.order("v2", 10);
    story.run_until_end(30s);
    EXPECT_EQUAL(story.state(), "rolled_back");
    const std::size_t tried = story.count_seen("v2");
    cr_expect(tried > 0);
    cr_expect(tried <= 50 + story.m_answers.size() / 10);
    for (int at = 0; at < 20; ++at)
    {
        story.send_next();
        story.m_cluster.run_for(20ms);
    }
    story.wait_for_answers();
    EXPECT_EQUAL(story.count_seen("v2"), tried);
    EXPECT_EQUAL(story.count_repeated_payments(), 0U);
}

Test(rollout, a_slow_version_of_engines_is_rolled_back)
{
    rollout_story story{26080, 2, "engine"};
    for (worker_standin* worker : story.m_workers["v2"])
    {
        worker->m_delay = 900ms;
    }
    story.order("v2", 12);
    story.run_until_end(30s);
    EXPECT_EQUAL(story.state(), "rolled_back");
    cr_expect(story.count_seen("v2") <= 50 + story.m_answers.size() / 10);
}

// Guards against a host that begins the trial anew because nobody is left to tell it.
Test(rollout, a_host_that_starts_alone_after_the_end_keeps_to_it)
{
    rollout_story story{26120, 3, "plain"};
    for (worker_standin* worker : story.m_workers["v2"])
    {
        worker->m_mode = worker_mode::fail;
    }
    story.order("v2", 10);
    story.run_until_end(30s);
    EXPECT_EQUAL(story.state(), "rolled_back");
    const std::size_t tried = story.count_seen("v2");
    int stopped = 0;
    for (const int host : {0, 1})
    {
        story.m_cluster.begin_stop(host,
                                   [&stopped]
                                   {
                                       ++stopped;
                                   });
    }
    for (int at = 0; at < 100 && stopped < 2; ++at)
    {
        story.m_cluster.run_for(100ms);
    }
    EXPECT_EQUAL(stopped, 2);
    story.m_cluster.start_host(2);
    story.m_first_host = 2;
    story.m_hosts_used = 1;
    const std::size_t answered = story.m_answers.size();
    story.m_cluster.run_for(500ms);
    for (int at = 0; at < 100; ++at)
    {
        story.send_next();
        story.m_cluster.run_for(20ms);
    }
    story.wait_for_answers();
    cr_expect(story.count_answers(200) >= answered);
    EXPECT_EQUAL(story.count_seen("v2"), tried);
    EXPECT_EQUAL(story.state(), "rolled_back");
}

// Guards against a state that is written while the operator cannot read it.
Test(rollout, the_end_is_written_when_the_store_is_back)
{
    rollout_story story{26160, 2, "plain"};
    story.order("v2", 8);
    story.m_cluster.run_for(1500ms);
    story.m_cluster.m_store.m_down = true;
    const auto end = std::chrono::steady_clock::now() + 9s;
    while (std::chrono::steady_clock::now() < end)
    {
        story.send_next();
        story.m_cluster.run_for(20ms);
    }
    EXPECT_EQUAL(story.state(), "running");
    story.m_cluster.m_store.m_down = false;
    story.run_until_end(15s);
    EXPECT_EQUAL(story.state(), "done");
}
