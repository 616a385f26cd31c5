#include "stage_client.hpp"

#include <geraniumdoor/base/log.hpp>

#include <utility>

namespace geraniumdoor::edge
{

namespace
{

/// Interval of the check for expired jobs and for queue hosts that are down.
constexpr milliseconds check_interval{50};

/// Time after a job's deadline at which a missing result counts as a refusal. The queue
/// host itself sends a result at the deadline.
constexpr milliseconds result_grace_period{150};

/// Time that a silent queue host has to answer a probe, before its jobs are sent to
/// another one. A connection that is lost meanwhile ends the wait.
constexpr milliseconds probe_timeout{400};

/// Retry time in the refusal of a job without a result.
constexpr std::uint32_t retry_after_no_answer_ms = 200;

} // namespace

stage_client::stage_client(edge_state& state, message_sender send)
    : m_state{state}, m_send{std::move(send)}
{
}

void stage_client::start()
{
    m_state.m_timers.every(check_interval,
                           [this](time_point)
                           {
                               check_jobs();
                           });
}

std::uint64_t stage_client::announce(const pool_id& pool, std::uint32_t pieces,
                                     milliseconds eta, forecast_callback done)
{
    const std::uint64_t id = next_job_number();
    open_job& job = m_jobs[id];
    job.m_announced = true;
    job.m_forecast = std::move(done);
    job.m_request.m_pool = pool;
    job.m_host = queue_host_of(m_state, pool);
    m_send(job.m_host,
           pieces_announce{id, pool, pieces, static_cast<std::uint32_t>(eta.count())});
    return id;
}

void stage_client::on_forecast(const pieces_forecast& forecast)
{
    const auto at = m_jobs.find(forecast.m_job);
    if (at != m_jobs.end() && at->second.m_forecast)
    {
        const auto call = std::exchange(at->second.m_forecast, nullptr);
        call({milliseconds{forecast.m_on_time_ms}, milliseconds{forecast.m_late_ms}});
    }
}

void stage_client::submit(std::uint64_t id, pieces_request request, completion done)
{
    request.m_job = id;
    const time_point at = now();
    open_job& job = m_jobs[id];
    job.m_announced = false;
    job.m_forecast = nullptr;
    job.m_due = at + milliseconds{request.m_due_ms};
    job.m_deadline = at + milliseconds{request.m_deadline_ms};
    job.m_request = std::move(request);
    job.m_done = std::move(done);
    send_job(job);
}

void stage_client::send_job(open_job& job)
{
    const time_point at = now();
    job.m_host = queue_host_of(m_state, job.m_request.m_pool);
    job.m_sent = true;
    pieces_request request = job.m_request;
    const auto due = std::chrono::duration_cast<milliseconds>(job.m_due - at);
    const auto deadline = std::chrono::duration_cast<milliseconds>(job.m_deadline - at);
    request.m_due_ms = static_cast<std::int32_t>(due.count());
    request.m_deadline_ms = static_cast<std::int32_t>(deadline.count());
    m_send(job.m_host, std::move(request));
}

void stage_client::cancel(std::uint64_t job)
{
    const auto at = m_jobs.find(job);
    if (at == m_jobs.end())
    {
        return;
    }
    m_send(at->second.m_host, pieces_cancel{job, at->second.m_request.m_pool});
    m_jobs.erase(at);
}

void stage_client::release_results(const pool_id& pool, std::vector<std::string> handles,
                                   const node_id& queue_host)
{
    if (!handles.empty())
    {
        m_send(is_down(queue_host) ? queue_host_of(m_state, pool) : queue_host,
               results_release{pool, std::move(handles)});
    }
}

void stage_client::on_result(const node_id& from, const pieces_result& result)
{
    const auto at = m_jobs.find(result.m_job);
    if (at == m_jobs.end() || at->second.m_announced)
    {
        // The job was cancelled, is of an earlier start, or another host has sent its
        // result.
        if (!result.m_handles.empty())
        {
            log_event{"results_unwanted"}
                .add("host", from)
                .add("results", result.m_handles.size());
        }
        return;
    }
    const std::size_t pieces = at->second.m_request.m_pieces;
    pieces_result checked = result;
    if (checked.m_outcome == pieces_outcome::done && checked.m_handles.size() != pieces)
    {
        log_event{"results_incomplete"}.add("host", from).add("pieces", pieces);
        checked.m_outcome = pieces_outcome::failed;
    }
    finish(result.m_job, std::move(checked), from);
}

void stage_client::finish(std::uint64_t job, pieces_result result, const node_id& host)
{
    const auto at = m_jobs.find(job);
    completion done = std::move(at->second.m_done);
    m_jobs.erase(at);
    done(std::move(result), host);
}

void stage_client::on_connection_lost(const node_id& host)
{
    for (auto& [id, job] : m_jobs)
    {
        job.m_sent = job.m_sent && job.m_host != host;
    }
}

void stage_client::on_not_sent(const node_id& host, const node_message& message)
{
    if (const auto* request = std::get_if<pieces_request>(&message))
    {
        const auto at = m_jobs.find(request->m_job);
        if (at != m_jobs.end() && at->second.m_host == host)
        {
            at->second.m_sent = false;
        }
    }
}

bool stage_client::is_down(const node_id& host) const
{
    const auto known = m_state.m_hosts.m_hosts.find(host);
    return host != m_state.m_own_report.m_node &&
           (known == m_state.m_hosts.m_hosts.end() ||
            !serving::is_live(known->second, now()));
}

bool stage_client::is_unresponsive(const node_id& host)
{
    if (!is_down(host))
    {
        return false;
    }
    const auto [probe, inserted] = m_probes.try_emplace(host, now());
    if (inserted)
    {
        log_event{"host_probed"}.add("host", host);
        m_send(host, host_probe{false});
    }
    return now() - probe->second >= probe_timeout;
}

void stage_client::check_jobs()
{
    const time_point at = now();
    // A host that was lost is probed anew when it has been live in between.
    std::erase_if(m_probes,
                  [this](const auto& entry)
                  {
                      return !is_down(entry.first);
                  });
    std::vector<std::uint64_t> expired;
    for (auto& [id, job] : m_jobs)
    {
        if (job.m_announced)
        {
            continue;
        }
        if (at > job.m_deadline + result_grace_period)
        {
            expired.push_back(id);
            continue;
        }
        const bool silent = job.m_sent && is_unresponsive(job.m_host);
        if (!job.m_sent || silent)
        {
            log_event{"stage_sent_again"}
                .add("request", job.m_request.m_request)
                .add("host", job.m_host)
                .add("silent", silent);
            send_job(job);
        }
    }
    for (const std::uint64_t id : expired)
    {
        finish(id, {id, pieces_outcome::refused, {}, retry_after_no_answer_ms},
               m_state.m_own_report.m_node);
    }
}

} // namespace geraniumdoor::edge
