#pragma once

#include "request_relay.hpp"

namespace geraniumdoor::edge
{

/// Remaining time below which another attempt is not worth starting.
inline constexpr milliseconds min_time_for_attempt{20};

/// A healthy upstream accepts a connection within 4 ms; the operating system retransmits
/// a lost packet after 200 ms or more.
inline constexpr milliseconds connect_timeout{350};

/// Memory of a request in progress besides the caller's connection: the connection to an
/// upstream, and the first bytes of its answer.
inline constexpr std::size_t relay_bytes = std::size_t{24} * 1024;

/// Part of it for the answer.
inline constexpr std::size_t relay_answer_bytes = std::size_t{16} * 1024;

/// Status of an upstream that is not the one to which the request was sent, and of one
/// that could not fetch an input.
inline constexpr unsigned wrong_upstream_status = 421;
inline constexpr unsigned input_gone_status = 409;

/// Reason of refusals while a part of the prompt is in quarantine.
inline constexpr const char* crashing_prompt_reason = "crashing_prompt";

/// Reason of refusals while the request as a whole is in quarantine.
inline constexpr const char* crashing_request_reason = "crashing_request";

/// Reason of refusals while all upstreams have used up the limits that they have named,
/// or decline requests.
inline constexpr const char* no_upstream_takes_it_reason = "no_upstream_takes_it";

/// Reason of refusals of callers who take up a stream of which nobody can tell which
/// software version began it.
inline constexpr const char* unknown_version_reason = "unknown_stream_version";

/// Reason of refusals while no upstream has the version that began the stream.
inline constexpr const char* no_upstream_of_version_reason = "no_upstream_of_its_version";

inline milliseconds ms_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

inline bool is_stream(serving::retry_safety repeat)
{
    return repeat == serving::retry_safety::stream_at_most_once ||
           repeat == serving::retry_safety::stream_resumable;
}

/// Whether this host, and not the upstream, is why an attempt failed.
inline bool lacks_resources(const http_error& error)
{
    return error.m_kind == http_error_kind::no_socket ||
           error.m_kind == http_error_kind::no_memory;
}

inline bool may_have_run(serving::attempt_outcome outcome)
{
    using serving::attempt_outcome;
    return outcome != attempt_outcome::not_sent && outcome != attempt_outcome::declined &&
           outcome != attempt_outcome::input_gone &&
           outcome != attempt_outcome::wrong_upstream;
}

/// Number of pieces that the caller's head names for a stage; zero if it names none.
inline std::uint32_t piece_count(const relayed_request& current, std::size_t stage)
{
    const auto& pieces = current.m_metadata.m_pieces;
    return stage < pieces.size() ? pieces[stage] : 0;
}

} // namespace geraniumdoor::edge
