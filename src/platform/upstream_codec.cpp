#include "json_fields.hpp"

#include <geraniumdoor/platform/upstream_codec.hpp>

#include <boost/json.hpp>

#include <utility>

namespace geraniumdoor
{

namespace json = boost::json;

namespace
{

result<stream_head, decode_error> decode_head(const json::object& object)
{
    auto request = string_field(object, "request_id");
    if (not request)
    {
        return missing_field("request_id");
    }
    const auto stage = integer_field<std::uint32_t>(object, "stage");
    if (not stage)
    {
        return missing_field("stage");
    }
    const auto attempt = integer_field<std::uint32_t>(object, "attempt");
    if (not attempt)
    {
        return missing_field("attempt");
    }
    const auto number = integer_field<std::uint64_t>(object, "incarnation");
    if (not number)
    {
        return missing_field("incarnation");
    }
    return stream_head{upstream_echo{std::move(*request), *stage, *attempt},
                       incarnation{*number}};
}

result<stream_line, decode_error> decode_token(const json::object& object)
{
    const auto index = integer_field<std::uint32_t>(object, "index");
    if (not index)
    {
        return missing_field("index");
    }
    auto token = string_field(object, "token");
    if (not token)
    {
        return missing_field("token");
    }
    return stream_token{*index, std::move(*token)};
}

result<stream_line, decode_error> decode_end(const json::object& object)
{
    const auto* done = object.if_contains("done");
    if (not done->is_bool() || not done->get_bool())
    {
        return missing_field("done");
    }
    const auto tokens = integer_field<std::uint32_t>(object, "tokens");
    if (not tokens)
    {
        return missing_field("tokens");
    }
    return stream_end{*tokens};
}

} // namespace

result<std::string, decode_error> encode_run(const stage_call& call)
{
    boost::system::error_code error;
    json::value input = json::parse(call.m_input, error);
    if (error)
    {
        return decode_error{"the input of the call is not JSON"};
    }
    const upstream_echo echo = expected_echo(call.m_key);
    json::object body;
    body["request_id"] = echo.m_request;
    body["stage"] = echo.m_stage;
    body["attempt"] = echo.m_attempt;
    body["operation"] = call.m_operation;
    body["input"] = std::move(input);
    body["tokens"] = json::value_from(call.m_delivered);
    return json::serialize(body);
}

upstream_echo expected_echo(const call_key& key)
{
    return upstream_echo{to_string(key.m_request), key.m_stage.m_value,
                         key.m_attempt.m_value};
}

result<run_answer, decode_error> decode_run_answer(std::string_view text)
{
    const auto object = parse_object(text);
    if (not object)
    {
        return not_an_object();
    }
    auto head = decode_head(*object);
    if (not is_ok(head))
    {
        return error_of(head);
    }
    const auto* output = object->if_contains("output");
    if (output == nullptr)
    {
        return missing_field("output");
    }
    return run_answer{value_of(head).m_echo, value_of(head).m_incarnation,
                      json::serialize(*output)};
}

result<stream_line, decode_error> decode_stream_line(std::string_view line)
{
    const auto object = parse_object(line);
    if (not object)
    {
        return not_an_object();
    }
    if (object->contains("error"))
    {
        return stream_failure{string_field(*object, "error").value_or("unnamed")};
    }
    if (object->contains("done"))
    {
        return decode_end(*object);
    }
    if (object->contains("index"))
    {
        return decode_token(*object);
    }
    auto head = decode_head(*object);
    if (not is_ok(head))
    {
        return error_of(head);
    }
    return value_of(std::move(head));
}

std::string encode_generated(std::string_view text)
{
    return json::serialize(json::object{{"text", text}});
}

result<load_report, decode_error> decode_load_report(const upstream_id& upstream,
                                                     std::string_view text)
{
    const auto object = parse_object(text);
    if (not object)
    {
        return not_an_object();
    }
    const auto number = integer_field<std::uint64_t>(*object, "incarnation");
    if (not number)
    {
        return missing_field("incarnation");
    }
    const auto state = string_field(*object, "state");
    if (not state || (*state != "cold" && *state != "warm" && *state != "leaving"))
    {
        return missing_field("state");
    }
    const auto outstanding = integer_field<std::uint32_t>(*object, "outstanding");
    if (not outstanding)
    {
        return missing_field("outstanding");
    }
    load_report report;
    report.m_upstream = upstream;
    report.m_incarnation = incarnation{*number};
    report.m_cold = *state == "cold";
    report.m_leaving = *state == "leaving";
    report.m_outstanding = *outstanding;
    report.m_sustained = integer_field<std::uint32_t>(*object, "sustained").value_or(0);
    return report;
}

} // namespace geraniumdoor
