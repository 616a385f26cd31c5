#include "socket_support.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/tunnel.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace geraniumdoor
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

constexpr std::uint32_t max_head_bytes = 1024;
constexpr std::size_t pass_bytes = std::size_t{8} * 1024;

/// The kernel's buffers, which grow to megabytes by themselves.
constexpr int socket_buffer_bytes = 16 * 1024;

constexpr milliseconds accept_pause{50};

/// Time in which the other side has to close its connection after the end of the answer.
constexpr milliseconds close_timeout{1000};

std::string to_authority(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

/// Parses an IP number and a port; the port is zero if they are not valid.
tcp::endpoint parse_authority(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return {};
    }
    std::uint16_t port = 0;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    beast::error_code error;
    const auto address =
        asio::ip::make_address_v4(std::string{text.substr(0, colon)}, error);
    const bool is_valid = !error && parsed.ec == std::errc{} && parsed.ptr == last;
    return is_valid ? tcp::endpoint{address, port} : tcp::endpoint{};
}

void set_options(tcp::socket& socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::receive_buffer_size{socket_buffer_bytes},
                      ignored);
}

/// Closes a connection so that its peer sees that it broke.
void reset(beast::tcp_stream& stream)
{
    beast::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    stream.close();
}

/// Two connections that are passed on to each other.
struct tunnel
{
    tunnel(const asio::any_io_executor& executor, tcp::socket client)
        : m_client{std::move(client)}, m_target{executor}, m_close_timer{executor}
    {
    }

    beast::tcp_stream m_client;
    beast::tcp_stream m_target;
    asio::steady_timer m_close_timer;
    memory_lease m_memory;
    bool m_is_closed = false;
};

struct pass_end
{
    /// End of the source, or what broke one of the sides.
    beast::error_code m_error;
    /// The destination broke.
    bool m_is_refused = false;
};

/// Passes bytes on until one side ends.
asio::awaitable<pass_end> pass_on(beast::tcp_stream& from, beast::tcp_stream& to,
                                  milliseconds idle)
{
    std::array<char, pass_bytes> bytes{};
    while (true)
    {
        from.expires_after(idle);
        const auto [read_error, size] =
            co_await from.async_read_some(asio::buffer(bytes), use_tuple);
        if (read_error)
        {
            co_return pass_end{read_error, false};
        }
        const auto [write_error, written] =
            co_await asio::async_write(to, asio::buffer(bytes.data(), size), use_tuple);
        if (write_error)
        {
            co_return pass_end{write_error, true};
        }
    }
}

/// Whatever ends what the client sends, its call is over: clients do not close one
/// direction alone.
asio::awaitable<void> pass_requests(std::shared_ptr<tunnel> open, milliseconds idle)
{
    const pass_end end = co_await pass_on(open->m_client, open->m_target, idle);
    // The target may have answered before it broke.
    if (!end.m_is_refused && !std::exchange(open->m_is_closed, true))
    {
        open->m_client.close();
        open->m_target.close();
        open->m_close_timer.cancel();
    }
}

asio::awaitable<void> pass_answers(std::shared_ptr<tunnel> open, milliseconds idle)
{
    const pass_end end = co_await pass_on(open->m_target, open->m_client, idle);
    const bool is_complete = !end.m_is_refused && end.m_error == asio::error::eof;
    if (open->m_is_closed)
    {
        co_return;
    }
    if (is_complete)
    {
        // The client closes when it has read the answer. Closing first could reset the
        // connection while the rest of a request is still arriving.
        beast::error_code ignored;
        open->m_client.socket().shutdown(tcp::socket::shutdown_send, ignored);
        open->m_close_timer.expires_after(close_timeout);
        co_await open->m_close_timer.async_wait(use_tuple);
    }
    if (!std::exchange(open->m_is_closed, true))
    {
        if (is_complete)
        {
            open->m_client.close();
        }
        else
        {
            reset(open->m_client);
        }
        open->m_target.close();
    }
}

} // namespace

asio::awaitable<beast::error_code> open_tunnel(beast::tcp_stream& stream,
                                               const tcp::endpoint& target)
{
    const std::string authority = to_authority(target);
    http::request<http::empty_body> request{http::verb::connect, authority, 11};
    request.set(http::field::host, authority);
    const auto [write_error, written] =
        co_await http::async_write(stream, request, use_tuple);
    if (write_error)
    {
        co_return write_error;
    }
    beast::flat_static_buffer<max_head_bytes> buffer;
    http::response_parser<http::empty_body> parser;
    parser.skip(true);
    const auto [read_error, read] =
        co_await http::async_read_header(stream, buffer, parser, use_tuple);
    if (read_error)
    {
        co_return read_error;
    }
    const bool is_open = parser.get().result() == http::status::ok && buffer.size() == 0;
    co_return is_open ? beast::error_code{}
                      : make_error_code(beast::errc::host_unreachable);
}

struct tunnel_server::state : std::enable_shared_from_this<tunnel_server::state>
{
    state(asio::any_io_executor executor, tcp::endpoint endpoint, tunnel_limits limits,
          tunnel_callbacks callbacks, std::shared_ptr<memory_pool> memory)
        : m_executor{std::move(executor)}
        , m_endpoint{endpoint}
        , m_limits{limits}
        , m_callbacks{std::move(callbacks)}
        , m_memory{std::move(memory)}
        , m_acceptor{m_executor}
        , m_pause{m_executor}
    {
    }

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<tunnel> open);
    /// Connects the target that the client asks for. Returns the status of the answer.
    asio::awaitable<http::status> connect_target(tunnel& open);

    asio::any_io_executor m_executor;
    tcp::endpoint m_endpoint;
    tunnel_limits m_limits;
    tunnel_callbacks m_callbacks;
    std::shared_ptr<memory_pool> m_memory;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_pause;
    std::size_t m_open = 0;
    bool m_draining = false;
};

asio::awaitable<void> tunnel_server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        if (error)
        {
            m_pause.expires_after(accept_pause);
            co_await m_pause.async_wait(use_tuple);
            continue;
        }
        auto open = std::make_shared<tunnel>(m_executor, std::move(socket));
        open->m_memory = memory_lease{m_memory, {}};
        if (m_draining || m_open >= m_limits.m_tunnels ||
            !open->m_memory.resize(tunnel_bytes))
        {
            log_event{"tunnel_refused"}.add("open", m_open).add("draining", m_draining);
            continue;
        }
        asio::co_spawn(m_executor, serve(std::move(open)), asio::detached);
    }
}

asio::awaitable<http::status> tunnel_server::state::connect_target(tunnel& open)
{
    beast::flat_static_buffer<max_head_bytes> buffer;
    http::request_parser<http::empty_body> parser;
    parser.header_limit(max_head_bytes);
    open.m_client.expires_after(m_limits.m_head_timeout);
    const auto [read_error, read] =
        co_await http::async_read_header(open.m_client, buffer, parser, use_tuple);
    if (read_error || buffer.size() > 0 || parser.get().method() != http::verb::connect)
    {
        co_return http::status::bad_request;
    }
    const tcp::endpoint asked = parse_authority(parser.get().target());
    const tcp::endpoint target =
        asked.port() == 0 ? asked : m_callbacks.m_find_target(asked);
    if (target.port() == 0)
    {
        co_return http::status::forbidden;
    }
    if (open_for(open.m_target.socket(), target))
    {
        co_return http::status::service_unavailable;
    }
    set_options(open.m_target.socket());
    open.m_target.expires_after(m_limits.m_connect_timeout);
    const auto [error] = co_await open.m_target.async_connect(target, use_tuple);
    m_callbacks.m_on_connect(asked, !error);
    co_return error ? http::status::bad_gateway : http::status::ok;
}

asio::awaitable<void> tunnel_server::state::serve(std::shared_ptr<tunnel> open)
{
    const auto self = shared_from_this();
    ++m_open;
    set_options(open->m_client.socket());
    http::response<http::empty_body> response;
    response.version(11);
    response.result(co_await connect_target(*open));
    open->m_client.expires_after(m_limits.m_head_timeout);
    const auto [error, written] =
        co_await http::async_write(open->m_client, response, use_tuple);
    if (!error && response.result() == http::status::ok)
    {
        asio::co_spawn(m_executor, pass_requests(open, m_limits.m_idle_timeout),
                       asio::detached);
        co_await pass_answers(open, m_limits.m_idle_timeout);
    }
    --m_open;
}

tunnel_server::tunnel_server(asio::any_io_executor executor, tcp::endpoint endpoint,
                             tunnel_limits limits, tunnel_callbacks callbacks,
                             std::shared_ptr<memory_pool> memory)
    : m_state{std::make_shared<state>(std::move(executor), endpoint, limits,
                                      std::move(callbacks), std::move(memory))}
{
}

tunnel_server::~tunnel_server()
{
    beast::error_code ignored;
    m_state->m_acceptor.close(ignored);
}

void tunnel_server::start()
{
    auto& acceptor = m_state->m_acceptor;
    acceptor.open(m_state->m_endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address{true});
    acceptor.bind(m_state->m_endpoint);
    acceptor.listen();
    asio::co_spawn(
        m_state->m_executor,
        [self = m_state]
        {
            return self->accept_loop();
        },
        asio::detached);
}

void tunnel_server::begin_drain()
{
    m_state->m_draining = true;
}

std::size_t tunnel_server::open_count() const
{
    return m_state->m_open;
}

} // namespace geraniumdoor
