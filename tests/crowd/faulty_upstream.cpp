#include "faulty_upstream.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view id_field = "Attempt-Id: ";

/// Id of a request, from its head.
std::string id_of(std::string_view head)
{
    const auto at = head.find(id_field);
    if (at == std::string_view::npos)
    {
        return {};
    }
    const std::string_view rest = head.substr(at + id_field.size());
    return std::string{rest.substr(0, rest.find('\r'))};
}

} // namespace

faulty_upstream::faulty_upstream(asio::io_context& io, tcp::endpoint place)
    : m_acceptor{io, place}
{
    asio::co_spawn(io, accept(), asio::detached);
}

asio::awaitable<void> faulty_upstream::accept()
{
    while (true)
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_tuple);
        if (error)
        {
            co_return;
        }
        asio::co_spawn(m_acceptor.get_executor(), answer(std::move(socket), m_answer),
                       asio::detached);
    }
}

asio::awaitable<void> faulty_upstream::answer(tcp::socket socket, faulty_answer bytes)
{
    char request[4096];
    const auto [read_error, size] =
        co_await socket.async_read_some(asio::buffer(request), use_tuple);
    if (read_error)
    {
        co_return;
    }
    std::string head = std::move(bytes.m_head);
    if (const auto at = head.find(own_request_id); at != std::string::npos)
    {
        head.replace(at, own_request_id.size(), id_of({request, size}));
    }
    const auto [head_error, head_size] =
        co_await asio::async_write(socket, asio::buffer(head), use_tuple);
    boost::system::error_code error = head_error;
    while (!error && !bytes.m_tail.empty())
    {
        const auto [tail_error, tail_size] =
            co_await asio::async_write(socket, asio::buffer(bytes.m_tail), use_tuple);
        error = tail_error;
    }
    while (!error)
    {
        const auto [rest_error, rest_size] =
            co_await socket.async_read_some(asio::buffer(request), use_tuple);
        error = rest_error;
    }
}

} // namespace geraniumdoor::test
