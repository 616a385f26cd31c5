#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>

namespace geraniumdoor
{

/// Bytes of a first read, which most messages fit.
inline constexpr std::size_t min_buffer_bytes = std::size_t{4} * 1024;

/// Bytes from one count of a head to the next while it arrives, so that bytes which come
/// one by one do not make it count again and again.
inline constexpr std::size_t head_count_bytes = 512;

/// Memory that the fields of a head take.
std::size_t bytes_of_fields(const boost::beast::http::fields& fields);

/// Whether the end and the bytes of the body are beyond doubt: no transfer coding but one
/// "chunked", and one length at most. Beast takes codings that it does not know for none,
/// so that a body would be passed on as it was coded, or read as another message.
bool has_clear_framing(const boost::beast::http::fields& fields);

/// Bytes to read next: what fits, or three times what is there, so that a buffer is
/// copied few times before it has reached its limit. Zero at the limit.
std::size_t next_read_size(const boost::beast::flat_buffer& buffer);

} // namespace geraniumdoor
