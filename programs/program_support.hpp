#pragma once

#include <cxxopts.hpp>

#include <cstddef>
#include <functional>
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

/// Parses the command line, answers --help and --version, and runs the program. Returns
/// its exit code: exit_usage for a wrong command line, exit_failed for any other
/// exception.
int run_program(const std::string& name, int count, char** values,
                const std::function<cxxopts::Options()>& make_options,
                const std::function<int(const cxxopts::ParseResult&)>& run);

/// Holds SIGHUP, SIGTERM and SIGINT back while their handlers are not in place: in the
/// first milliseconds of a process, and after its planned stop. A signal would end it by
/// its default action.
void hold_signals();

/// Delivers what was held back, and all signals from now on.
void release_signals();

} // namespace geraniumdoor
