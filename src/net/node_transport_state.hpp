#pragma once

#include "frame_io.hpp"

#include <geraniumdoor/net/node_transport.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace geraniumdoor
{

/// Connection that this node opened.
struct outgoing_link
{
    outgoing_link(const boost::asio::any_io_executor& executor, node_id peer)
        : m_peer{std::move(peer)}, m_socket{executor}, m_wake{executor}, m_guard{executor}
    {
    }

    void close()
    {
        m_closed = true;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_wake.cancel();
        m_guard.cancel();
    }

    node_id m_peer;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::ip::tcp::socket m_socket;
    /// Ends the wait for messages.
    boost::asio::steady_timer m_wake;
    /// Closes the socket when connecting takes too long.
    boost::asio::steady_timer m_guard;
    incarnation m_peer_incarnation;
    /// Hello messages were exchanged.
    bool m_open = false;
    bool m_closed = false;
    /// Frames of which no byte has left.
    std::deque<std::string> m_queue;
    std::size_t m_queued_bytes = 0;
    /// Frames were taken from the queue and are being written.
    bool m_is_writing = false;
};

/// Connection that a peer opened.
struct incoming_link
{
    incoming_link(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<memory_pool> memory)
        : m_socket{std::move(socket)}
        , m_guard{m_socket.get_executor()}
        , m_memory{std::move(memory), [this]
                   {
                       close();
                   }}
    {
        m_memory.enter(holder_phase::busy);
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_guard.cancel();
    }

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_guard;
    /// What the connection holds. It is closed for others in the middle of a message
    /// that does not go on.
    memory_lease m_memory;
    /// Empty until its hello has come.
    node_id m_peer;
    incarnation m_peer_incarnation;
};

struct node_transport::state : std::enable_shared_from_this<node_transport::state>
{
    state(boost::asio::any_io_executor executor, node_transport_settings settings,
          node_transport_limits limits, node_transport_callbacks callbacks,
          std::shared_ptr<memory_pool> memory);

    void bind();
    void start();
    void send(const node_id& peer, node_message message);
    void send_datagram(const node_address& to, const datagram& message);
    void close_outgoing(const node_id& peer);
    void disconnect(const node_id& peer);
    void close();

    /// Runs a coroutine. The function object is kept until the coroutine has ended, and
    /// with it the state that it holds.
    template<class Function>
    void spawn(Function start_coroutine)
    {
        boost::asio::co_spawn(m_executor, std::move(start_coroutine),
                              boost::asio::detached);
    }

    boost::asio::awaitable<void> accept_all();
    boost::asio::awaitable<void> receive_datagrams();

    boost::asio::awaitable<void> run_incoming(std::shared_ptr<incoming_link> link);
    boost::asio::awaitable<bool> greet_incoming(std::shared_ptr<incoming_link> link);
    boost::asio::awaitable<frame_end> receive_all(std::shared_ptr<incoming_link> link);

    std::shared_ptr<outgoing_link> find_or_open(const node_id& peer);
    boost::asio::awaitable<void> run_outgoing(std::shared_ptr<outgoing_link> link);
    boost::asio::awaitable<bool> connect(std::shared_ptr<outgoing_link> link);
    boost::asio::awaitable<void> send_all(std::shared_ptr<outgoing_link> link);
    /// Ends the link when the peer closes the connection.
    boost::asio::awaitable<void> watch_outgoing(std::shared_ptr<outgoing_link> link);
    void finish_outgoing(const std::shared_ptr<outgoing_link>& link);
    void report_not_sent(const node_id& peer, node_message message);
    void report_lost(const node_id& peer, incarnation peer_incarnation);

    std::string own_hello() const;

    boost::asio::any_io_executor m_executor;
    node_transport_settings m_settings;
    node_transport_limits m_limits;
    node_transport_callbacks m_callbacks;
    std::shared_ptr<memory_pool> m_memory;
    std::uint64_t m_bytes_sent = 0;
    bool m_closed = false;
    /// The owner of the callbacks may be gone as well.
    bool m_destroyed = false;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::socket m_udp;
    boost::asio::steady_timer m_accept_pause;
    std::unordered_map<node_id, boost::asio::ip::tcp::endpoint> m_peers;
    std::unordered_map<node_id, std::shared_ptr<outgoing_link>> m_outgoing;
    std::set<std::shared_ptr<incoming_link>> m_incoming;
    /// One byte more than the limit, so that a larger datagram is not taken for a whole
    /// one.
    std::array<char, max_datagram_bytes + 1> m_datagram{};
};

} // namespace geraniumdoor
