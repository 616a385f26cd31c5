#include "crowd_callers.hpp"

#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

/// Time in which a crowd has sent what the process takes. Only bounds the test's length.
constexpr milliseconds crowd_time{20000};

/// Time without a byte that any caller could send after which all stand still.
constexpr milliseconds still_time{1000};

constexpr const char* in_chunks_field = "Transfer-Encoding: chunked\r\n\r\n";

std::string chunked_body(const crowd_plan& plan)
{
    std::ostringstream size;
    size << std::hex << plan.m_chunk_bytes;
    const std::string chunk =
        size.str() + "\r\n" + std::string(plan.m_chunk_bytes, 'a') + "\r\n";
    std::string bytes;
    for (std::size_t sent = 0; sent < plan.m_body_bytes; sent += plan.m_chunk_bytes)
    {
        bytes += chunk;
    }
    return bytes;
}

} // namespace

std::string many_fields(std::size_t bytes)
{
    const std::string field = "a:b\r\n";
    std::string text;
    while (text.size() + field.size() <= bytes)
    {
        text += field;
    }
    return text;
}

std::string bytes_of(const http_request& request, const crowd_plan& plan)
{
    constexpr std::size_t missing = 10;
    std::string bytes = request.m_method + ' ' + request.m_target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.m_fields)
    {
        bytes += name + ": " + value + "\r\n";
    }
    switch (plan.m_manner)
    {
    case body_manner::with_length:
        return bytes + "Content-Length: " + std::to_string(plan.m_body_bytes) +
               "\r\n\r\n" + std::string(plan.m_body_bytes - missing, 'a');
    case body_manner::in_chunks:
        return bytes + in_chunks_field + chunked_body(plan);
    case body_manner::in_chunk_extension:
        return bytes + in_chunks_field + "1;" + std::string(plan.m_body_bytes, 'a');
    case body_manner::in_trailer:
        return bytes + in_chunks_field + "0\r\nx: " + std::string(plan.m_body_bytes, 'a');
    case body_manner::in_head:
        return bytes + "x: " + std::string(plan.m_body_bytes, 'a');
    case body_manner::in_many_fields:
        return bytes + many_fields(plan.m_body_bytes) + "Content-Length: 10\r\n\r\n";
    case body_manner::whole_with_many_fields:
        return bytes + many_fields(plan.m_body_bytes) + "\r\n";
    case body_manner::whole:
        break;
    case body_manner::whole_and_ahead:
        return bytes + "\r\n" + std::string(plan.m_body_bytes, 'a');
    }
    return bytes + "\r\n";
}

void crowd_callers::begin(tcp::endpoint place, const std::vector<std::string>& texts,
                          std::size_t turn_bytes)
{
    const std::size_t first = m_sockets.size();
    std::vector<std::size_t> sent(texts.size(), 0);
    std::vector<bool> is_open(texts.size(), true);
    for (std::size_t caller = 0; caller < texts.size(); ++caller)
    {
        tcp::socket socket{m_io};
        boost::system::error_code error;
        socket.connect(place, error);
        is_open[caller] = !error;
        socket.non_blocking(true, error);
        m_sockets.push_back(std::move(socket));
    }
    const auto end = std::chrono::steady_clock::now() + crowd_time;
    auto progress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < end &&
           std::chrono::steady_clock::now() - progress < still_time)
    {
        bool has_moved = false;
        for (std::size_t caller = 0; caller < texts.size(); ++caller)
        {
            const std::size_t left = texts[caller].size() - sent[caller];
            if (!is_open[caller] || left == 0)
            {
                continue;
            }
            boost::system::error_code error;
            const std::size_t moved = m_sockets[first + caller].write_some(
                asio::buffer(texts[caller].data() + sent[caller],
                             std::min(left, turn_bytes)),
                error);
            sent[caller] += moved;
            has_moved = has_moved || moved > 0;
            is_open[caller] = !error || error == asio::error::would_block;
        }
        progress = has_moved ? std::chrono::steady_clock::now() : progress;
        std::this_thread::sleep_for(has_moved ? 0ms : 10ms);
    }
}

void crowd_callers::clear()
{
    m_sockets.clear();
}

unsigned send_alone(tcp::endpoint place, http_request request, std::size_t body_bytes)
{
    asio::io_context io{1};
    http_limits limits;
    limits.m_body_bytes = body_bytes;
    http_client client{io.get_executor(), limits};
    unsigned status = 0;
    const auto send = [](http_client& by, tcp::endpoint to, http_request message,
                         unsigned& result) -> asio::awaitable<void>
    {
        http_call_options options;
        options.m_timeout = milliseconds{20000};
        options.m_fresh_connection = true;
        const auto answer = co_await by.send(to, std::move(message), options);
        result = is_ok(answer) ? value_of(answer).m_status : 0;
    };
    asio::co_spawn(io, send(client, place, std::move(request), status), asio::detached);
    io.run_for(milliseconds{21000});
    return status;
}

} // namespace geraniumdoor::test
