#pragma once

#include "gdctl_client.hpp"

#include <map>
#include <string>
#include <vector>

namespace geraniumdoor
{

struct invocation
{
    std::vector<std::string> m_command;
    std::string m_operator;
    std::string m_change_id;
    bool m_json = false;
    /// Confirms a command that cannot be undone.
    bool m_yes = false;
};

struct command_form
{
    std::size_t m_words = 1;
    bool m_changes = false;
    int (*m_run)(gdctl_client&, const invocation&) = nullptr;
};

/// All commands by their first word.
const std::map<std::string, command_form>& command_forms();

/// Prints what is wrong with the command line, and returns the exit code for it.
int usage_error(const std::string& message);

} // namespace geraniumdoor
