#include "relay_values.hpp"
#include "request_relay.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Time for the forecasts of the queues. An answer of a sound host takes 3 ms.
constexpr milliseconds forecast_limit{40};

/// Expected time for each output token, in milliseconds, and the most that counts.
constexpr double output_token_ms = 3.5;
constexpr milliseconds longest_output{1500};

/// A stage that is held back ends this much before the stages it is held for, as far as
/// estimates go; shorter holds are not worth a wake-up.
constexpr milliseconds hold_margin{120};
constexpr milliseconds shortest_hold{40};

/// Part of the life of a result that is left for the next stage's call.
constexpr milliseconds result_life_margin{500};

/// Times that the stages of one request are made again after a result was lost.
constexpr std::uint32_t most_prepared_again = 2;

std::uint32_t rank_of(const relayed_request& current)
{
    // The workspace's rank goes before the route's.
    return 2 * current.m_workspace.m_priority + current.m_route->m_priority;
}

} // namespace

queue_waits request_relay::waits_at(const pool_id& pool) const
{
    const node_id host = queue_host_of(m_state, pool);
    if (host == m_state.m_own_report.m_node)
    {
        return m_queues.wait_times_of(pool);
    }
    const auto hash = id_hash(pool.m_value);
    for (const pool_wait& entry : m_state.m_hosts.m_hosts.at(host).m_report.m_waits)
    {
        if (entry.m_pool == hash)
        {
            return {milliseconds{entry.m_on_time_ms}, milliseconds{entry.m_late_ms}};
        }
    }
    return {};
}

std::vector<stage_estimate> request_relay::stage_estimates(const request& current,
                                                           bool late) const
{
    std::vector<stage_estimate> estimates;
    const auto& stages = current.m_route->m_stages;
    for (std::size_t at = 0; at < stages.size(); ++at)
    {
        stage_estimate estimate;
        const auto pool = current.m_routing->m_pools.find(stages[at].m_pool);
        const bool known =
            pool != current.m_routing->m_pools.end() && pool->second.m_pieces.has_value();
        if (known && pieces_of(current, at) > 0)
        {
            const queue_waits waits = at < current.m_forecasts.size()
                                          ? current.m_forecasts[at]
                                          : waits_at(stages[at].m_pool);
            estimate.m_wait = late ? waits.m_late : waits.m_on_time;
            estimate.m_service_time =
                stage_service_time(*pool->second.m_pieces, pieces_of(current, at));
            if (current.m_stage_done[at])
            {
                estimate = {};
            }
            else if (current.m_stage_submitted[at])
            {
                milliseconds passed = ms_between(current.m_submitted_at[at], now());
                const milliseconds waited = std::min(passed, estimate.m_wait);
                estimate.m_wait -= waited;
                estimate.m_service_time -=
                    std::min(passed - waited, estimate.m_service_time);
            }
        }
        estimates.push_back(estimate);
    }
    return estimates;
}

void request_relay::announce_stages(request& current)
{
    const auto& stages = current.m_route->m_stages;
    const auto path = estimate_path(*current.m_route, stage_estimates(current, false),
                                    current.m_head.m_pieces, milliseconds{0});
    for (std::uint32_t at = 0; at < stages.size(); ++at)
    {
        const std::uint32_t pieces = pieces_of(current, at);
        if (pieces == 0)
        {
            continue;
        }
        milliseconds eta{0};
        for (const std::uint32_t before : stages[at].m_predecessors)
        {
            eta = std::max(eta, before < at ? path.m_stage_ends[before] : eta);
        }
        ++current.m_forecasts_missing;
        current.m_jobs[at] = m_stages.announce(stages[at].m_pool, pieces, eta,
                                               [&current, at](queue_waits waits)
                                               {
                                                   current.m_forecasts[at] = waits;
                                                   --current.m_forecasts_missing;
                                                   if (current.m_forecasts_missing == 0)
                                                   {
                                                       current.m_wake.cancel();
                                                   }
                                               });
    }
}

asio::awaitable<std::optional<milliseconds>> request_relay::path_excess(request& current)
{
    const auto& stages = current.m_route->m_stages;
    if (stages.empty())
    {
        co_return std::nullopt;
    }
    for (std::size_t at = 0; at < stages.size(); ++at)
    {
        // Stands until the forecast comes.
        current.m_forecasts.push_back(waits_at(stages[at].m_pool));
    }
    announce_stages(current);
    if (current.m_forecasts_missing > 0)
    {
        current.m_wake.expires_after(forecast_limit);
        boost::system::error_code ignored;
        co_await current.m_wake.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return judge_path(current);
}

std::optional<milliseconds> request_relay::judge_path(request& current)
{
    const milliseconds answer = expected_answer(current);
    std::string waits;
    for (const queue_waits& wait : current.m_forecasts)
    {
        waits += waits.empty() ? "" : ",";
        waits += std::to_string(wait.m_on_time.count()) + '/' +
                 std::to_string(wait.m_late.count());
    }
    const auto on_time = estimate_path(*current.m_route, stage_estimates(current, false),
                                       current.m_head.m_pieces, answer);
    log_event{"forecast"}
        .add("request", current.m_head.m_request)
        .add("waits_ms", waits)
        .add("missing", current.m_forecasts_missing)
        .add("answer_ms", answer.count())
        .add("first_byte_ms", on_time.m_first_byte.count())
        .add("goal_ms", ms_between(now(), current.m_goal).count());
    if (now() + on_time.m_first_byte <= current.m_goal)
    {
        return std::nullopt;
    }
    const auto late = estimate_path(*current.m_route, stage_estimates(current, true),
                                    current.m_head.m_pieces, answer);
    const milliseconds output = std::min(
        longest_output, milliseconds{static_cast<std::int64_t>(
                            output_token_ms * current.m_head.m_prompt.m_output_tokens)});
    const milliseconds whole = late.m_first_byte + output - time_left(current);
    const milliseconds first =
        late.m_first_byte - ms_between(now(), current.m_first_byte_deadline);
    const milliseconds excess = std::max(whole, first);
    // Late work only gets what is left: it must not count in the forecasts for others.
    cancel_stages(current);
    return excess > milliseconds{0} ? std::optional{excess} : std::nullopt;
}

void request_relay::choose_place(request& current) const
{
    // A prompt that shares little goes where its results are, not the other way round.
    const upstream* chosen = choose(current);
    if (chosen != nullptr &&
        shared_prefix_tokens(current.m_head.m_prompt) >= single_home_min_tokens)
    {
        current.m_results_wanted_at = chosen->m_entry.m_data_centre;
    }
}

input_location request_relay::place_of(const request& current,
                                       const std::vector<std::uint32_t>& stages) const
{
    std::unordered_map<std::string, data_centre_id> places;
    for (const auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        places.emplace(to_text(row.m_entry.m_address), row.m_entry.m_data_centre);
    }
    std::unordered_map<data_centre_id, std::uint64_t> bytes;
    for (const std::uint32_t at : stages)
    {
        for (const std::string& handle : current.m_results[at])
        {
            const auto place = places.find(platform::producer_address(handle));
            if (place != places.end())
            {
                bytes[place->second] += current.m_route->m_stages[at].m_result_bytes;
            }
        }
    }
    input_location most;
    for (const auto& [place, size] : bytes)
    {
        if (size > most.m_bytes)
        {
            most = {place, size};
        }
    }
    return most;
}

void request_relay::place_stage(const request& current, std::uint32_t stage,
                                pieces_request& wanted) const
{
    wanted.m_preferred = current.m_results_wanted_at;
    wanted.m_cross_bytes = wanted.m_result_bytes;
    // Each piece fetches all inputs by itself.
    const input_location inputs =
        place_of(current, current.m_route->m_stages[stage].m_predecessors);
    if (inputs.m_bytes > wanted.m_result_bytes)
    {
        wanted.m_preferred = inputs.m_data_centre;
        wanted.m_cross_bytes = inputs.m_bytes;
    }
}

bool request_relay::stage_is_ready(const request& current, std::uint32_t stage) const
{
    if (current.m_stage_submitted[stage])
    {
        return false;
    }
    const auto& after = current.m_route->m_stages[stage].m_predecessors;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t before)
                       {
                           return before >= current.m_stage_done.size() ||
                                  current.m_stage_done[before];
                       });
}

bool request_relay::stages_complete(const request& current) const
{
    return std::all_of(current.m_stage_done.begin(), current.m_stage_done.end(),
                       [](bool done)
                       {
                           return done;
                       });
}

void request_relay::skip_empty_stages(request& current) const
{
    bool progress = true;
    while (progress)
    {
        progress = false;
        for (std::uint32_t at = 0; at < current.m_stage_done.size(); ++at)
        {
            if (stage_is_ready(current, at) && pieces_of(current, at) == 0)
            {
                current.m_stage_submitted[at] = true;
                current.m_stage_done[at] = true;
                progress = true;
            }
        }
    }
}

void request_relay::submit_ready_stages(request& current)
{
    skip_empty_stages(current);
    const auto path = estimate_path(*current.m_route, stage_estimates(current, false),
                                    current.m_head.m_pieces, expected_answer(current));
    current.m_next_submit = time_point::max();
    for (std::uint32_t at = 0; at < current.m_stage_done.size(); ++at)
    {
        if (!stage_is_ready(current, at))
        {
            continue;
        }
        const milliseconds hold = time_to_hold(current, path, at);
        if (hold > milliseconds{0})
        {
            current.m_next_submit = std::min(current.m_next_submit, now() + hold);
            continue;
        }
        submit_stage(current, at, path);
    }
}

pieces_request request_relay::request_for(const request& current, std::uint32_t stage,
                                          const path_estimate& path) const
{
    const route_stage& config = current.m_route->m_stages[stage];
    const time_point at = now();
    pieces_request wanted;
    wanted.m_pool = config.m_pool;
    wanted.m_request = current.m_head.m_request;
    wanted.m_stage.m_value = stage;
    wanted.m_pieces = pieces_of(current, stage);
    wanted.m_key = current.m_head.m_piece_key;
    for (const std::uint32_t before : config.m_predecessors)
    {
        const auto& inputs = current.m_results[before];
        wanted.m_inputs.insert(wanted.m_inputs.end(), inputs.begin(), inputs.end());
    }
    wanted.m_due_ms = static_cast<std::int32_t>(
        ms_between(at, current.m_goal - path.m_remaining_time[stage]).count());
    wanted.m_deadline_ms =
        static_cast<std::int32_t>(ms_between(at, current.m_first_byte_deadline -
                                                     path.m_remaining_service_time[stage])
                                      .count());
    if (!wanted.m_inputs.empty())
    {
        wanted.m_deadline_ms =
            std::min(wanted.m_deadline_ms, input_life_ms(current, stage));
    }
    wanted.m_rank = rank_of(current);
    wanted.m_result_bytes = config.m_result_bytes;
    place_stage(current, stage, wanted);
    return wanted;
}

void request_relay::submit_stage(request& current, std::uint32_t stage,
                                 const path_estimate& path)
{
    current.m_stage_submitted[stage] = true;
    current.m_submitted_at[stage] = now();
    if (current.m_jobs[stage] == 0)
    {
        current.m_jobs[stage] = m_stages.next_job_number();
    }
    m_stages.submit(current.m_jobs[stage], request_for(current, stage, path),
                    [this, &current, stage](pieces_result result, const node_id& host)
                    {
                        on_stage_end(current, stage, std::move(result), host);
                    });
}

void request_relay::on_stage_end(request& current, std::uint32_t stage,
                                 pieces_result result, const node_id& host)
{
    current.m_jobs[stage] = 0;
    if (result.m_outcome == pieces_outcome::done)
    {
        current.m_result_hosts[stage] = host;
        current.m_results[stage] = std::move(result.m_handles);
        current.m_stage_done[stage] = true;
        note_stage_end(current, stage);
        release_results(current, false);
        submit_ready_stages(current);
    }
    else
    {
        current.m_stage_failed = true;
        current.m_failed_stage = std::move(result);
    }
    current.m_wake.cancel();
}

void request_relay::note_stage_end(request& current, std::uint32_t stage)
{
    const auto& pool = current.m_route->m_stages[stage].m_pool;
    const duration since = now() - current.m_arrived;
    const auto count = std::chrono::duration_cast<milliseconds>(since).count();
    current.m_stage_times += current.m_stage_times.empty() ? "" : ",";
    current.m_stage_times += std::to_string(stage) + ':' + std::to_string(count);
    m_state.m_metrics.observe("stage_end_seconds", {{"pool", pool.m_value}}, to_s(since));
}

milliseconds request_relay::time_to_hold(const request& current,
                                         const path_estimate& path,
                                         std::uint32_t stage) const
{
    const auto finals = final_stages(*current.m_route);
    const bool is_final = std::find(finals.begin(), finals.end(), stage) != finals.end();
    if (!is_final)
    {
        return milliseconds{0};
    }
    milliseconds last{0};
    for (const std::uint32_t other : finals)
    {
        last = std::max(last, path.m_stage_ends[other]);
    }
    const milliseconds hold = last - path.m_stage_ends[stage] - hold_margin;
    return hold < shortest_hold ? milliseconds{0} : hold;
}

std::int32_t request_relay::input_life_ms(const request& current,
                                          std::uint32_t stage) const
{
    milliseconds life = milliseconds::max();
    for (const std::uint32_t before : current.m_route->m_stages[stage].m_predecessors)
    {
        const auto& pool_name = current.m_route->m_stages[before].m_pool;
        const auto known = current.m_routing->m_pools.find(pool_name);
        if (known != current.m_routing->m_pools.end() && known->second.m_pieces)
        {
            life = std::min(life, known->second.m_pieces->m_result_ttl);
        }
    }
    constexpr milliseconds longest{60000};
    return static_cast<std::int32_t>(
        (std::min(life, longest) - result_life_margin).count());
}

asio::awaitable<bool> request_relay::prepare(request& current)
{
    submit_ready_stages(current);
    while (!stages_complete(current))
    {
        if (current.m_caller_gone)
        {
            co_return false;
        }
        if (current.m_stage_failed)
        {
            const auto outcome = current.m_failed_stage.m_outcome;
            const milliseconds wait{current.m_failed_stage.m_retry_after_ms};
            if (outcome == pieces_outcome::input_gone &&
                current.m_prepared_again < most_prepared_again)
            {
                restart_stages(current);
                continue;
            }
            co_await refuse(current, wait,
                            outcome == pieces_outcome::refused      ? "stage_refused"
                            : outcome == pieces_outcome::input_gone ? "stage_input_gone"
                                                                    : "stage_failed");
            co_return false;
        }
        if (now() + least_attempt > current.m_first_byte_deadline)
        {
            co_await refuse(current, milliseconds{0}, "stages_late");
            co_return false;
        }
        if (now() >= current.m_next_submit)
        {
            submit_ready_stages(current);
        }
        current.m_wake.expires_at(std::min(current.m_first_byte_deadline - least_attempt,
                                           current.m_next_submit));
        boost::system::error_code ignored;
        co_await current.m_wake.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    current.m_inputs = place_of(current, final_stages(*current.m_route));
    co_return !current.m_caller_gone;
}

void request_relay::restart_stages(request& current)
{
    cancel_stages(current);
    release_results(current, true);
    ++current.m_prepared_again;
    current.m_stage_failed = false;
    std::fill(current.m_stage_done.begin(), current.m_stage_done.end(), false);
    std::fill(current.m_stage_submitted.begin(), current.m_stage_submitted.end(), false);
    submit_ready_stages(current);
}

void request_relay::cancel_stages(request& current)
{
    for (std::uint64_t& job : current.m_jobs)
    {
        if (job != 0)
        {
            m_stages.cancel(job);
            job = 0;
        }
    }
}

void request_relay::release_results(request& current, bool all)
{
    if (current.m_route == nullptr)
    {
        return;
    }
    const auto& stages = current.m_route->m_stages;
    for (std::uint32_t at = 0; at < stages.size(); ++at)
    {
        bool taken = false;
        bool waiting = false;
        for (std::uint32_t other = 0; other < stages.size(); ++other)
        {
            const auto& after = stages[other].m_predecessors;
            const bool takes = std::find(after.begin(), after.end(), at) != after.end();
            taken = taken || takes;
            waiting = waiting || (takes && !current.m_stage_done[other]);
        }
        const bool needless = all || (taken && !waiting);
        if (needless && !current.m_results[at].empty())
        {
            m_stages.release_results(stages[at].m_pool,
                                     std::exchange(current.m_results[at], {}),
                                     current.m_result_hosts[at]);
        }
    }
}

bool request_relay::has_inputs(const request& current) const
{
    const auto finals = final_stages(*current.m_route);
    return std::all_of(finals.begin(), finals.end(),
                       [&](std::uint32_t at)
                       {
                           return pieces_of(current, at) == 0 ||
                                  !current.m_results[at].empty();
                       });
}

std::vector<std::string> request_relay::final_inputs(const request& current) const
{
    std::vector<std::string> inputs;
    for (const std::uint32_t at : final_stages(*current.m_route))
    {
        const auto& handles = current.m_results[at];
        inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
    return inputs;
}

} // namespace geraniumdoor::edge
