#include "cluster_simulation.hpp"
#include "testing.hpp"

#include <geraniumdoor/base/log.hpp>

#include <numeric>
#include <vector>

using namespace geraniumdoor;
using namespace geraniumdoor::testing;
using namespace std::chrono_literals;

namespace
{

void drop_logs()
{
    set_log_sink([](std::string_view) {});
}

} // namespace

// Guards against two nodes that dispatch to one upstream, and against a cold upstream
// that receives more than its limit, in any order of kills, pauses, cut links, lost
// answers, late messages and outages of the table service.
TestSuite(ownership_faults, .init = drop_logs);

Test(ownership_faults, one_authority_and_no_overload_whatever_fails)
{
    // The first seeds that failed without a mechanism: 41 without the calls of an old
    // owner, 42 with one grant instead of all, 74 when any node revokes, 637 when a new
    // owner does not wait for abandoned calls.
    std::vector<std::uint32_t> seeds(45);
    std::iota(seeds.begin(), seeds.end(), 1);
    seeds.insert(seeds.end(), {74, 637});
    simulation_counts total;
    for (const std::uint32_t seed : seeds)
    {
        cluster_simulation cluster{seed, 5, 6};
        cluster.run_for(12s);
        for (int fault = 0; fault < 40 && cluster.m_breach.empty(); ++fault)
        {
            cluster.inject_fault();
            cluster.run_for(milliseconds{300 + 97 * (fault * seed % 50)});
        }
        cr_assert(cluster.m_breach.empty(), "seed %u: %s", seed,
                  cluster.m_breach.c_str());
        // After the faults each upstream has its one owner again.
        cluster.heal_all();
        cluster.run_for(60s);
        cr_assert(cluster.m_breach.empty(), "healed, seed %u: %s", seed,
                  cluster.m_breach.c_str());
        for (const auto& [id, upstream] : cluster.m_upstreams)
        {
            cr_expect(cluster.authorities(id) == 1, "seed %u: %s has no owner", seed,
                      id.m_value.c_str());
        }
        total.m_answered += cluster.m_counts.m_answered;
        total.m_revoked += cluster.m_counts.m_revoked;
        total.m_accepted_transfers += cluster.m_counts.m_accepted_transfers;
        total.m_gained_by_release += cluster.m_counts.m_gained_by_release;
        total.m_authority_in_outage += cluster.m_counts.m_authority_in_outage;
    }
    // A run in which nothing happened would prove nothing.
    cr_expect(total.m_answered > 10000);
    cr_expect(total.m_revoked > 40);
    cr_expect(total.m_accepted_transfers > 10);
    cr_expect(total.m_gained_by_release > 400);
    cr_expect(total.m_authority_in_outage > 1000);
    cr_log_info("answered %lu revoked %lu transfers %lu released %lu in outage %lu",
                total.m_answered, total.m_revoked, total.m_accepted_transfers,
                total.m_gained_by_release, total.m_authority_in_outage);
}
