#include "edge_cluster.hpp"
#include "silencing_proxy.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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

/// The platform's configApplyMs.
constexpr milliseconds apply_time{2000};

const char* const added_route =
    R"({"name":"added","host":"a.example","prefix":"/added/","routeType":"idempotent",)"
    R"("timeoutMs":2000,"targetLatencyMs":300,"service":"plain","maxAttempts":2})";

/// Hosts whose connections to the store pass a proxy.
struct proxied_store
{
    proxied_store(std::uint16_t first_port, int hosts)
        : m_cluster{first_port, hosts}, m_hosts{hosts}
    {
        const auto address = boost::asio::ip::make_address("127.20.0.1");
        m_cluster.m_store_port = static_cast<std::uint16_t>(first_port + 39);
        m_proxy = std::make_unique<silencing_proxy>(
            m_cluster.m_io.get_executor(),
            boost::asio::ip::tcp::endpoint{address, m_cluster.m_store_port},
            boost::asio::ip::tcp::endpoint{address, first_port});
        m_cluster.add_worker("w0", "plain");
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    bool all_have_added_route()
    {
        for (int host = 0; host < m_hosts; ++host)
        {
            const std::string id = "a" + std::to_string(++m_requests);
            const auto answer =
                m_cluster.send_request(host, sample_get("/added/x", id, 300), 500ms);
            if (answer.m_status != 200)
            {
                return false;
            }
        }
        return true;
    }

    edge_cluster m_cluster;
    std::unique_ptr<silencing_proxy> m_proxy;
    int m_hosts;
    int m_requests = 0;
};

/// A host whose connections to a stage's upstream pass a proxy.
struct proxied_upstream
{
    explicit proxied_upstream(std::uint16_t first_port)
        : m_cluster{first_port, 1}
        , m_upstream{m_cluster.add_worker("s0", "stage")}
        , m_proxy{m_cluster.m_io.get_executor(),
                  place(static_cast<std::uint16_t>(first_port + 39)),
                  place(m_upstream.m_port)}
    {
        m_cluster.m_store.put(
            "servers", "s0",
            registry_entry(m_upstream, static_cast<std::uint16_t>(first_port + 39)));
        m_cluster.add_worker("e0", "engine");
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    static boost::asio::ip::tcp::endpoint place(std::uint16_t port)
    {
        return {boost::asio::ip::make_address("127.20.0.1"), port};
    }

    unsigned send()
    {
        const std::string id = "r" + std::to_string(++m_requests);
        return m_cluster.send_request(0, sample_stream("/stream/" + id, id, 3000), 3s)
            .m_status;
    }

    edge_cluster m_cluster;
    worker_standin& m_upstream;
    silencing_proxy m_proxy;
    int m_requests = 0;
};

/// A client that reaches a server through a proxy.
struct kept_calls
{
    kept_calls()
    {
        m_server.start();
    }

    static boost::asio::awaitable<void> answer(http_exchange& exchange)
    {
        const http_response empty;
        co_await exchange.respond(empty);
    }

    boost::asio::awaitable<void> call()
    {
        http_call_options options;
        options.m_timeout = 300ms;
        const http_request request;
        const auto answer =
            co_await m_client.send(proxied_upstream::place(30041), request, options);
        m_served.push_back(is_ok(answer));
    }

    void call_at_once(int calls)
    {
        m_served.clear();
        for (int at = 0; at < calls; ++at)
        {
            boost::asio::co_spawn(m_io, call(), boost::asio::detached);
        }
        m_io.restart();
        m_io.run_for(600ms);
        cr_assert(m_served.size() == static_cast<std::size_t>(calls));
    }

    boost::asio::io_context m_io{1};
    http_server m_server{m_io.get_executor(), proxied_upstream::place(30040),
                         http_limits{}, &kept_calls::answer};
    silencing_proxy m_proxy{m_io.get_executor(), proxied_upstream::place(30041),
                            proxied_upstream::place(30040)};
    http_client m_client{m_io.get_executor(), {}};
    std::vector<bool> m_served;
};

} // namespace

// Guards against hosts that wait for ever on connections which have fallen silent while
// new ones work.
TestSuite(silent_connection, .timeout = 60);

Test(silent_connection, a_configuration_is_in_force_in_time_after_the_store_fell_silent)
{
    int port = 29800;
    for (const int hosts : {1, 3})
    {
        proxied_store story{static_cast<std::uint16_t>(port), hosts};
        port += 40;
        cr_expect(story.m_proxy->connection_count() > 0);
        cr_expect(not story.all_have_added_route());
        story.m_proxy->silence();
        story.m_cluster.run_for(300ms);
        const auto written = std::chrono::steady_clock::now();
        story.m_cluster.set_config(sample_routes() + ',' + added_route, 2);
        while (!story.all_have_added_route() &&
               std::chrono::steady_clock::now() - written < 2 * apply_time)
        {
            story.m_cluster.run_for(10ms);
        }
        const auto took = std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - written);
        cr_expect(took < apply_time, "%d hosts: %d ms", hosts,
                  static_cast<int>(took.count()));
    }
}

// Guards against results that fill the memory of an upstream until they expire, because
// their release went to a kept connection that is silent.
Test(silent_connection, results_are_released_in_time_after_an_upstream_fell_silent)
{
    constexpr milliseconds release_time{1500};
    proxied_upstream story{29880};
    for (int at = 0; at < 3; ++at)
    {
        EXPECT_EQUAL(story.send(), 200U);
    }
    story.m_cluster.run_for(200ms);
    const int released = story.m_upstream.m_released;
    EXPECT_EQUAL(released, 9);
    story.m_proxy.silence();
    // New connections work.
    EXPECT_EQUAL(story.send(), 200U);
    story.m_cluster.run_for(release_time);
    EXPECT_EQUAL(story.m_upstream.m_released, released + 3);
}

// Guards against a client that tries one silent connection after the other.
Test(silent_connection, kept_connections_are_replaced_after_one_of_them_was_silent)
{
    kept_calls story;
    story.call_at_once(4);
    EXPECT_EQUAL(story.m_proxy.connection_count(), 4U);
    story.m_proxy.silence();
    story.call_at_once(1);
    cr_expect(not story.m_served.front());
    story.call_at_once(1);
    cr_expect(story.m_served.front());
}
