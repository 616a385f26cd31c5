#include "membership_internal.hpp"

#include <algorithm>
#include <utility>

namespace geraniumdoor::membership_detail
{

namespace
{

void drop_oldest(membership_state& state, std::size_t count)
{
    std::vector<std::pair<time_point, node_id>> by_age;
    for (const auto& [node, proof] : state.m_gone)
    {
        if (state.m_members.find(node) == nullptr)
        {
            by_age.emplace_back(proof.m_recorded, node);
        }
    }
    count = std::min(count, by_age.size());
    const auto middle = by_age.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(by_age.begin(), middle, by_age.end());
    std::for_each(by_age.begin(), middle,
                  [&](const auto& entry)
                  {
                      state.m_gone.erase(entry.second);
                  });
}

} // namespace

void forget_old_proofs(membership_state& state, time_point now)
{
    const duration oldest = state.m_settings.m_keep_proofs;
    std::erase_if(state.m_gone,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_recorded >= oldest &&
                             state.m_members.find(entry.first) == nullptr;
                  });
    if (state.m_gone.size() > state.m_settings.m_max_proofs)
    {
        drop_oldest(state, state.m_gone.size() - state.m_settings.m_max_proofs);
    }
}

} // namespace geraniumdoor::membership_detail
