#include "edge_cluster.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

/// How an upstream ends its connection after a part of an answer.
enum class answer_end : std::uint8_t
{
    reset,
    /// Ends its side and stays, without reading the rest of the upload.
    half_closed,
};

/// An upstream that answers at the first byte of a body, with a part of an answer.
struct early_upstream
{
    early_upstream(edge_cluster& cluster, std::uint16_t port, std::string head,
                   std::string part, answer_end end)
        : m_acceptor{cluster.m_io, {asio::ip::make_address("127.20.0.1"), port}}
        , m_head{std::move(head)}
        , m_part{std::move(part)}
        , m_end{end}
    {
        // The upload does not fit the sockets.
        constexpr int receive_bytes = 8192;
        m_acceptor.set_option(asio::socket_base::receive_buffer_size{receive_bytes});
        worker_standin entry;
        entry.m_address = "127.20.0.1";
        for (const std::string pool : {"plain", "engine"})
        {
            entry.m_id = "early-" + pool;
            entry.m_service = pool;
            cluster.m_store.put("servers", entry.m_id, registry_entry(entry, port));
        }
        asio::co_spawn(cluster.m_io, accept(), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto [error, socket] =
                co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error)
            {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), answer(std::move(socket)),
                           asio::detached);
        }
    }

    asio::awaitable<void> answer(tcp::socket socket)
    {
        std::string request;
        const auto [error, size] = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(request, 65536), "\r\n\r\n",
            asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return;
        }
        ++m_requests;
        const std::string name = "Attempt-Id: ";
        const auto at = request.find(name) + name.size();
        const std::string id = request.substr(at, request.find('\r', at) - at);
        const std::string bytes =
            m_head + "Attempt-Id: " + id + "\r\nResponse-Signature: s\r\n\r\n" + m_part;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::as_tuple(asio::use_awaitable));
        asio::steady_timer timer{socket.get_executor(), 50ms};
        co_await timer.async_wait(asio::use_awaitable);
        boost::system::error_code ignored;
        if (m_end == answer_end::half_closed)
        {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            timer.expires_after(1s);
            co_await timer.async_wait(asio::use_awaitable);
        }
        socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        socket.close(ignored);
    }

    tcp::acceptor m_acceptor;
    std::string m_head;
    std::string m_part;
    answer_end m_end;
    int m_requests = 0;
};

/// Longer than what the sockets on the way take.
constexpr std::size_t upload_bytes = 3'500'000;

/// Statuses of uploads on routes of each kind while an upstream answers early.
void expect_no_success(std::uint16_t port, const std::string& head,
                       const std::string& part, answer_end end)
{
    edge_cluster cluster{port, 1};
    early_upstream upstream{cluster, static_cast<std::uint16_t>(port + 30), head, part,
                            end};
    cluster.set_config(sample_routes(), 1);
    cluster.start();
    int number = 0;
    for (const char* const route : {"/read/", "/pay/", "/stream/", "/resume/"})
    {
        const std::string id = "u" + std::to_string(++number);
        http_request request = sample_post(route + id, id, 2000);
        request.m_body.assign(upload_bytes, 'a');
        const http_response answer = cluster.send_request(0, std::move(request), 2500ms);
        cr_expect(answer.m_status != 200, "%s: 200 with %zu bytes", route,
                  answer.m_body.size());
        cr_expect(answer.m_status == 0 || answer.m_status >= 500, "%s: %u", route,
                  answer.m_status);
    }
    cr_expect(upstream.m_requests >= 4);
}

constexpr const char* plain_head = "HTTP/1.1 200 OK\r\n";
constexpr const char* closing_head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
constexpr const char* event_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
constexpr const char* event = "id: 1\ndata: 1\n\n";

} // namespace

// Guards against a part of an answer that a caller takes for the whole one, because it
// has no length and its upstream ended the connection before it had read the request.
TestSuite(early_answer, .timeout = 60);

Test(early_answer, a_part_in_one_packet_with_the_head_and_a_reset)
{
    expect_no_success(26600, plain_head, "part", answer_end::reset);
    expect_no_success(26640, closing_head, "part", answer_end::reset);
}

Test(early_answer, a_part_and_the_end_of_the_upstreams_side)
{
    expect_no_success(26680, plain_head, "part", answer_end::half_closed);
    expect_no_success(26720, closing_head, "part", answer_end::half_closed);
}

Test(early_answer, a_part_larger_than_what_is_held_back)
{
    const std::string part(400'000, 'a');
    expect_no_success(26760, plain_head, part, answer_end::reset);
    expect_no_success(26800, plain_head, part, answer_end::half_closed);
}

Test(early_answer, whole_events_of_a_stream)
{
    expect_no_success(26840, event_head, event, answer_end::reset);
    expect_no_success(26880, event_head, event, answer_end::half_closed);
}

// Guards against an answer whose status is none.
Test(early_answer, a_status_of_000)
{
    expect_no_success(26920, "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n", "part",
                      answer_end::half_closed);
    expect_no_success(26960, "HTTP/1.1 000 OK\r\n", "part", answer_end::reset);
}
