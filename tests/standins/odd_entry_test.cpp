#include "edge_cluster.hpp"

#include <geraniumdoor/serving/table_copy.hpp>

#include <boost/json.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

/// Above the pause between two reads of the registry and the time to tell other hosts.
constexpr milliseconds time_to_follow{1200};

const std::string sound_fields =
    R"("service":"plain","zone":"z1","version":"v1","state":"ready","sequence":1)";

std::string entry_with(const std::string& fields)
{
    return '{' + sound_fields + ',' + fields + '}';
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Configuration of version 2 with an odd text in a stage of its streams.
std::string configuration_with_stage(const std::string& fields)
{
    return sample_configuration(
        R"({"name":"stream","host":"a.example","prefix":"/stream/",)"
        R"("routeType":"streaming","timeoutMs":3000,"service":"engine",)"
        R"("stages":[{"service":"stage",)" +
            fields + "}]}",
        2);
}

unsigned read_status(edge_cluster& cluster, int host, const std::string& id)
{
    return cluster.send_request(host, sample_get("/read/1", id, 1500), 2s).m_status;
}

std::vector<std::string> odd_values()
{
    return {
        "",
        "\xff\xfe",
        "null",
        nested(20000),
        entry_with(R"("address":"127.20.0.1:65536","maxConcurrency":8)"),
        entry_with(R"("address":"127.20.0.1:80x","maxConcurrency":8)"),
        entry_with(R"("address":"127.20.0.1:9","maxConcurrency":1e300)"),
        entry_with(R"("address":"127.20.0.1:9","maxConcurrency":1e999999999999)"),
        entry_with(R"("address":"127.20.0.1:9","maxConcurrency":8,"born":-1e308)"),
        entry_with(R"("address":"127.20.0.1:9","maxConcurrency":8,"x":)" + nested(100)),
        std::string(60000, 'x')};
}

} // namespace

// Guards against an odd entry of another writer that ends the hosts or keeps them from
// following the store.
TestSuite(odd_entry);

// The fourth host learns of the entries from the three that read the store.
Test(odd_entry, hosts_serve_and_follow_beside_an_odd_entry)
{
    edge_cluster cluster{27280, 4};
    worker_standin& first = cluster.add_worker("w1", "plain");
    cluster.add_worker("w2", "plain");
    cluster.set_config(sample_routes(), 1);
    cluster.start();
    int turn = 0;
    for (const std::string& value : odd_values())
    {
        const bool drains = ++turn % 2 == 1;
        cluster.m_store.put("servers", "w-odd", value);
        cluster.set_worker_state(first, drains ? "draining" : "ready");
        cluster.run_for(time_to_follow);
        const std::size_t before = first.m_seen.size();
        for (int host = 0; host < 4; ++host)
        {
            const std::string id = std::to_string(turn) + '-' + std::to_string(host);
            EXPECT_EQUAL(read_status(cluster, host, "read-" + id), 200U);
        }
        if (drains)
        {
            EXPECT_EQUAL(first.m_seen.size(), before);
        }
    }
}

// A page with one of these was unreadable as a whole, and each later one, too.
Test(odd_entry, hosts_follow_beside_a_row_without_a_usable_key)
{
    edge_cluster cluster{27320, 1};
    cluster.set_config(sample_routes(), 1);
    cluster.add_worker("w1", "plain");
    cluster.start();
    cluster.m_store.put("servers", "i\xff", "{}");
    cluster.m_store.m_odd_rows = {R"({"value":"e30=","ver":2})", "7",
                                  R"({"key":[],"value":"e30=","ver":2})"};
    cluster.m_store.remove("servers", "w1");
    cluster.run_for(time_to_follow + serving::restore_timeout);
    EXPECT_EQUAL(read_status(cluster, 0, "without"), 503U);
    cluster.add_worker("w2", "plain");
    cluster.run_for(time_to_follow);
    EXPECT_EQUAL(read_status(cluster, 0, "with"), 200U);
}

// The same for a host that starts when the odd row is there already.
Test(odd_entry, a_host_starts_beside_a_row_without_a_usable_key)
{
    edge_cluster cluster{27360, 1};
    cluster.set_config(sample_routes(), 1);
    cluster.add_worker("w1", "plain");
    cluster.m_store.put("servers", "i\xff", "{}");
    cluster.m_store.m_odd_rows = {R"({"value":"e30=","ver":2})"};
    cluster.start_store();
    cluster.start_host(0);
    cluster.run_for(time_to_follow);
    EXPECT_EQUAL(read_status(cluster, 0, "read"), 200U);
}

Test(odd_entry, an_odd_entry_in_place_of_a_sound_one_names_no_upstream)
{
    edge_cluster cluster{27400, 1};
    worker_standin& worker = cluster.add_worker("w1", "plain");
    cluster.set_config(sample_routes(), 1);
    cluster.start();
    EXPECT_EQUAL(read_status(cluster, 0, "before"), 200U);
    const std::string address =
        worker.m_address + ':' + std::to_string(worker.m_port) + '"';
    cluster.m_store.put("servers", "w1",
                        entry_with(R"("maxConcurrency":1e300,"address":")" + address));
    cluster.run_for(time_to_follow);
    EXPECT_EQUAL(read_status(cluster, 0, "odd"), 503U);
    EXPECT_EQUAL(worker.m_seen.size(), 1U);
    cluster.set_worker_state(worker, "ready");
    cluster.run_for(time_to_follow);
    EXPECT_EQUAL(read_status(cluster, 0, "after"), 200U);
}

// The key of an entry is sent to its upstream in a header field.
Test(odd_entry, the_key_of_an_odd_entry_adds_no_header_field)
{
    edge_cluster cluster{27440, 1};
    worker_standin& worker = cluster.add_worker("w1", "plain");
    cluster.set_config(sample_routes(), 1);
    cluster.m_store.put("servers", "w1\r\nTenant: other",
                        registry_entry(worker, worker.m_port));
    cluster.m_store.remove("servers", "w1");
    cluster.start();
    EXPECT_EQUAL(read_status(cluster, 0, "read"), 503U);
    cr_expect(worker.m_seen.empty());
}

Test(odd_entry, an_odd_configuration_leaves_the_one_before_in_force)
{
    edge_cluster cluster{27480, 1};
    cluster.add_worker("w1", "plain");
    cluster.add_worker("e1", "engine");
    cluster.add_worker("s1", "stage");
    cluster.set_config(sample_routes(), 1);
    cluster.start();
    int turn = 0;
    for (const std::string& odd :
         {configuration_with_stage(R"("after":[-1],"bytes":8000)"),
          configuration_with_stage(R"("after":[0.5],"bytes":8000)"),
          configuration_with_stage(R"("after":[7],"bytes":8000)"),
          configuration_with_stage(R"("after":[0],"bytes":8000)"),
          configuration_with_stage(R"("after":[],"bytes":1e300)"),
          configuration_with_stage(R"("after":[],"x":)" + nested(100)),
          std::string{R"({"version":2,"routes":{}})"},
          std::string{R"({"version":2,"routes":[],"tenants":[{"apiKeys":["key"]}]})"},
          std::string{R"({"version":18446744073709551615,"routes":[]})"},
          std::string{R"({"version":1e300,"routes":[]})"}, nested(20000)})
    {
        cluster.m_store.put("op", "config", odd);
        cluster.run_for(150ms);
        const std::string id = std::to_string(++turn);
        EXPECT_EQUAL(read_status(cluster, 0, "read-" + id), 200U);
        const auto streamed =
            cluster.send_request(0, sample_stream("/stream/1", "stream-" + id, 2000), 3s);
        cr_expect(streamed.m_status == 200U, "turn %d, status %u", turn,
                  streamed.m_status);
    }
    cluster.set_config(sample_pay_route, 3);
    cluster.run_for(150ms);
    EXPECT_EQUAL(read_status(cluster, 0, "gone"), 404U);
}
