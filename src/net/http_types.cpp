#include <geraniumdoor/net/http_types.hpp>

#include <boost/beast/core/string.hpp>

#include <cctype>

namespace geraniumdoor
{

namespace
{

bool is_unreserved(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' ||
           c == '_' || c == '~';
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    const int lower = std::tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::string_view find_field(const http_fields& fields, std::string_view name)
{
    for (const auto& [key, value] : fields)
    {
        if (boost::beast::iequals(key, name))
        {
            return value;
        }
    }
    return {};
}

const char* to_text(http_error_kind kind)
{
    switch (kind)
    {
    case http_error_kind::connect_failed:
        return "connect_failed";
    case http_error_kind::no_socket:
        return "no_socket";
    case http_error_kind::timeout:
        return "timeout";
    case http_error_kind::closed:
        return "closed";
    case http_error_kind::tunnel_closed:
        return "tunnel_closed";
    case http_error_kind::malformed:
        return "malformed";
    case http_error_kind::too_large:
        return "too_large";
    case http_error_kind::no_memory:
        return "no_memory";
    case http_error_kind::aborted:
        return "aborted";
    }
    return "unknown";
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text)
    {
        if (is_unreserved(c))
        {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 0x0f];
    }
    return encoded;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const bool complete = text[at] == '%' && at + 2 < text.size();
        const int high = complete ? hex_value(text[at + 1]) : -1;
        const int low = complete ? hex_value(text[at + 2]) : -1;
        if (high < 0 || low < 0)
        {
            decoded += text[at];
            continue;
        }
        decoded += static_cast<char>(high * 16 + low);
        at += 2;
    }
    return decoded;
}

} // namespace geraniumdoor
