#pragma once

#include <geraniumdoor/edge/edge_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace geraniumdoor::edge
{

/// Returns the address at which a host reaches an upstream, from that of its registry
/// entry. Networks that translate addresses differ by host.
using address_translation = std::function<ip_endpoint(const ip_endpoint& registered)>;

/// Edge host: proxies requests from callers to the upstreams of the users' platform.
class edge_daemon
{
public:
    /// @param translate empty if upstreams are reached at their registered addresses
    edge_daemon(boost::asio::io_context& io, edge_settings settings, incarnation started,
                address_translation translate = {});
    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    /// Binds the sockets and starts serving. Throws boost::system::system_error if an
    /// address cannot be bound.
    void start();

    /// Applies new settings. Only those that may change while the process runs take
    /// effect; addresses do not.
    void apply(const edge_settings& settings);

    /// Starts a graceful shutdown: removes this host from address answers, completes the
    /// requests in progress, then calls on_stopped.
    void begin_stop(std::function<void()> on_stopped);

private:
    struct parts;

    std::unique_ptr<parts> m_parts;
};

} // namespace geraniumdoor::edge
