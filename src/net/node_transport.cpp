#include "node_transport_state.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

node_transport::state::state(asio::any_io_executor executor,
                             node_transport_settings settings,
                             node_transport_limits limits,
                             node_transport_callbacks callbacks,
                             std::shared_ptr<memory_pool> memory)
    : m_executor{std::move(executor)}
    , m_settings{std::move(settings)}
    , m_limits{limits}
    , m_callbacks{std::move(callbacks)}
    , m_memory{std::move(memory)}
    , m_acceptor{m_executor}
    , m_udp{m_executor}
    , m_accept_pause{m_executor}
{
}

void node_transport::state::bind()
{
    const auto ip = asio::ip::make_address(m_settings.m_listen.m_ip);
    const tcp::endpoint wanted{ip, m_settings.m_listen.m_port};
    m_acceptor.open(wanted.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address{true});
    m_acceptor.bind(wanted);
    m_acceptor.listen();
    const udp::endpoint same_port{ip, m_acceptor.local_endpoint().port()};
    m_udp.open(same_port.protocol());
    m_udp.bind(same_port);
    m_udp.non_blocking(true);
}

void node_transport::state::start()
{
    // Another process may hold the UDP port of the TCP port that the kernel chose.
    const int attempts = m_settings.m_listen.m_port == 0 ? 20 : 1;
    for (int attempt = 1;; ++attempt)
    {
        try
        {
            bind();
            break;
        }
        catch (const boost::system::system_error&)
        {
            boost::system::error_code ignored;
            m_acceptor.close(ignored);
            m_udp.close(ignored);
            if (attempt >= attempts)
            {
                throw;
            }
        }
    }
    spawn(
        [self = shared_from_this()]
        {
            return self->accept_all();
        });
    spawn(
        [self = shared_from_this()]
        {
            return self->receive_datagrams();
        });
}

asio::awaitable<void> node_transport::state::receive_datagrams()
{
    while (!m_closed)
    {
        udp::endpoint from;
        boost::system::error_code failure;
        const std::size_t size = co_await m_udp.async_receive_from(
            asio::buffer(m_datagram), from,
            asio::redirect_error(asio::use_awaitable, failure));
        if (m_closed || failure == asio::error::operation_aborted)
        {
            co_return;
        }
        if (failure)
        {
            // An ICMP error for an earlier datagram; the socket stays usable.
            continue;
        }
        auto message = decode_datagram(std::string_view{m_datagram.data(), size});
        if (!is_ok(message))
        {
            log_event{"datagram_rejected"}
                .add("from", from.address().to_string())
                .add("reason", to_text(error_of(message).m_fault));
            continue;
        }
        const node_address address{from.address().to_string(), from.port()};
        m_callbacks.m_on_datagram(value_of(std::move(message)), address);
    }
}

void node_transport::state::send_datagram(const node_address& to, const datagram& message)
{
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(to.m_ip, failure);
    if (failure || m_closed)
    {
        return;
    }
    const auto bytes = encode_datagram(message);
    if (!is_ok(bytes))
    {
        log_event{"datagram_not_sent"}.add("reason", error_of(bytes).m_detail);
        return;
    }
    const udp::endpoint endpoint{ip, to.m_port};
    m_udp.send_to(asio::buffer(value_of(bytes)), endpoint, 0, failure);
    m_bytes_sent += value_of(bytes).size();
}

void node_transport::state::send(const node_id& peer, node_message message)
{
    if (m_closed)
    {
        report_not_sent(peer, std::move(message));
        return;
    }
    if (peer == m_settings.m_self)
    {
        asio::post(m_executor,
                   [self = shared_from_this(), moved = std::move(message)]() mutable
                   {
                       if (!self->m_closed)
                       {
                           self->m_callbacks.m_on_message(self->m_settings.m_self,
                                                          self->m_settings.m_incarnation,
                                                          std::move(moved));
                       }
                   });
        return;
    }
    auto frame = encode_frame(message);
    const auto link = is_ok(frame) ? find_or_open(peer) : nullptr;
    const std::size_t size = is_ok(frame) ? value_of(frame).size() : 0;
    if (!link || link->m_queued_bytes + size > m_limits.m_queue_bytes)
    {
        report_not_sent(peer, std::move(message));
        return;
    }
    link->m_queued_bytes += size;
    link->m_queue.push_back(value_of(std::move(frame)));
    link->m_wake.cancel();
}

void node_transport::state::report_not_sent(const node_id& peer, node_message message)
{
    asio::post(m_executor,
               [self = shared_from_this(), peer, moved = std::move(message)]() mutable
               {
                   if (!self->m_destroyed)
                   {
                       self->m_callbacks.m_on_not_sent(peer, std::move(moved));
                   }
               });
}

void node_transport::state::report_lost(const node_id& peer, incarnation peer_incarnation)
{
    log_event{"peer_connection_lost"}
        .add("node", peer)
        .add("incarnation", peer_incarnation);
    asio::post(m_executor,
               [self = shared_from_this(), peer, peer_incarnation]
               {
                   if (!self->m_closed)
                   {
                       self->m_callbacks.m_on_lost(peer, peer_incarnation);
                   }
               });
}

std::string node_transport::state::own_hello() const
{
    const hello own{m_settings.m_self, m_settings.m_incarnation, codec_version};
    return value_of(encode_frame(own));
}

void node_transport::state::close_outgoing(const node_id& peer)
{
    const auto at = m_outgoing.find(peer);
    if (at != m_outgoing.end())
    {
        at->second->close();
        // A message sent after this call opens a new connection.
        m_outgoing.erase(at);
    }
}

void node_transport::state::disconnect(const node_id& peer)
{
    close_outgoing(peer);
    for (const auto& link : m_incoming)
    {
        if (link->m_peer == peer)
        {
            link->close();
        }
    }
}

void node_transport::state::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_udp.close(ignored);
    m_accept_pause.cancel();
    for (const auto& [peer, link] : m_outgoing)
    {
        link->close();
    }
    for (const auto& link : m_incoming)
    {
        link->close();
    }
}

node_transport::node_transport(asio::any_io_executor executor,
                               node_transport_settings settings,
                               node_transport_limits limits,
                               node_transport_callbacks callbacks,
                               std::shared_ptr<memory_pool> memory)
    : m_state{std::make_shared<state>(std::move(executor), std::move(settings), limits,
                                      std::move(callbacks), std::move(memory))}
{
}

node_transport::~node_transport()
{
    m_state->m_destroyed = true;
    close();
}

void node_transport::start()
{
    m_state->start();
}

std::uint16_t node_transport::port() const
{
    return m_state->m_acceptor.local_endpoint().port();
}

void node_transport::set_peer(const node_id& peer, const node_address& address)
{
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(address.m_ip, failure);
    if (failure)
    {
        log_event{"peer_address_rejected"}.add("node", peer).add("ip", address.m_ip);
        return;
    }
    const tcp::endpoint endpoint{ip, address.m_port};
    const auto [at, inserted] = m_state->m_peers.try_emplace(peer, endpoint);
    if (!inserted && at->second != endpoint)
    {
        at->second = endpoint;
        m_state->close_outgoing(peer);
    }
}

void node_transport::remove_peer(const node_id& peer)
{
    m_state->m_peers.erase(peer);
    m_state->disconnect(peer);
}

void node_transport::disconnect(const node_id& peer)
{
    m_state->disconnect(peer);
}

void node_transport::send(const node_id& peer, node_message message)
{
    m_state->send(peer, std::move(message));
}

void node_transport::send_datagram(const node_address& to, const datagram& message)
{
    m_state->send_datagram(to, message);
}

void node_transport::set_incarnation(incarnation own)
{
    m_state->m_settings.m_incarnation = own;
}

void node_transport::close()
{
    m_state->close();
}

std::uint64_t node_transport::bytes_sent() const
{
    return m_state->m_bytes_sent;
}

std::size_t node_transport::queued_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& [peer, link] : m_state->m_outgoing)
    {
        bytes += link->m_queued_bytes;
    }
    return bytes;
}

std::size_t node_transport::unsent_peer_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_state->m_outgoing.begin(), m_state->m_outgoing.end(),
                      [](const auto& entry)
                      {
                          const outgoing_link& link = *entry.second;
                          return !link.m_queue.empty() || link.m_is_writing;
                      }));
}

} // namespace geraniumdoor
