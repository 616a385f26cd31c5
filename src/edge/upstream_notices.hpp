#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/net/http_types.hpp>

namespace geraniumdoor::edge
{

/// Records what an upstream says of itself in a response to a request that this host sent
/// to it at a time.
void apply_notice(edge_state& state, const upstream_id& upstream, unsigned status,
                  const http_fields& fields, time_point sent_at);

/// Records what another host has heard from an upstream.
void apply_limit_notice(edge_state& state, const limit_notice& notice);

/// Records that another host has heard from an upstream that it leaves.
void apply_leaving_notice(edge_state& state, upstream_run run);

/// Records that the process of an upstream may have ended, as another host has seen.
void apply_start_doubt(edge_state& state, const start_doubt& doubt);

/// Returns the doubts that arose here within the time of a few reports.
doubt_report make_doubt_report(const edge_state& state);

/// Returns the notice that tells another host of a statement.
limit_notice to_notice(upstream_run run, const serving::limit_statement& statement,
                       time_point now);

/// Returns what this host tells others of upstreams.
/// @param to_newcomer whether to tell all that holds, rather than what this host has
/// heard itself in the time of a few reports
upstream_report make_upstream_report(const edge_state& state, bool to_newcomer);

/// Whether there is nothing to tell.
bool is_empty(const upstream_report& report);

} // namespace geraniumdoor::edge
