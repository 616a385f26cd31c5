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

/// Bounds of the platform: a machine knows what others know after this time.
constexpr milliseconds contact_time{3000};
constexpr std::size_t crashes_before_bound = 5;
constexpr std::size_t max_sends_after_bound = 3;

/// A stream without stages whose prompt has these parts.
http_request prompt_request(const std::string& id, const std::string& parts)
{
    http_request request = sample_post("/stream/" + id, id, 2000);
    request.m_fields.emplace_back("Token-Usage", "100,20");
    request.m_fields.emplace_back("Prompt-Prefix", parts + ',' + id + ":10");
    return request;
}

struct sound_request
{
    time_point m_sent;
    std::shared_ptr<std::optional<http_response>> m_answer;
};

/// Hosts and engines under requests that crash engines, beside sound ones that share
/// their workspace and first part.
struct crash_story
{
    explicit crash_story(std::uint16_t first_port, const std::string& route)
        : m_cluster{first_port, hosts}
    {
        for (int at = 0; at < engines; ++at)
        {
            m_cluster.add_worker("e" + std::to_string(at), "engine").m_crash_part = "bad";
        }
        m_cluster.set_config(route, 1);
        m_cluster.start();
    }

    void run(milliseconds length)
    {
        constexpr milliseconds step{50};
        const time_point end = std::chrono::steady_clock::now() + length;
        for (int at = 0; std::chrono::steady_clock::now() < end; ++at)
        {
            const std::string id = std::to_string(at);
            const std::string topic = std::to_string(at % 7);
            m_sound.push_back(
                {std::chrono::steady_clock::now(),
                 m_cluster.start_request(
                     at % hosts, prompt_request("good" + id, "aa:80,t" + topic + ":5"),
                     2s)});
            if (at % 4 == 0)
            {
                m_cluster.start_request((at / 4) % hosts,
                                        prompt_request("crash" + id, "aa:80,bad:10"), 2s);
            }
            m_cluster.run_for(step);
        }
        m_cluster.run_for(500ms);
    }

    /// When requests that crash engines reached them, in order.
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

    /// Share of the sound requests sent after the time that were answered in full.
    double sound_share_after(time_point time) const
    {
        double sent = 0;
        double served = 0;
        for (const sound_request& sound : m_sound)
        {
            if (sound.m_sent > time)
            {
                ++sent;
                const auto& answer = *sound.m_answer;
                served += answer && answer->m_status == 200 ? 1 : 0;
            }
        }
        return sent == 0 ? 0 : served / sent;
    }

    void expect_bounds_kept()
    {
        const time_point began = std::chrono::steady_clock::now();
        run(3 * contact_time);
        const std::size_t late = sends_after_bound();
        cr_expect(late <= max_sends_after_bound, "%zu sends after the bound, %zu in all",
                  late, crash_arrivals().size());
        const double share = sound_share_after(began + 2 * contact_time);
        cr_expect(share > 0.9, "%.2f of the sound requests served", share);
    }

    static constexpr int hosts = 3;
    static constexpr int engines = 8;

    edge_cluster m_cluster;
    std::vector<sound_request> m_sound;
};

const std::string once_route =
    R"({"name":"p","host":"a.example","prefix":"/stream/","routeType":"streaming",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"service":"engine","maxAttempts":1,)"
    R"("gapAimMs":300})";
const std::string resumable_route =
    R"({"name":"p","host":"a.example","prefix":"/stream/","routeType":"streaming",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"service":"engine","maxAttempts":2,)"
    R"("streamResume":true,"gapAimMs":300})";

} // namespace

TestSuite(crashing_prompt, .timeout = 60);

// Guards against prompts with a part that crashes each engine which begins to write an
// answer on it, sent to one engine after the other.
Test(crashing_prompt, requests_with_a_part_that_crashes_engines_stop_reaching_them)
{
    crash_story story{22680, once_route};
    story.expect_bounds_kept();
}

Test(crashing_prompt, repeats_of_resumable_streams_do_not_carry_the_crash_on)
{
    crash_story story{22720, resumable_route};
    story.expect_bounds_kept();
}
