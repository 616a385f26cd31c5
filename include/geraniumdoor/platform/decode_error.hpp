#pragma once

#include <string>

namespace geraniumdoor
{

/// Text that does not follow the protocol of a platform service.
struct decode_error
{
    /// What is wrong, naming the field.
    std::string m_detail;

    bool operator==(const decode_error&) const = default;
};

} // namespace geraniumdoor
