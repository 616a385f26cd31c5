#include <geraniumdoor/serving/upstream_reach.hpp>

#include <map>
#include <string>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};
const pool_id encoder{"encoder"};

host_report report_of(const std::string& node, std::uint32_t processor)
{
    host_report report;
    report.m_node.m_value = node;
    report.m_incarnation.m_value = 1;
    report.m_sequence = 1;
    report.m_region.m_value = "r1";
    report.m_processor = processor;
    report.m_ready = true;
    report.m_interval_ms = 200;
    report.m_tunnel_port = 9;
    return report;
}

/// A host that opens connections, and others that may carry them.
struct tunnel_fixture
{
    tunnel_fixture()
    {
        m_own = report_of("own", 250);
        for (const auto& [node, processor] :
             std::map<std::string, std::uint32_t>{{"a", 100}, {"b", 200}, {"c", 300}})
        {
            apply_report(m_table, report_of(node, processor), start);
        }
    }

    host_report& report(const std::string& node)
    {
        return m_table.m_hosts.at(node_id{node}).m_report;
    }

    static upstream_entry target()
    {
        upstream_entry entry;
        entry.m_id.m_value = "u1";
        entry.m_pool = encoder;
        return entry;
    }

    /// Chooses that many times. Returns how often each host was chosen.
    std::map<std::string, int> choose(int count, time_point at = start)
    {
        std::map<std::string, int> chosen;
        for (int done = 0; done < count; ++done)
        {
            const peer_host* const host =
                choose_tunnel_host(m_table, m_own, m_reach, target(), at);
            if (host != nullptr)
            {
                ++chosen[host->m_report.m_node.m_value];
                count_tunnel(m_reach, host->m_report.m_node);
            }
        }
        return chosen;
    }

    host_table m_table;
    host_report m_own;
    pool_reach m_reach;
};

upstream_table sample_upstreams(int count)
{
    upstream_table table;
    for (int at = 0; at < count; ++at)
    {
        upstream_entry entry;
        entry.m_id.m_value = "u" + std::to_string(at);
        entry.m_pool = encoder;
        apply_entry(table, entry, start);
    }
    return table;
}

} // namespace

TestSuite(upstream_reach);

Test(upstream_reach, a_host_is_cut_off_when_two_upstreams_fail_and_none_is_reached)
{
    pool_reach reach;
    cr_expect(not record_direct_failure(reach, upstream_id{"u1"}, 3, start));
    cr_expect(not record_direct_failure(reach, upstream_id{"u1"}, 3, start),
              "one upstream that fails twice may have crashed");
    cr_expect(record_direct_failure(reach, upstream_id{"u2"}, 3, start));
    cr_expect(reach.m_is_cut_off);
    cr_expect(not record_direct_failure(reach, upstream_id{"u3"}, 3, start));
    cr_expect(record_direct_success(reach, upstream_id{"u2"}, start));
    cr_expect(not reach.m_is_cut_off);
    // What failed before counts no more.
    cr_expect(not record_direct_failure(reach, upstream_id{"u3"}, 3, start));
}

Test(upstream_reach, the_only_upstream_of_a_pool_is_enough)
{
    pool_reach reach;
    cr_expect(record_direct_failure(reach, upstream_id{"u1"}, 1, start));
}

// Guards against a storm of connections from hosts that are cut off.
Test(upstream_reach, one_upstream_is_tried_in_each_interval)
{
    const upstream_table table = sample_upstreams(3);
    pool_reach reach;
    cr_expect(next_reach_probe(reach, table, encoder, start) == nullptr);
    record_direct_failure(reach, upstream_id{"u0"}, 3, start);
    record_direct_failure(reach, upstream_id{"u1"}, 3, start + 1ms);
    const upstream* next = next_reach_probe(reach, table, encoder, start + 1ms);
    cr_assert(next != nullptr);
    EXPECT_EQUAL(next->m_entry.m_id.m_value, "u2");
    reach.m_last_probe = start + 1ms;
    record_direct_failure(reach, upstream_id{"u2"}, 3, start + 2ms);
    cr_expect(next_reach_probe(reach, table, encoder, start + reach_probe_interval) ==
              nullptr);
    next = next_reach_probe(reach, table, encoder, start + 1ms + reach_probe_interval);
    cr_assert(next != nullptr);
    EXPECT_EQUAL(next->m_entry.m_id.m_value, "u0");
}

// Guards against a host that loses the path to most upstreams of a pool and sends all its
// work to the others.
Test(upstream_reach, upstreams_that_others_reach_are_in_use_beside_those_of_direct_paths)
{
    pool_reach reach;
    const upstream_id near{"u0"};
    const upstream_id first{"u1"};
    const upstream_id second{"u2"};
    const upstream_id third{"u3"};
    const node_id host{"a"};
    record_direct_failure(reach, first, 4, start);
    record_direct_failure(reach, second, 4, start);
    cr_expect(uses_detour(reach, third), "no path is known to be there");
    record_tunnel(reach, first, host, true, start);
    record_tunnel(reach, second, host, true, start);
    record_direct_success(reach, near, start);
    cr_expect(not uses_detour(reach, near));
    cr_expect(not uses_detour(reach, third));
    cr_expect(uses_detour(reach, first));
    cr_expect(uses_detour(reach, second));
    // The detours are no reason to take the other paths for broken.
    cr_expect(not record_direct_failure(reach, first, 4, start + 1s));
    cr_expect(not record_direct_failure(reach, third, 4, start + 1s));
    record_tunnel(reach, third, host, true, start + 1s);
    cr_expect(not reach.m_is_cut_off);
    cr_expect(record_direct_failure(reach, near, 4, start + 2s), "it was the last path");
    // Paths that are back are in use one by one.
    cr_expect(record_direct_success(reach, first, start + 2s));
    cr_expect(not uses_detour(reach, first));
    cr_expect(uses_detour(reach, second));
}

// Guards against connections through other hosts to an upstream that has crashed.
Test(upstream_reach, an_upstream_that_nobody_reaches_is_not_detoured)
{
    pool_reach reach;
    const upstream_id upstream{"u1"};
    record_direct_failure(reach, upstream, 3, start);
    record_tunnel(reach, upstream, node_id{"a"}, true, start);
    cr_expect(uses_detour(reach, upstream));
    record_tunnel(reach, upstream, node_id{"a"}, false, start + 1s);
    cr_expect(not uses_detour(reach, upstream));
}

// Guards against one small host that carries the connections of all that are cut off.
Test(upstream_reach, hosts_carry_connections_by_their_processor_time)
{
    tunnel_fixture fixture;
    const auto chosen = fixture.choose(60);
    EXPECT_EQUAL(chosen.at("a"), 10);
    EXPECT_EQUAL(chosen.at("b"), 20);
    EXPECT_EQUAL(chosen.at("c"), 30);
}

// Guards against a restarted host that gets all connections of a long cut until it has
// had as many as the others.
Test(upstream_reach, a_host_that_comes_later_gets_its_share_soon)
{
    tunnel_fixture fixture;
    fixture.choose(5000);
    apply_report(fixture.m_table, report_of("d", 300), start);
    const auto chosen = fixture.choose(180);
    cr_expect(chosen.at("d") < 120);
    cr_expect(chosen.at("a") + chosen.at("b") > 30);
}

Test(upstream_reach, hosts_that_cannot_help_are_not_asked)
{
    tunnel_fixture fixture;
    fixture.report("a").m_unreached.push_back(
        id_hash(tunnel_fixture::target().m_id.m_value));
    fixture.report("b").m_stopping = true;
    EXPECT_EQUAL(fixture.choose(3).at("c"), 3);
    record_tunnel(fixture.m_reach, tunnel_fixture::target().m_id, node_id{"c"}, false,
                  start);
    cr_expect(fixture.choose(1).empty());
    fixture.m_table.m_hosts.at(node_id{"c"}).m_last_heard = start + failed_tunnel_hold;
    EXPECT_EQUAL(fixture.choose(1, start + failed_tunnel_hold).at("c"), 1);
    // Nobody reaches the pool: it is down.
    fixture.report("c").m_unreached.push_back(id_hash(encoder.m_value));
    cr_expect(fixture.choose(1, start + failed_tunnel_hold).empty());
}

Test(upstream_reach, bodies_stay_in_the_region)
{
    tunnel_fixture fixture;
    for (const char* const node : {"a", "b", "c"})
    {
        fixture.report(node).m_region.m_value = "r2";
    }
    cr_expect(fixture.choose(1).empty());
}

// Guards against connections through hosts that are cut off from most upstreams, too.
Test(upstream_reach, a_report_names_the_pools_and_upstreams_that_its_host_does_not_reach)
{
    std::map<pool_id, pool_reach> reached;
    const pool_id generator{"generator"};
    record_direct_failure(reached[encoder], upstream_id{"u1"}, 3, start);
    record_direct_failure(reached[generator], upstream_id{"v1"}, 3, start);
    record_direct_failure(reached[generator], upstream_id{"v2"}, 3, start);
    const std::vector<std::uint32_t> expected{id_hash(generator.m_value), id_hash("u1")};
    cr_expect(unreached_hashes(reached) == expected);
    for (int at = 0; at < 100; ++at)
    {
        record_tunnel(reached[encoder], upstream_id{"w" + std::to_string(at)},
                      node_id{"a"}, true, start);
    }
    EXPECT_EQUAL(unreached_hashes(reached).size(), max_reported_unreached);
}
