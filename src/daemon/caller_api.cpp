#include "answer_document.hpp"
#include "caller_request.hpp"
#include "entry_node.hpp"
#include "wall_clock.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/request/answer_names.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view json_type = "application/json";
constexpr std::string_view stream_type = "application/x-ndjson";

/// Memory of a request in progress besides the caller's connection and the input.
constexpr std::size_t request_bytes = std::size_t{8} * 1024;

/// Copies of the input: the request in progress, its stage at the dispatcher, and what is
/// sent to an upstream or to another host.
constexpr std::size_t input_copies = 3;

http_response json_response(unsigned status, std::string body)
{
    http_response response;
    response.m_status = status;
    response.m_fields.emplace_back("Content-Type", json_type);
    response.m_body = std::move(body);
    return response;
}

void add_retry_after(http_response& response, milliseconds wait)
{
    if (wait > milliseconds::zero())
    {
        const auto whole = std::chrono::ceil<seconds>(wait);
        response.m_fields.emplace_back("Retry-After", std::to_string(whole.count()));
    }
}

http_response refusal_response(const request_refusal& refusal)
{
    auto response = json_response(refusal.m_status, encode_error(refusal.m_error));
    add_retry_after(response, refusal.m_error.m_retry_after);
    return response;
}

http_response answer_response(const pipeline_answer& answer)
{
    if (answer.m_code == answer_code::ok)
    {
        return json_response(200, encode_answer(answer));
    }
    auto response =
        json_response(status_of(answer.m_code), encode_error(error_of_answer(answer)));
    add_retry_after(response, answer.m_retry_after);
    return response;
}

} // namespace

asio::awaitable<void> entry_node::serve_caller(http_exchange& exchange)
{
    const auto self = shared_from_this();
    const http_request& request = exchange.request();
    const bool is_pipeline = request.m_target.starts_with("/v1/pipelines/");
    if (is_pipeline && request.m_method == "POST")
    {
        co_await serve_pipeline(exchange);
        co_return;
    }
    http_response response;
    if (request.m_target == "/v1/addresses" && request.m_method == "GET")
    {
        response = json_response(200, encode_address_answer());
    }
    else
    {
        error_document error;
        error.m_code = "not_found";
        error.m_field = is_pipeline ? "method" : "path";
        error.m_message = "GET /v1/addresses and POST /v1/pipelines/{name} are accepted";
        response = json_response(404, encode_error(error));
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> entry_node::serve_pipeline(http_exchange& exchange)
{
    const time_point started = std::chrono::steady_clock::now();
    co_await wait_until_ready();
    auto checked =
        is_ready()
            ? read_caller_request(exchange.request(), m_coordinator.m_config,
                                  m_settings.m_requests.m_longest_deadline, started)
            : not_ready_refusal();
    memory_lease memory{m_caller_memory, {}};
    if (is_ok(checked) && m_sessions.size() >= m_settings.m_requests.m_in_progress)
    {
        checked =
            overloaded_refusal("this host has as many requests in progress as it takes");
    }
    else if (is_ok(checked) &&
             !memory.resize(request_bytes +
                            input_copies * value_of(checked).m_input.size()))
    {
        checked = overloaded_refusal("this host has no memory for the request");
    }
    if (!is_ok(checked))
    {
        m_metrics.add("gd_refused_total", {{"reason", error_of(checked).m_error.m_code}});
        http_response response = refusal_response(error_of(checked));
        co_await exchange.respond(std::move(response));
        co_return;
    }
    pipeline_request wanted = std::move(value_of(checked));
    wanted.m_received_unix_s = unix_seconds();
    wanted.m_retention = wanted.m_idempotency_key
                             ? m_settings.m_requests.m_supplied_key_keep
                             : m_settings.m_requests.m_derived_key_keep;
    wanted.m_id = request_id{m_settings.m_node, m_incarnation, ++m_last_request};
    auto session = std::make_shared<caller_session>(m_io.get_executor());
    m_sessions[wanted.m_id] = session;
    exchange.on_peer_closed(
        [this, id = wanted.m_id]
        {
            leave_caller(id);
        });
    coordinator_actions actions;
    start_request(m_coordinator, wanted, started, actions);
    run(actions);
    if (wanted.m_streamed)
    {
        co_await send_stream(exchange, session);
    }
    else
    {
        co_await send_whole(exchange, session);
    }
    if (session->final_answer())
    {
        note_answer(wanted, *session->final_answer(), started);
    }
}

void entry_node::leave_caller(const request_id& id)
{
    const auto at = m_sessions.find(id);
    if (at == m_sessions.end())
    {
        return;
    }
    const auto session = at->second;
    m_sessions.erase(at);
    log_event{"caller_gone"}.add("request", to_string(id));
    m_metrics.add("gd_callers_gone_total", {});
    coordinator_actions actions;
    on_caller_disconnected(m_coordinator, id, std::chrono::steady_clock::now(), actions);
    run(actions);
    session->close();
}

asio::awaitable<void> entry_node::send_whole(http_exchange& exchange,
                                             std::shared_ptr<caller_session> session)
{
    while (!session->final_answer() && !session->closed())
    {
        co_await session->wait();
        session->take_parts();
    }
    if (session->closed())
    {
        exchange.drop();
        co_return;
    }
    http_response response = answer_response(*session->final_answer());
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> entry_node::send_stream(http_exchange& exchange,
                                              std::shared_ptr<caller_session> session)
{
    co_await session->wait();
    const bool refused = session->parts().empty() && session->final_answer() &&
                         session->final_answer()->m_code != answer_code::ok;
    if (refused || session->closed())
    {
        co_await send_whole(exchange, session);
        co_return;
    }
    std::string type{stream_type};
    co_await exchange.begin_stream(200, std::move(type));
    bool open = true;
    while (open && !session->closed())
    {
        std::string lines;
        for (const auto& part : session->take_parts())
        {
            lines += encode_part(part);
        }
        const bool last = session->final_answer().has_value();
        if (last)
        {
            lines += encode_stream_end(*session->final_answer());
        }
        open = co_await exchange.write_part(std::move(lines));
        if (last)
        {
            break;
        }
        co_await session->wait();
    }
    co_await exchange.end_stream();
}

/// Waits at most 1 s for the configuration. Other hosts name a started host to callers as
/// soon as it is a member, which is a pull of the configuration before it is ready.
asio::awaitable<void> entry_node::wait_until_ready()
{
    constexpr milliseconds poll{10};
    constexpr int most_polls = 100;
    asio::steady_timer timer{m_io};
    for (int polls = 0; !is_ready() && polls < most_polls; ++polls)
    {
        timer.expires_after(poll);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

request_refusal entry_node::overloaded_refusal(const char* reason) const
{
    constexpr milliseconds retry_after{1000};
    request_refusal refusal;
    refusal.m_status = 503;
    refusal.m_error.m_code = name_of(answer_code::overloaded);
    refusal.m_error.m_message = reason;
    refusal.m_error.m_retry_after = retry_after;
    return refusal;
}

result<pipeline_request, request_refusal> entry_node::not_ready_refusal() const
{
    constexpr milliseconds retry_after{1000};
    request_refusal refusal;
    refusal.m_status = 503;
    refusal.m_error.m_code = name_of(answer_code::not_ready);
    refusal.m_error.m_message = readiness();
    refusal.m_error.m_retry_after = retry_after;
    return refusal;
}

void entry_node::note_answer(const pipeline_request& request,
                             const pipeline_answer& answer, time_point started)
{
    const duration length = std::chrono::steady_clock::now() - started;
    const bool in_time = started + length <= request.m_deadline;
    const bool attained = answer.m_code == answer_code::ok && in_time;
    const metric_labels labels{{"pipeline", request.m_pipeline.m_value},
                               {"workspace", request.m_workspace.m_value}};
    m_metrics.add("gd_requests_total", labels);
    m_metrics.add("gd_attained_total", labels, attained ? 1 : 0);
    m_metrics.observe("gd_request_seconds", {{"pipeline", request.m_pipeline.m_value}},
                      to_s(length));
    if (answer.m_code != answer_code::ok)
    {
        m_metrics.add("gd_refused_total",
                      {{"reason", std::string{name_of(answer.m_code)}}});
    }
    for (const auto& stage : answer.m_stages)
    {
        const double cost = stage.m_upstream_us / 1e6;
        m_metrics.observe("gd_stage_seconds", {{"stage", stage.m_name}}, cost);
        m_metrics.add("gd_stage_cost_seconds_total", {{"stage", stage.m_name}}, cost);
    }
    log_event{"answer"}
        .add("request", to_string(answer.m_id))
        .add("pipeline", request.m_pipeline)
        .add("workspace", request.m_workspace)
        .add("code", name_of(answer.m_code))
        .add("ran", name_of(answer.m_ran))
        .add("ms", to_ms(length))
        .add("in_time", in_time)
        .add("replayed", answer.m_replayed)
        .add("reason", answer.m_message);
}

} // namespace geraniumdoor
