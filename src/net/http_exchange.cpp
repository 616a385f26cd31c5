#include "http_exchange.hpp"

#include "http_connection.hpp"
#include "http_status.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <utility>

#include <poll.h>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Waits for the peer to close its side while a handler runs.
struct peer_watch
{
    explicit peer_watch(const asio::any_io_executor& executor) : m_timer{executor} {}

    asio::cancellation_signal m_cancel;
    std::function<void()> m_callback;
    /// Until the next look at a connection with bytes that nobody reads yet.
    asio::steady_timer m_timer;
    bool m_ended = false;
};

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Interval at which a connection with unread bytes is looked at. The end of the
/// connection lies behind them, and a wait for more returns at once.
constexpr milliseconds unread_check_interval{200};

/// Whether the peer has closed its side, or reset the connection, whatever is unread.
bool has_hung_up(tcp::socket& socket)
{
    pollfd state{};
    state.fd = socket.native_handle();
    state.events = POLLRDHUP;
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool peer_has_closed(tcp::socket& socket)
{
    char byte = 0;
    beast::error_code error;
    socket.non_blocking(true, error);
    const auto size =
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block)
    {
        return false;
    }
    return error.failed() || size == 0;
}

http::response<http::empty_body> make_head(unsigned status, const http_fields& fields)
{
    http::response<http::empty_body> message;
    message.version(11);
    set_status(message, status);
    for (const auto& [name, value] : fields)
    {
        message.insert(name, value);
    }
    return message;
}

/// Closes a connection whose unread bytes have no room. The handler learns of it as of a
/// peer that has gone.
void close_for_memory(connection& peer)
{
    log_event{"connection_closed"}.add("reason", "unread_bytes");
    beast::error_code ignored;
    peer.m_stream.socket().close(ignored);
}

/// Looks at a connection with unread bytes. Returns whether it is to be kept.
bool is_kept(connection& peer)
{
    if (has_hung_up(peer.m_stream.socket()))
    {
        return false;
    }
    const bool has_room = hold_unread(peer);
    if (!has_room)
    {
        close_for_memory(peer);
    }
    return has_room;
}

void check_unread_connection(connection& peer, const std::shared_ptr<peer_watch>& watch)
{
    if (!is_kept(peer))
    {
        watch->m_ended = true;
        watch->m_callback();
        return;
    }
    watch->m_timer.expires_after(unread_check_interval);
    watch->m_timer.async_wait(
        [&peer, watch](beast::error_code error)
        {
            if (!watch->m_ended && !error)
            {
                check_unread_connection(peer, watch);
            }
        });
}

void watch_peer(connection& peer, const std::shared_ptr<peer_watch>& watch)
{
    auto on_readable = [&peer, watch](beast::error_code error)
    {
        if (watch->m_ended || error == asio::error::operation_aborted)
        {
            return;
        }
        if (error.failed() || peer_has_closed(peer.m_stream.socket()))
        {
            watch->m_ended = true;
            watch->m_callback();
            return;
        }
        check_unread_connection(peer, watch);
    };
    peer.m_stream.socket().async_wait(
        tcp::socket::wait_read,
        asio::bind_cancellation_slot(watch->m_cancel.slot(), on_readable));
}

} // namespace

beast_exchange::beast_exchange(connection& peer, http_request request, bool keep_alive,
                               const http_limits& limits, const bool& draining)
    : m_peer{peer}
    , m_stream{peer.m_stream}
    , m_request{std::make_shared<const http_request>(std::move(request))}
    , m_keep_alive{keep_alive}
    , m_limits{limits}
    , m_draining{draining}
{
}

beast_exchange::~beast_exchange()
{
    end_watch();
}

const http_request& beast_exchange::request() const
{
    return *m_request;
}

std::shared_ptr<const std::string> beast_exchange::shared_body() const
{
    return {m_request, &m_request->m_body};
}

std::string beast_exchange::peer() const
{
    beast::error_code error;
    const auto endpoint = m_stream.socket().remote_endpoint(error);
    return error ? std::string{"unknown"} : endpoint.address().to_string();
}

asio::awaitable<void> beast_exchange::respond(http_response response)
{
    begin_response();
    http::response<http::string_body> message;
    message.version(11);
    set_status(message, response.m_status);
    for (const auto& [name, value] : response.m_fields)
    {
        message.insert(name, value);
    }
    message.keep_alive(m_keep_alive);
    message.body() = std::move(response.m_body);
    message.prepare_payload();
    m_stream.expires_after(m_limits.m_receive_timeout);
    const auto [error, size] = co_await http::async_write(m_stream, message, use_tuple);
    note_written(error);
}

asio::awaitable<void> beast_exchange::begin_stream(unsigned status,
                                                   std::string content_type)
{
    http_fields fields;
    fields.emplace_back("Content-Type", std::move(content_type));
    co_await begin_answer(status, std::move(fields), std::nullopt);
}

asio::awaitable<void> beast_exchange::begin_answer(unsigned status, http_fields fields,
                                                   std::optional<std::uint64_t> length)
{
    begin_response();
    m_left = length;
    auto message = make_head(status, fields);
    if (length)
    {
        message.content_length(*length);
    }
    else
    {
        message.chunked(true);
    }
    message.keep_alive(m_keep_alive);
    co_await write_head(std::move(message));
}

asio::awaitable<void> beast_exchange::begin_unframed_answer(unsigned status,
                                                            http_fields fields)
{
    begin_response();
    m_unframed = true;
    m_keep_alive = false;
    auto message = make_head(status, fields);
    message.keep_alive(false);
    co_await write_head(std::move(message));
}

asio::awaitable<void> beast_exchange::write_head(http::response<http::empty_body> message)
{
    m_streaming = true;
    http::response_serializer<http::empty_body> serializer{message};
    m_stream.expires_after(m_limits.m_receive_timeout);
    const auto [error, size] =
        co_await http::async_write_header(m_stream, serializer, use_tuple);
    note_written(error);
}

asio::awaitable<bool> beast_exchange::write_part(std::string part)
{
    if (m_broken || part.empty())
    {
        co_return !m_broken;
    }
    m_stream.expires_after(m_limits.m_receive_timeout);
    if (m_left)
    {
        require_invariant(part.size() <= *m_left, "answer_within_its_length",
                          m_request->m_target);
        *m_left -= part.size();
    }
    if (m_left || m_unframed)
    {
        co_await write_bytes(std::move(part));
        co_return !m_broken;
    }
    const auto chunk = http::make_chunk(asio::buffer(part));
    const auto [error, size] = co_await asio::async_write(m_stream, chunk, use_tuple);
    note_written(error);
    co_return !m_broken;
}

asio::awaitable<void> beast_exchange::write_bytes(std::string bytes)
{
    const auto [error, size] =
        co_await asio::async_write(m_stream, asio::buffer(bytes), use_tuple);
    note_written(error);
}

asio::awaitable<void> beast_exchange::end_stream()
{
    if (m_left && *m_left > 0)
    {
        drop();
    }
    if (!m_broken && !m_left && !m_unframed)
    {
        m_stream.expires_after(m_limits.m_receive_timeout);
        const auto last = http::make_chunk_last();
        const auto [error, size] = co_await asio::async_write(m_stream, last, use_tuple);
        note_written(error);
    }
    m_streaming = false;
    end_watch();
}

void beast_exchange::drop()
{
    m_answered = true;
    m_broken = true;
    beast::error_code ignored;
    if (m_unframed)
    {
        // An orderly close would be the end of the answer.
        m_stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    m_stream.socket().close(ignored);
}

void beast_exchange::on_peer_closed(std::function<void()> callback)
{
    m_watch = std::make_shared<peer_watch>(m_stream.get_executor());
    m_watch->m_callback = std::move(callback);
    watch_peer(m_peer, m_watch);
}

void beast_exchange::begin_response()
{
    require_invariant(!m_answered, "one_answer_per_request", m_request->m_target);
    m_answered = true;
    m_keep_alive = m_keep_alive && !m_draining;
}

void beast_exchange::note_written(beast::error_code error)
{
    m_broken = m_broken || error.failed();
    if (!m_streaming || m_broken)
    {
        end_watch();
    }
}

void beast_exchange::end_watch()
{
    if (m_watch && !m_watch->m_ended)
    {
        m_watch->m_ended = true;
        m_watch->m_timer.cancel();
        m_watch->m_cancel.emit(asio::cancellation_type::terminal);
    }
}

} // namespace geraniumdoor
