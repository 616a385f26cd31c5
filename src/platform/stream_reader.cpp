#include <geraniumdoor/platform/stream_reader.hpp>

#include <utility>

namespace geraniumdoor
{

stream_reader::stream_reader(upstream_echo expected,
                             const std::vector<std::string>& delivered,
                             token_callback on_token)
    : m_expected{std::move(expected)}
    , m_on_token{std::move(on_token)}
    , m_next_index{static_cast<std::uint32_t>(delivered.size())}
{
    for (const auto& token : delivered)
    {
        m_text += token;
    }
}

bool stream_reader::read_line(std::string_view line)
{
    if (m_state != stream_state::waiting && m_state != stream_state::running)
    {
        return reject("a line follows the end of the stream");
    }
    const auto decoded = decode_stream_line(line);
    if (not is_ok(decoded))
    {
        return reject(error_of(decoded).m_detail);
    }
    return std::visit(
        [this](const auto& part)
        {
            return take(part);
        },
        value_of(decoded));
}

bool stream_reader::take(const stream_head& head)
{
    if (m_state != stream_state::waiting)
    {
        return reject("a second echo");
    }
    if (head.m_echo != m_expected)
    {
        return reject("the echo is of another call");
    }
    m_incarnation = head.m_incarnation;
    m_state = stream_state::running;
    return true;
}

bool stream_reader::take(const stream_token& token)
{
    if (m_state != stream_state::running)
    {
        return reject("a token comes before the echo");
    }
    if (token.m_index != m_next_index)
    {
        return reject("a token is out of order");
    }
    ++m_next_index;
    m_text += token.m_token;
    if (m_on_token)
    {
        m_on_token(token.m_index, token.m_token);
    }
    return true;
}

bool stream_reader::take(const stream_end& end)
{
    if (m_state != stream_state::running)
    {
        return reject("the end comes before the echo");
    }
    if (end.m_tokens != m_next_index)
    {
        return reject("the count of tokens is wrong");
    }
    m_state = stream_state::whole;
    return true;
}

bool stream_reader::take(const stream_failure& failure)
{
    m_state = stream_state::failed;
    m_detail = failure.m_code;
    return true;
}

bool stream_reader::reject(std::string detail)
{
    m_state = stream_state::wrong;
    m_detail = std::move(detail);
    return false;
}

} // namespace geraniumdoor
