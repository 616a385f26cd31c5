#include "edge_cluster.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <chrono>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr int first_worker_port = 20;

/// First address of the clusters, on a loopback network that no other test program uses:
/// several programs run at the same time.
constexpr asio::ip::address_v4::uint_type first_address = 0x7f140001;

asio::ip::address_v4 platform_address()
{
    return asio::ip::address_v4{first_address};
}

} // namespace

edge_cluster::edge_cluster(std::uint16_t first_port, int hosts)
    : m_client{m_io.get_executor(), {}}
    , m_store_port{first_port}
    , m_first_port{first_port}
{
    m_hosts.resize(static_cast<std::size_t>(hosts));
}

edge_cluster::~edge_cluster() = default;

tcp::endpoint edge_cluster::endpoint_of(int host, int port_offset) const
{
    return {asio::ip::address_v4{first_address + static_cast<std::uint32_t>(host)},
            static_cast<std::uint16_t>(m_first_port + 1 + port_offset)};
}

tcp::endpoint edge_cluster::caller_endpoint(int host) const
{
    return endpoint_of(host, 0);
}

tcp::endpoint edge_cluster::readiness_endpoint(int host) const
{
    return endpoint_of(host, 1);
}

tcp::endpoint edge_cluster::directory_endpoint(int host) const
{
    return endpoint_of(host, 2);
}

edge::edge_settings edge_cluster::settings_of(int host) const
{
    const auto endpoint = [this, host](int port_offset)
    {
        const tcp::endpoint place = endpoint_of(host, port_offset);
        return ip_endpoint{place.address(), place.port()};
    };
    edge::edge_settings settings;
    settings.m_node.m_value = "host-" + std::to_string(host);
    settings.m_data_centre.m_value = "z1";
    settings.m_region.m_value = "r1";
    settings.m_caller_endpoint = endpoint(0);
    settings.m_admin_endpoint = endpoint(1);
    settings.m_metrics_endpoint = endpoint(4);
    settings.m_directory_endpoint = endpoint(2);
    settings.m_peer_endpoint = endpoint(3);
    settings.m_tunnel_endpoint = endpoint(5);
    settings.m_store_endpoint = {platform_address(), m_store_port};
    settings.m_max_open_files = 300;
    settings.m_retry_limits = m_retry_limits;
    return settings;
}

worker_standin& edge_cluster::add_worker(const std::string& id, const std::string& pool,
                                         const std::string& version)
{
    auto worker = std::make_unique<worker_standin>();
    worker->m_id = id;
    worker->m_version = version;
    worker->m_service = pool;
    worker->m_address = platform_address().to_string();
    worker->m_port = static_cast<std::uint16_t>(m_first_port + first_worker_port +
                                                static_cast<int>(m_workers.size()));
    worker->start(m_io.get_executor());
    m_store.put("servers", id, registry_entry(*worker, worker->m_port));
    m_workers.push_back(std::move(worker));
    return *m_workers.back();
}

void edge_cluster::set_worker_state(const worker_standin& worker,
                                    const std::string& state)
{
    m_store.put("servers", worker.m_id, registry_entry(worker, worker.m_port, state));
}

void edge_cluster::set_config(const std::string& routes, std::uint64_t version)
{
    m_store.put("op", "config", sample_configuration(routes, version));
}

void edge_cluster::start_store()
{
    m_store_server = std::make_unique<http_server>(
        m_io.get_executor(), tcp::endpoint{platform_address(), m_first_port},
        http_limits{},
        [this](http_exchange& exchange)
        {
            return m_store.serve(exchange);
        });
    m_store_server->start();
}

void edge_cluster::start()
{
    start_store();
    for (int host = 0; host < static_cast<int>(m_hosts.size()); ++host)
    {
        start_host(host);
    }
    run_for(milliseconds{1500});
}

void edge_cluster::start_host(int host)
{
    auto settings = settings_of(host);
    for (int other = 0; other < static_cast<int>(m_hosts.size()); ++other)
    {
        settings.m_seeds.push_back(settings_of(other).m_peer_endpoint);
    }
    auto& daemon = m_hosts[static_cast<std::size_t>(host)];
    daemon =
        std::make_unique<edge::edge_daemon>(m_io, settings, incarnation{++m_incarnation},
                                            [this, host](const ip_endpoint& registered)
                                            {
                                                return address_from(host, registered);
                                            });
    daemon->start();
}

ip_endpoint edge_cluster::address_from(int host, const ip_endpoint& registered) const
{
    const auto cut = m_cut_hosts.find(host);
    if (cut == m_cut_hosts.end())
    {
        return registered;
    }
    for (const auto& worker : m_workers)
    {
        if (worker->m_port == registered.m_port &&
            cut->second.m_spared.contains(worker->m_id))
        {
            return registered;
        }
    }
    const tcp::endpoint& instead = cut->second.m_instead;
    return {instead.address(), instead.port()};
}

void edge_cluster::cut_from_workers(int host, const tcp::endpoint& instead,
                                    const std::set<std::string>& spared)
{
    m_cut_hosts[host] = {instead, spared};
}

void edge_cluster::heal(int host)
{
    m_cut_hosts.erase(host);
}

tcp::endpoint edge_cluster::closed_endpoint() const
{
    constexpr std::uint16_t unused_port = 19;
    return {platform_address(), static_cast<std::uint16_t>(m_first_port + unused_port)};
}

void edge_cluster::begin_stop(int host, std::function<void()> done)
{
    m_hosts[static_cast<std::size_t>(host)]->begin_stop(std::move(done));
}

void edge_cluster::run_for(milliseconds length)
{
    constexpr milliseconds usual_lateness{100};
    const auto due = std::chrono::steady_clock::now() + length;
    m_io.restart();
    m_io.run_for(length);
    const auto lateness =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - due);
    if (lateness > usual_lateness)
    {
        // Tells failures of hosts from those of a machine that did not run the test.
        log_event{"test_loop_late"}.add("late_ms", lateness.count());
    }
}

std::shared_ptr<std::optional<http_response>>
edge_cluster::start_request_to(tcp::endpoint endpoint, http_request request,
                               milliseconds timeout)
{
    auto response = std::make_shared<std::optional<http_response>>();
    const auto send =
        [](http_client& client, tcp::endpoint place, http_request message,
           milliseconds call_timeout,
           std::shared_ptr<std::optional<http_response>> target) -> asio::awaitable<void>
    {
        http_call_options options;
        options.m_timeout = call_timeout;
        options.m_fresh_connection = true;
        const auto result = co_await client.send(place, std::move(message), options);
        http_response none;
        none.m_status = 0;
        *target = is_ok(result) ? value_of(result) : none;
    };
    asio::co_spawn(m_io, send(m_client, endpoint, std::move(request), timeout, response),
                   asio::detached);
    return response;
}

std::shared_ptr<std::optional<http_response>>
edge_cluster::start_request(int host, http_request request, milliseconds timeout)
{
    return start_request_to(caller_endpoint(host), std::move(request), timeout);
}

http_response edge_cluster::send_request(int host, http_request request,
                                         milliseconds timeout)
{
    return send_and_wait(caller_endpoint(host), std::move(request), timeout);
}

http_response edge_cluster::get_admin(int host, const std::string& target)
{
    http_request request;
    request.m_target = target;
    return send_and_wait(readiness_endpoint(host), std::move(request),
                         milliseconds{1000});
}

http_response edge_cluster::send_and_wait(tcp::endpoint endpoint, http_request request,
                                          milliseconds timeout)
{
    const auto response = start_request_to(endpoint, std::move(request), timeout);
    const auto last = std::chrono::steady_clock::now() + timeout + milliseconds{200};
    while (!*response && std::chrono::steady_clock::now() < last)
    {
        run_for(milliseconds{10});
    }
    return response->value_or(http_response{0, {}, {}});
}

} // namespace geraniumdoor::test
