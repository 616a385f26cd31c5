#include <geraniumdoor/base/random.hpp>

namespace geraniumdoor
{

double uniform_unit(random_source& random)
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(random()) / range;
}

std::uint32_t uniform_below(random_source& random, std::uint32_t bound)
{
    return random(bound);
}

} // namespace geraniumdoor
