#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>

#include <deque>
#include <unordered_map>

namespace geraniumdoor::serving
{

/// The operator's limits on retries, summed over all hosts.
struct retry_limits
{
    /// Retries for each first attempt.
    double m_ratio = 0.2;
    /// Retries beyond the ratio within one window, for all hosts together.
    double m_slack = 50;
    milliseconds m_window{10000};
};

/// Times of the first attempts and retries of one pool within the window.
struct send_history
{
    std::deque<time_point> m_first_attempts;
    std::deque<time_point> m_retries;
};

/// Limits the retries of this host. The slack is divided by the number of hosts that may
/// send, so that the sum over all hosts stays within the limits without communication.
struct retry_budget
{
    retry_limits m_limits;
    std::unordered_map<pool_id, send_history> m_pools;
};

void record_first_attempt(retry_budget& budget, const pool_id& pool, time_point now);

/// Whether one more retry stays within this host's share of the limits.
/// @param hosts number of hosts that may send to the pool, including this one
bool may_retry(retry_budget& budget, const pool_id& pool, std::size_t hosts,
               time_point now);

void record_retry(retry_budget& budget, const pool_id& pool, time_point now);

} // namespace geraniumdoor::serving
