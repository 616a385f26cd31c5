#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/strong_id.hpp>

#include <cstdint>
#include <string_view>

namespace geraniumdoor::serving
{

/// Hash of what a request has in common with the same request sent again.
using request_identity = strong_number<struct request_identity_tag>;

/// Identity of a request: its caller, method, host, path with query, and body. Header
/// fields such as the deadline and the attempt id differ each time it is sent.
request_identity identify_request(const workspace_id& caller, std::string_view method,
                                  std::string_view host, std::string_view target,
                                  std::string_view body);

} // namespace geraniumdoor::serving
