#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/serving/routing.hpp>

namespace geraniumdoor::serving
{

/// Longest silence after which a sound upstream is still expected to go on.
inline constexpr milliseconds sound_silence{1700};

/// Time reserved for a takeover that takes longer than expected.
inline constexpr milliseconds takeover_margin{200};

/// A request at an upstream that makes no progress.
struct silent_attempt
{
    /// Latest progress: the sending of the request, or an event of its stream.
    time_point m_since{};
    /// Longest time without progress that is usual at this point.
    milliseconds m_usual{0};
    /// By when progress still meets the route's target; in the past for streams, which
    /// are costly to begin again.
    time_point m_target{};
    /// Time in which another upstream is expected to make progress, including that for
    /// its inputs.
    milliseconds m_takeover_time{0};
    /// When the caller abandons the request, or its time is up.
    time_point m_abandoned_at{};
    /// The upstream has failed other requests, is not in the registry any more, or sends
    /// bytes that are no progress.
    bool m_upstream_in_doubt = false;
};

/// Time from which on another upstream is sought for the request. Until one is ready to
/// take over, the present upstream keeps it.
///
/// Load pattern: sound upstreams that fall silent for a second or so and go on, beside
/// others that have failed without closing their connections. While the target can still
/// be met elsewhere, the usual time is enough to move on. After that, moving pays only
/// if the upstream has failed, so that the silence of a sound one is waited for, unless
/// the upstream is in doubt; but another one must be able to begin before the caller
/// leaves.
time_point successor_due(const silent_attempt& attempt);

/// Time without an event after which callers abandon a stream, as specified in the
/// platform's page on requests.
milliseconds caller_stream_timeout(const route& chosen);

} // namespace geraniumdoor::serving
