#include "queue_samples.hpp"

#include <geraniumdoor/base/random.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

/// Arrivals at the first stage of the smaller site, with a burst in between: plans with 1
/// to 5 heavy pieces, and queries with one piece.
struct load_pattern
{
    double m_jobs_per_s = 17;
    double m_burst_factor = 2.2;
    std::uint32_t m_largest_job = 5;
    int m_upstreams = 3;
    std::uint64_t m_seed = 1;
    std::uint64_t m_result_bytes = 8000;
    /// Time from the end of a job until its results are released.
    milliseconds m_hold_time{0};
};

enum class call_policy : std::uint8_t
{
    /// next_call, as used in production.
    product,
    /// First come, first served; each call contains the pieces of one job.
    single_job_fifo,
    /// First come, first served; calls combine the pieces of several jobs.
    fifo,
};

struct replay_result
{
    int m_jobs = 0;
    int m_on_time = 0;
    int m_done = 0;

    double on_time_share() const
    {
        return static_cast<double>(m_on_time) / std::max(1, m_jobs);
    }
};

std::vector<piece_ref> fifo_call(const stage_queue& queue, bool single_job)
{
    std::vector<std::pair<time_point, job_id>> order;
    for (const auto& [id, job] : queue.m_jobs)
    {
        order.emplace_back(job.m_arrived, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<piece_ref> call;
    for (const auto& [arrived, id] : order)
    {
        const auto& pieces = queue.m_jobs.at(id).m_pieces;
        for (std::uint32_t index = 0; index < pieces.size(); ++index)
        {
            if (pieces[index].m_state == piece_state::waiting &&
                call.size() < queue.m_limits.m_batch_size)
            {
                call.push_back({id, index});
            }
        }
        if (single_job && !call.empty())
        {
            break;
        }
    }
    return call;
}

/// Simulates twelve seconds in steps of a millisecond; the burst lasts from 3 s to 8 s.
replay_result replay(const load_pattern& pattern, call_policy policy)
{
    constexpr milliseconds goal{900};
    constexpr int length_ms = 12000;
    stage_queue queue = sample_queue(pattern.m_upstreams);
    random_source random{pattern.m_seed};
    replay_result result;
    std::map<upstream_id, std::vector<piece_ref>> calls;
    // Upstreams that hold the results of each job, and when these are released.
    std::map<job_id, std::vector<upstream_id>> producers;
    std::multimap<time_point, upstream_id> releases;
    std::uint64_t counter = 0;
    for (int ms = 0; ms < length_ms; ++ms)
    {
        const time_point now = sample_now + milliseconds{ms};
        const bool in_burst = ms >= 3000 && ms < 8000;
        const double per_ms =
            pattern.m_jobs_per_s * (in_burst ? pattern.m_burst_factor : 1) / 1000;
        if (uniform_unit(random) < per_ms)
        {
            stage_job job = sample_job(1 + uniform_below(random, pattern.m_largest_job));
            job.m_arrived = now;
            job.m_due = now + goal;
            job.m_deadline = now + 5s;
            job.m_result_bytes = pattern.m_result_bytes;
            queue.m_jobs[{node_id{"h"}, {1}, ++counter}] = job;
            ++result.m_jobs;
        }
        while (!releases.empty() && releases.begin()->first <= now)
        {
            queue.m_upstreams[releases.begin()->second].m_result_memory_used -=
                pattern.m_result_bytes;
            releases.erase(releases.begin());
        }
        for (auto& [id, upstream] : queue.m_upstreams)
        {
            if (upstream.m_busy_until && *upstream.m_busy_until <= now)
            {
                upstream.m_busy_until.reset();
                for (const piece_ref& ref : calls[id])
                {
                    queue.m_jobs.at(ref.m_job).m_pieces[ref.m_piece].m_state =
                        piece_state::done;
                }
            }
        }
        std::erase_if(queue.m_jobs,
                      [&](const auto& entry)
                      {
                          const stage_job& job = entry.second;
                          const bool done =
                              std::all_of(job.m_pieces.begin(), job.m_pieces.end(),
                                          [](const piece& part)
                                          {
                                              return part.m_state == piece_state::done;
                                          });
                          for (const upstream_id& producer :
                               done ? producers[entry.first] : std::vector<upstream_id>{})
                          {
                              releases.emplace(now + pattern.m_hold_time, producer);
                          }
                          result.m_done += done ? 1 : 0;
                          result.m_on_time += done && now <= job.m_due ? 1 : 0;
                          return done;
                      });
        for (auto& [id, upstream] : queue.m_upstreams)
        {
            if (upstream.m_busy_until)
            {
                continue;
            }
            auto call = policy == call_policy::product
                            ? next_call(queue, id, now)
                            : fifo_call(queue, policy == call_policy::single_job_fifo);
            if (call.empty())
            {
                continue;
            }
            for (const piece_ref& ref : call)
            {
                queue.m_jobs.at(ref.m_job).m_pieces[ref.m_piece].m_state =
                    piece_state::running;
                upstream.m_result_memory_used += pattern.m_result_bytes;
                producers[ref.m_job].push_back(id);
            }
            upstream.m_call_started = now;
            upstream.m_busy_until = now + expected_call_time(queue, call.size(), 1);
            calls[id] = std::move(call);
        }
    }
    return result;
}

replay_result replay_all(load_pattern pattern, call_policy policy)
{
    replay_result sum;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        pattern.m_seed = seed;
        const replay_result one = replay(pattern, policy);
        sum.m_jobs += one.m_jobs;
        sum.m_on_time += one.m_on_time;
        sum.m_done += one.m_done;
    }
    return sum;
}

} // namespace

// Guards against a batching and ordering of calls that makes jobs late at peak load.
// Prints the share of jobs on time under each policy.
TestSuite(load_replay);

// A burst of 2.2 times the mean rate needs 112 pieces per second from a pool that
// processes 30 with one job per call and 88 with full calls.
Test(load_replay, a_burst_is_served_by_full_calls)
{
    load_pattern pattern;
    const replay_result before = replay_all(pattern, call_policy::single_job_fifo);
    const replay_result joined = replay_all(pattern, call_policy::fifo);
    const replay_result after = replay_all(pattern, call_policy::product);
    std::printf(
        "on time: one job a call %.3f, full calls first come %.3f, product %.3f\n",
        before.on_time_share(), joined.on_time_share(), after.on_time_share());
    cr_expect(after.on_time_share() > 2 * before.on_time_share());
    cr_expect(after.on_time_share() > joined.on_time_share());
}

// A sustained overload by a third: first come, first served makes all jobs late.
Test(load_replay, under_overload_jobs_that_can_be_on_time_go_first)
{
    load_pattern pattern;
    pattern.m_jobs_per_s = 38;
    pattern.m_burst_factor = 1.1;
    const replay_result before = replay_all(pattern, call_policy::fifo);
    const replay_result after = replay_all(pattern, call_policy::product);
    std::printf("on time: first come %.3f, product %.3f\n", before.on_time_share(),
                after.on_time_share());
    cr_expect(after.on_time_share() > before.on_time_share() + 0.2);
}

// A burst of plans whose results of 3 MB fill the memory of the pool. Results that are
// held until the first byte of the response, for about 400 ms, keep upstreams idle;
// results that are released when the engine has fetched them, after about 70 ms, do not.
Test(load_replay, results_that_are_released_early_leave_memory_for_a_burst)
{
    load_pattern pattern;
    pattern.m_result_bytes = 3'000'000;
    pattern.m_hold_time = 400ms;
    const replay_result before = replay_all(pattern, call_policy::product);
    pattern.m_hold_time = 70ms;
    const replay_result after = replay_all(pattern, call_policy::product);
    std::printf("on time: results held 400 ms %.3f, 70 ms %.3f\n", before.on_time_share(),
                after.on_time_share());
    cr_expect(after.on_time_share() > before.on_time_share() + 0.05);
}

// Below capacity no job is late.
Test(load_replay, jobs_below_capacity_are_on_time)
{
    load_pattern pattern;
    pattern.m_burst_factor = 1;
    pattern.m_jobs_per_s = 10;
    const replay_result after = replay_all(pattern, call_policy::product);
    std::printf("on time: product %.3f of %d jobs\n", after.on_time_share(),
                after.m_jobs);
    // Jobs of the last second are still in progress at the end.
    cr_expect(after.m_on_time >= after.m_done * 99 / 100);
}
