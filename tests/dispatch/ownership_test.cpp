#include "cluster_simulation.hpp"
#include "testing.hpp"

#include <geraniumdoor/base/log.hpp>

using namespace geraniumdoor;
using namespace geraniumdoor::testing;
using namespace std::chrono_literals;

namespace
{

void discard_logs()
{
    set_log_sink([](std::string_view) {});
}

/// Returns three nodes that own all upstreams, without random loss.
cluster_simulation stable_cluster(std::uint32_t seed)
{
    cluster_simulation cluster{seed, 3, 6};
    cluster.m_loss_per_mille = 0;
    cluster.run_for(15s);
    return cluster;
}

std::size_t count_owned_by(const cluster_simulation& cluster, std::size_t node)
{
    std::size_t owned = 0;
    for (const auto& upstream : cluster.m_nodes[node].m_dispatcher.m_upstreams)
    {
        owned += upstream.m_row.m_authority_until > cluster.m_now ? 1 : 0;
    }
    return owned;
}

std::size_t count_owned(const cluster_simulation& cluster)
{
    std::size_t owned = 0;
    for (const auto& [id, upstream] : cluster.m_upstreams)
    {
        owned += cluster.count_authorities(id);
    }
    return owned;
}

} // namespace

// Guards against upstreams without owner in normal operation and during an outage of the
// table service, and against authority that outlasts the lease.
TestSuite(ownership, .init = discard_logs);

Test(ownership, a_killed_holder_is_replaced_within_ten_seconds)
{
    auto cluster = stable_cluster(1);
    EXPECT_EQUAL(count_owned(cluster), 6U);
    cluster.end_process(0);
    cluster.run_for(10s);
    cr_expect(cluster.m_violation.empty(), "%s", cluster.m_violation.c_str());
    EXPECT_EQUAL(count_owned(cluster), 6U);
}

Test(ownership, guarantors_extend_leases_during_an_outage)
{
    auto cluster = stable_cluster(2);
    cluster.m_table.m_available = false;
    cluster.run_for(120s);
    EXPECT_EQUAL(count_owned(cluster), 6U);
    // Without the grant of one guarantor, the lease gives no authority.
    cluster.end_process(1);
    cluster.run_for(10s);
    EXPECT_EQUAL(count_owned(cluster), 0U);
    // When the service returns, the remaining nodes take over all upstreams.
    cluster.m_table.m_available = true;
    cluster.run_for(30s);
    EXPECT_EQUAL(count_owned(cluster), 6U);
    cr_expect(cluster.m_violation.empty(), "%s", cluster.m_violation.c_str());
}

Test(ownership, a_lease_without_guarantors_is_not_extended)
{
    cluster_simulation cluster{3, 1, 6};
    cluster.m_loss_per_mille = 0;
    cluster.run_for(15s);
    EXPECT_EQUAL(count_owned_by(cluster, 0), 6U);
    cluster.m_table.m_available = false;
    cluster.run_for(7s);
    EXPECT_EQUAL(count_owned_by(cluster, 0), 0U);
}

Test(ownership, a_paused_holder_has_no_authority_when_it_resumes)
{
    auto cluster = stable_cluster(4);
    cr_assert(count_owned_by(cluster, 0) > 0);
    cluster.m_nodes[0].m_paused = true;
    cluster.run_for(3s);
    cluster.m_table.m_available = false;
    cluster.m_cut_links = {{0, 1}, {0, 2}};
    cluster.m_nodes[0].m_paused = false;
    cluster.run_for(200ms);
    EXPECT_EQUAL(count_owned_by(cluster, 0), 0U);
}

Test(ownership, a_planned_stop_transfers_the_lease_without_the_table_service)
{
    auto cluster = stable_cluster(5);
    const std::size_t before = count_owned_by(cluster, 0);
    cr_assert(before > 0);
    cluster.m_table.m_available = false;
    cluster.run_for(2s);
    cluster.stop_gracefully(0);
    cluster.run_for(1s);
    EXPECT_EQUAL(count_owned_by(cluster, 0), 0U);
    EXPECT_EQUAL(count_owned(cluster), 6U);
    cr_expect(cluster.m_violation.empty(), "%s", cluster.m_violation.c_str());
}

Test(ownership, a_restarted_guarantor_refuses_to_extend_grants_of_its_predecessor)
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

Test(ownership, rows_round_trip_and_invalid_text_is_rejected)
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

Test(ownership, an_unsent_revocation_does_not_prevent_grants)
{
    // After a repeat of a revocation of unknown outcome, grants are still refused.
    for (const bool repeats : {false, true})
    {
        const time_point now{1000s};
        const lease_id lease{"h.1"};
        ownership_state state = make_ownership({node_id{"g"}, {1}, {"dc"}}, now);
        state.m_leases[lease].m_version = 3;
        state.m_leases[lease].m_revoking = true;
        state.m_pending[{1}] = {table_call_purpose::revoke, lease, {}, {}, now, repeats};
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
