#include "http_connection.hpp"
#include "http_exchange.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// Pause after a failed accept, and time for which fewer connections are kept then.
constexpr milliseconds accept_pause{50};
constexpr milliseconds shortage_time{10'000};

/// Part of the connections that is kept then; requests need descriptors, too.
constexpr std::size_t shortage_numerator = 3;
constexpr std::size_t shortage_denominator = 4;
constexpr std::size_t min_shortage_limit = 16;

/// Refused connections that are told why at the same time; more are closed at once.
constexpr std::size_t max_refusals = 64;

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
        , m_accept_pause{m_executor}
    {
    }

    asio::awaitable<void> accept_loop();
    /// Makes room for requests and new connections when there is no descriptor left.
    void on_accept_failure(beast::error_code error);
    /// Whether the process lacked descriptors a short time ago.
    bool is_short_of_descriptors() const;
    /// Whether another connection may be accepted; closes one that stands still if that
    /// makes room.
    bool has_descriptors();
    /// Connections that are not being closed to make room.
    std::size_t kept_count() const;
    void add_connection(tcp::socket socket);
    void accept_pending();
    void refuse(tcp::socket socket);
    asio::awaitable<void> serve(std::shared_ptr<connection> peer);
    asio::awaitable<bool> serve_one(connection& peer);
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
    asio::steady_timer m_accept_pause;
    /// Connections that are kept until m_shortage_ends.
    std::size_t m_shortage_limit = 0;
    time_point m_shortage_ends{};
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
        // Whoever comes waits in the queue of the kernel until there is room.
        bool is_paused = !has_descriptors();
        if (!is_paused)
        {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (!error)
            {
                add_connection(std::move(socket));
            }
            else if (m_acceptor.is_open())
            {
                on_accept_failure(error);
                is_paused = true;
            }
        }
        if (is_paused)
        {
            m_accept_pause.expires_after(accept_pause);
            co_await m_accept_pause.async_wait(use_tuple);
        }
    }
}

std::size_t http_server::state::kept_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const std::shared_ptr<connection>& peer)
                      {
                          return !peer->m_is_displaced;
                      }));
}

void http_server::state::on_accept_failure(beast::error_code error)
{
    const std::size_t kept = kept_count();
    if (!is_short_of_descriptors())
    {
        log_event{"accept_failed"}
            .add("reason", error.message())
            .add("connections", kept);
        m_shortage_limit = std::max(min_shortage_limit,
                                    kept * shortage_numerator / shortage_denominator);
    }
    m_shortage_ends = std::chrono::steady_clock::now() + shortage_time;
    bool has_closed = true;
    for (std::size_t left = kept; has_closed && left > m_shortage_limit; --left)
    {
        has_closed = displace_still_peer();
    }
}

bool http_server::state::is_short_of_descriptors() const
{
    return std::chrono::steady_clock::now() < m_shortage_ends;
}

bool http_server::state::has_descriptors()
{
    return !is_short_of_descriptors() || kept_count() < m_shortage_limit ||
           displace_still_peer();
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
    auto peer = std::make_shared<connection>(std::move(socket), m_memory);
    if (!hold(*peer, 0))
    {
        refuse(peer->m_stream.release_socket());
        return;
    }
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
    // Without descriptors, closing the connection is the answer.
    if (*m_refusals < max_refusals && !is_short_of_descriptors())
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
    const bool lingers = !peer->m_is_displaced || !is_short_of_descriptors();
    if (!m_closed && lingers)
    {
        co_await close_gracefully(*peer);
    }
    beast::error_code ignored;
    peer->m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_connections.erase(peer);
}

asio::awaitable<bool> http_server::state::serve_one(connection& peer)
{
    peer.m_memory.enter(peer.m_phase == connection_phase::fresh ? holder_phase::receiving
                                                                : holder_phase::idle);
    const bool received =
        co_await wait_for_request(peer, m_limits.m_idle_timeout, m_closed);
    if (!received)
    {
        co_return false;
    }
    peer.m_phase = connection_phase::receiving;
    peer.m_answered_last = false;
    std::optional<request_parser> parser{std::in_place};
    beast::error_code error = co_await read_request(peer, *parser, m_limits);
    peer.m_answering_bytes = error ? 0 : bytes_while_answered(peer, *parser);
    if (!error && !hold(peer, peer.m_answering_bytes))
    {
        error = make_error_code(beast::errc::not_enough_memory);
    }
    if (error)
    {
        parser.reset();
        release_request(peer);
        if (error == beast::errc::not_enough_memory)
        {
            co_await send_overloaded(peer);
        }
        else if (error == asio::error::operation_aborted && m_refusing)
        {
            co_await send_stopping(peer);
        }
        else
        {
            co_await send_parse_error(peer, error);
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
    peer.m_memory.enter(holder_phase::busy);
    const bool keep_alive = parser->get().keep_alive();
    auto message = parser->release();
    parser.reset();
    trim_buffer(peer);
    const bool reusable =
        co_await run_handler(peer, to_request(std::move(message)), keep_alive);
    peer.m_phase = connection_phase::idle;
    peer.m_progress_at = std::chrono::steady_clock::now();
    peer.m_answered_last = !reusable;
    // Less than before, so that it is granted.
    hold(peer, 0);
    co_return reusable;
}

asio::awaitable<bool>
http_server::state::run_handler(connection& peer, http_request request, bool keep_alive)
{
    beast_exchange exchange{peer, std::move(request), keep_alive, m_limits, m_draining};
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
    m_state->m_accept_pause.cancel();
}

void http_server::close()
{
    beast::error_code ignored;
    m_state->m_acceptor.close(ignored);
    m_state->m_accept_pause.cancel();
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
