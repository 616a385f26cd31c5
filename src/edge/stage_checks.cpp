#include "stage_scheduler.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

// Periodic checks of the queues.

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

/// Interval of the log line about a queue that has jobs.
constexpr milliseconds queue_log_interval{1000};

/// Fraction of its distance from 1 by which the slowness of an idle upstream changes in
/// each check.
constexpr double slowness_recovery_rate = 0.005;

} // namespace

void stage_scheduler::run_checks(const pool_id& pool, pool_state& state)
{
    if (m_state.m_rollouts.m_orders.contains(pool))
    {
        update_held_results(pool, state);
    }
    expire_announcements(state.m_queue, now());
    refuse_infeasible_jobs(state);
    hedge_overdue_calls(state);
    expire_results(state);
    flush_releases(state);
    log_queue(pool, state);
    for (auto& [id, upstream_state] : state.m_queue.m_upstreams)
    {
        if (!upstream_state.m_busy_until)
        {
            upstream_state.m_slowness +=
                slowness_recovery_rate * (1 - upstream_state.m_slowness);
        }
    }
    dispatch_calls(pool, state);
}

void stage_scheduler::log_queue(const pool_id& pool, pool_state& state)
{
    const time_point at = now();
    if (at - state.m_last_log < queue_log_interval || state.m_queue.m_jobs.empty())
    {
        return;
    }
    state.m_last_log = at;
    const queue_summary summary = summarize(state.m_queue, at);
    const queue_waits waits = current_waits(state.m_queue, at);
    log_event{"queue"}
        .add("pool", pool)
        .add("jobs", state.m_queue.m_jobs.size())
        .add("waiting_on_time", summary.m_on_time)
        .add("waiting_late", summary.m_late)
        .add("running", summary.m_running)
        .add("results", state.m_results.size())
        .add("idle_upstreams", summary.m_idle_upstreams)
        .add("upstreams", state.m_queue.m_upstreams.size())
        .add("announced", state.m_queue.m_announced.size())
        .add("room_share", summary.m_result_memory_share)
        .add("inflow_per_s", state.m_queue.m_on_time_arrivals_per_s)
        .add("on_time_wait_ms", waits.m_on_time.count())
        .add("late_wait_ms", waits.m_late.count());
}

void stage_scheduler::refuse_infeasible_jobs(pool_state& state)
{
    const time_point at = now();
    for (const job_id& id : infeasible_jobs(state.m_queue, at))
    {
        const auto wait =
            std::max(min_retry_after, current_waits(state.m_queue, at).m_late);
        finish_job(
            state, id,
            {0, pieces_outcome::refused, {}, static_cast<std::uint32_t>(wait.count())});
    }
}

void stage_scheduler::hedge_overdue_calls(pool_state& state)
{
    const time_point at = now();
    for (const upstream_id& id : overdue_upstreams(state.m_queue, at))
    {
        const auto running = state.m_calls.find(id);
        if (running == state.m_calls.end() || running->second.m_hedged)
        {
            continue;
        }
        running->second.m_hedged = true;
        stage_upstream& upstream_state = state.m_queue.m_upstreams[id];
        const double normal = std::max<double>(
            1, expected_call_time(state.m_queue, running->second.m_pieces.size(), 1)
                   .count());
        upstream_state.m_slowness =
            std::max(upstream_state.m_slowness,
                     to_ms(at - upstream_state.m_call_started) / normal);
        for (const piece_ref& ref : running->second.m_pieces)
        {
            const auto job = state.m_queue.m_jobs.find(ref.m_job);
            if (job == state.m_queue.m_jobs.end())
            {
                continue;
            }
            piece& part = job->second.m_pieces[ref.m_piece];
            if (part.m_state == piece_state::running && part.m_active_calls == 1)
            {
                part.m_state = piece_state::waiting;
            }
        }
        log_event{"pieces_call_overdue"}
            .add("upstream", id)
            .add("pieces", running->second.m_pieces.size());
    }
}

void stage_scheduler::expire_results(pool_state& state)
{
    const time_point at = now();
    std::erase_if(state.m_results,
                  [&](const auto& entry)
                  {
                      if (entry.second.m_expires > at)
                      {
                          return false;
                      }
                      const auto upstream_state =
                          state.m_queue.m_upstreams.find(entry.second.m_upstream);
                      if (upstream_state != state.m_queue.m_upstreams.end())
                      {
                          upstream_state->second.m_result_memory_used -=
                              std::min(upstream_state->second.m_result_memory_used,
                                       entry.second.m_bytes);
                      }
                      return true;
                  });
}

} // namespace geraniumdoor::edge
