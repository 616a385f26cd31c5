#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace geraniumdoor::test
{

/// Connection of a caller, which reads until the host closes.
class caller_connection
{
public:
    /// @throws boost::system::system_error if nobody listens
    caller_connection(boost::asio::io_context& io,
                      const boost::asio::ip::tcp::endpoint& endpoint)
        : m_received{std::make_shared<received>(io)}
    {
        m_received->m_socket.connect(endpoint);
        boost::asio::co_spawn(io, read_all(m_received), boost::asio::detached);
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_received->m_socket,
                           boost::asio::buffer(bytes.data(), bytes.size()), ignored);
    }

    bool closed() const
    {
        return m_received->m_closed;
    }

    const std::string& bytes() const
    {
        return m_received->m_bytes;
    }

    bool answered_with(std::string_view status) const
    {
        return bytes().starts_with("HTTP/1.1 " + std::string{status});
    }

    bool answered() const
    {
        return answered_with("200") || answered_with("503");
    }

    bool announced_close() const
    {
        return bytes().find("Connection: close\r\n") != std::string::npos;
    }

private:
    struct received
    {
        explicit received(boost::asio::io_context& io) : m_socket{io} {}

        boost::asio::ip::tcp::socket m_socket;
        std::string m_bytes;
        bool m_closed = false;
    };

    static boost::asio::awaitable<void> read_all(std::shared_ptr<received> target)
    {
        constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        co_await boost::asio::async_read(
            target->m_socket, boost::asio::dynamic_buffer(target->m_bytes), use_tuple);
        target->m_closed = true;
        boost::system::error_code ignored;
        target->m_socket.close(ignored);
    }

    std::shared_ptr<received> m_received;
};

} // namespace geraniumdoor::test
