#include "program_support.hpp"

#include <geraniumdoor/base/bounded_log.hpp>
#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/edge/edge_daemon.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <iostream>

#include <malloc.h>
#include <platform/settings_file.hpp>
#include <sys/stat.h>
#include <unistd.h>

using namespace geraniumdoor;

namespace
{

constexpr std::size_t max_settings_bytes = std::size_t{64} * 1024;

/// Interval at which the settings file is checked for changes, without a signal.
constexpr milliseconds settings_poll_interval{1000};

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "geraniumdoor_edge",
        "Edge host: serves callers on the users' platform.\n"
        "Exit codes: 0 stopped as planned, 1 failed, 2 wrong command line or settings."};
    options.add_options()(
        "settings",
        "settings file, JSON with comments; default: the one that the platform generated",
        cxxopts::value<std::string>(), "FILE")("check", "check the settings and exit")(
        "version", "print the version and exit")("help", "print this text and exit");
    return options;
}

std::variant<edge::edge_settings, file_error> read_settings(const std::string& path)
{
    const auto text = read_text_file(path, max_settings_bytes);
    if (const auto* error = std::get_if<file_error>(&text))
    {
        return *error;
    }
    auto settings = edge::parse_edge_settings(std::get<std::string>(text));
    if (!is_ok(settings))
    {
        return file_error{path + ": " + to_text(error_of(settings))};
    }
    return value_of(std::move(settings));
}

/// Milliseconds since 1970, so that a restarted process has a higher incarnation.
incarnation incarnation_now()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<milliseconds>(now).count();
    return {static_cast<std::uint64_t>(count)};
}

/// Reloads the settings on SIGHUP and when the modification time of the file changes.
class settings_watcher
{
public:
    settings_watcher(boost::asio::io_context& io, edge::edge_daemon& daemon,
                     std::string path)
        : m_daemon{daemon}
        , m_path{std::move(path)}
        , m_reload_signal{io, SIGHUP}
        , m_timer{io}
    {
    }

    void start()
    {
        m_modified_at = modification_time();
        wait_for_signal();
        schedule_file_check();
    }

private:
    std::pair<std::int64_t, std::int64_t> modification_time() const
    {
        struct stat status
        {
        };
        if (::stat(m_path.c_str(), &status) != 0)
        {
            return {};
        }
        return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
    }

    void reload()
    {
        m_modified_at = modification_time();
        const auto settings = read_settings(m_path);
        if (const auto* error = std::get_if<file_error>(&settings))
        {
            // The current settings stay in force.
            log_event{"settings_rejected"}.add("reason", error->m_message);
            return;
        }
        m_daemon.apply(std::get<edge::edge_settings>(settings));
    }

    void wait_for_signal()
    {
        m_reload_signal.async_wait(
            [this](const boost::system::error_code& error, int)
            {
                if (!error)
                {
                    reload();
                    wait_for_signal();
                }
            });
    }

    void schedule_file_check()
    {
        m_timer.expires_after(settings_poll_interval);
        m_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                {
                    return;
                }
                if (modification_time() != m_modified_at)
                {
                    reload();
                }
                schedule_file_check();
            });
    }

    edge::edge_daemon& m_daemon;
    std::string m_path;
    boost::asio::signal_set m_reload_signal;
    boost::asio::steady_timer m_timer;
    std::pair<std::int64_t, std::int64_t> m_modified_at{};
};

/// Runs the host until the shutdown that SIGTERM or SIGINT starts is complete.
int serve(edge::edge_settings settings, const std::string& path)
{
    boost::asio::io_context io{1};
    edge::edge_daemon daemon{io, std::move(settings), incarnation_now()};
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait(
        [&](const boost::system::error_code& error, int)
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
    settings_watcher watcher{io, daemon, path};
    watcher.start();
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
        std::cerr << "geraniumdoor_edge: \"" << arguments.unmatched().front()
                  << "\" is not an option; see --help\n";
        return exit_usage;
    }
    const auto path = arguments.count("settings") != 0
                          ? std::optional{arguments["settings"].as<std::string>()}
                          : platform::settings_path_from_environment();
    if (!path)
    {
        std::cerr << "geraniumdoor_edge: the option --settings FILE is required\n";
        return exit_usage;
    }
    auto settings = read_settings(*path);
    if (const auto* error = std::get_if<file_error>(&settings))
    {
        std::cerr << "geraniumdoor_edge: " << error->m_message << '\n';
        return exit_usage;
    }
    if (arguments.count("check") != 0)
    {
        std::cout << *path << ": the settings are valid\n";
        return exit_ok;
    }
    bounded_log log{STDOUT_FILENO, {}};
    set_log_sink(
        [&log](std::string_view line)
        {
            log.write(line, std::chrono::steady_clock::now());
        });
    const int code = serve(std::get<edge::edge_settings>(std::move(settings)), *path);
    set_log_sink({});
    return code;
}

} // namespace

int main(int count, char** values)
{
    hold_signals();
    std::signal(SIGPIPE, SIG_IGN);
    // Returns freed memory to the system early, since hosts are billed by their resident
    // set size.
    constexpr int trim_threshold_bytes = 128 * 1024;
    ::mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
    ::mallopt(M_ARENA_MAX, 1);
    return run_program("geraniumdoor_edge", count, values, make_options, run);
}
