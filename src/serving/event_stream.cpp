#include <geraniumdoor/serving/event_stream.hpp>

#include <algorithm>
#include <cstdint>

namespace geraniumdoor::serving
{

namespace
{

enum class line_end : std::uint8_t
{
    inside_block,
    ends_event,
    ends_comment,
};

line_end end_line(event_position& position)
{
    if (position.m_line_begun)
    {
        position.m_event_begun = position.m_event_begun || !position.m_comment;
        position.m_block_begun = true;
        position.m_line_begun = false;
        return line_end::inside_block;
    }
    const bool ends_block = position.m_block_begun;
    const bool ends_event = position.m_event_begun;
    position.m_block_begun = false;
    position.m_event_begun = false;
    if (!ends_block)
    {
        return line_end::inside_block;
    }
    return ends_event ? line_end::ends_event : line_end::ends_comment;
}

void add_to_line(event_position& position, char byte)
{
    if (!position.m_line_begun)
    {
        position.m_line_begun = true;
        position.m_comment = byte == ':';
    }
}

} // namespace

std::optional<event_end> find_event_end(event_position& position, std::string_view bytes)
{
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        const char byte = bytes[at];
        const bool completes_line_end = byte == '\n' && position.m_after_cr;
        position.m_after_cr = byte == '\r';
        if (completes_line_end)
        {
            continue;
        }
        if (byte != '\n' && byte != '\r')
        {
            add_to_line(position, byte);
            continue;
        }
        const line_end end = end_line(position);
        if (end == line_end::inside_block)
        {
            continue;
        }
        const bool line_feed_follows =
            byte == '\r' && at + 1 < bytes.size() && bytes[at + 1] == '\n';
        position.m_after_cr = position.m_after_cr && !line_feed_follows;
        return event_end{at + (line_feed_follows ? 2 : 1), end == line_end::ends_comment};
    }
    return std::nullopt;
}

std::string event_id(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = std::min(event.find_first_of("\r\n"), event.size());
        std::string_view line = event.substr(0, end);
        if (line.starts_with("id:"))
        {
            line.remove_prefix(3);
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            return std::string{line};
        }
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return {};
}

void append(partial_event& event, std::string_view bytes)
{
    constexpr std::size_t block_bytes = 4096;
    while (!bytes.empty())
    {
        if (event.m_blocks.empty() || event.m_blocks.back().size() == block_bytes)
        {
            // The first block is all that a usual event takes.
            const std::size_t first = std::min(bytes.size(), block_bytes);
            event.m_blocks.emplace_back().reserve(
                event.m_blocks.size() == 1 ? first : block_bytes);
        }
        std::string& last = event.m_blocks.back();
        const std::size_t size = std::min(bytes.size(), block_bytes - last.size());
        last += bytes.substr(0, size);
        bytes.remove_prefix(size);
    }
}

std::size_t size_of(const partial_event& event)
{
    std::size_t size = 0;
    for (const std::string& block : event.m_blocks)
    {
        size += block.size();
    }
    return size;
}

std::string take(partial_event& event)
{
    std::string whole;
    if (event.m_blocks.size() == 1)
    {
        whole = std::move(event.m_blocks.front());
    }
    else
    {
        whole.reserve(size_of(event));
        for (const std::string& block : event.m_blocks)
        {
            whole += block;
        }
    }
    event.m_blocks.clear();
    return whole;
}

bool is_inside_event(const event_position& position)
{
    return position.m_line_begun || position.m_event_begun;
}

} // namespace geraniumdoor::serving
