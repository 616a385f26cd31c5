#include "answer_reader.hpp"
#include "socket_support.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/tunnel.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <map>
#include <optional>
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
constexpr std::size_t idle_per_endpoint = 64;

/// Bytes that one read returns at most.
constexpr std::size_t read_bytes = std::size_t{64} * 1024;

using stream_ptr = std::shared_ptr<beast::tcp_stream>;
using response_parser = http::response_parser<http::string_body>;

/// How an exchange on a connection ended.
struct exchange_end
{
    beast::error_code m_error;
    /// Bytes of the request may have left.
    bool m_sent = false;
    /// Bytes that belong to no answer followed the answer.
    bool m_has_extra_bytes = false;
    /// No socket could be opened.
    bool m_lacks_socket = false;
};

/// Whether an answer with this status can pass for the answer to any other call.
bool is_refusal(unsigned status)
{
    constexpr unsigned first_error_status = 400;
    return status >= first_error_status;
}

/// Bytes that belong to no call show that the peer may answer a call with something else.
void log_extra_bytes(const tcp::endpoint& endpoint, const char* where)
{
    log_event{"connection_has_extra_bytes"}
        .add("address",
             endpoint.address().to_string() + ':' + std::to_string(endpoint.port()))
        .add("where", where);
}

bool is_open_and_quiet(beast::tcp_stream& stream, const tcp::endpoint& endpoint)
{
    char byte = 0;
    beast::error_code error;
    auto& socket = stream.socket();
    socket.non_blocking(true, error);
    const auto size =
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (!error && size > 0)
    {
        log_extra_bytes(endpoint, "idle");
    }
    return error == asio::error::would_block;
}

http_error make_error(const exchange_end& end, const http_call_options& options)
{
    const beast::error_code error = end.m_error;
    const bool sent = end.m_sent;
    http_error result;
    result.m_sent = sent;
    result.m_detail = error.message();
    if (options.m_control && options.m_control->aborted())
    {
        result.m_kind = http_error_kind::aborted;
    }
    else if (end.m_lacks_socket)
    {
        result.m_kind = http_error_kind::no_socket;
    }
    else if (error == beast::error::timeout)
    {
        result.m_kind = http_error_kind::timeout;
    }
    else if (error == beast::errc::not_enough_memory)
    {
        result.m_kind = http_error_kind::no_memory;
    }
    else if (error == http::error::body_limit || error == http::error::header_limit)
    {
        result.m_kind = http_error_kind::too_large;
    }
    else if (error.category() == make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream && error != http::error::partial_message)
    {
        result.m_kind = http_error_kind::malformed;
    }
    else if (sent)
    {
        result.m_kind = options.m_tunnel_server ? http_error_kind::tunnel_closed
                                                : http_error_kind::closed;
    }
    else
    {
        result.m_kind = http_error_kind::connect_failed;
    }
    return result;
}

http::request<http::string_body> to_message(const tcp::endpoint& endpoint,
                                            http_request request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.m_method);
    message.target(request.m_target);
    message.set(http::field::host, endpoint.address().to_string());
    for (const auto& [name, value] : request.m_fields)
    {
        message.set(name, value);
    }
    message.body() = std::move(request.m_body);
    message.prepare_payload();
    return message;
}

/// Passes whole lines to the callback and keeps the rest of the text.
void take_lines(std::string& text, const std::function<void(std::string_view)>& on_line)
{
    std::size_t start = 0;
    for (auto end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', start))
    {
        on_line(std::string_view{text}.substr(start, end - start));
        start = end + 1;
    }
    text.erase(0, start);
}

asio::awaitable<beast::error_code> read_lines(beast::tcp_stream& stream,
                                              answer_reader& reader,
                                              response_parser& parser,
                                              const http_call_options& options)
{
    std::string pending;
    while (!parser.is_done())
    {
        const beast::error_code error =
            co_await read_some(stream, reader, parser, pending.capacity());
        if (error)
        {
            co_return error;
        }
        pending += std::exchange(parser.get().body(), {});
        take_lines(pending, options.m_on_line);
    }
    if (!pending.empty())
    {
        options.m_on_line(pending);
    }
    co_return beast::error_code{};
}

/// Reads the whole answer. Lines are passed on only when the status is 200.
asio::awaitable<beast::error_code> read_answer(beast::tcp_stream& stream,
                                               answer_reader& reader,
                                               std::optional<response_parser>& parser,
                                               const http_limits& limits,
                                               const http_call_options& options)
{
    const auto prepare = [&limits](response_parser& next)
    {
        next.body_limit(limits.m_body_bytes);
    };
    const beast::error_code header_error =
        co_await read_final_head(stream, reader, parser, limits.m_header_bytes, prepare);
    if (header_error)
    {
        co_return header_error;
    }
    if (options.m_on_line && parser->get().result() == http::status::ok)
    {
        const beast::error_code lines_error =
            co_await read_lines(stream, reader, *parser, options);
        co_return lines_error;
    }
    beast::error_code error;
    while (!error && !parser->is_done())
    {
        error =
            co_await read_some(stream, reader, *parser, parser->get().body().capacity());
    }
    co_return error;
}

http_response to_response(http::response<http::string_body> message)
{
    http_response response;
    response.m_status = message.result_int();
    for (const auto& field : message)
    {
        response.m_fields.emplace_back(field.name_string(), field.value());
    }
    response.m_body = std::move(message.body());
    return response;
}

} // namespace

void http_call_control::abort()
{
    m_aborted = true;
    if (m_close)
    {
        m_close();
    }
}

struct http_client::state : std::enable_shared_from_this<http_client::state>
{
    state(asio::any_io_executor executor, http_limits limits,
          std::shared_ptr<memory_pool> memory)
        : m_executor{std::move(executor)}, m_limits{limits}, m_memory{std::move(memory)}
    {
    }

    stream_ptr take_idle(const tcp::endpoint& endpoint);
    void keep_idle(const tcp::endpoint& endpoint, stream_ptr stream);
    void close_idle(const tcp::endpoint& endpoint);
    asio::awaitable<exchange_end>
    exchange(beast::tcp_stream& stream, bool connected, const tcp::endpoint& endpoint,
             const http::request<http::string_body>& message,
             std::optional<response_parser>& parser, const http_call_options& options);

    asio::any_io_executor m_executor;
    http_limits m_limits;
    std::shared_ptr<memory_pool> m_memory;
    std::map<tcp::endpoint, std::deque<stream_ptr>> m_idle;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
};

stream_ptr http_client::state::take_idle(const tcp::endpoint& endpoint)
{
    auto& idle = m_idle[endpoint];
    while (!idle.empty())
    {
        stream_ptr stream = std::move(idle.back());
        idle.pop_back();
        if (is_open_and_quiet(*stream, endpoint))
        {
            return stream;
        }
    }
    return nullptr;
}

void http_client::state::keep_idle(const tcp::endpoint& endpoint, stream_ptr stream)
{
    auto& idle = m_idle[endpoint];
    if (idle.size() < idle_per_endpoint)
    {
        stream->expires_never();
        idle.push_back(std::move(stream));
    }
}

void http_client::state::close_idle(const tcp::endpoint& endpoint)
{
    for (const stream_ptr& stream : std::exchange(m_idle[endpoint], {}))
    {
        stream->close();
    }
}

asio::awaitable<exchange_end> http_client::state::exchange(
    beast::tcp_stream& stream, bool connected, const tcp::endpoint& endpoint,
    const http::request<http::string_body>& message,
    std::optional<response_parser>& parser, const http_call_options& options)
{
    if (!connected)
    {
        const tcp::endpoint first_hop = options.m_tunnel_server.value_or(endpoint);
        if (const auto error = open_for(stream.socket(), first_hop))
        {
            co_return exchange_end{error, false, false, true};
        }
        const bool has_limit = options.m_connect_timeout > milliseconds{0};
        stream.expires_after(has_limit
                                 ? std::min(options.m_connect_timeout, options.m_timeout)
                                 : options.m_timeout);
        const auto [error] = co_await stream.async_connect(first_hop, use_tuple);
        if (error)
        {
            co_return exchange_end{error, false, false};
        }
        if (options.m_tunnel_server)
        {
            const beast::error_code refused = co_await open_tunnel(stream, endpoint);
            if (refused)
            {
                co_return exchange_end{refused, false, false};
            }
        }
        stream.expires_after(options.m_timeout);
        beast::error_code ignored;
        stream.socket().set_option(tcp::no_delay{true}, ignored);
    }
    const auto [write_error, written] =
        co_await http::async_write(stream, message, use_tuple);
    m_bytes_sent += written;
    if (write_error)
    {
        co_return exchange_end{write_error, true, false};
    }
    answer_reader reader{m_limits.m_header_bytes, read_bytes, connection_bytes, m_memory};
    const beast::error_code error =
        co_await read_answer(stream, reader, parser, m_limits, options);
    m_bytes_received += reader.m_received_bytes;
    co_return exchange_end{error, true, reader.m_buffer.size() > 0};
}

http_client::http_client(asio::any_io_executor executor, http_limits limits,
                         std::shared_ptr<memory_pool> memory)
    : m_state{std::make_shared<state>(std::move(executor), limits, std::move(memory))}
{
}

http_client::~http_client()
{
    close_idle();
}

asio::awaitable<result<http_response, http_error>>
http_client::send(tcp::endpoint endpoint, http_request request, http_call_options options)
{
    const auto self = m_state;
    if (options.m_control && options.m_control->aborted())
    {
        co_return http_error{http_error_kind::aborted, false,
                             "aborted before it was sent"};
    }
    const bool may_keep = !options.m_tunnel_server;
    stream_ptr stream =
        options.m_fresh_connection || !may_keep ? nullptr : self->take_idle(endpoint);
    const bool connected = stream != nullptr;
    if (!connected)
    {
        stream = std::make_shared<beast::tcp_stream>(self->m_executor);
    }
    if (options.m_control)
    {
        options.m_control->m_close = [stream]
        {
            stream->close();
        };
    }
    stream->expires_after(options.m_timeout);
    const auto message = to_message(endpoint, std::move(request));
    std::optional<response_parser> parser;
    const auto end =
        co_await self->exchange(*stream, connected, endpoint, message, parser, options);
    if (options.m_control)
    {
        options.m_control->m_close = nullptr;
    }
    if (end.m_error)
    {
        stream->close();
        if (connected && end.m_error == beast::error::timeout)
        {
            // What silenced this connection may have silenced the others as well.
            self->close_idle(endpoint);
        }
        co_return make_error(end, options);
    }
    if (end.m_has_extra_bytes)
    {
        log_extra_bytes(endpoint, "after_answer");
    }
    const bool keep_alive = parser->get().keep_alive() && !end.m_has_extra_bytes &&
                            !is_refusal(parser->get().result_int());
    http_response response = to_response(parser->release());
    const bool trusted = !options.m_may_reuse || options.m_may_reuse(response);
    if (keep_alive && trusted && may_keep)
    {
        self->keep_idle(endpoint, std::move(stream));
    }
    co_return response;
}

std::uint64_t http_client::bytes_sent() const
{
    return m_state->m_bytes_sent;
}

std::uint64_t http_client::bytes_received() const
{
    return m_state->m_bytes_received;
}

void http_client::close_idle()
{
    for (auto& [endpoint, idle] : m_state->m_idle)
    {
        for (const auto& stream : idle)
        {
            stream->close();
        }
    }
    m_state->m_idle.clear();
}

} // namespace geraniumdoor
