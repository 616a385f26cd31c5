#include <geraniumdoor/serving/event_stream.hpp>

namespace geraniumdoor::serving
{

namespace
{

/// Returns whether the line end is that of an empty line after a block.
bool end_line(event_position& position)
{
    if (position.m_line_begun)
    {
        position.m_event_begun = position.m_event_begun || !position.m_comment;
        position.m_block_begun = true;
        position.m_line_begun = false;
        return false;
    }
    const bool ends_block = position.m_block_begun;
    position.m_block_begun = false;
    position.m_event_begun = false;
    return ends_block;
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

std::optional<std::size_t> find_event_end(event_position& position,
                                          std::string_view bytes)
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
        if (end_line(position))
        {
            const bool with_line_feed =
                byte == '\r' && at + 1 < bytes.size() && bytes[at + 1] == '\n';
            if (with_line_feed)
            {
                position.m_after_cr = false;
            }
            return at + (with_line_feed ? 2 : 1);
        }
    }
    return std::nullopt;
}

bool is_inside_event(const event_position& position)
{
    return position.m_line_begun || position.m_event_begun;
}

} // namespace geraniumdoor::serving
