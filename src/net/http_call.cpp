#include "answer_reader.hpp"
#include "socket_support.hpp"

#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/tunnel.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <utility>

#include <sys/ioctl.h>

namespace geraniumdoor
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Bytes of the body that are returned at once.
constexpr std::size_t part_bytes = 4096;

/// Bytes that one read returns at most.
constexpr std::size_t max_read_bytes = std::size_t{8} * 1024;

/// The kernel's buffer for what the upstream has sent. By itself it grows to megabytes,
/// all of which wait there when the caller does not read its answer.
constexpr int receive_buffer_bytes = 16 * 1024;

/// Whether the error says that the bytes are no answer of the protocol.
bool is_protocol_error(beast::error_code error)
{
    return error.category() == make_error_code(http::error::bad_version).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

body_framing framing_of(const http::response_parser<http::buffer_body>& parser)
{
    if (parser.chunked())
    {
        return body_framing::chunks;
    }
    return parser.need_eof() ? body_framing::connection_end : body_framing::length;
}

/// Bytes that were written and that the peer's machine has not acknowledged; zero if the
/// system does not tell.
int unacknowledged_bytes(tcp::socket& socket)
{
    int bytes = 0;
    const bool is_told = ::ioctl(socket.native_handle(), TIOCOUTQ, &bytes) == 0;
    return is_told ? bytes : 0;
}

} // namespace

const char* to_text(body_framing framing)
{
    switch (framing)
    {
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection_end:
        return "connection_end";
    }
    return "unknown";
}

struct http_call::state : std::enable_shared_from_this<http_call::state>
{
    state(asio::any_io_executor executor, http_limits limits,
          std::shared_ptr<memory_pool> memory)
        : m_stream{std::move(executor)}
        , m_limits{limits}
        , m_reader{limits.m_header_bytes, max_read_bytes, connection_bytes,
                   std::move(memory)}
    {
    }

    http_error error_from(beast::error_code error) const;
    asio::awaitable<void> write_request();
    asio::awaitable<beast::error_code> read_head();

    beast::tcp_stream m_stream;
    http_limits m_limits;
    answer_reader m_reader;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    http::request<http::span_body<const char>> m_request;
    std::shared_ptr<const std::string> m_request_body;
    std::array<char, part_bytes> m_part{};
    bool m_closed = false;
    bool m_is_tunnelled = false;
    /// Bytes of the request may have left this process.
    bool m_sent = false;
    /// All of them have.
    bool m_is_written = false;
};

http_error http_call::state::error_from(beast::error_code error) const
{
    http_error failure;
    failure.m_sent = m_sent;
    failure.m_detail = error.message();
    if (m_closed)
    {
        failure.m_kind = http_error_kind::aborted;
    }
    else if (error == beast::error::timeout)
    {
        failure.m_kind = http_error_kind::timeout;
    }
    else if (error == beast::errc::not_enough_memory)
    {
        failure.m_kind = http_error_kind::no_memory;
    }
    else if (is_protocol_error(error))
    {
        failure.m_kind = http_error_kind::malformed;
    }
    else if (m_sent)
    {
        failure.m_kind =
            m_is_tunnelled ? http_error_kind::tunnel_closed : http_error_kind::closed;
    }
    else
    {
        failure.m_kind = http_error_kind::connect_failed;
    }
    return failure;
}

asio::awaitable<void> http_call::state::write_request()
{
    // A failed write shows in the read of the answer, which may still arrive.
    const auto [error, size] = co_await http::async_write(m_stream, m_request, use_tuple);
    m_is_written = !error;
}

asio::awaitable<beast::error_code> http_call::state::read_head()
{
    const auto prepare = [this](http::response_parser<http::buffer_body>& parser)
    {
        parser.body_limit(boost::none);
        parser.skip(m_request.method() == http::verb::head);
    };
    co_return co_await read_final_head(m_stream, m_reader, m_parser,
                                       m_limits.m_header_bytes, prepare);
}

http_call::http_call(asio::any_io_executor executor, http_limits limits,
                     std::shared_ptr<memory_pool> memory)
    : m_state{std::make_shared<state>(std::move(executor), limits, std::move(memory))}
{
}

http_call::~http_call()
{
    close();
}

asio::awaitable<result<done, http_error>> http_call::connect(tcp::endpoint endpoint,
                                                             milliseconds limit)
{
    const auto self = m_state;
    if (const auto error = open_for(self->m_stream.socket(), endpoint))
    {
        http_error failure = self->error_from(error);
        failure.m_kind = http_error_kind::no_socket;
        co_return failure;
    }
    beast::error_code ignored;
    self->m_stream.socket().set_option(
        asio::socket_base::receive_buffer_size{receive_buffer_bytes}, ignored);
    self->m_stream.expires_after(limit);
    const auto [error] = co_await self->m_stream.async_connect(endpoint, use_tuple);
    if (error || self->m_closed)
    {
        co_return self->error_from(error);
    }
    self->m_stream.socket().set_option(tcp::no_delay{true}, ignored);
    co_return done{};
}

asio::awaitable<result<done, http_error>>
http_call::connect_through(tcp::endpoint server, tcp::endpoint endpoint,
                           milliseconds limit)
{
    const auto self = m_state;
    if (self->m_closed)
    {
        co_return self->error_from(asio::error::operation_aborted);
    }
    beast::error_code ignored;
    self->m_stream.socket().close(ignored);
    auto connected = co_await connect(server, limit);
    if (!is_ok(connected))
    {
        co_return connected;
    }
    self->m_stream.expires_after(limit);
    const auto error = co_await open_tunnel(self->m_stream, endpoint);
    if (error || self->m_closed)
    {
        co_return self->error_from(error);
    }
    self->m_is_tunnelled = true;
    co_return done{};
}

asio::awaitable<result<http_answer_head, http_error>>
http_call::send(http_request request, milliseconds limit)
{
    const auto self = m_state;
    self->m_request.version(11);
    self->m_request.method_string(request.m_method);
    self->m_request.target(request.m_target);
    for (const auto& [name, value] : request.m_fields)
    {
        self->m_request.insert(name, value);
    }
    self->m_request_body =
        request.m_shared_body
            ? request.m_shared_body
            : std::make_shared<const std::string>(std::move(request.m_body));
    self->m_request.body() = {self->m_request_body->data(), self->m_request_body->size()};
    if (!self->m_request_body->empty() || request.m_method == "POST" ||
        request.m_method == "PUT")
    {
        self->m_request.content_length(self->m_request_body->size());
    }
    self->m_sent = true;
    self->m_stream.expires_after(limit);
    asio::co_spawn(
        self->m_stream.get_executor(),
        [self]
        {
            return self->write_request();
        },
        asio::detached);
    const beast::error_code error = co_await self->read_head();
    if (error || self->m_closed)
    {
        // What was read of the head is not needed any more.
        self->m_parser.reset();
        co_return self->error_from(error);
    }
    http_answer_head head;
    const auto& message = self->m_parser->get();
    head.m_status = message.result_int();
    head.m_framing = framing_of(*self->m_parser);
    for (const auto& field : message)
    {
        head.m_fields.emplace_back(field.name_string(), field.value());
    }
    if (const auto length = self->m_parser->content_length())
    {
        head.m_length = *length;
    }
    co_return head;
}

asio::awaitable<result<std::string, http_error>> http_call::read_part(milliseconds limit)
{
    const auto self = m_state;
    // One limit for all reads: a peer may send bytes of the framing without end.
    self->m_stream.expires_after(limit);
    while (!self->m_parser->is_done())
    {
        auto& body = self->m_parser->get().body();
        body.data = self->m_part.data();
        body.size = self->m_part.size();
        beast::error_code error =
            co_await read_some(self->m_stream, self->m_reader, *self->m_parser, 0);
        if (error == http::error::need_buffer)
        {
            error = {};
        }
        if (self->m_closed || error)
        {
            co_return self->error_from(error);
        }
        const std::size_t received = self->m_part.size() - body.size;
        if (received > 0)
        {
            co_return std::string{self->m_part.data(), received};
        }
    }
    const bool has_taken_request =
        self->m_is_written && unacknowledged_bytes(self->m_stream.socket()) == 0;
    if (self->m_parser->need_eof() && (!has_taken_request || self->m_is_tunnelled))
    {
        // The peer ended the connection before it had the request, or the host between
        // ended: the end of such an answer cannot be told from a crash.
        http_error failure;
        failure.m_kind = self->m_is_tunnelled ? http_error_kind::tunnel_closed
                                              : http_error_kind::closed;
        failure.m_sent = true;
        failure.m_detail =
            self->m_is_tunnelled
                ? "the tunnel ended an answer without length"
                : "the peer ended the connection before it had the request";
        co_return failure;
    }
    co_return std::string{};
}

void http_call::close()
{
    m_state->m_closed = true;
    m_state->m_stream.close();
}

} // namespace geraniumdoor
