#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

const tcp::endpoint place{asio::ip::make_address("127.0.0.1"), 24140};

asio::awaitable<void> answer(http_exchange& exchange)
{
    http_response response;
    response.m_body = exchange.request().m_body;
    return exchange.respond(std::move(response));
}

asio::awaitable<void> ask(http_client& client, bool& is_served)
{
    http_request request;
    http_call_options options;
    const auto served = co_await client.send(place, std::move(request), options);
    is_served = is_ok(served) && value_of(served).m_status == 200;
}

/// Requests that are valid, or valid but for their end.
std::vector<std::string> samples()
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string fields;
    for (int at = 0; at < 500; ++at)
    {
        fields += "a:b\r\n";
    }
    return {"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
            head + "Content-Length: 20000\r\n\r\n" + std::string(20000, 'a'),
            head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nabcde",
            chunked + "5\r\nabcde\r\n1;x=y\r\na\r\n0\r\nx: y\r\n\r\n",
            chunked + "1000\r\n" + std::string(4096, 'a') + "\r\n0\r\n\r\n",
            chunked + "5;" + std::string(3000, 'x') + "\r\nabcde\r\n0\r\n" + fields +
                "\r\n",
            head + fields + "Content-Length: 3\r\n\r\nabc"};
}

/// A sample with some bytes replaced, left out or doubled, and cut off at times.
std::string damaged(random_source& random)
{
    const auto all = samples();
    std::string text = all[uniform_below(random, static_cast<std::uint32_t>(all.size()))];
    const std::uint32_t changes = uniform_below(random, 4);
    for (std::uint32_t at = 0; at < changes; ++at)
    {
        // Most of a sample is its body; the framing lies in front.
        const auto size = static_cast<std::uint32_t>(std::min<std::size_t>(
            text.size(), uniform_below(random, 2) == 0 ? 120 : text.size()));
        const std::size_t position = uniform_below(random, size);
        switch (uniform_below(random, 3))
        {
        case 0:
            text[position] = static_cast<char>(uniform_below(random, 256));
            break;
        case 1:
            text.erase(position, 1 + uniform_below(random, 8));
            break;
        default:
            text.insert(position, text.substr(position, 1 + uniform_below(random, 40)));
            break;
        }
    }
    if (uniform_below(random, 2) == 0)
    {
        text.resize(uniform_below(random, static_cast<std::uint32_t>(text.size() + 1)));
    }
    return text;
}

} // namespace

TestSuite(http_fuzz, .timeout = 60);

// Guards against bytes of a caller that end the server, or that leave memory counted, or
// not counted, for a connection that is gone.
Test(http_fuzz, damaged_requests_in_pieces_leave_nothing_behind)
{
    asio::io_context io{1};
    const auto memory = std::make_shared<memory_pool>(memory_limits_of(2'000'000));
    http_server server{io.get_executor(), place, http_limits{}, answer, memory};
    server.start();
    random_source random{20261207};
    std::vector<tcp::socket> callers;
    for (int round = 0; round < 1500; ++round)
    {
        callers.emplace_back(io);
        callers.back().connect(place);
        const std::string text = damaged(random);
        for (std::size_t at = 0; at < text.size();)
        {
            const std::size_t size =
                std::min<std::size_t>(text.size() - at, 1 + uniform_below(random, 6000));
            boost::system::error_code ignored;
            asio::write(callers.back(), asio::buffer(text.data() + at, size), ignored);
            at += size;
            io.poll();
        }
        cr_expect(memory->m_account.m_held_bytes <=
                  memory->m_account.m_limits.m_total_bytes);
        if (callers.size() > 40)
        {
            callers.erase(callers.begin() + uniform_below(random, 40));
        }
    }
    http_client client{io.get_executor(), {}};
    bool is_served = false;
    asio::co_spawn(io, ask(client, is_served), asio::detached);
    io.run_for(500ms);
    cr_expect(is_served);
    callers.clear();
    client.close_idle();
    io.restart();
    io.run_for(2500ms);
    EXPECT_EQUAL(server.connection_count(), 0U);
    EXPECT_EQUAL(memory->m_account.m_held_bytes, 0U);
    cr_expect(memory->m_account.m_holders.empty());
    cr_expect(memory->m_closers.empty());
}
