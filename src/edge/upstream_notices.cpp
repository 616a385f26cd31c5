#include "upstream_notices.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

/// A statement is repeated in this number of reports, since datagrams may be lost.
constexpr int reports_of_statement = 3;

void log_limit(const upstream_id& upstream, const std::optional<requests_per_s>& limit,
               const char* source)
{
    log_event line{"upstream_limit"};
    line.add("upstream", upstream).add("from", source).add("limited", limit.has_value());
    if (limit)
    {
        line.add("per_s", limit->m_value);
    }
}

/// Counts what this host has heard itself.
void count_notice(edge_state& state, const char* says)
{
    state.m_metrics.add("upstream_notices", {{"says", says}});
}

void set_leaving(upstream& row, const char* source)
{
    if (!row.m_says_leaving)
    {
        row.m_says_leaving = true;
        log_event{"upstream_leaves"}
            .add("upstream", row.m_entry.m_id)
            .add("from", source);
    }
}

} // namespace

void apply_notice(edge_state& state, const upstream_id& upstream, unsigned status,
                  const http_fields& fields, time_point sent_at)
{
    auto* row = state.m_upstreams.m_rows.find(upstream);
    if (row == nullptr)
    {
        return;
    }
    const platform::upstream_notice notice = platform::read_notice(status, fields);
    if (notice.m_decline_time)
    {
        record_decline(row->m_sends, *notice.m_decline_time, now());
        count_notice(state, "declines");
        log_event{"upstream_declines"}
            .add("upstream", upstream)
            .add("for_ms", notice.m_decline_time->count());
    }
    if (notice.m_leaves)
    {
        set_leaving(*row, "response");
        if (!row->m_said_leaving_at)
        {
            state.m_notices_changed = true;
            count_notice(state, "leaves");
        }
        row->m_said_leaving_at = now();
    }
    constexpr unsigned first_error_status = 400;
    const bool may_end_limit = !notice.m_names_limit && status < first_error_status;
    if (record_statement(row->m_sends, notice.m_limit, may_end_limit, sent_at, now()))
    {
        log_limit(upstream, notice.m_limit, "response");
        count_notice(state, notice.m_limit ? "limit" : "no_limit");
        state.m_notices_changed = true;
    }
    else if (notice.m_names_limit && !notice.m_limit)
    {
        log_event{"upstream_limit_unreadable"}.add("upstream", upstream);
    }
}

void apply_limit_notice(edge_state& state, const limit_notice& notice)
{
    auto* row = find_run(state.m_upstreams, upstream_run{notice.m_upstream});
    if (row == nullptr)
    {
        return;
    }
    limit_statement statement;
    statement.m_stated_at = now() - milliseconds{notice.m_age_ms};
    if (notice.m_is_limited)
    {
        statement.m_limit = requests_per_s{notice.m_per_s};
    }
    if (apply_statement(row->m_sends, statement))
    {
        log_limit(row->m_entry.m_id, statement.m_limit, "host");
    }
}

void apply_leaving_notice(edge_state& state, upstream_run run)
{
    if (auto* row = find_run(state.m_upstreams, run))
    {
        set_leaving(*row, "host");
    }
}

void apply_start_doubt(edge_state& state, const start_doubt& doubt)
{
    if (auto* row = find_run(state.m_upstreams, upstream_run{doubt.m_upstream}))
    {
        doubt_start(*row, now() - milliseconds{doubt.m_age_ms});
    }
}

doubt_report make_doubt_report(const edge_state& state)
{
    const time_point at = now();
    const milliseconds repeated_for =
        reports_of_statement * milliseconds{state.m_own_report.m_interval_ms};
    doubt_report report;
    for (const auto& [id, row] : state.m_upstreams.m_rows)
    {
        if (row.m_doubted_here_at && at - *row.m_doubted_here_at <= repeated_for &&
            report.m_doubts.size() < max_reported_doubts)
        {
            const auto age =
                std::chrono::floor<milliseconds>(at - *row.m_doubted_here_at);
            report.m_doubts.push_back(
                {row.m_run.m_value, static_cast<std::uint32_t>(age.count())});
        }
    }
    return report;
}

limit_notice to_notice(upstream_run run, const limit_statement& statement, time_point now)
{
    limit_notice notice;
    notice.m_upstream = run.m_value;
    notice.m_is_limited = statement.m_limit.has_value();
    notice.m_per_s = statement.m_limit ? statement.m_limit->m_value : 0;
    notice.m_age_ms = static_cast<std::uint32_t>(
        std::chrono::ceil<milliseconds>(now - statement.m_stated_at).count());
    return notice;
}

upstream_report make_upstream_report(const edge_state& state, bool to_newcomer)
{
    const time_point at = now();
    const milliseconds repeated_for =
        reports_of_statement * milliseconds{state.m_own_report.m_interval_ms};
    upstream_report report;
    for (const auto& [id, row] : state.m_upstreams.m_rows)
    {
        const limit_statement& statement = row.m_sends.m_statement;
        const bool is_recent =
            statement.m_heard_here && at - statement.m_stated_at <= repeated_for;
        const bool is_told = to_newcomer ? statement.m_limit.has_value() : is_recent;
        if (is_told && report.m_limits.size() < max_reported_limits)
        {
            report.m_limits.push_back(to_notice(row.m_run, statement, at));
        }
        const bool said_recently =
            row.m_said_leaving_at && at - *row.m_said_leaving_at <= repeated_for;
        if ((to_newcomer ? row.m_says_leaving : said_recently) &&
            report.m_leaving.size() < max_reported_leaving)
        {
            report.m_leaving.push_back(row.m_run.m_value);
        }
    }
    return report;
}

bool is_empty(const upstream_report& report)
{
    return report.m_limits.empty() && report.m_leaving.empty();
}

} // namespace geraniumdoor::edge
