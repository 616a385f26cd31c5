#pragma once

#include <chrono>
#include <cstdint>

namespace geraniumdoor
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Point on the process's steady clock. Never sent to another process.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Length of a duration in milliseconds, with fraction.
inline double to_ms(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

/// Length of a duration in seconds, with fraction.
inline double to_s(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace geraniumdoor
