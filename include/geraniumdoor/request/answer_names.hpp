#pragma once

#include <geraniumdoor/request/coordinator_actions.hpp>

#include <string_view>

namespace geraniumdoor
{

/// Name of the code in the caller API, in answers and log lines.
std::string_view name_of(answer_code code);

/// Name of the state in the caller API, in answers and log lines.
std::string_view name_of(ran_state ran);

} // namespace geraniumdoor
