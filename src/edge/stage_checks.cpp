#include "stage_scheduler.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

// Periodic work on the queues.

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

/// Period of the log line on a queue that has work.
constexpr milliseconds queue_log_period{1000};

/// Share of the way back to normal that the slowness of an idle upstream goes in a check.
constexpr double slowness_decay = 0.005;

} // namespace

void stage_scheduler::check(const pool_id& pool, pool_service& service)
{
    expire_announcements(service.m_queue, now());
    refuse_hopeless(service);
    repeat_overdue(service);
    expire_results(service);
    flush_releases(service);
    log_queue(pool, service);
    for (auto& [id, worker] : service.m_queue.m_workers)
    {
        if (!worker.m_busy_until)
        {
            worker.m_slowness += slowness_decay * (1 - worker.m_slowness);
        }
    }
    pump(pool, service);
}

void stage_scheduler::log_queue(const pool_id& pool, pool_service& service)
{
    const time_point at = now();
    if (at - service.m_last_log < queue_log_period || service.m_queue.m_jobs.empty())
    {
        return;
    }
    service.m_last_log = at;
    const queue_summary summary = summarize(service.m_queue, at);
    const queue_waits waits = current_waits(service.m_queue, at);
    log_event{"queue"}
        .add("pool", pool)
        .add("jobs", service.m_queue.m_jobs.size())
        .add("waiting_on_time", summary.m_on_time)
        .add("waiting_late", summary.m_late)
        .add("running", summary.m_running)
        .add("results", service.m_results.size())
        .add("idle_upstreams", summary.m_idle_upstreams)
        .add("upstreams", service.m_queue.m_workers.size())
        .add("announced", service.m_queue.m_announced.size())
        .add("room_share", summary.m_result_memory_share)
        .add("inflow_per_s", service.m_queue.m_on_time_arrivals_per_s)
        .add("on_time_wait_ms", waits.m_on_time.count())
        .add("late_wait_ms", waits.m_late.count());
}

void stage_scheduler::refuse_hopeless(pool_service& service)
{
    const time_point at = now();
    for (const job_id& id : infeasible_jobs(service.m_queue, at))
    {
        const auto wait =
            std::max(shortest_retry, current_waits(service.m_queue, at).m_late);
        finish_job(
            service, id,
            {0, pieces_outcome::refused, {}, static_cast<std::uint32_t>(wait.count())});
    }
}

void stage_scheduler::repeat_overdue(pool_service& service)
{
    const time_point at = now();
    for (const upstream_id& id : overdue_workers(service.m_queue, at))
    {
        const auto running = service.m_calls.find(id);
        if (running == service.m_calls.end() || running->second.m_repeated)
        {
            continue;
        }
        running->second.m_repeated = true;
        stage_worker& worker = service.m_queue.m_workers[id];
        const double normal = std::max<double>(
            1, expected_call_time(service.m_queue, running->second.m_pieces.size(), 1)
                   .count());
        worker.m_slowness =
            std::max(worker.m_slowness, to_ms(at - worker.m_call_started) / normal);
        for (const piece_ref& ref : running->second.m_pieces)
        {
            const auto job = service.m_queue.m_jobs.find(ref.m_job);
            if (job == service.m_queue.m_jobs.end())
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

void stage_scheduler::expire_results(pool_service& service)
{
    const time_point at = now();
    std::erase_if(service.m_results,
                  [&](const auto& entry)
                  {
                      if (entry.second.m_expires > at)
                      {
                          return false;
                      }
                      const auto worker =
                          service.m_queue.m_workers.find(entry.second.m_upstream);
                      if (worker != service.m_queue.m_workers.end())
                      {
                          worker->second.m_result_memory_used -= std::min(
                              worker->second.m_result_memory_used, entry.second.m_bytes);
                      }
                      return true;
                  });
}

} // namespace geraniumdoor::edge
