#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>

#include <deque>
#include <unordered_map>

namespace geraniumdoor::serving
{

/// The operator's bound on repeated sends, summed over all hosts.
struct retry_limits
{
    /// Repeats for each request.
    double m_ratio = 0.2;
    /// Repeats beyond the ratio within one window, for all hosts together.
    double m_slack = 50;
    milliseconds m_window{10000};
};

/// Times of first sends and repeats of one pool within the window.
struct send_history
{
    std::deque<time_point> m_first_attempts;
    std::deque<time_point> m_retries;
};

/// Repeated sends that this host may make. The slack is divided by the hosts that may
/// send, so that the sum stays inside the bound without any message.
struct retry_budget
{
    retry_limits m_limits;
    std::unordered_map<pool_id, send_history> m_pools;
};

void record_first_attempt(retry_budget& allowance, const pool_id& pool, time_point now);

/// Whether a repeat would stay inside the host's part of the bound.
/// @param hosts hosts that may send to the pool, this one included
bool may_retry(retry_budget& allowance, const pool_id& pool, std::size_t hosts,
               time_point now);

void record_retry(retry_budget& allowance, const pool_id& pool, time_point now);

} // namespace geraniumdoor::serving
