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

void discard_logs()
{
    set_log_sink([](std::string_view) {});
}

} // namespace

// Guards against two nodes dispatching to one upstream, and against a cold upstream that
// receives more calls than its limit, under any sequence of kills, pauses, cut links,
// lost answers, late messages and outages of the table service.
TestSuite(ownership_faults, .init = discard_logs);

Test(ownership_faults, one_authority_and_no_overload_under_random_faults)
{
    // The list includes the first seed that fails when a mechanism is disabled:
    //  41: the calls of the previous owner do not count against the limit;
    //  42: one grant suffices instead of the grants of all guarantors;
    //  74: any node may revoke a lease;
    // 637: a new owner does not wait for calls that a failed owner left running.
    std::vector<std::uint32_t> seeds(45);
    std::iota(seeds.begin(), seeds.end(), 1);
    seeds.insert(seeds.end(), {74, 637});
    simulation_counts total;
    for (const std::uint32_t seed : seeds)
    {
        cluster_simulation cluster{seed, 5, 6};
        cluster.run_for(12s);
        for (int fault = 0; fault < 40 && cluster.m_violation.empty(); ++fault)
        {
            cluster.inject_fault();
            cluster.run_for(milliseconds{300 + 97 * (fault * seed % 50)});
        }
        cr_assert(cluster.m_violation.empty(), "seed %u: %s", seed,
                  cluster.m_violation.c_str());
        // After the faults, each upstream has exactly one owner again.
        cluster.heal_all();
        cluster.run_for(60s);
        cr_assert(cluster.m_violation.empty(), "healed, seed %u: %s", seed,
                  cluster.m_violation.c_str());
        for (const auto& [id, upstream] : cluster.m_upstreams)
        {
            cr_expect(cluster.count_authorities(id) == 1, "seed %u: %s has no owner",
                      seed, id.m_value.c_str());
        }
        total.m_answered += cluster.m_counts.m_answered;
        total.m_revoked += cluster.m_counts.m_revoked;
        total.m_accepted_transfers += cluster.m_counts.m_accepted_transfers;
        total.m_gained_by_release += cluster.m_counts.m_gained_by_release;
        total.m_authority_in_outage += cluster.m_counts.m_authority_in_outage;
    }
    // The faults must have had an effect, or the checks above prove nothing.
    cr_expect(total.m_answered > 10000);
    cr_expect(total.m_revoked > 40);
    cr_expect(total.m_accepted_transfers > 10);
    cr_expect(total.m_gained_by_release > 400);
    cr_expect(total.m_authority_in_outage > 1000);
    cr_log_info("answered %lu revoked %lu transfers %lu released %lu in outage %lu",
                total.m_answered, total.m_revoked, total.m_accepted_transfers,
                total.m_gained_by_release, total.m_authority_in_outage);
}
