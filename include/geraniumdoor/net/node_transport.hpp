#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>
#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace geraniumdoor
{

struct node_transport_settings
{
    node_id m_self;
    incarnation m_incarnation;
    /// Address for both TCP and UDP. Port zero takes any port that is free for both.
    node_address m_listen;
};

struct node_transport_limits
{
    /// Bytes that may wait for one peer.
    std::size_t m_queue_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t m_incoming_connections = 2000;
    /// Time to connect and to exchange hello messages.
    milliseconds m_connect_timeout{1000};
    /// Time after which an unused outgoing connection is closed.
    milliseconds m_idle_timeout{300'000};
    /// Time for which sent bytes may stay unacknowledged before the connection counts as
    /// broken. Detects a peer that has lost its network.
    milliseconds m_unacknowledged_timeout{6000};
};

/// Called on the executor's thread, never from within a call to the transport.
struct node_transport_callbacks
{
    std::function<void(const node_id& peer, incarnation peer_incarnation, node_message)>
        m_on_message;
    /// A connection with the peer, in either direction, broke. Messages that were handed
    /// to it may or may not have arrived. Not called for connections closed when idle.
    std::function<void(const node_id& peer, incarnation peer_incarnation)> m_on_lost;
    /// No byte of the message has left and none will.
    std::function<void(const node_id& peer, node_message)> m_on_not_sent;
    std::function<void(datagram, const node_address& from)> m_on_datagram;
};

/// Messages between nodes over TCP and datagrams over UDP. A node sends on the
/// connections that it opened, one for each peer, and receives on those it accepted.
/// Runs on the executor's thread.
class node_transport
{
public:
    /// @param memory what the messages that arrive may take; null for no limit
    node_transport(boost::asio::any_io_executor executor,
                   node_transport_settings settings, node_transport_limits limits,
                   node_transport_callbacks callbacks,
                   std::shared_ptr<memory_pool> memory = nullptr);
    ~node_transport();
    node_transport(const node_transport&) = delete;
    node_transport& operator=(const node_transport&) = delete;

    /// Binds and starts to receive. Throws boost::system::system_error if the address
    /// cannot be bound.
    void start();

    /// Port in use after start.
    std::uint16_t port() const;

    /// Sets where a node is reached. A connection to another address of it is closed.
    void set_peer(const node_id& peer, const node_address& address);

    /// Forgets the address of a node and closes its connections.
    void remove_peer(const node_id& peer);

    /// Closes all connections with a node, as when membership has found it dead.
    void disconnect(const node_id& peer);

    /// Hands the message to the connection with the peer, which is opened when there is
    /// none, or reports it through m_on_not_sent. A message to the own id is delivered
    /// through the executor.
    void send(const node_id& peer, node_message message);

    /// Sends the datagram once. It may be lost; one that does not fit is logged and
    /// dropped.
    void send_datagram(const node_address& to, const datagram& message);

    /// Changes the incarnation that new connections announce.
    void set_incarnation(incarnation own);

    /// Closes all sockets. Messages that wait are reported as not sent; no other callback
    /// follows.
    void close();

    /// Bytes handed to sockets for other nodes since the start, over TCP and UDP.
    std::uint64_t bytes_sent() const;

    /// Bytes that wait for connections.
    std::size_t queued_bytes() const;

    /// Number of peers with messages that were not handed to a socket completely.
    std::size_t unsent_peer_count() const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace geraniumdoor
