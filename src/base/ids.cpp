#include <geraniumdoor/base/ids.hpp>

namespace geraniumdoor
{

std::string to_string(const request_id& id)
{
    return id.m_node.m_value + '.' + std::to_string(id.m_incarnation.m_value) + '.' +
           std::to_string(id.m_counter);
}

} // namespace geraniumdoor
