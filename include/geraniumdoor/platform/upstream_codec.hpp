#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/dispatch/dispatcher_actions.hpp>
#include <geraniumdoor/platform/decode_error.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace geraniumdoor
{

/// Returns the body of POST /v1/run, or an error if the input of the call is not JSON.
result<std::string, decode_error> encode_run(const stage_call& call);

/// The identity that an upstream echoes.
struct upstream_echo
{
    std::string m_request;
    std::uint32_t m_stage = 0;
    std::uint32_t m_attempt = 0;

    bool operator==(const upstream_echo&) const = default;
};

/// Returns the echo that an answer to this call must carry.
upstream_echo expected_echo(const call_key& key);

/// Whole answer of an upstream that does not stream.
struct run_answer
{
    upstream_echo m_echo;
    incarnation m_incarnation;
    /// JSON text.
    std::string m_output;
};

result<run_answer, decode_error> decode_run_answer(std::string_view text);

/// First line of a stream.
struct stream_head
{
    upstream_echo m_echo;
    incarnation m_incarnation;
};

struct stream_token
{
    /// Position in the whole answer, counting the delivered tokens of the call.
    std::uint32_t m_index = 0;
    std::string m_token;
};

/// Last line of a whole stream.
struct stream_end
{
    /// Number of tokens of the whole answer, counting the delivered tokens of the call.
    std::uint32_t m_tokens = 0;
};

/// Body of an answer that is not a stream, such as a refusal, or the last line of a
/// stream that the upstream gave up.
struct stream_failure
{
    std::string m_code;
};

using stream_line = std::variant<stream_head, stream_token, stream_end, stream_failure>;

/// Decodes one line of a stream, without line feed.
result<stream_line, decode_error> decode_stream_line(std::string_view line);

/// Returns the output of a generate stage: {"text": ...} as JSON text.
std::string encode_generated(std::string_view text);

/// Decodes the answer of GET /v1/load.
result<load_report, decode_error> decode_load_report(const upstream_id& upstream,
                                                     std::string_view text);

} // namespace geraniumdoor
