#include <geraniumdoor/net/open_files.hpp>

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace geraniumdoor
{

std::uint32_t allowed_open_files(std::uint32_t configured)
{
    constexpr rlim_t most = std::numeric_limits<std::uint32_t>::max();
    rlimit limit{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    const rlim_t allowed = is_known ? std::min(limit.rlim_cur, most) : most;
    const rlim_t wanted = configured == 0 ? most : configured;
    return static_cast<std::uint32_t>(std::min(allowed, wanted));
}

} // namespace geraniumdoor
