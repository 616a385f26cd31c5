#include "load_outcome.hpp"

#include "../standins/upstream_outputs.hpp"

namespace geraniumdoor
{

namespace json = boost::json;

namespace
{

std::string text_field(const json::object& object, const char* name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : "";
}

} // namespace

answer_checker::answer_checker(const load_arrival& arrival, double tokens,
                               load_outcome& outcome)
    : m_arrival{arrival}
    , m_outcome{outcome}
    , m_expected{expected_tokens(arrival.m_marker, tokens)}
{
}

void answer_checker::take_line(std::string_view line)
{
    take_body(line);
}

void answer_checker::take_body(std::string_view body)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object())
    {
        m_outcome.m_code = "malformed";
        return;
    }
    take_object(document.get_object());
}

void answer_checker::take_object(const json::object& object)
{
    if (const auto* error = object.if_contains("error"))
    {
        take_error(error->as_object());
    }
    else if (object.contains("index"))
    {
        take_token(object);
    }
    else
    {
        m_outcome.m_ended = true;
        m_outcome.m_whole = true;
        m_outcome.m_code = "ok";
        m_outcome.m_request_ids.push_back(text_field(object, "request_id"));
        check_result(object);
    }
}

void answer_checker::take_error(const json::object& error)
{
    m_outcome.m_ended = true;
    m_outcome.m_code = text_field(error, "code");
    m_outcome.m_ran = text_field(error, "ran");
}

void answer_checker::take_token(const json::object& line)
{
    const auto index = line.at("index").to_number<std::size_t>();
    if (index < m_received)
    {
        m_outcome.m_doubled_part = true;
        return;
    }
    m_outcome.m_lost_part = m_outcome.m_lost_part || index > m_received;
    m_received = index + 1;
    const bool known = index < m_expected.size();
    if (!known || text_field(line, "token") != m_expected[index])
    {
        m_outcome.m_wrong_caller = true;
    }
}

void answer_checker::check_result(const json::object& answer)
{
    const auto* result = answer.if_contains("result");
    const auto* object = result == nullptr ? nullptr : result->if_object();
    if (object == nullptr || marker_of(*result) != m_arrival.m_marker)
    {
        m_outcome.m_wrong_caller = true;
        return;
    }
    if (const auto* text = object->if_contains("text"))
    {
        std::string expected;
        for (const auto& token : m_expected)
        {
            expected += token;
        }
        const std::string_view given = text->as_string();
        m_outcome.m_lost_part = m_outcome.m_lost_part || given.size() < expected.size();
        m_outcome.m_doubled_part =
            m_outcome.m_doubled_part || given.size() > expected.size();
        m_outcome.m_wrong_caller = m_outcome.m_wrong_caller ||
                                   (given.size() == expected.size() && given != expected);
    }
    if (const auto* stages = answer.if_contains("stages"))
    {
        for (const auto& stage : stages->as_array())
        {
            m_outcome.m_upstreams.push_back(text_field(stage.as_object(), "upstream"));
        }
        // A replayed answer names only the stages that ran again.
        const auto* replayed = answer.if_contains("replayed");
        const bool all =
            (replayed != nullptr && replayed->as_bool()) ||
            m_outcome.m_upstreams.size() == m_arrival.m_pipeline->m_stages.size();
        m_outcome.m_lost_part = m_outcome.m_lost_part || !all;
    }
}

void answer_checker::finish_stream()
{
    const bool short_of = m_received < m_expected.size();
    if (m_outcome.m_whole && m_arrival.m_streamed && short_of)
    {
        m_outcome.m_lost_part = true;
    }
}

} // namespace geraniumdoor
