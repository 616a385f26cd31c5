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

/// Which upstream last served a prompt that starts with a prefix. A hint: the engine may
/// have dropped the prefix since.
struct prefix_index
{
    std::unordered_map<std::uint64_t, upstream_id> m_last_served;
    /// Hashes in order of insertion, for eviction of the oldest.
    std::deque<std::uint64_t> m_order;
};

/// Returns one hash for each whole block of the prompt's start; each covers all blocks
/// before it.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

void record_prefix(prefix_index& index, const std::vector<std::uint64_t>& hashes,
                   const upstream_id& upstream);

} // namespace geraniumdoor
