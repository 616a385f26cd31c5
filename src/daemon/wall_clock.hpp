#pragma once

#include <geraniumdoor/base/units.hpp>

#include <chrono>
#include <cstdint>

namespace geraniumdoor
{

/// Wall-clock time in seconds since 1970. Used only for how long claims are kept, because
/// claims outlive the process and its steady clock.
inline std::int64_t unix_seconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<seconds>(now).count();
}

} // namespace geraniumdoor
