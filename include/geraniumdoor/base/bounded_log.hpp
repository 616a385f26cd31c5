#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumdoor
{

struct bounded_log_limits
{
    /// Lines in one second; more are left out and counted.
    std::uint32_t m_lines_per_s = 400;
    /// Bytes that wait for a reader that does not keep up.
    std::size_t m_waiting_bytes = std::size_t{64} * 1024;
};

/// Log lines to a file descriptor without ever blocking: lines beyond the rate, or beyond
/// what a slow reader leaves room for, are left out, and their number is written as soon
/// as there is room.
class bounded_log
{
public:
    /// Sets the descriptor to non-blocking.
    bounded_log(int descriptor, bounded_log_limits limits);

    /// Writes the line, with its time in milliseconds since the start, or leaves it out.
    void write(std::string_view line, time_point now);

    std::uint64_t left_out() const
    {
        return m_left_out;
    }

private:
    void append(std::string_view line, time_point now);
    void flush();

    int m_descriptor;
    bounded_log_limits m_limits;
    std::string m_waiting;
    time_point m_start;
    time_point m_second{};
    std::uint32_t m_lines = 0;
    std::uint64_t m_left_out = 0;
    std::uint64_t m_reported = 0;
};

} // namespace geraniumdoor
