#pragma once

#include "promises.hpp"

#include <cstdint>
#include <string>

namespace geraniumdoor::soak
{

struct soak_options
{
    std::uint64_t m_seed = 1;
    int m_hosts = 3;
    /// Time in which faults begin.
    milliseconds m_length{8000};
    /// Faults that begin in that time; several last at the same time.
    int m_faults = 14;
    /// Time between two requests, from all callers together.
    milliseconds m_request_pause{25};
    /// Directory of the programs.
    std::string m_programs;
    /// Directory for settings and logs of the processes.
    std::string m_scratch;
};

struct soak_result
{
    run_record m_run;
    /// Faults in their order, one line each.
    std::vector<std::string> m_faults;
    /// Hosts that did not serve all kinds of requests within the time to recover after
    /// the last fault, or have an old configuration.
    std::vector<std::string> m_not_recovered;
};

/// Time from the last fault to the first whole service on all hosts.
inline constexpr milliseconds longest_recovery{15000};

/// Starts stand-in, proxies and hosts as separate processes on loopback addresses that
/// the seed chooses, disturbs them, and ends them all.
soak_result run_soak(const soak_options& options);

} // namespace geraniumdoor::soak
