#include "http_connection.hpp"

#include "http_reading.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Time in which a peer that has connected is expected to send its request.
constexpr milliseconds first_request_time{1000};

/// Time for a peer to read the last answer and to close.
constexpr milliseconds linger_time{1000};

/// Bytes that are read from a peer meanwhile; one that goes on sending is cut off.
constexpr std::size_t max_linger_bytes = std::size_t{256} * 1024;

/// The time for a peer that waits for no answer.
constexpr milliseconds idle_linger_time{250};

unsigned status_for(beast::error_code error)
{
    if (error == http::error::body_limit)
    {
        return 413;
    }
    if (error == http::error::header_limit)
    {
        return 431;
    }
    const bool by_peer = error == http::error::end_of_stream ||
                         error == http::error::partial_message ||
                         error.category() == asio::error::get_system_category() ||
                         error == beast::error::timeout;
    return by_peer ? 0 : 400;
}

/// Buffer that a connection keeps between two requests.
constexpr std::size_t max_kept_buffer_bytes = std::size_t{16} * 1024;

constexpr milliseconds refusal_timeout{1000};

/// The kernel's buffer for a peer that sends on while a request is answered.
constexpr int max_ahead_bytes = 16 * 1024;

/// Copies of a request's head while it is answered: the request itself, what is sent to
/// an upstream, and the same for another one that takes it over.
constexpr std::size_t head_copies = 3;

std::size_t head_bytes(const request_parser& parser)
{
    return parser.get().target().size() + bytes_of_fields(parser.get());
}

void record_progress(connection& peer, std::size_t bytes)
{
    const std::size_t before = peer.m_received_bytes / min_progress_bytes;
    peer.m_received_bytes += bytes;
    peer.m_memory.record_received(peer.m_received_bytes);
    if (peer.m_received_bytes / min_progress_bytes > before)
    {
        peer.m_progress_at = std::chrono::steady_clock::now();
    }
}

/// Counts the fields that the parser has taken, which it does line by line.
void count_head(connection& peer, const request_parser& parser, std::size_t taken)
{
    peer.m_uncounted_head_bytes += taken;
    if (peer.m_uncounted_head_bytes >= head_count_bytes || parser.is_header_done())
    {
        peer.m_uncounted_head_bytes = 0;
        peer.m_head_bytes = head_bytes(parser);
    }
}

/// Reads until the parser has taken a part of the request, and counts what is buffered
/// for that part. Beast's own function buffers the whole of a head, of the head of a
/// chunk or of a trailer before it returns.
/// @param parsed_bytes memory of the body that the parser has taken before
asio::awaitable<beast::error_code> read_some(connection& peer, request_parser& parser,
                                             std::size_t parsed_bytes)
{
    while (true)
    {
        if (peer.m_buffer.size() > 0)
        {
            beast::error_code error;
            const bool is_head = !parser.is_header_done();
            const std::size_t taken = parser.put(peer.m_buffer.data(), error);
            peer.m_buffer.consume(taken);
            if (is_head)
            {
                count_head(peer, parser, taken);
            }
            if (error != http::error::need_more)
            {
                co_return error;
            }
        }
        const std::size_t size = next_read_size(peer.m_buffer);
        if (size == 0)
        {
            co_return make_error_code(http::error::buffer_overflow);
        }
        const auto space = peer.m_buffer.prepare(size);
        if (!hold(peer, peer.m_head_bytes + parsed_bytes))
        {
            co_return make_error_code(beast::errc::not_enough_memory);
        }
        const auto [read_error, received] =
            co_await peer.m_stream.async_read_some(space, use_tuple);
        peer.m_buffer.commit(received);
        if (peer.m_is_displaced)
        {
            co_return make_error_code(beast::errc::not_enough_memory);
        }
        if (read_error == asio::error::eof)
        {
            co_return make_error_code(http::error::partial_message);
        }
        if (read_error)
        {
            co_return read_error;
        }
        record_progress(peer, received);
    }
}

asio::awaitable<beast::error_code> read_head(connection& peer, request_parser& parser)
{
    beast::error_code error;
    while (!error && !parser.is_header_done())
    {
        error = co_await read_some(peer, parser, 0);
    }
    co_return error;
}

asio::awaitable<beast::error_code> read_body(connection& peer, request_parser& parser)
{
    // What is announced is asked for before a byte of it is read.
    const auto announced = static_cast<std::size_t>(parser.content_length().value_or(0));
    const auto held = [&]
    {
        return std::max(announced, parser.get().body().capacity());
    };
    while (!parser.is_done())
    {
        if (!hold(peer, peer.m_head_bytes + held()))
        {
            co_return make_error_code(beast::errc::not_enough_memory);
        }
        const beast::error_code error = co_await read_some(peer, parser, held());
        if (error)
        {
            co_return error;
        }
    }
    co_return beast::error_code{};
}

/// Refuses a request that has not been read.
http::response<http::string_body>
make_refusal(const std::string& code, const std::string& text, seconds retry_after)
{
    http::response<http::string_body> message{http::status::service_unavailable, 11};
    message.set(http::field::content_type, "application/json");
    message.set(http::field::retry_after, std::to_string(retry_after.count()));
    message.keep_alive(false);
    message.body() = R"({"error":{"code":")" + code + R"(","field":"","message":")" +
                     text + R"(","ran":"not_run","retry_after_ms":)" +
                     std::to_string(milliseconds{retry_after}.count()) + "}}";
    message.prepare_payload();
    return message;
}

} // namespace

connection::connection(tcp::socket socket, std::shared_ptr<memory_pool> memory)
    : m_stream{std::move(socket)}
    , m_memory{std::move(memory), [this]
               {
                   displace(*this);
               }}
{
}

bool has_unread_bytes(connection& peer)
{
    beast::error_code ignored;
    return peer.m_buffer.size() > 0 || peer.m_stream.socket().available(ignored) > 0;
}

bool is_idle(connection& peer)
{
    const bool awaits_first =
        peer.m_phase == connection_phase::fresh &&
        std::chrono::steady_clock::now() - peer.m_accepted_at < first_request_time;
    const bool waits =
        peer.m_phase == connection_phase::idle || peer.m_phase == connection_phase::fresh;
    return waits && !awaits_first && !has_unread_bytes(peer);
}

void displace(connection& peer)
{
    peer.m_is_displaced = true;
    peer.m_stream.cancel();
}

bool hold(connection& peer, std::size_t request_bytes)
{
    return peer.m_memory.resize(connection_bytes + peer.m_buffer.capacity() +
                                request_bytes);
}

asio::awaitable<bool> wait_for_request(connection& peer, milliseconds idle_timeout,
                                       const bool& is_closed)
{
    beast::error_code error;
    while (peer.m_buffer.size() == 0 && !error)
    {
        peer.m_stream.expires_after(idle_timeout);
        const auto [read_error, size] = co_await peer.m_stream.async_read_some(
            peer.m_buffer.prepare(min_buffer_bytes), use_tuple);
        peer.m_buffer.commit(size);
        // A request may have arrived while close_idle cancelled the wait.
        const bool has_arrived = read_error == asio::error::operation_aborted &&
                                 !is_closed && !peer.m_is_displaced &&
                                 has_unread_bytes(peer);
        error = has_arrived ? beast::error_code{} : read_error;
    }
    co_return !error;
}

asio::awaitable<beast::error_code> read_request(connection& peer, request_parser& parser,
                                                const http_limits& limits)
{
    parser.header_limit(static_cast<std::uint32_t>(limits.m_header_bytes));
    parser.body_limit(limits.m_body_bytes);
    // Bounds the head of a chunk and a trailer as well, which the parser takes as a
    // whole.
    peer.m_buffer.max_size(
        std::max(limits.m_header_bytes + min_buffer_bytes, peer.m_buffer.size()));
    peer.m_received_bytes = 0;
    peer.m_head_bytes = 0;
    peer.m_uncounted_head_bytes = 0;
    peer.m_progress_at = std::chrono::steady_clock::now();
    peer.m_memory.enter(holder_phase::receiving);
    peer.m_stream.expires_after(limits.m_receive_timeout);
    const beast::error_code head_error = co_await read_head(peer, parser);
    if (head_error)
    {
        co_return head_error;
    }
    if (!has_clear_framing(parser.get()) || parser.get().count(http::field::host) > 1)
    {
        co_return make_error_code(http::error::bad_transfer_encoding);
    }
    if (parser.is_done())
    {
        co_return beast::error_code{};
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        const http::response<http::empty_body> proceed{http::status::continue_, 11};
        const auto [write_error, written] =
            co_await http::async_write(peer.m_stream, proceed, use_tuple);
        if (write_error)
        {
            co_return write_error;
        }
    }
    peer.m_stream.expires_after(limits.m_idle_timeout);
    const beast::error_code error = co_await read_body(peer, parser);
    co_return error;
}

std::size_t bytes_while_answered(const connection& peer, const request_parser& parser)
{
    return head_copies * peer.m_head_bytes + parser.get().body().capacity();
}

bool hold_unread(connection& peer)
{
    beast::error_code ignored;
    const std::size_t unread = peer.m_stream.socket().available(ignored);
    const std::size_t counted = unread - std::min(unread, min_buffer_bytes);
    if (counted > 0 && !peer.m_sends_ahead)
    {
        // The kernel's buffer has grown with what was read before, and would fill up.
        peer.m_sends_ahead = true;
        peer.m_stream.socket().set_option(
            asio::socket_base::receive_buffer_size{max_ahead_bytes}, ignored);
    }
    return peer.m_memory.extend(connection_bytes + peer.m_buffer.capacity() +
                                peer.m_answering_bytes + counted);
}

void release_request(connection& peer)
{
    peer.m_buffer.clear();
    peer.m_buffer.shrink_to_fit();
    peer.m_memory.release();
}

void trim_buffer(connection& peer)
{
    if (peer.m_buffer.size() == 0 && peer.m_buffer.capacity() > max_kept_buffer_bytes)
    {
        peer.m_buffer.shrink_to_fit();
    }
}

asio::awaitable<void> close_gracefully(connection& peer)
{
    peer.m_phase = connection_phase::closing;
    release_request(peer);
    beast::error_code error;
    peer.m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
    peer.m_stream.expires_after(peer.m_answered_last ? linger_time : idle_linger_time);
    // What follows the last answer is ignored. A request that crosses the close of an
    // idle connection is left unread, so that the peer learns that nobody read it.
    std::size_t left = peer.m_answered_last ? max_linger_bytes : 1;
    char ignored[4096];
    while (!error && left > 0)
    {
        const auto [read_error, size] = co_await peer.m_stream.async_read_some(
            asio::buffer(ignored, std::min(left, sizeof(ignored))), use_tuple);
        error = read_error;
        left -= size;
    }
}

asio::awaitable<void> send_refusal(tcp::socket socket,
                                   std::shared_ptr<std::size_t> refusals)
{
    beast::tcp_stream stream{std::move(socket)};
    stream.expires_after(refusal_timeout);
    const auto message =
        make_refusal("overloaded", "this host has too many connections", seconds{1});
    const auto [write_error, written] =
        co_await http::async_write(stream, message, use_tuple);
    beast::error_code error = write_error;
    if (!error)
    {
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }
    char ignored[1024];
    while (!error)
    {
        const auto [read_error, size] =
            co_await stream.async_read_some(asio::buffer(ignored), use_tuple);
        error = read_error;
    }
    --*refusals;
}

asio::awaitable<void> send_overloaded(connection& peer)
{
    const auto message =
        make_refusal("overloaded", "this host has no room for the request", seconds{1});
    peer.m_answered_last = true;
    peer.m_stream.expires_after(linger_time);
    co_await http::async_write(peer.m_stream, message, use_tuple);
}

asio::awaitable<void> send_stopping(connection& peer)
{
    // Another host serves the request at once.
    const auto message = make_refusal("stopping", "this host stops", seconds{0});
    peer.m_answered_last = true;
    peer.m_stream.expires_after(linger_time);
    co_await http::async_write(peer.m_stream, message, use_tuple);
}

asio::awaitable<void> send_parse_error(connection& peer, beast::error_code error)
{
    const unsigned status = status_for(error);
    if (status == 0)
    {
        co_return;
    }
    http::response<http::string_body> message{http::int_to_status(status), 11};
    message.set(http::field::content_type, "application/json");
    message.keep_alive(false);
    message.body() =
        "{\"error\":{\"code\":\"bad_request\",\"field\":\"http\",\"message\":\"" +
        error.message() + "\",\"ran\":\"not_run\",\"retry_after_ms\":0}}";
    message.prepare_payload();
    peer.m_answered_last = true;
    co_await http::async_write(peer.m_stream, message, use_tuple);
}

} // namespace geraniumdoor
