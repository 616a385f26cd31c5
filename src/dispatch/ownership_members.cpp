#include "ownership_internal.hpp"

#include <geraniumdoor/base/hash.hpp>

#include <algorithm>

namespace geraniumdoor::ownership_detail
{

namespace
{

/// The interval grows by 27 ms with each node, so that 370 nodes together write 37 rows
/// per second.
constexpr milliseconds renewal_interval_per_node{27};
constexpr milliseconds min_renewal_interval{2000};
constexpr milliseconds min_scan_interval{3000};
/// With more nodes, a scan of all rows by every node every 3 s would exceed the budget of
/// 14 KB/s for control traffic.
constexpr std::size_t nodes_at_min_scan_interval = 18;

std::size_t live_count(const ownership_state& state)
{
    std::size_t live = 1;
    for (const member_view& member : state.m_members)
    {
        live += member.m_state == member_liveness::live ? 1 : 0;
    }
    return live;
}

struct ranked_node
{
    bool m_remote = false;
    std::uint64_t m_weight = 0;
    lease_guarantor m_process;
};

bool ranks_before(const ranked_node& a, const ranked_node& b)
{
    if (a.m_remote != b.m_remote)
    {
        return b.m_remote;
    }
    return a.m_weight != b.m_weight ? a.m_weight > b.m_weight : a.m_process < b.m_process;
}

std::vector<ranked_node> rank_others(const ownership_state& state, std::string_view key,
                                     const data_centre_id& data_centre)
{
    std::vector<ranked_node> ranked;
    for (const member_view& member : state.m_members)
    {
        if (member.m_state == member_liveness::live)
        {
            ranked.push_back({member.m_data_centre != data_centre,
                              rendezvous_weight(key, member.m_node.m_value),
                              {member.m_node, member.m_incarnation}});
        }
    }
    std::sort(ranked.begin(), ranked.end(), ranks_before);
    return ranked;
}

} // namespace

duration renewal_interval(const ownership_state& state)
{
    const auto nodes = static_cast<int>(live_count(state));
    return std::max(min_renewal_interval, renewal_interval_per_node * nodes);
}

duration scan_interval(const ownership_state& state)
{
    const double factor =
        static_cast<double>(live_count(state)) / nodes_at_min_scan_interval;
    const double ms = static_cast<double>(min_scan_interval.count());
    return milliseconds{static_cast<std::int64_t>(ms * std::max(1.0, factor))};
}

const member_view* find_member(const ownership_state& state, const node_id& node)
{
    for (const member_view& member : state.m_members)
    {
        if (member.m_node == node)
        {
            return &member;
        }
    }
    return nullptr;
}

bool is_live(const ownership_state& state, const lease_guarantor& process)
{
    const member_view* member = find_member(state, process.m_node);
    return member != nullptr && member->m_state == member_liveness::live &&
           member->m_incarnation == process.m_incarnation;
}

bool is_suspected(const ownership_state& state, const lease_guarantor& process)
{
    const member_view* member = find_member(state, process.m_node);
    if (member == nullptr || member->m_incarnation > process.m_incarnation)
    {
        return true;
    }
    return member->m_state == member_liveness::suspected ||
           member->m_state == member_liveness::left;
}

bool is_proven_gone(const ownership_state& state, const lease_guarantor& process)
{
    if (process.m_node == state.m_settings.m_node)
    {
        return process.m_incarnation < state.m_settings.m_incarnation;
    }
    const member_view* member = find_member(state, process.m_node);
    if (member == nullptr)
    {
        return false;
    }
    return member->m_incarnation > process.m_incarnation ||
           (member->m_incarnation == process.m_incarnation &&
            member->m_state == member_liveness::left);
}

node_id first_candidate(const ownership_state& state, std::string_view key,
                        const data_centre_id& data_centre)
{
    auto ranked = rank_others(state, key, data_centre);
    if (!state.m_stopping)
    {
        const ownership_settings& self = state.m_settings;
        ranked.push_back({self.m_data_centre != data_centre,
                          rendezvous_weight(key, self.m_node.m_value),
                          {self.m_node, self.m_incarnation}});
    }
    const auto first = std::min_element(ranked.begin(), ranked.end(), ranks_before);
    return first == ranked.end() ? node_id{} : first->m_process.m_node;
}

std::vector<lease_guarantor> nearest_live_processes(const ownership_state& state,
                                                    std::string_view key,
                                                    std::size_t most)
{
    std::vector<lease_guarantor> others;
    for (const auto& node : rank_others(state, key, state.m_settings.m_data_centre))
    {
        if (others.size() < most)
        {
            others.push_back(node.m_process);
        }
    }
    return others;
}

} // namespace geraniumdoor::ownership_detail
