#include "edge_cluster.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

constexpr int hosts = 3;

/// Listens, and accepts nobody: once its queue is full, connections hang.
struct silent_listener
{
    explicit silent_listener(edge_cluster& cluster) : m_acceptor{cluster.m_io}
    {
        const auto endpoint = cluster.closed_endpoint();
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address{true});
        m_acceptor.bind(endpoint);
        m_acceptor.listen(0);
        for (int at = 0; at < 4; ++at)
        {
            m_waiting.emplace_back(cluster.m_io);
            m_waiting.back().async_connect(endpoint, [](const auto&) {});
        }
        cluster.run_for(20ms);
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<boost::asio::ip::tcp::socket> m_waiting;
};

/// Hosts, some of which are partitioned from all upstreams while callers, the store and
/// the other hosts reach them.
struct cut_story
{
    explicit cut_story(std::uint16_t first_port) : m_cluster{first_port, hosts}
    {
        for (const char* const id : {"w1", "w2", "w3"})
        {
            m_cluster.add_worker(id, "plain");
        }
        for (const char* const id : {"s1", "s2"})
        {
            m_cluster.add_worker(id, "stage");
        }
        for (const char* const id : {"e1", "e2"})
        {
            m_cluster.add_worker(id, "engine");
        }
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    void cut(std::initializer_list<int> list)
    {
        for (const int host : list)
        {
            m_cluster.cut_from_workers(host, m_cluster.closed_endpoint());
        }
    }

    /// Sends requests of each kind to a host, one after the other.
    /// @return how many got their answer
    int serve(int host, int count)
    {
        int served = 0;
        for (int at = 0; at < count; ++at)
        {
            const std::string id = "r" + std::to_string(m_sent++);
            http_request request = at % 3 == 0 ? sample_get("/read/" + id, id, 1500)
                                   : at % 3 == 1
                                       ? sample_post("/pay/" + id, id, 1500)
                                       : sample_stream("/stream/" + id, id, 3000);
            const bool is_stream = at % 3 == 2;
            const auto answer =
                m_cluster.send_request(host, std::move(request), is_stream ? 3s : 1500ms);
            served += answer.m_status == 200 ? 1 : 0;
            m_last_status = answer.m_status;
        }
        return served;
    }

    /// Most runs of one request at all upstreams together.
    int most_runs() const
    {
        std::map<std::string, int> runs;
        int most = 0;
        for (const auto& worker : m_cluster.m_workers)
        {
            for (const auto& [id, count] : worker->m_runs)
            {
                runs[id] += count;
                most = std::max(most, runs[id]);
            }
        }
        return most;
    }

    edge_cluster m_cluster;
    int m_sent = 0;
    unsigned m_last_status = 0;
};

} // namespace

// Guards against hosts that refuse all requests while they reach no upstream and the
// other hosts reach all of them.
TestSuite(cut_host, .timeout = 60);

Test(cut_host, a_host_that_reaches_no_upstream_serves_through_others)
{
    cut_story story{29600};
    story.cut({0});
    EXPECT_EQUAL(story.serve(0, 12), 12);
    EXPECT_EQUAL(story.most_runs(), 1);
}

// The queue of a stage is at one host for all.
Test(cut_host, other_hosts_keep_a_pool_whose_queue_is_at_a_host_that_is_cut_off)
{
    cut_story story{29640};
    for (int cut = 0; cut < hosts; ++cut)
    {
        story.cut({cut});
        EXPECT_EQUAL(story.serve((cut + 1) % hosts, 6), 6);
        story.m_cluster.heal(cut);
        story.m_cluster.run_for(1000ms);
    }
}

Test(cut_host, hosts_whose_connections_hang_serve_through_others)
{
    cut_story story{29680};
    silent_listener silent{story.m_cluster};
    story.m_cluster.cut_from_workers(0, silent.m_acceptor.local_endpoint());
    // The first ones find out that the connections hang.
    story.serve(0, 6);
    story.m_cluster.run_for(1000ms);
    EXPECT_EQUAL(story.serve(0, 12), 12);
}

// Guards against a host that sends all its work to the one upstream that it still reaches
// and waits for a connection at each of the others.
Test(cut_host, a_host_that_reaches_one_upstream_uses_the_others_too)
{
    cut_story story{29720};
    silent_listener silent{story.m_cluster};
    story.m_cluster.cut_from_workers(0, silent.m_acceptor.local_endpoint(),
                                     {"w3", "s2", "e2"});
    story.serve(0, 12);
    story.m_cluster.run_for(1000ms);
    for (const auto& worker : story.m_cluster.m_workers)
    {
        worker->m_runs.clear();
    }
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQUAL(story.serve(0, 24), 24);
    const auto took = std::chrono::steady_clock::now() - began;
    cr_expect(took < 1s, "24 requests wait for no connection");
    std::size_t runs_behind_cut = 0;
    for (const auto& worker : story.m_cluster.m_workers)
    {
        runs_behind_cut +=
            worker->m_id == "w1" || worker->m_id == "w2" ? worker->m_runs.size() : 0;
    }
    cr_expect(runs_behind_cut > 0, "work goes to upstreams that others reach");
}
