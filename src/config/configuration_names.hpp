#pragma once

#include <geraniumdoor/config/configuration.hpp>
#include <geraniumdoor/config/document_reader.hpp>

namespace geraniumdoor
{

inline constexpr std::pair<std::string_view, stage_kind> stage_kind_rows[] = {
    {"encode", stage_kind::encode},   {"retrieve", stage_kind::retrieve},
    {"rerank", stage_kind::rerank},   {"generate", stage_kind::generate},
    {"service", stage_kind::service},
};

inline constexpr std::pair<std::string_view, data_centre_state> data_centre_state_rows[] =
    {
        {"in", data_centre_state::in},
        {"out", data_centre_state::out},
};

inline constexpr enum_names<stage_kind> stage_kind_names{stage_kind_rows};
inline constexpr enum_names<data_centre_state> data_centre_state_names{
    data_centre_state_rows};

} // namespace geraniumdoor
