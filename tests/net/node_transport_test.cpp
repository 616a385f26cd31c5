#include "testing.hpp"

#include <geraniumdoor/net/node_transport.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <optional>

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

/// One node with a record of its callbacks.
struct test_node
{
    test_node(boost::asio::io_context& io, const std::string& id, std::uint64_t number,
              node_transport_limits limits = {})
    {
        node_transport_callbacks calls;
        calls.m_on_message =
            [this](const node_id& peer, incarnation, node_message message)
        {
            m_received.emplace_back(peer, std::move(message));
        };
        calls.m_on_lost = [this](const node_id& peer, incarnation)
        {
            m_lost.push_back(peer);
        };
        calls.m_on_not_sent = [this](const node_id&, node_message message)
        {
            m_not_sent.push_back(std::move(message));
        };
        calls.m_on_datagram = [this](datagram message, const node_address&)
        {
            m_datagram = std::move(message);
        };
        m_transport.emplace(io.get_executor(),
                            node_transport_settings{node_id{id}, incarnation{number},
                                                    node_address{"127.0.0.1", 0}},
                            limits, std::move(calls));
        m_transport->start();
    }

    node_address address() const
    {
        return node_address{"127.0.0.1", m_transport->port()};
    }

    std::optional<node_transport> m_transport;
    std::vector<std::pair<node_id, node_message>> m_received;
    std::vector<node_id> m_lost;
    std::vector<node_message> m_not_sent;
    std::optional<datagram> m_datagram;
};

/// Runs until the condition holds, for 5 s at most.
template<class Condition>
bool run_until(boost::asio::io_context& io, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (not condition() && std::chrono::steady_clock::now() < end)
    {
        io.run_for(5ms);
        io.restart();
    }
    return condition();
}

const node_id first{"n1"};
const node_id second{"n2"};

} // namespace

// Guards against messages that are lost without a report, that are reported as not sent
// although they left, and against false losses when an idle connection is closed.
TestSuite(node_transport);

Test(node_transport, messages_arrive_in_order_and_local_ones_without_a_socket)
{
    boost::asio::io_context io;
    test_node a{io, "n1", 1};
    test_node b{io, "n2", 2};
    a.m_transport->set_peer(second, b.address());
    constexpr std::uint64_t count = 500;
    for (std::uint64_t version = 0; version < count; ++version)
    {
        a.m_transport->send(second, config_pull{config_version{version}});
    }
    a.m_transport->send(first, config_pull{config_version{9}});
    cr_expect(a.m_received.empty(), "delivery does not happen within send");
    cr_assert(run_until(io,
                        [&]
                        {
                            return b.m_received.size() == count && !a.m_received.empty();
                        }));
    for (std::uint64_t version = 0; version < count; ++version)
    {
        EXPECT_EQUAL(std::get<config_pull>(b.m_received[version].second).m_have.m_value,
                     version);
    }
    EXPECT_EQUAL(b.m_received[0].first, first);
}

Test(node_transport, what_cannot_be_handed_over_is_reported)
{
    boost::asio::io_context io;
    node_transport_limits limits;
    limits.m_queue_bytes = 1000;
    test_node a{io, "n1", 1, limits};
    test_node b{io, "n2", 2};
    a.m_transport->send(node_id{"unknown"}, config_pull{});
    a.m_transport->set_peer(node_id{"n3"}, b.address());
    a.m_transport->send(node_id{"n3"}, config_pull{});
    a.m_transport->set_peer(node_id{"n4"}, node_address{"127.0.0.1", 1});
    a.m_transport->send(node_id{"n4"}, config_pull{});
    a.m_transport->set_peer(second, b.address());
    a.m_transport->send(second, config_push{{}, std::string(2000, 'x')});
    cr_expect(run_until(io,
                        [&]
                        {
                            return a.m_not_sent.size() == 4;
                        }));
    cr_expect(b.m_received.empty(), "a message for n3 must not reach n2");
    EXPECT_EQUAL(a.m_transport->queued_bytes(), 0U);
}

Test(node_transport, a_dead_peer_is_lost_on_both_kinds_of_connection)
{
    boost::asio::io_context io;
    test_node a{io, "n1", 1};
    std::optional<test_node> b{std::in_place, io, "n2", 2};
    a.m_transport->set_peer(second, b->address());
    b->m_transport->set_peer(first, a.address());
    a.m_transport->send(second, config_pull{});
    b->m_transport->send(first, config_pull{});
    cr_assert(run_until(io,
                        [&]
                        {
                            return a.m_received.size() + b->m_received.size() == 2;
                        }));
    b.reset();
    cr_expect(run_until(io,
                        [&]
                        {
                            return a.m_lost.size() == 2;
                        }));
    a.m_transport->send(second, config_pull{});
    cr_expect(run_until(io,
                        [&]
                        {
                            return a.m_not_sent.size() == 1;
                        }));
}

Test(node_transport, an_idle_connection_closes_without_a_loss_and_opens_again)
{
    boost::asio::io_context io;
    node_transport_limits limits;
    limits.m_idle_timeout = 20ms;
    test_node a{io, "n1", 1, limits};
    test_node b{io, "n2", 2};
    a.m_transport->set_peer(second, b.address());
    for (std::size_t round = 1; round <= 2; ++round)
    {
        a.m_transport->send(second, config_pull{});
        cr_assert(run_until(io,
                            [&]
                            {
                                return b.m_received.size() == round;
                            }));
        io.restart();
        io.run_for(100ms);
    }
    cr_expect(a.m_lost.empty() && b.m_lost.empty() && a.m_not_sent.empty());
}

Test(node_transport, strangers_and_noise_are_dropped_and_datagrams_pass)
{
    boost::asio::io_context io;
    test_node a{io, "n1", 1};
    test_node b{io, "n2", 2};
    namespace ip = boost::asio::ip;
    ip::tcp::socket stranger{io};
    stranger.connect({ip::make_address("127.0.0.1"), b.m_transport->port()});
    boost::asio::write(stranger, boost::asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
    ping sent;
    sent.m_sequence = 5;
    a.m_transport->send_datagram(b.address(), sent);
    cr_expect(run_until(io,
                        [&]
                        {
                            return b.m_datagram.has_value();
                        }));
    EXPECT_EQUAL(*b.m_datagram, datagram{sent});
    cr_expect(b.m_lost.empty() && b.m_received.empty());
}
