#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/net/http_types.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace geraniumdoor
{

enum class connection_phase : std::uint8_t
{
    /// No byte of a request has arrived since the connection was accepted.
    fresh,
    /// Waits for another request.
    idle,
    /// A request has arrived in part.
    receiving,
    /// A request is being answered.
    answering,
    /// Waits for the peer to close.
    closing,
};

using request_parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

/// A connection that http_server has accepted.
struct connection
{
    connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<memory_pool> memory);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    /// What the connection holds, with the request that it carries.
    memory_lease m_memory;
    connection_phase m_phase = connection_phase::fresh;
    /// Bytes of the present request that have been received.
    std::size_t m_received_bytes = 0;
    /// Memory of the head as far as it has been counted, and bytes of it since.
    std::size_t m_head_bytes = 0;
    std::size_t m_uncounted_head_bytes = 0;
    /// Memory of the request that is being answered.
    std::size_t m_answering_bytes = 0;
    /// The peer sends on while a request is answered.
    bool m_sends_ahead = false;
    /// When the peer last made progress with a request, or has ended one.
    time_point m_progress_at = std::chrono::steady_clock::now();
    /// The connection is closed to make room for others.
    bool m_is_displaced = false;
    time_point m_accepted_at = std::chrono::steady_clock::now();
    /// An answer was written after which the connection carries no other request.
    bool m_answered_last = false;
};

/// Whether the peer has sent bytes that were not read yet.
bool has_unread_bytes(connection& peer);

/// Whether nothing is expected from the peer. A new connection is expected to carry a
/// request soon.
bool is_idle(connection& peer);

/// Ends the wait for the peer's bytes, to make room for others.
void displace(connection& peer);

/// Asks for the memory of the connection with that much of a request.
/// @return whether it is granted
bool hold(connection& peer, std::size_t request_bytes);

/// Waits for the first bytes of another request. Returns whether some have arrived.
/// @param is_closed whether the server has closed
boost::asio::awaitable<bool> wait_for_request(connection& peer, milliseconds idle_timeout,
                                              const bool& is_closed);

/// Reads a request within the limits. Fails with not_enough_memory when there is no
/// memory for it, or when its connection makes room for others.
boost::asio::awaitable<boost::beast::error_code>
read_request(connection& peer, request_parser& parser, const http_limits& limits);

/// Memory that a request takes while it is answered: its body, and its head in the
/// requests that are sent on.
std::size_t bytes_while_answered(const connection& peer, const request_parser& parser);

/// Counts what the kernel has received behind the request that is being answered, beyond
/// the size of a short request.
/// @return whether there is memory for it
bool hold_unread(connection& peer);

/// Returns what the connection holds. No other request is read from it.
void release_request(connection& peer);

/// Returns the buffer between two requests, unless it is small.
void trim_buffer(connection& peer);

/// Closes the connection in a way that does not destroy an answer which the peer has yet
/// to read, as a close with unread input would: ends the own side and waits for the peer
/// to close, within limits of time and bytes.
boost::asio::awaitable<void> close_gracefully(connection& peer);

/// Answers without reading a request, then reads until the peer closes. Unread bytes at
/// the close would reset the connection, and the peer would lose the answer.
boost::asio::awaitable<void> send_refusal(boost::asio::ip::tcp::socket socket,
                                          std::shared_ptr<std::size_t> refusals);

/// Answers a request that has not arrived completely, because it takes memory or a
/// connection that others need.
boost::asio::awaitable<void> send_overloaded(connection& peer);

/// Answers a request that has not arrived completely, because the server stops.
boost::asio::awaitable<void> send_stopping(connection& peer);

/// Answers a request that is no valid one, unless the peer has gone.
boost::asio::awaitable<void> send_parse_error(connection& peer,
                                              boost::beast::error_code error);

} // namespace geraniumdoor
