#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Calls the decoder with every proper prefix of a valid text. Returns the number of
/// prefixes that it accepted.
template<class Decode>
std::size_t accepted_prefixes(std::string_view whole, Decode decode)
{
    std::size_t accepted = 0;
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        accepted += decode(whole.substr(0, length)) ? 1 : 0;
    }
    return accepted;
}

/// Returns the text with one byte replaced.
inline std::string with_byte(std::string text, std::size_t position, char byte)
{
    text[position % text.size()] = byte;
    return text;
}
