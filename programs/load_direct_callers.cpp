#include "../standins/upstream_outputs.hpp"
#include "load_policies.hpp"

#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Output of a stage, or an empty text if the answer does not carry the echo of the call
/// or is not whole.
std::string read_output(std::string_view body, const json::object& call, bool engine)
{
    std::string text;
    bool echoed = false;
    bool whole = !engine;
    std::size_t start = 0;
    while (start < body.size())
    {
        const auto end = std::min(body.find('\n', start), body.size());
        boost::system::error_code error;
        const json::value line = json::parse(body.substr(start, end - start), error);
        start = end + 1;
        const auto* object = error ? nullptr : line.if_object();
        if (object == nullptr)
        {
            return {};
        }
        if (object->contains("request_id"))
        {
            echoed = object->at("request_id") == call.at("request_id") &&
                     object->at("attempt").as_int64() == call.at("attempt").as_int64();
        }
        if (object->contains("output"))
        {
            text = json::serialize(object->at("output"));
        }
        if (object->contains("token"))
        {
            text += object->at("token").as_string();
        }
        whole = whole || object->contains("done");
    }
    if (!echoed || !whole)
    {
        return {};
    }
    return engine ? json::serialize(json::object{{"text", text}}) : text;
}

} // namespace

direct_callers::direct_callers(http_client& http, const load_deployment& deployment,
                               unsigned retries)
    : m_http{http}, m_deployment{deployment}, m_retries{retries}
{
}

const load_upstream& direct_callers::next_of(const std::string& pool)
{
    const auto& upstreams = m_deployment.m_pools.at(pool);
    return upstreams[m_next[pool]++ % upstreams.size()];
}

asio::awaitable<void> direct_callers::run(const load_arrival& arrival, time_point arrived,
                                          load_outcome& outcome)
{
    const time_point begin = std::chrono::steady_clock::now();
    const time_point deadline = arrived + arrival.m_pipeline->m_deadline;
    outcome.m_request_ids.push_back(arrival.m_marker);
    stage_step step;
    step.m_arrival = &arrival;
    step.m_input = json::serialize(json::object{{"marker", arrival.m_marker}});
    for (step.m_index = 0; step.m_index < arrival.m_pipeline->m_stages.size();
         ++step.m_index)
    {
        std::string output;
        for (unsigned retry = 0; output.empty() && retry <= m_retries; ++retry)
        {
            // A caller does not send again when its time is over.
            if (std::chrono::steady_clock::now() >= deadline)
            {
                break;
            }
            ++step.m_attempt;
            output = co_await call(step, outcome);
        }
        if (output.empty())
        {
            outcome.m_ended = true;
            outcome.m_code = "upstream_failed";
            outcome.m_ran = "unknown";
            co_return;
        }
        step.m_input = std::move(output);
    }
    outcome.m_exchange = std::chrono::steady_clock::now() - begin;
    outcome.m_ended = true;
    outcome.m_whole = true;
    outcome.m_code = "ok";
    outcome.m_wrong_caller = marker_of(json::parse(step.m_input)) != arrival.m_marker;
}

asio::awaitable<std::string> direct_callers::call(stage_step step, load_outcome& outcome)
{
    const auto& stage = step.m_arrival->m_pipeline->m_stages[step.m_index];
    const pool_config& pool = *find_pool(m_deployment.m_config, stage.m_pool);
    const load_upstream& upstream = next_of(stage.m_pool.m_value);
    const json::object body{{"request_id", step.m_arrival->m_marker},
                            {"stage", static_cast<std::int64_t>(step.m_index)},
                            {"attempt", static_cast<std::int64_t>(step.m_attempt)},
                            {"operation", stage.m_operation},
                            {"input", json::parse(step.m_input)},
                            {"tokens", json::array{}}};
    http_request request;
    request.m_method = "POST";
    request.m_target = "/v1/run";
    request.m_body = json::serialize(body);
    http_call_options options;
    options.m_timeout = pool.m_timeout;
    const auto answer =
        co_await m_http.send(upstream.m_address, std::move(request), options);
    if (!is_ok(answer) || value_of(answer).m_status != 200)
    {
        co_return std::string{};
    }
    std::string output =
        read_output(value_of(answer).m_body, body, pool.m_kind == stage_kind::generate);
    if (!output.empty())
    {
        outcome.m_upstreams.push_back(upstream.m_id);
    }
    co_return output;
}

} // namespace geraniumdoor
