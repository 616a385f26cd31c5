#pragma once

#include <string>
#include <variant>

namespace geraniumdoor
{

/// Exit codes of all programs.
enum exit_code : int
{
    exit_ok = 0,
    /// The program ran and the request failed.
    exit_failed = 1,
    /// The command line or a settings file is wrong.
    exit_usage = 2,
};

struct file_error
{
    std::string m_message;
};

/// Reads a whole file of at most max_bytes.
std::variant<std::string, file_error> read_text_file(const std::string& path,
                                                     std::size_t max_bytes);

/// Sets up glog: to standard error, or to files in the directory when it is not empty.
void start_logging(const char* program, const std::string& directory, bool to_stderr);

} // namespace geraniumdoor
