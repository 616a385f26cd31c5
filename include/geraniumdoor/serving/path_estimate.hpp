#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/serving/routing.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace geraniumdoor::serving
{

/// Expected duration of one stage of a request.
struct stage_estimate
{
    /// Time in the queue before the first call of the stage begins.
    milliseconds m_wait{0};
    /// Time from the start of the first call to the last result.
    milliseconds m_service_time{0};
};

/// Expected timing of a request across all its stages.
struct path_estimate
{
    /// Time from now to the end of each stage, and to the first byte of the response.
    std::vector<milliseconds> m_stage_ends;
    milliseconds m_first_byte{0};
    /// Time from the end of each stage to the first byte of the response, without the
    /// waits in queues.
    std::vector<milliseconds> m_remaining_service_time;
    /// The same time, including the waits of the later stages.
    std::vector<milliseconds> m_remaining_time;
};

/// Estimates the timing of a request along the dependencies of its stages. A stage
/// without pieces takes no time.
/// @param stages one estimate for each stage of the route
/// @param pieces number of pieces of each stage; missing entries count as zero
/// @param response_time time from the last input to the first byte of the response
path_estimate estimate_path(const route& request_route,
                            const std::vector<stage_estimate>& stages,
                            const std::vector<std::uint32_t>& pieces,
                            milliseconds response_time);

/// Service time of one stage whose calls run in parallel, without waiting.
milliseconds stage_service_time(const piece_limits& limits, std::uint32_t pieces);

/// Delay after which the caller of a refused request should retry: when capacity is
/// expected to be free again, but at most a third of the time that the caller has left,
/// which is as long as callers are ready to wait.
milliseconds retry_after_delay(milliseconds until_capacity, milliseconds time_left);

/// Time after its start within which a host expects to receive the configuration. 65
/// hosts that started together received it after 0.2 to 1.4 s.
inline constexpr milliseconds startup_time{3000};

/// Maximum time for which a request waits for the configuration. It also waits for no
/// more than the caller's deadline divided by startup_wait_divisor.
inline constexpr milliseconds max_startup_wait{1500};
inline constexpr int startup_wait_divisor = 2;

/// Returns the time until which a request waits at a host that has no configuration yet.
///
/// Load pattern: all hosts lose power and restart together while callers still hold their
/// addresses. A caller that is refused retries at another host that has just started, and
/// has then used up its retry.
/// @param deadline time that the caller still waits, if the caller states it
time_point startup_wait_end(time_point started, time_point arrived,
                            std::optional<milliseconds> deadline);

} // namespace geraniumdoor::serving
