#pragma once

#include <geraniumdoor/net/http_types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

/// How a caller of the crowd sends its request.
enum class body_manner : std::uint8_t
{
    /// The body with its length, and stops just short of the end.
    with_length,
    /// The body in chunks, and stops before the last one.
    in_chunks,
    /// A chunk whose extension does not end.
    in_chunk_extension,
    /// A trailer that does not end.
    in_trailer,
    /// A head that does not end.
    in_head,
    /// A head of many short fields, and none of the body that it announces.
    in_many_fields,
    /// The same, as a whole request without a body.
    whole_with_many_fields,
    /// A whole request without a body, whose answer nobody reads.
    whole,
    /// The same, and more bytes behind it.
    whole_and_ahead,
};

/// What each caller of a crowd does. All stay connected.
struct crowd_plan
{
    std::size_t m_callers = 60;
    body_manner m_manner = body_manner::with_length;
    /// Size of the part that the manner names, in bytes.
    std::size_t m_body_bytes = 0;
    std::size_t m_chunk_bytes = 0;
    /// Bytes that a caller sends before the others have their turn.
    std::size_t m_turn_bytes = 0;
};

/// Fields of a head that are as short as they can be.
std::string many_fields(std::size_t bytes);

/// All bytes that a caller of the plan sends.
std::string bytes_of(const http_request& request, const crowd_plan& plan);

/// Callers that send what they have to, as far as it is taken, and stay connected.
class crowd_callers
{
public:
    /// Connects a caller for each text, and sends the texts until nothing moves.
    void begin(boost::asio::ip::tcp::endpoint place,
               const std::vector<std::string>& texts, std::size_t turn_bytes);

    void clear();

private:
    boost::asio::io_context m_io{1};
    std::vector<boost::asio::ip::tcp::socket> m_sockets;
};

/// Status of the answer to a request on a connection of its own; zero without an answer.
/// @param body_bytes largest body of the answer
unsigned send_alone(boost::asio::ip::tcp::endpoint place, http_request request,
                    std::size_t body_bytes);

} // namespace geraniumdoor::test
