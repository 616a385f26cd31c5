#pragma once

#include "request_relay.hpp"

namespace geraniumdoor::edge
{

/// Time below which another attempt cannot succeed.
inline constexpr milliseconds least_attempt{20};

inline milliseconds ms_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

inline bool is_stream(serving::retry_safety repeat)
{
    return repeat == serving::retry_safety::stream_at_most_once ||
           repeat == serving::retry_safety::stream_resumable;
}

inline std::uint32_t pieces_of(const relayed_request& current, std::size_t stage)
{
    const auto& pieces = current.m_head.m_pieces;
    return stage < pieces.size() ? pieces[stage] : 0;
}

} // namespace geraniumdoor::edge
