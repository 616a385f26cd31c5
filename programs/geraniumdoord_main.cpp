#include "program_support.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/daemon/entry_daemon.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <iostream>

using namespace geraniumdoor;

namespace
{

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "geraniumdoord",
        "Entry daemon: serves callers, dispatches to upstreams.\n"
        "Exit codes: 0 stopped as planned, 1 failed, 2 wrong command line or settings."};
    options.add_options()("settings", "settings file, JSON with comments",
                          cxxopts::value<std::string>(),
                          "FILE")("check", "check the settings and exit")(
        "version", "print the version and exit")("help", "print this text and exit");
    return options;
}

/// Milliseconds since 1970, so that a restarted process has a higher incarnation.
incarnation incarnation_now()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<milliseconds>(now).count();
    return {static_cast<std::uint64_t>(count)};
}

/// Runs until the planned stop that SIGTERM or SIGINT starts has ended.
int serve(daemon_settings settings)
{
    boost::asio::io_context io{1};
    entry_daemon daemon{io, std::move(settings), incarnation_now()};
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait(
        [&](boost::system::error_code error, int)
        {
            if (!error)
            {
                daemon.begin_stop(
                    [&io]
                    {
                        io.stop();
                    });
            }
        });
    release_signals();
    daemon.start();
    io.run();
    hold_signals();
    return exit_ok;
}

int run(const cxxopts::ParseResult& arguments)
{
    if (!arguments.unmatched().empty())
    {
        std::cerr << "geraniumdoord: \"" << arguments.unmatched().front()
                  << "\" is not an option; see --help\n";
        return exit_usage;
    }
    if (arguments.count("settings") == 0)
    {
        std::cerr << "geraniumdoord: the option --settings FILE is required\n";
        return exit_usage;
    }
    const auto path = arguments["settings"].as<std::string>();
    const auto text = read_text_file(path, max_settings_bytes);
    if (const auto* error = std::get_if<file_error>(&text))
    {
        std::cerr << "geraniumdoord: " << error->m_message << '\n';
        return exit_usage;
    }
    auto settings = parse_daemon_settings(std::get<std::string>(text));
    if (!is_ok(settings))
    {
        std::cerr << path << ": " << to_text(error_of(settings)) << '\n';
        return exit_usage;
    }
    if (arguments.count("check") != 0)
    {
        std::cout << path << ": the settings are valid\n";
        return exit_ok;
    }
    const auto& checked = value_of(settings);
    start_logging("geraniumdoord", checked.m_log_directory, checked.m_log_to_stderr);
    return serve(std::move(value_of(settings)));
}

} // namespace

int main(int count, char** values)
{
    hold_signals();
    return run_program("geraniumdoord", count, values, make_options, run);
}
