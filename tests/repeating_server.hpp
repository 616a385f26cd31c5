#pragma once

#include <geraniumdoor/net/http_types.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace geraniumdoor::test
{

/// When a server writes a copy of an answer that it has given on the connection.
enum class copy_time : std::uint8_t
{
    never,
    /// In one segment with the answer itself.
    with_answer,
    /// One half in one segment with the answer, the rest after the next request.
    around_next_request,
    /// Before another request arrives.
    while_idle,
    /// When the head of the next request has arrived, but not its body.
    inside_next_request,
    /// Before the answer to the next request.
    after_next_request,
};

inline const char* to_text(copy_time time)
{
    switch (time)
    {
    case copy_time::never:
        return "never";
    case copy_time::with_answer:
        return "with_answer";
    case copy_time::around_next_request:
        return "around_next_request";
    case copy_time::while_idle:
        return "while_idle";
    case copy_time::inside_next_request:
        return "inside_next_request";
    case copy_time::after_next_request:
        return "after_next_request";
    }
    return "unknown";
}

/// All times at which a copy is written.
inline const std::vector<copy_time> copy_times{
    copy_time::with_answer, copy_time::around_next_request, copy_time::while_idle,
    copy_time::inside_next_request, copy_time::after_next_request};

/// Returns an answer with a length, on a connection that is kept.
inline std::string make_answer(unsigned status, const http_fields& fields,
                               const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields)
    {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server that keeps its connections and writes some of its answers twice.
class repeating_server
{
public:
    struct arrival
    {
        /// Number of the connection, from 1.
        int m_connection = 0;
        http_request m_request;
    };

    struct reply
    {
        std::string m_bytes;
        bool m_is_repeated = false;
    };

    using handler = std::function<reply(const http_request& request)>;

    repeating_server(const boost::asio::any_io_executor& executor,
                     boost::asio::ip::tcp::endpoint endpoint, copy_time time,
                     handler answer)
        : m_acceptor{executor, endpoint}, m_time{time}, m_answer{std::move(answer)}
    {
        boost::asio::co_spawn(executor, accept(), boost::asio::detached);
    }

    int m_connections = 0;
    int m_copies = 0;
    std::vector<arrival> m_arrivals;

private:
    using tcp = boost::asio::ip::tcp;
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

    boost::asio::awaitable<void> accept()
    {
        while (true)
        {
            auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
            if (error)
            {
                co_return;
            }
            ++m_connections;
            boost::asio::co_spawn(m_acceptor.get_executor(),
                                  serve(std::move(socket), m_connections),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(tcp::socket socket, int connection)
    {
        boost::beast::flat_buffer buffer;
        // What is left to write of the copy, and where it is due.
        std::string copy;
        while (true)
        {
            parser request;
            const auto [head_error, head_size] =
                co_await boost::beast::http::async_read_header(socket, buffer, request,
                                                               use_tuple);
            if (head_error)
            {
                co_return;
            }
            if (m_time == copy_time::inside_next_request)
            {
                co_await write_copy(socket, copy);
            }
            const auto [error, size] = co_await boost::beast::http::async_read(
                socket, buffer, request, use_tuple);
            if (error)
            {
                co_return;
            }
            co_await write_copy(socket, copy);
            m_arrivals.push_back({connection, to_request(request.release())});
            reply next = m_answer(m_arrivals.back().m_request);
            if (next.m_is_repeated && m_time != copy_time::never)
            {
                copy = next.m_bytes;
                const std::size_t joined = m_time == copy_time::with_answer ? copy.size()
                                           : m_time == copy_time::around_next_request
                                               ? copy.size() / 2
                                               : 0;
                m_copies += joined > 0 ? 1 : 0;
                next.m_bytes += copy.substr(0, joined);
                copy.erase(0, joined);
            }
            co_await write(socket, next.m_bytes);
            if (m_time == copy_time::while_idle && !copy.empty())
            {
                co_await pause();
                co_await write_copy(socket, copy);
            }
        }
    }

    boost::asio::awaitable<void> write_copy(tcp::socket& socket, std::string& copy)
    {
        if (copy.empty())
        {
            co_return;
        }
        m_copies += m_time == copy_time::around_next_request ? 0 : 1;
        co_await write(socket, std::exchange(copy, {}));
        // The peer reads the copy by itself.
        co_await pause();
    }

    static boost::asio::awaitable<void> write(tcp::socket& socket, std::string bytes)
    {
        co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), use_tuple);
    }

    static boost::asio::awaitable<void> pause()
    {
        constexpr milliseconds length{5};
        boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor,
                                        length};
        co_await timer.async_wait(use_tuple);
    }

    static http_request
    to_request(boost::beast::http::request<boost::beast::http::string_body> message)
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

    tcp::acceptor m_acceptor;
    copy_time m_time;
    handler m_answer;
};

} // namespace geraniumdoor::test
