#include "program_support.hpp"

#include <glog/logging.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

namespace geraniumdoor
{

std::variant<std::string, file_error> read_text_file(const std::string& path,
                                                     std::size_t max_bytes)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return file_error{path + ": " + std::strerror(errno)};
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > max_bytes)
    {
        return file_error{path + ": larger than " + std::to_string(max_bytes) + " bytes"};
    }
    return text.str();
}

void start_logging(const char* program, const std::string& directory, bool to_stderr)
{
    FLAGS_logtostderr = directory.empty();
    FLAGS_alsologtostderr = to_stderr;
    FLAGS_log_prefix = true;
    FLAGS_logbuflevel = -1;
    if (!directory.empty())
    {
        FLAGS_log_dir = directory;
    }
    google::InitGoogleLogging(program);
}

int run_program(const std::string& name, int count, char** values,
                const std::function<cxxopts::Options()>& make_options,
                const std::function<int(const cxxopts::ParseResult&)>& run)
{
    try
    {
        auto options = make_options();
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") != 0)
        {
            std::cout << options.help();
            return exit_ok;
        }
        if (arguments.count("version") != 0)
        {
            std::cout << name << ' ' << GD_VERSION << '\n';
            return exit_ok;
        }
        return run(arguments);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << name << ": " << error.what() << "; see --help\n";
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << name << ": " << error.what() << '\n';
        return exit_failed;
    }
}

namespace
{

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT})
    {
        sigaddset(&signals, signal);
    }
    return signals;
}

} // namespace

void hold_signals()
{
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void release_signals()
{
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace geraniumdoor
