#pragma once

#include <geraniumdoor/base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumdoor
{

/// Upstream that last served a prompt with a given prefix. This is a hint only, because
/// the inference engine may have evicted the prefix from its cache since.
struct prefix_index
{
    std::unordered_map<std::uint64_t, upstream_id> m_last_served;
    /// Hashes in insertion order; the oldest is evicted first.
    std::deque<std::uint64_t> m_order;
};

/// Returns a chained hash for each leading whole block of the prompt: each hash covers
/// its block and all blocks before it.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

void record_prefix(prefix_index& index, const std::vector<std::uint64_t>& hashes,
                   const upstream_id& upstream);

} // namespace geraniumdoor
