#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <type_traits>

namespace geraniumdoor
{

/// Largest number up to which a double holds every integer.
inline constexpr double max_exact_integer = 9007199254740992.0;

/// Converts a number to an integer type. Empty for a fraction, for a number that the type
/// or a double cannot hold exactly, and for NaN: the result of a plain cast would be
/// undefined, and differs between processors.
template<class Integer>
std::optional<Integer> to_whole(double number)
{
    static_assert(std::is_integral_v<Integer>);
    constexpr auto lowest = static_cast<double>(std::numeric_limits<Integer>::min());
    constexpr auto highest = static_cast<double>(std::numeric_limits<Integer>::max());
    const bool is_exact = std::abs(number) <= max_exact_integer;
    if (!is_exact || number < lowest || number > highest || number != std::trunc(number))
    {
        return std::nullopt;
    }
    return static_cast<Integer>(number);
}

} // namespace geraniumdoor
