#pragma once

#include "gdctl_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// What one host knows of a change.
struct host_change
{
    std::string m_host;
    /// "in force", "in force, not yet stored", or why it is not known to be.
    std::string m_state;
    bool m_in_force = false;
};

/// What is known of a change when the wait for it has ended.
struct change_wait
{
    /// Last report of a host that the tool was told to ask; absent when none answered.
    std::optional<http_response> m_report;
    /// Live hosts of the system; empty when no list of hosts was answered.
    std::vector<host_change> m_hosts;
    /// Whether the change is stored in the table service.
    bool m_accepted = false;
    bool m_refused = false;

    bool in_force_everywhere() const;
};

/// Asks until all live hosts have the change in force and it is stored, or it is refused,
/// or the time is over.
change_wait wait_for_change(gdctl_client& client, const std::string& change,
                            milliseconds longest);

} // namespace geraniumdoor
