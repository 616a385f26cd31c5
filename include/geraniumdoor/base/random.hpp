#pragma once

#include <pcg_random.hpp>

#include <cstdint>

namespace geraniumdoor
{

/// Source of random numbers of one process. Seeded, so that tests repeat.
using random_source = pcg32;

/// Returns a number in [0, 1).
double uniform_unit(random_source& random);

/// Returns a number in [0, bound). Precondition: bound > 0.
std::uint32_t uniform_below(random_source& random, std::uint32_t bound);

} // namespace geraniumdoor
