#include "load_report.hpp"

#include <algorithm>
#include <map>
#include <ostream>
#include <tuple>

namespace geraniumdoor
{

namespace json = boost::json;

namespace
{

std::string text_of(const json::value& row, const char* name)
{
    return std::string{row.at(name).as_string()};
}

bool is_attained(const load_outcome& outcome)
{
    return outcome.m_whole && !outcome.m_lost_part && !outcome.m_wrong_caller &&
           outcome.m_latency <= outcome.m_arrival->m_pipeline->m_deadline;
}

/// Whether the request needs the pool that limits the capacity.
bool uses_slowest_pool(const load_run& run, const load_outcome& outcome)
{
    const auto& stages = outcome.m_arrival->m_pipeline->m_stages;
    return std::any_of(stages.begin(), stages.end(),
                       [&](const stage_config& stage)
                       {
                           return stage.m_pool.m_value ==
                                  run.m_deployment->m_slowest_pool;
                       });
}

bool is_counted(const load_run& run, const load_outcome& outcome)
{
    return outcome.m_arrival->m_at >= run.m_warm_up;
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

double quantile(std::vector<double> values, double rank)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(rank * last)];
}

/// Executions of the non-idempotent operations of a pipeline, by marker.
class once_executions
{
public:
    explicit once_executions(const load_run& run)
    {
        for (const auto& row : run.m_evidence.m_executions)
        {
            const std::string upstream = text_of(row, "upstream");
            const std::string pool = upstream.substr(0, upstream.rfind('-'));
            m_counts[{text_of(row, "marker"), pool, text_of(row, "operation")}] +=
                row.at("count").to_number<std::uint64_t>();
        }
    }

    /// Greatest number of executions of one non-idempotent operation of the request.
    std::uint64_t greatest(const load_arrival& arrival) const
    {
        std::uint64_t greatest = 0;
        for (const auto& stage : arrival.m_pipeline->m_stages)
        {
            const auto at = m_counts.find(
                {arrival.m_marker, stage.m_pool.m_value, stage.m_operation});
            if (!stage.m_idempotent && at != m_counts.end())
            {
                greatest = std::max(greatest, at->second);
            }
        }
        return greatest;
    }

private:
    std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t> m_counts;
};

bool has_once_stage(const load_arrival& arrival)
{
    const auto& stages = arrival.m_pipeline->m_stages;
    return std::any_of(stages.begin(), stages.end(),
                       [](const stage_config& stage)
                       {
                           return !stage.m_idempotent;
                       });
}

/// Breaches of the invariants by one request.
struct breaches
{
    bool m_doubled = false;
    bool m_lost = false;
    bool m_wrong_caller = false;
    bool m_false_not_run = false;
};

breaches find_breaches(const load_outcome& outcome, const once_executions& executions)
{
    const std::uint64_t ran = executions.greatest(*outcome.m_arrival);
    const bool vanished =
        has_once_stage(*outcome.m_arrival) && outcome.m_whole && ran == 0;
    breaches found;
    found.m_doubled = outcome.m_doubled_part || ran > 1;
    found.m_lost = outcome.m_lost_part || !outcome.m_ended || vanished;
    found.m_wrong_caller = outcome.m_wrong_caller;
    found.m_false_not_run = outcome.m_ran == "not_run" && ran > 0;
    return found;
}

void write_breaches(std::ostream& out, const load_run& run)
{
    const once_executions executions{run};
    std::map<std::string, unsigned> counts{
        {"doubled", 0}, {"lost", 0}, {"wrong_caller", 0}, {"false_not_run", 0}};
    unsigned cut = 0;
    unsigned connect_failed = 0;
    for (const auto& outcome : run.m_outcomes)
    {
        const breaches found = find_breaches(outcome, executions);
        counts["doubled"] += found.m_doubled ? 1 : 0;
        counts["lost"] += found.m_lost ? 1 : 0;
        counts["wrong_caller"] += found.m_wrong_caller ? 1 : 0;
        counts["false_not_run"] += found.m_false_not_run ? 1 : 0;
        cut += outcome.m_cut;
        connect_failed += outcome.m_connect_failed;
    }
    for (const auto& [name, count] : counts)
    {
        out << name << '=' << count << '\n';
    }
    out << "cut=" << cut << '\n' << "connect_failed=" << connect_failed << '\n';
    out << "cold_limit_exceeded=" << run.m_evidence.m_overloads << '\n';
}

/// Upstream time by (request, pool and operation), and by (request, operation, upstream).
struct work_index
{
    explicit work_index(const load_run& run)
    {
        for (const auto& row : run.m_evidence.m_work)
        {
            const std::string request = text_of(row, "request_id");
            const std::string operation = text_of(row, "operation");
            const std::string upstream = text_of(row, "upstream");
            const auto busy = row.at("busy_us").to_number<double>() / 1e6;
            const std::string pool = upstream.substr(0, upstream.rfind('-'));
            m_by_call[{request, operation, upstream}] += busy;
            m_by_request[request] += busy;
            m_by_operation[{pool, operation}] += busy;
            m_total += busy;
        }
    }

    std::map<std::tuple<std::string, std::string, std::string>, double> m_by_call;
    std::map<std::string, double> m_by_request;
    std::map<std::pair<std::string, std::string>, double> m_by_operation;
    double m_total = 0;
};

/// Cost covers the warm-up too, because upstream time is not kept by arrival time.
void write_cost(std::ostream& out, const load_run& run, const work_index& work)
{
    double answered = 0;
    double useful = 0;
    for (const auto& outcome : run.m_outcomes)
    {
        if (!is_attained(outcome))
        {
            continue;
        }
        ++answered;
        const auto at = work.m_by_request.find(outcome.m_request_ids.back());
        useful += at == work.m_by_request.end() ? 0 : at->second;
    }
    std::map<std::string, double> costs;
    for (const auto& pipeline : run.m_deployment->m_config.m_pipelines)
    {
        for (const auto& stage : pipeline.m_stages)
        {
            const auto at =
                work.m_by_operation.find({stage.m_pool.m_value, stage.m_operation});
            costs[stage.m_name] =
                at == work.m_by_operation.end() ? 0 : share(at->second, answered);
        }
    }
    for (const auto& [stage, cost] : costs)
    {
        out << "cost_" << stage << '=' << cost << '\n';
    }
    out << "upstream_s=" << work.m_total << '\n';
    out << "wasted_share=" << share(work.m_total - useful, work.m_total) << '\n';
}

/// Time of an answer beyond the time of its upstream calls, which follow one another.
void write_overhead(std::ostream& out, const load_run& run, const work_index& work)
{
    std::map<std::string, std::vector<double>> overheads;
    for (const auto& outcome : run.m_outcomes)
    {
        const auto& stages = outcome.m_arrival->m_pipeline->m_stages;
        if (!is_counted(run, outcome) || !is_attained(outcome) ||
            outcome.m_upstreams.size() != stages.size())
        {
            continue;
        }
        double busy = 0;
        bool known = true;
        for (std::size_t index = 0; index < stages.size(); ++index)
        {
            const auto at = work.m_by_call.find({outcome.m_request_ids.back(),
                                                 stages[index].m_operation,
                                                 outcome.m_upstreams[index]});
            known = known && at != work.m_by_call.end();
            busy += known ? at->second : 0;
        }
        if (known)
        {
            const double overhead = to_ms(outcome.m_exchange) - busy * 1000;
            overheads[""].push_back(overhead);
            overheads["_" + outcome.m_arrival->m_pipeline->m_id.m_value].push_back(
                overhead);
        }
    }
    for (const auto& [name, values] : overheads)
    {
        out << "overhead_ms_p50" << name << '=' << quantile(values, 0.5) << '\n';
        out << "overhead_ms_p99" << name << '=' << quantile(values, 0.99) << '\n';
    }
    out << "overhead_samples=" << overheads[""].size() << '\n';
}

} // namespace

void write_report(std::ostream& out, const load_run& run)
{
    double counted = 0;
    double attained = 0;
    double attained_slowest = 0;
    std::map<std::string, unsigned> codes;
    std::vector<double> latencies;
    for (const auto& outcome : run.m_outcomes)
    {
        if (!is_counted(run, outcome))
        {
            continue;
        }
        ++counted;
        ++codes[outcome.m_whole && !is_attained(outcome) ? "late" : outcome.m_code];
        attained += is_attained(outcome) ? 1 : 0;
        attained_slowest +=
            is_attained(outcome) && uses_slowest_pool(run, outcome) ? 1 : 0;
        if (outcome.m_whole)
        {
            latencies.push_back(to_ms(outcome.m_latency));
        }
    }
    out << "capacity_per_s=" << run.m_deployment->m_capacity_per_s << '\n';
    out << "offered_per_s=" << run.m_rate_per_s << '\n';
    out << "requests=" << counted << '\n';
    out << "attainment=" << share(attained, counted) << '\n';
    const double counted_s = to_s(run.m_length - run.m_warm_up);
    out << "goodput_per_s=" << share(attained, counted_s) << '\n';
    out << "slowest_pool_goodput_per_s=" << share(attained_slowest, counted_s) << '\n';
    out << "latency_ms_p50=" << quantile(latencies, 0.5) << '\n';
    out << "latency_ms_p99=" << quantile(latencies, 0.99) << '\n';
    out << "late_send_ms_max=" << to_ms(run.m_late) << '\n';
    for (const auto& [code, count] : codes)
    {
        out << "code_" << code << '=' << count << '\n';
    }
    const work_index work{run};
    write_breaches(out, run);
    write_cost(out, run, work);
    write_overhead(out, run, work);
}

void write_failures(std::ostream& out, const load_run& run)
{
    const once_executions executions{run};
    for (const auto& outcome : run.m_outcomes)
    {
        const breaches found = find_breaches(outcome, executions);
        const bool broken = found.m_doubled || found.m_lost || found.m_wrong_caller ||
                            found.m_false_not_run;
        if (is_attained(outcome) && !broken && outcome.m_cut == 0)
        {
            continue;
        }
        out << "marker=" << outcome.m_arrival->m_marker
            << " at_ms=" << to_ms(outcome.m_arrival->m_at)
            << " counted=" << is_counted(run, outcome)
            << " pipeline=" << outcome.m_arrival->m_pipeline->m_id.m_value
            << " streamed=" << outcome.m_arrival->m_streamed << " code=" << outcome.m_code
            << " ran=" << outcome.m_ran << " latency_ms=" << to_ms(outcome.m_latency)
            << " cut=" << outcome.m_cut << " connect_failed=" << outcome.m_connect_failed
            << " doubled=" << found.m_doubled << " lost=" << found.m_lost
            << " lost_part=" << outcome.m_lost_part
            << " wrong_caller=" << found.m_wrong_caller
            << " false_not_run=" << found.m_false_not_run << '\n';
    }
}

} // namespace geraniumdoor
