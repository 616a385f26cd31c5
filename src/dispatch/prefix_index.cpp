#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/dispatch/prefix_index.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

constexpr std::size_t block_bytes = 256;
/// Bounds the time of one dispatch decision for long prompts.
constexpr std::size_t max_blocks = 16;
/// Bounds the memory to about 2 MB for each pool.
constexpr std::size_t max_prefixes = 16384;

} // namespace

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    const std::size_t blocks = std::min(prompt.size() / block_bytes, max_blocks);
    hashes.reserve(blocks);
    std::uint64_t chained = 0;
    for (std::size_t i = 0; i < blocks; ++i)
    {
        const auto block = stable_hash(prompt.substr(i * block_bytes, block_bytes));
        chained = chained * 0x9e3779b97f4a7c15ULL + block;
        hashes.push_back(chained);
    }
    return hashes;
}

void record_prefix(prefix_index& index, const std::vector<std::uint64_t>& hashes,
                   const upstream_id& upstream)
{
    for (const std::uint64_t hash : hashes)
    {
        const auto [at, inserted] = index.m_last_served.insert_or_assign(hash, upstream);
        if (inserted)
        {
            index.m_order.push_back(hash);
        }
    }
    while (index.m_order.size() > max_prefixes)
    {
        index.m_last_served.erase(index.m_order.front());
        index.m_order.pop_front();
    }
}

} // namespace geraniumdoor
