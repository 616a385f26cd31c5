#include "edge_cluster.hpp"

#include <algorithm>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

/// Bound of the platform: from contact_time after an upstream has named a limit, it gets
/// in bound_window at most limit_factor times what the limit allows, and limit_slack.
constexpr milliseconds contact_time{3000};
constexpr milliseconds bound_window{4000};
constexpr double limit_factor = 1.5;
constexpr std::size_t limit_slack = 5;

std::size_t bound_of(double per_s)
{
    const double allowed =
        limit_factor * per_s * std::chrono::duration<double>(bound_window).count();
    return static_cast<std::size_t>(allowed) + limit_slack;
}

/// Most arrivals in a window of that length that begins after a time.
std::size_t most_arrivals(const worker_standin& worker, milliseconds window,
                          time_point begin)
{
    const auto& arrivals = worker.m_arrivals;
    std::size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), begin);
         first != arrivals.end(); ++first)
    {
        const auto last = std::lower_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::size_t arrivals_after(const worker_standin& worker, time_point begin)
{
    const auto& arrivals = worker.m_arrivals;
    return static_cast<std::size_t>(
        arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), begin));
}

enum class work : std::uint8_t
{
    reads,
    streams,
    staged_streams,
};

/// Hosts under requests for a pool of which one upstream names a limit.
struct limit_story
{
    limit_story(std::uint16_t first_port, work kind)
        : m_cluster{first_port, hosts}, m_work{kind}
    {
        const std::string limited_pool = kind == work::reads     ? "plain"
                                         : kind == work::streams ? "engine"
                                                                 : "stage";
        for (int at = 0; at < upstreams; ++at)
        {
            auto& worker = m_cluster.add_worker("w" + std::to_string(at), limited_pool);
            // The limited service is the fastest, so that requests go there.
            const bool is_slower = kind == work::reads && at > 0;
            worker.m_delay = is_slower ? 100ms : 0ms;
        }
        if (kind == work::staged_streams)
        {
            m_cluster.add_worker("e0", "engine");
        }
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    worker_standin& limited()
    {
        return *m_cluster.m_workers.front();
    }

    void run(milliseconds length)
    {
        constexpr milliseconds step{20};
        const time_point end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end)
        {
            const std::string id = "r" + std::to_string(m_sent.size());
            const int host = static_cast<int>(m_sent.size()) % hosts;
            m_sent.push_back(m_cluster.start_request(host, next_request(id), 2s));
            m_cluster.run_for(step);
        }
    }

    http_request next_request(const std::string& id)
    {
        if (m_work == work::reads)
        {
            return sample_get("/read/" + id, id, 2000);
        }
        http_request request = sample_post("/stream/" + id, id, 2000);
        request.m_fields.emplace_back("Token-Usage", "100,20");
        const std::string topic = std::to_string(m_sent.size() % 9);
        request.m_fields.emplace_back("Prompt-Prefix",
                                      "aa:80,t" + topic + ":5," + id + ":10");
        if (m_work == work::staged_streams)
        {
            request.m_fields.emplace_back("Pieces", "3");
            request.m_fields.emplace_back("Piece-Key", "k");
        }
        return request;
    }

    double served_share() const
    {
        const auto served = std::count_if(m_sent.begin(), m_sent.end(),
                                          [](const auto& answer)
                                          {
                                              return *answer &&
                                                     (*answer)->m_status == 200 &&
                                                     !(*answer)->m_body.empty();
                                          });
        return static_cast<double>(served) / static_cast<double>(m_sent.size());
    }

    /// The limited upstream gets what it takes, no more than the bound, and the others
    /// serve the rest.
    void expect_limit_kept(double per_s)
    {
        limited().m_limit = std::to_string(per_s);
        run(contact_time);
        cr_assert(limited().m_notice_given_at.has_value());
        const time_point begin = *limited().m_notice_given_at + contact_time;
        run(2 * bound_window);
        const std::size_t most = most_arrivals(limited(), bound_window, begin);
        cr_expect(most <= bound_of(per_s), "%zu requests in a window of %zu allowed",
                  most, bound_of(per_s));
        constexpr double least_used_share = 0.5;
        const double taken =
            per_s * std::chrono::duration<double>(2 * bound_window).count();
        const std::size_t got = arrivals_after(limited(), begin);
        cr_expect(static_cast<double>(got) >= least_used_share * taken,
                  "%zu requests where %.0f are taken", got, taken);
        m_cluster.run_for(1s);
        cr_expect(served_share() > 0.99, "%.3f served", served_share());
    }

    static constexpr int hosts = 3;
    static constexpr int upstreams = 4;

    edge_cluster m_cluster;
    work m_work;
    std::vector<std::shared_ptr<std::optional<http_response>>> m_sent;
};

} // namespace

TestSuite(limited_upstream, .timeout = 60);

// Guards against an upstream in need that gets more requests from all hosts together than
// the limit that it names.
Test(limited_upstream, an_engine_that_names_a_limit_gets_no_more_from_all_hosts)
{
    limit_story story{24160, work::streams};
    story.expect_limit_kept(1);
}

Test(limited_upstream, a_plain_service_that_names_a_limit_gets_no_more_from_all_hosts)
{
    limit_story story{24080, work::reads};
    story.expect_limit_kept(1);
}

Test(limited_upstream, calls_of_pieces_and_releases_count_against_the_limit)
{
    limit_story story{24120, work::staged_streams};
    story.expect_limit_kept(1);
}

// Guards against requests that wait for an upstream in need, or are refused without the
// time at which it takes one.
Test(limited_upstream, what_no_upstream_takes_is_refused_at_once_with_the_time_to_return)
{
    limit_story story{24200, work::reads};
    for (const auto& worker : story.m_cluster.m_workers)
    {
        worker->m_limit = "2";
    }
    story.run(contact_time);
    const std::size_t first = story.m_sent.size();
    const time_point begin = std::chrono::steady_clock::now();
    story.run(bound_window);
    // A response that is not there after this time was not given at once.
    story.m_cluster.run_for(300ms);
    std::size_t served = 0;
    for (std::size_t at = first; at < story.m_sent.size(); ++at)
    {
        const auto& answer = *story.m_sent[at];
        cr_assert(answer.has_value(), "request %zu waits", at);
        if (answer->m_status == 200)
        {
            ++served;
            continue;
        }
        EXPECT_EQUAL(answer->m_status, 503U);
        EXPECT_EQUAL(answer->m_body, "no_upstream_takes_it");
        const double wait_s =
            std::stod(std::string{find_field(answer->m_fields, "Retry-After")});
        cr_expect(wait_s > 0 && wait_s <= 0.7, "%.3f s", wait_s);
    }
    // Four upstreams take 32 requests in that time.
    cr_expect(served >= 16 && served <= 36, "%zu served", served);
    for (const auto& worker : story.m_cluster.m_workers)
    {
        cr_expect(most_arrivals(*worker, bound_window, begin) <= bound_of(2));
    }
}
