#include "stage_scheduler.hpp"
#include "upstream_notices.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

#include <platform/exchange.hpp>

// Completion of calls to upstreams, and lifetime of their results.

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Backoff for an upstream that declined a call because it is full: another host is
/// sending it calls at the moment.
constexpr milliseconds declined_backoff{40};

/// Backoff for an upstream whose result memory is full. About the time that an engine
/// takes to read a prompt.
constexpr milliseconds result_memory_backoff{120};

/// Range of the exponential backoff for an upstream whose calls fail.
constexpr milliseconds min_failure_backoff{300};
constexpr milliseconds max_failure_backoff{2400};

/// Number of failures of one piece at which its job fails.
constexpr std::uint32_t max_piece_failures = 4;

/// Time after which a result that was not released counts as deleted. Upstreams keep
/// results for 4 s.
constexpr milliseconds result_ttl{4500};

constexpr unsigned wrong_upstream_status = 421;

/// Accounts for a call that ended without a result for the piece. The piece waits again
/// unless another call carries it.
void requeue_piece(piece& part)
{
    --part.m_active_calls;
    if (part.m_state == piece_state::running && part.m_active_calls == 0)
    {
        part.m_state = piece_state::waiting;
    }
}

std::ptrdiff_t count_failures(const std::vector<platform::piece_result>& pieces,
                              platform::piece_failure failure)
{
    return std::count_if(pieces.begin(), pieces.end(),
                         [failure](const platform::piece_result& entry)
                         {
                             return entry.m_handle.empty() && entry.m_failure == failure;
                         });
}

/// Ids of the requests whose pieces a call had, for the log.
std::string request_ids(const stage_queue& queue, const std::vector<piece_ref>& pieces)
{
    std::string ids;
    const job_id* last = nullptr;
    for (const piece_ref& ref : pieces)
    {
        const auto job = queue.m_jobs.find(ref.m_job);
        if (job != queue.m_jobs.end() && (last == nullptr || *last != ref.m_job))
        {
            ids += ids.empty() ? "" : ",";
            ids += job->second.m_request.m_value;
        }
        last = &ref.m_job;
    }
    return ids;
}

} // namespace

void stage_scheduler::finish_call(const pool_id& pool, const upstream_id& upstream,
                                  const result<http_response, http_error>& answer,
                                  milliseconds took, milliseconds expected)
{
    pool_state& state = m_pools.at(pool);
    const call ended = std::move(state.m_calls.at(upstream));
    state.m_calls.erase(upstream);
    stage_upstream& upstream_state = state.m_queue.m_upstreams[upstream];
    upstream_state.m_busy_until.reset();
    for (const std::uint64_t bytes : ended.m_result_bytes)
    {
        upstream_state.m_result_memory_used -=
            std::min(upstream_state.m_result_memory_used, bytes);
    }
    const time_point at = now();
    const bool wrong_upstream =
        is_ok(answer) && value_of(answer).m_status == wrong_upstream_status;
    if (is_ok(answer) && !wrong_upstream)
    {
        apply_notice(m_state, upstream, value_of(answer).m_status,
                     value_of(answer).m_fields, upstream_state.m_call_started);
    }
    // 421 means that another upstream uses the address now; the intended one does not
    // return there. The failure backoff applies, although nothing has run.
    const bool declined = is_ok(answer) && !wrong_upstream &&
                          platform::is_not_run_response(value_of(answer));
    const auto pieces =
        is_ok(answer) && value_of(answer).m_status == 200
            ? platform::decode_pieces(value_of(answer).m_body, ended.m_pieces.size())
            : result<std::vector<platform::piece_result>, platform::decode_error>{
                  platform::decode_error{"no answer with status 200"}};
    if (!declined && !wrong_upstream)
    {
        record_for_rollout(state, ended, pieces, took);
    }
    if (!is_ok(pieces))
    {
        const auto doublings =
            std::min<std::uint32_t>(upstream_state.m_consecutive_failures, 3);
        upstream_state.m_blocked_until =
            at + (declined ? declined_backoff
                           : std::min(min_failure_backoff * (1U << doublings),
                                      max_failure_backoff));
        upstream_state.m_consecutive_failures += declined ? 0 : 1;
        log_event{"pieces_call_failed"}
            .add("pool", pool)
            .add("upstream", upstream)
            .add("pieces", ended.m_pieces.size())
            .add("requests", request_ids(state.m_queue, ended.m_pieces))
            .add("took_ms", took.count())
            .add("status", is_ok(answer) ? value_of(answer).m_status : 0)
            .add("reason",
                 is_ok(answer)
                     ? error_of(pieces).m_detail
                     : std::string{geraniumdoor::to_text(error_of(answer).m_kind)});
        requeue_pieces(state, ended, !declined && !wrong_upstream);
        const bool is_lost = !is_ok(answer) && error_of(answer).m_sent &&
                             error_of(answer).m_kind == http_error_kind::closed;
        if (is_lost)
        {
            record_possible_crash(state, ended);
        }
        refresh_upstreams(pool, state);
        dispatch_calls(pool, state);
        return;
    }
    upstream_state.m_consecutive_failures = 0;
    record_sound_call(ended);
    const milliseconds normal =
        expected_call_time(state.m_queue, ended.m_pieces.size(), 1);
    const double slowness =
        static_cast<double>(took.count()) / std::max<double>(1, normal.count());
    upstream_state.m_slowness +=
        0.5 * (std::max(0.7, slowness) - upstream_state.m_slowness);
    m_state.m_metrics.observe("pieces_call_seconds", {{"pool", pool.m_value}},
                              to_s(took));
    log_event{"pieces_call"}
        .add("pool", pool)
        .add("upstream", upstream)
        .add("pieces", ended.m_pieces.size())
        .add("jobs", state.m_queue.m_jobs.size())
        .add("took_ms", took.count())
        .add("expected_ms", expected.count())
        .add("slowness", upstream_state.m_slowness)
        .add("held_kb", upstream_state.m_result_memory_used / 1000)
        .add("results", state.m_results.size())
        .add("no_room", count_failures(value_of(pieces),
                                       platform::piece_failure::result_memory_full))
        .add("input_gone",
             count_failures(value_of(pieces), platform::piece_failure::input_gone));
    for (std::size_t index = 0; index < ended.m_pieces.size(); ++index)
    {
        const piece_ref& ref = ended.m_pieces[index];
        const platform::piece_result& piece_result = value_of(pieces)[index];
        if (!piece_result.m_handle.empty())
        {
            record_result(state, upstream, ref, piece_result.m_handle,
                          ended.m_result_bytes[index]);
            continue;
        }
        const auto job = state.m_queue.m_jobs.find(ref.m_job);
        if (job == state.m_queue.m_jobs.end())
        {
            continue;
        }
        piece& part = job->second.m_pieces[ref.m_piece];
        requeue_piece(part);
        if (piece_result.m_failure == platform::piece_failure::result_memory_full)
        {
            upstream_state.m_blocked_until = at + result_memory_backoff;
        }
        else if (piece_result.m_failure == platform::piece_failure::input_gone)
        {
            finish_job(state, ref.m_job, {0, pieces_outcome::input_gone, {}, 0});
        }
        else if (piece_result.m_failure == platform::piece_failure::other &&
                 ++part.m_failures >= max_piece_failures)
        {
            finish_job(state, ref.m_job, {0, pieces_outcome::failed, {}, 0});
        }
    }
    refresh_upstreams(pool, state);
    dispatch_calls(pool, state);
}

void stage_scheduler::record_for_rollout(
    const pool_state& state, const call& ended,
    const result<std::vector<platform::piece_result>, platform::decode_error>& pieces,
    milliseconds took)
{
    const auto* row = m_state.m_upstreams.m_rows.find(ended.m_upstream);
    if (row == nullptr || row->m_run != ended.m_run)
    {
        return;
    }
    // Calls of different sizes are compared by the ratio of their time to the usual one.
    constexpr double ms_per_usual_time = 1000;
    const milliseconds usual =
        expected_call_time(state.m_queue, ended.m_pieces.size(), 1);
    answer_time taken;
    taken.m_first_byte_ms = ms_per_usual_time * static_cast<double>(took.count()) /
                            std::max<double>(1, static_cast<double>(usual.count()));
    for (std::size_t index = 0; index < ended.m_pieces.size(); ++index)
    {
        const auto job = state.m_queue.m_jobs.find(ended.m_pieces[index].m_job);
        const std::string stage =
            job == state.m_queue.m_jobs.end()
                ? "stage"
                : "stage " + std::to_string(job->second.m_stage.m_value);
        const bool is_faulty = !is_ok(pieces) || value_of(pieces)[index].m_failure ==
                                                     platform::piece_failure::other;
        m_rollouts.record_answer(*row, stage, taken, is_faulty, false);
    }
}

void stage_scheduler::update_held_results(const pool_id& pool, const pool_state& state)
{
    for (auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        if (row.m_entry.m_pool == pool)
        {
            row.m_results_held = state.m_calls.contains(id) ? 1 : 0;
        }
    }
    for (const auto& [handle, retained] : state.m_results)
    {
        if (auto* row = m_state.m_upstreams.m_rows.find(retained.m_upstream))
        {
            ++row->m_results_held;
        }
    }
}

void stage_scheduler::requeue_pieces(pool_state& state, const call& ended, bool failed)
{
    for (const piece_ref& ref : ended.m_pieces)
    {
        const auto job = state.m_queue.m_jobs.find(ref.m_job);
        if (job == state.m_queue.m_jobs.end())
        {
            continue;
        }
        piece& part = job->second.m_pieces[ref.m_piece];
        requeue_piece(part);
        part.m_failures += failed ? 1 : 0;
        if (part.m_failures >= max_piece_failures)
        {
            finish_job(state, ref.m_job, {0, pieces_outcome::failed, {}, 0});
        }
    }
}

void stage_scheduler::record_possible_crash(pool_state& state, const call& ended)
{
    auto& suspects = m_state.m_crash_suspects;
    const std::uint32_t weight =
        ended.m_traits.size() == 1 ? weight_of_begun_stream : weight_of_queued_request;
    record_crash(suspects, ended.m_traits, ended.m_run, weight, now());
    m_state.m_metrics.add("suspected_crashes", {});
    std::vector<job_id> hopeless;
    for (const auto& [id, job] : state.m_queue.m_jobs)
    {
        const bool is_involved = std::any_of(ended.m_traits.begin(), ended.m_traits.end(),
                                             [&job = job](const request_trait& trait)
                                             {
                                                 return trait.m_key == job.m_trait.m_key;
                                             });
        if (is_involved && !may_send_again(suspects, {job.m_trait}, now()))
        {
            hopeless.push_back(id);
        }
    }
    for (const job_id& id : hopeless)
    {
        finish_job(state, id, {0, pieces_outcome::failed, {}, 0});
    }
}

void stage_scheduler::record_sound_call(const call& ended)
{
    auto& suspects = m_state.m_crash_suspects;
    for (const request_trait& trait : ended.m_traits)
    {
        if (!is_suspected(suspects, trait.m_key))
        {
            continue;
        }
        for (const suspect_key key : record_success(suspects, {trait}, now()))
        {
            log_event{"suspect_lifted"}.add("key", key);
        }
    }
}

void stage_scheduler::update_suspects(pool_state& state)
{
    const auto& suspects = m_state.m_crash_suspects;
    if (!has_suspected_requests(suspects))
    {
        for (auto& [id, job] : state.m_queue.m_jobs)
        {
            job.m_is_suspected = false;
        }
        return;
    }
    std::vector<std::pair<job_id, milliseconds>> refused;
    for (auto& [id, job] : state.m_queue.m_jobs)
    {
        job.m_is_suspected = goes_alone(suspects, job.m_trait.m_key);
        const auto wait = quarantine_left(suspects, {job.m_trait}, now());
        if (wait && !job.m_is_trial)
        {
            refused.emplace_back(id, *wait);
        }
    }
    for (const auto& [id, wait] : refused)
    {
        finish_job(
            state, id,
            {0, pieces_outcome::refused, {}, static_cast<std::uint32_t>(wait.count())});
    }
}

void stage_scheduler::record_result(pool_state& state, const upstream_id& upstream,
                                    const piece_ref& ref, const std::string& handle,
                                    std::uint64_t bytes)
{
    const auto at = state.m_queue.m_jobs.find(ref.m_job);
    state.m_results[handle] = {upstream, bytes, now() + result_ttl};
    state.m_queue.m_upstreams[upstream].m_result_memory_used += bytes;
    if (at == state.m_queue.m_jobs.end())
    {
        release_result(state, handle);
        return;
    }
    piece& part = at->second.m_pieces[ref.m_piece];
    --part.m_active_calls;
    if (part.m_state == piece_state::done)
    {
        release_result(state, handle);
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
    finish_job(state, ref.m_job, std::move(result));
}

void stage_scheduler::finish_job(pool_state& state, const job_id& id,
                                 pieces_result result)
{
    const auto at = state.m_queue.m_jobs.find(id);
    if (at == state.m_queue.m_jobs.end())
    {
        return;
    }
    if (result.m_outcome == pieces_outcome::done)
    {
        state.m_queue.m_jobs.erase(at);
    }
    else
    {
        remove_job(state, id);
    }
    result.m_job = id.m_counter;
    m_send_result(id.m_host, std::move(result));
}

void stage_scheduler::remove_job(pool_state& state, const job_id& id)
{
    const auto at = state.m_queue.m_jobs.find(id);
    if (at == state.m_queue.m_jobs.end())
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
    state.m_queue.m_jobs.erase(at);
    for (const std::string& handle : handles)
    {
        release_result(state, handle);
    }
}

void stage_scheduler::release_result(pool_state& state, const std::string& handle)
{
    const auto retained = state.m_results.find(handle);
    if (retained != state.m_results.end())
    {
        state.m_pending_releases[retained->second.m_upstream].push_back(handle);
        return;
    }
    // The result was produced for the host that ran this queue before. Its handle
    // contains the address of the upstream.
    const std::string producer = platform::producer_address(handle);
    for (const auto& [id, upstream_state] : state.m_queue.m_upstreams)
    {
        const auto* row = m_state.m_upstreams.m_rows.find(id);
        if (row != nullptr && to_text(row->m_entry.m_address) == producer)
        {
            state.m_pending_releases[id].push_back(handle);
            return;
        }
    }
}

bool stage_scheduler::may_release(const pool_state& state, const upstream_id& upstream,
                                  const std::vector<std::string>& handles)
{
    auto* row = m_state.m_upstreams.m_rows.find(upstream);
    if (row == nullptr)
    {
        return true;
    }
    if (!takes_requests(m_state.m_upstreams, *row, now()))
    {
        return false;
    }
    if (!row->m_sends.m_statement.m_limit)
    {
        return true;
    }
    std::uint64_t bytes = 0;
    for (const std::string& handle : handles)
    {
        const auto retained = state.m_results.find(handle);
        bytes += retained == state.m_results.end() ? 0 : retained->second.m_bytes;
    }
    if (!is_worth_release(state.m_queue.m_limits, bytes))
    {
        return false;
    }
    if (take_permit(row->m_sends, now()))
    {
        return true;
    }
    if (row->m_sends.m_next_ask <= now())
    {
        // The next check finds the permit, unless a call has used it.
        m_permits.ask_ahead(upstream, [] {});
    }
    return false;
}

void stage_scheduler::flush_releases(pool_state& state)
{
    decltype(state.m_pending_releases) kept;
    for (auto& [upstream, handles] : state.m_pending_releases)
    {
        if (!may_release(state, upstream, handles))
        {
            // Results that expire in the meantime need no release.
            std::erase_if(handles,
                          [&state](const std::string& handle)
                          {
                              return !state.m_results.contains(handle);
                          });
            if (!handles.empty())
            {
                kept.emplace(upstream, std::move(handles));
            }
            continue;
        }
        const auto upstream_state = state.m_queue.m_upstreams.find(upstream);
        for (const std::string& handle : handles)
        {
            const auto retained = state.m_results.find(handle);
            if (retained == state.m_results.end())
            {
                continue;
            }
            if (upstream_state != state.m_queue.m_upstreams.end())
            {
                upstream_state->second.m_result_memory_used -=
                    std::min(upstream_state->second.m_result_memory_used,
                             retained->second.m_bytes);
            }
            state.m_results.erase(retained);
        }
        auto* row = m_state.m_upstreams.m_rows.find(upstream);
        if (row != nullptr)
        {
            record_send(row->m_sends, now());
            asio::co_spawn(m_state.m_executor,
                           send_release(row->m_entry, std::move(handles)),
                           asio::detached);
        }
    }
    state.m_pending_releases = std::move(kept);
}

asio::awaitable<void> stage_scheduler::send_release(upstream_entry entry,
                                                    std::vector<std::string> handles)
{
    const upstream_id& upstream = entry.m_id;
    constexpr milliseconds limit{1000};
    http_call_options options;
    options.m_timeout = limit;
    // Answers to releases have no id. A kept connection carries only answers that say
    // nothing of the upstream, and none while a copy of one could end a limit.
    const auto* row = m_state.m_upstreams.m_rows.find(upstream);
    options.m_fresh_connection =
        row != nullptr && row->m_sends.m_statement.m_limit.has_value();
    options.m_may_reuse = [](const http_response& response)
    {
        return !platform::has_notice(response.m_status, response.m_fields);
    };
    const time_point began = now();
    auto answer =
        co_await m_dialer.send(m_http, entry, platform::encode_release(handles), options);
    const bool may_be_lost = !is_ok(answer) && error_of(answer).m_sent;
    if (may_be_lost && !options.m_fresh_connection)
    {
        // A kept connection may be silent. A release has no effect the second time.
        options.m_fresh_connection = true;
        answer = co_await m_dialer.send(m_http, entry, platform::encode_release(handles),
                                        options);
    }
    if (is_ok(answer) && value_of(answer).m_status != wrong_upstream_status)
    {
        apply_notice(m_state, upstream, value_of(answer).m_status,
                     value_of(answer).m_fields, began);
    }
    else if (!is_ok(answer))
    {
        // The results occupy the memory of the upstream until they expire.
        log_event{"release_failed"}
            .add("address", to_text(entry.m_address))
            .add("results", handles.size())
            .add("reason", geraniumdoor::to_text(error_of(answer).m_kind));
    }
}

} // namespace geraniumdoor::edge
