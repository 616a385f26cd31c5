#pragma once

#include <geraniumdoor/edge/edge_daemon.hpp>
#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <standins/edge_standins.hpp>

namespace geraniumdoor::test
{

/// Hosts, store and workers of one test on loopback ports of its own.
class edge_world
{
public:
    /// @param base first of 40 ports
    /// @param hosts number of hosts
    edge_world(std::uint16_t base, int hosts);
    ~edge_world();

    worker_standin& add_worker(const std::string& id, const std::string& service);
    void set_config(const std::string& routes, std::uint64_t version);

    void start();

    /// Starts the store alone; hosts follow with start_host.
    void start_store();
    void start_host(int host);

    /// Runs the world until the time has passed.
    void run_for(milliseconds length);

    /// Sends a request to a host and runs the world until it ends. The answer has status
    /// 0 when the connection ended without a whole one.
    http_response ask(int host, http_request request, milliseconds limit);

    /// Starts a request; the answer is stored when it comes.
    std::shared_ptr<std::optional<http_response>>
    start_request(int host, http_request request, milliseconds limit);

    /// Asks the readiness address of a host.
    http_response ask_operator(int host, const std::string& target);

    void begin_stop(int host, std::function<void()> done);

    boost::asio::ip::tcp::endpoint callers_of(int host) const;
    boost::asio::ip::tcp::endpoint readiness_of(int host) const;
    boost::asio::ip::tcp::endpoint directory_of(int host) const;

    /// Outlives all sockets.
    boost::asio::io_context m_io{1};
    store_standin m_store;
    std::vector<std::unique_ptr<worker_standin>> m_workers;
    http_client m_client;

private:
    /// Hosts have the same ports and loopback addresses of their own, as on the platform.
    boost::asio::ip::tcp::endpoint endpoint_of(int host, int part) const;
    edge::edge_settings settings_of(int host) const;
    std::shared_ptr<std::optional<http_response>>
    start_request_to(boost::asio::ip::tcp::endpoint endpoint, http_request request,
                     milliseconds limit);
    http_response ask_at(boost::asio::ip::tcp::endpoint endpoint, http_request request,
                         milliseconds limit);

    std::uint16_t m_base;
    std::unique_ptr<http_server> m_store_server;
    std::vector<std::unique_ptr<edge::edge_daemon>> m_hosts;
    std::uint64_t m_incarnation = 1;
};

} // namespace geraniumdoor::test
