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

bool is_death(const membership_action& action)
{
    const auto* changed = std::get_if<member_changed>(&action);
    return changed != nullptr && changed->m_member.m_state == member_state::dead;
}

bool is_raise(const membership_action& action)
{
    return std::holds_alternative<own_incarnation_raised>(action);
}

bool all_hold(const simulated_cluster& cluster,
              const std::function<bool(const membership_state&)>& condition)
{
    for (const auto& node : cluster.m_nodes)
    {
        if (node.m_state && !condition(*node.m_state))
        {
            return false;
        }
    }
    return true;
}

simulated_cluster joined_cluster(std::size_t count, std::size_t data_centres)
{
    simulated_cluster cluster{count, data_centres, 20261204};
    const auto joined = cluster.run_until(30s,
                                          [&]
                                          {
                                              return cluster.agree();
                                          });
    cr_assert(joined.has_value(), "%zu nodes did not join", count);
    return cluster;
}

std::optional<milliseconds> time_to_agree(simulated_cluster& cluster, milliseconds limit)
{
    return cluster.run_until(limit,
                             [&]
                             {
                                 return cluster.agree();
                             });
}

const urgent_state out{data_centre_id{"dc-1"}, data_centre_state::out, config_version{3},
                       1, change_id{"a"}};
const urgent_state in{data_centre_id{"dc-1"}, data_centre_state::in, config_version{3}, 1,
                      change_id{"b"}};

} // namespace

// Guards against dead nodes that are kept, live ones that are dropped, parts of a cluster
// that never meet again, and false proofs that a process has ended.
TestSuite(membership, .init = silence);

Test(membership, a_killed_node_is_found_dead_but_not_proven_gone)
{
    auto cluster = joined_cluster(9, 3);
    cluster.m_nodes[4].m_state.reset();
    const auto found = time_to_agree(cluster, 15s);
    cr_expect(found.has_value());
    cr_expect(all_hold(cluster,
                       [](const membership_state& state)
                       {
                           return not is_gone(state, simulated_cluster::id(4),
                                              incarnation{1});
                       }));
}

Test(membership, a_replaced_host_proves_that_its_predecessor_has_ended)
{
    auto cluster = joined_cluster(9, 3);
    cluster.m_nodes[4].m_state.reset();
    cluster.run(1s);
    cluster.start(4, 2);
    cluster.run(10s);
    cr_expect(cluster.agree());
    cr_expect(all_hold(cluster,
                       [](const membership_state& state)
                       {
                           const auto node = simulated_cluster::id(4);
                           return node == state.m_self.m_node ||
                                  (is_gone(state, node, incarnation{1}) &&
                                   not is_gone(state, node, incarnation{2}));
                       }));
}

Test(membership, a_process_whose_clock_went_back_takes_a_higher_incarnation)
{
    auto cluster = joined_cluster(9, 3);
    cluster.start(4, 0);
    cluster.run(10s);
    EXPECT_EQUAL(cluster.m_nodes[4].m_state->m_self.m_incarnation, incarnation{2});
    EXPECT_EQUAL(cluster.count_actions(is_raise), 1U);
    cr_expect(cluster.agree());
}

Test(membership, a_planned_stop_is_seen_as_leaving_and_then_as_proof)
{
    auto cluster = joined_cluster(9, 3);
    auto& stopping = cluster.m_nodes[4];
    announce_leaving(*stopping.m_state);
    cluster.run(1s);
    cr_expect(all_hold(cluster,
                       [](const membership_state& state)
                       {
                           return find_member(state, simulated_cluster::id(4))->m_leaving;
                       }));
    membership_actions actions;
    announce_left(*stopping.m_state, stopping.m_random, actions);
    cluster.execute(4, actions);
    cluster.run(1s);
    stopping.m_state.reset();
    cr_expect(cluster.agree(), "no suspicion is needed");
    cr_expect(all_hold(cluster,
                       [](const membership_state& state)
                       {
                           return is_gone(state, simulated_cluster::id(4),
                                          incarnation{1});
                       }));
}

Test(membership, message_loss_kills_no_live_node)
{
    auto cluster = joined_cluster(9, 3);
    cluster.m_loss = 0.2;
    cluster.run(300s);
    EXPECT_EQUAL(cluster.count_actions(is_death), 0U);
    cr_expect(cluster.agree());
}

Test(membership, a_paused_node_accuses_nobody_and_comes_back_as_the_same_process)
{
    auto cluster = joined_cluster(9, 3);
    auto& paused = cluster.m_nodes[4];
    // It suspects another node when the pause begins.
    cluster.m_passes = [](std::size_t from, std::size_t to)
    {
        return from != 4 && to != 4;
    };
    cluster.run(2500ms);
    cluster.m_passes = {};
    paused.m_paused = true;
    cluster.run(20s);
    paused.m_seen.clear();
    paused.m_paused = false;
    cr_expect(time_to_agree(cluster, 20s).has_value());
    for (const auto& action : paused.m_seen)
    {
        cr_expect(not is_death(action));
    }
    cr_expect(std::holds_alternative<pause_detected>(paused.m_seen.front()));
    EXPECT_EQUAL(cluster.count_actions(is_raise), 0U);
    EXPECT_EQUAL(paused.m_state->m_self.m_incarnation, incarnation{1});
}

Test(membership, data_centres_that_were_cut_off_find_each_other_again)
{
    auto cluster = joined_cluster(9, 3);
    cluster.m_passes = [](std::size_t from, std::size_t to)
    {
        return (from % 3 == 0) == (to % 3 == 0);
    };
    cluster.run(60s);
    EXPECT_EQUAL(live_count(*cluster.m_nodes[0].m_state), 3U);
    EXPECT_EQUAL(live_count(*cluster.m_nodes[1].m_state), 6U);
    announce_urgent_state(*cluster.m_nodes[0].m_state, in);
    announce_urgent_state(*cluster.m_nodes[1].m_state, out);
    cluster.m_passes = {};
    cr_expect(time_to_agree(cluster, 30s).has_value());
    cluster.run(2s);
    cr_expect(all_hold(cluster,
                       [](const membership_state& state)
                       {
                           return *find_urgent_state(state, out.m_data_centre) == out;
                       }),
              "an operator's out wins over a concurrent in");
    EXPECT_EQUAL(cluster.count_actions(is_raise), 0U);
}

Test(membership, an_unreachable_member_is_forgotten_after_two_hours)
{
    auto cluster = joined_cluster(2, 1);
    cluster.m_nodes[1].m_state.reset();
    auto& state = *cluster.m_nodes[0].m_state;
    cluster.run(30s);
    cr_expect(find_member(state, simulated_cluster::id(1)) != nullptr);
    membership_actions actions;
    tick_membership(state, cluster.m_now + 2h, cluster.m_random, actions);
    cr_expect(find_member(state, simulated_cluster::id(1)) == nullptr);
}

Test(membership, an_operator_can_declare_a_silent_host_gone)
{
    auto cluster = joined_cluster(9, 3);
    cluster.m_nodes[4].m_state.reset();
    membership_actions actions;
    auto& told = *cluster.m_nodes[0].m_state;
    declare_gone(told, simulated_cluster::id(4), incarnation{1}, cluster.m_now, actions);
    cluster.run(5s);
    cr_expect(cluster.agree());
    cr_expect(all_hold(cluster,
                       [](const membership_state& state)
                       {
                           return is_gone(state, simulated_cluster::id(4),
                                          incarnation{1});
                       }));
}

Test(membership, news_reaches_370_nodes_in_time_within_the_byte_budget)
{
    auto cluster = joined_cluster(370, 6);
    cluster.m_loss = 0.05;
    announce_urgent_state(*cluster.m_nodes[7].m_state, out);
    set_config_version(*cluster.m_nodes[7].m_state, config_version{4});
    const auto known = cluster.run_until(
        9s,
        [&]
        {
            return all_hold(cluster,
                            [](const membership_state& state)
                            {
                                return state.m_config == config_version{4} &&
                                       find_urgent_state(state, out.m_data_centre);
                            });
        });
    cr_assert(known.has_value());
    cr_expect(*known <= 3s, "an urgent state has 3 s, not %ld ms", long{known->count()});
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

Test(membership, regions_of_370_nodes_meet_again_after_a_cut)
{
    auto cluster = joined_cluster(370, 6);
    cluster.m_passes = [](std::size_t from, std::size_t to)
    {
        return (from % 6 < 3) == (to % 6 < 3);
    };
    const bool apart =
        cluster
            .run_until(60s,
                       [&]
                       {
                           return all_hold(cluster,
                                           [](const membership_state& state)
                                           {
                                               return live_count(state) < 200;
                                           });
                       })
            .has_value();
    cr_expect(apart);
    cluster.m_passes = {};
    const auto healed = time_to_agree(cluster, 60s);
    cr_expect(healed.has_value());
    EXPECT_EQUAL(cluster.count_actions(is_raise), 0U);
}
