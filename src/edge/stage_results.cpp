#include "stage_scheduler.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

#include <platform/exchange.hpp>

// Ends of calls, and the results that they made.

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Pause of an upstream that says it is full: another host feeds it at the moment.
constexpr milliseconds full_pause{40};

/// Pause of an upstream without room for results, about the time to read a prompt.
constexpr milliseconds no_room_pause{120};

/// First and longest pause of an upstream that cannot be reached.
constexpr milliseconds first_failure_pause{300};
constexpr milliseconds longest_failure_pause{2400};

/// Failures of one piece after which its request is told.
constexpr std::uint32_t most_piece_failures = 4;

/// Time after which an unreleased result counts as gone. Source: results are kept for 4
/// s.
constexpr milliseconds result_life{4500};

/// A call that carried the piece has ended without a result for it.
void return_piece(piece& part)
{
    --part.m_active_calls;
    if (part.m_state == piece_state::running && part.m_active_calls == 0)
    {
        part.m_state = piece_state::waiting;
    }
}

} // namespace

void stage_scheduler::finish_call(const pool_id& pool, const upstream_id& upstream,
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
        worker.m_result_memory_used -= std::min(worker.m_result_memory_used, bytes);
    }
    const time_point at = now();
    const bool wrong_upstream = is_ok(answer) && value_of(answer).m_status == 421;
    // Another upstream has the address: the one that is meant does not come back there.
    const bool declined = is_ok(answer) && !wrong_upstream &&
                          platform::is_not_run_response(value_of(answer));
    const auto pieces =
        is_ok(answer) && value_of(answer).m_status == 200
            ? platform::decode_pieces(value_of(answer).m_body, ended.m_pieces.size())
            : result<std::vector<platform::piece_result>, platform::decode_error>{
                  platform::decode_error{"no answer with status 200"}};
    if (!is_ok(pieces))
    {
        const auto doublings = std::min<std::uint32_t>(worker.m_consecutive_failures, 3);
        worker.m_blocked_until =
            at + (declined ? full_pause
                           : std::min(first_failure_pause * (1U << doublings),
                                      longest_failure_pause));
        worker.m_consecutive_failures += declined ? 0 : 1;
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
    worker.m_consecutive_failures = 0;
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
        .add("held_kb", worker.m_result_memory_used / 1000)
        .add("results", service.m_results.size());
    for (std::size_t index = 0; index < ended.m_pieces.size(); ++index)
    {
        const piece_ref& ref = ended.m_pieces[index];
        const platform::piece_result& piece_result = value_of(pieces)[index];
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
        if (piece_result.m_failure == platform::piece_failure::result_memory_full)
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

void stage_scheduler::return_pieces(pool_service& service, const call& ended, bool failed)
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

void stage_scheduler::take_result(pool_service& service, const upstream_id& upstream,
                                  const piece_ref& ref, const std::string& handle,
                                  std::uint64_t bytes)
{
    const auto at = service.m_queue.m_jobs.find(ref.m_job);
    service.m_results[handle] = {upstream, bytes, now() + result_life};
    service.m_queue.m_workers[upstream].m_result_memory_used += bytes;
    if (at == service.m_queue.m_jobs.end())
    {
        release(service, handle);
        return;
    }
    piece& part = at->second.m_pieces[ref.m_piece];
    --part.m_active_calls;
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

void stage_scheduler::finish_job(pool_service& service, const job_id& id,
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

void stage_scheduler::drop_job(pool_service& service, const job_id& id)
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

void stage_scheduler::release(pool_service& service, const std::string& handle)
{
    const auto held = service.m_results.find(handle);
    if (held != service.m_results.end())
    {
        service.m_to_release[held->second.m_upstream].push_back(handle);
        return;
    }
    // A result that a host before this one had made for the queue.
    const std::string maker = platform::producer_address(handle);
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

void stage_scheduler::flush_releases(pool_service& service)
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
                worker->second.m_result_memory_used -=
                    std::min(worker->second.m_result_memory_used, held->second.m_bytes);
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

asio::awaitable<void> stage_scheduler::send_release(ip_endpoint address,
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

} // namespace geraniumdoor::edge
