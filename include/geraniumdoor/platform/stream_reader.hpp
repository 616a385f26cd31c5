#pragma once

#include <geraniumdoor/platform/upstream_codec.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// Receives each token of a stream, in order and without gaps.
using token_callback = std::function<void(std::uint32_t index, std::string_view token)>;

enum class stream_state : std::uint8_t
{
    /// Nothing has been read.
    waiting,
    running,
    whole,
    /// The upstream sent a failure instead of the rest of the stream.
    failed,
    /// A line is malformed, out of order or carries the echo of another call.
    wrong,
};

/// Checks the lines of one stream and collects its text. Passes on no token before the
/// echo of the call was seen.
class stream_reader
{
public:
    /// The delivered tokens are the start of the text; the first token read has their
    /// count as index.
    stream_reader(upstream_echo expected, const std::vector<std::string>& delivered,
                  token_callback on_token);

    /// Returns false when the stream must not be read any further.
    bool read_line(std::string_view line);

    stream_state state() const
    {
        return m_state;
    }

    incarnation upstream_incarnation() const
    {
        return m_incarnation;
    }

    /// Number of tokens of the answer so far, delivered tokens included.
    std::uint32_t token_count() const
    {
        return m_next_index;
    }

    const std::string& text() const
    {
        return m_text;
    }

    /// What is wrong with the stream; empty unless the state is failed or wrong.
    const std::string& detail() const
    {
        return m_detail;
    }

private:
    bool take(const stream_head& head);
    bool take(const stream_token& token);
    bool take(const stream_end& end);
    bool take(const stream_failure& failure);
    bool reject(std::string detail);

    upstream_echo m_expected;
    token_callback m_on_token;
    stream_state m_state = stream_state::waiting;
    incarnation m_incarnation;
    std::uint32_t m_next_index = 0;
    std::string m_text;
    std::string m_detail;
};

} // namespace geraniumdoor
