#include "relay_util.hpp"
#include "request_relay.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// The next event of a stream is overdue when the gap exceeds its target by this margin.
constexpr milliseconds event_gap_margin{150};

/// Longest event of a stream that may be resumed. An upstream in trouble may send bytes
/// without end that form no event.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

/// Whether an event was already delivered before the stream was resumed. Event ids are
/// increasing numbers; other ids never count as repeated.
bool is_repeated(const std::string& id, const std::string& last)
{
    std::uint64_t own = 0;
    std::uint64_t delivered = 0;
    const auto own_end = std::from_chars(id.data(), id.data() + id.size(), own);
    const auto last_end =
        std::from_chars(last.data(), last.data() + last.size(), delivered);
    return own_end.ec == std::errc{} && last_end.ec == std::errc{} && own <= delivered;
}

/// Whether the upstream broke the stream off although the body ended in order. The end of
/// a connection may be that of a crashed upstream; any stream has an event.
bool was_broken_off(const relayed_request& current, body_framing framing)
{
    const bool empty = current.m_progress.m_events == 0;
    return is_inside_event(current.m_event_position) ||
           (framing == body_framing::connection_end && empty);
}

} // namespace

asio::awaitable<void> request_relay::begin_response(request& current,
                                                    const http_answer_head& head,
                                                    std::optional<std::uint64_t> length)
{
    current.m_buffered_response.reset();
    current.m_any_response_started = true;
    current.m_retry_state.m_stream_begun = true;
    co_await current.m_exchange.begin_answer(
        head.m_status, platform::fields_for_caller(head.m_fields), length);
}

void request_relay::record_first_byte(request& current)
{
    if (current.m_first_byte_at == time_point{})
    {
        current.m_first_byte_at = now();
        // The engine has fetched its inputs. If the stream is resumed elsewhere, they
        // are prepared again; a search may be preparing them already.
        if (!current.m_takeover.m_inputs_requested)
        {
            release_results(current, true);
        }
    }
}

asio::awaitable<attempt_outcome> request_relay::relay_stream(request& current,
                                                             const http_answer_head& head)
{
    // The head of a stream that is resumed does not reach the caller.
    const bool resumes = current.m_retry_state.m_stream_begun;
    if (!resumes)
    {
        // Whether the stream is complete is known only at its end, so that it is sent
        // without a length.
        co_await begin_response(current, head, std::nullopt);
    }
    current.m_partial_event = {};
    current.m_event_position = {};
    if (!resumes)
    {
        current.m_last_event_at = now();
    }
    current.m_usual_silence = current.m_route->m_event_gap_target + event_gap_margin;
    while (true)
    {
        const std::size_t held = size_of(current.m_partial_event);
        if (held > max_event_bytes || !hold_answer(current, held))
        {
            log_event{"event_too_long"}
                .add("request", current.m_metadata.m_request)
                .add("upstream", current.m_upstream)
                .add("bytes", held);
            co_return attempt_outcome::broken_stream;
        }
        auto part = co_await read_stream_part(current);
        if (!is_ok(part))
        {
            current.m_progress.m_connection_lost =
                error_of(part).m_kind == http_error_kind::closed;
            current.m_progress.m_gave_up =
                error_of(part).m_kind == http_error_kind::timeout;
            current.m_progress.m_lacked_resources = lacks_resources(error_of(part));
            co_return attempt_outcome::broken_stream;
        }
        if (value_of(part).empty())
        {
            break;
        }
        record_first_byte(current);
        current.m_last_byte_at = now();
        const time_point last_event_at = current.m_last_event_at;
        std::string forwarded_bytes = take_events(current, value_of(std::move(part)));
        if (current.m_last_event_at != last_event_at)
        {
            end_search(current);
        }
        if (current.m_progress.m_events >= events_of_sound_stream)
        {
            record_sound_traits(current, current.m_traits);
        }
        if (!forwarded_bytes.empty())
        {
            record_stream_origin(current);
        }
        const bool forwarded =
            co_await current.m_exchange.write_part(std::move(forwarded_bytes));
        if (!forwarded)
        {
            current.m_caller_gone = true;
            co_return attempt_outcome::broken_stream;
        }
    }
    if (was_broken_off(current, head.m_framing))
    {
        current.m_progress.m_connection_lost = true;
        co_return attempt_outcome::broken_stream;
    }
    co_await current.m_exchange.end_stream();
    co_return attempt_outcome::answered;
}

asio::awaitable<attempt_outcome>
request_relay::relay_large_body(request& current, const http_answer_head& head,
                                std::string body_so_far, std::string next_part)
{
    // A body without events cannot be resumed.
    current.m_retry_state.m_retry_safety = retry_safety::at_most_once;
    co_await begin_response(current, head, head.m_length);
    std::string part = std::move(body_so_far);
    while (!part.empty() || !next_part.empty())
    {
        record_first_byte(current);
        const bool forwarded = co_await current.m_exchange.write_part(std::move(part));
        if (!forwarded)
        {
            current.m_caller_gone = true;
            co_return attempt_outcome::broken_stream;
        }
        part = std::exchange(next_part, {});
        if (!part.empty())
        {
            continue;
        }
        hold_answer(current, 0);
        auto next = co_await current.m_upstream_call->read_part(time_left(current));
        if (!is_ok(next))
        {
            current.m_progress.m_lacked_resources = lacks_resources(error_of(next));
            co_return attempt_outcome::broken_stream;
        }
        part = value_of(std::move(next));
    }
    co_await current.m_exchange.end_stream();
    co_return attempt_outcome::answered;
}

void request_relay::record_stream_end(const request& current, body_framing framing,
                                      attempt_outcome outcome)
{
    const bool inside_event = is_inside_event(current.m_event_position);
    m_state.m_metrics.add("streams_ended", {{"framing", to_text(framing)},
                                            {"end", to_text(outcome)},
                                            {"inside_event", inside_event ? "1" : "0"}});
    if (framing != body_framing::connection_end && outcome == attempt_outcome::answered &&
        !inside_event)
    {
        return;
    }
    log_event{"stream_ended"}
        .add("request", current.m_metadata.m_request)
        .add("upstream", current.m_upstream)
        .add("framing", to_text(framing))
        .add("events", current.m_progress.m_events)
        .add("inside_event", inside_event)
        .add("end", to_text(outcome));
}

std::string request_relay::take_events(request& current, std::string part) const
{
    const bool may_resume =
        current.m_route->m_retry_safety == retry_safety::stream_resumable;
    std::string complete;
    std::string_view rest = part;
    while (const auto end = find_event_end(current.m_event_position, rest))
    {
        if (!end->m_is_comment)
        {
            ++current.m_progress.m_events;
            current.m_last_event_at = may_resume ? current.m_last_event_at : now();
        }
        if (may_resume)
        {
            append(current.m_partial_event, rest.substr(0, end->m_size));
            const std::string event = take(current.m_partial_event);
            const std::string id = event_id(event);
            current.m_last_event_at = id.empty() ? current.m_last_event_at : now();
            if (id.empty() || !is_repeated(id, current.m_last_event_id))
            {
                complete += event;
                current.m_last_event_id = id.empty() ? current.m_last_event_id : id;
            }
        }
        rest.remove_prefix(end->m_size);
    }
    if (!may_resume)
    {
        return part;
    }
    append(current.m_partial_event, rest);
    return complete;
}

} // namespace geraniumdoor::edge
