#include <geraniumdoor/serving/row_pulls.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

std::optional<node_id> expire_pull(row_pulls& pulls, time_point now)
{
    if (!pulls.m_asked || now < pulls.m_deadline)
    {
        return std::nullopt;
    }
    const node_id silent = *pulls.m_asked;
    lose_pull(pulls, silent, now);
    return silent;
}

std::optional<std::uint64_t> begin_pull(row_pulls& pulls, const host_report& report,
                                        bool has_data, bool wants_hosts, time_point now)
{
    pull_progress& progress = pulls.m_progress[report.m_node];
    if (progress.m_incarnation != report.m_incarnation)
    {
        progress = {report.m_incarnation, 0};
    }
    const bool reads_store = report.m_store_access == store_access::reading;
    const bool has_new_changes =
        report.m_changes > progress.m_changes && (reads_store || !has_data);
    // One pull at a time: all readers return the same tables, which are large for a slow
    // link.
    if ((!has_new_changes && !wants_hosts) || pulls.m_asked ||
        now < progress.m_busy_until || now < progress.m_unanswered_until)
    {
        return std::nullopt;
    }
    pulls.m_asked = report.m_node;
    pulls.m_deadline = now + (has_data ? pull_timeout : whole_pull_timeout);
    return progress.m_changes;
}

void lose_pull(row_pulls& pulls, const node_id& host, time_point now)
{
    if (pulls.m_asked == host)
    {
        pulls.m_asked.reset();
        pulls.m_progress[host].m_unanswered_until = now + unanswered_hold;
    }
}

void record_busy(row_pulls& pulls, const node_id& host, time_point now)
{
    end_pull(pulls, host, now);
    pulls.m_progress[host].m_busy_until = now + busy_delay;
}

void record_push(row_pulls& pulls, const node_id& host, incarnation of,
                 std::uint64_t changes)
{
    pull_progress& progress = pulls.m_progress[host];
    progress.m_incarnation = of;
    progress.m_changes = std::max(progress.m_changes, changes);
}

void end_pull(row_pulls& pulls, const node_id& host, time_point now)
{
    if (pulls.m_asked == host)
    {
        pulls.m_asked.reset();
    }
    pull_progress& progress = pulls.m_progress[host];
    progress.m_unanswered_until = std::min(progress.m_unanswered_until, now);
}

bool has_all_changes(const row_pulls& pulls, const host_report& report)
{
    const auto known = pulls.m_progress.find(report.m_node);
    return known != pulls.m_progress.end() &&
           known->second.m_incarnation == report.m_incarnation &&
           known->second.m_changes >= report.m_changes;
}

bool answers_pulls(const row_pulls& pulls, const node_id& host, time_point now)
{
    const auto known = pulls.m_progress.find(host);
    return known == pulls.m_progress.end() || now >= known->second.m_unanswered_until;
}

} // namespace geraniumdoor::serving
