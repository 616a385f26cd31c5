#include "edge_cluster.hpp"
#include "silencing_proxy.hpp"

#include <string>

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
