#include "frame_io.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace geraniumdoor
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t body_step_bytes = std::size_t{64} * 1024;

/// Bytes that the decoded message takes, in relation to its frame.
constexpr std::size_t decoded_copies = 2;

asio::awaitable<bool> read_body(tcp::socket& socket, std::string& body, std::size_t size,
                                memory_lease& memory)
{
    while (body.size() < size)
    {
        const std::size_t have = body.size();
        const std::size_t step = std::min(size - have, body_step_bytes);
        if (!memory.resize(link_bytes + decoded_copies * (have + step)))
        {
            co_return false;
        }
        body.resize(have + step);
        boost::system::error_code failure;
        co_await asio::async_read(socket, asio::buffer(body.data() + have, step),
                                  asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            co_return false;
        }
        memory.record_received(body.size());
    }
    co_return true;
}

frame_end malformed(const codec_error& error)
{
    log_event{"frame_rejected"}
        .add("reason", to_text(error.m_fault))
        .add("detail", error.m_detail);
    return frame_end::malformed;
}

} // namespace

std::string goodbye_frame()
{
    return std::string(frame_header_bytes, '\0');
}

asio::awaitable<result<node_message, frame_end>>
read_message(tcp::socket& socket, memory_lease& memory, std::size_t max_bytes)
{
    std::array<unsigned char, frame_header_bytes> header{};
    boost::system::error_code failure;
    co_await asio::async_read(socket, asio::buffer(header),
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return frame_end::closed;
    }
    const auto size = decode_frame_header(header);
    if (!is_ok(size))
    {
        co_return malformed(error_of(size));
    }
    if (value_of(size) == 0)
    {
        co_return frame_end::goodbye;
    }
    if (value_of(size) > max_bytes)
    {
        const codec_error error{codec_fault::too_large, "the first frame is no hello"};
        co_return malformed(error);
    }
    std::string body;
    memory.enter(holder_phase::receiving);
    const bool whole = co_await read_body(socket, body, value_of(size), memory);
    memory.enter(holder_phase::busy);
    if (!whole)
    {
        co_return frame_end::closed;
    }
    auto message = decode_frame_body(body);
    body = {};
    memory.resize(link_bytes);
    if (!is_ok(message))
    {
        co_return malformed(error_of(message));
    }
    co_return value_of(std::move(message));
}

asio::awaitable<bool> write_bytes(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code failure;
    co_await asio::async_write(socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

void set_peer_options(tcp::socket& socket, int unacknowledged_ms)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    // Silent for a third of the limit: probe; the user timeout then ends the connection.
    const int idle_s = std::max(1, unacknowledged_ms / 3000);
    const int interval_s = 1;
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
                 sizeof(unacknowledged_ms));
}

} // namespace geraniumdoor
