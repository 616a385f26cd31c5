#pragma once

#include <geraniumdoor/config/configuration.hpp>

#include <string>

namespace geraniumdoor
{

/// State of a data centre that is in force before the table service has it (section 5.7
/// of the design page). It travels in membership datagrams.
struct urgent_state
{
    data_centre_id m_data_centre;
    data_centre_state m_state = data_centre_state::in;
    data_centre_mark m_mark;
    std::string m_operator;

    bool operator==(const urgent_state&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_data_centre, m_state, m_mark, m_operator);
    }
};

/// Whether the left state comes later in the order of changes: by base version and
/// counter, then "out" before "in", then by the larger change id. All nodes that know
/// both therefore agree on one.
bool overrules(const urgent_state& left, const urgent_state& right);

/// State of the data centre as the configuration has it.
urgent_state stored_state(const data_centre_config& row);

/// Mark of a new change of the data centre that is made while the given state is in
/// force.
data_centre_mark next_mark(const urgent_state& in_force, config_version version,
                           const change_id& change);

} // namespace geraniumdoor
