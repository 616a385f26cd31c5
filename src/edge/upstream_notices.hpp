#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/net/http_types.hpp>

namespace geraniumdoor::edge
{

/// Records what an upstream says of itself in a response to a request that this host sent
/// to it at a time.
void apply_notice(edge_state& state, const upstream_id& upstream, unsigned status,
                  const http_fields& fields, time_point sent_at);

} // namespace geraniumdoor::edge
