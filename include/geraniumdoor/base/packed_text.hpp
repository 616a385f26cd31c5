#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Compresses a text in the deflate format. JSON shrinks to about a tenth.
std::string pack_text(std::string_view text);

/// Returns the text that pack_text compressed; empty when the bytes are damaged or the
/// text is longer than the limit.
/// @param longest in bytes
std::optional<std::string> unpack_text(std::string_view packed, std::size_t longest);

} // namespace geraniumdoor
