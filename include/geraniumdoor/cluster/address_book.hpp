#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace geraniumdoor
{

struct address_settings
{
    /// Time for which a caller may keep an answer.
    seconds m_keep{10};
    /// Most addresses in one answer.
    std::uint32_t m_most_addresses = 8;
    /// Longest time until all nodes have heard that a node is leaving or that a data
    /// centre is out; until then others may still name it.
    milliseconds m_spread_time{3000};
    /// Allowance for the way of an answer to the caller.
    milliseconds m_transit_time{1000};
};

struct caller_address
{
    node_id m_node;
    node_address m_address;
    data_centre_id m_data_centre;

    bool operator==(const caller_address&) const = default;
};

struct address_answer
{
    seconds m_keep{0};
    /// In the order in which callers should try them.
    std::vector<caller_address> m_addresses;
};

/// Tells whether the data centre has been taken out.
using data_centre_out = std::function<bool(const data_centre_id&)>;

/// Answers with serving members in random order, weighted by free capacity. Members that
/// are leaving or suspected, or whose data centre is out, are not named. When that leaves
/// none, leaving and suspected members of data centres that are in are named, and then
/// all members, because a caller with any address is better served than one with none.
/// Source of the order: Efraimidis and Spirakis, "Weighted random sampling with a
/// reservoir", Information Processing Letters 97(5), 2006.
address_answer make_address_answer(const address_settings& settings,
                                   const std::vector<member_update>& live,
                                   const data_centre_out& is_out, random_source& random);

/// Time until which a caller may hold an answer that names the node, given the time at
/// which the node announced that it is leaving, or at which its data centre went out.
/// Assumes that all live nodes hear of it within m_spread_time.
time_point last_mention_expires(const address_settings& settings, time_point announced);

} // namespace geraniumdoor
