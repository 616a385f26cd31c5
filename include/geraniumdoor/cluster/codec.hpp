#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>
#include <geraniumdoor/cluster/messages.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Version of the layout of frames and datagrams.
constexpr std::uint8_t codec_version = 9;

/// Bytes of the big-endian length in front of the body of a frame.
constexpr std::size_t frame_header_bytes = 4;

/// Largest body of a frame, in bytes.
constexpr std::size_t max_frame_body_bytes = std::size_t{4} * 1024 * 1024;

enum class codec_fault : std::uint8_t
{
    too_large,
    truncated,
    unknown_version,
    unknown_type,
    malformed,
    /// Bytes follow the end of the message.
    trailing_bytes,
};

struct codec_error
{
    codec_fault m_fault = codec_fault::malformed;
    std::string m_detail;
};

const char* to_text(codec_fault fault);

/// Returns the whole frame, length included.
result<std::string, codec_error> encode_frame(const node_message& message);

/// Returns the length of the body that follows the header of a frame.
result<std::size_t, codec_error>
decode_frame_header(const std::array<unsigned char, frame_header_bytes>& header);

/// Decodes the body of a frame. Never allocates more for a text or list than the bytes
/// that are present justify.
result<node_message, codec_error> decode_frame_body(std::string_view body);

/// Fails with too_large when the datagram would exceed max_datagram_bytes.
result<std::string, codec_error> encode_datagram(const datagram& message);

result<datagram, codec_error> decode_datagram(std::string_view bytes);

/// Returns rows as one compressed text.
std::string pack_rows(const std::vector<stored_row>& rows);

/// Returns the rows that pack_rows has compressed.
/// @param max_bytes upper bound of the decompressed size
result<std::vector<stored_row>, codec_error> unpack_rows(std::string_view packed,
                                                         std::size_t max_bytes);

} // namespace geraniumdoor
