#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// 64-bit xxHash of the bytes. The same on every host and in every version.
std::uint64_t stable_hash(std::string_view bytes);

/// 128-bit xxHash of the bytes as 32 lower-case hexadecimal digits.
std::string digest_hex(std::string_view bytes);

/// Weight of a node for a key in rendezvous hashing: the highest weight wins.
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
/// IEEE/ACM Transactions on Networking 6(1), 1998.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node);

} // namespace geraniumdoor
