#include "configuration_fleet.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;

TestSuite(configuration_fleet, .timeout = 200);

// Guards against changes that come into force late, or come back older, at hosts that
// reach the store, whatever happens to others.
Test(configuration_fleet, a_change_is_in_force_in_time_at_hosts_that_reach_the_store)
{
    int late = 0;
    int checks = 0;
    constexpr std::uint32_t seeds = 300;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        configuration_fleet fleet{seed};
        const auto found = fleet.run_for(60s);
        checks += fleet.m_checks;
        late += found ? 1 : 0;
        cr_expect(not found, "seed %u: host %zu has %lu rather than %lu at %ld ms", seed,
                  found->m_host, static_cast<unsigned long>(found->m_held),
                  static_cast<unsigned long>(found->m_wanted),
                  static_cast<long>(found->m_at.count()));
    }
    cr_log_info("%d hosts late in %u seeds, %d checks", late, seeds, checks);
    cr_expect(checks > 0);
}
