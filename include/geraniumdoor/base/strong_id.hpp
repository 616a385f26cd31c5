#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace geraniumdoor
{

/// Text identifier that does not convert to identifiers with another tag.
template<class Tag>
struct string_id
{
    std::string m_value;

    auto operator<=>(const string_id&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_value);
    }
};

/// Number that does not convert to numbers with another tag.
template<class Tag, class Rep = std::uint64_t>
struct strong_number
{
    Rep m_value{};

    auto operator<=>(const strong_number&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_value);
    }
};

template<class Tag>
std::ostream& operator<<(std::ostream& out, const string_id<Tag>& id)
{
    return out << id.m_value;
}

template<class Tag, class Rep>
std::ostream& operator<<(std::ostream& out, const strong_number<Tag, Rep>& number)
{
    return out << number.m_value;
}

} // namespace geraniumdoor

template<class Tag>
struct std::hash<geraniumdoor::string_id<Tag>>
{
    std::size_t operator()(const geraniumdoor::string_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.m_value);
    }
};

template<class Tag, class Rep>
struct std::hash<geraniumdoor::strong_number<Tag, Rep>>
{
    std::size_t
    operator()(const geraniumdoor::strong_number<Tag, Rep>& number) const noexcept
    {
        return std::hash<Rep>{}(number.m_value);
    }
};
