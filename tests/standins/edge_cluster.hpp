#pragma once

#include <geraniumdoor/edge/edge_daemon.hpp>
#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <standins/edge_standins.hpp>

namespace geraniumdoor::test
{

/// Edge hosts, a store and workers of one test, in one event loop. Each test uses its own
/// range of loopback ports.
class edge_cluster
{
public:
    /// @param first_port first of the 40 ports of the test
    /// @param hosts number of hosts
    edge_cluster(std::uint16_t first_port, int hosts);
    ~edge_cluster();

    /// @param version version of the worker's software
    worker_standin& add_worker(const std::string& id, const std::string& pool,
                               const std::string& version = "v1");
    /// Writes the worker's registry entry again.
    void set_worker_state(const worker_standin& worker, const std::string& state);
    void set_config(const std::string& routes, std::uint64_t version);

    /// Starts the store and all hosts, and waits until the hosts have their data.
    void start();

    /// Starts only the store. Start hosts with start_host.
    void start_store();
    void start_host(int host);

    /// Runs the event loop for a time.
    void run_for(milliseconds length);

    /// Sends a request to a host and runs the event loop until it ends. The response has
    /// status 0 if no complete response arrived.
    http_response send_request(int host, http_request request, milliseconds timeout);

    /// Sends a request without waiting. The response is stored when it arrives; it has
    /// status 0 if it is not complete.
    std::shared_ptr<std::optional<http_response>>
    start_request(int host, http_request request, milliseconds timeout);

    /// Sends a GET to the readiness address of a host, which also serves operators.
    http_response get_admin(int host, const std::string& target);

    void begin_stop(int host, std::function<void()> done);

    /// Partitions a host from workers: its new connections to them go to another address,
    /// which refuses them or does not answer.
    /// @param spared ids of the workers that the host still reaches
    void cut_from_workers(int host, const boost::asio::ip::tcp::endpoint& instead,
                          const std::set<std::string>& spared = {});
    void heal(int host);

    /// An address at which nobody listens.
    boost::asio::ip::tcp::endpoint closed_endpoint() const;

    boost::asio::ip::tcp::endpoint caller_endpoint(int host) const;
    boost::asio::ip::tcp::endpoint readiness_endpoint(int host) const;
    boost::asio::ip::tcp::endpoint directory_endpoint(int host) const;

    /// Declared first, so that it outlives all sockets.
    boost::asio::io_context m_io{1};
    store_standin m_store;
    std::vector<std::unique_ptr<worker_standin>> m_workers;
    http_client m_client;
    /// Port at which hosts that start afterwards reach the store.
    std::uint16_t m_store_port;
    /// Limits of retries, for hosts that start afterwards.
    serving::retry_limits m_retry_limits;

private:
    /// All hosts use the same ports, each on its own loopback address, as on the
    /// platform.
    boost::asio::ip::tcp::endpoint endpoint_of(int host, int port_offset) const;
    edge::edge_settings settings_of(int host) const;
    std::shared_ptr<std::optional<http_response>>
    start_request_to(boost::asio::ip::tcp::endpoint endpoint, http_request request,
                     milliseconds timeout);
    http_response send_and_wait(boost::asio::ip::tcp::endpoint endpoint,
                                http_request request, milliseconds timeout);

    std::uint16_t m_first_port;
    struct cut_host
    {
        boost::asio::ip::tcp::endpoint m_instead;
        std::set<std::string> m_spared;
    };

    /// Returns the address at which a host reaches a worker.
    ip_endpoint address_from(int host, const ip_endpoint& registered) const;

    /// Hosts that are partitioned from workers, and where their connections go.
    std::map<int, cut_host> m_cut_hosts;
    std::unique_ptr<http_server> m_store_server;
    std::vector<std::unique_ptr<edge::edge_daemon>> m_hosts;
    std::uint64_t m_incarnation = 1;
};

} // namespace geraniumdoor::test
