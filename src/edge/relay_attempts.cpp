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

/// Whether the body is a stream of events, which is assumed unless the head says
/// otherwise.
bool has_events(const http_answer_head& head)
{
    constexpr std::string_view event_stream = "text/event-stream";
    const std::string_view type = find_field(head.m_fields, "Content-Type");
    return type.empty() || boost::algorithm::istarts_with(type, event_stream);
}

/// Capacity for the body and a further part. Grows in few steps, since an allocator may
/// keep the blocks that it had before.
std::size_t capacity_with(const std::string& body, const std::string& part)
{
    constexpr std::size_t growth = 4;
    const std::size_t size = body.size() + part.size();
    return size <= body.capacity() ? body.capacity()
                                   : std::max(size, growth * body.capacity());
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
    return std::make_shared<http_call>(m_state.m_executor, upstream_http_limits(),
                                       m_state.m_memory);
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
    result<node_id, http_error> connected = node_id{};
    if (!moved.m_head)
    {
        connected = co_await m_dialer.connect(
            *call, chosen, std::min(connect_timeout, time_left(current)));
        current.m_progress.m_lacked_resources =
            !is_ok(connected) && lacks_resources(error_of(connected));
        current.m_tunnel_host = is_ok(connected) ? value_of(connected) : node_id{};
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
        current.m_progress.m_lacked_resources = lacks_resources(error_of(response));
    }
    call->close();
    current.m_upstream_call.reset();
    update_running(false);
    co_return outcome;
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
    if (!metadata.m_signed || !fits)
    {
        return attempt_outcome::unusable;
    }
    return platform::promises_not_run(head.m_status)
               ? std::optional{attempt_outcome::unproven_refusal}
               : std::nullopt;
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
    while (more)
    {
        auto part = co_await current.m_upstream_call->read_part(time_left(current));
        if (!is_ok(part))
        {
            current.m_progress.m_connection_lost =
                error_of(part).m_kind == http_error_kind::closed;
            current.m_progress.m_lacked_resources = lacks_resources(error_of(part));
            co_return attempt_outcome::broken;
        }
        if (current.m_first_byte_at == time_point{})
        {
            current.m_first_byte_at = now();
        }
        more = !value_of(part).empty();
        // Without memory for it, the rest of the body is passed on as it arrives.
        const std::size_t capacity = capacity_with(body, value_of(part));
        const bool is_large =
            body.size() + value_of(part).size() > max_buffered_response_bytes ||
            !hold_answer(current, capacity);
        if (is_large)
        {
            const auto outcome = co_await relay_large_body(current, head, std::move(body),
                                                           value_of(std::move(part)));
            co_return outcome;
        }
        body.reserve(capacity);
        body += value_of(part);
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
