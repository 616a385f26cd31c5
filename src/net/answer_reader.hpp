#pragma once

#include "http_reading.hpp"
#include "http_status.hpp"

#include <geraniumdoor/net/memory_account.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace geraniumdoor
{

/// What a process holds of an answer that it reads. An upstream in trouble may send heads
/// of thousands of fields, or bytes that end neither a head nor a chunk, to many calls at
/// once.
struct answer_reader
{
    /// @param max_head_bytes limits heads of chunks and trailers as well, which Beast
    /// buffers as a whole
    /// @param max_read_bytes bytes that one read returns at most
    /// @param uncounted_bytes part that whoever makes the call has counted
    answer_reader(std::size_t max_head_bytes, std::size_t max_read_bytes,
                  std::size_t uncounted_bytes, std::shared_ptr<memory_pool> memory)
        : m_buffer{max_head_bytes + max_read_bytes}
        , m_memory{std::move(memory), {}}
        , m_max_read_bytes{max_read_bytes}
        , m_uncounted_bytes{uncounted_bytes}
    {
    }

    /// Asks for what is held, with that much of a body or of buffers elsewhere.
    /// @return whether it is granted
    bool hold(std::size_t other_bytes)
    {
        return m_memory.resize(counted_bytes(other_bytes));
    }

    /// Asks for that much besides, which the call can do without.
    /// @return whether it is granted
    bool extend(std::size_t other_bytes)
    {
        return m_memory.extend(counted_bytes(other_bytes));
    }

    std::size_t counted_bytes(std::size_t other_bytes) const
    {
        // The parser's fields, the head that the caller of the function gets, and what is
        // passed on of it.
        constexpr std::size_t head_copies = 3;
        const std::size_t bytes =
            m_buffer.capacity() + head_copies * m_head_bytes + other_bytes;
        return bytes - std::min(bytes, m_uncounted_bytes);
    }

    /// Returns the size of the next read: more after reads that were filled, as far as
    /// there is memory. Zero when the buffer is at its limit.
    std::size_t next_size(std::size_t other_bytes)
    {
        const std::size_t needed = next_read_size(m_buffer);
        const bool may_grow = m_buffer.size() == 0 && m_read_bytes > needed;
        if (may_grow && !extend(other_bytes + m_read_bytes))
        {
            m_read_bytes = min_buffer_bytes;
        }
        return may_grow ? std::max(needed, m_read_bytes) : needed;
    }

    void record_read(std::size_t size, std::size_t received)
    {
        constexpr std::size_t growth = 4;
        m_received_bytes += received;
        if (received == size)
        {
            m_read_bytes = std::min(growth * m_read_bytes, m_max_read_bytes);
        }
    }

    boost::beast::flat_buffer m_buffer;
    memory_lease m_memory;
    std::size_t m_max_read_bytes;
    std::size_t m_read_bytes = min_buffer_bytes;
    std::size_t m_uncounted_bytes;
    /// Memory of the head as far as it has been counted, and bytes of it since.
    std::size_t m_head_bytes = 0;
    std::size_t m_uncounted_head_bytes = 0;
    std::uint64_t m_received_bytes = 0;
};

/// Reads until the parser has taken a part of the answer. Differs from Beast's own
/// function in that the buffer grows as it is needed, and that the account is asked
/// before: fails with not_enough_memory when it refuses.
/// @param other_bytes memory of the body that the parser has taken before
template<class Body>
boost::asio::awaitable<boost::beast::error_code>
read_some(boost::beast::tcp_stream& stream, answer_reader& reader,
          boost::beast::http::response_parser<Body>& parser, std::size_t other_bytes)
{
    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    while (true)
    {
        if (reader.m_buffer.size() > 0)
        {
            beast::error_code error;
            const bool is_head = !parser.is_header_done();
            const std::size_t taken = parser.put(reader.m_buffer.data(), error);
            reader.m_buffer.consume(taken);
            reader.m_uncounted_head_bytes += is_head ? taken : 0;
            const bool is_due = reader.m_uncounted_head_bytes >= head_count_bytes ||
                                parser.is_header_done();
            if (is_head && is_due)
            {
                reader.m_uncounted_head_bytes = 0;
                reader.m_head_bytes = bytes_of_fields(parser.get());
            }
            if (error != http::error::need_more)
            {
                co_return error;
            }
        }
        const std::size_t size = reader.next_size(other_bytes);
        if (size == 0)
        {
            co_return make_error_code(http::error::buffer_overflow);
        }
        const auto space = reader.m_buffer.prepare(size);
        if (!reader.hold(other_bytes))
        {
            co_return make_error_code(beast::errc::not_enough_memory);
        }
        const auto [read_error, received] =
            co_await stream.async_read_some(space, asio::as_tuple(asio::use_awaitable));
        reader.m_buffer.commit(received);
        reader.record_read(size, received);
        if (read_error == asio::error::eof)
        {
            beast::error_code error = make_error_code(http::error::end_of_stream);
            if (parser.got_some())
            {
                error = {};
                parser.put_eof(error);
            }
            co_return error;
        }
        if (read_error)
        {
            co_return read_error;
        }
    }
}

/// Reads the head of the final answer, and whatever the parser takes with it. Interim
/// responses are skipped; they count towards the limit as one head. Fails when the
/// framing of the body is in doubt, and with not_enough_memory when the account refuses
/// the head.
/// @param prepare sets the limits of a new parser
template<class Body, class Prepare>
boost::asio::awaitable<boost::beast::error_code>
read_final_head(boost::beast::tcp_stream& stream, answer_reader& reader,
                std::optional<boost::beast::http::response_parser<Body>>& parser,
                std::size_t max_head_bytes, Prepare prepare)
{
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    std::uint64_t interim_bytes = 0;
    while (interim_bytes <= max_head_bytes)
    {
        const std::uint64_t before = reader.m_received_bytes - reader.m_buffer.size();
        parser.emplace();
        parser->header_limit(static_cast<std::uint32_t>(max_head_bytes));
        prepare(*parser);
        beast::error_code error;
        while (!error && !parser->is_header_done())
        {
            error = co_await read_some(stream, reader, *parser, 0);
        }
        const unsigned status = parser->get().result_int();
        if (!error && is_final_status(status) && !has_clear_framing(parser->get()))
        {
            co_return make_error_code(http::error::bad_transfer_encoding);
        }
        if (error || is_final_status(status))
        {
            const bool is_granted = error.failed() || reader.hold(0);
            co_return is_granted ? error
                                 : make_error_code(beast::errc::not_enough_memory);
        }
        if (!is_interim_status(status))
        {
            co_return make_error_code(http::error::bad_status);
        }
        interim_bytes += reader.m_received_bytes - reader.m_buffer.size() - before;
    }
    co_return make_error_code(http::error::header_limit);
}

} // namespace geraniumdoor
