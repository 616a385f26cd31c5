#include "caller_request.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace geraniumdoor
{

namespace
{

namespace json = boost::json;

constexpr std::string_view pipelines_path = "/v1/pipelines/";
constexpr std::size_t max_key_length = 200;

using checked = result<pipeline_request, request_refusal>;

request_refusal refuse(unsigned status, std::string code, std::string field,
                       std::string message)
{
    request_refusal refusal;
    refusal.m_status = status;
    refusal.m_error.m_code = std::move(code);
    refusal.m_error.m_field = std::move(field);
    refusal.m_error.m_message = std::move(message);
    return refusal;
}

request_refusal bad_request(std::string field, std::string message)
{
    return refuse(400, "bad_request", std::move(field), std::move(message));
}

std::optional<request_refusal> read_deadline(const http_request& request,
                                             milliseconds standard, milliseconds longest,
                                             time_point now, time_point& deadline)
{
    const std::string_view text = find_field(request.m_fields, "X-Deadline-Ms");
    std::int64_t value = standard.count();
    if (!text.empty())
    {
        const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), value);
        const bool whole = error == std::errc{} && end == text.data() + text.size();
        if (!whole || value < 1 || value > longest.count())
        {
            return bad_request(
                "X-Deadline-Ms",
                "the deadline is a whole number of milliseconds from 1 to " +
                    std::to_string(longest.count()));
        }
    }
    deadline = now + milliseconds{value};
    return std::nullopt;
}

std::optional<request_refusal> read_key(const http_request& request,
                                        std::optional<std::string>& key)
{
    const std::string_view text = find_field(request.m_fields, "Idempotency-Key");
    if (text.size() > max_key_length)
    {
        return bad_request("Idempotency-Key", "the key is longer than 200 characters");
    }
    if (!text.empty())
    {
        key = std::string{text};
    }
    return std::nullopt;
}

std::optional<request_refusal> read_input(const http_request& request, std::string& input)
{
    boost::system::error_code error;
    const json::value document = json::parse(request.m_body, error);
    if (error)
    {
        return bad_request("body", "the body is not JSON: " + error.message());
    }
    const json::object* object = document.if_object();
    if (object == nullptr)
    {
        return bad_request("body", "the body is a JSON object with the field \"input\"");
    }
    for (const auto& field : *object)
    {
        if (field.key() != "input")
        {
            return bad_request(field.key(),
                               "the field is unknown; \"input\" is accepted");
        }
    }
    const json::value* value = object->if_contains("input");
    if (value == nullptr)
    {
        return bad_request("input", "the field is missing");
    }
    input = json::serialize(*value);
    return std::nullopt;
}

} // namespace

result<pipeline_request, request_refusal>
read_caller_request(const http_request& request, const configuration& config,
                    milliseconds longest_deadline, time_point now)
{
    pipeline_request wanted;
    const std::string_view target = request.m_target;
    wanted.m_pipeline = {percent_decode(target.substr(pipelines_path.size()))};
    const pipeline_config* pipeline = find_pipeline(config, wanted.m_pipeline);
    if (pipeline == nullptr)
    {
        return refuse(404, "unknown_pipeline", "pipeline",
                      "pipeline \"" + wanted.m_pipeline.m_value + "\" does not exist");
    }
    wanted.m_workspace = {std::string{find_field(request.m_fields, "X-Workspace")}};
    if (wanted.m_workspace.m_value.empty())
    {
        return bad_request("X-Workspace", "the header is missing");
    }
    if (find_workspace(config, wanted.m_workspace) == nullptr)
    {
        return refuse(404, "unknown_workspace", "X-Workspace",
                      "workspace \"" + wanted.m_workspace.m_value + "\" does not exist");
    }
    const std::string_view accept = find_field(request.m_fields, "Accept");
    wanted.m_streamed = accept.find("application/x-ndjson") != std::string_view::npos;
    auto fault = read_deadline(request, pipeline->m_deadline, longest_deadline, now,
                               wanted.m_deadline);
    if (!fault)
    {
        fault = read_key(request, wanted.m_idempotency_key);
    }
    if (!fault)
    {
        fault = read_input(request, wanted.m_input);
    }
    if (fault)
    {
        return *fault;
    }
    return wanted;
}

} // namespace geraniumdoor
