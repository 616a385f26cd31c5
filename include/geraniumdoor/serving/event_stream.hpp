#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

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

/// Advances to the end of the next event, or of the next block of comments. Returns the
/// number of bytes up to and including the empty line that ends it; empty if the bytes
/// end before. Continue with the remaining bytes.
std::optional<std::size_t> find_event_end(event_position& position,
                                          std::string_view bytes);

/// Whether the stream ends in the middle of an event or of a line if no byte follows.
bool is_inside_event(const event_position& position);

} // namespace geraniumdoor::serving
