#pragma once

#include <geraniumdoor/base/ids.hpp>

#include <cstdint>

namespace geraniumdoor::edge
{

/// Numbers the questions and jobs of a host that others refer to in their answers. Each
/// number tells of which start of the host it is: an answer may reach a process that has
/// taken the place of the one that asked.
class exchange_numbers
{
public:
    explicit exchange_numbers(incarnation start = {})
        : m_first{start.m_value << number_bits}, m_last{m_first}
    {
    }

    std::uint64_t next()
    {
        return ++m_last;
    }

    /// Whether this start of the host has given the number out.
    bool is_own(std::uint64_t number) const
    {
        return number >= m_first && number <= m_last;
    }

private:
    /// Starts are numbered by the milliseconds of the Unix clock, which have 41 bits.
    static constexpr int number_bits = 22;

    std::uint64_t m_first;
    std::uint64_t m_last;
};

} // namespace geraniumdoor::edge
