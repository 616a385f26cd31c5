#pragma once

#include <string_view>

namespace geraniumdoor
{

/// Logs the name of the broken invariant and the detail, and aborts the process.
[[noreturn]] void fail_invariant(std::string_view name, std::string_view detail);

/// Aborts the process when a promise of the system does not hold. Active in every build.
inline void require_invariant(bool holds, std::string_view name,
                              std::string_view detail = {})
{
    if (!holds)
    {
        fail_invariant(name, detail);
    }
}

} // namespace geraniumdoor
