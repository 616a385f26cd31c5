#include <geraniumdoor/config/urgent_state.hpp>

#include <algorithm>
#include <tuple>

namespace geraniumdoor
{

namespace
{

auto order_of(const urgent_state& state)
{
    return std::tuple{state.m_mark.m_base.m_value, state.m_mark.m_counter,
                      state.m_state == data_centre_state::out,
                      std::string_view{state.m_mark.m_change.m_value}};
}

} // namespace

bool overrules(const urgent_state& left, const urgent_state& right)
{
    return order_of(left) > order_of(right);
}

urgent_state stored_state(const data_centre_config& row)
{
    return {row.m_id, row.m_state, row.m_mark, ""};
}

data_centre_mark next_mark(const urgent_state& in_force, config_version version,
                           const change_id& change)
{
    const config_version base = std::max(version, in_force.m_mark.m_base);
    const bool same_base =
        base == in_force.m_mark.m_base && !in_force.m_mark.m_change.m_value.empty();
    return {base, same_base ? in_force.m_mark.m_counter + 1 : 0, change};
}

} // namespace geraniumdoor
