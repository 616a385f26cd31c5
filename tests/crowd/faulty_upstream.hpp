#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace geraniumdoor::test
{

/// Stands for the id of the request in the head of an answer.
inline constexpr std::string_view own_request_id = "{id}";

/// What a faulty upstream sends on each connection once a request has arrived.
struct faulty_answer
{
    std::string m_head;
    /// Sent after the head again and again, until the peer closes; nothing if it is
    /// empty.
    std::string m_tail;
};

/// An upstream that answers all requests with the same bytes, and never closes.
class faulty_upstream
{
public:
    faulty_upstream(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint place);

    void set_answer(faulty_answer answer)
    {
        m_answer = std::move(answer);
    }

private:
    boost::asio::awaitable<void> accept();
    static boost::asio::awaitable<void> answer(boost::asio::ip::tcp::socket socket,
                                               faulty_answer bytes);

    boost::asio::ip::tcp::acceptor m_acceptor;
    faulty_answer m_answer;
};

} // namespace geraniumdoor::test
