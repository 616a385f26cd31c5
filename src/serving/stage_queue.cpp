#include <geraniumdoor/serving/stage_queue.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor::serving
{

namespace
{

/// A call is overdue after this multiple of its expected time plus this margin.
constexpr double overdue_factor = 2.2;
constexpr milliseconds overdue_margin{100};

/// An upstream whose slowness is at least this stays idle while faster upstreams can
/// process the waiting pieces.
constexpr double slow_upstream_threshold = 1.8;

/// A job waits for an upstream in its preferred data centre only if it is expected to end
/// at least this long before its due time. Transferring one result of 3 MB between data
/// centres costs a thirtieth of what a request is worth; a late response costs most of
/// it.
constexpr milliseconds locality_margin{120};

/// Part of a full call that forecast_waits assumes. Most jobs are not split, so calls are
/// taken to be four fifths full under load.
constexpr double forecast_call_fill = 0.8;

/// Share of the memory for results that late jobs may fill. The rest is reserved for jobs
/// that can meet their latency target.
constexpr std::uint64_t late_memory_percent = 85;

/// Results are small when more than this many fit in the memory of an upstream. For small
/// results, late jobs need not leave memory to others.
constexpr std::uint64_t small_result_divisor = 1000;

/// Time after the expected arrival of an announced job at which it is removed if it has
/// not arrived.
constexpr milliseconds announcement_timeout{400};

/// Jobs that would transfer fewer bytes between data centres may run in any of them.
constexpr std::uint64_t large_transfer_bytes = 1'000'000;

struct waiting_job
{
    job_urgency m_urgency;
    const job_id* m_id = nullptr;
    const stage_job* m_job = nullptr;
    std::uint32_t m_waiting = 0;
};

std::uint32_t count_waiting(const stage_job& job)
{
    return static_cast<std::uint32_t>(
        std::count_if(job.m_pieces.begin(), job.m_pieces.end(),
                      [](const piece& part)
                      {
                          return part.m_state == piece_state::waiting;
                      }));
}

/// Returns the time from which calls may be sent to an upstream that is idle.
time_point usable_from(const stage_upstream& upstream)
{
    return std::max(upstream.m_blocked_until, upstream.m_next_send);
}

bool is_usable(const stage_upstream& upstream, time_point now)
{
    return usable_from(upstream) <= now;
}

/// Whether the job should wait for an upstream in its preferred data centre: upstreams
/// there become idle early enough, and the pieces that wait for them ahead of this job
/// leave enough slots in their next calls.
bool waits_for_locality(const stage_queue& queue, const stage_job& job,
                        const stage_upstream& upstream, std::size_t local_pieces_ahead,
                        time_point now)
{
    const std::uint32_t waiting = count_waiting(job);
    const bool may_run_anywhere = job.m_preferred_data_centre.m_value.empty() ||
                                  job.m_preferred_data_centre == upstream.m_data_centre ||
                                  job.m_transfer_bytes * waiting < large_transfer_bytes;
    if (may_run_anywhere)
    {
        return false;
    }
    const std::size_t call_size =
        std::min<std::size_t>(waiting, queue.m_limits.m_batch_size);
    std::size_t free_slots = 0;
    for (const auto& [id, other] : queue.m_upstreams)
    {
        if (other.m_data_centre != job.m_preferred_data_centre ||
            other.m_slowness >= slow_upstream_threshold)
        {
            continue;
        }
        const time_point idle_at =
            std::max({now, other.m_busy_until.value_or(now), usable_from(other)});
        const time_point expected_end =
            idle_at + expected_call_time(queue, call_size, other.m_slowness);
        if (expected_end + locality_margin <= job.m_due)
        {
            free_slots += queue.m_limits.m_batch_size;
        }
    }
    return local_pieces_ahead + call_size <= free_slots;
}

std::vector<waiting_job> waiting_in_order(const stage_queue& queue, time_point now)
{
    std::vector<waiting_job> order;
    for (const auto& [id, job] : queue.m_jobs)
    {
        const std::uint32_t waiting = count_waiting(job);
        if (waiting > 0)
        {
            order.push_back({urgency_of(queue, job, now), &id, &job, waiting});
        }
    }
    std::sort(order.begin(), order.end(),
              [](const waiting_job& a, const waiting_job& b)
              {
                  return a.m_urgency < b.m_urgency;
              });
    return order;
}

void take_pieces(std::vector<piece_ref>& call, const waiting_job& entry,
                 std::size_t limit)
{
    for (std::uint32_t index = 0;
         index < entry.m_job->m_pieces.size() && call.size() < limit; ++index)
    {
        if (entry.m_job->m_pieces[index].m_state == piece_state::waiting)
        {
            call.push_back({*entry.m_id, index});
        }
    }
}

/// Whether an upstream has pieces of the suspect, of this request or of another one.
bool is_running(const stage_queue& queue, suspect_key suspect)
{
    const auto runs = [](const piece& part)
    {
        return part.m_active_calls > 0;
    };
    return std::any_of(queue.m_jobs.begin(), queue.m_jobs.end(),
                       [&](const auto& entry)
                       {
                           const stage_job& job = entry.second;
                           return job.m_trait.m_key == suspect &&
                                  std::any_of(job.m_pieces.begin(), job.m_pieces.end(),
                                              runs);
                       });
}

/// Returns the pieces per second that the usable upstreams complete with full calls.
double throughput(const stage_queue& queue, time_point now)
{
    double pieces_per_s = 0;
    for (const auto& [id, upstream] : queue.m_upstreams)
    {
        if (is_usable(upstream, now))
        {
            const auto full =
                std::max(upstream.m_call_interval,
                         expected_call_time(queue, queue.m_limits.m_batch_size,
                                            upstream.m_slowness));
            pieces_per_s += queue.m_limits.m_batch_size / std::max(0.001, to_s(full));
        }
    }
    return pieces_per_s;
}

/// Returns the pieces per second that are left for late jobs, which is always at least a
/// tenth of the throughput: bursts end, and estimates are inaccurate.
double spare_throughput(const stage_queue& queue, time_point now)
{
    constexpr double min_share = 0.1;
    const double full_throughput = throughput(queue, now);
    const double age =
        to_s(now - queue.m_arrivals_updated_at) / to_s(arrival_rate_window);
    const double on_time_arrivals = queue.m_on_time_arrivals_per_s * std::exp(-age);
    return std::max(min_share * full_throughput, full_throughput - on_time_arrivals);
}

/// Returns the time to process the pieces at a rate, at most a minute.
duration processing_time(std::size_t pieces, double per_s)
{
    constexpr double max_s = 60;
    const double needed = static_cast<double>(pieces) / std::max(0.001, per_s);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(max_s, needed)));
}

/// Returns the earliest time at which an upstream is idle.
time_point first_idle(const stage_queue& queue, time_point now)
{
    std::optional<time_point> first;
    for (const auto& [id, upstream] : queue.m_upstreams)
    {
        const time_point idle =
            std::max({now, upstream.m_busy_until.value_or(now), usable_from(upstream)});
        first = first ? std::min(*first, idle) : idle;
    }
    constexpr seconds no_upstream_wait{60};
    return first.value_or(now + no_upstream_wait);
}

/// Whether a slow upstream should stay idle because faster upstreams would finish all
/// waiting pieces before it finishes one call.
bool yields_to_faster(const stage_queue& queue, const stage_upstream& upstream,
                      std::size_t waiting, time_point now)
{
    if (upstream.m_slowness < slow_upstream_threshold)
    {
        return false;
    }
    double others_per_s = 0;
    for (const auto& [id, other] : queue.m_upstreams)
    {
        if (other.m_slowness < slow_upstream_threshold && is_usable(other, now))
        {
            const auto full = expected_call_time(queue, queue.m_limits.m_batch_size, 1);
            others_per_s += queue.m_limits.m_batch_size / std::max(0.001, to_s(full));
        }
    }
    const auto own =
        expected_call_time(queue, queue.m_limits.m_batch_size, upstream.m_slowness);
    return static_cast<double>(waiting) < others_per_s * to_s(own);
}

/// Returns how many results of a size fit in the free memory of an upstream, up to a full
/// call when the memory is not limited.
std::size_t results_that_fit(const stage_queue& queue, const stage_upstream& upstream,
                             std::uint64_t pending_bytes, std::uint64_t result_bytes,
                             bool late)
{
    if (queue.m_limits.m_result_memory_bytes == 0 || result_bytes == 0)
    {
        return queue.m_limits.m_batch_size;
    }
    const bool is_small =
        result_bytes * small_result_divisor < queue.m_limits.m_result_memory_bytes;
    const std::uint64_t available =
        late && !is_small
            ? queue.m_limits.m_result_memory_bytes / 100 * late_memory_percent
            : queue.m_limits.m_result_memory_bytes;
    const std::uint64_t used = upstream.m_result_memory_used + pending_bytes;
    return static_cast<std::size_t>(available > used ? (available - used) / result_bytes
                                                     : 0);
}

} // namespace

void apply_account(stage_upstream& upstream, const send_account& account, time_point now)
{
    const auto& limit = account.m_statement.m_limit;
    upstream.m_call_interval = limit ? call_interval(*limit) : milliseconds{0};
    upstream.m_next_send = next_send(account, now);
}

milliseconds expected_call_time(const stage_queue& queue, std::size_t pieces,
                                double slowness)
{
    const double call_ms = static_cast<double>(queue.m_limits.m_base_call_time.count());
    return milliseconds{static_cast<std::int64_t>(
        slowness *
        (call_ms + queue.m_limits.m_ms_per_piece * static_cast<double>(pieces)))};
}

job_urgency urgency_of(const stage_queue& queue, const stage_job& job, time_point now)
{
    const std::size_t call_size =
        std::min<std::size_t>(count_waiting(job), queue.m_limits.m_batch_size);
    const bool late = now + expected_call_time(queue, call_size, 1) > job.m_due;
    return {late, job.m_due + priority_step * job.m_priority};
}

std::vector<piece_ref> next_call(const stage_queue& queue, const upstream_id& upstream,
                                 time_point now)
{
    const auto upstream_at = queue.m_upstreams.find(upstream);
    if (upstream_at == queue.m_upstreams.end() || upstream_at->second.m_busy_until ||
        !is_usable(upstream_at->second, now))
    {
        return {};
    }
    const auto order = waiting_in_order(queue, now);
    std::size_t waiting = 0;
    for (const waiting_job& entry : order)
    {
        waiting += entry.m_waiting;
    }
    if (waiting == 0 || yields_to_faster(queue, upstream_at->second, waiting, now))
    {
        return {};
    }
    const std::size_t batch = std::max<std::uint32_t>(1, queue.m_limits.m_batch_size);
    std::vector<piece_ref> call;
    std::uint64_t pending_bytes = 0;
    const waiting_job* split = nullptr;
    std::map<data_centre_id, std::size_t> pieces_ahead;
    for (const waiting_job& entry : order)
    {
        std::size_t& local_pieces_ahead =
            pieces_ahead[entry.m_job->m_preferred_data_centre];
        const bool waits = waits_for_locality(queue, *entry.m_job, upstream_at->second,
                                              local_pieces_ahead, now);
        local_pieces_ahead += entry.m_waiting;
        const std::uint64_t result_bytes = entry.m_job->m_result_bytes;
        const std::size_t fitting_results =
            results_that_fit(queue, upstream_at->second, pending_bytes, result_bytes,
                             entry.m_urgency.m_late);
        const std::size_t available_pieces =
            std::min(batch - call.size(), fitting_results);
        if (available_pieces == 0 || waits)
        {
            continue;
        }
        if (entry.m_job->m_is_suspected)
        {
            if (!call.empty() || is_running(queue, entry.m_job->m_trait.m_key))
            {
                continue;
            }
            take_pieces(call, entry, available_pieces);
            return call;
        }
        const bool fits_whole = entry.m_waiting <= available_pieces;
        if (!fits_whole && !call.empty())
        {
            split = split == nullptr ? &entry : split;
            continue;
        }
        const std::size_t previous_size = call.size();
        take_pieces(call, entry, previous_size + available_pieces);
        pending_bytes += result_bytes * (call.size() - previous_size);
    }
    const bool has_backlog = waiting > 2 * batch;
    if (split != nullptr && has_backlog && call.size() < batch)
    {
        const std::size_t fitting_results =
            results_that_fit(queue, upstream_at->second, pending_bytes,
                             split->m_job->m_result_bytes, split->m_urgency.m_late);
        take_pieces(call, *split, std::min(batch, call.size() + fitting_results));
    }
    return call;
}

void record_arrival(stage_queue& queue, const stage_job& job, time_point now)
{
    if (urgency_of(queue, job, now).m_late)
    {
        return;
    }
    const double window = to_s(arrival_rate_window);
    const double elapsed = to_s(now - queue.m_arrivals_updated_at);
    queue.m_on_time_arrivals_per_s *= std::exp(-elapsed / window);
    queue.m_on_time_arrivals_per_s += static_cast<double>(job.m_pieces.size()) / window;
    queue.m_arrivals_updated_at = now;
}

time_point predicted_end(const stage_queue& queue, const stage_job& job, time_point now)
{
    const job_urgency own = urgency_of(queue, job, now);
    std::size_t pieces_ahead = 0;
    for (const auto& [id, other] : queue.m_jobs)
    {
        if (urgency_of(queue, other, now) <= own)
        {
            pieces_ahead += count_waiting(other);
        }
    }
    const double rate =
        own.m_late ? spare_throughput(queue, now) : throughput(queue, now);
    const std::size_t batch = std::max<std::uint32_t>(1, queue.m_limits.m_batch_size);
    const std::size_t call_size = std::min(job.m_pieces.size(), batch);
    return first_idle(queue, now) + processing_time(pieces_ahead, rate) +
           expected_call_time(queue, call_size, 1);
}

queue_waits current_waits(const stage_queue& queue, time_point now)
{
    std::size_t on_time = 0;
    std::size_t late = 0;
    for (const auto& [id, job] : queue.m_jobs)
    {
        auto& count = urgency_of(queue, job, now).m_late ? late : on_time;
        count += count_waiting(job);
    }
    const duration idle = first_idle(queue, now) - now;
    queue_waits waits;
    waits.m_on_time = std::chrono::duration_cast<milliseconds>(
        idle + processing_time(on_time, throughput(queue, now)));
    waits.m_late = std::chrono::duration_cast<milliseconds>(
        idle + processing_time(on_time + late, spare_throughput(queue, now)));
    return waits;
}

queue_waits forecast_waits(const stage_queue& queue, time_point arrival, time_point now)
{
    std::vector<std::pair<time_point, std::uint32_t>> expected;
    for (const auto& [id, job] : queue.m_announced)
    {
        if (job.m_expected_arrival <= arrival)
        {
            expected.emplace_back(std::max(job.m_expected_arrival, now), job.m_pieces);
        }
    }
    std::sort(expected.begin(), expected.end());
    const double rate = std::max(0.001, forecast_call_fill * throughput(queue, now));
    const queue_summary summary = summarize(queue, now);
    double waiting = static_cast<double>(summary.m_on_time);
    time_point simulated_time = now + (first_idle(queue, now) - now);
    for (const auto& [when, pieces] : expected)
    {
        if (when > simulated_time)
        {
            waiting = std::max(0.0, waiting - rate * to_s(when - simulated_time));
            simulated_time = when;
        }
        waiting += pieces;
    }
    if (arrival > simulated_time)
    {
        waiting = std::max(0.0, waiting - rate * to_s(arrival - simulated_time));
        simulated_time = arrival;
    }
    queue_waits waits;
    const duration on_time = (simulated_time - arrival) +
                             processing_time(static_cast<std::size_t>(waiting), rate);
    waits.m_on_time = std::chrono::duration_cast<milliseconds>(on_time);
    waits.m_late = waits.m_on_time +
                   std::chrono::duration_cast<milliseconds>(
                       processing_time(summary.m_late, spare_throughput(queue, now)));
    return waits;
}

void expire_announcements(stage_queue& queue, time_point now)
{
    std::erase_if(queue.m_announced,
                  [&](const auto& entry)
                  {
                      return entry.second.m_expected_arrival + announcement_timeout < now;
                  });
}

queue_summary summarize(const stage_queue& queue, time_point now)
{
    queue_summary summary;
    for (const auto& [id, job] : queue.m_jobs)
    {
        auto& waiting =
            urgency_of(queue, job, now).m_late ? summary.m_late : summary.m_on_time;
        waiting += count_waiting(job);
        summary.m_running += static_cast<std::size_t>(
            std::count_if(job.m_pieces.begin(), job.m_pieces.end(),
                          [](const piece& part)
                          {
                              return part.m_state == piece_state::running;
                          }));
    }
    double used = 0;
    for (const auto& [id, upstream] : queue.m_upstreams)
    {
        summary.m_idle_upstreams += upstream.m_busy_until ? 0 : 1;
        used += static_cast<double>(upstream.m_result_memory_used);
    }
    const double total_memory =
        static_cast<double>(queue.m_limits.m_result_memory_bytes) *
        static_cast<double>(queue.m_upstreams.size());
    summary.m_result_memory_share = total_memory > 0 ? used / total_memory : 0;
    return summary;
}

bool is_worth_release(const piece_limits& limits, std::uint64_t bytes)
{
    return limits.m_result_memory_bytes > 0 && bytes >= limits.m_result_memory_bytes / 2;
}

std::vector<job_id> infeasible_jobs(const stage_queue& queue, time_point now)
{
    std::vector<job_id> infeasible;
    for (const auto& [id, job] : queue.m_jobs)
    {
        const std::uint32_t waiting = count_waiting(job);
        const std::size_t call_size =
            std::min<std::size_t>(waiting, queue.m_limits.m_batch_size);
        const time_point earliest_end =
            waiting > 0 ? now + expected_call_time(queue, call_size, 1) : now;
        if (earliest_end > job.m_deadline)
        {
            infeasible.push_back(id);
        }
    }
    return infeasible;
}

std::vector<upstream_id> overdue_upstreams(const stage_queue& queue, time_point now)
{
    std::vector<upstream_id> overdue;
    for (const auto& [id, upstream] : queue.m_upstreams)
    {
        if (!upstream.m_busy_until)
        {
            continue;
        }
        const auto expected = *upstream.m_busy_until - upstream.m_call_started;
        const auto limit =
            std::chrono::duration_cast<duration>(expected * overdue_factor) +
            overdue_margin;
        if (now - upstream.m_call_started > limit)
        {
            overdue.push_back(id);
        }
    }
    return overdue;
}

} // namespace geraniumdoor::serving
