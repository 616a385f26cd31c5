#include "sheet_stages.hpp"

#include <geraniumdoor/config/document_reader.hpp>

#include <optional>

namespace geraniumdoor
{

namespace
{

constexpr const char* stage_form =
    "must be \"NAME POOL/OPERATION [once] [after EARLIER]\" for each stage, separated by "
    "\";\"";

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::vector<std::string_view> words_of(std::string_view text)
{
    std::vector<std::string_view> words;
    for (const auto word : split(text, ' '))
    {
        if (!word.empty())
        {
            words.push_back(word);
        }
    }
    return words;
}

std::string stage_fault(std::size_t index, const std::string& message)
{
    return "stage " + std::to_string(index + 1) + ' ' + message;
}

std::optional<stage_index> find_stage(const std::vector<stage_config>& stages,
                                      std::string_view name)
{
    for (std::uint32_t i = 0; i < stages.size(); ++i)
    {
        if (stages[i].m_name == name)
        {
            return stage_index{i};
        }
    }
    return std::nullopt;
}

/// Reads "NAME POOL/OPERATION".
std::optional<stage_config> parse_target(const std::vector<std::string_view>& words)
{
    if (words.size() < 2)
    {
        return std::nullopt;
    }
    const auto target = split(words[1], '/');
    if (target.size() != 2 || !is_id(words[0]) || !is_id(target[0]) || !is_id(target[1]))
    {
        return std::nullopt;
    }
    stage_config stage;
    stage.m_name = words[0];
    stage.m_pool.m_value = target[0];
    stage.m_operation = target[1];
    return stage;
}

result<stage_config, std::string> parse_stage(std::string_view text,
                                              const std::vector<stage_config>& earlier)
{
    const auto words = words_of(text);
    auto stage = parse_target(words);
    if (!stage)
    {
        return stage_fault(earlier.size(), stage_form);
    }
    std::size_t next = 2;
    if (next < words.size() && words[next] == "once")
    {
        stage->m_idempotent = false;
        ++next;
    }
    if (next + 1 < words.size() && words[next] == "after")
    {
        stage->m_required_after = find_stage(earlier, words[next + 1]);
        if (!stage->m_required_after)
        {
            return stage_fault(earlier.size(), "names no earlier stage after \"after\"");
        }
        next += 2;
    }
    if (next != words.size())
    {
        return stage_fault(earlier.size(), stage_form);
    }
    return *stage;
}

} // namespace

result<std::vector<stage_config>, std::string> parse_sheet_stages(std::string_view text)
{
    std::vector<stage_config> stages;
    for (const auto part : split(text, ';'))
    {
        auto stage = parse_stage(part, stages);
        if (!is_ok(stage))
        {
            return error_of(stage);
        }
        stages.push_back(value_of(std::move(stage)));
    }
    return stages;
}

} // namespace geraniumdoor
