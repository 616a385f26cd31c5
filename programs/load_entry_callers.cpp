#include "load_policies.hpp"

#include <algorithm>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace
{

constexpr unsigned http_status_ok = 200;
constexpr std::size_t caller_count = 40;
constexpr milliseconds address_timeout{500};
/// Time after the deadline in which a final answer is still waited for.
constexpr milliseconds answer_grace{1000};
constexpr unsigned max_attempts = 4;

bool has_once_stage(const pipeline_config& pipeline)
{
    return std::any_of(pipeline.m_stages.begin(), pipeline.m_stages.end(),
                       [](const stage_config& stage)
                       {
                           return !stage.m_idempotent;
                       });
}

http_request make_request(const load_arrival& arrival, milliseconds left)
{
    http_request request;
    request.m_method = "POST";
    request.m_target =
        "/v1/pipelines/" + percent_encode(arrival.m_pipeline->m_id.m_value);
    request.m_fields.emplace_back("Content-Type", "application/json");
    request.m_fields.emplace_back("X-Workspace", arrival.m_workspace);
    request.m_fields.emplace_back("X-Deadline-Ms", std::to_string(left.count()));
    if (has_once_stage(*arrival.m_pipeline))
    {
        request.m_fields.emplace_back("Idempotency-Key", arrival.m_marker);
    }
    if (arrival.m_streamed)
    {
        request.m_fields.emplace_back("Accept", "application/x-ndjson");
    }
    request.m_body =
        json::serialize(json::object{{"input", {{"marker", arrival.m_marker}}}});
    return request;
}

void note_error(const http_error& error, load_outcome& outcome)
{
    outcome.m_code = to_text(error.m_kind);
    if (!error.m_sent)
    {
        ++outcome.m_connect_failed;
    }
    else if (error.m_kind != http_error_kind::timeout)
    {
        ++outcome.m_cut;
    }
}

} // namespace

entry_callers::entry_callers(http_client& http, const load_deployment& deployment,
                             std::vector<tcp::endpoint> hosts)
    : m_http{http}
    , m_deployment{deployment}
    , m_hosts{std::move(hosts)}
    , m_callers(caller_count)
{
}

asio::awaitable<void> entry_callers::refresh(caller& own)
{
    http_request request;
    request.m_target = "/v1/addresses";
    http_call_options options;
    options.m_timeout = address_timeout;
    options.m_fresh_connection = true;
    for (std::size_t tried = 0; tried < m_hosts.size(); ++tried)
    {
        const auto host = m_hosts[m_next_host++ % m_hosts.size()];
        const auto answer = co_await m_http.send(host, request, options);
        if (!is_ok(answer) || value_of(answer).m_status != 200)
        {
            continue;
        }
        const json::value document = json::parse(value_of(answer).m_body);
        std::vector<tcp::endpoint> addresses;
        for (const auto& row : document.at("addresses").as_array())
        {
            const std::string ip{row.at("ip").as_string()};
            addresses.emplace_back(asio::ip::make_address(ip),
                                   row.at("port").to_number<std::uint16_t>());
        }
        const seconds keep{document.at("keep_s").to_number<std::int64_t>()};
        own.m_expires = std::chrono::steady_clock::now() + keep;
        own.m_addresses = std::move(addresses);
        co_return;
    }
}

asio::awaitable<void> entry_callers::run(const load_arrival& arrival, time_point arrived,
                                         load_outcome& outcome)
{
    caller& own = m_callers[m_next_caller++ % caller_count];
    if (std::chrono::steady_clock::now() >= own.m_expires)
    {
        co_await refresh(own);
    }
    const auto addresses = own.m_addresses;
    const time_point deadline = arrived + arrival.m_pipeline->m_deadline;
    bool ended = addresses.empty();
    outcome.m_code = ended ? "no_address" : "";
    for (unsigned attempt = 0; !ended && attempt < max_attempts; ++attempt)
    {
        const tcp::endpoint& address = addresses[attempt % addresses.size()];
        ended = co_await try_address(arrival, address, deadline, outcome);
    }
}

/// Returns whether the request is over: an answer came or its time is up.
asio::awaitable<bool> entry_callers::try_address(const load_arrival& arrival,
                                                 tcp::endpoint address,
                                                 time_point deadline,
                                                 load_outcome& outcome)
{
    const time_point begin = std::chrono::steady_clock::now();
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - begin);
    if (left <= milliseconds::zero())
    {
        co_return true;
    }
    answer_checker checker{arrival, m_deployment.m_tokens, outcome};
    http_call_options options;
    options.m_timeout = left + answer_grace;
    options.m_fresh_connection = has_once_stage(*arrival.m_pipeline);
    if (arrival.m_streamed)
    {
        options.m_on_line = [&](std::string_view line)
        {
            checker.take_line(line);
        };
    }
    http_request request = make_request(arrival, left);
    const auto answer = co_await m_http.send(address, std::move(request), options);
    outcome.m_exchange = std::chrono::steady_clock::now() - begin;
    if (!is_ok(answer))
    {
        note_error(error_of(answer), outcome);
        co_return outcome.m_ended || error_of(answer).m_kind == http_error_kind::timeout;
    }
    // A refused stream is answered with one whole error document.
    if (arrival.m_streamed && value_of(answer).m_status == http_status_ok)
    {
        checker.finish_stream();
    }
    else
    {
        checker.take_body(value_of(answer).m_body);
    }
    // A stream without its last line is not whole; the caller asks again.
    co_return outcome.m_ended;
}

} // namespace geraniumdoor
