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

/// A stream is resumed at another upstream when the gap between two events exceeds its
/// target by this margin.
constexpr milliseconds event_gap_margin{150};

/// Longest event of a stream that may be resumed. An upstream in trouble may send bytes
/// without end that form no event.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

/// Value of the id field of a server-sent event; empty if it has none.
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

} // namespace

asio::awaitable<attempt_outcome> request_relay::relay_stream(request& current,
                                                             const http_answer_head& head,
                                                             std::string body_so_far)
{
    const bool resumes = current.m_retry_state.m_stream_begun;
    const bool may_resume =
        current.m_route->m_retry_safety == retry_safety::stream_resumable;
    if (!resumes)
    {
        current.m_buffered_response.reset();
        current.m_any_response_started = true;
        current.m_retry_state.m_stream_begun = true;
        // The total length of a stream that may be resumed is unknown.
        co_await current.m_exchange.begin_answer(
            head.m_status, platform::fields_for_caller(head.m_fields),
            may_resume ? std::nullopt : head.m_length);
    }
    current.m_partial_event.clear();
    current.m_event_position = {};
    current.m_events = 0;
    current.m_last_event_at = now();
    std::string part = std::move(body_so_far);
    while (true)
    {
        if (!part.empty())
        {
            if (current.m_first_byte_at == time_point{})
            {
                current.m_first_byte_at = now();
                // The engine has fetched its inputs. If the stream is resumed
                // elsewhere, they are prepared again.
                release_results(current, true);
            }
            count_events(current, part);
            const bool forwarded = co_await forward_part(current, std::move(part));
            if (!forwarded)
            {
                current.m_caller_gone = true;
                co_return attempt_outcome::broken_stream;
            }
        }
        const bool can_retry = may_resume && current.m_retry_state.m_possible_runs + 1 <
                                                 current.m_route->m_max_upstreams;
        // Only events count as progress: a stalled upstream may send single bytes or
        // comments.
        const time_point next_event_due = current.m_last_event_at +
                                          current.m_route->m_event_gap_target +
                                          event_gap_margin;
        const milliseconds read_timeout =
            can_retry ? std::min(time_left(current), ms_between(now(), next_event_due))
                      : time_left(current);
        if (read_timeout <= milliseconds{0} ||
            current.m_partial_event.size() > max_event_bytes)
        {
            co_return attempt_outcome::broken_stream;
        }
        auto next = co_await current.m_upstream_call->read_part(read_timeout);
        if (!is_ok(next))
        {
            co_return attempt_outcome::broken_stream;
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
    co_return attempt_outcome::answered;
}

void request_relay::count_events(request& current, std::string_view part) const
{
    while (const auto end = find_event_end(current.m_event_position, part))
    {
        ++current.m_events;
        part.remove_prefix(*end);
    }
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
        .add("events", current.m_events)
        .add("inside_event", inside_event)
        .add("end", to_text(outcome));
}

asio::awaitable<bool> request_relay::forward_part(request& current, std::string part)
{
    if (current.m_route->m_retry_safety != retry_safety::stream_resumable)
    {
        const bool written = co_await current.m_exchange.write_part(std::move(part));
        co_return written;
    }
    // Only complete events are forwarded, so that the stream can be resumed after any of
    // them.
    current.m_partial_event += part;
    std::string complete;
    std::size_t start = 0;
    for (auto end = current.m_partial_event.find("\n\n"); end != std::string::npos;
         end = current.m_partial_event.find("\n\n", start))
    {
        const std::string_view event =
            std::string_view{current.m_partial_event}.substr(start, end + 2 - start);
        const std::string id = event_id(event);
        current.m_last_event_at = id.empty() ? current.m_last_event_at : now();
        if (id.empty() || !is_repeated(id, current.m_last_event_id))
        {
            complete += event;
            current.m_last_event_id = id.empty() ? current.m_last_event_id : id;
        }
        start = end + 2;
    }
    current.m_partial_event.erase(0, start);
    if (complete.empty())
    {
        co_return true;
    }
    const bool written = co_await current.m_exchange.write_part(std::move(complete));
    co_return written;
}

} // namespace geraniumdoor::edge
