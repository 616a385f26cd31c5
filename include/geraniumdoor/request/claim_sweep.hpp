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

/// A process that membership counts as live.
struct live_process
{
    node_id m_node;
    incarnation m_incarnation;
};

struct in_doubt_claim
{
    std::string m_key;
    claim_row m_row;
    /// The holder ended between claim and outcome, rather than storing the doubt itself.
    bool m_holder_gone = false;
};

/// Whether this process is the live node that is first in rendezvous order for the key or
/// key prefix. The first node for claim_prefix deletes expired claims.
bool is_first_for(std::string_view key, const node_id& self,
                  const std::vector<live_process>& live);

/// Lists the claims in doubt among the rows of a scan of claim_prefix, for operators.
std::vector<in_doubt_claim> list_in_doubt(const std::vector<table_row>& rows,
                                          const std::vector<live_process>& live);

/// Lists the rows of a scan whose retention has ended. A running claim of a live process
/// is never listed.
std::vector<table_row> list_expired(const std::vector<table_row>& rows,
                                    const std::vector<live_process>& live,
                                    std::int64_t now_unix_s);

enum class follow_up_decision : std::uint8_t
{
    /// Another process, or a request in progress, takes care of it.
    leave,
    run,
    /// Not every stage is idempotent or known: for operators.
    list,
};

struct follow_up_choice
{
    std::string m_key;
    follow_up_row m_row;
    follow_up_decision m_decision = follow_up_decision::leave;
};

/// What a process knows when it sweeps follow-up rows.
struct follow_up_context
{
    node_id m_self;
    const configuration& m_config;
    const std::vector<live_process>& m_live;
    /// Requests in progress in this process.
    const std::vector<request_id>& m_in_progress;
};

/// Decides on the rows of a scan of follow_up_prefix. Rows of a process that is not live
/// belong to the live node that is first in rendezvous order for the row.
std::vector<follow_up_choice> decide_follow_ups(const std::vector<table_row>& rows,
                                                const follow_up_context& view);

} // namespace geraniumdoor
