#include <geraniumdoor/cluster/datagrams.hpp>

namespace geraniumdoor
{

const char* to_text(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::leaving:
        return "leaving";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        return "left";
    }
    return "unknown";
}

const char* to_text(store_access access)
{
    switch (access)
    {
    case store_access::unused:
        return "unused";
    case store_access::reading:
        return "reading";
    case store_access::failing:
        return "failing";
    case store_access::retrying:
        return "retrying";
    }
    return "unknown";
}

} // namespace geraniumdoor
