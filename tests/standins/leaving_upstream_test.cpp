#include "edge_cluster.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

/// The platform's gracePeriodS, within which a host that is told to stop ends.
constexpr milliseconds grace_period{8000};

/// Time for requests that are underway when an upstream says something.
constexpr milliseconds underway_time{300};

/// Expects no arrival between two times. Tells when there was one, from the first time.
void expect_no_arrivals(const worker_standin& worker, time_point begin, time_point end)
{
    for (const time_point at : worker.m_arrivals)
    {
        const auto after = std::chrono::duration_cast<milliseconds>(at - begin);
        cr_expect(at < begin || at >= end, "an arrival after %d ms",
                  static_cast<int>(after.count()));
    }
}

/// Hosts under a steady load for one pool of four upstreams.
struct notice_story
{
    notice_story(std::uint16_t first_port, int hosts, const std::string& pool)
        : m_cluster{first_port, hosts}, m_hosts{hosts}, m_pool{pool}
    {
        for (int at = 0; at < 4; ++at)
        {
            m_cluster.add_worker("w" + std::to_string(at), pool);
        }
        if (pool == "stage")
        {
            m_cluster.add_worker("e0", "engine");
        }
        else
        {
            // The first upstream is the fastest, so that requests go there.
            for (std::size_t at = 1; at < m_cluster.m_workers.size(); ++at)
            {
                m_cluster.m_workers[at]->m_delay = 100ms;
            }
        }
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    worker_standin& first()
    {
        return *m_cluster.m_workers.front();
    }

    /// @param only_host host that gets all requests; -1 for each in turn
    void run(milliseconds length, int only_host = -1)
    {
        const time_point end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end)
        {
            const std::string id = "r" + std::to_string(m_sent.size());
            const int turn = static_cast<int>(m_sent.size()) % m_hosts;
            const auto request = m_pool == "stage"
                                     ? sample_stream("/stream/" + id, id, 2000)
                                     : sample_get("/read/" + id, id, 2000);
            m_sent.push_back(
                m_cluster.start_request(only_host < 0 ? turn : only_host, request, 2s));
            m_cluster.run_for(20ms);
        }
    }

    void expect_all_served() const
    {
        for (std::size_t at = 0; at < m_sent.size(); ++at)
        {
            const auto& answer = *m_sent[at];
            cr_expect(answer && answer->m_status == 200, "r%zu of %zu has status %u: %s",
                      at, m_sent.size(), answer ? answer->m_status : 0,
                      answer ? answer->m_body.c_str() : "no answer yet");
        }
    }

    edge_cluster m_cluster;
    int m_hosts;
    std::string m_pool;
    std::vector<std::shared_ptr<std::optional<http_response>>> m_sent;
};

/// Whether the first host counts an upstream as available.
bool is_available(notice_story& story, const std::string& id)
{
    const auto answer = story.m_cluster.get_admin(0, "/admin/upstreams");
    const auto document = boost::json::parse(answer.m_body);
    for (const auto& row : document.at("upstreams").as_array())
    {
        if (row.at("id").as_string() == id)
        {
            return row.at("available").as_bool();
        }
    }
    return false;
}

} // namespace

TestSuite(leaving_upstream, .timeout = 60);

// Guards against requests to an upstream that has said that it leaves, before its
// registry entry says so.
Test(leaving_upstream, an_upstream_that_says_that_it_leaves_gets_nothing_from_any_host)
{
    notice_story story{24240, 3, "plain"};
    story.run(1s);
    cr_expect(not story.first().m_arrivals.empty());
    story.first().m_says_leaving = true;
    story.run(1s);
    cr_assert(story.first().m_notice_given_at.has_value());
    const time_point said = *story.first().m_notice_given_at;
    // A host is stopped meanwhile.
    bool stopped = false;
    const time_point told = std::chrono::steady_clock::now();
    story.m_cluster.begin_stop(1,
                               [&stopped]
                               {
                                   stopped = true;
                               });
    story.run(3s, 0);
    const time_point end = std::chrono::steady_clock::now();
    expect_no_arrivals(story.first(), said + underway_time, end);
    story.m_cluster.run_for(1s);
    while (!stopped && std::chrono::steady_clock::now() - told < grace_period)
    {
        story.m_cluster.run_for(20ms);
    }
    cr_expect(stopped);
    story.expect_all_served();
}

Test(leaving_upstream, a_worker_of_stages_that_leaves_gets_no_more_calls)
{
    notice_story story{24280, 2, "stage"};
    story.run(1s);
    story.first().m_says_leaving = true;
    const int calls_before = story.first().m_calls;
    story.run(500ms);
    const int calls_when_told = story.first().m_calls;
    cr_expect(calls_before > 0);
    cr_expect(calls_when_told <= calls_before + 2);
    story.run(2s);
    EXPECT_EQUAL(story.first().m_calls, calls_when_told);
    story.m_cluster.run_for(1s);
    story.expect_all_served();
}

// Guards against requests to an upstream in the time for which it has declined them.
Test(leaving_upstream, an_upstream_that_declines_requests_gets_none_for_its_time)
{
    notice_story story{24320, 1, "plain"};
    story.run(1s);
    story.first().m_mode = worker_mode::decline;
    story.first().m_retry_after = "2.0";
    story.run(1500ms);
    cr_assert(story.first().m_notice_given_at.has_value());
    const time_point said = *story.first().m_notice_given_at;
    expect_no_arrivals(story.first(), said + underway_time, said + 2s);
    // It is not ejected: it is available again as soon as its time is over.
    cr_expect(not is_available(story, "w0"));
    story.m_cluster.run_for(std::chrono::ceil<milliseconds>(
        said + 2100ms - std::chrono::steady_clock::now()));
    cr_expect(is_available(story, "w0"));
    story.m_cluster.run_for(500ms);
    story.expect_all_served();
}

Test(leaving_upstream, a_worker_of_stages_that_declines_calls_gets_none_for_its_time)
{
    notice_story story{24360, 1, "stage"};
    story.run(1s);
    story.first().m_pieces_status = 503;
    story.first().m_retry_after = "2";
    story.run(2s);
    cr_assert(story.first().m_notice_given_at.has_value());
    const time_point said = *story.first().m_notice_given_at;
    expect_no_arrivals(story.first(), said + underway_time, said + 2s);
    story.m_cluster.run_for(500ms);
    story.expect_all_served();
}

// Guards against callers that are kept, or told a time at which nobody takes them, while
// all upstreams decline requests.
Test(leaving_upstream, callers_are_told_at_once_when_the_first_upstream_takes_requests)
{
    notice_story story{24400, 1, "plain"};
    for (const auto& worker : story.m_cluster.m_workers)
    {
        worker->m_mode = worker_mode::decline;
        worker->m_retry_after = "3";
    }
    story.first().m_retry_after = "0.5";
    story.m_cluster.send_request(0, sample_get("/read/x", "x", 2000), 2s);
    story.m_cluster.send_request(0, sample_get("/read/y", "y", 2000), 2s);
    const auto answer =
        story.m_cluster.send_request(0, sample_get("/read/z", "z", 2000), 300ms);
    EXPECT_EQUAL(answer.m_status, 503U);
    EXPECT_EQUAL(answer.m_body, "no_upstream_takes_it");
    const double wait_s =
        std::stod(std::string{find_field(answer.m_fields, "Retry-After")});
    cr_expect(wait_s > 0 && wait_s <= 0.5, "%.3f s", wait_s);
    const std::size_t asked = story.first().m_seen.size();
    EXPECT_EQUAL(asked, 1U);
    const std::string metrics = story.m_cluster.get_admin(0, "/metrics").m_body;
    cr_expect(metrics.find("upstream_notices{says=\"declines\"} 4") != std::string::npos);
}

// Guards against releases of results at a worker in the time for which it has declined
// everything.
Test(leaving_upstream, a_worker_of_stages_that_declines_calls_gets_no_releases_either)
{
    edge_cluster cluster{24440, 1};
    worker_standin& stage = cluster.add_worker("s0", "stage");
    // Requests hold their results until the engine answers.
    cluster.add_worker("e0", "engine").m_delay = 1000ms;
    cluster.set_config(sample_routes(), 1);
    cluster.start();
    for (int at = 0; at < 10; ++at)
    {
        const std::string id = "r" + std::to_string(at);
        cluster.start_request(0, sample_stream("/stream/" + id, id, 3000), 3s);
    }
    cluster.run_for(300ms);
    stage.m_pieces_status = 503;
    stage.m_retry_after = "2";
    cluster.start_request(0, sample_stream("/stream/last", "last", 3000), 3s);
    cluster.run_for(2s);
    cr_assert(stage.m_notice_given_at.has_value());
    const time_point said = *stage.m_notice_given_at;
    expect_no_arrivals(stage, said + underway_time, said + 2s);
}
