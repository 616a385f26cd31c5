#pragma once

#include <geraniumdoor/edge/edge_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace geraniumdoor::edge
{

/// A host between callers and upstreams on the users' platform.
class edge_daemon
{
public:
    edge_daemon(boost::asio::io_context& io, edge_settings settings, incarnation started);
    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    /// Binds the sockets and starts to serve. Throws boost::system::system_error if an
    /// address cannot be bound.
    void start();

    /// Takes over settings that may change while the process runs; addresses may not.
    void apply(const edge_settings& settings);

    /// Leaves the address answers, finishes what is in progress, and calls back.
    void begin_stop(std::function<void()> on_stopped);

private:
    struct parts;

    std::unique_ptr<parts> m_parts;
};

} // namespace geraniumdoor::edge
