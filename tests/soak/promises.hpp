#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumdoor::soak
{

enum class request_kind : std::uint8_t
{
    read,
    pay,
    stream,
    resume,
    /// Takes up a stream after its first event.
    take_up,
};

/// Kinds with which callers begin.
inline constexpr int request_kinds = 4;

/// What a caller saw of one request.
struct call_record
{
    std::string m_id;
    request_kind m_kind = request_kind::read;
    std::size_t m_host = 0;
    time_point m_sent{};
    time_point m_ended{};
    milliseconds m_deadline{0};
    /// Zero when no whole answer came.
    unsigned m_status = 0;
    std::string m_body;
    /// The answer says that the request has not run.
    bool m_says_not_run = false;
    /// The connection broke after the request was sent, before a whole answer.
    bool m_cut = false;
    /// The caller gave up.
    bool m_timed_out = false;
};

/// Time in which a host did not run: from a kill to the end of its start, or from a pause
/// to its continuation.
struct host_absence
{
    std::size_t m_host = 0;
    time_point m_from{};
    time_point m_to = time_point::max();
};

/// Configuration that a process said to have in force.
struct version_record
{
    std::size_t m_host = 0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_version = 0;
};

/// How a process ended.
struct exit_record
{
    std::size_t m_host = 0;
    /// It was killed, or told to stop.
    bool m_killed = false;
    bool m_told_to_stop = false;
    bool m_paused_meanwhile = false;
    /// Exit code, or the signal as a negative number.
    int m_code = 0;
    milliseconds m_stop_took{0};
};

/// Time in which a worker named a limit, and the requests that it got.
struct limit_record
{
    std::string m_worker;
    double m_per_s = 0;
    milliseconds m_length{0};
    std::size_t m_arrivals = 0;
};

/// All that callers, back ends and the driver saw in one run.
struct run_record
{
    std::vector<call_record> m_calls;
    std::vector<host_absence> m_absences;
    std::vector<version_record> m_versions;
    std::vector<exit_record> m_exits;
    /// How often each request ran, from the workers.
    std::map<std::string, int> m_runs;
    /// Streams that went on at a worker of another software version.
    std::vector<std::string> m_joined_streams;
    std::vector<limit_record> m_limits;
    /// The highest version of the configuration that was written.
    std::uint64_t m_last_version = 0;
};

/// Time beyond its deadline after which an answer counts as late: the machine that runs
/// the soak also runs other programs.
inline constexpr milliseconds deadline_slack{1000};

/// Time from SIGTERM to the end of a process, as in its settings, and slack.
inline constexpr milliseconds longest_stop{8000 + 1000};

/// Each of these returns one line for each breach of a promise.
std::vector<std::string> payments_run_twice(const run_record& run);
std::vector<std::string> false_refusals(const run_record& run);
std::vector<std::string> wrong_answers(const run_record& run);
std::vector<std::string> late_answers(const run_record& run);
std::vector<std::string> cut_by_living_hosts(const run_record& run);
std::vector<std::string> versions_that_went_back(const run_record& run);
std::vector<std::string> wrong_exits(const run_record& run);

std::vector<std::string> joined_streams(const run_record& run);

/// As the platform's rule on limits: one and a half times what a limit allows, and 5.
std::vector<std::string> exceeded_limits(const run_record& run);

/// All of them.
std::vector<std::string> broken_promises(const run_record& run);

} // namespace geraniumdoor::soak
