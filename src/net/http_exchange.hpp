#pragma once

#include <geraniumdoor/net/http_server.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace geraniumdoor
{

struct connection;
struct peer_watch;

/// Exchange on a connection of http_server.
class beast_exchange : public http_exchange
{
public:
    /// @param draining whether the server stops, in which case no further request may
    /// follow on the connection; read when the answer begins
    beast_exchange(connection& peer, http_request request, bool keep_alive,
                   const http_limits& limits, const bool& draining);
    ~beast_exchange() override;
    beast_exchange(const beast_exchange&) = delete;
    beast_exchange& operator=(const beast_exchange&) = delete;

    const http_request& request() const override;
    std::shared_ptr<const std::string> shared_body() const override;
    std::string peer() const override;
    boost::asio::awaitable<void> respond(http_response response) override;
    boost::asio::awaitable<void> begin_stream(unsigned status,
                                              std::string content_type) override;
    boost::asio::awaitable<void>
    begin_answer(unsigned status, http_fields fields,
                 std::optional<std::uint64_t> length) override;
    boost::asio::awaitable<void> begin_unframed_answer(unsigned status,
                                                       http_fields fields) override;
    boost::asio::awaitable<bool> write_part(std::string part) override;
    boost::asio::awaitable<void> end_stream() override;
    void drop() override;
    void on_peer_closed(std::function<void()> callback) override;

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
    boost::asio::awaitable<void>
    write_head(boost::beast::http::response<boost::beast::http::empty_body> message);
    boost::asio::awaitable<void> write_bytes(std::string bytes);
    /// Begins the answer and decides whether the connection may be kept after it.
    void begin_response();
    void note_written(boost::beast::error_code error);
    void end_watch();

    connection& m_peer;
    boost::beast::tcp_stream& m_stream;
    std::shared_ptr<const http_request> m_request;
    bool m_keep_alive;
    http_limits m_limits;
    const bool& m_draining;
    bool m_answered = false;
    bool m_streaming = false;
    /// Bytes that are left of an answer with a length.
    std::optional<std::uint64_t> m_left;
    /// The answer ends with its connection.
    bool m_unframed = false;
    bool m_broken = false;
    std::shared_ptr<peer_watch> m_watch;
};

} // namespace geraniumdoor
