#include "relay_util.hpp"
#include "request_relay.hpp"
#include "upstream_notices.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Responses up to this size are buffered before they are forwarded, so that the request
/// can be repeated if the response is truncated.
constexpr std::size_t max_buffered_response_bytes = std::size_t{256} * 1024;

/// Responses up to this size are buffered in any case.
constexpr std::size_t max_uncounted_answer_bytes = std::size_t{16} * 1024;

/// The response to an idempotent request is overdue after this share of its latency
/// target, but not before the minimum.
constexpr double usual_share_of_target = 0.6;
constexpr milliseconds min_usual_head_time{60};

/// The head of a stream is overdue after this multiple of the expected time to the first
/// token plus the margin.
constexpr double response_head_factor = 2.5;
constexpr milliseconds response_head_margin{400};

/// Retry-after time when no upstream has run a request.
constexpr milliseconds declined_retry_after{100};

http_limits upstream_http_limits()
{
    http_limits limits;
    limits.m_header_bytes = std::size_t{32} * 1024;
    return limits;
}

/// Ids of the parts of a prompt, for the log.
std::string part_ids(const prompt& request_prompt)
{
    std::string ids;
    for (const prompt_part& part : request_prompt.m_parts)
    {
        ids += ids.empty() ? "" : ",";
        ids += part.m_id;
    }
    return ids;
}

/// When the latest attempt last made progress: its latest event, or its start.
time_point latest_progress(const relayed_request& current)
{
    return std::max(current.m_last_sent_at, current.m_last_event_at);
}

/// Whether the body is a stream of events, which is assumed unless the head says
/// otherwise.
bool has_events(const http_answer_head& head)
{
    constexpr std::string_view event_stream = "text/event-stream";
    const std::string_view type = find_field(head.m_fields, "Content-Type");
    return type.empty() || boost::algorithm::istarts_with(type, event_stream);
}

bool begins_stream(const relayed_request& current, const http_answer_head& head)
{
    return is_stream(current.m_route->m_retry_safety) && head.m_status == 200 &&
           has_events(head);
}

} // namespace

milliseconds request_relay::expected_first_token_time(const request& current) const
{
    const upstream* chosen = select_upstream(current, current.m_tried_upstreams);
    if (chosen == nullptr || !is_stream(current.m_route->m_retry_safety))
    {
        return milliseconds{0};
    }
    return milliseconds{static_cast<std::int64_t>(
        expected_first_token_ms(*chosen, current.m_metadata.m_prompt, false))};
}

double request_relay::pace_of(const request& current) const
{
    const auto pace = m_engine_paces.find(current.m_pool);
    return pace == m_engine_paces.end() ? 1 : std::max(1.0, pace->second.m_ratio);
}

const upstream*
request_relay::select_upstream(const request& current,
                               const std::vector<upstream_id>& tried) const
{
    const auto pool = current.m_routing->m_pools.find(current.m_pool);
    const bool is_engine =
        pool != current.m_routing->m_pools.end() && pool->second.m_engine.has_value();
    const auto choose = [&](bool is_trial)
    {
        if (is_engine)
        {
            return choose_engine(m_state.m_upstreams, current.m_pool,
                                 current.m_metadata.m_prompt, *pool->second.m_engine,
                                 tried, current.m_input_location, now(),
                                 current.m_stream_version, is_trial);
        }
        return choose_upstream(m_state.m_upstreams, current.m_pool,
                               m_state.m_settings.m_data_centre, tried, now(),
                               current.m_stream_version, is_trial);
    };
    // What fails at a version that is being tried is repeated at one in force.
    const bool is_trial =
        tried.empty() && !current.m_stream_version &&
        m_rollouts.is_selected(current.m_pool, current.m_metadata.m_request);
    const upstream* chosen = is_trial ? choose(true) : nullptr;
    return chosen != nullptr ? chosen : choose(false);
}

asio::awaitable<void> request_relay::run_attempts(request& current)
{
    record_first_attempt(m_state.m_retry_budget, current.m_pool, now());
    bool again = true;
    while (again && !current.m_caller_gone)
    {
        if (current.m_takeover.m_head)
        {
            // The successor has the request already, whatever becomes of its row.
            again = co_await attempt_at(current, current.m_takeover.m_entry);
            continue;
        }
        // Its stages, or upstreams that declined it, may have taken long.
        const bool refused = co_await refuse_when_stopping(current);
        if (refused)
        {
            co_return;
        }
        const upstream* chosen = select_next_upstream(current);
        const bool quarantined = is_quarantined(current);
        if (quarantined)
        {
            current.m_reason = quarantine_reason(current);
        }
        else if (chosen == nullptr && lacks_stream_version(current))
        {
            current.m_reason = no_upstream_of_version_reason;
        }
        else if (chosen == nullptr)
        {
            current.m_reason = "no_untried_upstream";
        }
        else if (time_left(current) < min_time_for_attempt)
        {
            current.m_reason = "no_time_left";
        }
        if (quarantined || chosen == nullptr || time_left(current) < min_time_for_attempt)
        {
            const next_step step =
                current.m_retry_state.m_stream_begun         ? next_step::cut_off
                : current.m_retry_state.m_possible_runs == 0 ? next_step::refuse
                                                             : next_step::fail;
            co_await finish(current, step);
            co_return;
        }
        const upstream_id id = chosen->m_entry.m_id;
        const bool may_send = co_await get_permit(current, id);
        if (current.m_caller_gone)
        {
            co_return;
        }
        chosen = m_state.m_upstreams.m_rows.find(id);
        if (!may_send || chosen == nullptr)
        {
            continue;
        }
        again = co_await attempt_at(current, chosen->m_entry);
    }
}

asio::awaitable<bool> request_relay::attempt_at(request& current, upstream_entry chosen)
{
    const upstream_id id = chosen.m_id;
    const time_point began = now();
    if (current.m_last_sent_at == time_point{})
    {
        current.m_preparation_time = ms_between(current.m_arrived_at, began);
    }
    current.m_last_sent_at = began;
    const attempt_outcome outcome = co_await run_attempt(current, std::move(chosen));
    record_attempt(current, outcome, began);
    record_for_rollout(current, outcome, began);
    record_crash_evidence(current, outcome);
    if (current.m_caller_gone)
    {
        co_return false;
    }
    current.m_tried_upstreams.push_back(id);
    const bool again = co_await handle_outcome(current, outcome);
    co_return again;
}

asio::awaitable<bool> request_relay::get_permit(request& current, upstream_id id)
{
    auto* row = m_state.m_upstreams.m_rows.find(id);
    if (row == nullptr || !row->m_sends.m_statement.m_limit)
    {
        co_return row != nullptr;
    }
    if (take_permit(row->m_sends, now()))
    {
        co_return true;
    }
    // Shared with the completion, which may be called after the request has ended.
    struct answer
    {
        std::optional<bool> m_granted;
        /// Null once the request does not wait any more.
        asio::steady_timer* m_wake_timer = nullptr;
    };
    const auto reply = std::make_shared<answer>();
    reply->m_wake_timer = &current.m_wake_timer;
    m_permits.ask(id,
                  [this, id, reply](bool granted)
                  {
                      reply->m_granted = granted;
                      if (reply->m_wake_timer != nullptr)
                      {
                          reply->m_wake_timer->cancel();
                      }
                      else if (granted)
                      {
                          keep_permit(id);
                      }
                  });
    while (!reply->m_granted && !current.m_caller_gone)
    {
        co_await wait_for_wake(current);
    }
    reply->m_wake_timer = nullptr;
    const bool granted = reply->m_granted.value_or(false);
    if (granted && current.m_caller_gone)
    {
        keep_permit(id);
    }
    co_return granted;
}

asio::awaitable<void> request_relay::wait_for_wake(request& current)
{
    current.m_wake_timer.expires_at(time_point::max());
    boost::system::error_code ignored;
    co_await current.m_wake_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void request_relay::keep_permit(const upstream_id& id)
{
    if (auto* row = m_state.m_upstreams.m_rows.find(id))
    {
        add_permit(row->m_sends, now());
    }
}

const upstream* request_relay::select_next_upstream(request& current) const
{
    const upstream* chosen = select_upstream(current, current.m_tried_upstreams);
    if (chosen == nullptr && current.m_retry_state.m_possible_runs == 0 &&
        !current.m_tried_upstreams.empty())
    {
        // None of the upstreams tried has run the request, so each may be tried again.
        current.m_tried_upstreams.clear();
        chosen = select_upstream(current, current.m_tried_upstreams);
    }
    return chosen;
}

asio::awaitable<bool> request_relay::handle_outcome(request& current,
                                                    attempt_outcome outcome)
{
    serving::retry_state& state = current.m_retry_state;
    state.m_possible_runs += may_have_run(outcome) ? 1 : 0;
    state.m_not_run_attempts += may_have_run(outcome) ? 0 : 1;
    state.m_has_time = time_left(current) >= min_time_for_attempt;
    // A request that is at its successor has been paid for.
    const bool moves = current.m_takeover.m_head != nullptr;
    state.m_has_budget =
        moves || may_retry(m_state.m_retry_budget, current.m_pool,
                           count_possible_senders(m_state.m_hosts, now()), now());
    state.m_may_crash_upstreams = !moves && !may_repeat(current);
    const next_step step = decide_next_step(outcome, state);
    const bool again = step == next_step::try_other || step == next_step::resume_other ||
                       step == next_step::prepare_again;
    if (!again)
    {
        if (current.m_reason.empty() && step != next_step::deliver)
        {
            current.m_reason = why_not_again(outcome, state);
        }
        co_await finish(current, step);
        co_return false;
    }
    if (moves)
    {
        co_return true;
    }
    if (outcome != attempt_outcome::not_sent)
    {
        record_retry(m_state.m_retry_budget, current.m_pool, now());
    }
    if (step != next_step::prepare_again && has_final_inputs(current))
    {
        co_return true;
    }
    restart_stages(current);
    const bool prepared = co_await run_stages(current);
    co_return prepared;
}

asio::awaitable<void> request_relay::finish(request& current, next_step step)
{
    switch (step)
    {
    case next_step::deliver:
        if (!current.m_buffered_response)
        {
            // The response has already been streamed to the caller.
            log_request(current, "answered", 200);
            co_return;
        }
        current.m_any_response_started = true;
        log_request(current, "answered", current.m_buffered_response->m_status);
        co_await current.m_exchange.respond(std::move(*current.m_buffered_response));
        co_return;
    case next_step::refuse:
    {
        const auto quarantine =
            quarantine_left(m_state.m_crash_suspects, current.m_traits, now());
        const auto next = send_wait(m_state.m_upstreams, current.m_pool, now(),
                                    current.m_stream_version);
        const milliseconds wait =
            std::max(declined_retry_after, next.value_or(declined_retry_after));
        co_await refuse(current, quarantine.value_or(wait),
                        quarantine                      ? quarantine_reason(current)
                        : next                          ? no_upstream_takes_it_reason
                        : lacks_stream_version(current) ? no_upstream_of_version_reason
                                                        : "no_upstream_ran_it");
        co_return;
    }
    case next_step::cut_off:
        log_request(current, "cut_off", 0);
        current.m_exchange.drop();
        co_return;
    default:
        co_await fail(current);
        co_return;
    }
}

asio::awaitable<void> request_relay::fail(request& current)
{
    current.m_any_response_started = true;
    if (current.m_buffered_response)
    {
        // The upstream's error response is more specific than a generic one.
        log_request(current, "answered", current.m_buffered_response->m_status);
        co_await current.m_exchange.respond(std::move(*current.m_buffered_response));
        co_return;
    }
    const bool late = time_left(current) < min_time_for_attempt;
    const unsigned status = late ? 504 : 502;
    log_request(current, "failed", status);
    co_await current.m_exchange.respond(platform::make_error_response(
        status, late ? "no answer in time" : "the upstream failed"));
}

milliseconds request_relay::usual_head_time(const request& current) const
{
    const double latency_target =
        static_cast<double>(current.m_route->m_latency_target.count());
    if (current.m_route->m_retry_safety == retry_safety::idempotent)
    {
        const milliseconds limit{
            static_cast<std::int64_t>(latency_target * usual_share_of_target)};
        return std::max(limit, min_usual_head_time);
    }
    const double expected =
        static_cast<double>(expected_first_token_time(current).count()) *
        pace_of(current);
    const milliseconds limit{static_cast<std::int64_t>(expected * response_head_factor)};
    return limit + response_head_margin;
}

std::shared_ptr<http_call> request_relay::make_upstream_call() const
{
    return std::make_shared<http_call>(m_state.m_executor, upstream_http_limits());
}

http_request request_relay::make_upstream_message(const request& current,
                                                  const upstream_id& id) const
{
    platform::forwarding_fields fields;
    fields.m_upstream = id;
    fields.m_workspace = current.m_workspace.m_id;
    fields.m_remaining_time = time_left(current);
    fields.m_inputs = final_inputs(current);
    fields.m_last_event_id = current.m_last_event_id;
    fields.m_body = current.m_exchange.shared_body();
    if (is_stream(current.m_route->m_retry_safety))
    {
        fields.m_engine_priority = engine_priority(current.m_metadata.m_prompt);
    }
    return platform::make_upstream_request(current.m_exchange.request(), fields);
}

asio::awaitable<attempt_outcome> request_relay::run_attempt(request& current,
                                                            upstream_entry chosen)
{
    const upstream_id id = chosen.m_id;
    const ip_endpoint address = chosen.m_address;
    const takeover moved = std::exchange(current.m_takeover, {});
    const auto call = moved.m_head ? moved.m_call : make_upstream_call();
    current.m_upstream_call = call;
    current.m_upstream = id;
    current.m_upstream_run = run_of(chosen);
    current.m_upstream_version = chosen.m_version;
    const auto tokens = current.m_metadata.m_prompt.m_prompt_tokens +
                        current.m_metadata.m_prompt.m_output_tokens;
    const auto update_running = [&](bool begin)
    {
        upstream* row = m_state.m_upstreams.m_rows.find(id);
        if (row == nullptr)
        {
            return;
        }
        if (begin)
        {
            if (!moved.m_head)
            {
                record_send(row->m_sends, now());
            }
            ++row->m_running;
            row->m_running_tokens += tokens;
        }
        else
        {
            // The counts are reset if the upstream restarted in the meantime.
            row->m_running -= std::min<std::uint32_t>(row->m_running, 1);
            row->m_running_tokens -=
                std::min<std::uint64_t>(row->m_running_tokens, tokens);
        }
    };
    current.m_usual_first_token_ms = usual_first_token_of(current, id);
    update_running(true);
    current.m_progress = {};
    result<done, http_error> connected = done{};
    if (!moved.m_head)
    {
        connected = co_await call->connect(to_tcp(address),
                                           std::min(connect_timeout, time_left(current)));
    }
    if (upstream* row = m_state.m_upstreams.m_rows.find(id); row && is_ok(connected))
    {
        record_reached(*row, now());
    }
    // The upstream may have said that it leaves while the connection was opened.
    const bool may_send = moved.m_head || (is_ok(connected) && takes_requests(id));
    if (!may_send || current.m_caller_gone)
    {
        call->close();
        update_running(false);
        current.m_upstream_call.reset();
        co_return attempt_outcome::not_sent;
    }
    asio::steady_timer release_timer{m_state.m_executor};
    if (const auto wait = input_release_delay(current, id))
    {
        release_timer.expires_after(*wait);
        release_timer.async_wait(
            [this, &current,
             attempt = std::weak_ptr{call}](const boost::system::error_code& error)
            {
                // A handler that is already queued runs without an error even if the
                // timer and the request have been destroyed.
                if (!error && !attempt.expired() && !current.m_takeover.m_began_at)
                {
                    release_results(current, true);
                }
            });
    }
    current.m_usual_silence = usual_head_time(current);
    auto head = moved.m_head;
    if (!head)
    {
        head = send_to_upstream(current, call, id);
    }
    const auto response = co_await await_head(current, head);
    attempt_outcome outcome = attempt_outcome::broken;
    if (is_ok(response))
    {
        current.m_progress.m_head_received = true;
        outcome = co_await handle_response_head(current, value_of(response));
    }
    else if (error_of(response).m_kind == http_error_kind::malformed)
    {
        outcome = attempt_outcome::unusable;
    }
    else
    {
        current.m_progress.m_connection_lost =
            error_of(response).m_kind == http_error_kind::closed;
        current.m_progress.m_gave_up =
            error_of(response).m_kind == http_error_kind::timeout;
    }
    call->close();
    current.m_upstream_call.reset();
    update_running(false);
    co_return outcome;
}

double request_relay::usual_first_token_of(const request& current,
                                           const upstream_id& id) const
{
    const auto pool = current.m_routing->m_pools.find(current.m_pool);
    const upstream* row = m_state.m_upstreams.m_rows.find(id);
    const bool is_engine = pool != current.m_routing->m_pools.end() &&
                           pool->second.m_engine && row != nullptr &&
                           is_stream(current.m_route->m_retry_safety);
    if (!is_engine)
    {
        return 0;
    }
    const prompt& request_prompt = current.m_metadata.m_prompt;
    return usual_first_token_ms(
        *row, request_prompt,
        is_home_engine(m_state.m_upstreams, request_prompt, *row, now()));
}

double request_relay::slowness_of_answer(const pool_id& pool, double elapsed_ms)
{
    double& mean_ms = m_mean_first_byte_ms[pool];
    mean_ms =
        mean_ms == 0 ? elapsed_ms : mean_ms + sample_weight * (elapsed_ms - mean_ms);
    constexpr double min_slowness = 0.3;
    constexpr double max_slowness = 8;
    return std::clamp(elapsed_ms / std::max(1.0, mean_ms), min_slowness, max_slowness);
}

bool request_relay::takes_requests(const upstream_id& id) const
{
    const upstream* row = m_state.m_upstreams.m_rows.find(id);
    return row != nullptr && serving::takes_requests(m_state.m_upstreams, *row, now());
}

std::optional<milliseconds>
request_relay::input_release_delay(const request& current,
                                   const upstream_id& engine) const
{
    const auto& pools = current.m_routing->m_pools;
    const auto pool = pools.find(current.m_pool);
    const upstream* row = m_state.m_upstreams.m_rows.find(engine);
    if (row == nullptr || pool == pools.end() || !pool->second.m_engine)
    {
        return std::nullopt;
    }
    std::uint64_t bytes = 0;
    double slowest = std::numeric_limits<double>::infinity();
    for (const std::uint32_t at : final_stages(*current.m_route))
    {
        const route_stage& stage = current.m_route->m_stages[at];
        const auto producer = pools.find(stage.m_pool);
        const bool known = producer != pools.end() && producer->second.m_pieces;
        bytes += piece_count(current, at) * stage.m_result_bytes;
        slowest =
            std::min(slowest, known ? producer->second.m_pieces->m_link_bytes_per_ms : 0);
    }
    return input_fetch_time(*row, *pool->second.m_engine, bytes, slowest);
}

void request_relay::record_attempt(request& current, attempt_outcome outcome,
                                   time_point began)
{
    const time_point at = now();
    upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    m_state.m_metrics.add("attempts", {{"end", to_text(outcome)}});
    if (outcome != attempt_outcome::answered)
    {
        log_event line{"attempt"};
        line.add("request", current.m_metadata.m_request)
            .add("upstream", current.m_upstream)
            .add("end", to_text(outcome))
            .add("caller_gone", current.m_caller_gone)
            .add("took_ms", ms_between(began, at).count());
        if (outcome == attempt_outcome::broken ||
            outcome == attempt_outcome::broken_stream)
        {
            line.add("head", current.m_progress.m_head_received)
                .add("events", current.m_progress.m_events)
                .add("connection_lost", current.m_progress.m_connection_lost)
                .add("gave_up", current.m_progress.m_gave_up)
                .add("silent_ms", ms_between(latest_progress(current), at).count())
                .add("run", current.m_upstream_run)
                .add("identity", identity_of(current))
                .add("parts", part_ids(current.m_metadata.m_prompt));
        }
    }
    if (current.m_caller_gone)
    {
        return;
    }
    const bool is_complete = outcome == attempt_outcome::answered;
    if (is_complete || current.m_progress.m_gave_up)
    {
        record_duration(current, at - began, is_complete);
    }
    if (row == nullptr)
    {
        return;
    }
    switch (outcome)
    {
    case attempt_outcome::not_sent:
        if (takes_requests(current.m_upstream))
        {
            note_unreachable(*row);
        }
        break;
    case attempt_outcome::wrong_upstream:
    case attempt_outcome::broken:
    case attempt_outcome::broken_stream:
    case attempt_outcome::unusable:
        note_unreachable(*row);
        break;
    case attempt_outcome::answered:
    case attempt_outcome::answered_with_fault:
    {
        const time_point first = std::max(began, current.m_first_byte_at);
        const double elapsed_ms = std::max(1.0, to_ms(first - began));
        const bool is_engine = current.m_usual_first_token_ms > 0;
        const double slowness =
            is_engine ? record_first_token(m_engine_paces[current.m_pool],
                                           current.m_usual_first_token_ms, elapsed_ms)
                      : slowness_of_answer(current.m_pool, elapsed_ms);
        record_response(m_state.m_upstreams, *row, outcome == attempt_outcome::answered,
                        slowness);
        break;
    }
    case attempt_outcome::declined:
    case attempt_outcome::input_gone:
        break;
    }
}

void request_relay::record_for_rollout(const request& current, attempt_outcome outcome,
                                       time_point began)
{
    const upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    const bool is_answered = outcome == attempt_outcome::answered;
    const bool is_broken =
        outcome == attempt_outcome::broken || outcome == attempt_outcome::broken_stream;
    const bool is_faulty =
        outcome == attempt_outcome::answered_with_fault ||
        outcome == attempt_outcome::unusable ||
        (is_broken && !current.m_caller_gone && !current.m_progress.m_gave_up);
    const bool is_silent = is_broken && !is_faulty;
    if (row == nullptr || row->m_run != current.m_upstream_run ||
        (!is_answered && !is_faulty && !is_silent))
    {
        return;
    }
    const time_point at = now();
    answer_time taken;
    const bool has_begun = current.m_first_byte_at >= began;
    const bool resumes_stream = !has_begun && current.m_first_byte_at != time_point{};
    if (!resumes_stream)
    {
        taken.m_first_byte_ms =
            std::max(1.0, to_ms((has_begun ? current.m_first_byte_at : at) - began));
    }
    if (has_begun && is_answered)
    {
        taken.m_rest_ms = to_ms(at - current.m_first_byte_at);
    }
    if (is_stream(current.m_route->m_retry_safety))
    {
        taken.m_reading_ms =
            current.m_metadata.m_prompt.m_prompt_tokens / prefill_tokens_per_ms;
    }
    // A caller that leaves early says nothing of the upstream.
    const bool is_late = is_silent && !current.m_caller_gone;
    m_rollouts.record_answer(*row, current.m_route->m_name, taken, is_faulty, is_late);
}

void request_relay::record_duration(const request& current, duration taken,
                                    bool is_complete)
{
    constexpr std::size_t max_removed_routes = 100;
    if (m_state.m_routing &&
        m_durations.size() > m_state.m_routing->m_routes.size() + max_removed_routes)
    {
        m_durations.clear();
    }
    duration_estimate& estimate = m_durations[current.m_route->m_name];
    // Of a call that was given up only a lower bound is known.
    if (is_complete || to_ms(taken) > estimate.m_mean_ms)
    {
        serving::record_duration(estimate, taken);
    }
}

std::optional<attempt_outcome>
request_relay::failure_of_head(const request& current, const upstream_id& id,
                               time_point sent_at, const http_answer_head& head)
{
    const auto metadata =
        platform::parse_response_metadata(head, current.m_metadata.m_request);
    if (metadata.m_id_mismatch)
    {
        return attempt_outcome::unusable;
    }
    if (head.m_status == wrong_upstream_status)
    {
        return attempt_outcome::wrong_upstream;
    }
    apply_notice(m_state, id, head.m_status, head.m_fields, sent_at);
    if (metadata.m_not_run && head.m_status >= 400)
    {
        return head.m_status == input_gone_status ? attempt_outcome::input_gone
                                                  : attempt_outcome::declined;
    }
    // Once part of a stream was sent to the caller, a different response cannot follow.
    const bool fits =
        !current.m_retry_state.m_stream_begun || begins_stream(current, head);
    return metadata.m_signed && fits ? std::nullopt
                                     : std::optional{attempt_outcome::unusable};
}

asio::awaitable<attempt_outcome>
request_relay::handle_response_head(request& current, http_answer_head head)
{
    const auto failure =
        failure_of_head(current, current.m_upstream, current.m_last_sent_at, head);
    if (failure)
    {
        co_return *failure;
    }
    end_search(current);
    if (begins_stream(current, head))
    {
        const auto outcome = co_await relay_stream(current, head);
        record_stream_end(current, head.m_framing, outcome);
        co_return outcome;
    }
    const auto outcome = co_await relay_buffered(current, std::move(head));
    co_return outcome;
}

asio::awaitable<attempt_outcome> request_relay::relay_buffered(request& current,
                                                               http_answer_head head)
{
    std::string body;
    bool more = true;
    bool is_counted = false;
    current.m_answer_memory = memory_lease{m_state.m_memory, {}};
    while (more)
    {
        const auto part = co_await current.m_upstream_call->read_part(time_left(current));
        if (!is_ok(part))
        {
            current.m_progress.m_connection_lost =
                error_of(part).m_kind == http_error_kind::closed;
            co_return attempt_outcome::broken;
        }
        if (current.m_first_byte_at == time_point{})
        {
            current.m_first_byte_at = now();
        }
        more = !value_of(part).empty();
        body += value_of(part);
        // Without memory for it, the rest of the body is passed on as it arrives.
        const bool is_large =
            body.size() > max_buffered_response_bytes ||
            (body.size() > max_uncounted_answer_bytes && !is_counted &&
             !current.m_answer_memory.resize(max_buffered_response_bytes));
        is_counted = is_counted || body.size() > max_uncounted_answer_bytes;
        if (is_large)
        {
            const auto outcome =
                co_await relay_large_body(current, head, std::move(body));
            co_return outcome;
        }
    }
    http_response response;
    response.m_status = head.m_status;
    response.m_fields = platform::fields_for_caller(head.m_fields);
    response.m_body = std::move(body);
    current.m_buffered_response = std::move(response);
    co_return head.m_status >= 500 ? attempt_outcome::answered_with_fault
                                   : attempt_outcome::answered;
}

} // namespace geraniumdoor::edge
