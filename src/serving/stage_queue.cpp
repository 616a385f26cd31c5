#include <geraniumdoor/serving/stage_queue.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor::serving
{

namespace
{

/// A call counts as overdue after this multiple of its expected time, and this much more.
constexpr double overdue_factor = 2.2;
constexpr milliseconds overdue_slack{100};

/// An upstream that is slower than this is left idle while faster ones can do the work.
constexpr double slow_worker = 1.8;

/// Time that must be left to the goal for a job to wait for an upstream in the data
/// centre where its results are wanted. One result of 3 MB that crosses costs a thirtieth
/// of the request's worth; a late answer costs most of it.
constexpr milliseconds locality_margin{120};

/// Share of the capacity of full calls that forecasts count on. Jobs are mostly not
/// split, so that calls are on average four fifths full under load.
constexpr double planned_share = 0.8;

/// Room that late jobs may fill. The rest is for jobs that can meet their goal.
constexpr std::uint64_t late_room_percent = 85;

/// Results of which this many fit are small: late jobs need not leave room for others.
constexpr std::uint64_t small_results = 1000;

/// Time after which an announced job that did not come is forgotten.
constexpr milliseconds announcement_life{400};

/// Jobs with fewer bytes to bring over may run anywhere.
constexpr std::uint64_t large_crossing_bytes = 1'000'000;

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

bool is_usable(const stage_worker& worker, time_point now)
{
    return worker.m_blocked_until <= now;
}

/// Whether the job should wait for an upstream in its preferred data centre: one becomes
/// idle early enough, and the pieces that wait for it before this job leave it a place in
/// the next call.
bool waits_for_locality(const stage_queue& queue, const stage_job& job,
                        const stage_worker& worker, std::size_t local_pieces_ahead,
                        time_point now)
{
    const std::uint32_t waiting = count_waiting(job);
    const bool anywhere = job.m_preferred_data_centre.m_value.empty() ||
                          job.m_preferred_data_centre == worker.m_data_centre ||
                          job.m_transfer_bytes * waiting < large_crossing_bytes;
    if (anywhere)
    {
        return false;
    }
    const std::size_t call = std::min<std::size_t>(waiting, queue.m_limits.m_batch_size);
    std::size_t places = 0;
    for (const auto& [id, other] : queue.m_workers)
    {
        if (other.m_data_centre != job.m_preferred_data_centre ||
            other.m_slowness >= slow_worker)
        {
            continue;
        }
        const time_point idle =
            std::max({now, other.m_busy_until.value_or(now), other.m_blocked_until});
        const time_point end = idle + expected_call_time(queue, call, other.m_slowness);
        if (end + locality_margin <= job.m_due)
        {
            places += queue.m_limits.m_batch_size;
        }
    }
    return local_pieces_ahead + call <= places;
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

void take_pieces(std::vector<piece_ref>& call, const waiting_job& from, std::size_t limit)
{
    for (std::uint32_t at = 0; at < from.m_job->m_pieces.size() && call.size() < limit;
         ++at)
    {
        if (from.m_job->m_pieces[at].m_state == piece_state::waiting)
        {
            call.push_back({*from.m_id, at});
        }
    }
}

/// Pieces a second that the usable upstreams finish with full calls.
double throughput(const stage_queue& queue, time_point now)
{
    double pieces_per_s = 0;
    for (const auto& [id, worker] : queue.m_workers)
    {
        if (is_usable(worker, now))
        {
            const auto full =
                expected_call_time(queue, queue.m_limits.m_batch_size, worker.m_slowness);
            pieces_per_s += queue.m_limits.m_batch_size / std::max(0.001, to_s(full));
        }
    }
    return pieces_per_s;
}

/// Pieces a second that are left for late jobs. A tenth of the capacity counts as left
/// at all times: bursts end, and estimates are rough.
double spare_rate(const stage_queue& queue, time_point now)
{
    constexpr double least_share = 0.1;
    const double all = throughput(queue, now);
    const double age =
        to_s(now - queue.m_arrivals_updated_at) / to_s(arrival_rate_window);
    const double inflow = queue.m_on_time_arrivals_per_s * std::exp(-age);
    return std::max(least_share * all, all - inflow);
}

/// Time in which the pieces are done at a rate, at most a minute.
duration time_for(std::size_t pieces, double per_s)
{
    constexpr double longest_s = 60;
    const double needed = static_cast<double>(pieces) / std::max(0.001, per_s);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(longest_s, needed)));
}

/// Earliest time at which some upstream is idle.
time_point first_idle(const stage_queue& queue, time_point now)
{
    std::optional<time_point> first;
    for (const auto& [id, worker] : queue.m_workers)
    {
        const time_point idle =
            std::max({now, worker.m_busy_until.value_or(now), worker.m_blocked_until});
        first = first ? std::min(*first, idle) : idle;
    }
    constexpr seconds no_worker{60};
    return first.value_or(now + no_worker);
}

/// Whether faster upstreams would finish all waiting pieces before this one finishes a
/// call.
bool leave_to_faster(const stage_queue& queue, const stage_worker& worker,
                     std::size_t waiting, time_point now)
{
    if (worker.m_slowness < slow_worker)
    {
        return false;
    }
    double others_per_s = 0;
    for (const auto& [id, other] : queue.m_workers)
    {
        if (other.m_slowness < slow_worker && is_usable(other, now))
        {
            const auto full = expected_call_time(queue, queue.m_limits.m_batch_size, 1);
            others_per_s += queue.m_limits.m_batch_size / std::max(0.001, to_s(full));
        }
    }
    const auto own =
        expected_call_time(queue, queue.m_limits.m_batch_size, worker.m_slowness);
    return static_cast<double>(waiting) < others_per_s * to_s(own);
}

/// Results of that size for which an upstream has room.
std::size_t room_for(const stage_queue& queue, const stage_worker& worker,
                     std::uint64_t bytes_ahead, std::uint64_t result_bytes, bool late)
{
    if (queue.m_limits.m_result_memory_bytes == 0 || result_bytes == 0)
    {
        return queue.m_limits.m_batch_size;
    }
    const bool small =
        result_bytes * small_results < queue.m_limits.m_result_memory_bytes;
    const std::uint64_t all =
        late && !small ? queue.m_limits.m_result_memory_bytes / 100 * late_room_percent
                       : queue.m_limits.m_result_memory_bytes;
    const std::uint64_t used = worker.m_result_memory_used + bytes_ahead;
    return static_cast<std::size_t>(all > used ? (all - used) / result_bytes : 0);
}

} // namespace

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
    const std::size_t call =
        std::min<std::size_t>(count_waiting(job), queue.m_limits.m_batch_size);
    const bool late = now + expected_call_time(queue, call, 1) > job.m_due;
    return {late, job.m_due + priority_step * job.m_priority};
}

std::vector<piece_ref> next_call(const stage_queue& queue, const upstream_id& worker,
                                 time_point now)
{
    const auto at = queue.m_workers.find(worker);
    if (at == queue.m_workers.end() || at->second.m_busy_until ||
        !is_usable(at->second, now))
    {
        return {};
    }
    const auto order = waiting_in_order(queue, now);
    std::size_t waiting = 0;
    for (const waiting_job& entry : order)
    {
        waiting += entry.m_waiting;
    }
    if (waiting == 0 || leave_to_faster(queue, at->second, waiting, now))
    {
        return {};
    }
    const std::size_t batch = std::max<std::uint32_t>(1, queue.m_limits.m_batch_size);
    std::vector<piece_ref> call;
    std::uint64_t bytes = 0;
    const waiting_job* split = nullptr;
    std::map<data_centre_id, std::size_t> pieces_ahead;
    for (const waiting_job& entry : order)
    {
        std::size_t& ahead = pieces_ahead[entry.m_job->m_preferred_data_centre];
        const bool stays =
            waits_for_locality(queue, *entry.m_job, at->second, ahead, now);
        ahead += entry.m_waiting;
        const std::uint64_t size = entry.m_job->m_result_bytes;
        const std::size_t room =
            room_for(queue, at->second, bytes, size, entry.m_urgency.m_late);
        const std::size_t left = std::min(batch - call.size(), room);
        if (left == 0 || stays)
        {
            continue;
        }
        const bool whole = entry.m_waiting <= left;
        if (!whole && !call.empty())
        {
            split = split == nullptr ? &entry : split;
            continue;
        }
        const std::size_t before = call.size();
        take_pieces(call, entry, before + left);
        bytes += size * (call.size() - before);
    }
    const bool backlog = waiting > 2 * batch;
    if (split != nullptr && backlog && call.size() < batch)
    {
        const std::size_t room =
            room_for(queue, at->second, bytes, split->m_job->m_result_bytes,
                     split->m_urgency.m_late);
        take_pieces(call, *split, std::min(batch, call.size() + room));
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
    std::size_t ahead = 0;
    for (const auto& [id, other] : queue.m_jobs)
    {
        if (urgency_of(queue, other, now) <= own)
        {
            ahead += count_waiting(other);
        }
    }
    const double rate = own.m_late ? spare_rate(queue, now) : throughput(queue, now);
    const std::size_t batch = std::max<std::uint32_t>(1, queue.m_limits.m_batch_size);
    const std::size_t call = std::min(job.m_pieces.size(), batch);
    return first_idle(queue, now) + time_for(ahead, rate) +
           expected_call_time(queue, call, 1);
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
        idle + time_for(on_time, throughput(queue, now)));
    waits.m_late = std::chrono::duration_cast<milliseconds>(
        idle + time_for(on_time + late, spare_rate(queue, now)));
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
    const double rate = std::max(0.001, planned_share * throughput(queue, now));
    const queue_summary present = summarize(queue, now);
    double waiting = static_cast<double>(present.m_on_time);
    time_point at = now + (first_idle(queue, now) - now);
    for (const auto& [when, pieces] : expected)
    {
        if (when > at)
        {
            waiting = std::max(0.0, waiting - rate * to_s(when - at));
            at = when;
        }
        waiting += pieces;
    }
    if (arrival > at)
    {
        waiting = std::max(0.0, waiting - rate * to_s(arrival - at));
        at = arrival;
    }
    queue_waits waits;
    const duration on_time =
        (at - arrival) + time_for(static_cast<std::size_t>(waiting), rate);
    waits.m_on_time = std::chrono::duration_cast<milliseconds>(on_time);
    waits.m_late = waits.m_on_time + std::chrono::duration_cast<milliseconds>(time_for(
                                         present.m_late, spare_rate(queue, now)));
    return waits;
}

void expire_announcements(stage_queue& queue, time_point now)
{
    std::erase_if(queue.m_announced,
                  [&](const auto& entry)
                  {
                      return entry.second.m_expected_arrival + announcement_life < now;
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
    for (const auto& [id, worker] : queue.m_workers)
    {
        summary.m_idle_upstreams += worker.m_busy_until ? 0 : 1;
        used += static_cast<double>(worker.m_result_memory_used);
    }
    const double room = static_cast<double>(queue.m_limits.m_result_memory_bytes) *
                        static_cast<double>(queue.m_workers.size());
    summary.m_result_memory_share = room > 0 ? used / room : 0;
    return summary;
}

std::vector<job_id> infeasible_jobs(const stage_queue& queue, time_point now)
{
    std::vector<job_id> result;
    for (const auto& [id, job] : queue.m_jobs)
    {
        const std::uint32_t waiting = count_waiting(job);
        const std::size_t call =
            std::min<std::size_t>(waiting, queue.m_limits.m_batch_size);
        const time_point soonest =
            waiting > 0 ? now + expected_call_time(queue, call, 1) : now;
        if (soonest > job.m_deadline)
        {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<upstream_id> overdue_workers(const stage_queue& queue, time_point now)
{
    std::vector<upstream_id> result;
    for (const auto& [id, worker] : queue.m_workers)
    {
        if (!worker.m_busy_until)
        {
            continue;
        }
        const auto expected = *worker.m_busy_until - worker.m_call_started;
        const auto limit =
            std::chrono::duration_cast<duration>(expected * overdue_factor) +
            overdue_slack;
        if (now - worker.m_call_started > limit)
        {
            result.push_back(id);
        }
    }
    return result;
}

} // namespace geraniumdoor::serving
