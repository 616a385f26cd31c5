#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor::serving
{

/// Position of a reader in a stream of server-sent events. Lines end with LF, CRLF or CR;
/// an event ends with an empty line.
struct event_position
{
    /// The current line has bytes.
    bool m_line_begun = false;
    /// The current line is a comment.
    bool m_comment = false;
    /// The current event has a line other than a comment.
    bool m_event_begun = false;
    /// The current block of lines, which an empty line ends, has a line.
    bool m_block_begun = false;
    /// The last byte was CR; LF after it belongs to the same line end.
    bool m_after_cr = false;
};

/// End of an event, or of a block of comments, which an empty line ends as well.
struct event_end
{
    /// Number of bytes up to and including the empty line.
    std::size_t m_size = 0;
    bool m_is_comment = false;
};

/// Advances to the end of the next event or block of comments; empty if the bytes end
/// before. Continue with the remaining bytes.
std::optional<event_end> find_event_end(event_position& position, std::string_view bytes);

/// Value of the id field of an event; empty if it has none.
std::string event_id(std::string_view event);

/// Bytes of an event whose end has not arrived. Kept in blocks, so that a long event is
/// neither copied nor held twice while it grows.
struct partial_event
{
    std::vector<std::string> m_blocks;
};

void append(partial_event& event, std::string_view bytes);

std::size_t size_of(const partial_event& event);

/// Returns all bytes and begins anew.
std::string take(partial_event& event);

/// Whether the stream ends in the middle of an event or of a line if no byte follows.
bool is_inside_event(const event_position& position);

} // namespace geraniumdoor::serving
