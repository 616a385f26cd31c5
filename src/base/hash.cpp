#include <geraniumdoor/base/hash.hpp>

#include <xxhash.h>

#include <cstdio>

namespace geraniumdoor
{

std::uint64_t stable_hash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string digest_hex(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text;
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view node)
{
    const std::uint64_t seed = stable_hash(key);
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

} // namespace geraniumdoor
