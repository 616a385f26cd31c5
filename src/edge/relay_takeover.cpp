#include "relay_util.hpp"
#include "request_relay.hpp"
#include "upstream_notices.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

// A silent upstream keeps its request until another one is ready to take it over.

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Interval of the steps of a search for a successor.
constexpr milliseconds search_interval{25};

/// Interval at which an overdue request looks whether its upstream is in doubt.
constexpr milliseconds doubt_interval{200};

/// Time until inputs are requested again after their stages have failed, or until
/// upstreams that could not be reached are tried again.
constexpr milliseconds search_backoff{300};

/// Longest time for which a request is at two upstreams: most of those that decline it do
/// so at once, and then the present one keeps it. The platform allows 400 ms.
constexpr milliseconds max_overlap{200};

using part_reply = upstream_reply<std::string>;

asio::awaitable<void> read_part(std::shared_ptr<http_call> call, milliseconds limit,
                                std::shared_ptr<part_reply> reply)
{
    reply->m_result = co_await call->read_part(limit);
    reply->end();
}

asio::awaitable<void> send(std::shared_ptr<http_call> call, http_request request,
                           milliseconds limit, std::shared_ptr<head_reply> reply)
{
    reply->m_result = co_await call->send(std::move(request), limit);
    reply->end();
}

asio::awaitable<void> open_connection(upstream_dialer& dialer,
                                      std::shared_ptr<http_call> call,
                                      upstream_entry entry,
                                      std::shared_ptr<upstream_reply<done>> reply)
{
    const auto connected = co_await dialer.connect(*call, entry, connect_timeout);
    if (is_ok(connected))
    {
        reply->m_result = done{};
    }
    else
    {
        reply->m_result = error_of(connected);
    }
    reply->end();
}

template<class Value>
result<Value, http_error> value_or_given_up(upstream_reply<Value>& reply)
{
    if (reply.m_result)
    {
        return std::move(*reply.m_result);
    }
    http_error error;
    error.m_kind = http_error_kind::timeout;
    error.m_sent = true;
    error.m_detail = "another upstream takes the request over";
    return error;
}

} // namespace

std::shared_ptr<head_reply>
request_relay::send_to_upstream(request& current, const std::shared_ptr<http_call>& call,
                                const upstream_id& id)
{
    auto reply = std::make_shared<head_reply>();
    asio::co_spawn(
        m_state.m_executor,
        send(call, make_upstream_message(current, id), time_left(current), reply),
        asio::detached);
    return reply;
}

asio::awaitable<result<http_answer_head, http_error>>
request_relay::await_head(request& current, std::shared_ptr<head_reply> reply)
{
    co_await await_progress(current, reply);
    co_return value_or_given_up(*reply);
}

asio::awaitable<result<std::string, http_error>>
request_relay::read_stream_part(request& current)
{
    const auto reply = std::make_shared<part_reply>();
    asio::co_spawn(m_state.m_executor,
                   read_part(current.m_upstream_call, time_left(current), reply),
                   asio::detached);
    co_await await_progress(current, reply);
    co_return value_or_given_up(*reply);
}

asio::awaitable<void>
request_relay::await_progress(request& current,
                              std::shared_ptr<pending_operation> operation)
{
    operation->m_wake_timer = &current.m_wake_timer;
    bool taken_over = false;
    while (!operation->m_ended && !taken_over)
    {
        const time_point at = now();
        const time_point next = next_search(current, at);
        if (next <= at)
        {
            taken_over = search_successor(current);
        }
        if (!taken_over)
        {
            current.m_wake_timer.expires_at(next_wake(current, next, at));
            boost::system::error_code ignored;
            co_await current.m_wake_timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    operation->m_wake_timer = nullptr;
}

time_point request_relay::next_wake(const request& current, time_point next,
                                    time_point at)
{
    const time_point since = std::max(current.m_last_sent_at, current.m_last_event_at);
    const bool overdue = at >= since + current.m_usual_silence;
    if (!overdue || next == time_point::max())
    {
        return next;
    }
    return std::clamp(next, at + search_interval, at + doubt_interval);
}

time_point request_relay::next_search(const request& current, time_point at) const
{
    const retry_state& state = current.m_retry_state;
    const bool may_move = is_retryable(state.m_retry_safety) &&
                          state.m_possible_runs + 1 < state.m_max_upstreams;
    if (!may_move)
    {
        return time_point::max();
    }
    silent_attempt attempt;
    attempt.m_since = std::max(current.m_last_sent_at, current.m_last_event_at);
    attempt.m_usual = current.m_usual_silence;
    if (at < attempt.m_since + attempt.m_usual)
    {
        return attempt.m_since + attempt.m_usual;
    }
    const upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    attempt.m_upstream_in_doubt =
        row == nullptr || row->m_ejected_until > at ||
        current.m_last_byte_at > attempt.m_since + attempt.m_usual;
    attempt.m_takeover_time = expected_first_token_time(current);
    if (!has_final_inputs(current))
    {
        attempt.m_takeover_time += current.m_preparation_time;
    }
    if (!is_stream(state.m_retry_safety))
    {
        attempt.m_target = current.m_target_time;
    }
    attempt.m_abandoned_at = next_byte_deadline(current);
    return successor_due(attempt);
}

bool request_relay::search_successor(request& current)
{
    takeover& next = current.m_takeover;
    const time_point at = now();
    if (!next.m_began_at)
    {
        next.m_began_at = at;
        log_event{"upstream_overdue"}
            .add("request", current.m_metadata.m_request)
            .add("upstream", current.m_upstream)
            .add("events", current.m_progress.m_events)
            .add("silent_ms",
                 ms_between(std::max(current.m_last_sent_at, current.m_last_event_at), at)
                     .count());
    }
    next.m_missing = missing_for_takeover(current);
    if (*next.m_missing != '\0')
    {
        return false;
    }
    log_search_end(current, next, "taken_over");
    return true;
}

const char* request_relay::missing_for_takeover(request& current)
{
    takeover& next = current.m_takeover;
    const time_point at = now();
    if (next.m_head)
    {
        return offer_to_successor(current);
    }
    const std::size_t senders = count_possible_senders(m_state.m_hosts, at);
    if (current.m_retry_state.m_not_run_attempts > max_not_run_attempts)
    {
        return "attempts";
    }
    if (!may_retry(m_state.m_retry_budget, current.m_pool, senders, at))
    {
        return "budget";
    }
    if (time_left(current) <
        std::max(min_time_for_attempt, expected_first_token_time(current)))
    {
        return "time";
    }
    if (is_quarantined(current) || !may_repeat(current))
    {
        return "trust";
    }
    if (at < next.m_next_try)
    {
        return next.m_missing;
    }
    if (!choose_successor(current))
    {
        return "upstream";
    }
    if (!prepare_successor_inputs(current))
    {
        return "inputs";
    }
    // The inputs may lie nearer to another upstream.
    if (!choose_successor(current))
    {
        return "upstream";
    }
    if (!connect_successor(current))
    {
        return "connection";
    }
    return offer_to_successor(current);
}

bool request_relay::choose_successor(request& current) const
{
    takeover& next = current.m_takeover;
    const time_point at = now();
    const upstream* known = m_state.m_upstreams.m_rows.find(next.m_upstream);
    const bool keep = known != nullptr && next.m_call &&
                      known->m_entry.m_pool == current.m_pool &&
                      has_version(*known, current.m_stream_version) &&
                      is_available(m_state.m_upstreams, *known, at) &&
                      decide_send(*known, at) != send_decision::denied;
    if (keep)
    {
        return true;
    }
    std::vector<upstream_id> excluded = current.m_tried_upstreams;
    excluded.push_back(current.m_upstream);
    excluded.insert(excluded.end(), next.m_excluded.begin(), next.m_excluded.end());
    const upstream* chosen = select_upstream(current, excluded);
    close_connection(next);
    if (chosen == nullptr || !is_available(m_state.m_upstreams, *chosen, at))
    {
        next.m_upstream = {};
        if (!next.m_excluded.empty())
        {
            next.m_excluded.clear();
            next.m_next_try = at + search_backoff;
        }
        return false;
    }
    next.m_upstream = chosen->m_entry.m_id;
    return true;
}

bool request_relay::prepare_successor_inputs(request& current)
{
    takeover& next = current.m_takeover;
    if (has_final_inputs(current))
    {
        next.m_preparing = false;
        return true;
    }
    const time_point at = now();
    if (!next.m_preparing)
    {
        next.m_preparing = true;
        next.m_inputs_requested = true;
        restart_stages(current);
    }
    else if (current.m_stage_failed)
    {
        const milliseconds wait{current.m_stage_failure.m_retry_after_ms};
        next.m_preparing = false;
        next.m_next_try = at + std::max(search_backoff, wait);
        cancel_stages(current);
        release_results(current, true);
    }
    else if (at >= current.m_next_submit)
    {
        submit_ready_stages(current);
    }
    if (!has_final_inputs(current))
    {
        return false;
    }
    current.m_input_location =
        main_data_centre_of_results(current, final_stages(*current.m_route));
    next.m_preparing = false;
    return true;
}

bool request_relay::connect_successor(request& current)
{
    takeover& next = current.m_takeover;
    upstream& row = *m_state.m_upstreams.m_rows.find(next.m_upstream);
    if (!next.m_connection)
    {
        next.m_call = make_upstream_call();
        next.m_connection = std::make_shared<upstream_reply<done>>();
        asio::co_spawn(
            m_state.m_executor,
            open_connection(m_dialer, next.m_call, row.m_entry, next.m_connection),
            asio::detached);
        return false;
    }
    if (!next.m_connection->m_ended)
    {
        return false;
    }
    if (is_connected(next))
    {
        record_reached(row, now());
        return true;
    }
    const auto& connected = *next.m_connection->m_result;
    if (is_ok(connected) || error_of(connected).m_kind != http_error_kind::no_socket)
    {
        note_unreachable(row);
    }
    exclude_successor(current);
    return false;
}

const char* request_relay::offer_to_successor(request& current)
{
    takeover& next = current.m_takeover;
    const time_point at = now();
    if (!next.m_head)
    {
        upstream& row = *m_state.m_upstreams.m_rows.find(next.m_upstream);
        if (row.m_sends.m_statement.m_limit && !take_permit(row.m_sends, at))
        {
            m_permits.ask_ahead(next.m_upstream, [] {});
            return "permit";
        }
        record_send(row.m_sends, at);
        record_retry(m_state.m_retry_budget, current.m_pool, at);
        next.m_entry = row.m_entry;
        next.m_sent_at = at;
        next.m_head = send_to_upstream(current, next.m_call, next.m_upstream);
        return "answer";
    }
    if (!next.m_head->m_ended)
    {
        return at < next.m_sent_at + max_overlap ? "answer" : "";
    }
    const auto failure = failure_of_successor(current);
    if (!failure)
    {
        return "";
    }
    record_failed_offer(current, *failure);
    exclude_successor(current);
    return "acceptance";
}

std::optional<attempt_outcome> request_relay::failure_of_successor(const request& current)
{
    const takeover& next = current.m_takeover;
    const result<http_answer_head, http_error>& response = *next.m_head->m_result;
    if (!is_ok(response))
    {
        return error_of(response).m_kind == http_error_kind::malformed
                   ? attempt_outcome::unusable
                   : attempt_outcome::broken;
    }
    const http_answer_head& head = value_of(response);
    const auto failure = failure_of_head(current, next.m_upstream, next.m_sent_at, head);
    return !failure && head.m_status >= 500
               ? std::optional{attempt_outcome::answered_with_fault}
               : failure;
}

void request_relay::record_failed_offer(request& current, attempt_outcome failure)
{
    const takeover& next = current.m_takeover;
    const time_point at = now();
    m_state.m_metrics.add("attempts", {{"end", to_text(failure)}});
    log_event{"offer_failed"}
        .add("request", current.m_metadata.m_request)
        .add("successor", next.m_upstream)
        .add("end", to_text(failure))
        .add("took_ms", ms_between(next.m_sent_at, at).count());
    if (may_have_run(failure))
    {
        ++current.m_retry_state.m_possible_runs;
        current.m_tried_upstreams.push_back(next.m_upstream);
    }
    else
    {
        ++current.m_retry_state.m_not_run_attempts;
    }
    if (failure == attempt_outcome::input_gone)
    {
        release_results(current, true);
    }
    const auto& response = *next.m_head->m_result;
    if (!is_ok(response) && error_of(response).m_kind == http_error_kind::closed)
    {
        record_possible_crash(current, run_of(next.m_entry), weight_of_queued_request);
    }
    upstream* row = m_state.m_upstreams.m_rows.find(next.m_upstream);
    if (row == nullptr || (!is_ok(response) && lacks_resources(error_of(response))))
    {
        return;
    }
    if (failure == attempt_outcome::answered_with_fault ||
        failure == attempt_outcome::unproven_refusal)
    {
        record_response(m_state.m_upstreams, *row, false, 1);
    }
    else if (failure != attempt_outcome::declined &&
             failure != attempt_outcome::input_gone)
    {
        note_unreachable(*row);
    }
}

void request_relay::exclude_successor(request& current)
{
    takeover& next = current.m_takeover;
    next.m_excluded.push_back(std::exchange(next.m_upstream, {}));
    close_connection(next);
}

void request_relay::end_search(request& current)
{
    if (!current.m_takeover.m_began_at)
    {
        return;
    }
    takeover ended = std::exchange(current.m_takeover, {});
    log_search_end(current, ended, "resumed");
    const bool is_accepted = ended.m_head && ended.m_head->m_ended;
    if (ended.m_head && !is_accepted && is_stream(current.m_retry_state.m_retry_safety))
    {
        // A stream begins to run with its head.
        ++current.m_retry_state.m_not_run_attempts;
    }
    else if (ended.m_head)
    {
        // The successor may have begun to run it.
        ++current.m_retry_state.m_possible_runs;
        current.m_tried_upstreams.push_back(ended.m_upstream);
    }
    close_connection(ended);
    if (ended.m_inputs_requested)
    {
        cancel_stages(current);
        release_results(current, true);
    }
}

void request_relay::log_search_end(const request& current, const takeover& ended,
                                   const char* end)
{
    const milliseconds length = ms_between(*ended.m_began_at, now());
    m_state.m_metrics.add("searches_ended", {{"end", end}});
    log_event{"search_ended"}
        .add("request", current.m_metadata.m_request)
        .add("upstream", current.m_upstream)
        .add("successor", ended.m_upstream)
        .add("end", end)
        .add("missing", ended.m_missing)
        .add("search_ms", length.count());
}

} // namespace geraniumdoor::edge
