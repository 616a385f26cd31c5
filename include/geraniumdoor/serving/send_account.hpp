#pragma once

#include <geraniumdoor/base/units.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace geraniumdoor::serving
{

/// Rate of requests.
struct requests_per_s
{
    double m_value = 0;

    auto operator<=>(const requests_per_s&) const = default;
};

/// What an upstream said in one response about the requests that it takes from all hosts
/// together.
struct limit_statement
{
    /// Empty when the upstream names no limit any more.
    std::optional<requests_per_s> m_limit;
    /// When the response was received.
    time_point m_stated_at{};
    /// This host received the response itself.
    bool m_heard_here = false;
};

/// What one host knows of the requests that an upstream takes.
struct send_account
{
    /// Newest statement of the upstream. Initially there is no limit.
    limit_statement m_statement;
};

/// Records what a response that this host received says about the upstream's limit. Only
/// a successful response to a request sent after the last statement ends a limit: an
/// older response may overtake a newer one, and refusals may lack the field.
/// @param limit limit that the response names, if it can be read
/// @param may_end_limit the response is successful and has no such field
/// @param sent_at when its request was sent
/// @return whether the limit in force has changed
bool record_statement(send_account& account, std::optional<requests_per_s> limit,
                      bool may_end_limit, time_point sent_at, time_point now);

} // namespace geraniumdoor::serving
