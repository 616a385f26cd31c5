#pragma once

#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/dispatch/dispatcher.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumdoor
{

enum class member_liveness : std::uint8_t
{
    live,
    suspected,
    /// Stopping, but still serving.
    leaving,
    /// Sent its leave message or was declared gone by an operator.
    left,
};

/// A cluster member as seen by the membership protocol.
struct member_view
{
    node_id m_node;
    incarnation m_incarnation;
    data_centre_id m_data_centre;
    member_liveness m_state = member_liveness::live;

    bool operator==(const member_view&) const = default;
};

/// Read all rows whose keys start with the prefix.
struct table_scan
{
    table_call_id m_id;
    std::string m_prefix;
};

struct table_scan_end
{
    table_call_id m_id;
    /// Absent when the scan failed.
    std::optional<std::vector<table_row>> m_rows;
};

using lease_message = std::variant<lease_extend, lease_grant, lease_transfer,
                                   lease_transfer_ack, transfer_outstanding>;

struct send_lease_message
{
    node_id m_to;
    lease_message m_message;
};

/// Send to all nodes. A node that joins later is sent ownership_state::m_announced.
struct send_announce
{
    ownership_announce m_message;
};

/// Pass to take_over of the dispatcher, before the authority_change that follows it.
struct upstream_gained
{
    upstream_id m_upstream;
    std::optional<handover_state> m_handover;
};

/// Pass to set_authority of the dispatcher.
struct authority_change
{
    upstream_id m_upstream;
    time_point m_until;
};

/// Pass to set_inherited_outstanding of the dispatcher.
struct inherited_outstanding_change
{
    upstream_id m_upstream;
    std::uint32_t m_outstanding = 0;
};

using ownership_action = std::variant<table_transaction, table_read, table_scan,
                                      send_lease_message, send_announce, upstream_gained,
                                      authority_change, inherited_outstanding_change>;

} // namespace geraniumdoor
