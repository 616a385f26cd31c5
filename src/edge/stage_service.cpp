#include "stage_service.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Period of the checks for hopeless jobs, overdue calls and handles to release.
constexpr milliseconds check_period{25};

/// Period of the log line on a queue that has work.
constexpr milliseconds queue_log_period{1000};

/// Pause of an upstream that says it is full: another host feeds it at the moment.
constexpr milliseconds full_pause{40};

/// Pause of an upstream without room for results, about the time to read a prompt.
constexpr milliseconds no_room_pause{120};

/// First and longest pause of an upstream that cannot be reached.
constexpr milliseconds first_failure_pause{300};
constexpr milliseconds longest_failure_pause{2400};

/// A call that is silent for this multiple of its expected time, and this much more, is
/// given up. Slow upstreams of the sites take five times as long.
constexpr int call_limit_factor = 7;
constexpr milliseconds call_limit_extra{500};

/// Failures of one piece after which its request is told.
constexpr std::uint32_t most_piece_failures = 4;

/// Time after which an unreleased result counts as gone. Source: results are kept for 4
/// s.
constexpr milliseconds result_life{4500};

/// Longest time that a host keeps jobs of which it knows no deadline.
constexpr milliseconds longest_deadline{60000};

/// Shortest time to return that a refusal names, so that a caller does not return into
/// the same queue.
constexpr milliseconds shortest_retry{100};

constexpr std::size_t answer_bytes = std::size_t{1024} * 1024;

/// Share of the way back to normal that the slowness of an idle upstream goes in a check.
constexpr double slowness_decay = 0.005;

http_limits client_limits()
{
    http_limits limits;
    limits.m_body_bytes = answer_bytes;
    return limits;
}

/// A call that carried the piece has ended without a result for it.
void return_piece(piece& part)
{
    --part.m_calls;
    if (part.m_state == piece_state::running && part.m_calls == 0)
    {
        part.m_state = piece_state::waiting;
    }
}

} // namespace

stage_service::stage_service(edge_state& state, reply send_reply,
                             forecast_reply send_forecast)
    : m_state{state}
    , m_reply{std::move(send_reply)}
    , m_forecast_reply{std::move(send_forecast)}
    , m_http{state.m_executor, client_limits()}
{
}

void stage_service::start()
{
    m_state.m_timers.every(check_period,
                           [this](time_point)
                           {
                               for (auto& [pool, service] : m_pools)
                               {
                                   check(pool, service);
                               }
                           });
}

stage_service::pool_service* stage_service::find_service(const pool_id& pool)
{
    const auto at = m_pools.find(pool);
    if (at != m_pools.end())
    {
        return &at->second;
    }
    if (!m_state.m_routing)
    {
        return nullptr;
    }
    const auto config = m_state.m_routing->m_pools.find(pool);
    if (config == m_state.m_routing->m_pools.end() || !config->second.m_pieces)
    {
        return nullptr;
    }
    m_pools[pool].m_queue.m_limits = *config->second.m_pieces;
    refresh();
    return &m_pools[pool];
}

void stage_service::refresh()
{
    for (auto& [pool, service] : m_pools)
    {
        refresh_workers(pool, service);
        if (m_state.m_routing)
        {
            const auto config = m_state.m_routing->m_pools.find(pool);
            const bool known = config != m_state.m_routing->m_pools.end() &&
                               config->second.m_pieces.has_value();
            if (known)
            {
                service.m_queue.m_limits = *config->second.m_pieces;
            }
        }
        pump(pool, service);
    }
}

void stage_service::refresh_workers(const pool_id& pool, pool_service& service)
{
    const upstream_table& upstreams = m_state.m_upstreams;
    auto& workers = service.m_queue.m_workers;
    for (const auto& [id, row] : upstreams.m_rows)
    {
        if (row.m_entry.m_pool == pool && accepts_work(upstreams, row))
        {
            workers[id].m_data_centre = row.m_entry.m_data_centre;
        }
    }
    const auto is_gone = [&upstreams, &pool, calls = &service.m_calls](const auto& entry)
    {
        const auto* row = upstreams.m_rows.find(entry.first);
        const bool usable = row != nullptr && row->m_entry.m_pool == pool &&
                            accepts_work(upstreams, *row);
        // One that still works on a call stays until the call has ended.
        return !usable && !calls->contains(entry.first);
    };
    std::erase_if(workers, is_gone);
}

void stage_service::on_request(const node_id& from, incarnation from_incarnation,
                               const pieces_request& request)
{
    const job_id id{from, from_incarnation, request.m_job};
    pool_service* service = find_service(request.m_pool);
    if (service == nullptr)
    {
        m_reply(from, {request.m_job,
                       pieces_outcome::refused,
                       {},
                       static_cast<std::uint32_t>(shortest_retry.count())});
        return;
    }
    if (service->m_queue.m_jobs.contains(id))
    {
        return;
    }
    service->m_queue.m_announced.erase(id);
    const time_point at = now();
    service->m_last_work = at;
    stage_job job;
    job.m_request = request.m_request;
    job.m_stage = request.m_stage;
    job.m_pieces.resize(request.m_pieces);
    job.m_key = request.m_key;
    job.m_inputs = request.m_inputs;
    job.m_due = at + milliseconds{request.m_due_ms};
    job.m_deadline = at + std::min(milliseconds{request.m_deadline_ms}, longest_deadline);
    job.m_rank = request.m_rank;
    job.m_preferred = request.m_preferred;
    job.m_cross_bytes = request.m_cross_bytes;
    job.m_result_bytes = request.m_result_bytes;
    job.m_arrived = at;
    const time_point end = predicted_end(service->m_queue, job, at);
    if (end > job.m_deadline)
    {
        const auto excess =
            std::chrono::duration_cast<milliseconds>(end - job.m_deadline);
        const auto wait = std::max(shortest_retry, excess);
        m_state.m_metrics.add("pieces_refused", {{"pool", request.m_pool.m_value}});
        m_reply(from, {request.m_job,
                       pieces_outcome::refused,
                       {},
                       static_cast<std::uint32_t>(wait.count())});
        return;
    }
    note_arrival(service->m_queue, job, at);
    service->m_queue.m_jobs.emplace(id, std::move(job));
    pump(request.m_pool, *service);
}

void stage_service::on_announce(const node_id& from, incarnation from_incarnation,
                                const pieces_announce& announced)
{
    pool_service* service = find_service(announced.m_pool);
    if (service == nullptr)
    {
        m_forecast_reply(from, {announced.m_job, 0, 0});
        return;
    }
    const time_point at = now();
    service->m_last_work = at;
    const time_point arrival = at + milliseconds{announced.m_eta_ms};
    const queue_waits waits = forecast(service->m_queue, arrival, at);
    service->m_queue.m_announced[{from, from_incarnation, announced.m_job}] = {
        announced.m_pieces, arrival};
    m_forecast_reply(from, {announced.m_job,
                            static_cast<std::uint32_t>(waits.m_on_time.count()),
                            static_cast<std::uint32_t>(waits.m_late.count())});
}

void stage_service::on_cancel(const node_id& from, incarnation from_incarnation,
                              const pieces_cancel& cancel)
{
    const auto at = m_pools.find(cancel.m_pool);
    if (at != m_pools.end())
    {
        const job_id id{from, from_incarnation, cancel.m_job};
        at->second.m_queue.m_announced.erase(id);
        drop_job(at->second, id);
    }
}

void stage_service::on_release(const results_release& released)
{
    pool_service* service = find_service(released.m_pool);
    if (service == nullptr)
    {
        return;
    }
    for (const std::string& handle : released.m_handles)
    {
        release(*service, handle);
    }
}

void stage_service::pump(const pool_id& pool, pool_service& service)
{
    const time_point at = now();
    std::vector<upstream_id> idle;
    for (const auto& [id, worker] : service.m_queue.m_workers)
    {
        const auto* row = m_state.m_upstreams.m_rows.find(id);
        const bool usable = !worker.m_busy_until && row != nullptr &&
                            accepts_work(m_state.m_upstreams, *row);
        if (usable)
        {
            idle.push_back(id);
        }
    }
    for (const upstream_id& id : idle)
    {
        auto pieces = next_call(service.m_queue, id, at);
        if (!pieces.empty())
        {
            start_call(pool, service, id, std::move(pieces));
        }
    }
}

void stage_service::start_call(const pool_id& pool, pool_service& service,
                               const upstream_id& upstream, std::vector<piece_ref> pieces)
{
    const time_point at = now();
    stage_worker& worker = service.m_queue.m_workers[upstream];
    std::vector<platform::piece_item> items;
    std::vector<std::uint64_t> result_bytes;
    for (const piece_ref& ref : pieces)
    {
        stage_job& job = service.m_queue.m_jobs.at(ref.m_job);
        piece& part = job.m_pieces[ref.m_piece];
        part.m_state = piece_state::running;
        ++part.m_calls;
        worker.m_room_used += job.m_result_bytes;
        result_bytes.push_back(job.m_result_bytes);
        const auto left = std::chrono::duration_cast<milliseconds>(job.m_deadline - at);
        items.push_back(
            {job.m_request, job.m_stage, ref.m_piece, job.m_key, job.m_inputs, left});
    }
    const milliseconds expected =
        expected_call_time(service.m_queue, pieces.size(), worker.m_slowness);
    worker.m_call_began = at;
    worker.m_busy_until = at + expected;
    auto request = platform::encode_pieces(items, upstream);
    service.m_calls[upstream] =
        call{upstream, std::move(pieces), std::move(result_bytes), false};
    const auto* row = m_state.m_upstreams.m_rows.find(upstream);
    asio::co_spawn(
        m_state.m_executor,
        run_call(pool, upstream, row->m_entry.m_address, std::move(request), expected),
        asio::detached);
}

asio::awaitable<void> stage_service::run_call(pool_id pool, upstream_id upstream,
                                              ip_endpoint address, http_request request,
                                              milliseconds expected)
{
    http_call_options options;
    options.m_timeout = expected * call_limit_factor + call_limit_extra;
    // A late second answer on a kept connection would be taken for the next call's.
    options.m_fresh_connection = true;
    options.m_may_reuse = [](const http_response&)
    {
        return false;
    };
    const time_point began = now();
    const auto answer =
        co_await m_http.send(to_tcp(address), std::move(request), options);
    const auto took = std::chrono::duration_cast<milliseconds>(now() - began);
    finish_call(pool, upstream, answer, took, expected);
}

void stage_service::finish_call(const pool_id& pool, const upstream_id& upstream,
                                const result<http_response, http_error>& answer,
                                milliseconds took, milliseconds expected)
{
    pool_service& service = m_pools.at(pool);
    const call ended = std::move(service.m_calls.at(upstream));
    service.m_calls.erase(upstream);
    stage_worker& worker = service.m_queue.m_workers[upstream];
    worker.m_busy_until.reset();
    for (const std::uint64_t bytes : ended.m_result_bytes)
    {
        worker.m_room_used -= std::min(worker.m_room_used, bytes);
    }
    const time_point at = now();
    const bool wrong_upstream = is_ok(answer) && value_of(answer).m_status == 421;
    // Another upstream has the address: the one that is meant does not come back there.
    const bool declined =
        is_ok(answer) && !wrong_upstream && platform::states_not_run(value_of(answer));
    const auto pieces =
        is_ok(answer) && value_of(answer).m_status == 200
            ? platform::decode_pieces(value_of(answer).m_body, ended.m_pieces.size())
            : result<std::vector<platform::piece_answer>, platform::decode_error>{
                  platform::decode_error{"no answer with status 200"}};
    if (!is_ok(pieces))
    {
        const auto doublings = std::min<std::uint32_t>(worker.m_failures_in_row, 3);
        worker.m_blocked_until =
            at + (declined ? full_pause
                           : std::min(first_failure_pause * (1U << doublings),
                                      longest_failure_pause));
        worker.m_failures_in_row += declined ? 0 : 1;
        log_event{"pieces_call_failed"}
            .add("pool", pool)
            .add("upstream", upstream)
            .add("pieces", ended.m_pieces.size())
            .add("took_ms", took.count())
            .add("status", is_ok(answer) ? value_of(answer).m_status : 0)
            .add("reason",
                 is_ok(answer)
                     ? error_of(pieces).m_detail
                     : std::string{geraniumdoor::to_text(error_of(answer).m_kind)});
        return_pieces(service, ended, !declined && !wrong_upstream);
        refresh_workers(pool, service);
        pump(pool, service);
        return;
    }
    worker.m_failures_in_row = 0;
    const milliseconds normal =
        expected_call_time(service.m_queue, ended.m_pieces.size(), 1);
    const double slowness =
        static_cast<double>(took.count()) / std::max<double>(1, normal.count());
    worker.m_slowness += 0.5 * (std::max(0.7, slowness) - worker.m_slowness);
    m_state.m_metrics.observe("pieces_call_seconds", {{"pool", pool.m_value}},
                              to_s(took));
    log_event{"pieces_call"}
        .add("pool", pool)
        .add("upstream", upstream)
        .add("pieces", ended.m_pieces.size())
        .add("jobs", service.m_queue.m_jobs.size())
        .add("took_ms", took.count())
        .add("expected_ms", expected.count())
        .add("slowness", worker.m_slowness)
        .add("held_kb", worker.m_room_used / 1000)
        .add("results", service.m_results.size());
    for (std::size_t index = 0; index < ended.m_pieces.size(); ++index)
    {
        const piece_ref& ref = ended.m_pieces[index];
        const platform::piece_answer& piece_result = value_of(pieces)[index];
        if (!piece_result.m_handle.empty())
        {
            take_result(service, upstream, ref, piece_result.m_handle,
                        ended.m_result_bytes[index]);
            continue;
        }
        const auto job = service.m_queue.m_jobs.find(ref.m_job);
        if (job == service.m_queue.m_jobs.end())
        {
            continue;
        }
        piece& part = job->second.m_pieces[ref.m_piece];
        return_piece(part);
        if (piece_result.m_failure == platform::piece_failure::no_room)
        {
            worker.m_blocked_until = at + no_room_pause;
        }
        else if (piece_result.m_failure == platform::piece_failure::input_gone)
        {
            finish_job(service, ref.m_job, {0, pieces_outcome::input_gone, {}, 0});
        }
        else if (piece_result.m_failure == platform::piece_failure::other &&
                 ++part.m_failures >= most_piece_failures)
        {
            finish_job(service, ref.m_job, {0, pieces_outcome::failed, {}, 0});
        }
    }
    refresh_workers(pool, service);
    pump(pool, service);
}

void stage_service::return_pieces(pool_service& service, const call& ended, bool failed)
{
    for (const piece_ref& ref : ended.m_pieces)
    {
        const auto job = service.m_queue.m_jobs.find(ref.m_job);
        if (job == service.m_queue.m_jobs.end())
        {
            continue;
        }
        piece& part = job->second.m_pieces[ref.m_piece];
        return_piece(part);
        part.m_failures += failed ? 1 : 0;
        if (part.m_failures >= most_piece_failures)
        {
            finish_job(service, ref.m_job, {0, pieces_outcome::failed, {}, 0});
        }
    }
}

void stage_service::take_result(pool_service& service, const upstream_id& upstream,
                                const piece_ref& ref, const std::string& handle,
                                std::uint64_t bytes)
{
    const auto at = service.m_queue.m_jobs.find(ref.m_job);
    service.m_results[handle] = {upstream, bytes, now() + result_life};
    service.m_queue.m_workers[upstream].m_room_used += bytes;
    if (at == service.m_queue.m_jobs.end())
    {
        release(service, handle);
        return;
    }
    piece& part = at->second.m_pieces[ref.m_piece];
    --part.m_calls;
    if (part.m_state == piece_state::done)
    {
        release(service, handle);
        return;
    }
    part.m_state = piece_state::done;
    part.m_handle = handle;
    const auto& pieces = at->second.m_pieces;
    const bool whole = std::all_of(pieces.begin(), pieces.end(),
                                   [](const piece& other)
                                   {
                                       return other.m_state == piece_state::done;
                                   });
    if (!whole)
    {
        return;
    }
    pieces_result result{0, pieces_outcome::done, {}, 0};
    for (const piece& other : pieces)
    {
        result.m_handles.push_back(other.m_handle);
    }
    finish_job(service, ref.m_job, std::move(result));
}

void stage_service::finish_job(pool_service& service, const job_id& id,
                               pieces_result result)
{
    const auto at = service.m_queue.m_jobs.find(id);
    if (at == service.m_queue.m_jobs.end())
    {
        return;
    }
    if (result.m_outcome == pieces_outcome::done)
    {
        service.m_queue.m_jobs.erase(at);
    }
    else
    {
        drop_job(service, id);
    }
    result.m_job = id.m_counter;
    m_reply(id.m_host, std::move(result));
}

void stage_service::drop_job(pool_service& service, const job_id& id)
{
    const auto at = service.m_queue.m_jobs.find(id);
    if (at == service.m_queue.m_jobs.end())
    {
        return;
    }
    std::vector<std::string> handles;
    for (const piece& part : at->second.m_pieces)
    {
        if (part.m_state == piece_state::done)
        {
            handles.push_back(part.m_handle);
        }
    }
    service.m_queue.m_jobs.erase(at);
    for (const std::string& handle : handles)
    {
        release(service, handle);
    }
}

void stage_service::release(pool_service& service, const std::string& handle)
{
    const auto held = service.m_results.find(handle);
    if (held != service.m_results.end())
    {
        service.m_to_release[held->second.m_upstream].push_back(handle);
        return;
    }
    // A result that a host before this one had made for the queue.
    const std::string maker = platform::maker_of(handle);
    for (const auto& [id, worker] : service.m_queue.m_workers)
    {
        const auto* row = m_state.m_upstreams.m_rows.find(id);
        if (row != nullptr && to_text(row->m_entry.m_address) == maker)
        {
            service.m_to_release[id].push_back(handle);
            return;
        }
    }
}

void stage_service::flush_releases(pool_service& service)
{
    for (auto& [upstream, handles] : service.m_to_release)
    {
        const auto worker = service.m_queue.m_workers.find(upstream);
        for (const std::string& handle : handles)
        {
            const auto held = service.m_results.find(handle);
            if (held == service.m_results.end())
            {
                continue;
            }
            if (worker != service.m_queue.m_workers.end())
            {
                worker->second.m_room_used -=
                    std::min(worker->second.m_room_used, held->second.m_bytes);
            }
            service.m_results.erase(held);
        }
        const auto* row = m_state.m_upstreams.m_rows.find(upstream);
        if (row != nullptr)
        {
            asio::co_spawn(m_state.m_executor,
                           send_release(row->m_entry.m_address, std::move(handles)),
                           asio::detached);
        }
    }
    service.m_to_release.clear();
}

asio::awaitable<void> stage_service::send_release(ip_endpoint address,
                                                  std::vector<std::string> handles)
{
    constexpr milliseconds limit{1000};
    http_call_options options;
    options.m_timeout = limit;
    const auto answer =
        co_await m_http.send(to_tcp(address), platform::encode_release(handles), options);
    if (!is_ok(answer))
    {
        // The results expire by themselves; until then their room is lost.
        log_event{"release_failed"}
            .add("address", to_text(address))
            .add("results", handles.size())
            .add("reason", geraniumdoor::to_text(error_of(answer).m_kind));
    }
}

void stage_service::check(const pool_id& pool, pool_service& service)
{
    drop_missing_jobs(service.m_queue, now());
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

void stage_service::log_queue(const pool_id& pool, pool_service& service)
{
    const time_point at = now();
    if (at - service.m_last_log < queue_log_period || service.m_queue.m_jobs.empty())
    {
        return;
    }
    service.m_last_log = at;
    const queue_summary summary = summarize(service.m_queue, at);
    const queue_waits waits = waits_of(service.m_queue, at);
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
        .add("room_share", summary.m_room_share)
        .add("inflow_per_s", service.m_queue.m_inflow_per_s)
        .add("on_time_wait_ms", waits.m_on_time.count())
        .add("late_wait_ms", waits.m_late.count());
}

void stage_service::refuse_hopeless(pool_service& service)
{
    const time_point at = now();
    for (const job_id& id : hopeless_jobs(service.m_queue, at))
    {
        const auto wait = std::max(shortest_retry, waits_of(service.m_queue, at).m_late);
        finish_job(
            service, id,
            {0, pieces_outcome::refused, {}, static_cast<std::uint32_t>(wait.count())});
    }
}

void stage_service::repeat_overdue(pool_service& service)
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
            std::max(worker.m_slowness, to_ms(at - worker.m_call_began) / normal);
        for (const piece_ref& ref : running->second.m_pieces)
        {
            const auto job = service.m_queue.m_jobs.find(ref.m_job);
            if (job == service.m_queue.m_jobs.end())
            {
                continue;
            }
            piece& part = job->second.m_pieces[ref.m_piece];
            if (part.m_state == piece_state::running && part.m_calls == 1)
            {
                part.m_state = piece_state::waiting;
            }
        }
        log_event{"pieces_call_overdue"}
            .add("upstream", id)
            .add("pieces", running->second.m_pieces.size());
    }
}

void stage_service::expire_results(pool_service& service)
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
                          worker->second.m_room_used -=
                              std::min(worker->second.m_room_used, entry.second.m_bytes);
                      }
                      return true;
                  });
}

std::vector<pool_wait> stage_service::waits() const
{
    constexpr seconds recent{10};
    const time_point at = now();
    std::vector<pool_wait> list;
    for (const auto& [pool, service] : m_pools)
    {
        if (at - service.m_last_work < recent && list.size() < max_reported_waits)
        {
            const queue_waits waits = waits_of(service.m_queue, at);
            list.push_back({short_hash(pool.m_value),
                            static_cast<std::uint32_t>(waits.m_on_time.count()),
                            static_cast<std::uint32_t>(waits.m_late.count())});
        }
    }
    return list;
}

queue_waits stage_service::waits_at(const pool_id& pool) const
{
    const auto at = m_pools.find(pool);
    return at == m_pools.end() ? queue_waits{} : waits_of(at->second.m_queue, now());
}

std::vector<queue_status> stage_service::queues() const
{
    const time_point at = now();
    std::vector<queue_status> list;
    for (const auto& [pool, service] : m_pools)
    {
        queue_status entry;
        entry.m_pool = pool;
        entry.m_jobs = service.m_queue.m_jobs.size();
        entry.m_announced = service.m_queue.m_announced.size();
        entry.m_workers = service.m_queue.m_workers.size();
        for (const auto& [id, worker] : service.m_queue.m_workers)
        {
            entry.m_busy_workers += worker.m_busy_until ? 1 : 0;
            entry.m_room_used += worker.m_room_used;
        }
        entry.m_waits = waits_of(service.m_queue, at);
        list.push_back(std::move(entry));
    }
    return list;
}

std::size_t stage_service::open_jobs() const
{
    std::size_t count = 0;
    for (const auto& [pool, service] : m_pools)
    {
        count += service.m_queue.m_jobs.size();
    }
    return count;
}

} // namespace geraniumdoor::edge
