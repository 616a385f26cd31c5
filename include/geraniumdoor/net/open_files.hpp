#pragma once

#include <cstdint>

namespace geraniumdoor
{

/// Descriptors that this process may open: what the system allows it, or what is
/// configured if that is less. Zero configures nothing.
std::uint32_t allowed_open_files(std::uint32_t configured);

} // namespace geraniumdoor
