#include "http_reading.hpp"

#include <geraniumdoor/net/memory_account.hpp>

#include <algorithm>

namespace geraniumdoor
{

std::size_t bytes_of_fields(const boost::beast::http::fields& fields)
{
    std::size_t bytes = 0;
    for (const auto& field : fields)
    {
        bytes += head_field_bytes + field.name_string().size() + field.value().size();
    }
    return bytes;
}

bool has_clear_framing(const boost::beast::http::fields& fields)
{
    namespace http = boost::beast::http;
    const auto codings = fields.count(http::field::transfer_encoding);
    const auto lengths = fields.count(http::field::content_length);
    const bool is_chunked =
        codings == 1 &&
        boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
    return codings == 0 ? lengths <= 1 : is_chunked && lengths == 0;
}

std::size_t next_read_size(const boost::beast::flat_buffer& buffer)
{
    const std::size_t spare = buffer.capacity() - buffer.size();
    const std::size_t wanted =
        spare > 0 ? spare : std::max(min_buffer_bytes, 3 * buffer.size());
    return std::min(wanted, buffer.max_size() - buffer.size());
}

} // namespace geraniumdoor
