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

/// Bounds of the platform: a machine knows what others know after this time, and sends
/// this number of such requests after that.
constexpr milliseconds contact_time{3000};
constexpr std::size_t crashes_before_bound = 3;
constexpr std::size_t max_sends_after_bound = 3;

const std::string bad = "bad";

/// A read whose path, caller and body are the same each time.
http_request bad_read(int number)
{
    http_request request =
        sample_post("/read/statement", "bad" + std::to_string(number), 1000);
    request.m_body = bad;
    return request;
}

http_request payment(int number)
{
    const std::string id = "pay" + std::to_string(number);
    http_request request = sample_post("/pay/" + id, id, 1000);
    request.m_body = id;
    return request;
}

/// A stream with a stage whose pieces have the key.
http_request staged_stream(const std::string& id, const std::string& piece_key)
{
    http_request request = sample_post("/resume/stages", id, 2000);
    request.m_body = piece_key;
    request.m_fields.emplace_back("Token-Usage", "100,20");
    request.m_fields.emplace_back("Prompt-Prefix", "aa:80," + id + ":20");
    request.m_fields.emplace_back("Pieces", "3");
    request.m_fields.emplace_back("Piece-Key", piece_key);
    return request;
}

struct pending
{
    time_point m_sent;
    std::shared_ptr<std::optional<http_response>> m_answer;
};

/// Hosts and upstreams under one request that crashes upstreams and comes again, beside
/// sound requests to the same upstreams.
class crash_story
{
public:
    /// @param pool pool whose upstreams crash
    /// @param started number of hosts that run from the start
    crash_story(std::uint16_t first_port, const std::string& pool, int upstreams,
                int started = hosts)
        : m_cluster{first_port, hosts}, m_started{started}
    {
        for (int at = 0; at < upstreams; ++at)
        {
            worker_standin& added = m_cluster.add_worker(pool + std::to_string(at), pool);
            added.m_crash_body = bad;
            added.m_crash_piece_key = bad;
            added.m_restart_delay = 3000ms;
            added.m_delay = 100ms;
        }
        if (pool == "stage")
        {
            m_cluster.add_worker("engine", "engine");
        }
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start_store();
        for (int host = 0; host < m_started; ++host)
        {
            m_cluster.start_host(host);
        }
        m_cluster.run_for(1500ms);
    }

    /// Sends a bad request every 200 ms and a sound one every 100 ms.
    template<class MakeBad, class MakeSound>
    void run(milliseconds length, MakeBad make_bad, MakeSound make_sound)
    {
        constexpr milliseconds step{100};
        const time_point end = std::chrono::steady_clock::now() + length;
        for (int at = 0; std::chrono::steady_clock::now() < end; ++at)
        {
            const auto now = std::chrono::steady_clock::now();
            m_sound.push_back(
                {now, m_cluster.start_request(at % m_started, make_sound(at), 3s)});
            if (at % 2 == 0)
            {
                m_bad.push_back({now, m_cluster.start_request((at / 2) % m_started,
                                                              make_bad(at), 3s)});
            }
            m_cluster.run_for(step);
            announce_restarts();
        }
        m_cluster.run_for(500ms);
    }

    void run_reads_beside_payments(milliseconds length)
    {
        run(length, bad_read, payment);
    }

    /// When requests that crash upstreams reached them, in order.
    std::vector<time_point> crash_arrivals() const
    {
        std::vector<time_point> arrivals;
        for (const auto& worker : m_cluster.m_workers)
        {
            arrivals.insert(arrivals.end(), worker->m_crash_arrivals.begin(),
                            worker->m_crash_arrivals.end());
        }
        std::sort(arrivals.begin(), arrivals.end());
        return arrivals;
    }

    std::size_t sends_after_bound() const
    {
        const auto arrivals = crash_arrivals();
        if (arrivals.size() < crashes_before_bound)
        {
            return 0;
        }
        const time_point bound = arrivals[crashes_before_bound - 1] + contact_time;
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                      [bound](time_point at)
                                                      {
                                                          return at > bound;
                                                      }));
    }

    void expect_bound_kept() const
    {
        const std::size_t late = sends_after_bound();
        cr_expect(late <= max_sends_after_bound, "%zu sends after the bound, %zu in all",
                  late, crash_arrivals().size());
    }

    /// @param after time after the first request
    void expect_sound_served(milliseconds after) const
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const pending& sound : m_sound)
        {
            const auto& answer = *sound.m_answer;
            const bool counts = sound.m_sent > m_sound.front().m_sent + after;
            sent += counts ? 1 : 0;
            served += counts && answer && answer->m_status == 200 ? 1 : 0;
        }
        cr_expect(served * 10 > sent * 9, "%zu of %zu sound requests served", served,
                  sent);
    }

    /// Bad requests of the last seconds are refused with a time to return.
    void expect_bad_refused_at_the_end() const
    {
        const pending& last = m_bad.back();
        cr_assert(last.m_answer->has_value());
        EXPECT_EQUAL((*last.m_answer)->m_status, 503U);
        cr_expect(not find_field((*last.m_answer)->m_fields, "Retry-After").empty());
    }

    /// A process that has started again writes its registry entry.
    void announce_restarts()
    {
        m_announced.resize(m_cluster.m_workers.size(), 1);
        for (std::size_t at = 0; at < m_announced.size(); ++at)
        {
            const worker_standin& worker = *m_cluster.m_workers[at];
            if (worker.m_born != m_announced[at])
            {
                m_announced[at] = worker.m_born;
                m_cluster.set_worker_state(worker, "ready");
            }
        }
    }

    static constexpr int hosts = 3;

    edge_cluster m_cluster;
    std::vector<pending> m_sound;
    std::vector<pending> m_bad;

private:
    int m_started;
    std::vector<std::int64_t> m_announced;
};

} // namespace

TestSuite(crashing_request, .timeout = 60);

// Guards against a request without a prompt that crashes each upstream which runs it, and
// is sent to the next one whenever it comes again.
Test(crashing_request, a_read_that_crashes_eight_upstreams_stops_reaching_them)
{
    crash_story story{25680, "plain", 8};
    story.run_reads_beside_payments(15s);
    story.expect_bound_kept();
    story.expect_sound_served(5s);
    story.expect_bad_refused_at_the_end();
}

Test(crashing_request, a_read_that_crashes_a_pool_of_three_stops_reaching_it)
{
    crash_story story{25720, "plain", 3};
    story.run_reads_beside_payments(15s);
    story.expect_bound_kept();
    story.expect_sound_served(5s);
    story.expect_bad_refused_at_the_end();
}

Test(crashing_request, a_host_that_starts_later_learns_of_it_before_it_sends)
{
    crash_story story{25760, "plain", 8, 2};
    for (auto& worker : story.m_cluster.m_workers)
    {
        worker->m_restart_delay = 1000ms;
    }
    story.run_reads_beside_payments(1500ms);
    story.m_cluster.run_for(1200ms);
    story.announce_restarts();
    story.m_cluster.run_for(300ms);
    const std::size_t before = story.crash_arrivals().size();
    story.m_cluster.start_host(2);
    // The request waits until the host has its configuration.
    const auto answer = story.m_cluster.send_request(2, bad_read(1000), 2s);
    EXPECT_EQUAL(answer.m_status, 503U);
    EXPECT_EQUAL(story.crash_arrivals().size(), before);
}

Test(crashing_request, pieces_that_crash_stage_upstreams_stop_reaching_them)
{
    crash_story story{25800, "stage", 8};
    story.run(
        15s,
        [](int number)
        {
            return staged_stream("bad" + std::to_string(number), bad);
        },
        [](int number)
        {
            const std::string id = "good" + std::to_string(number);
            return staged_stream(id, id);
        });
    story.expect_bound_kept();
    story.expect_sound_served(5s);
}
