#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

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

/// Waits for the peer to close its side while a handler runs.
struct peer_watch
{
    asio::cancellation_signal m_cancel;
    std::function<void()> m_callback;
    bool m_ended = false;
};

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

void watch_peer(tcp::socket& socket, const std::shared_ptr<peer_watch>& watch)
{
    auto on_readable = [&socket, watch](beast::error_code error)
    {
        if (watch->m_ended || error == asio::error::operation_aborted)
        {
            return;
        }
        if (error.failed() || peer_has_closed(socket))
        {
            watch->m_ended = true;
            watch->m_callback();
        }
    };
    socket.async_wait(tcp::socket::wait_read,
                      asio::bind_cancellation_slot(watch->m_cancel.slot(), on_readable));
}

class beast_exchange : public http_exchange
{
public:
    beast_exchange(beast::tcp_stream& stream, http_request request, bool keep_alive,
                   const http_limits& limits)
        : m_stream{stream}
        , m_request{std::move(request)}
        , m_keep_alive{keep_alive}
        , m_limits{limits}
    {
    }

    ~beast_exchange() override
    {
        end_watch();
    }

    const http_request& request() const override
    {
        return m_request;
    }

    std::string peer() const override
    {
        beast::error_code error;
        const auto endpoint = m_stream.socket().remote_endpoint(error);
        return error ? std::string{"unknown"} : endpoint.address().to_string();
    }

    asio::awaitable<void> respond(http_response response) override
    {
        begin_answer();
        http::response<http::string_body> message{http::int_to_status(response.m_status),
                                                  11};
        for (const auto& [name, value] : response.m_fields)
        {
            message.set(name, value);
        }
        message.keep_alive(m_keep_alive);
        message.body() = std::move(response.m_body);
        message.prepare_payload();
        m_stream.expires_after(m_limits.m_receive_timeout);
        const auto [error, size] =
            co_await http::async_write(m_stream, message, use_tuple);
        note_written(error);
    }

    asio::awaitable<void> begin_stream(unsigned status, std::string content_type) override
    {
        begin_answer();
        m_streaming = true;
        http::response<http::empty_body> message{http::int_to_status(status), 11};
        message.set(http::field::content_type, content_type);
        message.chunked(true);
        message.keep_alive(m_keep_alive);
        http::response_serializer<http::empty_body> serializer{message};
        m_stream.expires_after(m_limits.m_receive_timeout);
        const auto [error, size] =
            co_await http::async_write_header(m_stream, serializer, use_tuple);
        note_written(error);
    }

    asio::awaitable<bool> write_part(std::string part) override
    {
        if (m_broken || part.empty())
        {
            co_return !m_broken;
        }
        m_stream.expires_after(m_limits.m_receive_timeout);
        const auto chunk = http::make_chunk(asio::buffer(part));
        const auto [error, size] = co_await asio::async_write(m_stream, chunk, use_tuple);
        note_written(error);
        co_return !m_broken;
    }

    asio::awaitable<void> end_stream() override
    {
        if (!m_broken)
        {
            const auto last = http::make_chunk_last();
            const auto [error, size] =
                co_await asio::async_write(m_stream, last, use_tuple);
            note_written(error);
        }
        m_streaming = false;
        end_watch();
    }

    void drop() override
    {
        m_answered = true;
        m_broken = true;
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

    void on_peer_closed(std::function<void()> callback) override
    {
        m_watch = std::make_shared<peer_watch>();
        m_watch->m_callback = std::move(callback);
        watch_peer(m_stream.socket(), m_watch);
    }

    bool answered() const
    {
        return m_answered;
    }

    /// Whether the connection may carry another request.
    bool reusable() const
    {
        return m_keep_alive && !m_broken && !m_streaming;
    }

private:
    void begin_answer()
    {
        require_invariant(!m_answered, "one_answer_per_request", m_request.m_target);
        m_answered = true;
    }

    void note_written(beast::error_code error)
    {
        m_broken = m_broken || error.failed();
        if (!m_streaming || m_broken)
        {
            end_watch();
        }
    }

    void end_watch()
    {
        if (m_watch && !m_watch->m_ended)
        {
            m_watch->m_ended = true;
            m_watch->m_cancel.emit(asio::cancellation_type::terminal);
        }
    }

    beast::tcp_stream& m_stream;
    http_request m_request;
    bool m_keep_alive;
    http_limits m_limits;
    bool m_answered = false;
    bool m_streaming = false;
    bool m_broken = false;
    std::shared_ptr<peer_watch> m_watch;
};

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

struct connection
{
    explicit connection(tcp::socket socket) : m_stream{std::move(socket)} {}

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_idle = true;
};

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
    co_await http::async_write(peer.m_stream, message, use_tuple);
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::any_io_executor executor, tcp::endpoint endpoint, http_limits limits,
          http_handler handler)
        : m_executor{std::move(executor)}
        , m_endpoint{endpoint}
        , m_limits{limits}
        , m_handler{std::move(handler)}
        , m_acceptor{m_executor}
    {
    }

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<connection> peer);
    asio::awaitable<bool> serve_one(connection& peer);
    asio::awaitable<bool> wait_for_request(connection& peer);
    asio::awaitable<bool> run_handler(connection& peer, http_request request,
                                      bool keep_alive);

    asio::any_io_executor m_executor;
    tcp::endpoint m_endpoint;
    http_limits m_limits;
    http_handler m_handler;
    tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::size_t m_active = 0;
    bool m_draining = false;
    bool m_closed = false;
};

asio::awaitable<void> http_server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        if (error)
        {
            continue;
        }
        if (m_connections.size() >= m_limits.m_connections)
        {
            log_event{"connection_refused"}.add("reason", "too_many_connections");
            continue;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        auto peer = std::make_shared<connection>(std::move(socket));
        m_connections.insert(peer);
        asio::co_spawn(m_executor, serve(std::move(peer)), asio::detached);
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
    beast::error_code ignored;
    peer->m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_connections.erase(peer);
}

asio::awaitable<bool> http_server::state::wait_for_request(connection& peer)
{
    if (peer.m_buffer.size() != 0)
    {
        co_return true;
    }
    constexpr std::size_t read_size = 4096;
    peer.m_idle = true;
    peer.m_stream.expires_after(m_limits.m_idle_timeout);
    const auto [error, size] = co_await peer.m_stream.async_read_some(
        peer.m_buffer.prepare(read_size), use_tuple);
    peer.m_idle = false;
    peer.m_buffer.commit(size);
    co_return !error && size != 0;
}

asio::awaitable<bool> http_server::state::serve_one(connection& peer)
{
    const bool received = co_await wait_for_request(peer);
    if (!received)
    {
        co_return false;
    }
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(m_limits.m_header_bytes));
    parser.body_limit(m_limits.m_body_bytes);
    peer.m_stream.expires_after(m_limits.m_receive_timeout);
    const auto [error, size] =
        co_await http::async_read(peer.m_stream, peer.m_buffer, parser, use_tuple);
    if (error)
    {
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
    const bool keep_alive = parser.get().keep_alive() && !m_draining;
    const bool reusable =
        co_await run_handler(peer, to_request(parser.release()), keep_alive);
    co_return reusable && !m_draining;
}

asio::awaitable<bool>
http_server::state::run_handler(connection& peer, http_request request, bool keep_alive)
{
    beast_exchange exchange{peer.m_stream, std::move(request), keep_alive, m_limits};
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
            .add("error", fault);
        http_response response;
        response.m_status = 500;
        response.m_body =
            "{\"error\":{\"code\":\"internal\",\"field\":\"\",\"message\":"
            "\"the request failed\",\"ran\":\"unknown\",\"retry_after_ms\":0}}";
        co_await exchange.respond(std::move(response));
    }
    --m_active;
    co_return exchange.reusable();
}

http_server::http_server(asio::any_io_executor executor, tcp::endpoint endpoint,
                         http_limits limits, http_handler handler)
    : m_state{std::make_shared<state>(std::move(executor), endpoint, limits,
                                      std::move(handler))}
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

void http_server::begin_drain()
{
    m_state->m_draining = true;
    for (const auto& peer : m_state->m_connections)
    {
        if (peer->m_idle && peer->m_buffer.size() == 0)
        {
            peer->m_stream.cancel();
        }
    }
}

void http_server::stop_accepting()
{
    beast::error_code ignored;
    m_state->m_acceptor.close(ignored);
}

void http_server::close()
{
    stop_accepting();
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

} // namespace geraniumdoor
