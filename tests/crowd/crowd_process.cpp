#include "crowd_process.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include <sys/resource.h>

namespace geraniumdoor::test
{

namespace
{

/// Received bytes that wait in a socket, and its inode, from a line of /proc/net/tcp.
struct socket_row
{
    std::size_t m_unread = 0;
    std::string m_inode;
};

socket_row read_socket_row(const std::string& line)
{
    const std::string listening = "0A";
    std::istringstream fields{line};
    std::string skipped;
    std::string state;
    std::string queues;
    socket_row row;
    fields >> skipped >> skipped >> skipped >> state >> queues >> skipped >> skipped >>
        skipped >> skipped >> row.m_inode;
    const auto colon = queues.find(':');
    // That of a listening socket is the length of its backlog.
    if (colon != std::string::npos && state != listening)
    {
        row.m_unread = std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return row;
}

} // namespace

void crowd_process::start(const std::string& name, const std::string& settings)
{
    m_settings = std::make_unique<scratch_file>(name + "-crowd.json", settings);
    m_log = std::make_unique<scratch_file>(name + "-crowd.log", "");
    const char* directory = std::getenv("GD_PROGRAMS");
    const std::string programs = directory != nullptr ? directory : "build/check";
    // The sanitizer would keep freed memory, which counts as held.
    ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
             1);
    m_process.start({programs + '/' + name, "--settings", m_settings->path()},
                    m_log->path());
}

void crowd_process::mark_rest()
{
    m_rest_bytes = std::stoul(status_line("VmRSS:")) * 1024;
}

void crowd_process::limit_descriptors(std::size_t count) const
{
    const rlimit limit{count, count};
    ::prlimit(m_process.id(), RLIMIT_NOFILE, &limit, nullptr);
}

void crowd_process::wait_until_idle() const
{
    // A process at rest takes less, also with sanitizers; the number bounds the test.
    constexpr long busy_ticks = 10;
    constexpr std::chrono::milliseconds interval{500};
    constexpr int intervals = 60;
    long before = processor_ticks();
    for (int at = 0; at < intervals; ++at)
    {
        std::this_thread::sleep_for(interval);
        const long now = processor_ticks();
        if (now - before < busy_ticks)
        {
            return;
        }
        before = now;
    }
}

bool crowd_process::is_alive()
{
    return m_process.running() && !m_process.take_end();
}

std::size_t crowd_process::grown_bytes() const
{
    const std::size_t peak = std::stoul(status_line("VmHWM:")) * 1024;
    return peak - std::min(peak, m_rest_bytes);
}

std::size_t crowd_process::open_descriptors() const
{
    const std::filesystem::path place = "/proc/" + std::to_string(m_process.id()) + "/fd";
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator at{place, error}, last; at != last;
         at.increment(error))
    {
        ++count;
    }
    return count;
}

std::size_t crowd_process::unread_bytes() const
{
    const std::filesystem::path place = "/proc/" + std::to_string(m_process.id()) + "/fd";
    std::set<std::string> inodes;
    std::error_code error;
    for (std::filesystem::directory_iterator at{place, error}, last; at != last;
         at.increment(error))
    {
        const std::string target =
            std::filesystem::read_symlink(at->path(), error).string();
        const std::string prefix = "socket:[";
        if (target.starts_with(prefix))
        {
            inodes.insert(
                target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    std::ifstream file{"/proc/net/tcp"};
    std::size_t unread = 0;
    for (std::string line; std::getline(file, line);)
    {
        const socket_row row = read_socket_row(line);
        unread += inodes.contains(row.m_inode) ? row.m_unread : 0;
    }
    return unread;
}

long crowd_process::processor_ticks() const
{
    std::ifstream file{"/proc/" + std::to_string(m_process.id()) + "/stat"};
    std::string text;
    std::getline(file, text);
    // The name of the program, in brackets, may hold spaces.
    std::istringstream fields{text.substr(std::min(text.rfind(')') + 1, text.size()))};
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int at = 0; at < fields_before_user_time; ++at)
    {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return user + system;
}

std::string crowd_process::status_line(const std::string& name) const
{
    std::ifstream file{"/proc/" + std::to_string(m_process.id()) + "/status"};
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(name))
        {
            return line.substr(name.size());
        }
    }
    return "0";
}

} // namespace geraniumdoor::test
