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

/// Arrivals at the first stage of the smaller site: plans with 1 to 5 heavy pieces, and
/// queries with one piece, with a burst in between.
struct load_pattern
{
    double m_jobs_per_s = 17;
    double m_burst_factor = 2.2;
    std::uint32_t m_largest_job = 5;
    int m_workers = 3;
    std::uint64_t m_seed = 1;
    std::uint64_t m_result_bytes = 8000;
    /// Time from the end of a job until its results are given back.
    milliseconds m_held{0};
};

enum class call_policy : std::uint8_t
{
    /// next_call of the product.
    product,
    /// First come, first served; a call has the pieces of one job.
    one_job_first_come,
    /// First come, first served; full calls.
    first_come,
};

struct replayed
{
    int m_jobs = 0;
    int m_on_time = 0;
    int m_done = 0;

    double on_time_share() const
    {
        return static_cast<double>(m_on_time) / std::max(1, m_jobs);
    }
};

std::vector<piece_ref> first_come_call(const stage_queue& queue, bool one_job)
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
        for (std::uint32_t at = 0; at < pieces.size(); ++at)
        {
            if (pieces[at].m_state == piece_state::waiting &&
                call.size() < queue.m_limits.m_batch_size)
            {
                call.push_back({id, at});
            }
        }
        if (one_job && !call.empty())
        {
            break;
        }
    }
    return call;
}

/// Twelve simulated seconds in steps of a millisecond; the burst lasts from 3 s to 8 s.
replayed replay(const load_pattern& pattern, call_policy policy)
{
    constexpr milliseconds goal{900};
    constexpr int length_ms = 12000;
    stage_queue queue = sample_queue(pattern.m_workers);
    random_source random{pattern.m_seed};
    replayed result;
    std::map<upstream_id, std::vector<piece_ref>> calls;
    // Where the results of each job lie, and which of them are given back when.
    std::map<job_id, std::vector<upstream_id>> makers;
    std::multimap<time_point, upstream_id> releases;
    std::uint64_t counter = 0;
    for (int ms = 0; ms < length_ms; ++ms)
    {
        const time_point now = sample_now + milliseconds{ms};
        const bool burst = ms >= 3000 && ms < 8000;
        const double per_ms =
            pattern.m_jobs_per_s * (burst ? pattern.m_burst_factor : 1) / 1000;
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
            queue.m_workers[releases.begin()->second].m_result_memory_used -=
                pattern.m_result_bytes;
            releases.erase(releases.begin());
        }
        for (auto& [id, worker] : queue.m_workers)
        {
            if (worker.m_busy_until && *worker.m_busy_until <= now)
            {
                worker.m_busy_until.reset();
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
                          for (const upstream_id& maker :
                               done ? makers[entry.first] : std::vector<upstream_id>{})
                          {
                              releases.emplace(now + pattern.m_held, maker);
                          }
                          result.m_done += done ? 1 : 0;
                          result.m_on_time += done && now <= job.m_due ? 1 : 0;
                          return done;
                      });
        for (auto& [id, worker] : queue.m_workers)
        {
            if (worker.m_busy_until)
            {
                continue;
            }
            auto call =
                policy == call_policy::product
                    ? next_call(queue, id, now)
                    : first_come_call(queue, policy == call_policy::one_job_first_come);
            if (call.empty())
            {
                continue;
            }
            for (const piece_ref& ref : call)
            {
                queue.m_jobs.at(ref.m_job).m_pieces[ref.m_piece].m_state =
                    piece_state::running;
                worker.m_result_memory_used += pattern.m_result_bytes;
                makers[ref.m_job].push_back(id);
            }
            worker.m_call_started = now;
            worker.m_busy_until = now + expected_call_time(queue, call.size(), 1);
            calls[id] = std::move(call);
        }
    }
    return result;
}

replayed replay_all(load_pattern pattern, call_policy policy)
{
    replayed sum;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        pattern.m_seed = seed;
        const replayed one = replay(pattern, policy);
        sum.m_jobs += one.m_jobs;
        sum.m_on_time += one.m_on_time;
        sum.m_done += one.m_done;
    }
    return sum;
}

} // namespace

// Guards against calls and an order that lose the worst seconds of a day. Prints the
// share of jobs on time under each policy.
TestSuite(load_replay);

// A burst of 2.2 times the mean rate asks for 112 pieces a second of a pool that makes 30
// with one job a call and 88 with full calls.
Test(load_replay, a_burst_is_served_by_full_calls)
{
    load_pattern pattern;
    const replayed before = replay_all(pattern, call_policy::one_job_first_come);
    const replayed joined = replay_all(pattern, call_policy::first_come);
    const replayed after = replay_all(pattern, call_policy::product);
    std::printf(
        "on time: one job a call %.3f, full calls first come %.3f, product %.3f\n",
        before.on_time_share(), joined.on_time_share(), after.on_time_share());
    cr_expect(after.on_time_share() > 2 * before.on_time_share());
    cr_expect(after.on_time_share() > joined.on_time_share());
}

// A longer overload of a third: first come, first served makes everybody late.
Test(load_replay, under_overload_work_that_can_be_on_time_goes_first)
{
    load_pattern pattern;
    pattern.m_jobs_per_s = 38;
    pattern.m_burst_factor = 1.1;
    const replayed before = replay_all(pattern, call_policy::first_come);
    const replayed after = replay_all(pattern, call_policy::product);
    std::printf("on time: first come %.3f, product %.3f\n", before.on_time_share(),
                after.on_time_share());
    cr_expect(after.on_time_share() > before.on_time_share() + 0.2);
}

// A burst of plans whose results of 3 MB fill the room of the pool. Held until the first
// byte of the answer, about 400 ms, the results keep upstreams idle; given back when the
// engine has fetched them, after about 70 ms, they do not.
Test(load_replay, results_that_are_given_back_early_leave_room_for_a_burst)
{
    load_pattern pattern;
    pattern.m_result_bytes = 3'000'000;
    pattern.m_held = 400ms;
    const replayed before = replay_all(pattern, call_policy::product);
    pattern.m_held = 70ms;
    const replayed after = replay_all(pattern, call_policy::product);
    std::printf("on time: results held 400 ms %.3f, 70 ms %.3f\n", before.on_time_share(),
                after.on_time_share());
    cr_expect(after.on_time_share() > before.on_time_share() + 0.05);
}

// Below capacity nothing is late.
Test(load_replay, a_calm_load_is_on_time)
{
    load_pattern pattern;
    pattern.m_burst_factor = 1;
    pattern.m_jobs_per_s = 10;
    const replayed after = replay_all(pattern, call_policy::product);
    std::printf("on time: product %.3f of %d jobs\n", after.on_time_share(),
                after.m_jobs);
    // Jobs of the last second are still underway at the end.
    cr_expect(after.m_on_time >= after.m_done * 99 / 100);
}
