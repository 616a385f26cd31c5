#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <cstdlib>
#include <iostream>

namespace geraniumdoor
{

void fail_invariant(std::string_view name, std::string_view detail)
{
    log_event{"invariant_broken"}.add("name", name).add("detail", detail);
    std::cerr << "invariant broken: " << name << ": " << detail << std::endl;
    std::abort();
}

} // namespace geraniumdoor
