#include "answer_document.hpp"

#include <geraniumdoor/request/answer_names.hpp>

#include <boost/json.hpp>

namespace geraniumdoor
{

namespace
{

namespace json = boost::json;

json::object error_object(const error_document& error)
{
    json::object fields;
    fields["code"] = error.m_code;
    fields["field"] = error.m_field;
    fields["message"] = error.m_message;
    fields["ran"] = name_of(error.m_ran);
    fields["retry_after_ms"] = error.m_retry_after.count();
    json::object document;
    document["error"] = std::move(fields);
    return document;
}

json::array stages_array(const pipeline_answer& answer)
{
    json::array stages;
    for (const auto& stage : answer.m_stages)
    {
        json::object row;
        row["name"] = stage.m_name;
        row["upstream"] = stage.m_upstream.m_value;
        row["attempts"] = stage.m_attempts;
        row["upstream_us"] = stage.m_upstream_us;
        stages.push_back(std::move(row));
    }
    return stages;
}

/// Output of the last stage as a JSON value; text that is not JSON is passed as a string.
json::value output_value(const std::string& output)
{
    boost::system::error_code error;
    json::value value = json::parse(output, error);
    if (error)
    {
        return json::value(output);
    }
    return value;
}

} // namespace

unsigned status_of(answer_code code)
{
    switch (code)
    {
    case answer_code::ok:
        return 200;
    case answer_code::key_reused:
    case answer_code::in_progress:
        return 409;
    case answer_code::in_doubt:
    case answer_code::upstream_failed:
    case answer_code::incomplete:
        return 502;
    case answer_code::deadline_exceeded:
        return 504;
    case answer_code::overloaded:
    case answer_code::claims_unavailable:
    case answer_code::stopping:
    case answer_code::not_ready:
        return 503;
    }
    return 500;
}

std::string encode_error(const error_document& error)
{
    return json::serialize(error_object(error));
}

error_document error_of_answer(const pipeline_answer& answer)
{
    error_document error;
    error.m_code = name_of(answer.m_code);
    error.m_message = answer.m_message;
    error.m_ran = answer.m_ran;
    error.m_retry_after = answer.m_retry_after;
    if (answer.m_code == answer_code::key_reused)
    {
        error.m_field = "Idempotency-Key";
    }
    return error;
}

std::string encode_answer(const pipeline_answer& answer)
{
    json::object document;
    document["request_id"] = to_string(answer.m_id);
    document["result"] = output_value(answer.m_output);
    document["replayed"] = answer.m_replayed;
    document["stages"] = stages_array(answer);
    return json::serialize(document);
}

std::string encode_part(const reply_part& part)
{
    json::object line;
    line["index"] = part.m_index;
    line["token"] = part.m_token;
    return json::serialize(line) + '\n';
}

std::string encode_stream_end(const pipeline_answer& answer)
{
    if (answer.m_code != answer_code::ok)
    {
        return encode_error(error_of_answer(answer)) + '\n';
    }
    json::object line;
    line["done"] = true;
    line["request_id"] = to_string(answer.m_id);
    line["tokens"] = answer.m_tokens;
    line["replayed"] = answer.m_replayed;
    line["result"] = output_value(answer.m_output);
    line["stages"] = stages_array(answer);
    return json::serialize(line) + '\n';
}

} // namespace geraniumdoor
