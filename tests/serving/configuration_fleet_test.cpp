#include "configuration_fleet.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;

TestSuite(configuration_fleet, .timeout = 200);

namespace
{

/// Runs a seed and says which host was late.
bool is_in_time(std::uint32_t seed, int& checks, fleet_troubles troubles = {})
{
    configuration_fleet fleet{seed, troubles};
    const auto found = fleet.run_for(60s);
    checks += fleet.m_checks;
    cr_expect(not found, "seed %u: host %zu has %lu rather than %lu at %ld ms", seed,
              found->m_host, static_cast<unsigned long>(found->m_held),
              static_cast<unsigned long>(found->m_wanted),
              static_cast<long>(found->m_at.count()));
    return !found;
}

} // namespace

// Guards against changes that come into force late, or come back older, at hosts that
// reach the store, whatever happens to others.
Test(configuration_fleet, a_change_is_in_force_in_time_at_hosts_that_reach_the_store)
{
    int late = 0;
    int checks = 0;
    constexpr std::uint32_t seeds = 300;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        late += is_in_time(seed, checks) ? 0 : 1;
    }
    cr_log_info("%d hosts late in %u seeds, %d checks", late, seeds, checks);
    cr_expect(checks > 0);
}

// Seeds of a longer run in which a host was late: the reads of all hosts fail, and those
// that go on reading are cut off from the store when it is back.
Test(configuration_fleet,
     a_change_is_in_force_in_time_after_the_reads_of_all_hosts_failed)
{
    int checks = 0;
    for (const std::uint32_t seed :
         {1630U, 2604U, 2925U, 3351U, 3686U, 4918U, 5798U, 5993U})
    {
        is_in_time(seed, checks);
    }
    cr_expect(checks > 0);
}

// More seeds of that run: a host that has just started waits for the tables of a reader
// whose answers do not arrive.
Test(configuration_fleet, a_change_is_in_force_in_time_at_a_host_that_has_just_started)
{
    int checks = 0;
    for (const std::uint32_t seed : {1308U, 2298U, 2512U, 2969U, 3163U, 3372U})
    {
        is_in_time(seed, checks);
    }
    cr_expect(checks > 0);
}

// A seed of another run: all readers are cut off twice, and a host that reaches the store
// again waits until the last of them counts as failing.
Test(configuration_fleet, a_change_is_in_force_in_time_when_the_last_reader_is_cut_off)
{
    int checks = 0;
    is_in_time(4258, checks);
    cr_expect(checks > 0);
}

// Another seed of the first run: all readers are cut off from the store, and the other
// hosts leave the reading to them because of reads that an earlier outage had cut off.
Test(configuration_fleet, a_change_is_in_force_in_time_when_troubles_overlap)
{
    int checks = 0;
    is_in_time(5393, checks);
    cr_expect(checks > 0);
}

// Guards against readers that precede others while their reads are refused: each set of
// three kept the reading for a second.
Test(configuration_fleet, a_change_is_in_force_in_time_when_reads_are_refused)
{
    int checks = 0;
    for (const std::uint32_t seed : {26U, 175U, 374U, 383U, 545U, 571U})
    {
        is_in_time(seed, checks, {9, true, true});
    }
    cr_expect(checks > 0);
}

// Guards against hosts that reach the store and wait for others, one set of readers after
// the other, to take over the reading.
Test(configuration_fleet, a_change_is_in_force_in_time_whatever_number_is_cut_off)
{
    int checks = 0;
    for (const std::uint32_t seed : {622U, 690U, 710U, 854U, 867U, 884U})
    {
        is_in_time(seed, checks, {9, true, false});
    }
    cr_expect(checks > 0);
}

// The same for a fleet in which many sets of readers can be among those cut off.
Test(configuration_fleet, a_change_is_in_force_in_time_in_a_fleet_of_many_hosts)
{
    int checks = 0;
    is_in_time(11, checks, {65, true, false});
    cr_expect(checks > 0);
}
