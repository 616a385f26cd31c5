#include <geraniumdoor/request/answer_names.hpp>

namespace geraniumdoor
{

std::string_view name_of(answer_code code)
{
    switch (code)
    {
    case answer_code::ok:
        return "ok";
    case answer_code::overloaded:
        return "overloaded";
    case answer_code::deadline_exceeded:
        return "deadline_exceeded";
    case answer_code::claims_unavailable:
        return "claims_unavailable";
    case answer_code::key_reused:
        return "key_reused";
    case answer_code::in_progress:
        return "in_progress";
    case answer_code::in_doubt:
        return "in_doubt";
    case answer_code::upstream_failed:
        return "upstream_failed";
    case answer_code::incomplete:
        return "incomplete";
    case answer_code::stopping:
        return "stopping";
    case answer_code::not_ready:
        return "not_ready";
    }
    return "unknown";
}

std::string_view name_of(ran_state ran)
{
    switch (ran)
    {
    case ran_state::not_run:
        return "not_run";
    case ran_state::ran:
        return "ran";
    case ran_state::in_progress:
        return "in_progress";
    case ran_state::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace geraniumdoor
