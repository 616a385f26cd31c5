#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/edge/edge_daemon.hpp>
#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>

namespace geraniumdoor::edge
{

/// Opens the connections to upstreams: directly, or through a host that reaches them
/// while this one does not (docs/design/tunnels.md).
class upstream_dialer
{
public:
    /// @param on_change called when other hosts should learn that this host has lost or
    /// regained a pool
    upstream_dialer(edge_state& state, address_translation translate,
                    std::function<void()> on_change);

    /// Starts the checks whether pools that this host is cut off from are reached again.
    void start();

    /// Connects a call to an upstream. The entry has to outlive the operation.
    /// @return the host through which it is connected; empty for a direct connection
    boost::asio::awaitable<result<node_id, http_error>>
    connect(http_call& call, const serving::upstream_entry& entry, milliseconds limit);

    /// Sends a request to an upstream and returns the whole answer. The entry has to
    /// outlive the operation.
    boost::asio::awaitable<result<http_response, http_error>>
    send(http_client& client, const serving::upstream_entry& entry, http_request request,
         http_call_options options);

    /// Whether the upstream accepts a connection, directly or through another host.
    /// @param limit time for each of the two
    boost::asio::awaitable<bool> check(serving::upstream_entry entry, milliseconds limit);

    /// Address at which this host reaches the upstream with a registered address; port
    /// zero if there is none. For tunnels of other hosts.
    boost::asio::ip::tcp::endpoint
    target_of(const boost::asio::ip::tcp::endpoint& registered) const;

    /// Records that the upstream with a registered address has accepted a connection for
    /// another host, or has not.
    void record_target(const boost::asio::ip::tcp::endpoint& registered, bool is_reached);

private:
    boost::asio::ip::tcp::endpoint address_of(const ip_endpoint& registered) const;
    bool uses_detour(const serving::upstream_entry& entry) const;
    boost::asio::awaitable<result<done, http_error>>
    connect_directly(http_call& call, const serving::upstream_entry& entry,
                     milliseconds limit);
    /// Connects through the next host; empty if there is none.
    boost::asio::awaitable<std::optional<result<node_id, http_error>>>
    connect_through_host(http_call& call, const serving::upstream_entry& entry,
                         milliseconds limit);
    boost::asio::awaitable<result<http_response, http_error>>
    send_directly(http_client& client, const serving::upstream_entry& entry,
                  http_request request, const http_call_options& options);
    const serving::upstream*
    upstream_at(const boost::asio::ip::tcp::endpoint& registered) const;
    void record_connect(const serving::upstream_entry& entry, bool is_reached);
    void start_probes();
    boost::asio::awaitable<void> probe(serving::upstream_entry entry);
    /// Returns the host to connect through, and counts the connection.
    std::optional<node_id> next_tunnel_host(const serving::upstream_entry& entry);
    boost::asio::ip::tcp::endpoint tunnel_server_of(const node_id& host) const;
    void record_tunnel(const serving::upstream_entry& entry, const node_id& host,
                       bool is_open);

    edge_state& m_state;
    address_translation m_translate;
    std::function<void()> m_on_change;
};

} // namespace geraniumdoor::edge
