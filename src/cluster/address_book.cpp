#include <geraniumdoor/cluster/address_book.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace geraniumdoor
{

namespace
{

/// How well a member suits callers; lower is better.
enum class suitability : std::uint8_t
{
    serving,
    /// Leaving or suspected.
    doubtful,
    /// Its data centre is out.
    last_resort,
};

suitability rate(const member_update& info, const data_centre_out& is_out)
{
    if (is_out(info.m_data_centre))
    {
        return suitability::last_resort;
    }
    const bool serving = info.m_state == member_state::alive && !info.m_leaving;
    return serving ? suitability::serving : suitability::doubtful;
}

std::vector<const member_update*> best_members(const std::vector<member_update>& live,
                                               const data_centre_out& is_out)
{
    auto best = suitability::last_resort;
    for (const member_update& info : live)
    {
        best = std::min(best, rate(info, is_out));
    }
    std::vector<const member_update*> chosen;
    for (const member_update& info : live)
    {
        if (rate(info, is_out) == best)
        {
            chosen.push_back(&info);
        }
    }
    return chosen;
}

/// Exponential variate whose rate is the weight: ascending order is a weighted random
/// order. A full node keeps a weight of 1, because hints are late.
double draw_key(const member_update& info, random_source& random)
{
    const double weight = 1.0 + info.m_free_capacity;
    return -std::log1p(-uniform_unit(random)) / weight;
}

} // namespace

address_answer make_address_answer(const address_settings& settings,
                                   const std::vector<member_update>& live,
                                   const data_centre_out& is_out, random_source& random)
{
    std::vector<std::pair<double, const member_update*>> order;
    for (const member_update* info : best_members(live, is_out))
    {
        order.emplace_back(draw_key(*info, random), info);
    }
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b)
              {
                  return a.first < b.first;
              });
    address_answer answer;
    answer.m_keep = settings.m_keep;
    for (const auto& [key, info] : order)
    {
        if (answer.m_addresses.size() >= settings.m_most_addresses)
        {
            break;
        }
        answer.m_addresses.push_back(
            caller_address{info->m_node, info->m_caller, info->m_data_centre});
    }
    return answer;
}

time_point last_mention_expires(const address_settings& settings, time_point announced)
{
    return announced + settings.m_spread_time + settings.m_transit_time + settings.m_keep;
}

} // namespace geraniumdoor
