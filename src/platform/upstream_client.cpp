#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/platform/upstream_client.hpp>
#include <geraniumdoor/platform/upstream_codec.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace geraniumdoor
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

std::optional<asio::ip::tcp::endpoint> to_tcp(const endpoint& address)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.m_ip, error);
    if (error)
    {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{ip, address.m_port};
}

upstream_call_end failed_end(const start_upstream_call& call, call_reason reason)
{
    upstream_call_end end;
    end.m_id = call.m_id;
    end.m_reason = reason;
    return end;
}

/// End of a call of which no byte has left.
upstream_call_end unsent_end(const start_upstream_call& call)
{
    upstream_call_end end = failed_end(call, call_reason::upstream_error);
    end.m_sent = false;
    return end;
}

void log_rejected(const start_upstream_call& call, std::string_view detail)
{
    log_event{"upstream_answer_rejected"}
        .add("upstream", call.m_upstream)
        .add("request", to_string(call.m_call.m_key.m_request))
        .add("stage", call.m_call.m_key.m_stage)
        .add("attempt", call.m_call.m_key.m_attempt)
        .add("reason", detail);
}

call_reason reason_of(const http_error& error)
{
    switch (error.m_kind)
    {
    case http_error_kind::timeout:
        return call_reason::upstream_timeout;
    case http_error_kind::aborted:
        return call_reason::cancelled;
    default:
        return call_reason::upstream_error;
    }
}

call_reason reason_of_status(unsigned status)
{
    const bool overloaded =
        status == status_unavailable || status == status_too_many_requests;
    return overloaded ? call_reason::upstream_overloaded : call_reason::upstream_error;
}

http_request run_request(std::string body)
{
    http_request request{"POST", "/v1/run", {}, std::move(body)};
    request.m_fields.emplace_back("Content-Type", "application/json");
    return request;
}

http_call_options run_options(const start_upstream_call& call,
                              std::shared_ptr<http_call_control> control)
{
    http_call_options options;
    options.m_timeout = call.m_timeout;
    options.m_fresh_connection = not call.m_call.m_idempotent;
    options.m_control = std::move(control);
    return options;
}

/// Fills the end from a whole answer. Returns whether the connection can be trusted with
/// another call: an answer with the echo of another call shows that it is out of step.
bool take_answer(const start_upstream_call& call, const http_response& answer,
                 upstream_call_end& end)
{
    if (answer.m_status != status_ok)
    {
        end.m_reason = reason_of_status(answer.m_status);
        return true;
    }
    auto decoded = decode_run_answer(answer.m_body);
    if (not is_ok(decoded))
    {
        log_rejected(call, error_of(decoded).m_detail);
        return false;
    }
    if (value_of(decoded).m_echo != expected_echo(call.m_call.m_key))
    {
        log_rejected(call, "the echo is of another call");
        return false;
    }
    end.m_answered = true;
    end.m_reason = call_reason::none;
    end.m_upstream_incarnation = value_of(decoded).m_incarnation;
    end.m_output = std::move(value_of(decoded).m_output);
    return true;
}

/// A stream that broke after its echo can be resumed, unlike a call that failed at once.
call_reason reason_of_broken(const stream_reader& reader, const http_error& error)
{
    if (error.m_kind == http_error_kind::closed &&
        reader.state() == stream_state::running)
    {
        return call_reason::broken_stream;
    }
    return reason_of(error);
}

} // namespace

upstream_client::upstream_client(http_client& http) : m_http{http} {}

asio::awaitable<upstream_call_end> upstream_client::run(start_upstream_call call,
                                                        token_callback on_token)
{
    auto control = std::make_shared<http_call_control>();
    m_running.put(call.m_id, control);
    auto end = co_await run_with(call, std::move(on_token), std::move(control));
    m_running.erase(call.m_id);
    co_return end;
}

void upstream_client::abort(upstream_call_id id)
{
    if (auto* control = m_running.find(id))
    {
        const control_pointer keep = *control;
        keep->abort();
    }
}

void upstream_client::abort_all()
{
    std::vector<control_pointer> running;
    for (const auto& [id, control] : m_running)
    {
        running.push_back(control);
    }
    for (const auto& control : running)
    {
        control->abort();
    }
}

asio::awaitable<upstream_call_end>
upstream_client::run_with(const start_upstream_call& call, token_callback on_token,
                          control_pointer control)
{
    auto body = encode_run(call.m_call);
    if (not is_ok(body))
    {
        log_rejected(call, error_of(body).m_detail);
        co_return unsent_end(call);
    }
    if (call.m_kind == stage_kind::generate)
    {
        co_return co_await run_stream(call, value_of(std::move(body)),
                                      std::move(on_token), std::move(control));
    }
    co_return co_await run_whole(call, value_of(std::move(body)), std::move(control));
}

asio::awaitable<upstream_call_end>
upstream_client::run_whole(const start_upstream_call& call, std::string body,
                           control_pointer control)
{
    const auto address = to_tcp(call.m_endpoint);
    if (not address)
    {
        co_return unsent_end(call);
    }
    auto request = run_request(std::move(body));
    auto options = run_options(call, std::move(control));
    upstream_call_end end = failed_end(call, call_reason::upstream_error);
    options.m_may_reuse = [&call, &end](const http_response& answer)
    {
        return take_answer(call, answer, end);
    };
    auto response =
        co_await m_http.send(*address, std::move(request), std::move(options));
    if (not is_ok(response))
    {
        end = failed_end(call, reason_of(error_of(response)));
        end.m_sent = error_of(response).m_sent;
        co_return end;
    }
    co_return end;
}

asio::awaitable<upstream_call_end>
upstream_client::run_stream(const start_upstream_call& call, std::string body,
                            token_callback on_token, control_pointer control)
{
    const auto address = to_tcp(call.m_endpoint);
    if (not address)
    {
        co_return unsent_end(call);
    }
    stream_reader reader{expected_echo(call.m_call.m_key), call.m_call.m_delivered,
                         std::move(on_token)};
    auto options = run_options(call, control);
    options.m_on_line = [&reader, control](std::string_view line)
    {
        if (not control->aborted() && not reader.read_line(line))
        {
            control->abort();
        }
    };
    options.m_may_reuse = [&reader](const http_response& answer)
    {
        return answer.m_status != status_ok || reader.state() == stream_state::whole;
    };
    auto request = run_request(std::move(body));
    auto response =
        co_await m_http.send(*address, std::move(request), std::move(options));
    upstream_call_end end = failed_end(call, call_reason::upstream_error);
    end.m_upstream_incarnation = reader.upstream_incarnation();
    end.m_tokens = reader.token_count();
    if (reader.state() == stream_state::wrong)
    {
        log_rejected(call, reader.detail());
        co_return end;
    }
    if (not is_ok(response))
    {
        end.m_reason = reason_of_broken(reader, error_of(response));
        end.m_sent = error_of(response).m_sent;
        co_return end;
    }
    if (value_of(response).m_status != status_ok)
    {
        end.m_reason = reason_of_status(value_of(response).m_status);
        co_return end;
    }
    if (reader.state() != stream_state::whole)
    {
        end.m_reason = call_reason::broken_stream;
        co_return end;
    }
    end.m_answered = true;
    end.m_reason = call_reason::none;
    end.m_output = encode_generated(reader.text());
    co_return end;
}

asio::awaitable<result<load_report, upstream_error>>
upstream_client::read_load(upstream_id upstream, endpoint address, milliseconds timeout)
{
    const auto target = to_tcp(address);
    if (not target)
    {
        co_return upstream_error{upstream_error_kind::bad_address, address.m_ip};
    }
    http_call_options options;
    options.m_timeout = timeout;
    http_request request{"GET", "/v1/load", {}, {}};
    auto response = co_await m_http.send(*target, std::move(request), std::move(options));
    if (not is_ok(response))
    {
        co_return upstream_error{upstream_error_kind::no_answer,
                                 to_text(error_of(response).m_kind)};
    }
    if (value_of(response).m_status != status_ok)
    {
        co_return upstream_error{upstream_error_kind::bad_status,
                                 std::to_string(value_of(response).m_status)};
    }
    auto report = decode_load_report(upstream, value_of(response).m_body);
    if (not is_ok(report))
    {
        co_return upstream_error{upstream_error_kind::malformed,
                                 error_of(report).m_detail};
    }
    co_return value_of(std::move(report));
}

} // namespace geraniumdoor
