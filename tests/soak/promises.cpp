#include "promises.hpp"

#include <algorithm>
#include <utility>

namespace geraniumdoor::soak
{

namespace
{

const std::string first_event = "id: 1\ndata: 1\n\n";
const std::string other_events = "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n";

int runs_of(const run_record& run, const std::string& id)
{
    const auto at = run.m_runs.find(id);
    return at == run.m_runs.end() ? 0 : at->second;
}

/// Whether the host was away at some moment of the call.
bool was_absent(const run_record& run, const call_record& call)
{
    return std::any_of(run.m_absences.begin(), run.m_absences.end(),
                       [&](const host_absence& absence)
                       {
                           return absence.m_host == call.m_host &&
                                  absence.m_from <= call.m_ended &&
                                  absence.m_to >= call.m_sent;
                       });
}

bool is_right(const call_record& call)
{
    switch (call.m_kind)
    {
    case request_kind::read:
        return call.m_body.find(":/read/" + call.m_id + ':') != std::string::npos;
    case request_kind::pay:
        return call.m_body.find(":/pay/" + call.m_id + ":body") != std::string::npos;
    case request_kind::stream:
    case request_kind::resume:
        return call.m_body == first_event + other_events;
    case request_kind::take_up:
        return call.m_body == other_events;
    }
    return false;
}

std::string line(const call_record& call, const std::string& what)
{
    return "host " + std::to_string(call.m_host) + ' ' + call.m_id + " status " +
           std::to_string(call.m_status) + ": " + what;
}

} // namespace

std::vector<std::string> payments_run_twice(const run_record& run)
{
    std::vector<std::string> lines;
    for (const call_record& call : run.m_calls)
    {
        const bool once =
            call.m_kind == request_kind::pay || call.m_kind == request_kind::stream;
        if (once && runs_of(run, call.m_id) > 1)
        {
            lines.push_back(
                line(call, "ran " + std::to_string(runs_of(run, call.m_id)) + " times"));
        }
    }
    return lines;
}

std::vector<std::string> false_refusals(const run_record& run)
{
    std::vector<std::string> lines;
    for (const call_record& call : run.m_calls)
    {
        if (call.m_says_not_run && runs_of(run, call.m_id) > 0)
        {
            lines.push_back(line(call, "said not to have run, but has"));
        }
    }
    return lines;
}

std::vector<std::string> wrong_answers(const run_record& run)
{
    std::vector<std::string> lines;
    for (const call_record& call : run.m_calls)
    {
        if (call.m_status == 200 && !is_right(call))
        {
            lines.push_back(line(call, "answer is \"" + call.m_body + '"'));
        }
    }
    return lines;
}

std::vector<std::string> late_answers(const run_record& run)
{
    std::vector<std::string> lines;
    for (const call_record& call : run.m_calls)
    {
        const duration took = call.m_ended - call.m_sent;
        if (took > call.m_deadline + deadline_slack && !was_absent(run, call))
        {
            lines.push_back(
                line(call, "ended after " + std::to_string(to_ms(took)) + " ms"));
        }
    }
    return lines;
}

std::vector<std::string> cut_by_living_hosts(const run_record& run)
{
    std::vector<std::string> lines;
    for (const call_record& call : run.m_calls)
    {
        // A stream that may not be resumed ends where its engine fails.
        const bool may_break =
            call.m_kind != request_kind::read && call.m_kind != request_kind::pay;
        if (call.m_cut && !may_break && !was_absent(run, call))
        {
            lines.push_back(line(call, "was cut off"));
        }
    }
    return lines;
}

std::vector<std::string> versions_that_went_back(const run_record& run)
{
    std::vector<std::string> lines;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> highest;
    for (const version_record& seen : run.m_versions)
    {
        std::uint64_t& last = highest[{seen.m_host, seen.m_incarnation}];
        if (seen.m_version < last)
        {
            lines.push_back("host " + std::to_string(seen.m_host) + " went back from " +
                            std::to_string(last) + " to " +
                            std::to_string(seen.m_version));
        }
        last = std::max(last, seen.m_version);
    }
    return lines;
}

std::vector<std::string> wrong_exits(const run_record& run)
{
    std::vector<std::string> lines;
    for (const exit_record& ended : run.m_exits)
    {
        const std::string host = "host " + std::to_string(ended.m_host);
        if (ended.m_killed)
        {
            continue;
        }
        if (!ended.m_told_to_stop)
        {
            lines.push_back(host + " ended by itself with " +
                            std::to_string(ended.m_code));
        }
        else if (ended.m_code != 0)
        {
            lines.push_back(host + " ended a planned stop with " +
                            std::to_string(ended.m_code));
        }
        else if (ended.m_stop_took > longest_stop && !ended.m_paused_meanwhile)
        {
            lines.push_back(host + " took " + std::to_string(ended.m_stop_took.count()) +
                            " ms to stop");
        }
    }
    return lines;
}

std::vector<std::string> joined_streams(const run_record& run)
{
    std::vector<std::string> lines;
    for (const std::string& stream : run.m_joined_streams)
    {
        lines.push_back(stream + " went on at a worker of another version");
    }
    return lines;
}

std::vector<std::string> exceeded_limits(const run_record& run)
{
    constexpr double factor = 1.5;
    constexpr double extra = 5;
    std::vector<std::string> lines;
    for (const limit_record& limit : run.m_limits)
    {
        const double allowed = factor * limit.m_per_s * to_s(limit.m_length) + extra;
        if (static_cast<double>(limit.m_arrivals) > allowed)
        {
            lines.push_back(limit.m_worker + " got " + std::to_string(limit.m_arrivals) +
                            " requests in " + std::to_string(limit.m_length.count()) +
                            " ms at a limit of " + std::to_string(limit.m_per_s));
        }
    }
    return lines;
}

std::vector<std::string> broken_promises(const run_record& run)
{
    std::vector<std::string> all;
    for (const auto check : {payments_run_twice, false_refusals, wrong_answers,
                             late_answers, cut_by_living_hosts, versions_that_went_back,
                             wrong_exits, joined_streams, exceeded_limits})
    {
        const auto lines = check(run);
        all.insert(all.end(), lines.begin(), lines.end());
    }
    return all;
}

} // namespace geraniumdoor::soak
