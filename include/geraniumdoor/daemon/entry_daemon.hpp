#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/config/daemon_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace geraniumdoor
{

class entry_node;

/// One entry daemon inside a process. Runs on the thread of the io_context.
class entry_daemon
{
public:
    /// The incarnation must be higher than that of any earlier process of the same node.
    entry_daemon(boost::asio::io_context& io, daemon_settings settings,
                 incarnation started);

    /// Closes everything at once, without the steps of a planned stop.
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Binds all addresses and starts to serve. Throws boost::system::system_error if an
    /// address cannot be bound.
    void start();

    /// Starts the planned stop: withdraws the host from address answers, hands its
    /// upstreams over, finishes its work and closes. The callback runs at the end.
    void begin_stop(std::function<void()> on_stopped);

private:
    std::shared_ptr<entry_node> m_node;
};

} // namespace geraniumdoor
