#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/tunnel.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// What the target does after it has got a request.
enum class target_end : std::uint8_t
{
    close,
    reset,
    wait,
};

/// A client, a tunnel server and a target that sends fixed bytes.
struct tunnel_story
{
    tunnel_story()
        : m_target{m_io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}}
        , m_memory{std::make_shared<memory_pool>(memory_limits{})}
        , m_server{m_io.get_executor(),
                   free_endpoint(),
                   {},
                   {[this](const tcp::endpoint& asked)
                    {
                        return m_is_known ? asked : tcp::endpoint{};
                    },
                    [this](const tcp::endpoint&, bool is_reached)
                    {
                        m_connections.push_back(is_reached);
                    }},
                   m_memory}
    {
        m_server.start();
    }

    tcp::endpoint free_endpoint()
    {
        tcp::acceptor probe{m_io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
        m_server_endpoint = probe.local_endpoint();
        return m_server_endpoint;
    }

    asio::awaitable<void> run_target(std::string answer, target_end end)
    {
        auto [error, socket] = co_await m_target.async_accept(use_tuple);
        std::array<char, 4096> bytes{};
        const auto [read_error, size] =
            co_await socket.async_read_some(asio::buffer(bytes), use_tuple);
        m_request.assign(bytes.data(), size);
        co_await asio::async_write(socket, asio::buffer(answer), use_tuple);
        if (end == target_end::wait)
        {
            const auto [last, more] =
                co_await socket.async_read_some(asio::buffer(bytes), use_tuple);
            m_target_saw_end = last.failed();
        }
        if (end == target_end::reset)
        {
            socket.set_option(asio::socket_base::linger{true, 0});
        }
        socket.close();
    }

    asio::awaitable<void> run_client(bool leaves)
    {
        http_call call{m_io.get_executor(), {}};
        const auto connected = co_await call.connect_through(
            m_server_endpoint, m_target.local_endpoint(), 1s);
        m_is_connected = is_ok(connected);
        if (!m_is_connected)
        {
            co_return;
        }
        http_request request;
        request.m_target = "/path?q=1";
        const auto head = co_await call.send(std::move(request), 1s);
        if (leaves || !is_ok(head))
        {
            co_return;
        }
        m_status = value_of(head).m_status;
        while (true)
        {
            const auto part = co_await call.read_part(1s);
            if (!is_ok(part))
            {
                m_error = error_of(part).m_kind;
                co_return;
            }
            if (value_of(part).empty())
            {
                m_is_complete = true;
                co_return;
            }
            m_body += value_of(part);
        }
    }

    void run(const std::string& answer, target_end end, bool leaves = false)
    {
        asio::co_spawn(m_io, run_target(answer, end), asio::detached);
        asio::co_spawn(m_io, run_client(leaves), asio::detached);
        m_io.run_for(500ms);
    }

    asio::io_context m_io{1};
    tcp::acceptor m_target;
    tcp::endpoint m_server_endpoint;
    std::shared_ptr<memory_pool> m_memory;
    bool m_is_known = true;
    /// Whether the target accepted each connection.
    std::vector<bool> m_connections;
    tunnel_server m_server;
    std::string m_request;
    bool m_target_saw_end = false;
    bool m_is_connected = false;
    unsigned m_status = 0;
    std::string m_body;
    bool m_is_complete = false;
    std::optional<http_error_kind> m_error;
};

const std::string answer_with_length =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const std::string answer_without_length = "HTTP/1.1 200 OK\r\n\r\nhello";

} // namespace

TestSuite(tunnel, .timeout = 60);

Test(tunnel, a_request_and_its_answer_pass_unchanged)
{
    tunnel_story story;
    story.run(answer_with_length, target_end::close);
    EXPECT_EQUAL(story.m_status, 200U);
    EXPECT_EQUAL(story.m_body, "hello");
    cr_expect(story.m_is_complete);
    cr_expect(story.m_request.starts_with("GET /path?q=1 HTTP/1.1\r\n"));
    // What the tunnel has taken is returned.
    EXPECT_EQUAL(story.m_server.open_count(), 0U);
    EXPECT_EQUAL(story.m_memory->m_account.m_held_bytes, 0U);
}

// Guards against an answer that its connection ends, of which the host between may have
// lost the rest.
Test(tunnel, an_answer_without_length_is_not_complete)
{
    for (const auto end : {target_end::close, target_end::reset})
    {
        tunnel_story story;
        story.run(answer_without_length, end);
        cr_expect(not story.m_is_complete);
        cr_expect(story.m_error == http_error_kind::tunnel_closed);
    }
}

Test(tunnel, the_end_of_a_target_is_no_evidence_of_a_crash)
{
    tunnel_story story;
    story.run("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", target_end::reset);
    cr_expect(story.m_error == http_error_kind::tunnel_closed);
}

Test(tunnel, a_client_that_leaves_closes_the_connection_to_the_target)
{
    tunnel_story story;
    story.run("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", target_end::wait,
              true);
    cr_expect(story.m_target_saw_end);
    EXPECT_EQUAL(story.m_server.open_count(), 0U);
}

// Guards against a host that opens connections to any address for anybody.
Test(tunnel, an_unknown_target_is_refused)
{
    tunnel_story story;
    story.m_is_known = false;
    story.run(answer_with_length, target_end::close);
    cr_expect(not story.m_is_connected);
    cr_expect(story.m_request.empty());
    cr_expect(story.m_connections.empty());
}

// Guards against hosts that are asked again and again for targets that they do not reach,
// because they have no work of their own for them.
Test(tunnel, the_server_learns_which_targets_it_does_not_reach)
{
    tunnel_story story;
    story.run(answer_with_length, target_end::close);
    cr_expect(story.m_connections == std::vector<bool>{true});
    const auto target = story.m_target.local_endpoint();
    story.m_target.close();
    http_call call{story.m_io.get_executor(), {}};
    asio::co_spawn(story.m_io, call.connect_through(story.m_server_endpoint, target, 1s),
                   asio::detached);
    story.m_io.restart();
    story.m_io.run_for(500ms);
    const std::vector<bool> expected{true, false};
    cr_expect(story.m_connections == expected);
}

Test(tunnel, a_server_that_drains_opens_no_tunnel)
{
    tunnel_story story;
    story.m_server.begin_drain();
    story.run(answer_with_length, target_end::close);
    cr_expect(not story.m_is_connected);
}
