#include "edge_cluster.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

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

/// Hosts, a worker of stages, and engines of two software versions.
struct version_story
{
    version_story(std::uint16_t first_port, int hosts,
                  const std::vector<std::string>& versions)
        : m_cluster{first_port, hosts}
    {
        m_cluster.add_worker("s0", "stage");
        for (const std::string& version : versions)
        {
            const std::string id = "e" + std::to_string(m_engines.size());
            m_engines.push_back(&m_cluster.add_worker(id, "engine", version));
        }
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    /// Sends a stream that breaks off after two events at each engine in trouble.
    void begin_broken_stream(int host, const std::string& id)
    {
        const auto answer = m_cluster.send_request(host, stream_of(id), 2500ms);
        EXPECT_EQUAL(answer.m_status, 0U);
    }

    /// Versions of the engines that got a request of the stream.
    std::set<std::string> versions_of(const std::string& stream) const
    {
        std::set<std::string> versions;
        for (const worker_standin* engine : m_engines)
        {
            for (const http_request& request : engine->m_seen)
            {
                const std::string id{find_field(request.m_fields, "Attempt-Id")};
                const std::string first{find_field(request.m_fields, "Resumes")};
                if ((first.empty() ? id : first) == stream)
                {
                    versions.insert(engine->m_version);
                }
            }
        }
        return versions;
    }

    std::size_t count_resumed() const
    {
        std::size_t count = 0;
        for (const worker_standin* engine : m_engines)
        {
            for (const http_request& request : engine->m_seen)
            {
                count += find_field(request.m_fields, "Last-Event-Id").empty() ? 0 : 1;
            }
        }
        return count;
    }

    edge_cluster m_cluster;
    std::vector<worker_standin*> m_engines;
};

} // namespace

TestSuite(software_version, .timeout = 60);

// Guards against answers that join events of two software versions.
Test(software_version, a_broken_stream_goes_on_at_an_engine_of_the_version_that_began_it)
{
    version_story story{22760, 1, {"v1", "v1", "v2", "v2"}};
    // One engine of each version breaks its streams off.
    story.m_engines[0]->m_mode = worker_mode::tear;
    story.m_engines[2]->m_mode = worker_mode::tear;
    std::vector<std::string> streams;
    std::vector<std::shared_ptr<std::optional<http_response>>> answers;
    for (int at = 0; at < 60; ++at)
    {
        streams.push_back("r" + std::to_string(at));
        answers.push_back(
            story.m_cluster.start_request(0, stream_of(streams.back()), 2500ms));
        story.m_cluster.run_for(60ms);
    }
    story.m_cluster.run_for(1500ms);
    cr_expect(story.count_resumed() >= 4, "%zu streams went on", story.count_resumed());
    for (const std::string& stream : streams)
    {
        EXPECT_EQUAL(story.versions_of(stream).size(), 1U);
    }
    const auto served = std::count_if(answers.begin(), answers.end(),
                                      [](const auto& answer)
                                      {
                                          return *answer && (*answer)->m_status == 200;
                                      });
    EXPECT_EQUAL(static_cast<std::size_t>(served), streams.size());
}

Test(software_version, a_caller_takes_a_stream_up_at_any_host)
{
    constexpr int hosts = 6;
    version_story story{22800, hosts, {"v1", "v1", "v2", "v2"}};
    // All engines break streams off, so that callers have to take them up.
    for (worker_standin* engine : story.m_engines)
    {
        engine->m_mode = worker_mode::tear;
    }
    std::vector<std::string> streams;
    for (int at = 0; at < 8; ++at)
    {
        streams.push_back("r" + std::to_string(at));
        story.begin_broken_stream(0, streams.back());
    }
    for (worker_standin* engine : story.m_engines)
    {
        engine->m_mode = worker_mode::normal;
    }
    std::size_t resumed = 0;
    for (const std::string& stream : streams)
    {
        for (int host = 1; host < hosts; ++host)
        {
            const auto answer = story.m_cluster.send_request(
                host, take_up(stream, stream + "-" + std::to_string(host)), 2500ms);
            resumed += answer.m_status == 200 ? 1 : 0;
        }
        EXPECT_EQUAL(story.versions_of(stream).size(), 1U);
    }
    EXPECT_EQUAL(resumed, streams.size() * (hosts - 1));
}

// Guards against callers who wait for a stream that nobody can take up.
Test(software_version, a_stream_whose_version_has_left_is_refused_at_once)
{
    version_story story{22600, 2, {"v1", "v1", "v2"}};
    for (worker_standin* engine : story.m_engines)
    {
        engine->m_mode = worker_mode::tear;
    }
    story.begin_broken_stream(0, "r0");
    const auto versions = story.versions_of("r0");
    cr_assert(versions.size() == 1);
    std::size_t seen_before = 0;
    for (worker_standin* engine : story.m_engines)
    {
        engine->m_mode = worker_mode::normal;
        if (engine->m_version == *versions.begin())
        {
            story.m_cluster.set_worker_state(*engine, "draining");
        }
        seen_before += engine->m_seen.size();
    }
    story.m_cluster.run_for(1500ms);
    for (int host = 0; host < 2; ++host)
    {
        const auto answer = story.m_cluster.send_request(
            host, take_up("r0", "again" + std::to_string(host)), 300ms);
        EXPECT_EQUAL(answer.m_status, 503U);
        EXPECT_EQUAL(answer.m_body, "no_upstream_of_its_version");
    }
    // The refusals are true: no engine has got the requests.
    std::size_t seen_after = 0;
    for (const worker_standin* engine : story.m_engines)
    {
        seen_after += engine->m_seen.size();
    }
    EXPECT_EQUAL(seen_after, seen_before);
}

Test(software_version, a_stream_that_nobody_knows_goes_on_only_where_there_is_one_version)
{
    version_story one{22560, 2, {"v1", "v1"}};
    EXPECT_EQUAL(one.m_cluster.send_request(0, take_up("gone", "a"), 2500ms).m_status,
                 200U);
    version_story two{22520, 2, {"v1", "v1", "v2", "v2"}};
    const auto answer = two.m_cluster.send_request(0, take_up("gone", "b"), 500ms);
    EXPECT_EQUAL(answer.m_status, 503U);
    EXPECT_EQUAL(answer.m_body, "unknown_stream_version");
    EXPECT_EQUAL(two.count_resumed(), 0U);
}

// Guards against callers who return again and again for a stream that nobody knows.
Test(software_version, a_caller_of_a_stream_that_nobody_knows_is_not_asked_back_soon)
{
    version_story story{27120, 4, {"v1", "v1", "v2", "v2"}};
    story.m_cluster.run_for(2500ms);
    const auto answer = story.m_cluster.send_request(0, take_up("gone", "a"), 500ms);
    EXPECT_EQUAL(answer.m_status, 503U);
    EXPECT_EQUAL(answer.m_body, "unknown_stream_version");
    const std::string wait{find_field(answer.m_fields, "Retry-After")};
    cr_assert(not wait.empty());
    // A third of the 2.5 s that the caller waits, less the time to ask other hosts.
    cr_expect(std::stod(wait) >= 0.6, "Retry-After %s", wait.c_str());
}

// Guards against streams that go on at an engine which has come back under its id with
// another version, before hosts have read its entry.
Test(software_version, an_engine_that_comes_back_under_its_id_takes_no_earlier_streams)
{
    constexpr int hosts = 3;
    version_story story{29280, hosts, {"v1", "v2"}};
    worker_standin& replaced = *story.m_engines[0];
    const auto ledger = std::make_shared<worker_ledger>();
    for (worker_standin* engine : story.m_engines)
    {
        engine->m_ledger = ledger;
        engine->m_mode = worker_mode::slow_stream;
    }
    story.m_cluster.run_for(1000ms);
    constexpr int streams = 12;
    for (int round = 0; round < 4; ++round)
    {
        const auto id_of = [round](int stream)
        {
            return "r" + std::to_string(round) + "-" + std::to_string(stream);
        };
        for (int stream = 0; stream < streams; ++stream)
        {
            story.m_cluster.start_request(stream % hosts, stream_of(id_of(stream)),
                                          2500ms);
        }
        // The hosts read the registry at another moment of each round.
        story.m_cluster.run_for(700ms + 150ms * round);

        // The engine ends, and registers anew before it takes connections.
        replaced.m_restart_delay = 300ms;
        replaced.crash(story.m_cluster.m_io.get_executor());
        story.m_cluster.run_for(250ms);
        replaced.m_version = "v" + std::to_string(round + 3);
        ++replaced.m_born;
        story.m_cluster.set_worker_state(replaced, "ready");
        --replaced.m_born;
        story.m_cluster.run_for(70ms);

        // Callers return at any host, some before the entry has been read.
        for (int turn = 0; turn < 4; ++turn)
        {
            for (int stream = 0; stream < streams; ++stream)
            {
                const std::string id = id_of(stream) + "-" + std::to_string(turn);
                story.m_cluster.start_request((stream + turn) % hosts,
                                              take_up(id_of(stream), id), 1500ms);
            }
            story.m_cluster.run_for(150ms);
        }
        story.m_cluster.run_for(2000ms);
    }
    cr_expect(ledger->m_joined_streams.empty(), "%zu streams joined",
              ledger->m_joined_streams.size());
    // Streams of the version that is left go on.
    cr_expect(story.count_resumed() > 0);
    // So do new streams at the engine that is back.
    const auto answer = story.m_cluster.send_request(0, stream_of("new"), 2500ms);
    EXPECT_EQUAL(answer.m_status, 200U);
}
