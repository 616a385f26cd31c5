#include "edge_cluster.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

using store_tables = std::map<std::string, std::map<std::string, store_standin::row>>;

/// A stream with a prompt of its own, so that streams begin at all engines.
http_request stream_of(const std::string& id)
{
    http_request request = sample_stream("/resume/" + id, id, 2500);
    for (auto& [name, value] : request.m_fields)
    {
        if (name == "Prompt-Prefix")
        {
            value = id + "a:80," + id + "b:20";
        }
    }
    return request;
}

/// The request with which a caller takes up a stream after its second event.
http_request take_up(const std::string& stream, const std::string& id)
{
    http_request request = stream_of(id);
    request.m_fields.emplace_back("Resumes", stream);
    request.m_fields.emplace_back("Last-Event-Id", "2");
    return request;
}

struct take_up_counts
{
    int m_went_on = 0;
    int m_refused = 0;
    int m_joined = 0;
};

/// Hosts that lose what they know when all of them lose power, while the store keeps its
/// rows and engines are replaced.
class power_loss_story
{
public:
    power_loss_story(std::uint16_t first_port, int hosts,
                     const std::vector<std::string>& versions)
        : m_next_port{first_port}, m_host_count{hosts}
    {
        start_hosts({}, versions);
    }

    /// Begins streams that break off after two events.
    void begin_broken_streams(const std::string& name, int count)
    {
        for (worker_standin* engine : m_engines)
        {
            engine->m_mode = worker_mode::tear;
        }
        for (int at = 0; at < count; ++at)
        {
            const std::string id = name + std::to_string(at);
            const auto answer =
                m_cluster->send_request(at % m_host_count, stream_of(id), 2500ms);
            EXPECT_EQUAL(answer.m_status, 0U);
            m_versions[id] = version_that_saw(id);
            m_streams.push_back(id);
        }
        for (worker_standin* engine : m_engines)
        {
            engine->m_mode = worker_mode::normal;
        }
    }

    /// Removes the entries of all engines of a version.
    void remove_version(const std::string& version)
    {
        for (const worker_standin* engine : m_engines)
        {
            if (engine->m_version == version)
            {
                m_cluster->m_store.remove("servers", engine->m_id);
            }
        }
    }

    /// All hosts lose power and start again, with engines of these versions. What callers
    /// and engines of the next run see is apart from the run before.
    void lose_power(const std::vector<std::string>& versions,
                    const std::set<std::string>& refused_tables = {})
    {
        store_tables kept = m_cluster->m_store.m_tables;
        kept.erase("servers");
        kept.erase("hosts");
        const std::uint64_t version = m_cluster->m_store.m_version;
        m_engines.clear();
        m_cluster.reset();
        start_hosts({std::move(kept), version}, versions, refused_tables);
    }

    /// Callers take all streams up, each at every host.
    take_up_counts take_up_streams()
    {
        take_up_counts counts;
        for (const std::string& stream : m_streams)
        {
            for (int host = 0; host < m_host_count; ++host)
            {
                const std::string id = stream + "-" + std::to_string(++m_take_ups) + "x";
                const auto answer =
                    m_cluster->send_request(host, take_up(stream, id), 2500ms);
                counts.m_went_on += answer.m_status == 200 ? 1 : 0;
                counts.m_refused += answer.m_status == 503 ? 1 : 0;
                const std::string version = version_that_saw(id);
                counts.m_joined +=
                    !version.empty() && version != m_versions.at(stream) ? 1 : 0;
            }
        }
        return counts;
    }

    int count_streams_of(const std::string& version) const
    {
        return static_cast<int>(std::count_if(m_streams.begin(), m_streams.end(),
                                              [&](const std::string& stream)
                                              {
                                                  return m_versions.at(stream) == version;
                                              }));
    }

    int host_count() const
    {
        return m_host_count;
    }

    edge_cluster& cluster()
    {
        return *m_cluster;
    }

private:
    void start_hosts(const store_standin::copy& kept,
                     const std::vector<std::string>& versions,
                     const std::set<std::string>& refused_tables = {})
    {
        constexpr std::uint16_t ports = 40;
        m_cluster = std::make_unique<edge_cluster>(m_next_port, m_host_count);
        m_next_port += ports;
        m_cluster->m_store.m_tables = kept.m_tables;
        m_cluster->m_store.m_version = kept.m_version + 1;
        m_cluster->m_store.m_refused_tables = refused_tables;
        m_cluster->add_worker("s0", "stage");
        for (const std::string& version : versions)
        {
            m_engines.push_back(&m_cluster->add_worker(
                "e" + std::to_string(m_next_engine++), "engine", version));
        }
        m_cluster->set_config(sample_routes(), ++m_config_version);
        m_cluster->start();
    }

    std::string version_that_saw(const std::string& attempt) const
    {
        for (const worker_standin* engine : m_engines)
        {
            for (const http_request& request : engine->m_seen)
            {
                if (find_field(request.m_fields, "Attempt-Id") == attempt)
                {
                    return engine->m_version;
                }
            }
        }
        return {};
    }

    std::uint16_t m_next_port;
    int m_host_count;
    std::unique_ptr<edge_cluster> m_cluster;
    std::vector<worker_standin*> m_engines;
    std::vector<std::string> m_streams;
    /// Version of the engine that began each stream.
    std::map<std::string, std::string> m_versions;
    int m_take_ups = 0;
    int m_next_engine = 0;
    std::uint64_t m_config_version = 0;
};

} // namespace

TestSuite(rejoined_stream, .timeout = 60);

// Guards against streams whose first part is of a version that has left while no host was
// up, and whose rest is of the one that is left.
Test(rejoined_stream, a_stream_of_a_version_that_left_meanwhile_is_not_joined)
{
    power_loss_story story{26480, 2, {"v1", "v1", "v2", "v2"}};
    story.begin_broken_streams("r", 12);
    cr_assert(story.count_streams_of("v1") >= 2);
    cr_assert(story.count_streams_of("v2") >= 2);
    story.cluster().run_for(1s);
    story.lose_power({"v2", "v2"});
    const auto counts = story.take_up_streams();
    cr_log_info("%d went on, %d refused, %d joined", counts.m_went_on, counts.m_refused,
                counts.m_joined);
    EXPECT_EQUAL(counts.m_joined, 0);
    EXPECT_EQUAL(counts.m_refused, story.count_streams_of("v1") * story.host_count());
    EXPECT_EQUAL(counts.m_went_on, story.count_streams_of("v2") * story.host_count());
}

Test(rejoined_stream, a_stream_of_a_version_that_left_just_before_is_not_joined)
{
    power_loss_story story{26560, 2, {"v1", "v1", "v2", "v2"}};
    story.begin_broken_streams("r", 12);
    cr_assert(story.count_streams_of("v1") >= 2);
    story.remove_version("v1");
    story.cluster().run_for(1500ms);
    story.lose_power({"v2", "v2"});
    const auto counts = story.take_up_streams();
    cr_log_info("%d went on, %d refused, %d joined", counts.m_went_on, counts.m_refused,
                counts.m_joined);
    EXPECT_EQUAL(counts.m_joined, 0);
    EXPECT_EQUAL(counts.m_went_on, story.count_streams_of("v2") * story.host_count());
}

// Guards against streams that nobody can take up once all hosts have lost power.
Test(rejoined_stream, streams_go_on_after_a_loss_of_all_hosts_while_both_versions_serve)
{
    power_loss_story story{26640, 5, {"v1", "v1", "v2", "v2"}};
    story.begin_broken_streams("r", 12);
    story.cluster().run_for(1s);
    story.lose_power({"v1", "v1", "v2", "v2"});
    const auto counts = story.take_up_streams();
    cr_log_info("%d went on, %d refused, %d joined", counts.m_went_on, counts.m_refused,
                counts.m_joined);
    EXPECT_EQUAL(counts.m_joined, 0);
    EXPECT_EQUAL(counts.m_went_on, 12 * story.host_count());
    // Streams that have begun since go on as well.
    story.begin_broken_streams("s", 4);
    EXPECT_EQUAL(story.take_up_streams().m_went_on, 16 * story.host_count());
}

Test(rejoined_stream, streams_of_the_only_version_go_on_after_a_loss_of_all_hosts)
{
    power_loss_story story{26720, 3, {"v1", "v1"}};
    story.begin_broken_streams("r", 4);
    story.lose_power({"v1", "v1"});
    EXPECT_EQUAL(story.take_up_streams().m_went_on, 4 * story.host_count());
}

Test(rejoined_stream, a_version_that_came_while_no_host_was_up_gets_no_earlier_stream)
{
    power_loss_story story{26800, 5, {"v1", "v1"}};
    story.begin_broken_streams("r", 4);
    story.lose_power({"v2", "v2"});
    const auto counts = story.take_up_streams();
    EXPECT_EQUAL(counts.m_joined, 0);
    EXPECT_EQUAL(counts.m_refused, 4 * story.host_count());
    // Streams of the new version can be taken up, although the earlier one is known.
    story.begin_broken_streams("s", 4);
    EXPECT_EQUAL(story.take_up_streams().m_went_on, 4 * story.host_count());
}

Test(rejoined_stream, streams_are_refused_while_the_versions_of_before_cannot_be_read)
{
    power_loss_story story{26880, 2, {"v1", "v1", "v2", "v2"}};
    story.begin_broken_streams("r", 6);
    story.cluster().run_for(1s);
    story.lose_power({"v2", "v2"}, {"versions", "origins"});
    const auto counts = story.take_up_streams();
    EXPECT_EQUAL(counts.m_joined, 0);
    EXPECT_EQUAL(counts.m_refused, 6 * story.host_count());
    story.cluster().m_store.m_refused_tables.clear();
    story.cluster().run_for(1s);
    EXPECT_EQUAL(story.take_up_streams().m_went_on,
                 story.count_streams_of("v2") * story.host_count());
}

// Guards against versions that are forgotten because the store has lost them.
Test(rejoined_stream, rows_are_written_again_when_the_store_comes_back_from_an_older_copy)
{
    power_loss_story story{26960, 2, {"v1", "v1", "v2", "v2"}};
    const auto earlier = story.cluster().m_store.make_copy();
    story.begin_broken_streams("r", 8);
    story.cluster().run_for(1s);
    auto& store = story.cluster().m_store;
    cr_assert(not store.m_tables["origins"].empty());
    auto copy = earlier;
    copy.m_tables.erase("versions");
    copy.m_tables.erase("origins");
    store.go_back(copy);
    story.cluster().run_for(2500ms);
    story.lose_power({"v2", "v2"});
    const auto counts = story.take_up_streams();
    EXPECT_EQUAL(counts.m_joined, 0);
    EXPECT_EQUAL(counts.m_went_on, story.count_streams_of("v2") * story.host_count());
}

// Guards against calls to the store for streams that no other version can have begun.
Test(rejoined_stream, nothing_is_written_while_a_pool_has_one_version)
{
    power_loss_story story{27040, 2, {"v1", "v1"}};
    auto& store = story.cluster().m_store;
    cr_expect(store.m_tables["versions"].contains("engine"));
    story.begin_broken_streams("r", 2);
    const int before = store.m_transactions;
    story.begin_broken_streams("s", 4);
    story.cluster().run_for(3s);
    EXPECT_EQUAL(store.m_transactions, before);
    cr_expect(store.m_tables["origins"].empty());
}

// Guards against a version that is forgotten because it left before the store came back
// from a copy that did not have it yet.
Test(rejoined_stream, a_version_that_has_left_is_stored_again_after_a_return)
{
    power_loss_story story{27160, 2, {"v1", "v1", "v2", "v2"}};
    story.begin_broken_streams("r", 8);
    story.remove_version("v1");
    story.cluster().run_for(1500ms);
    auto& store = story.cluster().m_store;
    auto copy = store.make_copy();
    copy.m_tables["versions"]["engine"].m_value = R"({"versions":["v2"]})";
    copy.m_tables["origins"].clear();
    store.go_back(copy);
    story.cluster().run_for(2500ms);
    EXPECT_EQUAL(store.m_tables["versions"]["engine"].m_value,
                 R"({"versions":["v1","v2"]})");
    story.lose_power({"v2", "v2"});
    const auto counts = story.take_up_streams();
    EXPECT_EQUAL(counts.m_joined, 0);
    EXPECT_EQUAL(counts.m_went_on, story.count_streams_of("v2") * story.host_count());
}
