#include "request_relay.hpp"

#include "relay_values.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Time to return that a host names which does not know a configuration yet.
constexpr milliseconds start_retry{300};

/// Period in which a waiting request looks whether the host is ready.
constexpr milliseconds start_check{20};

/// Time in which the last bytes of an answer still reach the caller.
constexpr milliseconds answer_margin{10};

/// Time after which callers abandon a stream without an event. Source: the platform's
/// page on requests.
milliseconds stream_patience(const route& chosen)
{
    constexpr milliseconds least{2000};
    constexpr int goals = 4;
    constexpr int pauses = 8;
    return std::max(
        {least, chosen.m_latency_target * goals, chosen.m_event_gap_target * pauses});
}

} // namespace

request_relay::request_relay(edge_state& state, stage_client& stages,
                             const stage_scheduler& queues)
    : m_state{state}, m_stages{stages}, m_queues{queues}, m_started{now()}
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
    auto rejection = read_head(current);
    if (!rejection)
    {
        co_await wait_for_start(current);
        rejection = accept(current);
    }
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

std::optional<http_response> request_relay::read_head(request& current)
{
    auto head = platform::parse_request_metadata(current.m_exchange.request());
    if (!is_ok(head))
    {
        current.m_detail = error_of(head).m_detail;
        return platform::make_error_response(400, current.m_detail);
    }
    current.m_head = value_of(std::move(head));
    return std::nullopt;
}

bool request_relay::knows_enough() const
{
    return m_state.m_routing && m_state.m_registry_loaded;
}

asio::awaitable<void> request_relay::wait_for_start(request& current)
{
    const time_point last =
        startup_wait_end(m_started, current.m_arrived, current.m_head.m_deadline);
    while (!knows_enough() && !current.m_caller_gone && now() < last)
    {
        asio::steady_timer timer{m_state.m_executor, start_check};
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::optional<http_response> request_relay::accept(request& current)
{
    const http_request& asked = current.m_exchange.request();
    current.m_routing = m_state.m_routing;
    if (!knows_enough())
    {
        current.m_detail = "no configuration yet";
        return platform::make_unavailable_response(start_retry, current.m_detail);
    }
    current.m_route =
        find_route(*current.m_routing, current.m_head.m_host, asked.m_target);
    if (current.m_route == nullptr)
    {
        current.m_detail = "no route";
        return platform::make_error_response(404, current.m_detail);
    }
    const std::size_t stages = current.m_route->m_stages.size();
    current.m_results.resize(stages);
    current.m_result_hosts.resize(stages);
    current.m_jobs.assign(stages, 0);
    current.m_stage_done.assign(stages, false);
    current.m_stage_submitted.assign(stages, false);
    current.m_submitted_at.assign(stages, time_point{});
    if (current.m_routing->m_keys_required && !current.m_route->m_public)
    {
        const auto owner = current.m_routing->m_api_keys.find(current.m_head.m_api_key);
        if (owner == current.m_routing->m_api_keys.end())
        {
            current.m_detail = "unknown key";
            return platform::make_error_response(401, current.m_detail);
        }
        current.m_workspace = owner->second;
    }
    current.m_pool = choose_pool(*current.m_route, current.m_head.m_request);
    const milliseconds wait =
        std::min(current.m_head.m_deadline.value_or(current.m_route->m_timeout),
                 current.m_route->m_timeout);
    current.m_deadline = current.m_arrived + wait - answer_margin;
    current.m_goal = current.m_arrived + current.m_route->m_latency_target;
    current.m_first_byte_deadline = current.m_deadline;
    if (is_stream(current.m_route->m_retry_safety))
    {
        current.m_first_byte_deadline = std::min(
            current.m_deadline,
            current.m_arrived + stream_patience(*current.m_route) - answer_margin);
    }
    current.m_attempts.m_retry_safety = current.m_route->m_retry_safety;
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
    if (current.m_attempts.m_response_begun)
    {
        // A stream whose inputs could not be made again for its continuation.
        log_end(current, "cut_off", 0);
        current.m_exchange.drop();
        co_return;
    }
    if (current.m_attempts.m_possible_runs > 0)
    {
        // A refusal would say that nothing has run.
        co_await fail(current);
        co_return;
    }
    current.m_answered = true;
    const milliseconds back = retry_after_delay(until_capacity, time_left(current));
    log_end(current, "refused", 503);
    co_await current.m_exchange.respond(
        platform::make_unavailable_response(back, reason));
}

milliseconds request_relay::time_left(const request& current) const
{
    return ms_between(now(), current.m_deadline);
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
        .add("ran", current.m_attempts.m_possible_runs)
        .add("not_run", current.m_attempts.m_not_run_attempts)
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
