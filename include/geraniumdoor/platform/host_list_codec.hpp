#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/dispatch/dispatcher_actions.hpp>
#include <geraniumdoor/platform/decode_error.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// An entry host as the host list names it.
struct entry_host_record
{
    node_id m_id;
    /// Address for callers.
    endpoint m_endpoint;
    std::uint16_t m_admin_port = 0;
    std::uint16_t m_peer_port = 0;
    data_centre_id m_data_centre;
    region_id m_region;
    bool m_leaving = false;
};

/// The host list lags behind reality: a hint, never a proof of liveness.
struct host_list
{
    std::vector<entry_host_record> m_entry_hosts;
    std::vector<upstream_record> m_upstreams;
};

/// Decodes the answer of GET /v1/hosts. One malformed host makes the whole list an error,
/// so that a truncated list is not taken for hosts that have gone.
result<host_list, decode_error> decode_host_list(std::string_view text);

} // namespace geraniumdoor
