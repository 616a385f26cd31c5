#pragma once

#include <geraniumdoor/request/coordinator_actions.hpp>

#include <string_view>

namespace geraniumdoor
{

/// Name of the code in answers and log lines, as the caller API has it.
std::string_view name_of(answer_code code);

std::string_view name_of(ran_state ran);

} // namespace geraniumdoor
