#include "cluster_simulation.hpp"
#include "testing.hpp"

#include <geraniumdoor/base/log.hpp>

using namespace geraniumdoor;
using namespace geraniumdoor::testing;
using namespace std::chrono_literals;

namespace
{

void drop_logs()
{
    set_log_sink([](std::string_view) {});
}

/// Three nodes that own all upstreams, without random loss.
cluster_simulation settled_cluster(std::uint32_t seed)
{
    cluster_simulation cluster{seed, 3, 6};
    cluster.m_loss = 0;
    cluster.run_for(15s);
    return cluster;
}

std::size_t owned_by(const cluster_simulation& cluster, std::size_t node)
{
    std::size_t owned = 0;
    for (const auto& upstream : cluster.m_nodes[node].m_dispatcher.m_upstreams)
    {
        owned += upstream.m_row.m_authority_until > cluster.m_now ? 1 : 0;
    }
    return owned;
}

std::size_t owned_in_all(const cluster_simulation& cluster)
{
    std::size_t owned = 0;
    for (const auto& [id, upstream] : cluster.m_upstreams)
    {
        owned += cluster.authorities(id);
    }
    return owned;
}

} // namespace

// Guards against upstreams without owner in normal operation and during an outage, and
// against a lease that outlives its holder's right to it.
TestSuite(ownership, .init = drop_logs);

Test(ownership, a_killed_holder_is_replaced_within_ten_seconds)
{
    auto cluster = settled_cluster(1);
    EXPECT_EQUAL(owned_in_all(cluster), 6U);
    cluster.kill(0);
    cluster.run_for(10s);
    cr_expect(cluster.m_breach.empty(), "%s", cluster.m_breach.c_str());
    EXPECT_EQUAL(owned_in_all(cluster), 6U);
}

Test(ownership, guarantors_carry_leases_through_an_outage)
{
    auto cluster = settled_cluster(2);
    cluster.m_table.m_up = false;
    cluster.run_for(120s);
    EXPECT_EQUAL(owned_in_all(cluster), 6U);
    // With one guarantor gone, nothing may be dispatched under the lease.
    cluster.kill(1);
    cluster.run_for(10s);
    EXPECT_EQUAL(owned_in_all(cluster), 0U);
    // The service returns and the survivors take everything.
    cluster.m_table.m_up = true;
    cluster.run_for(30s);
    EXPECT_EQUAL(owned_in_all(cluster), 6U);
    cr_expect(cluster.m_breach.empty(), "%s", cluster.m_breach.c_str());
}

Test(ownership, a_lease_without_guarantors_is_not_extended)
{
    cluster_simulation cluster{3, 1, 6};
    cluster.m_loss = 0;
    cluster.run_for(15s);
    EXPECT_EQUAL(owned_by(cluster, 0), 6U);
    cluster.m_table.m_up = false;
    cluster.run_for(7s);
    EXPECT_EQUAL(owned_by(cluster, 0), 0U);
}

Test(ownership, a_paused_holder_has_no_authority_when_it_wakes)
{
    auto cluster = settled_cluster(4);
    cr_assert(owned_by(cluster, 0) > 0);
    cluster.m_nodes[0].m_paused = true;
    cluster.run_for(3s);
    cluster.m_table.m_up = false;
    cluster.m_cut = {{0, 1}, {0, 2}};
    cluster.m_nodes[0].m_paused = false;
    cluster.run_for(200ms);
    EXPECT_EQUAL(owned_by(cluster, 0), 0U);
}

Test(ownership, a_planned_stop_hands_the_lease_over_without_the_table_service)
{
    auto cluster = settled_cluster(5);
    const std::size_t before = owned_by(cluster, 0);
    cr_assert(before > 0);
    cluster.m_table.m_up = false;
    cluster.run_for(2s);
    cluster.stop_gracefully(0);
    cluster.run_for(1s);
    EXPECT_EQUAL(owned_by(cluster, 0), 0U);
    EXPECT_EQUAL(owned_in_all(cluster), 6U);
    cr_expect(cluster.m_breach.empty(), "%s", cluster.m_breach.c_str());
}

Test(ownership, a_restarted_guarantor_refuses_what_its_predecessor_promised)
{
    ownership_state state = make_ownership({{"n1"}, {7}, {"dc"}}, time_point{100s});
    std::vector<ownership_action> actions;
    for (const std::uint64_t named : {6U, 7U})
    {
        const lease_extend ask{{"n0.1"}, 4, named, {named}, 6000};
        on_lease_message(state, {"n0"}, ask, time_point{100s}, actions);
        const auto& sent = std::get<send_lease_message>(actions.back());
        cr_expect(std::get<lease_grant>(sent.m_message).m_granted == (named == 7));
    }
}

Test(ownership, rows_survive_encoding_and_reject_other_text)
{
    const lease_row lease{{"n\"1"}, {7}, 3, 6000ms, {{{"n2"}, {9}}}};
    cr_expect(decode_lease_row(encode(lease)) == lease);
    const owner_row owner{{"n1.7"}, {4}, true};
    cr_expect(decode_owner_row(encode(owner)) == owner);
    for (const char* text : {"", "[]", "{}", "{\"lease\":1,\"epoch\":1}", "null"})
    {
        cr_expect(not decode_lease_row(text) && not decode_owner_row(text), "%s", text);
    }
}

Test(ownership, a_revocation_that_never_left_does_not_hold_back_grants)
{
    // A repeat of a revocation of unknown effect still holds them back.
    for (const bool repeats : {false, true})
    {
        const time_point now{1000s};
        const lease_id lease{"h.1"};
        ownership_state state = make_ownership({node_id{"g"}, {1}, {"dc"}}, now);
        state.m_leases[lease].m_version = 3;
        state.m_leases[lease].m_revoking = true;
        state.m_pending[{1}] = {table_purpose::revoke, lease, {}, {}, now, repeats};
        std::vector<ownership_action> actions;
        on_table_transaction_end(state, {{1}, table_outcome::not_written, {}}, now,
                                 actions);
        actions.clear();
        on_lease_message(state, {"h"}, lease_extend{lease, 3, 1, {1}, 6000}, now,
                         actions);
        cr_assert(actions.size() == 1);
        const auto& sent = std::get<send_lease_message>(actions[0]).m_message;
        cr_expect(std::get<lease_grant>(sent).m_granted == not repeats);
    }
}
