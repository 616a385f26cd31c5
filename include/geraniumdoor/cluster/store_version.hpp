#pragma once

#include <geraniumdoor/base/strong_id.hpp>

#include <algorithm>
#include <cstdint>

namespace geraniumdoor
{

/// Number of times that the platform's store has come back from an older copy. Zero for a
/// store that does not tell.
using store_era = strong_number<struct store_era_tag>;

/// State of the platform's store: the era in the upper 16 bits, and below it the number
/// of the transaction, which the store gives out again after it has come back from an
/// older copy. A version of a later era is newer than all of an earlier one. Zero means
/// that nothing was read.
using store_version = strong_number<struct store_version_tag>;

inline constexpr unsigned store_transaction_bits = 48;

constexpr store_version make_store_version(store_era era, std::uint64_t transaction)
{
    constexpr std::uint64_t max_transaction =
        (std::uint64_t{1} << store_transaction_bits) - 1;
    constexpr std::uint64_t max_era = UINT16_MAX;
    return {std::min(era.m_value, max_era) << store_transaction_bits |
            std::min(transaction, max_transaction)};
}

constexpr store_era era_of(store_version version)
{
    return {version.m_value >> store_transaction_bits};
}

constexpr std::uint64_t transaction_of(store_version version)
{
    return version.m_value & ((std::uint64_t{1} << store_transaction_bits) - 1);
}

} // namespace geraniumdoor
