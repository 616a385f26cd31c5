#include <geraniumdoor/base/packed_text.hpp>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace zlib = boost::beast::zlib;

namespace
{

/// Fastest level: on a configuration of 1,500 routes the best one saves little more.
constexpr int level = 1;

/// Window of 8 KB and little working memory, because the resident set is billed.
constexpr int window_bits = 13;
constexpr int memory_level = 6;

/// Bytes behind the last code that the decoder may look at.
constexpr std::size_t look_ahead = 4;

/// Bytes by which an output grows.
constexpr std::size_t output_step = std::size_t{64} * 1024;

} // namespace

std::string pack_text(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    std::string packed;
    zlib::z_params bytes;
    bytes.next_in = text.data();
    bytes.avail_in = text.size();
    boost::system::error_code status;
    while (status != zlib::error::end_of_stream)
    {
        packed.resize(bytes.total_out + output_step);
        bytes.next_out = packed.data() + bytes.total_out;
        bytes.avail_out = output_step;
        stream.write(bytes, zlib::Flush::finish, status);
    }
    packed.resize(bytes.total_out);
    return packed;
}

std::optional<std::string> unpack_text(std::string_view packed, std::size_t longest)
{
    zlib::inflate_stream stream;
    stream.reset(window_bits);
    std::string text;
    // The decoder looks up the last code with bits that follow it.
    const std::string input = std::string{packed} + std::string(look_ahead, '\0');
    zlib::z_params bytes;
    bytes.next_in = input.data();
    bytes.avail_in = input.size();
    while (true)
    {
        const std::size_t used = bytes.total_out;
        if (used > longest)
        {
            return std::nullopt;
        }
        text.resize(used + output_step);
        bytes.next_out = text.data() + used;
        bytes.avail_out = output_step;
        boost::system::error_code status;
        stream.write(bytes, zlib::Flush::sync, status);
        if (status == zlib::error::end_of_stream)
        {
            text.resize(bytes.total_out);
            return text.size() <= longest ? std::optional{std::move(text)} : std::nullopt;
        }
        const bool stuck = bytes.total_out == used;
        if ((status && status != zlib::error::need_buffers) || stuck)
        {
            return std::nullopt;
        }
    }
}

} // namespace geraniumdoor
