#pragma once

#include <geraniumdoor/config/configuration.hpp>
#include <geraniumdoor/request/claim_rows.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// A process that the cluster membership reports as live.
struct live_process
{
    node_id m_node;
    incarnation m_incarnation;
};

struct in_doubt_claim
{
    std::string m_key;
    claim_row m_row;
    /// The row is still running, but its holder has ended; otherwise the holder stored
    /// the state in_doubt.
    bool m_holder_gone = false;
};

/// Whether no live node has a higher rendezvous weight than this one for the key or key
/// prefix. The first node for claim_prefix deletes expired claims.
bool is_first_for(std::string_view key, const node_id& self,
                  const std::vector<live_process>& live);

/// Lists for operators the claims in doubt among the rows of a scan of claim_prefix.
std::vector<in_doubt_claim> list_in_doubt(const std::vector<table_row>& rows,
                                          const std::vector<live_process>& live);

/// Lists the rows of a scan whose retention has ended. A running claim of a live process
/// is never listed.
std::vector<table_row> list_expired(const std::vector<table_row>& rows,
                                    const std::vector<live_process>& live,
                                    std::int64_t now_unix_s);

enum class follow_up_decision : std::uint8_t
{
    /// Another process or a request in progress handles the row.
    leave,
    run,
    /// A stage is unknown or not idempotent: left to operators.
    report,
};

struct follow_up_choice
{
    std::string m_key;
    follow_up_row m_row;
    follow_up_decision m_decision = follow_up_decision::leave;
};

/// State of a process that sweeps follow-up rows.
struct follow_up_context
{
    node_id m_self;
    const configuration& m_config;
    const std::vector<live_process>& m_live;
    /// Requests in progress in this process.
    const std::vector<request_id>& m_in_progress;
};

/// Decides what to do with each row of a scan of follow_up_prefix. Rows whose holder is
/// not live are handled by the live node that is first in rendezvous order for the row.
std::vector<follow_up_choice> decide_follow_ups(const std::vector<table_row>& rows,
                                                const follow_up_context& context);

} // namespace geraniumdoor
