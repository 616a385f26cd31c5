#include "http_exchange.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <optional>
#include <unordered_set>

namespace geraniumdoor
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

using request_parser = http::request_parser<http::string_body>;

http_request to_request(http::request<http::string_body> message)
{
    http_request request;
    request.m_method = std::string{message.method_string()};
    request.m_target = std::string{message.target()};
    for (const auto& field : message)
    {
        request.m_fields.emplace_back(field.name_string(), field.value());
    }
    request.m_body = std::move(message.body());
    return request;
}

/// Whether the end of the request is beyond doubt. Beast takes a transfer coding that it
/// does not know for none, and the body would be read as a second request.
bool has_clear_framing(const http::request<http::string_body>& message)
{
    const auto count = [&](http::field name)
    {
        const auto [first, last] = message.equal_range(name);
        return std::distance(first, last);
    };
    const auto codings = count(http::field::transfer_encoding);
    const bool coding_known =
        codings == 0 ||
        (codings == 1 &&
         beast::iequals(message[http::field::transfer_encoding], "chunked"));
    const bool both = codings > 0 && count(http::field::content_length) > 0;
    return coding_known && !both && count(http::field::content_length) <= 1 &&
           count(http::field::host) <= 1;
}

enum class connection_phase : std::uint8_t
{
    /// No byte of a request has arrived since the connection was accepted.
    fresh,
    /// Waits for another request.
    idle,
    /// A request has arrived in part.
    receiving,
    /// A request is being answered.
    answering,
    /// Waits for the peer to close.
    closing,
};

struct connection
{
    explicit connection(tcp::socket socket) : m_stream{std::move(socket)} {}

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    connection_phase m_phase = connection_phase::fresh;
    /// When the peer last made progress with a request, or has ended one.
    time_point m_progress_at = std::chrono::steady_clock::now();
    /// The connection is closed to make room for others.
    bool m_is_displaced = false;
    time_point m_accepted_at = std::chrono::steady_clock::now();
    /// An answer was written after which the connection carries no other request.
    bool m_answered_last = false;
};

/// Time in which a peer that has connected is expected to send its request.
constexpr milliseconds first_request_time{1000};

/// Time for a peer to read the last answer and to close.
constexpr milliseconds linger_time{1000};

/// Bytes that are read from a peer meanwhile; one that goes on sending is cut off.
constexpr std::size_t max_linger_bytes = std::size_t{256} * 1024;

/// The time for a peer that waits for no answer.
constexpr milliseconds idle_linger_time{250};

/// Whether the peer has sent bytes that were not read yet.
bool has_unread_bytes(connection& peer)
{
    beast::error_code ignored;
    return peer.m_buffer.size() > 0 || peer.m_stream.socket().available(ignored) > 0;
}

/// Whether nothing is expected from the peer. A new connection is expected to carry a
/// request soon.
bool is_idle(connection& peer)
{
    const bool awaits_first =
        peer.m_phase == connection_phase::fresh &&
        std::chrono::steady_clock::now() - peer.m_accepted_at < first_request_time;
    const bool waits =
        peer.m_phase == connection_phase::idle || peer.m_phase == connection_phase::fresh;
    return waits && !awaits_first && !has_unread_bytes(peer);
}

/// Ends the wait for the peer's bytes, to make room for others.
void displace(connection& peer)
{
    peer.m_is_displaced = true;
    peer.m_stream.cancel();
}

/// Closes the connection in a way that does not destroy an answer which the peer has yet
/// to read, as a close with unread input would: ends the own side and waits for the peer
/// to close, within limits of time and bytes.
asio::awaitable<void> close_gracefully(connection& peer)
{
    peer.m_phase = connection_phase::closing;
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

/// Bytes that one read returns at most.
constexpr std::size_t read_bytes = std::size_t{64} * 1024;

/// Buffer that a connection keeps between two requests.
constexpr std::size_t max_kept_buffer_bytes = std::size_t{16} * 1024;

constexpr milliseconds refusal_timeout{1000};
/// Refused connections that are told why at the same time; more are closed at once.
constexpr std::size_t max_refusals = 64;

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

/// Answers without reading a request, then reads until the peer closes. Unread bytes at
/// the close would reset the connection, and the peer would lose the answer.
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

/// Answers a request that has not arrived completely, because it takes memory or a
/// connection that others need.
asio::awaitable<void> send_overloaded(connection& peer)
{
    const auto message =
        make_refusal("overloaded", "this host has no room for the request", seconds{1});
    peer.m_answered_last = true;
    peer.m_stream.expires_after(linger_time);
    co_await http::async_write(peer.m_stream, message, use_tuple);
}

/// Answers a request that has not arrived completely, because the server stops.
asio::awaitable<void> send_stopping(connection& peer)
{
    // Another host serves the request at once.
    const auto message = make_refusal("stopping", "this host stops", seconds{0});
    peer.m_answered_last = true;
    peer.m_stream.expires_after(linger_time);
    co_await http::async_write(peer.m_stream, message, use_tuple);
}

asio::awaitable<void> send_parse_error(connection& peer, unsigned status,
                                       beast::error_code error)
{
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

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::any_io_executor executor, tcp::endpoint endpoint, http_limits limits,
          http_handler handler, std::shared_ptr<memory_pool> memory)
        : m_executor{std::move(executor)}
        , m_endpoint{endpoint}
        , m_limits{limits}
        , m_handler{std::move(handler)}
        , m_memory{std::move(memory)}
        , m_acceptor{m_executor}
    {
    }

    asio::awaitable<void> accept_loop();
    void add_connection(tcp::socket socket);
    void accept_pending();
    void refuse(tcp::socket socket);
    asio::awaitable<void> serve(std::shared_ptr<connection> peer);
    asio::awaitable<bool> serve_one(connection& peer);
    asio::awaitable<bool> wait_for_request(connection& peer);
    asio::awaitable<beast::error_code>
    read_request(connection& peer, request_parser& parser, memory_lease& memory);
    asio::awaitable<beast::error_code> read_body(connection& peer, request_parser& parser,
                                                 memory_lease& memory);
    /// Closes a connection that stands still, if there is one. Returns whether it did.
    bool displace_still_peer();
    asio::awaitable<bool> run_handler(connection& peer, http_request request,
                                      bool keep_alive);

    asio::any_io_executor m_executor;
    tcp::endpoint m_endpoint;
    http_limits m_limits;
    http_handler m_handler;
    std::shared_ptr<memory_pool> m_memory;
    tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::size_t m_active = 0;
    std::shared_ptr<std::size_t> m_refusals = std::make_shared<std::size_t>(0);
    bool m_draining = false;
    /// Requests that have not arrived completely are refused.
    bool m_refusing = false;
    bool m_closed = false;
};

asio::awaitable<void> http_server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        if (!error)
        {
            add_connection(std::move(socket));
        }
    }
}

void http_server::state::add_connection(tcp::socket socket)
{
    if (m_connections.size() >= m_limits.m_connections && !displace_still_peer())
    {
        log_event{"connection_refused"}.add("reason", "too_many_connections");
        refuse(std::move(socket));
        return;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    auto peer = std::make_shared<connection>(std::move(socket));
    m_connections.insert(peer);
    asio::co_spawn(m_executor, serve(std::move(peer)), asio::detached);
}

bool http_server::state::displace_still_peer()
{
    std::vector<waiting_peer> states;
    std::vector<connection*> peers;
    for (const auto& peer : m_connections)
    {
        const bool awaits = peer->m_phase == connection_phase::fresh ||
                            peer->m_phase == connection_phase::receiving;
        states.push_back({awaits && !peer->m_is_displaced,
                          peer->m_phase == connection_phase::idle &&
                              !peer->m_is_displaced && !has_unread_bytes(*peer),
                          peer->m_progress_at});
        peers.push_back(peer.get());
    }
    const auto found = connection_to_close(states, std::chrono::steady_clock::now());
    if (!found)
    {
        return false;
    }
    log_event{"still_peer_closed"}.add("reason", "connections");
    displace(*peers[*found]);
    return true;
}

/// Accepts the connections that the kernel has completed. Closing the listener would
/// reset them, with the requests that they may carry.
void http_server::state::accept_pending()
{
    beast::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error)
    {
        tcp::socket socket{m_executor};
        m_acceptor.accept(socket, error);
        if (!error)
        {
            add_connection(std::move(socket));
        }
    }
}

void http_server::state::refuse(tcp::socket socket)
{
    if (*m_refusals < max_refusals)
    {
        ++*m_refusals;
        asio::co_spawn(m_executor, send_refusal(std::move(socket), m_refusals),
                       asio::detached);
    }
}

asio::awaitable<void> http_server::state::serve(std::shared_ptr<connection> peer)
{
    const auto self = shared_from_this();
    bool open = true;
    while (open && !m_closed)
    {
        open = co_await serve_one(*peer);
    }
    if (!m_closed)
    {
        co_await close_gracefully(*peer);
    }
    beast::error_code ignored;
    peer->m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_connections.erase(peer);
}

asio::awaitable<bool> http_server::state::wait_for_request(connection& peer)
{
    constexpr std::size_t read_size = 4096;
    beast::error_code error;
    while (peer.m_buffer.size() == 0 && !error)
    {
        peer.m_stream.expires_after(m_limits.m_idle_timeout);
        const auto [read_error, size] = co_await peer.m_stream.async_read_some(
            peer.m_buffer.prepare(read_size), use_tuple);
        peer.m_buffer.commit(size);
        // A request may have arrived while close_idle cancelled the wait.
        const bool has_arrived = read_error == asio::error::operation_aborted &&
                                 !m_closed && !peer.m_is_displaced &&
                                 has_unread_bytes(peer);
        error = has_arrived ? beast::error_code{} : read_error;
    }
    co_return !error;
}

asio::awaitable<beast::error_code> http_server::state::read_body(connection& peer,
                                                                 request_parser& parser,
                                                                 memory_lease& memory)
{
    std::size_t counted = 0;
    std::size_t received = 0;
    std::size_t marked = 0;
    const auto is_granted = [&](std::size_t bytes)
    {
        const bool counts = bytes > max_uncounted_bytes && bytes > counted;
        counted = counts ? bytes : counted;
        return !counts || memory.resize(bytes);
    };
    // What is announced is asked for before a byte of it is read.
    if (!is_granted(static_cast<std::size_t>(parser.content_length().value_or(0))))
    {
        co_return make_error_code(beast::errc::not_enough_memory);
    }
    while (!parser.is_done())
    {
        const auto [error, size] = co_await http::async_read_some(
            peer.m_stream, peer.m_buffer, parser, use_tuple);
        if (peer.m_is_displaced)
        {
            co_return make_error_code(beast::errc::not_enough_memory);
        }
        if (error)
        {
            co_return error;
        }
        received += size;
        memory.record_received(received);
        if (received >= marked + min_progress_bytes)
        {
            marked = received;
            peer.m_progress_at = std::chrono::steady_clock::now();
        }
        const std::size_t held = parser.get().body().capacity();
        if (!is_granted(held > max_uncounted_bytes ? held + peer.m_buffer.capacity() : 0))
        {
            co_return make_error_code(beast::errc::not_enough_memory);
        }
    }
    co_return beast::error_code{};
}

asio::awaitable<beast::error_code>
http_server::state::read_request(connection& peer, request_parser& parser,
                                 memory_lease& memory)
{
    peer.m_stream.expires_after(m_limits.m_receive_timeout);
    const auto [header_error, header_size] =
        co_await http::async_read_header(peer.m_stream, peer.m_buffer, parser, use_tuple);
    if (peer.m_is_displaced)
    {
        co_return make_error_code(beast::errc::not_enough_memory);
    }
    if (header_error)
    {
        co_return header_error;
    }
    if (!has_clear_framing(parser.get()))
    {
        co_return make_error_code(http::error::bad_transfer_encoding);
    }
    if (parser.is_done())
    {
        co_return beast::error_code{};
    }
    memory = memory_lease{m_memory, [&peer]
                          {
                              displace(peer);
                          }};
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
    peer.m_stream.expires_after(m_limits.m_idle_timeout);
    const beast::error_code error = co_await read_body(peer, parser, memory);
    co_return error;
}

asio::awaitable<bool> http_server::state::serve_one(connection& peer)
{
    const bool received = co_await wait_for_request(peer);
    if (!received)
    {
        co_return false;
    }
    peer.m_phase = connection_phase::receiving;
    peer.m_answered_last = false;
    memory_lease memory;
    std::optional<request_parser> parser{std::in_place};
    parser->header_limit(static_cast<std::uint32_t>(m_limits.m_header_bytes));
    parser->body_limit(m_limits.m_body_bytes);
    // Beast buffers the head of a chunk and the trailer as a whole.
    peer.m_buffer.max_size(
        std::max(m_limits.m_header_bytes + read_bytes, peer.m_buffer.size()));
    peer.m_progress_at = std::chrono::steady_clock::now();
    const beast::error_code error = co_await read_request(peer, *parser, memory);
    if (error == beast::errc::not_enough_memory)
    {
        parser.reset();
        memory.release();
        co_await send_overloaded(peer);
        co_return false;
    }
    if (error == asio::error::operation_aborted && m_refusing)
    {
        co_await send_stopping(peer);
        co_return false;
    }
    if (error)
    {
        parser.reset();
        memory.release();
        const unsigned status = status_for(error);
        if (status != 0)
        {
            co_await send_parse_error(peer, status, error);
        }
        co_return false;
    }
    if (m_closed)
    {
        // The request was read before the server closed; its handler may be gone.
        co_return false;
    }
    peer.m_stream.expires_never();
    peer.m_phase = connection_phase::answering;
    memory.end_receiving();
    const bool keep_alive = parser->get().keep_alive();
    auto message = parser->release();
    parser.reset();
    if (peer.m_buffer.size() == 0 && peer.m_buffer.capacity() > max_kept_buffer_bytes)
    {
        peer.m_buffer.shrink_to_fit();
    }
    const bool reusable =
        co_await run_handler(peer, to_request(std::move(message)), keep_alive);
    peer.m_phase = connection_phase::idle;
    peer.m_progress_at = std::chrono::steady_clock::now();
    peer.m_answered_last = !reusable;
    co_return reusable;
}

asio::awaitable<bool>
http_server::state::run_handler(connection& peer, http_request request, bool keep_alive)
{
    beast_exchange exchange{peer.m_stream, std::move(request), keep_alive, m_limits,
                            m_draining};
    ++m_active;
    std::string fault;
    try
    {
        co_await m_handler(exchange);
    }
    catch (const std::exception& exception)
    {
        fault = exception.what();
    }
    if (!exchange.answered())
    {
        log_event{"handler_failed"}
            .add("target", exchange.request().m_target)
            .add("reason", fault);
        http_response response;
        response.m_status = 500;
        response.m_fields.emplace_back("Content-Type", "application/json");
        response.m_body =
            "{\"error\":{\"code\":\"internal\",\"field\":\"\",\"message\":"
            "\"the request failed\",\"ran\":\"unknown\",\"retry_after_ms\":0}}";
        co_await exchange.respond(std::move(response));
    }
    --m_active;
    co_return exchange.reusable();
}

http_server::http_server(asio::any_io_executor executor, tcp::endpoint endpoint,
                         http_limits limits, http_handler handler,
                         std::shared_ptr<memory_pool> memory)
    : m_state{std::make_shared<state>(std::move(executor), endpoint, limits,
                                      std::move(handler), std::move(memory))}
{
}

http_server::~http_server()
{
    close();
}

void http_server::start()
{
    auto& acceptor = m_state->m_acceptor;
    acceptor.open(m_state->m_endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address{true});
    acceptor.bind(m_state->m_endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(m_state->m_executor, m_state->accept_loop(), asio::detached);
}

void http_server::set_limits(http_limits limits)
{
    m_state->m_limits = limits;
}

void http_server::begin_drain()
{
    m_state->m_draining = true;
}

void http_server::close_idle()
{
    for (const auto& peer : m_state->m_connections)
    {
        if (is_idle(*peer))
        {
            peer->m_stream.cancel();
        }
    }
}

void http_server::refuse_incomplete()
{
    m_state->m_refusing = true;
    for (const auto& peer : m_state->m_connections)
    {
        const bool ends = peer->m_phase != connection_phase::answering &&
                          peer->m_phase != connection_phase::closing;
        if (ends)
        {
            peer->m_stream.cancel();
        }
    }
}

void http_server::stop_accepting()
{
    m_state->accept_pending();
    beast::error_code ignored;
    m_state->m_acceptor.close(ignored);
}

void http_server::close()
{
    beast::error_code ignored;
    m_state->m_acceptor.close(ignored);
    m_state->m_closed = true;
    for (const auto& peer : m_state->m_connections)
    {
        peer->m_stream.close();
    }
}

std::size_t http_server::connection_count() const
{
    return m_state->m_connections.size();
}

std::size_t http_server::active_count() const
{
    return m_state->m_active;
}

std::size_t http_server::owed_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_state->m_connections.begin(), m_state->m_connections.end(),
                      [](const std::shared_ptr<connection>& peer)
                      {
                          return !is_idle(*peer);
                      }));
}

} // namespace geraniumdoor
