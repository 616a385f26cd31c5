#include <geraniumdoor/cluster/datagrams.hpp>

#include <tuple>

namespace geraniumdoor
{

bool supersedes(const urgent_state& a, const urgent_state& b)
{
    const auto rank = [](const urgent_state& state)
    {
        const bool out = state.m_state == data_centre_state::out;
        return std::tuple{state.m_base, state.m_counter, out, state.m_change};
    };
    return rank(a) > rank(b);
}

} // namespace geraniumdoor
