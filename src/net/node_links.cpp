#include "node_transport_state.hpp"
#include "socket_support.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Frames that wait are written together up to this size.
constexpr std::size_t batch_bytes = std::size_t{64} * 1024;

/// Pause after a failed accept, so that a lack of file handles does not spin.
constexpr milliseconds accept_pause{50};

/// Closes the link unless the timer is cancelled before.
template<class Link>
void arm_guard(const std::shared_ptr<Link>& link, milliseconds limit)
{
    link->m_guard.expires_after(limit);
    link->m_guard.async_wait(
        [link](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
            {
                link->close();
            }
        });
}

const hello* find_hello(const result<node_message, frame_end>& received)
{
    if (!is_ok(received))
    {
        return nullptr;
    }
    const hello* found = std::get_if<hello>(&value_of(received));
    return found != nullptr && found->m_protocol == codec_version ? found : nullptr;
}

/// Moves frames to one buffer. From here on they count as handed to the connection.
std::string take_batch(outgoing_link& link)
{
    std::string batch = std::move(link.m_queue.front());
    link.m_queue.pop_front();
    while (!link.m_queue.empty() &&
           batch.size() + link.m_queue.front().size() <= batch_bytes)
    {
        batch += link.m_queue.front();
        link.m_queue.pop_front();
    }
    link.m_queued_bytes -= batch.size();
    return batch;
}

} // namespace

asio::awaitable<void> node_transport::state::accept_all()
{
    while (!m_closed)
    {
        boost::system::error_code failure;
        tcp::socket socket = co_await m_acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (m_closed)
        {
            co_return;
        }
        if (failure)
        {
            m_accept_pause.expires_after(accept_pause);
            co_await m_accept_pause.async_wait(
                asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        if (m_incoming.size() >= m_limits.m_incoming_connections)
        {
            log_event{"peer_connection_refused"}.add("connections", m_incoming.size());
            continue;
        }
        auto link = std::make_shared<incoming_link>(std::move(socket), m_memory);
        if (!link->m_memory.resize(link_bytes))
        {
            continue;
        }
        m_incoming.insert(link);
        spawn(
            [self = shared_from_this(), link]
            {
                return self->run_incoming(link);
            });
    }
}

asio::awaitable<void>
node_transport::state::run_incoming(std::shared_ptr<incoming_link> link)
{
    const bool greeted = co_await greet_incoming(link);
    auto end = frame_end::closed;
    if (greeted)
    {
        end = co_await receive_all(link);
    }
    link->close();
    m_incoming.erase(link);
    if (greeted && end != frame_end::goodbye)
    {
        report_lost(link->m_peer, link->m_peer_incarnation);
    }
}

asio::awaitable<bool>
node_transport::state::greet_incoming(std::shared_ptr<incoming_link> link)
{
    set_peer_options(link->m_socket,
                     static_cast<int>(m_limits.m_unacknowledged_timeout.count()));
    arm_guard(link, m_limits.m_connect_timeout);
    const auto received =
        co_await read_message(link->m_socket, link->m_memory, max_hello_bytes);
    const hello* greeting = find_hello(received);
    if (greeting == nullptr || greeting->m_node.m_value.empty())
    {
        co_return false;
    }
    const std::string answer = own_hello();
    const bool answered = co_await write_bytes(link->m_socket, answer);
    link->m_guard.cancel();
    if (!answered)
    {
        co_return false;
    }
    link->m_peer = greeting->m_node;
    link->m_peer_incarnation = greeting->m_incarnation;
    co_return true;
}

asio::awaitable<frame_end>
node_transport::state::receive_all(std::shared_ptr<incoming_link> link)
{
    while (!m_closed)
    {
        auto received = co_await read_message(link->m_socket, link->m_memory);
        if (!is_ok(received))
        {
            co_return error_of(received);
        }
        if (m_closed || std::holds_alternative<hello>(value_of(received)))
        {
            co_return frame_end::malformed;
        }
        try
        {
            m_callbacks.m_on_message(link->m_peer, link->m_peer_incarnation,
                                     value_of(std::move(received)));
        }
        catch (const std::exception& error)
        {
            // A connection that nobody reads would look sound to the peer.
            log_event{"peer_message_failed"}
                .add("node", link->m_peer)
                .add("reason", error.what());
            co_return frame_end::malformed;
        }
    }
    co_return frame_end::closed;
}

std::shared_ptr<outgoing_link> node_transport::state::find_or_open(const node_id& peer)
{
    const auto open = m_outgoing.find(peer);
    if (open != m_outgoing.end() && !open->second->m_closed)
    {
        return open->second;
    }
    const auto address = m_peers.find(peer);
    if (address == m_peers.end())
    {
        return nullptr;
    }
    auto link = std::make_shared<outgoing_link>(m_executor, peer);
    link->m_endpoint = address->second;
    m_outgoing[peer] = link;
    spawn(
        [self = shared_from_this(), link]
        {
            return self->run_outgoing(link);
        });
    return link;
}

asio::awaitable<void>
node_transport::state::run_outgoing(std::shared_ptr<outgoing_link> link)
{
    arm_guard(link, m_limits.m_connect_timeout);
    const bool connected = co_await connect(link);
    link->m_guard.cancel();
    if (connected && !link->m_closed)
    {
        link->m_open = true;
        spawn(
            [self = shared_from_this(), link]
            {
                return self->watch_outgoing(link);
            });
        co_await send_all(link);
    }
    finish_outgoing(link);
}

asio::awaitable<bool> node_transport::state::connect(std::shared_ptr<outgoing_link> link)
{
    boost::system::error_code failure = open_for(link->m_socket, link->m_endpoint);
    if (failure)
    {
        log_event{"peer_not_connected"}
            .add("node", link->m_peer)
            .add("reason", failure.message());
        co_return false;
    }
    co_await link->m_socket.async_connect(
        link->m_endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || link->m_closed)
    {
        co_return false;
    }
    set_peer_options(link->m_socket,
                     static_cast<int>(m_limits.m_unacknowledged_timeout.count()));
    const std::string greeting_frame = own_hello();
    const bool greeted = co_await write_bytes(link->m_socket, greeting_frame);
    if (!greeted)
    {
        co_return false;
    }
    memory_lease uncounted;
    const auto received =
        co_await read_message(link->m_socket, uncounted, max_hello_bytes);
    const hello* greeting = find_hello(received);
    if (greeting == nullptr || greeting->m_node != link->m_peer)
    {
        log_event{"peer_not_greeted"}
            .add("node", link->m_peer)
            .add("found", greeting == nullptr ? std::string{} : greeting->m_node.m_value);
        co_return false;
    }
    link->m_peer_incarnation = greeting->m_incarnation;
    co_return true;
}

asio::awaitable<void> node_transport::state::send_all(std::shared_ptr<outgoing_link> link)
{
    while (!link->m_closed)
    {
        if (!link->m_queue.empty())
        {
            const std::string batch = take_batch(*link);
            link->m_is_writing = true;
            const bool written = co_await write_bytes(link->m_socket, batch);
            link->m_is_writing = false;
            m_bytes_sent += batch.size();
            if (!written)
            {
                co_return;
            }
            continue;
        }
        boost::system::error_code woken;
        link->m_wake.expires_after(m_limits.m_idle_timeout);
        co_await link->m_wake.async_wait(
            asio::redirect_error(asio::use_awaitable, woken));
        if (!woken && !link->m_closed && link->m_queue.empty())
        {
            // No message may join a connection that has said goodbye.
            link->m_open = false;
            m_outgoing.erase(link->m_peer);
            const std::string goodbye = goodbye_frame();
            co_await write_bytes(link->m_socket, goodbye);
            co_return;
        }
    }
}

asio::awaitable<void>
node_transport::state::watch_outgoing(std::shared_ptr<outgoing_link> link)
{
    // The peer sends nothing after its hello, so any end of this read ends the link.
    std::array<char, 1> byte{};
    boost::system::error_code failure;
    co_await link->m_socket.async_read_some(
        asio::buffer(byte), asio::redirect_error(asio::use_awaitable, failure));
    link->close();
}

void node_transport::state::finish_outgoing(const std::shared_ptr<outgoing_link>& link)
{
    link->close();
    const auto at = m_outgoing.find(link->m_peer);
    if (at != m_outgoing.end() && at->second == link)
    {
        m_outgoing.erase(at);
    }
    // Queued frames were encoded here, so they decode.
    for (const std::string& frame : link->m_queue)
    {
        const std::string_view body = std::string_view{frame}.substr(frame_header_bytes);
        report_not_sent(link->m_peer, value_of(decode_frame_body(body)));
    }
    link->m_queue.clear();
    link->m_queued_bytes = 0;
    if (link->m_open)
    {
        report_lost(link->m_peer, link->m_peer_incarnation);
    }
}

} // namespace geraniumdoor
