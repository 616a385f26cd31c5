#include "edge_cluster.hpp"

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/path_estimate.hpp>

#include <boost/json.hpp>
#include <rapidcheck.h>

#include <array>
#include <bit>

#include <platform/rows.hpp>
#include <platform/store_client.hpp>
#include <src/edge/store_watch.hpp>

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
    R"("service":"plain","zone":"z1","version":"v1","state":"ready","sequence":1,)"
    R"("coldRemainingMs":0)";

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

namespace
{

const std::array<const char*, 26> odd_texts{"null",
                                            "true",
                                            "[]",
                                            "{}",
                                            "\"\"",
                                            "\"x\"",
                                            "-0.0",
                                            "0",
                                            "-1",
                                            "0.5",
                                            "65536",
                                            "2147483648",
                                            "4294967296",
                                            "9223372036854775808",
                                            "18446744073709551615",
                                            "18446744073709551616",
                                            "1e300",
                                            "-1e300",
                                            "1e999999999999",
                                            "5e-324",
                                            "\"0.0.0.0:0\"",
                                            "\"10.0.0.1:65536\"",
                                            "\"10.0.0.1:80x\"",
                                            "\"\\u0000\"",
                                            "\"\xff\"",
                                            "[[[[[[[[]]]]]]]]"};

std::string random_bytes(random_source& random, std::uint32_t longest)
{
    std::string bytes(uniform_below(random, longest + 1), '\0');
    for (char& byte : bytes)
    {
        byte = static_cast<char>(uniform_below(random, 256));
    }
    return bytes;
}

std::string odd_text(random_source& random)
{
    switch (uniform_below(random, 6))
    {
    case 0:
        return nested(1 + uniform_below(random, 300));
    case 1:
    {
        const std::uint64_t upper = random();
        return json::serialize(
            json::value(std::bit_cast<double>(upper << 32 | random())));
    }
    case 2:
        return json::serialize(json::value(random_bytes(random, 300)));
    case 3:
        return random_bytes(random, 20);
    default:
        return odd_texts[uniform_below(random, odd_texts.size())];
    }
}

/// Replaces a value somewhere in the document by the marker.
void replace_any(json::value& value, random_source& random)
{
    const bool descends = uniform_below(random, 4) > 0;
    if (auto* object = value.if_object(); descends && object && !object->empty())
    {
        auto at = object->begin() + uniform_below(random, object->size());
        replace_any(at->value(), random);
        return;
    }
    if (auto* array = value.if_array(); descends && array && !array->empty())
    {
        replace_any((*array)[uniform_below(random, array->size())], random);
        return;
    }
    value = "REPLACED";
}

/// Returns the document with one odd value, with bytes changed, or cut short.
std::string with_odd_value(const std::string& text, random_source& random)
{
    std::string odd = text;
    if (uniform_below(random, 8) == 0)
    {
        return odd.substr(0, uniform_below(random, odd.size()));
    }
    if (uniform_below(random, 8) == 0)
    {
        for (auto changes = 1 + uniform_below(random, 4); changes > 0; --changes)
        {
            odd[uniform_below(random, odd.size())] =
                static_cast<char>(uniform_below(random, 256));
        }
        return odd;
    }
    json::value document = json::parse(text);
    replace_any(document, random);
    odd = json::serialize(document);
    const std::string marker = R"("REPLACED")";
    return odd.replace(odd.find(marker), marker.size(), odd_text(random));
}

std::string base64_of(const std::string& bytes)
{
    const std::string sent = platform::encode_transaction({{"t", "k", bytes, false}});
    return std::string{json::parse(sent).at("setKeys").at(0).at("value").as_string()};
}

std::string sound_entry(int number, const std::string& state)
{
    return R"({"service":"plain","zone":"z1","version":"v1","sequence":1,"state":")" +
           state + R"(","address":"10.0.0.)" + std::to_string(number) +
           R"(:80","maxConcurrency":8,"coldRemainingMs":0,"born":1790000000000})";
}

std::string row_of(const std::string& key, const std::string& value, int version)
{
    return R"({"table":"servers","part":"","key":")" + key + R"(","value":")" +
           base64_of(value) + R"(","ver":)" + std::to_string(version) + '}';
}

/// The text that the store itself writes is sound JSON, apart from bytes of keys.
bool is_sound_json(const std::string& text)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::system::error_code failure;
    json::parse(text, failure, {}, options);
    return !failure;
}

/// A host that is given pages of the registry as a reader passes them on.
struct following_host
{
    void apply(const std::string& body)
    {
        auto page = platform::decode_row_page(body, {});
        m_readable = is_ok(page);
        if (!m_readable)
        {
            return;
        }
        state_push push;
        push.m_changes = ++m_changes;
        push.m_registry.m_version = value_of(page).m_version;
        for (auto& row : value_of(page).m_rows)
        {
            push.m_registry.m_rows.push_back(
                {row.m_key, row.m_value, row.m_version, row.m_removed, false});
        }
        m_watch.apply_push(node_id{"reader"}, incarnation{1}, push);
    }

    const serving::upstream* find(const std::string& id) const
    {
        return m_state.m_upstreams.m_rows.find(upstream_id{id});
    }

    boost::asio::io_context m_io;
    timer_service m_timers{edge::now()};
    edge::edge_state m_state{m_io.get_executor(), {}, m_timers};
    edge::store_watch m_watch{m_state, [] {}, [] {}};
    std::uint64_t m_changes = 0;
    bool m_readable = false;
};

/// Exercises what follows from numbers of a configuration.
void use_configuration(const serving::routing_config& config)
{
    for (const serving::route& route : config.m_routes)
    {
        serving::choose_pool(route, attempt_id{"a"});
        serving::final_stages(route);
        const std::vector<std::uint32_t> pieces(route.m_stages.size(), 3);
        const std::vector<serving::stage_estimate> stages(route.m_stages.size());
        serving::estimate_path(route, stages, pieces, 10ms);
        for (const serving::route_stage& stage : route.m_stages)
        {
            for (const std::uint32_t predecessor : stage.m_predecessors)
            {
                RC_ASSERT(predecessor < route.m_stages.size());
            }
        }
    }
    for (const auto& [id, pool] : config.m_pools)
    {
        serving::cold_quota(pool.m_cold_rate_limit, 7, 3);
        if (pool.m_pieces)
        {
            serving::stage_service_time(*pool.m_pieces, 10000);
        }
    }
}

} // namespace

// One entry of a page is odd. The others are read, and so is the next page.
Test(odd_entry, any_odd_entry_leaves_the_others_of_its_page)
{
    const bool holds = rc::check(
        [](std::uint32_t seed)
        {
            random_source random{seed};
            following_host host;
            std::string odd = row_of("w-odd", sound_entry(9, "ready"), 5);
            odd =
                uniform_below(random, 2) == 0
                    ? row_of("w-odd", with_odd_value(sound_entry(9, "ready"), random), 5)
                    : with_odd_value(odd, random);
            const std::string before = row_of("w1", sound_entry(1, "ready"), 3);
            const std::string after = row_of("w2", sound_entry(2, "ready"), 7);
            const std::string page = R"({"rows":[)" + before + ',' + odd + ',' + after +
                                     R"(],"hasMore":false,"ver":9})";
            if (!is_sound_json(page))
            {
                return;
            }
            host.apply(page);
            RC_ASSERT(host.m_readable);
            RC_ASSERT(host.find("w1") != nullptr);
            RC_ASSERT(host.find("w2") != nullptr);
            host.apply(R"({"rows":[)" + row_of("w1", sound_entry(1, "draining"), 11) +
                       ',' + row_of("w-odd", sound_entry(9, "ready"), 12) +
                       R"(],"hasMore":false,"ver":12})");
            RC_ASSERT(host.find("w1")->m_entry.m_leaving);
            RC_ASSERT(host.find("w2") != nullptr);
            RC_ASSERT(host.find("w-odd") != nullptr);
        });
    cr_expect(holds);
}

// Whatever is odd in a configuration, it is rejected or can be used.
Test(odd_entry, any_odd_configuration_is_rejected_or_usable)
{
    const bool holds = rc::check(
        [](std::uint32_t seed)
        {
            random_source random{seed};
            const std::string sound = sample_configuration(sample_routes(), 7);
            const auto decoded =
                platform::decode_configuration(with_odd_value(sound, random));
            if (is_ok(decoded))
            {
                use_configuration(value_of(decoded));
            }
        });
    cr_expect(holds);
}
