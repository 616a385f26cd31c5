#include "relay_util.hpp"
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

/// Timeout for the forecasts of the queue hosts. Above the 3 ms within which a healthy
/// host answers.
constexpr milliseconds forecast_timeout{40};

/// Expected time per output token in milliseconds, and the upper bound for the estimated
/// output time of a request.
constexpr double output_token_ms = 3.5;
constexpr milliseconds max_output_time{1500};

/// The final stages are submitted so that they end at about the same time: a delayed one
/// is estimated to end this long before the slowest. A delay below the minimum is not
/// worth a wake-up.
constexpr milliseconds submit_delay_margin{120};
constexpr milliseconds min_submit_delay{40};

/// Part of a result's TTL that is left for the call of the next stage.
constexpr milliseconds result_ttl_margin{500};

/// If a result is lost while the stages run, they are restarted only if the request has
/// had fewer restarts than this, including those for a retry.
constexpr std::uint32_t max_stage_restarts = 2;

std::uint32_t combined_priority(const relayed_request& current)
{
    // One level of workspace priority counts as much as two levels of route priority.
    return 2 * current.m_workspace.m_priority + current.m_route->m_priority;
}

} // namespace

queue_waits request_relay::queue_wait_times(const pool_id& pool) const
{
    const node_id host = queue_host_of(m_state, pool);
    if (host == m_state.m_own_report.m_node)
    {
        return m_scheduler.wait_times_of(pool);
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

std::vector<stage_estimate> request_relay::estimate_stages(const request& current,
                                                           bool late) const
{
    std::vector<stage_estimate> estimates;
    const auto& stages = current.m_route->m_stages;
    for (std::size_t index = 0; index < stages.size(); ++index)
    {
        stage_estimate estimate;
        const auto pool = current.m_routing->m_pools.find(stages[index].m_pool);
        const bool known =
            pool != current.m_routing->m_pools.end() && pool->second.m_pieces.has_value();
        if (known && piece_count(current, index) > 0)
        {
            const queue_waits waits = index < current.m_forecasts.size()
                                          ? current.m_forecasts[index]
                                          : queue_wait_times(stages[index].m_pool);
            estimate.m_wait = late ? waits.m_late : waits.m_on_time;
            estimate.m_service_time =
                stage_service_time(*pool->second.m_pieces, piece_count(current, index));
            if (current.m_stage_done[index])
            {
                estimate = {};
            }
            else if (current.m_stage_submitted[index])
            {
                milliseconds passed = ms_between(current.m_submitted_at[index], now());
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
    const auto path = estimate_path(*current.m_route, estimate_stages(current, false),
                                    current.m_metadata.m_pieces, milliseconds{0});
    for (std::uint32_t index = 0; index < stages.size(); ++index)
    {
        const std::uint32_t pieces = piece_count(current, index);
        if (pieces == 0)
        {
            continue;
        }
        milliseconds eta{0};
        for (const std::uint32_t predecessor : stages[index].m_predecessors)
        {
            eta =
                std::max(eta, predecessor < index ? path.m_stage_ends[predecessor] : eta);
        }
        ++current.m_pending_forecasts;
        current.m_job_numbers[index] =
            m_stage_client.announce(stages[index].m_pool, pieces, eta,
                                    [&current, index](queue_waits waits)
                                    {
                                        current.m_forecasts[index] = waits;
                                        --current.m_pending_forecasts;
                                        if (current.m_pending_forecasts == 0)
                                        {
                                            current.m_wake_timer.cancel();
                                        }
                                    });
    }
}

asio::awaitable<std::optional<milliseconds>>
request_relay::announce_and_check_deadline(request& current)
{
    const auto& stages = current.m_route->m_stages;
    if (stages.empty())
    {
        co_return std::nullopt;
    }
    for (std::size_t index = 0; index < stages.size(); ++index)
    {
        // Used until the forecast arrives.
        current.m_forecasts.push_back(queue_wait_times(stages[index].m_pool));
    }
    announce_stages(current);
    if (current.m_pending_forecasts > 0)
    {
        current.m_wake_timer.expires_after(forecast_timeout);
        boost::system::error_code ignored;
        co_await current.m_wake_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return deadline_excess_from_forecast(current);
}

std::optional<milliseconds> request_relay::deadline_excess_from_forecast(request& current)
{
    const milliseconds first_token_time = expected_first_token_time(current);
    std::string waits;
    for (const queue_waits& wait : current.m_forecasts)
    {
        waits += waits.empty() ? "" : ",";
        waits += std::to_string(wait.m_on_time.count()) + '/' +
                 std::to_string(wait.m_late.count());
    }
    const auto on_time = estimate_path(*current.m_route, estimate_stages(current, false),
                                       current.m_metadata.m_pieces, first_token_time);
    log_event{"forecast"}
        .add("request", current.m_metadata.m_request)
        .add("waits_ms", waits)
        .add("missing", current.m_pending_forecasts)
        .add("answer_ms", first_token_time.count())
        .add("first_byte_ms", on_time.m_first_byte.count())
        .add("goal_ms", ms_between(now(), current.m_target_time).count());
    const time_point latest = std::min(current.m_target_time, end_of_stop(current));
    if (now() + on_time.m_first_byte <= latest)
    {
        return std::nullopt;
    }
    const auto late = estimate_path(*current.m_route, estimate_stages(current, true),
                                    current.m_metadata.m_pieces, first_token_time);
    const milliseconds output =
        std::min(max_output_time,
                 milliseconds{static_cast<std::int64_t>(
                     output_token_ms * current.m_metadata.m_prompt.m_output_tokens)});
    const milliseconds total_time_excess =
        late.m_first_byte + output - time_left(current);
    const milliseconds first_byte_excess =
        late.m_first_byte - ms_between(now(), current.m_first_byte_deadline);
    const milliseconds excess = std::max(total_time_excess, first_byte_excess);
    // Late jobs only get the capacity that is left, so their announcements are withdrawn
    // and do not count in the forecasts for other requests.
    cancel_stages(current);
    return excess > milliseconds{0} ? std::optional{excess} : std::nullopt;
}

void request_relay::prefer_data_centre_of_engine(request& current) const
{
    // If the prompt shares a long prefix with others, its results are produced in the
    // data centre of the chosen engine. Otherwise the engine is chosen where the results
    // are.
    const upstream* chosen = select_upstream(current, current.m_tried_upstreams);
    if (chosen != nullptr && shared_prefix_tokens(current.m_metadata.m_prompt) >=
                                 min_shared_tokens_for_single_home)
    {
        current.m_preferred_data_centre = chosen->m_entry.m_data_centre;
    }
}

input_location
request_relay::main_data_centre_of_results(const request& current,
                                           const std::vector<std::uint32_t>& stages) const
{
    std::unordered_map<std::string, data_centre_id> data_centre_by_address;
    for (const auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        data_centre_by_address.emplace(to_text(row.m_entry.m_address),
                                       row.m_entry.m_data_centre);
    }
    std::unordered_map<data_centre_id, std::uint64_t> bytes;
    for (const std::uint32_t index : stages)
    {
        for (const std::string& handle : current.m_results[index])
        {
            const auto position =
                data_centre_by_address.find(platform::producer_address(handle));
            if (position != data_centre_by_address.end())
            {
                bytes[position->second] +=
                    current.m_route->m_stages[index].m_result_bytes;
            }
        }
    }
    input_location largest;
    for (const auto& [data_centre, size] : bytes)
    {
        if (size > largest.m_bytes)
        {
            largest = {data_centre, size};
        }
    }
    return largest;
}

void request_relay::set_placement(const request& current, std::uint32_t stage,
                                  pieces_request& pieces) const
{
    pieces.m_preferred = current.m_preferred_data_centre;
    pieces.m_cross_bytes = pieces.m_result_bytes;
    // Each piece fetches all inputs separately.
    const input_location inputs = main_data_centre_of_results(
        current, current.m_route->m_stages[stage].m_predecessors);
    if (inputs.m_bytes > pieces.m_result_bytes)
    {
        pieces.m_preferred = inputs.m_data_centre;
        pieces.m_cross_bytes = inputs.m_bytes;
    }
}

bool request_relay::is_stage_ready(const request& current, std::uint32_t stage) const
{
    if (current.m_stage_submitted[stage])
    {
        return false;
    }
    const auto& predecessors = current.m_route->m_stages[stage].m_predecessors;
    return std::all_of(predecessors.begin(), predecessors.end(),
                       [&](std::uint32_t predecessor)
                       {
                           return predecessor >= current.m_stage_done.size() ||
                                  current.m_stage_done[predecessor];
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
        for (std::uint32_t index = 0; index < current.m_stage_done.size(); ++index)
        {
            if (is_stage_ready(current, index) && piece_count(current, index) == 0)
            {
                current.m_stage_submitted[index] = true;
                current.m_stage_done[index] = true;
                progress = true;
            }
        }
    }
}

void request_relay::submit_ready_stages(request& current)
{
    skip_empty_stages(current);
    const auto path =
        estimate_path(*current.m_route, estimate_stages(current, false),
                      current.m_metadata.m_pieces, expected_first_token_time(current));
    current.m_next_submit = time_point::max();
    for (std::uint32_t index = 0; index < current.m_stage_done.size(); ++index)
    {
        if (!is_stage_ready(current, index))
        {
            continue;
        }
        const milliseconds delay = submit_delay(current, path, index);
        if (delay > milliseconds{0})
        {
            current.m_next_submit = std::min(current.m_next_submit, now() + delay);
            continue;
        }
        submit_stage(current, index, path);
    }
}

pieces_request request_relay::make_pieces_request(const request& current,
                                                  std::uint32_t stage,
                                                  const path_estimate& path) const
{
    const route_stage& stage_config = current.m_route->m_stages[stage];
    const time_point at = now();
    pieces_request pieces;
    pieces.m_pool = stage_config.m_pool;
    pieces.m_request = current.m_metadata.m_request;
    pieces.m_stage.m_value = stage;
    pieces.m_pieces = piece_count(current, stage);
    pieces.m_key = current.m_metadata.m_piece_key;
    for (const std::uint32_t predecessor : stage_config.m_predecessors)
    {
        const auto& inputs = current.m_results[predecessor];
        pieces.m_inputs.insert(pieces.m_inputs.end(), inputs.begin(), inputs.end());
    }
    pieces.m_due_ms = static_cast<std::int32_t>(
        ms_between(at, current.m_target_time - path.m_remaining_time[stage]).count());
    pieces.m_deadline_ms =
        static_cast<std::int32_t>(ms_between(at, current.m_first_byte_deadline -
                                                     path.m_remaining_service_time[stage])
                                      .count());
    if (!pieces.m_inputs.empty())
    {
        pieces.m_deadline_ms =
            std::min(pieces.m_deadline_ms, input_deadline_ms(current, stage));
    }
    pieces.m_rank = combined_priority(current);
    pieces.m_result_bytes = stage_config.m_result_bytes;
    pieces.m_suspect =
        stage_of_request(identity_of(current), pieces.m_stage).m_key.m_value;
    pieces.m_is_trial = current.m_is_trial;
    set_placement(current, stage, pieces);
    return pieces;
}

void request_relay::submit_stage(request& current, std::uint32_t stage,
                                 const path_estimate& path)
{
    current.m_stage_submitted[stage] = true;
    current.m_submitted_at[stage] = now();
    if (current.m_job_numbers[stage] == 0)
    {
        current.m_job_numbers[stage] = m_stage_client.next_job_number();
    }
    m_stage_client.submit(
        current.m_job_numbers[stage], make_pieces_request(current, stage, path),
        [this, &current, stage](pieces_result result, const node_id& host)
        {
            on_stage_end(current, stage, std::move(result), host);
        });
}

void request_relay::on_stage_end(request& current, std::uint32_t stage,
                                 pieces_result result, const node_id& host)
{
    current.m_job_numbers[stage] = 0;
    if (result.m_outcome == pieces_outcome::done)
    {
        current.m_result_hosts[stage] = host;
        current.m_results[stage] = std::move(result.m_handles);
        current.m_stage_done[stage] = true;
        record_stage_end(current, stage);
        release_results(current, false);
        submit_ready_stages(current);
    }
    else
    {
        current.m_stage_failed = true;
        current.m_stage_failure = std::move(result);
    }
    current.m_wake_timer.cancel();
}

void request_relay::record_stage_end(request& current, std::uint32_t stage)
{
    const auto& pool = current.m_route->m_stages[stage].m_pool;
    const duration since = now() - current.m_arrived_at;
    const auto count = std::chrono::duration_cast<milliseconds>(since).count();
    current.m_stage_end_times += current.m_stage_end_times.empty() ? "" : ",";
    current.m_stage_end_times += std::to_string(stage) + ':' + std::to_string(count);
    m_state.m_metrics.observe("stage_end_seconds", {{"pool", pool.m_value}}, to_s(since));
}

milliseconds request_relay::submit_delay(const request& current,
                                         const path_estimate& path,
                                         std::uint32_t stage) const
{
    const auto finals = final_stages(*current.m_route);
    const bool is_final = std::find(finals.begin(), finals.end(), stage) != finals.end();
    if (!is_final)
    {
        return milliseconds{0};
    }
    milliseconds latest_end{0};
    for (const std::uint32_t other : finals)
    {
        latest_end = std::max(latest_end, path.m_stage_ends[other]);
    }
    const milliseconds delay =
        latest_end - path.m_stage_ends[stage] - submit_delay_margin;
    return delay < min_submit_delay ? milliseconds{0} : delay;
}

std::int32_t request_relay::input_deadline_ms(const request& current,
                                              std::uint32_t stage) const
{
    milliseconds ttl = milliseconds::max();
    for (const std::uint32_t predecessor :
         current.m_route->m_stages[stage].m_predecessors)
    {
        const auto& producer_pool = current.m_route->m_stages[predecessor].m_pool;
        const auto producer = current.m_routing->m_pools.find(producer_pool);
        if (producer != current.m_routing->m_pools.end() && producer->second.m_pieces)
        {
            ttl = std::min(ttl, producer->second.m_pieces->m_result_ttl);
        }
    }
    constexpr milliseconds max_ttl{60000};
    return static_cast<std::int32_t>(
        (std::min(ttl, max_ttl) - result_ttl_margin).count());
}

asio::awaitable<bool> request_relay::run_stages(request& current)
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
            const auto outcome = current.m_stage_failure.m_outcome;
            const milliseconds wait{current.m_stage_failure.m_retry_after_ms};
            if (outcome == pieces_outcome::input_gone &&
                current.m_stage_restarts < max_stage_restarts)
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
        if (now() + min_time_for_attempt > current.m_first_byte_deadline)
        {
            co_await refuse(current, milliseconds{0}, "stages_late");
            co_return false;
        }
        if (now() >= current.m_next_submit)
        {
            submit_ready_stages(current);
        }
        current.m_wake_timer.expires_at(std::min(
            current.m_first_byte_deadline - min_time_for_attempt, current.m_next_submit));
        boost::system::error_code ignored;
        co_await current.m_wake_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    current.m_input_location =
        main_data_centre_of_results(current, final_stages(*current.m_route));
    co_return !current.m_caller_gone;
}

void request_relay::restart_stages(request& current)
{
    cancel_stages(current);
    release_results(current, true);
    ++current.m_stage_restarts;
    current.m_first_byte_deadline = next_byte_deadline(current);
    current.m_stage_failed = false;
    std::fill(current.m_stage_done.begin(), current.m_stage_done.end(), false);
    std::fill(current.m_stage_submitted.begin(), current.m_stage_submitted.end(), false);
    submit_ready_stages(current);
}

void request_relay::cancel_stages(request& current)
{
    for (std::uint64_t& job : current.m_job_numbers)
    {
        if (job != 0)
        {
            m_stage_client.cancel(job);
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
    for (std::uint32_t index = 0; index < stages.size(); ++index)
    {
        bool has_consumer = false;
        bool still_needed = false;
        for (std::uint32_t other = 0; other < stages.size(); ++other)
        {
            const auto& predecessors = stages[other].m_predecessors;
            const bool uses = std::find(predecessors.begin(), predecessors.end(),
                                        index) != predecessors.end();
            has_consumer = has_consumer || uses;
            still_needed = still_needed || (uses && !current.m_stage_done[other]);
        }
        const bool releasable = all || (has_consumer && !still_needed);
        if (releasable && !current.m_results[index].empty())
        {
            m_stage_client.release_results(stages[index].m_pool,
                                           std::exchange(current.m_results[index], {}),
                                           current.m_result_hosts[index]);
        }
    }
}

bool request_relay::has_final_inputs(const request& current) const
{
    const auto finals = final_stages(*current.m_route);
    return std::all_of(finals.begin(), finals.end(),
                       [&](std::uint32_t index)
                       {
                           return piece_count(current, index) == 0 ||
                                  !current.m_results[index].empty();
                       });
}

std::vector<std::string> request_relay::final_inputs(const request& current) const
{
    std::vector<std::string> inputs;
    for (const std::uint32_t index : final_stages(*current.m_route))
    {
        const auto& handles = current.m_results[index];
        inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
    return inputs;
}

} // namespace geraniumdoor::edge
