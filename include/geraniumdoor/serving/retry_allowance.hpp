#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>

#include <deque>
#include <unordered_map>

namespace geraniumdoor::serving
{

/// The operator's bound on repeated sends, summed over all hosts.
struct retry_bound
{
    /// Repeats for each request.
    double m_ratio = 0.2;
    /// Repeats beyond the ratio within one window, for all hosts together.
    double m_slack = 50;
    milliseconds m_window{10000};
};

/// Times of first sends and repeats of one pool within the window.
struct pool_sends
{
    std::deque<time_point> m_first;
    std::deque<time_point> m_repeats;
};

/// Repeated sends that this host may make. The slack is divided by the hosts that may
/// send, so that the sum stays inside the bound without any message.
struct retry_allowance
{
    retry_bound m_bound;
    std::unordered_map<pool_id, pool_sends> m_pools;
};

void note_first_send(retry_allowance& allowance, const pool_id& pool, time_point now);

/// Whether a repeat would stay inside the host's part of the bound.
/// @param hosts hosts that may send to the pool, this one included
bool may_repeat(retry_allowance& allowance, const pool_id& pool, std::size_t hosts,
                time_point now);

void note_repeat(retry_allowance& allowance, const pool_id& pool, time_point now);

} // namespace geraniumdoor::serving
