#include "standins.hpp"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>

#include <unistd.h>

// Runs one case: case_main NAME FOLDER. Exit codes: 0 the rule held, 1 it was broken, 2
// the case could not run.

int main(int count, char** values)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, review::scenario> scenarios{
        {"resumed_stream", &review::resumed_stream},
        {"refused_run", &review::refused_run},
        {"idle_restart", &review::idle_restart},
        {"odd_entry", &review::odd_entry},
        {"coded_answer", &review::coded_answer},
    };
    constexpr int failed = 2;
    if (count != 3 || !scenarios.contains(values[1]))
    {
        std::cerr << "case_main NAME FOLDER\n";
        return failed;
    }
    const char* const trouble = std::getenv("TROUBLE");
    review::setup place;
    place.m_case = values[2];
    place.m_trouble = trouble == nullptr || std::string{trouble} != "0";
    const auto folder = std::filesystem::temp_directory_path() /
                        ("gd_review_" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    place.m_temporary = folder;
    int result = failed;
    try
    {
        result = scenarios.at(values[1])(place);
    }
    catch (const std::exception& error)
    {
        std::cerr << "the case could not run: " << error.what() << '\n';
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
    {
        std::filesystem::remove_all(folder);
    }
    return result;
}
