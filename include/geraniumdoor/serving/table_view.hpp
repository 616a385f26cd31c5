#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cstdint>
#include <optional>

namespace geraniumdoor::serving
{

/// Age up to which a view shows that something does not exist. Below the two seconds
/// within which the platform wants a change in force.
inline constexpr milliseconds max_conclusive_age{1800};

/// Longest time between two views in which no upstream comes and goes unseen: the
/// registry lists one for three heartbeats of a second after its last sign of life.
inline constexpr seconds max_view_gap{3};

/// Age in milliseconds of a view that does not exist.
inline constexpr std::uint32_t no_view_age = UINT32_MAX;

/// As of when a host's copy of a table of the store is complete.
///
/// All conclusions from absence rest on it: that there is no other software version, no
/// such route, no such key. A host that can read neither the store nor other hosts, or
/// that has stood still, holds rows all the same.
struct table_view
{
    /// The copy has all that the store held at this time; empty if it never had.
    std::optional<time_point> m_as_of;
    /// Nothing that came and went since then was missed.
    time_point m_continuous_since{};
};

/// Notes that the copy has all that the store held at a time.
void confirm_view(table_view& view, time_point as_of);

/// Whether what the copy lacks does not exist.
bool shows_absence(const table_view& view, time_point now);

/// Returns the age of a view in milliseconds; no_view_age if there is none.
std::uint32_t age_ms(const table_view& view, time_point now);

/// Returns the view that had an age at a time.
table_view view_of_age(std::uint32_t age_ms, time_point at);

/// How long messages of one process take, beyond the fastest one.
struct message_delay
{
    /// Least difference between this host's clock and the sender's.
    std::optional<duration> m_least_offset;
    time_point m_updated{};
};

/// Returns when a message was sent, by this host's clock and up to the time that the
/// fastest message took.
///
/// Load pattern: a host stands still, and on waking reads messages that have waited in
/// its sockets. What they say was current when they were sent.
/// @param sent_ms the sender's steady clock
time_point sending_time(message_delay& delay, std::uint64_t sent_ms, time_point now);

} // namespace geraniumdoor::serving
