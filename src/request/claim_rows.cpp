#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/request/claim_rows.hpp>

#include <boost/json.hpp>

#include <array>
#include <utility>

namespace geraniumdoor
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 4> state_names{"running", "done", "in_doubt",
                                                      "withdrawn"};

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           c == '-' || c == '_' || c == '.';
}

/// Percent-encodes everything but letters, digits and "-_.", so that different keys never
/// map to the same row.
std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string encoded;
    for (const char c : text)
    {
        if (is_unreserved(c))
        {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

json::value request_json(const request_id& id)
{
    return {{"node", id.m_node.m_value},
            {"incarnation", id.m_incarnation.m_value},
            {"counter", id.m_counter}};
}

std::string text_of(const json::object& object, std::string_view name)
{
    return std::string{object.at(name).as_string()};
}

std::uint64_t number_of(const json::object& object, std::string_view name)
{
    return object.at(name).to_number<std::uint64_t>();
}

request_id request_of(const json::object& object)
{
    const auto& request = object.at("request").as_object();
    return {{text_of(request, "node")},
            {number_of(request, "incarnation")},
            number_of(request, "counter")};
}

claim_state state_of(const json::object& object)
{
    const auto name = text_of(object, "state");
    for (std::size_t at = 0; at < state_names.size(); ++at)
    {
        if (state_names[at] == name)
        {
            return static_cast<claim_state>(at);
        }
    }
    throw std::invalid_argument{"unknown claim state " + name};
}

claim_row read_claim(const json::object& object)
{
    claim_row row;
    row.m_attempt = {text_of(object, "attempt")};
    row.m_holder = {text_of(object, "holder")};
    row.m_incarnation = {number_of(object, "incarnation")};
    row.m_state = state_of(object);
    row.m_request = request_of(object);
    row.m_pipeline = {text_of(object, "pipeline")};
    row.m_body = text_of(object, "body");
    row.m_created_unix_s = object.at("created_unix_s").to_number<std::int64_t>();
    row.m_retention_s = object.at("retention_s").to_number<std::int64_t>();
    row.m_output = text_of(object, "output");
    if (object.contains("answer"))
    {
        row.m_answer = text_of(object, "answer");
    }
    return row;
}

stage_index stage_of(const json::object& object, std::string_view name)
{
    return {object.at(name).to_number<std::uint32_t>()};
}

follow_up_row read_follow_up(const json::object& object)
{
    follow_up_row row;
    row.m_request = request_of(object);
    row.m_workspace = {text_of(object, "workspace")};
    row.m_pipeline = {text_of(object, "pipeline")};
    row.m_after = stage_of(object, "after");
    row.m_stage = stage_of(object, "stage");
    row.m_input = text_of(object, "input");
    row.m_holder = {text_of(object, "holder")};
    row.m_incarnation = {number_of(object, "incarnation")};
    return row;
}

/// Converts exceptions of Boost.JSON and of number conversion into an error value.
template<class Row, class Read>
result<Row, row_format_error> parse_with(std::string_view text, Read read)
{
    try
    {
        const auto value = json::parse(text);
        return read(value.as_object());
    }
    catch (const std::exception& error)
    {
        return row_format_error{error.what()};
    }
}

} // namespace

std::string claim_row_key(const workspace_id& workspace, std::string_view request_key,
                          std::uint32_t ordinal)
{
    return std::string{claim_prefix} + percent_encode(workspace.m_value) + '/' +
           std::string{request_key} + '/' + std::to_string(ordinal);
}

std::string follow_up_row_key(const request_id& request, stage_index stage)
{
    return std::string{follow_up_prefix} + to_string(request) + '/' +
           std::to_string(stage.m_value);
}

std::string request_key(const std::optional<std::string>& supplied,
                        const workspace_id& workspace, const pipeline_id& pipeline,
                        std::string_view body)
{
    if (supplied)
    {
        return "key." + percent_encode(*supplied);
    }
    // Length prefixes distinguish "ab"+"c" from "a"+"bc".
    std::string identity = std::to_string(workspace.m_value.size()) + ':';
    identity += workspace.m_value + std::to_string(pipeline.m_value.size()) + ':';
    identity += pipeline.m_value;
    identity += body;
    return "digest." + digest_hex(identity);
}

std::string to_json_text(const claim_row& row)
{
    json::object object{{"attempt", row.m_attempt.m_value},
                        {"holder", row.m_holder.m_value},
                        {"incarnation", row.m_incarnation.m_value},
                        {"state", state_names[static_cast<std::size_t>(row.m_state)]},
                        {"request", request_json(row.m_request)},
                        {"pipeline", row.m_pipeline.m_value},
                        {"body", row.m_body},
                        {"created_unix_s", row.m_created_unix_s},
                        {"retention_s", row.m_retention_s},
                        {"output", row.m_output}};
    if (row.m_answer)
    {
        object["answer"] = *row.m_answer;
    }
    return json::serialize(object);
}

std::string to_json_text(const follow_up_row& row)
{
    return json::serialize(json::value{{"request", request_json(row.m_request)},
                                       {"workspace", row.m_workspace.m_value},
                                       {"pipeline", row.m_pipeline.m_value},
                                       {"after", row.m_after.m_value},
                                       {"stage", row.m_stage.m_value},
                                       {"input", row.m_input},
                                       {"holder", row.m_holder.m_value},
                                       {"incarnation", row.m_incarnation.m_value}});
}

result<claim_row, row_format_error> parse_claim_row(std::string_view text)
{
    return parse_with<claim_row>(text, read_claim);
}

result<follow_up_row, row_format_error> parse_follow_up_row(std::string_view text)
{
    return parse_with<follow_up_row>(text, read_follow_up);
}

} // namespace geraniumdoor
