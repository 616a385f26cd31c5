#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 1000s;
const pool_id plain_pool{"plain"};
constexpr std::size_t upstreams = 3;

/// One upstream of a plain service is in trouble for some time.
struct trouble
{
    /// Its response time, as a multiple of that of the others.
    double m_slowness = 1;
    /// Share of its responses that report a failure.
    double m_failure_share = 0;
    duration m_length{};
};

struct replay_result
{
    /// Requests in the 25 s from 20 s after the beginning of the trouble, and those that
    /// went to the upstream that was in trouble.
    int m_requests = 0;
    int m_at_first = 0;
    double m_worst_burst_load = 0;

    double share_of_first() const
    {
        return static_cast<double>(m_at_first) / m_requests;
    }
};

struct running_request
{
    time_point m_ends{};
    std::size_t m_upstream = 0;
    double m_took_ms = 0;
    bool m_failed = false;
};

/// 20 requests per second for 50 s at three upstreams with six slots, and then a burst.
/// The first upstream is in trouble from 5 s on.
class replay
{
public:
    replay(const trouble& first, std::uint32_t seed) : m_first{first}, m_random{seed}
    {
        for (std::size_t at = 0; at < upstreams; ++at)
        {
            upstream_entry entry;
            entry.m_id = id_of(at);
            entry.m_pool = plain_pool;
            entry.m_concurrency = 6;
            apply_entry(m_table, entry, start);
        }
    }

    replay_result run()
    {
        constexpr double calm_per_s = 20;
        constexpr double burst_per_s = 420;
        time_point now = start;
        while (now < start + 53s)
        {
            const bool burst = now - start >= 50s;
            const double pause_s = 1 / (burst ? burst_per_s : calm_per_s);
            now += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{pause_s * (0.5 + uniform_unit(m_random))});
            end_requests(now);
            begin_request(now);
            if (burst)
            {
                note_burst_load();
            }
        }
        return m_result;
    }

private:
    static upstream_id id_of(std::size_t at)
    {
        return upstream_id{"u" + std::to_string(at)};
    }

    upstream& row_of(std::size_t at)
    {
        return *m_table.m_rows.find(id_of(at));
    }

    bool in_trouble(time_point now) const
    {
        return now - start >= 5s && now - start < 5s + m_first.m_length;
    }

    void begin_request(time_point now)
    {
        const upstream* chosen =
            choose_upstream(m_table, plain_pool, data_centre_id{}, {}, now);
        std::size_t at = 0;
        while (id_of(at) != chosen->m_entry.m_id)
        {
            ++at;
        }
        const bool troubled = at == 0 && in_trouble(now);
        running_request request;
        request.m_upstream = at;
        request.m_took_ms = 30 * (0.8 + 0.4 * uniform_unit(m_random)) *
                            (troubled ? m_first.m_slowness : 1);
        request.m_failed = troubled && uniform_unit(m_random) < m_first.m_failure_share;
        request.m_ends =
            now + std::chrono::duration_cast<duration>(
                      std::chrono::duration<double, std::milli>{request.m_took_ms});
        m_running.push_back(request);
        ++row_of(at).m_running;
        if (now - start >= 25s && now - start < 50s)
        {
            ++m_result.m_requests;
            m_result.m_at_first += at == 0 ? 1 : 0;
        }
    }

    void end_requests(time_point now)
    {
        std::erase_if(m_running,
                      [this, now](const running_request& request)
                      {
                          if (request.m_ends > now)
                          {
                              return false;
                          }
                          m_mean_ms += sample_weight * (request.m_took_ms - m_mean_ms);
                          const double slowness =
                              std::clamp(request.m_took_ms / m_mean_ms, 0.3, 8.0);
                          upstream& row = row_of(request.m_upstream);
                          record_response(m_table, row, !request.m_failed, slowness);
                          --row.m_running;
                          return true;
                      });
    }

    void note_burst_load()
    {
        for (std::size_t at = 0; at < upstreams; ++at)
        {
            m_result.m_worst_burst_load =
                std::max(m_result.m_worst_burst_load, load_ratio(row_of(at)));
        }
    }

    trouble m_first;
    random_source m_random;
    upstream_table m_table;
    std::vector<running_request> m_running;
    double m_mean_ms = 30;
    replay_result m_result;
};

} // namespace

TestSuite(slow_upstream_replay, .timeout = 200);

// Guards against an upstream that was in trouble for some seconds and gets no requests
// for the rest of the day, so that the others are overloaded by a burst.
Test(slow_upstream_replay, an_upstream_that_is_sound_again_is_used_again)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        const replay_result was_slow = replay{{8, 0, 4s}, seed}.run();
        cr_expect(was_slow.share_of_first() >= 0.1, "seed %u: slow, then %.3f", seed,
                  was_slow.share_of_first());
        cr_expect(was_slow.m_worst_burst_load <= 2, "seed %u: load %.2f", seed,
                  was_slow.m_worst_burst_load);
        const replay_result has_failed = replay{{1, 0.8, 4s}, seed}.run();
        cr_expect(has_failed.share_of_first() >= 0.1, "seed %u: failed, then %.3f", seed,
                  has_failed.share_of_first());
    }
}

Test(slow_upstream_replay, an_upstream_that_stays_in_trouble_is_hardly_used)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        const replay_result slow = replay{{8, 0, 100s}, seed}.run();
        cr_expect(slow.share_of_first() <= 0.02, "seed %u: slow %.3f", seed,
                  slow.share_of_first());
        const replay_result fails = replay{{1, 0.8, 100s}, seed}.run();
        cr_expect(fails.share_of_first() <= 0.02, "seed %u: fails %.3f", seed,
                  fails.share_of_first());
    }
}
