#pragma once

#include <geraniumdoor/request/coordinator_actions.hpp>

#include <string>
#include <string_view>

namespace geraniumdoor
{

/// What an error answer says. The names are those of the callers' page.
struct error_document
{
    std::string m_code;
    /// Name of the field, header or parameter at fault; empty when none is.
    std::string m_field;
    std::string m_message;
    ran_state m_ran = ran_state::not_run;
    milliseconds m_retry_after{0};
};

/// HTTP status of a final answer.
unsigned status_of(answer_code code);

/// {"error":{"code","field","message","ran","retry_after_ms"}}
std::string encode_error(const error_document& error);

/// Error part of a final answer whose code is not ok.
error_document error_of_answer(const pipeline_answer& answer);

/// {"request_id","result","replayed","stages":[...]}
std::string encode_answer(const pipeline_answer& answer);

/// {"index","token"} and a line feed.
std::string encode_part(const reply_part& part);

/// Last line of a stream: {"done":true,...} or {"error":{...}}, and a line feed.
std::string encode_stream_end(const pipeline_answer& answer);

} // namespace geraniumdoor
