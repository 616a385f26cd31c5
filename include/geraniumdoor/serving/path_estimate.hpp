#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/serving/routing.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace geraniumdoor::serving
{

/// What one stage of a request is expected to take.
struct stage_estimate
{
    /// Before its first call begins.
    milliseconds m_wait{0};
    /// From there to its last result.
    milliseconds m_service_time{0};
};

/// Expected course of a request over all its stages.
struct path_estimate
{
    /// Time from now to the end of each stage, and to the first byte of the answer.
    std::vector<milliseconds> m_stage_ends;
    milliseconds m_first_byte{0};
    /// Time from the end of each stage to the first byte of the answer, without waits.
    std::vector<milliseconds> m_remaining_service_time;
    /// The same with the waits at the later stages.
    std::vector<milliseconds> m_remaining_time;
};

/// Follows the stages of a route. A stage with no pieces takes no time.
/// @param stages one estimate for each stage of the route
/// @param pieces pieces of each stage; missing ones count as zero
/// @param answer time from the last input to the first byte
path_estimate estimate_path(const route& chosen,
                            const std::vector<stage_estimate>& stages,
                            const std::vector<std::uint32_t>& pieces,
                            milliseconds answer);

/// Time for one stage without waiting, for calls that run side by side.
milliseconds stage_service_time(const piece_limits& limits, std::uint32_t pieces);

/// Time after which the caller of a refused request should return: when there is
/// capacity again, but not later than a third of the time the caller has, which is as
/// long as callers are ready to wait.
milliseconds retry_after_delay(milliseconds until_capacity, milliseconds left);

/// Time after its start in which a host expects to learn the configuration. 65 hosts that
/// started together knew it after 0.2 to 1.4 s.
inline constexpr milliseconds startup_time{3000};

/// Longest wait of a request for the configuration, and its part of the caller's
/// deadline.
inline constexpr milliseconds max_startup_wait{1500};
inline constexpr int startup_wait_divisor = 2;

/// Until when a request waits at a host that does not know a configuration yet.
///
/// Load pattern: all hosts lose power and come back together while callers hold their
/// addresses. A caller that is refused returns to another host that has just started, and
/// has used up its repeat.
/// @param deadline what the caller still waits, if it says so
time_point startup_wait_end(time_point started, time_point arrived,
                            std::optional<milliseconds> deadline);

} // namespace geraniumdoor::serving
