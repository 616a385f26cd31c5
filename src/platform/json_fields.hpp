#pragma once

#include <geraniumdoor/platform/decode_error.hpp>

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Parses JSON text whose top value is an object. Nesting is limited to 32 levels by the
/// parser.
inline std::optional<boost::json::object> parse_object(std::string_view text)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    if (error || not value.is_object())
    {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

inline std::optional<std::string> string_field(const boost::json::object& object,
                                               std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (value == nullptr || not value->is_string())
    {
        return std::nullopt;
    }
    return std::string{value->get_string()};
}

/// Returns the field if it is an integer in the range of the type.
template<class Integer>
std::optional<Integer> integer_field(const boost::json::object& object,
                                     std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (value == nullptr || not(value->is_int64() || value->is_uint64()))
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto number = value->to_number<Integer>(error);
    return error ? std::nullopt : std::optional<Integer>{number};
}

inline decode_error missing_field(std::string_view name)
{
    return decode_error{"field \"" + std::string{name} + "\" is missing or malformed"};
}

inline decode_error not_an_object()
{
    return decode_error{"the text is not a JSON object"};
}

} // namespace geraniumdoor
