#include "request_relay.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Time to return that a host names which does not know a configuration yet.
constexpr milliseconds start_retry{300};

/// Time in which the last bytes of an answer still reach the caller.
constexpr milliseconds answer_margin{10};

/// Time for the forecasts of the queues. An answer of a sound host takes 3 ms.
constexpr milliseconds forecast_limit{40};

/// Time below which another attempt cannot succeed.
constexpr milliseconds least_attempt{20};

/// Time for a connection to an upstream. A sound one answers within 4 ms; the system
/// repeats a lost packet after 200 ms or more.
constexpr milliseconds connect_limit{350};

/// Answers up to this size are read whole before they are handed on, so that one that is
/// cut off can be asked for again.
constexpr std::size_t whole_answer_bytes = std::size_t{256} * 1024;

/// Share of the response-time goal after which an idempotent request is sent to another
/// upstream.
constexpr double give_up_share = 0.6;
constexpr milliseconds shortest_give_up{60};

/// A stream is resumed elsewhere when its first event takes this multiple of the expected
/// time, and this much more.
constexpr double late_stream_factor = 2.5;
constexpr milliseconds late_stream_extra{400};

/// Pause beyond the stream's goal after which it is resumed elsewhere.
constexpr milliseconds pause_extra{150};

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

http_limits call_limits()
{
    http_limits limits;
    limits.m_header_bytes = std::size_t{32} * 1024;
    return limits;
}

milliseconds ms_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

bool is_stream(repeatability repeat)
{
    return repeat == repeatability::stream_once ||
           repeat == repeatability::stream_resumable;
}

/// Time after which callers abandon a stream without an event. Source: the platform's
/// page on requests.
milliseconds stream_patience(const route& chosen)
{
    constexpr milliseconds least{2000};
    constexpr int goals = 4;
    constexpr int pauses = 8;
    return std::max({least, chosen.m_goal * goals, chosen.m_pause_goal * pauses});
}

std::uint32_t rank_of(const relayed_request& current)
{
    // The workspace's rank goes before the route's.
    return 2 * current.m_workspace.m_priority + current.m_route->m_priority;
}

std::uint32_t pieces_of(const relayed_request& current, std::size_t stage)
{
    const auto& pieces = current.m_head.m_pieces;
    return stage < pieces.size() ? pieces[stage] : 0;
}

bool has_run(attempt_end end)
{
    return end != attempt_end::not_sent && end != attempt_end::declined &&
           end != attempt_end::input_gone && end != attempt_end::wrong_upstream;
}

/// Id of an event of a stream; empty when it has none.
std::string event_id(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size())
    {
        const auto end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.empty() && line.back() == '\r')
        {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:"))
        {
            line.remove_prefix(3);
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            return std::string{line};
        }
    }
    return {};
}

/// Whether an event was already delivered before the stream was resumed.
bool is_repeated(const std::string& id, const std::string& last)
{
    std::uint64_t own = 0;
    std::uint64_t delivered = 0;
    const auto own_end = std::from_chars(id.data(), id.data() + id.size(), own);
    const auto last_end =
        std::from_chars(last.data(), last.data() + last.size(), delivered);
    return own_end.ec == std::errc{} && last_end.ec == std::errc{} && own <= delivered;
}

} // namespace

request_relay::request_relay(edge_state& state, stage_client& stages,
                             const stage_service& queues)
    : m_state{state}, m_stages{stages}, m_queues{queues}
{
}

asio::awaitable<void> request_relay::serve(http_exchange& exchange)
{
    request current{exchange, m_state.m_executor};
    current.m_arrived = now();
    ++m_active;
    exchange.on_peer_closed(
        [&current]
        {
            current.m_caller_gone = true;
            if (current.m_call)
            {
                current.m_call->close();
            }
            current.m_wake.cancel();
        });
    auto rejection = accept(current);
    if (rejection)
    {
        co_await reject(current, std::move(*rejection));
    }
    else
    {
        co_await run(current);
    }
    cancel_stages(current);
    release_results(current, true);
    if (current.m_caller_gone)
    {
        answer_caller_gone(current);
    }
    --m_active;
}

void request_relay::answer_caller_gone(request& current)
{
    log_end(current, "caller_gone", 0);
    current.m_exchange.drop();
}

std::optional<http_response> request_relay::accept(request& current)
{
    const http_request& asked = current.m_exchange.request();
    auto head = platform::read_caller_head(asked);
    if (!is_ok(head))
    {
        current.m_detail = error_of(head).m_detail;
        return platform::failure(400, current.m_detail);
    }
    current.m_head = value_of(std::move(head));
    current.m_routing = m_state.m_routing;
    if (!current.m_routing || !m_state.m_registry_known)
    {
        current.m_detail = "no configuration yet";
        return platform::refusal(start_retry, current.m_detail);
    }
    current.m_route =
        find_route(*current.m_routing, current.m_head.m_host, asked.m_target);
    if (current.m_route == nullptr)
    {
        current.m_detail = "no route";
        return platform::failure(404, current.m_detail);
    }
    const std::size_t stages = current.m_route->m_stages.size();
    current.m_results.resize(stages);
    current.m_jobs.assign(stages, 0);
    current.m_stage_done.assign(stages, false);
    current.m_stage_submitted.assign(stages, false);
    current.m_submitted_at.assign(stages, time_point{});
    if (current.m_routing->m_keys_required && !current.m_route->m_public)
    {
        const auto owner = current.m_routing->m_keys.find(current.m_head.m_key);
        if (owner == current.m_routing->m_keys.end())
        {
            current.m_detail = "unknown key";
            return platform::failure(401, current.m_detail);
        }
        current.m_workspace = owner->second;
    }
    current.m_pool = choose_pool(*current.m_route, current.m_head.m_request);
    const milliseconds wait =
        std::min(current.m_head.m_deadline.value_or(current.m_route->m_timeout),
                 current.m_route->m_timeout);
    current.m_deadline = current.m_arrived + wait - answer_margin;
    current.m_goal = current.m_arrived + current.m_route->m_goal;
    current.m_first_byte_deadline = current.m_deadline;
    if (is_stream(current.m_route->m_repeat))
    {
        current.m_first_byte_deadline = std::min(
            current.m_deadline,
            current.m_arrived + stream_patience(*current.m_route) - answer_margin);
    }
    current.m_attempts.m_repeat = current.m_route->m_repeat;
    current.m_attempts.m_max_upstreams = current.m_route->m_max_upstreams;
    return std::nullopt;
}

asio::awaitable<void> request_relay::run(request& current)
{
    const auto excess = co_await path_excess(current);
    if (current.m_caller_gone)
    {
        co_return;
    }
    if (excess)
    {
        co_await refuse(current, *excess, "path_too_long");
        co_return;
    }
    choose_place(current);
    const bool prepared = co_await prepare(current);
    if (prepared)
    {
        co_await attempt_all(current);
    }
}

asio::awaitable<void> request_relay::reject(request& current, http_response response)
{
    const unsigned status = response.m_status;
    current.m_answered = true;
    log_end(current, "rejected", status);
    co_await current.m_exchange.respond(std::move(response));
}

asio::awaitable<void> request_relay::refuse(request& current, milliseconds until_capacity,
                                            const char* reason)
{
    cancel_stages(current);
    release_results(current, true);
    current.m_detail = reason;
    if (current.m_attempts.m_begun)
    {
        // A stream whose inputs could not be made again for its continuation.
        log_end(current, "cut_off", 0);
        current.m_exchange.drop();
        co_return;
    }
    current.m_answered = true;
    const milliseconds back = time_to_return(until_capacity, time_left(current));
    log_end(current, "refused", 503);
    co_await current.m_exchange.respond(platform::refusal(back, reason));
}

milliseconds request_relay::time_left(const request& current) const
{
    return ms_between(now(), current.m_deadline);
}

queue_waits request_relay::waits_at(const pool_id& pool) const
{
    const node_id host = queue_host_of(m_state, pool);
    if (host == m_state.m_own.m_node)
    {
        return m_queues.waits_at(pool);
    }
    const auto hash = short_hash(pool.m_value);
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
            estimate.m_work = stage_work(*pool->second.m_pieces, pieces_of(current, at));
            if (current.m_stage_done[at])
            {
                estimate = {};
            }
            else if (current.m_stage_submitted[at])
            {
                milliseconds passed = ms_between(current.m_submitted_at[at], now());
                const milliseconds waited = std::min(passed, estimate.m_wait);
                estimate.m_wait -= waited;
                estimate.m_work -= std::min(passed - waited, estimate.m_work);
            }
        }
        estimates.push_back(estimate);
    }
    return estimates;
}

milliseconds request_relay::expected_answer(const request& current) const
{
    const upstream* chosen = choose(current);
    if (chosen == nullptr || !is_stream(current.m_route->m_repeat))
    {
        return milliseconds{0};
    }
    return milliseconds{static_cast<std::int64_t>(
        expected_first_token_ms(*chosen, current.m_head.m_prompt, false))};
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
        for (const std::uint32_t before : stages[at].m_after)
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
    if (chosen != nullptr && shared_tokens(current.m_head.m_prompt) >= few_shared_tokens)
    {
        current.m_results_wanted_at = chosen->m_entry.m_data_centre;
    }
}

input_place request_relay::place_of(const request& current,
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
            const auto place = places.find(platform::maker_of(handle));
            if (place != places.end())
            {
                bytes[place->second] += current.m_route->m_stages[at].m_result_bytes;
            }
        }
    }
    input_place most;
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
    const input_place inputs =
        place_of(current, current.m_route->m_stages[stage].m_after);
    if (inputs.m_bytes > wanted.m_result_bytes)
    {
        wanted.m_preferred = inputs.m_data_centre;
        wanted.m_cross_bytes = inputs.m_bytes;
    }
}

const upstream* request_relay::choose(const request& current) const
{
    const auto pool = current.m_routing->m_pools.find(current.m_pool);
    const bool is_engine =
        pool != current.m_routing->m_pools.end() && pool->second.m_engine.has_value();
    if (is_engine)
    {
        return choose_engine(m_state.m_upstreams, current.m_pool, current.m_head.m_prompt,
                             *pool->second.m_engine, current.m_tried, current.m_inputs,
                             now());
    }
    return choose_plain(m_state.m_upstreams, current.m_pool,
                        m_state.m_settings.m_data_centre, current.m_tried, now());
}

bool request_relay::stage_is_ready(const request& current, std::uint32_t stage) const
{
    if (current.m_stage_submitted[stage])
    {
        return false;
    }
    const auto& after = current.m_route->m_stages[stage].m_after;
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

void request_relay::submit_ready_stages(request& current)
{
    const auto& stages = current.m_route->m_stages;
    bool progress = true;
    while (progress)
    {
        progress = false;
        for (std::uint32_t at = 0; at < stages.size(); ++at)
        {
            if (stage_is_ready(current, at) && pieces_of(current, at) == 0)
            {
                current.m_stage_submitted[at] = true;
                current.m_stage_done[at] = true;
                progress = true;
            }
        }
    }
    const auto path = estimate_path(*current.m_route, stage_estimates(current, false),
                                    current.m_head.m_pieces, expected_answer(current));
    const time_point at_now = now();
    current.m_next_submit = time_point::max();
    for (std::uint32_t at = 0; at < stages.size(); ++at)
    {
        if (!stage_is_ready(current, at))
        {
            continue;
        }
        const milliseconds hold = time_to_hold(current, path, at);
        if (hold > milliseconds{0})
        {
            current.m_next_submit = std::min(current.m_next_submit, at_now + hold);
            continue;
        }
        current.m_stage_submitted[at] = true;
        current.m_submitted_at[at] = at_now;
        pieces_request wanted;
        wanted.m_pool = stages[at].m_pool;
        wanted.m_request = current.m_head.m_request;
        wanted.m_stage.m_value = at;
        wanted.m_pieces = pieces_of(current, at);
        wanted.m_key = current.m_head.m_piece_key;
        for (const std::uint32_t before : stages[at].m_after)
        {
            const auto& inputs = current.m_results[before];
            wanted.m_inputs.insert(wanted.m_inputs.end(), inputs.begin(), inputs.end());
        }
        wanted.m_due_ms = static_cast<std::int32_t>(
            ms_between(at_now, current.m_goal - path.m_time_after[at]).count());
        wanted.m_deadline_ms = static_cast<std::int32_t>(
            ms_between(at_now, current.m_first_byte_deadline - path.m_work_after[at])
                .count());
        if (!wanted.m_inputs.empty())
        {
            wanted.m_deadline_ms =
                std::min(wanted.m_deadline_ms, input_life_ms(current, at));
        }
        wanted.m_rank = rank_of(current);
        wanted.m_result_bytes = stages[at].m_result_bytes;
        place_stage(current, at, wanted);
        if (current.m_jobs[at] == 0)
        {
            current.m_jobs[at] = m_stages.new_job();
        }
        m_stages.submit(current.m_jobs[at], std::move(wanted),
                        [this, &current, at](pieces_result result)
                        {
                            current.m_jobs[at] = 0;
                            if (result.m_outcome == pieces_outcome::done)
                            {
                                current.m_results[at] = std::move(result.m_handles);
                                current.m_stage_done[at] = true;
                                note_stage_end(current, at);
                                release_results(current, false);
                                submit_ready_stages(current);
                            }
                            else
                            {
                                current.m_stage_failed = true;
                                current.m_failed_stage = std::move(result);
                            }
                            current.m_wake.cancel();
                        });
    }
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
    for (const std::uint32_t before : current.m_route->m_stages[stage].m_after)
    {
        const auto& pool_name = current.m_route->m_stages[before].m_pool;
        const auto known = current.m_routing->m_pools.find(pool_name);
        if (known != current.m_routing->m_pools.end() && known->second.m_pieces)
        {
            life = std::min(life, known->second.m_pieces->m_result_life);
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
            const auto& after = stages[other].m_after;
            const bool takes = std::find(after.begin(), after.end(), at) != after.end();
            taken = taken || takes;
            waiting = waiting || (takes && !current.m_stage_done[other]);
        }
        const bool needless = all || (taken && !waiting);
        if (needless && !current.m_results[at].empty())
        {
            m_stages.release(stages[at].m_pool, std::exchange(current.m_results[at], {}));
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

asio::awaitable<void> request_relay::attempt_all(request& current)
{
    bool first = true;
    while (!current.m_caller_gone)
    {
        const upstream* chosen = choose(current);
        if (chosen == nullptr && !current.m_tried.empty())
        {
            // Every upstream was tried: a declined request may go to one again.
            current.m_tried.clear();
            chosen = current.m_attempts.m_ran == 0 ? choose(current) : nullptr;
        }
        next_step step = next_step::fail;
        attempt_end end = attempt_end::not_sent;
        if (chosen != nullptr && time_left(current) >= least_attempt)
        {
            if (first)
            {
                note_first_send(m_state.m_retries, current.m_pool, now());
            }
            first = false;
            const time_point began = now();
            current.m_sent = began;
            const upstream_id id = chosen->m_entry.m_id;
            end = co_await attempt(current, *chosen);
            note_attempt(current, end, began);
            if (current.m_caller_gone)
            {
                co_return;
            }
            current.m_tried.push_back(id);
            current.m_attempts.m_ran += has_run(end) ? 1 : 0;
            current.m_attempts.m_not_run += has_run(end) ? 0 : 1;
            current.m_attempts.m_time = time_left(current) >= least_attempt;
            current.m_attempts.m_budget =
                may_repeat(m_state.m_retries, current.m_pool,
                           hosts_that_may_send(m_state.m_hosts, now()), now());
            step = after_attempt(end, current.m_attempts);
        }
        else if (current.m_attempts.m_begun)
        {
            step = next_step::cut_off;
        }
        else if (current.m_attempts.m_ran == 0)
        {
            step = next_step::refuse;
        }
        switch (step)
        {
        case next_step::try_other:
        case next_step::resume_other:
        case next_step::prepare_again:
        {
            if (end != attempt_end::not_sent)
            {
                note_repeat(m_state.m_retries, current.m_pool, now());
            }
            if (step != next_step::prepare_again && has_inputs(current))
            {
                continue;
            }
            restart_stages(current);
            const bool prepared = co_await prepare(current);
            if (!prepared)
            {
                co_return;
            }
            continue;
        }
        case next_step::deliver:
            if (current.m_answer)
            {
                const unsigned status = current.m_answer->m_status;
                current.m_answered = true;
                log_end(current, "answered", status);
                co_await current.m_exchange.respond(std::move(*current.m_answer));
            }
            else
            {
                log_end(current, "answered", 200);
            }
            co_return;
        case next_step::refuse:
            co_await refuse(current, milliseconds{100}, "no_upstream_ran_it");
            co_return;
        case next_step::cut_off:
            log_end(current, "cut_off", 0);
            current.m_exchange.drop();
            co_return;
        case next_step::fail:
            co_await fail(current);
            co_return;
        }
    }
}

asio::awaitable<void> request_relay::fail(request& current)
{
    current.m_answered = true;
    if (current.m_answer)
    {
        // A failure of an upstream says more than one of the system's own.
        log_end(current, "answered", current.m_answer->m_status);
        co_await current.m_exchange.respond(std::move(*current.m_answer));
        co_return;
    }
    const bool late = time_left(current) < least_attempt;
    const unsigned status = late ? 504 : 502;
    log_end(current, "failed", status);
    co_await current.m_exchange.respond(
        platform::failure(status, late ? "no answer in time" : "the upstream failed"));
}

milliseconds request_relay::first_byte_limit(const request& current) const
{
    const milliseconds left = time_left(current);
    const bool again = is_repeatable(current.m_route->m_repeat) &&
                       current.m_attempts.m_ran + 1 < current.m_route->m_max_upstreams;
    if (!again)
    {
        return left;
    }
    const double goal = static_cast<double>(current.m_route->m_goal.count());
    if (current.m_route->m_repeat == repeatability::idempotent)
    {
        const milliseconds limit{static_cast<std::int64_t>(goal * give_up_share)};
        return std::min(left, std::max(limit, shortest_give_up));
    }
    const double expected = static_cast<double>(expected_answer(current).count());
    const milliseconds limit{static_cast<std::int64_t>(expected * late_stream_factor)};
    return std::min(left, limit + late_stream_extra);
}

asio::awaitable<attempt_end> request_relay::attempt(request& current,
                                                    const upstream& chosen)
{
    const upstream_id id = chosen.m_entry.m_id;
    const ip_endpoint address = chosen.m_entry.m_address;
    const auto call = std::make_shared<http_call>(m_state.m_executor, call_limits());
    current.m_call = call;
    current.m_upstream = id;
    const auto tokens =
        current.m_head.m_prompt.m_prompt_tokens + current.m_head.m_prompt.m_output_tokens;
    const auto count_running = [&](bool begin)
    {
        upstream* row = m_state.m_upstreams.m_rows.find(id);
        if (row == nullptr)
        {
            return;
        }
        if (begin)
        {
            note_sent(*row, now());
            ++row->m_running;
            row->m_running_tokens += tokens;
        }
        else
        {
            // A restart in between has set the counts back.
            row->m_running -= std::min<std::uint32_t>(row->m_running, 1);
            row->m_running_tokens -=
                std::min<std::uint64_t>(row->m_running_tokens, tokens);
        }
    };
    count_running(true);
    const auto connected = co_await call->connect(
        to_tcp(address), std::min(connect_limit, time_left(current)));
    if (!is_ok(connected) || current.m_caller_gone)
    {
        count_running(false);
        current.m_call.reset();
        co_return attempt_end::not_sent;
    }
    platform::upstream_head head;
    head.m_upstream = id;
    head.m_workspace = current.m_workspace.m_id;
    head.m_left = time_left(current);
    head.m_inputs = final_inputs(current);
    head.m_after_event = current.m_last_event;
    if (is_stream(current.m_route->m_repeat))
    {
        head.m_urgency = engine_urgency(current.m_head.m_prompt);
    }
    const auto answer =
        co_await call->send(platform::to_upstream(current.m_exchange.request(), head),
                            first_byte_limit(current));
    attempt_end end = attempt_end::broken;
    if (is_ok(answer))
    {
        end = co_await read_answer(current, value_of(answer));
    }
    else if (error_of(answer).m_kind == http_error_kind::malformed)
    {
        end = attempt_end::unusable;
    }
    call->close();
    current.m_call.reset();
    count_running(false);
    co_return end;
}

void request_relay::note_attempt(request& current, attempt_end end, time_point began)
{
    const time_point at = now();
    upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    m_state.m_metrics.add("attempts", {{"end", to_text(end)}});
    if (end != attempt_end::answered)
    {
        log_event{"attempt"}
            .add("request", current.m_head.m_request)
            .add("upstream", current.m_upstream)
            .add("end", to_text(end))
            .add("caller_gone", current.m_caller_gone)
            .add("took_ms", ms_between(began, at).count());
    }
    if (row == nullptr || current.m_caller_gone)
    {
        return;
    }
    switch (end)
    {
    case attempt_end::not_sent:
    case attempt_end::wrong_upstream:
    case attempt_end::broken:
    case attempt_end::broken_stream:
    case attempt_end::unusable:
        note_unreachable(*row, at);
        break;
    case attempt_end::answered:
    case attempt_end::answered_with_fault:
    {
        const time_point first = std::max(began, current.m_first_byte);
        const double took = std::max(1.0, to_ms(first - began));
        double& usual = m_usual_ms[current.m_pool];
        usual = usual == 0 ? took : usual + sample_weight * (took - usual);
        constexpr double most = 8;
        const double slowness = std::clamp(took / std::max(1.0, usual), 0.3, most);
        note_answer(*row, end == attempt_end::answered, slowness);
        break;
    }
    case attempt_end::declined:
    case attempt_end::input_gone:
        break;
    }
}

asio::awaitable<attempt_end> request_relay::read_answer(request& current,
                                                        http_answer_head head)
{
    const auto facts = platform::read_answer_head(head, current.m_head.m_request);
    if (facts.m_foreign)
    {
        co_return attempt_end::unusable;
    }
    if (head.m_status == 421)
    {
        co_return attempt_end::wrong_upstream;
    }
    if (facts.m_not_run && head.m_status >= 400)
    {
        co_return head.m_status == 409 ? attempt_end::input_gone : attempt_end::declined;
    }
    if (!facts.m_genuine)
    {
        co_return attempt_end::unusable;
    }
    const bool streams = is_stream(current.m_route->m_repeat) && head.m_status == 200;
    if (streams)
    {
        const auto end = co_await relay_stream(current, head, {});
        co_return end;
    }
    const auto end = co_await relay_whole(current, std::move(head));
    co_return end;
}

asio::awaitable<attempt_end> request_relay::relay_whole(request& current,
                                                        http_answer_head head)
{
    if (current.m_attempts.m_begun)
    {
        // The caller has part of a stream: another kind of answer cannot follow.
        co_return attempt_end::unusable;
    }
    std::string body;
    bool more = true;
    while (more)
    {
        const auto part = co_await current.m_call->read_part(time_left(current));
        if (!is_ok(part))
        {
            co_return attempt_end::broken;
        }
        if (current.m_first_byte == time_point{})
        {
            current.m_first_byte = now();
        }
        more = !value_of(part).empty();
        body += value_of(part);
        if (body.size() > whole_answer_bytes)
        {
            const auto end = co_await relay_stream(current, head, std::move(body));
            co_return end;
        }
    }
    http_response response;
    response.m_status = head.m_status;
    response.m_fields = platform::fields_for_caller(head.m_fields);
    response.m_body = std::move(body);
    current.m_answer = std::move(response);
    co_return head.m_status >= 500 ? attempt_end::answered_with_fault
                                   : attempt_end::answered;
}

asio::awaitable<attempt_end> request_relay::relay_stream(request& current,
                                                         const http_answer_head& head,
                                                         std::string begun)
{
    const bool resumes = current.m_attempts.m_begun;
    const bool may_resume = current.m_route->m_repeat == repeatability::stream_resumable;
    if (!resumes)
    {
        current.m_answer.reset();
        current.m_answered = true;
        current.m_attempts.m_begun = true;
        // The length of a stream that may be resumed is not known.
        co_await current.m_exchange.begin_answer(
            head.m_status, platform::fields_for_caller(head.m_fields),
            may_resume ? std::nullopt : head.m_length);
    }
    current.m_partial_event.clear();
    std::string part = std::move(begun);
    while (true)
    {
        if (!part.empty())
        {
            if (current.m_first_byte == time_point{})
            {
                current.m_first_byte = now();
                // The engine has its inputs; a stream that is resumed has them made
                // again.
                release_results(current, true);
            }
            const bool passed = co_await pass_on(current, std::move(part));
            if (!passed)
            {
                current.m_caller_gone = true;
                co_return attempt_end::broken_stream;
            }
        }
        const bool again =
            may_resume && current.m_attempts.m_ran + 1 < current.m_route->m_max_upstreams;
        const milliseconds pause =
            again ? std::min(time_left(current),
                             current.m_route->m_pause_goal + pause_extra)
                  : time_left(current);
        auto next = co_await current.m_call->read_part(pause);
        if (!is_ok(next))
        {
            co_return attempt_end::broken_stream;
        }
        if (value_of(next).empty())
        {
            break;
        }
        part = value_of(std::move(next));
    }
    if (!current.m_partial_event.empty())
    {
        co_await current.m_exchange.write_part(std::move(current.m_partial_event));
    }
    co_await current.m_exchange.end_stream();
    co_return attempt_end::answered;
}

asio::awaitable<bool> request_relay::pass_on(request& current, std::string part)
{
    if (current.m_route->m_repeat != repeatability::stream_resumable)
    {
        const bool written = co_await current.m_exchange.write_part(std::move(part));
        co_return written;
    }
    // Only whole events go on, so that a stream can be resumed after any of them.
    current.m_partial_event += part;
    std::string whole;
    std::size_t start = 0;
    for (auto end = current.m_partial_event.find("\n\n"); end != std::string::npos;
         end = current.m_partial_event.find("\n\n", start))
    {
        const std::string_view event =
            std::string_view{current.m_partial_event}.substr(start, end + 2 - start);
        const std::string id = event_id(event);
        if (id.empty() || !is_repeated(id, current.m_last_event))
        {
            whole += event;
            current.m_last_event = id.empty() ? current.m_last_event : id;
        }
        start = end + 2;
    }
    current.m_partial_event.erase(0, start);
    if (whole.empty())
    {
        co_return true;
    }
    const bool written = co_await current.m_exchange.write_part(std::move(whole));
    co_return written;
}

void request_relay::log_end(const request& current, const char* outcome, unsigned status)
{
    const time_point at = now();
    const bool routed = current.m_route != nullptr;
    log_event line{"request"};
    line.add("request", current.m_head.m_request)
        .add("route", routed ? current.m_route->m_name : std::string{})
        .add("workspace", current.m_workspace.m_id)
        .add("version", current.m_routing ? current.m_routing->m_version.m_value : 0)
        .add("outcome", outcome)
        .add("status", status)
        .add("upstream", current.m_upstream)
        .add("ran", current.m_attempts.m_ran)
        .add("not_run", current.m_attempts.m_not_run)
        .add("total_ms", ms_between(current.m_arrived, at).count());
    if (current.m_first_byte != time_point{})
    {
        line.add("first_byte_ms",
                 ms_between(current.m_arrived, current.m_first_byte).count());
    }
    if (current.m_deadline != time_point{})
    {
        line.add("left_ms", time_left(current).count());
    }
    if (!current.m_stage_times.empty())
    {
        line.add("stages", current.m_stage_times);
    }
    if (current.m_sent != time_point{})
    {
        line.add("sent_ms", ms_between(current.m_arrived, current.m_sent).count());
    }
    if (!current.m_detail.empty())
    {
        line.add("reason", current.m_detail);
    }
    const metric_labels labels{{"route", routed ? current.m_route->m_name : "none"},
                               {"outcome", outcome}};
    m_state.m_metrics.add("requests", labels);
    m_state.m_metrics.observe("request_seconds", {{"outcome", outcome}},
                              to_s(at - current.m_arrived));
}

} // namespace geraniumdoor::edge
