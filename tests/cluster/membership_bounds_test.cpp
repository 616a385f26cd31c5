#include "simulated_cluster.hpp"
#include "testing.hpp"

#include <geraniumdoor/base/log.hpp>

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

void silence()
{
    set_log_sink([](std::string_view) {});
}

void declare_many_gone(simulated_cluster& cluster, std::size_t count)
{
    auto& state = *cluster.m_nodes[0].m_state;
    for (std::size_t at = 0; at < count; ++at)
    {
        membership_actions actions;
        const node_id node{"gone-" + std::to_string(at)};
        declare_gone(state, node, incarnation{1}, cluster.m_now, actions);
        // No datagrams are needed here; a queue of thousands makes the test slow.
        state.m_broadcasts.clear();
    }
}

} // namespace

// Guards against memory and traffic without bound.
TestSuite(membership_bounds, .init = silence);

Test(membership_bounds, proofs_of_ended_processes_are_bounded_by_number_and_age)
{
    simulated_cluster cluster{2, 1, 20261204};
    cluster.run(5s);
    auto& state = *cluster.m_nodes[0].m_state;
    const std::size_t most = state.m_settings.m_max_proofs;
    declare_many_gone(cluster, most + 100);
    cluster.run(61s);
    cr_expect(state.m_gone.size() <= most);
    cr_expect(state.m_gone.contains(simulated_cluster::id(1)), "it is a member");
    membership_actions actions;
    tick_membership(state, cluster.m_now + 23h, cluster.m_random, actions);
    cr_expect(state.m_gone.size() > most / 2, "younger than 24 h");
    tick_membership(state, cluster.m_now + 25h, cluster.m_random, actions);
    EXPECT_EQUAL(state.m_gone.size(), 1U);
    cr_expect(state.m_gone.contains(simulated_cluster::id(1)));
}

Test(membership_bounds, no_node_exceeds_14_kb_per_s_by_serving_lists_to_joining_nodes)
{
    simulated_cluster cluster{90, 6, 20261204};
    cluster.run(5s);
    for (auto& node : cluster.m_nodes)
    {
        node.m_bytes = 0;
    }
    cluster.run(10s);
    for (const auto& node : cluster.m_nodes)
    {
        cr_expect(node.m_bytes <= 140'000, "14 KB/s, not %lu B", node.m_bytes / 10);
    }
}
