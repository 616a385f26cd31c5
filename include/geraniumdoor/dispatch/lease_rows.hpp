#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/messages.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// Value of "lease/<lease id>" in the table service.
struct lease_row
{
    node_id m_holder;
    incarnation m_incarnation;
    /// Incremented by each renewal, so that each row version has a distinct value.
    std::uint64_t m_counter = 0;
    milliseconds m_time_to_live{6000};
    std::vector<lease_guarantor> m_guarantors;

    bool operator==(const lease_row&) const = default;
};

/// Value of "owner/<upstream id>" in the table service.
struct owner_row
{
    lease_id m_lease;
    ownership_epoch m_epoch;
    /// Whether no call of an earlier owner can still be in progress.
    bool m_drained = false;

    bool operator==(const owner_row&) const = default;
};

inline constexpr std::string_view lease_prefix = "lease/";
inline constexpr std::string_view owner_prefix = "owner/";

std::string key_of(const lease_id& id);
std::string key_of(const upstream_id& id);

/// Returns the row as JSON.
std::string encode(const lease_row& row);
std::string encode(const owner_row& row);

/// Returns nothing when the text is not a valid row.
std::optional<lease_row> decode_lease_row(const std::string& text);
std::optional<owner_row> decode_owner_row(const std::string& text);

} // namespace geraniumdoor
