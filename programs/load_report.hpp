#pragma once

#include "load_outcome.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// What the upstream stand-ins say about a run.
struct upstream_evidence
{
    /// Calls begun on a cold or warming upstream beyond what it sustains.
    std::int64_t m_overloads = 0;
    /// Answer of GET /v1/executions.
    boost::json::array m_executions;
    /// Answer of /v1/work/take.
    boost::json::array m_work;
};

/// Facts of one run of the load tool.
struct load_run
{
    const load_deployment* m_deployment = nullptr;
    std::string m_run;
    double m_rate_per_s = 0;
    /// Arrivals before this time are not counted in the shares.
    duration m_warm_up{};
    duration m_length{};
    /// Greatest time by which an arrival was sent late.
    duration m_late{};
    std::vector<load_outcome> m_outcomes;
    upstream_evidence m_evidence;
};

/// Writes one key=value a line.
void write_report(std::ostream& out, const load_run& run);

/// Writes one line for each counted request without a whole answer in time, and for each
/// request that breaks an invariant.
void write_failures(std::ostream& out, const load_run& run);

} // namespace geraniumdoor
