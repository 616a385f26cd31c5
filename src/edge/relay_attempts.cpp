#include "relay_values.hpp"
#include "request_relay.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

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

/// Time to return after every upstream has declined a request.
constexpr milliseconds refusal_pause{100};

http_limits call_limits()
{
    http_limits limits;
    limits.m_header_bytes = std::size_t{32} * 1024;
    return limits;
}

bool has_run(attempt_outcome end)
{
    return end != attempt_outcome::not_sent && end != attempt_outcome::declined &&
           end != attempt_outcome::input_gone && end != attempt_outcome::wrong_upstream;
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

milliseconds request_relay::expected_answer(const request& current) const
{
    const upstream* chosen = choose(current);
    if (chosen == nullptr || !is_stream(current.m_route->m_retry_safety))
    {
        return milliseconds{0};
    }
    return milliseconds{static_cast<std::int64_t>(
        expected_first_token_ms(*chosen, current.m_head.m_prompt, false))};
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
    return choose_upstream(m_state.m_upstreams, current.m_pool,
                           m_state.m_settings.m_data_centre, current.m_tried, now());
}

asio::awaitable<void> request_relay::attempt_all(request& current)
{
    record_first_attempt(m_state.m_retry_budget, current.m_pool, now());
    bool again = true;
    while (again && !current.m_caller_gone)
    {
        const upstream* chosen = choose_untried(current);
        if (chosen == nullptr || time_left(current) < least_attempt)
        {
            const next_step step =
                current.m_attempts.m_response_begun       ? next_step::cut_off
                : current.m_attempts.m_possible_runs == 0 ? next_step::refuse
                                                          : next_step::fail;
            co_await finish(current, step);
            co_return;
        }
        const time_point began = now();
        current.m_sent = began;
        const upstream_id id = chosen->m_entry.m_id;
        const attempt_outcome end = co_await attempt(current, *chosen);
        note_attempt(current, end, began);
        if (current.m_caller_gone)
        {
            co_return;
        }
        current.m_tried.push_back(id);
        again = co_await follow(current, end);
    }
}

const upstream* request_relay::choose_untried(request& current) const
{
    const upstream* chosen = choose(current);
    if (chosen == nullptr && current.m_attempts.m_possible_runs == 0 &&
        !current.m_tried.empty())
    {
        // Every upstream was tried and none ran it: it may go to one of them again.
        current.m_tried.clear();
        chosen = choose(current);
    }
    return chosen;
}

asio::awaitable<bool> request_relay::follow(request& current, attempt_outcome end)
{
    serving::retry_state& state = current.m_attempts;
    state.m_possible_runs += has_run(end) ? 1 : 0;
    state.m_not_run_attempts += has_run(end) ? 0 : 1;
    state.m_has_time = time_left(current) >= least_attempt;
    state.m_has_budget = may_retry(m_state.m_retry_budget, current.m_pool,
                                   count_possible_senders(m_state.m_hosts, now()), now());
    const next_step step = decide_next_step(end, state);
    const bool again = step == next_step::try_other || step == next_step::resume_other ||
                       step == next_step::prepare_again;
    if (!again)
    {
        co_await finish(current, step);
        co_return false;
    }
    if (end != attempt_outcome::not_sent)
    {
        record_retry(m_state.m_retry_budget, current.m_pool, now());
    }
    if (step != next_step::prepare_again && has_inputs(current))
    {
        co_return true;
    }
    restart_stages(current);
    const bool prepared = co_await prepare(current);
    co_return prepared;
}

asio::awaitable<void> request_relay::finish(request& current, next_step step)
{
    switch (step)
    {
    case next_step::deliver:
        if (!current.m_answer)
        {
            // A stream that has gone to the caller already.
            log_end(current, "answered", 200);
            co_return;
        }
        current.m_answered = true;
        log_end(current, "answered", current.m_answer->m_status);
        co_await current.m_exchange.respond(std::move(*current.m_answer));
        co_return;
    case next_step::refuse:
        co_await refuse(current, refusal_pause, "no_upstream_ran_it");
        co_return;
    case next_step::cut_off:
        log_end(current, "cut_off", 0);
        current.m_exchange.drop();
        co_return;
    default:
        co_await fail(current);
        co_return;
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
    co_await current.m_exchange.respond(platform::make_error_response(
        status, late ? "no answer in time" : "the upstream failed"));
}

milliseconds request_relay::first_byte_limit(const request& current) const
{
    const milliseconds left = time_left(current);
    const bool again =
        is_retryable(current.m_route->m_retry_safety) &&
        current.m_attempts.m_possible_runs + 1 < current.m_route->m_max_upstreams;
    if (!again)
    {
        return left;
    }
    const double goal = static_cast<double>(current.m_route->m_latency_target.count());
    if (current.m_route->m_retry_safety == retry_safety::idempotent)
    {
        const milliseconds limit{static_cast<std::int64_t>(goal * give_up_share)};
        return std::min(left, std::max(limit, shortest_give_up));
    }
    const double expected = static_cast<double>(expected_answer(current).count());
    const milliseconds limit{static_cast<std::int64_t>(expected * late_stream_factor)};
    return std::min(left, limit + late_stream_extra);
}

asio::awaitable<attempt_outcome> request_relay::attempt(request& current,
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
            record_send(*row, now());
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
        co_return attempt_outcome::not_sent;
    }
    platform::forwarding_fields head;
    head.m_upstream = id;
    head.m_workspace = current.m_workspace.m_id;
    head.m_remaining_time = time_left(current);
    head.m_inputs = final_inputs(current);
    head.m_last_event_id = current.m_last_event;
    if (is_stream(current.m_route->m_retry_safety))
    {
        head.m_engine_priority = engine_priority(current.m_head.m_prompt);
    }
    asio::steady_timer fetched{m_state.m_executor};
    if (const auto wait = fetch_time(current, id))
    {
        fetched.expires_after(*wait);
        fetched.async_wait(
            [this, &current,
             attempt = std::weak_ptr{call}](const boost::system::error_code& error)
            {
                // A handler that is due already runs without an error even if the timer
                // and the request are gone.
                if (!error && !attempt.expired())
                {
                    release_results(current, true);
                }
            });
    }
    const auto answer = co_await call->send(
        platform::make_upstream_request(current.m_exchange.request(), head),
        first_byte_limit(current));
    attempt_outcome end = attempt_outcome::broken;
    if (is_ok(answer))
    {
        end = co_await read_answer(current, value_of(answer));
    }
    else if (error_of(answer).m_kind == http_error_kind::malformed)
    {
        end = attempt_outcome::unusable;
    }
    call->close();
    current.m_call.reset();
    count_running(false);
    co_return end;
}

std::optional<milliseconds> request_relay::fetch_time(const request& current,
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
        const auto maker = pools.find(stage.m_pool);
        const bool known = maker != pools.end() && maker->second.m_pieces;
        bytes += pieces_of(current, at) * stage.m_result_bytes;
        slowest =
            std::min(slowest, known ? maker->second.m_pieces->m_link_bytes_per_ms : 0);
    }
    return input_fetch_time(*row, *pool->second.m_engine, bytes, slowest);
}

void request_relay::note_attempt(request& current, attempt_outcome end, time_point began)
{
    const time_point at = now();
    upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    m_state.m_metrics.add("attempts", {{"end", to_text(end)}});
    if (end != attempt_outcome::answered)
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
    case attempt_outcome::not_sent:
    case attempt_outcome::wrong_upstream:
    case attempt_outcome::broken:
    case attempt_outcome::broken_stream:
    case attempt_outcome::unusable:
        record_unreachable(*row, at);
        break;
    case attempt_outcome::answered:
    case attempt_outcome::answered_with_fault:
    {
        const time_point first = std::max(began, current.m_first_byte);
        const double took = std::max(1.0, to_ms(first - began));
        double& usual = m_usual_ms[current.m_pool];
        usual = usual == 0 ? took : usual + sample_weight * (took - usual);
        constexpr double most = 8;
        const double slowness = std::clamp(took / std::max(1.0, usual), 0.3, most);
        record_response(*row, end == attempt_outcome::answered, slowness);
        break;
    }
    case attempt_outcome::declined:
    case attempt_outcome::input_gone:
        break;
    }
}

asio::awaitable<attempt_outcome> request_relay::read_answer(request& current,
                                                            http_answer_head head)
{
    const auto facts = platform::parse_response_metadata(head, current.m_head.m_request);
    if (facts.m_id_mismatch)
    {
        co_return attempt_outcome::unusable;
    }
    if (head.m_status == 421)
    {
        co_return attempt_outcome::wrong_upstream;
    }
    if (facts.m_not_run && head.m_status >= 400)
    {
        co_return head.m_status == 409 ? attempt_outcome::input_gone
                                       : attempt_outcome::declined;
    }
    if (!facts.m_signed)
    {
        co_return attempt_outcome::unusable;
    }
    const bool streams =
        is_stream(current.m_route->m_retry_safety) && head.m_status == 200;
    if (streams)
    {
        const auto end = co_await relay_stream(current, head, {});
        co_return end;
    }
    const auto end = co_await relay_whole(current, std::move(head));
    co_return end;
}

asio::awaitable<attempt_outcome> request_relay::relay_whole(request& current,
                                                            http_answer_head head)
{
    if (current.m_attempts.m_response_begun)
    {
        // The caller has part of a stream: another kind of answer cannot follow.
        co_return attempt_outcome::unusable;
    }
    std::string body;
    bool more = true;
    while (more)
    {
        const auto part = co_await current.m_call->read_part(time_left(current));
        if (!is_ok(part))
        {
            co_return attempt_outcome::broken;
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
    co_return head.m_status >= 500 ? attempt_outcome::answered_with_fault
                                   : attempt_outcome::answered;
}

asio::awaitable<attempt_outcome> request_relay::relay_stream(request& current,
                                                             const http_answer_head& head,
                                                             std::string begun)
{
    const bool resumes = current.m_attempts.m_response_begun;
    const bool may_resume =
        current.m_route->m_retry_safety == retry_safety::stream_resumable;
    if (!resumes)
    {
        current.m_answer.reset();
        current.m_answered = true;
        current.m_attempts.m_response_begun = true;
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
                co_return attempt_outcome::broken_stream;
            }
        }
        const bool again = may_resume && current.m_attempts.m_possible_runs + 1 <
                                             current.m_route->m_max_upstreams;
        const milliseconds pause =
            again ? std::min(time_left(current),
                             current.m_route->m_event_gap_target + pause_extra)
                  : time_left(current);
        auto next = co_await current.m_call->read_part(pause);
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

asio::awaitable<bool> request_relay::pass_on(request& current, std::string part)
{
    if (current.m_route->m_retry_safety != retry_safety::stream_resumable)
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

} // namespace geraniumdoor::edge
