#pragma once

#include <geraniumdoor/cluster/codec.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace geraniumdoor
{

enum class frame_end : std::uint8_t
{
    /// The connection closed or broke.
    closed,
    /// The peer announced that it closes an idle connection.
    goodbye,
    malformed,
};

/// Frame without body. A node sends it before it closes an idle connection, so that the
/// peer does not take the end of the connection for a failure.
std::string goodbye_frame();

/// What an open connection between hosts takes without a message.
inline constexpr std::size_t link_bytes = std::size_t{4} * 1024;

/// Longest body of the first frame, which is a hello.
inline constexpr std::size_t max_hello_bytes = std::size_t{4} * 1024;

/// Reads one frame and decodes it. The buffer for the body grows with the bytes received,
/// as far as the lease is granted.
boost::asio::awaitable<result<node_message, frame_end>>
read_message(boost::asio::ip::tcp::socket& socket, memory_lease& memory,
             std::size_t max_bytes = max_frame_body_bytes);

/// Writes all bytes. Returns false when the connection broke.
boost::asio::awaitable<bool> write_bytes(boost::asio::ip::tcp::socket& socket,
                                         const std::string& bytes);

/// Disables Nagle's algorithm and bounds the time that sent bytes may stay
/// unacknowledged.
void set_peer_options(boost::asio::ip::tcp::socket& socket, int unacknowledged_ms);

} // namespace geraniumdoor
