#pragma once

#include <geraniumdoor/net/http_types.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>
#include <utility>

namespace geraniumdoor::test
{

enum class connection_end : std::uint8_t
{
    orderly,
    reset,
};

/// A server that writes the bytes that it is given for each request and then closes the
/// connection.
class stopping_server
{
public:
    struct reply
    {
        std::string m_bytes;
        connection_end m_end = connection_end::orderly;
    };

    using handler = std::function<reply(const http_request& request)>;

    stopping_server(const boost::asio::any_io_executor& executor,
                    boost::asio::ip::tcp::endpoint endpoint, handler answer)
        : m_acceptor{executor, endpoint}, m_answer{std::move(answer)}
    {
        boost::asio::co_spawn(executor, accept(), boost::asio::detached);
    }

    int m_requests = 0;

private:
    using tcp = boost::asio::ip::tcp;
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
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> received;
        const auto [error, size] =
            co_await http::async_read(socket, buffer, received, use_tuple);
        if (error)
        {
            co_return;
        }
        ++m_requests;
        http_request request;
        request.m_method = std::string{received.method_string()};
        request.m_target = std::string{received.target()};
        for (const auto& field : received)
        {
            request.m_fields.emplace_back(field.name_string(), field.value());
        }
        const reply answer = m_answer(request);
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer.m_bytes),
                                          use_tuple);
        boost::system::error_code ignored;
        if (answer.m_end == connection_end::reset)
        {
            socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
        }
        else
        {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        socket.close(ignored);
    }

    tcp::acceptor m_acceptor;
    handler m_answer;
};

} // namespace geraniumdoor::test
