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

/// All that bounds the requests of one host to an upstream, and the requests that it has
/// sent. Every request passes it: those of callers, calls of pieces, and releases.
struct send_account
{
    /// Requests that this host may send to the upstream in one second while it is cold.
    std::uint32_t m_cold_quota = UINT32_MAX;
    /// Start of the current one-second window, and requests sent since then.
    time_point m_window_start{};
    std::uint32_t m_window_sends = 0;
    /// Newest statement of the upstream. Initially there is no limit.
    limit_statement m_statement;
    /// A permit at hand is valid until this time.
    time_point m_permit_expires{};
    /// No permit is asked for before this time.
    time_point m_next_ask{};
    /// The upstream wants no request from this host before this time.
    time_point m_declines_until{};
};

enum class send_decision : std::uint8_t
{
    allowed,
    /// Allowed once the host that issues the upstream's permits has given one.
    needs_permit,
    denied,
};

/// Decides whether a request may be sent to an upstream.
/// @param cold whether the upstream is cold
send_decision decide_send(const send_account& account, bool cold, time_point now);

/// Returns the time from which a request may be sent, or a permit asked for; `now` if
/// that is so already. Quotas of cold upstreams are left out: they last a second.
time_point next_send(const send_account& account, time_point now);

/// Counts a request that is sent.
void record_send(send_account& account, time_point now);

/// Records what a response that this host received says about the upstream's limit. Only
/// a successful response to a request sent after the last statement ends a limit: an
/// older response may overtake a newer one, and refusals may lack the field.
/// @param limit limit that the response names, if it can be read
/// @param may_end_limit the response is successful and has no such field
/// @param sent_at when its request was sent
/// @return whether the limit in force has changed
bool record_statement(send_account& account, std::optional<requests_per_s> limit,
                      bool may_end_limit, time_point sent_at, time_point now);

/// Takes over a statement that another host has heard, unless a newer one is known.
/// @return whether the limit in force has changed
bool apply_statement(send_account& account, const limit_statement& statement);

/// Longest time for which an upstream may decline requests at once. One that names a
/// longer time is asked again after this.
inline constexpr seconds max_decline_time{600};

/// Records that the upstream wants no request from this host for a time.
void record_decline(send_account& account, milliseconds length, time_point now);

/// Whether the upstream wants no request from this host at the moment.
bool is_declining(const send_account& account, time_point now);

/// Time for which a permit may be used.
inline constexpr milliseconds permit_lifetime{500};

/// Keeps a permit for the next request to the upstream. At most one is kept, so that a
/// host does not save permits for a burst.
void add_permit(send_account& account, time_point now);

/// Uses the permit at hand. Returns whether there was one.
bool take_permit(send_account& account, time_point now);

/// Records that no permit is to be had for a time.
void record_denial(send_account& account, milliseconds wait, time_point now);

/// Rate at which one host issues the permits of an upstream to all hosts.
struct permit_ledger
{
    double m_permits = 0;
    /// Empty before the first request for a permit.
    std::optional<time_point> m_filled_at;
};

/// Lowest rate at which permits are issued. An upstream that takes no requests gets one
/// now and then, whose response tells whether that is still so.
inline constexpr requests_per_s min_permit_rate{0.1};

/// Longest wait that a host is told.
inline constexpr milliseconds max_permit_wait{60'000};

/// Mean time between two requests to an upstream that has named a limit.
milliseconds call_interval(requests_per_s limit);

/// Answer to a request for a permit.
struct permit_decision
{
    bool m_granted = false;
    /// Time until the next permit, if none is granted.
    milliseconds m_wait{0};
};

/// Issues a permit to send one request, if there is one.
///
/// Load pattern: an upstream in need names fewer requests per second than there are
/// hosts, and each of these has work for it now and then. A host asks when it has a
/// request at hand, so that none wastes its turn. A host that begins to issue has none to
/// give: its predecessor may just have issued all.
/// @param share part of the limit that this host issues; below one while other hosts,
/// which may be cut off, could issue permits, too
permit_decision issue_permit(permit_ledger& ledger, requests_per_s limit, double share,
                             time_point now);

} // namespace geraniumdoor::serving
