#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// Reads the stages of a pipeline as a sheet gives them, or tells what is wrong.
result<std::vector<stage_config>, std::string> parse_sheet_stages(std::string_view text);

} // namespace geraniumdoor
