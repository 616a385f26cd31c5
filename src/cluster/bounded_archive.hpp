#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace geraniumdoor
{

/// Reads the layout of cereal::PortableBinaryOutputArchive in little-endian form from
/// memory. cereal's own input archive resizes a container to the length it reads before
/// it looks for the bytes; this one compares each length with the bytes that remain.
/// Throws cereal::Exception on malformed input.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_input_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_input_archive,
                               cereal::AllowEmptyClassElision>{this}
        , m_rest{bytes}
    {
        std::uint8_t little_endian = 0;
        read(&little_endian, 1);
        if (little_endian != 1)
        {
            throw cereal::Exception("byte order mark is not 1");
        }
    }

    void read(void* data, std::size_t size)
    {
        require(size);
        std::memcpy(data, m_rest.data(), size);
        m_rest.remove_prefix(size);
    }

    /// Throws unless at least size bytes remain.
    void require(std::uint64_t size) const
    {
        if (size > m_rest.size())
        {
            throw cereal::Exception("length exceeds the remaining bytes");
        }
    }

    bool at_end() const
    {
        return m_rest.empty();
    }

private:
    std::string_view m_rest;
};

static_assert(std::endian::native == std::endian::little,
              "numbers are read without conversion");

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>)
    {
        std::uint8_t byte = 0;
        archive.read(&byte, 1);
        if (byte > 1)
        {
            throw cereal::Exception("truth value is neither 0 nor 1");
        }
        value = byte == 1;
    }
    else
    {
        archive.read(&value, sizeof(T));
    }
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::SizeTag<T>& tag)
{
    std::uint64_t size = 0;
    archive.read(&size, sizeof(size));
    // Each element takes at least one byte.
    archive.require(size);
    tag.size = static_cast<std::remove_reference_t<T>>(size);
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive,
                               cereal::BinaryData<T>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

/// Grows the list element by element, so that memory follows the bytes that were read.
template<class T, class Allocator>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive,
                               std::vector<T, Allocator>& list)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    list.clear();
    for (cereal::size_type at = 0; at < size; ++at)
    {
        T element{};
        archive(element);
        list.push_back(std::move(element));
    }
}

} // namespace geraniumdoor

/// Tells cereal which output archive writes the layout; it asks for enumerations.
template<>
struct cereal::traits::detail::get_output_from_input<geraniumdoor::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};
