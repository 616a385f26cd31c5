#include "host_status.hpp"

#include <boost/json/array.hpp>

#include <algorithm>

namespace geraniumdoor::edge
{

namespace json = boost::json;

namespace
{

std::int64_t whole_ms(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

/// Milliseconds from `at` to `point`; zero if `point` is in the past.
std::int64_t ms_until(time_point point, time_point at)
{
    return point > at ? whole_ms(point - at) : 0;
}

std::string address_to_string(const node_address& address)
{
    return address.m_ip + ':' + std::to_string(address.m_port);
}

/// Age of what a host knows of the store; null if it knows nothing.
json::value age_to_json(std::uint32_t age_ms)
{
    return age_ms == UINT32_MAX ? json::value{} : json::value(age_ms);
}

json::object host_to_json(const host_report& report, bool live,
                          std::int64_t ms_since_report)
{
    json::object row;
    row["id"] = report.m_node.m_value;
    row["incarnation"] = report.m_incarnation.m_value;
    row["data_centre"] = report.m_data_centre.m_value;
    row["caller_address"] = address_to_string(report.m_caller);
    row["live"] = live;
    row["ready"] = report.m_ready;
    row["stopping"] = report.m_stopping;
    row["heard_ms_ago"] = ms_since_report;
    row["store_age_ms"] =
        age_to_json(std::max(report.m_operator_age_ms, report.m_registry_age_ms));
    row["changes"] = report.m_changes;
    return row;
}

json::object hosts_status(const edge_state& state, time_point at)
{
    json::array rows{host_to_json(state.m_own_report, true, 0)};
    for (const auto& [id, host] : state.m_hosts.m_hosts)
    {
        rows.push_back(host_to_json(host.m_report, serving::is_live(host, at),
                                    whole_ms(at - host.m_last_heard)));
    }
    json::object body;
    body["hosts"] = std::move(rows);
    return body;
}

json::object upstream_to_json(const serving::upstream_table& table,
                              const serving::upstream& row, time_point at)
{
    json::object body;
    body["id"] = row.m_entry.m_id.m_value;
    body["pool"] = row.m_entry.m_pool.m_value;
    body["version"] = row.m_entry.m_version.m_value;
    body["data_centre"] = row.m_entry.m_data_centre.m_value;
    body["address"] = to_text(row.m_entry.m_address);
    body["available"] = serving::is_available(table, row, at);
    body["leaving"] = row.m_entry.m_leaving || row.m_says_leaving;
    body["declines_ms"] = ms_until(row.m_sends.m_declines_until, at);
    body["evacuated"] =
        table.m_evacuated_data_centres.contains(row.m_entry.m_data_centre);
    body["running"] = row.m_running;
    body["running_elsewhere"] = row.m_running_elsewhere;
    body["concurrency"] = row.m_entry.m_concurrency;
    body["cold_ms"] = ms_until(row.m_cold_until, at);
    body["ejected_ms"] = ms_until(row.m_ejected_until, at);
    const auto& limit = row.m_sends.m_statement.m_limit;
    body["limit_per_s"] = limit ? json::value(limit->m_value) : json::value{};
    const serving::observed_quality quality = serving::quality_of(row);
    body["failure_share"] = quality.m_failure_share;
    body["slowness"] = quality.m_slowness;
    return body;
}

json::object upstreams_status(const edge_state& state, time_point at)
{
    json::array rows;
    for (const auto& [id, row] : state.m_upstreams.m_rows)
    {
        rows.push_back(upstream_to_json(state.m_upstreams, row, at));
    }
    std::sort(rows.begin(), rows.end(),
              [](const json::value& left, const json::value& right)
              {
                  return left.at("id").as_string() < right.at("id").as_string();
              });
    json::object body;
    body["upstreams"] = std::move(rows);
    return body;
}

json::object queue_to_json(const queue_status& queue)
{
    json::object row;
    row["jobs"] = queue.m_jobs;
    row["announced"] = queue.m_announced;
    row["workers"] = queue.m_upstreams;
    row["busy_workers"] = queue.m_busy_upstreams;
    row["room_used"] = queue.m_result_memory_used;
    row["wait_on_time_ms"] = queue.m_waits.m_on_time.count();
    row["wait_late_ms"] = queue.m_waits.m_late.count();
    return row;
}

/// Lists each pool that has a queue with its queue host. The status of the queue is
/// included only if this host runs it.
json::object queues_status(const edge_state& state, const host_stats& stats)
{
    json::array rows;
    if (state.m_routing)
    {
        for (const auto& [id, pool] : state.m_routing->m_pools)
        {
            if (!pool.m_pieces)
            {
                continue;
            }
            json::object row;
            row["pool"] = id.m_value;
            row["host"] = queue_host_of(state, id).m_value;
            for (const queue_status& queue : stats.m_queues)
            {
                if (queue.m_pool == id)
                {
                    for (const auto& member : queue_to_json(queue))
                    {
                        row[member.key()] = member.value();
                    }
                }
            }
            rows.push_back(std::move(row));
        }
    }
    json::object body;
    body["queues"] = std::move(rows);
    return body;
}

/// Lists what has been at crashes of upstreams.
json::object suspects_status(const edge_state& state, time_point at)
{
    json::array rows;
    for (const auto& [key, known] : state.m_crash_suspects.m_known)
    {
        json::object row;
        row["kind"] = serving::to_text(known.m_kind);
        row["part"] = known.m_id;
        row["key"] = key.m_value;
        row["crashes"] = known.m_crashes.size();
        row["sound_ms_ago"] = known.m_last_success
                                  ? json::value(whole_ms(at - *known.m_last_success))
                                  : json::value{};
        row["quarantined"] = known.m_quarantine.has_value();
        row["quarantine_left_ms"] =
            known.m_quarantine ? ms_until(known.m_quarantine->m_until, at) : 0;
        rows.push_back(std::move(row));
    }
    json::object body;
    body["suspects"] = std::move(rows);
    return body;
}

json::object limits_status(const edge_state& state)
{
    json::object body;
    body["retry_ratio"] = state.m_settings.m_retry_limits.m_ratio;
    body["retry_slack"] = state.m_settings.m_retry_limits.m_slack;
    body["retry_window_ms"] = state.m_settings.m_retry_limits.m_window.count();
    body["cold_factor"] = state.m_settings.m_cold_rate_factor;
    body["cold_extra"] = state.m_settings.m_cold_burst;
    body["stop_time_ms"] = state.m_settings.m_shutdown_timeout.count();
    body["open_files"] = state.m_settings.m_max_open_files;
    body["memory_bytes"] = state.m_settings.m_memory_bytes;
    body["body_memory_limit"] = state.m_memory->m_account.m_limits.m_total_bytes;
    body["body_memory_held"] = state.m_memory->m_account.m_held_bytes;
    body["hosts_that_share_bounds"] =
        serving::count_possible_senders(state.m_hosts, now());
    if (state.m_routing)
    {
        const serving::caller_limits& limits = state.m_routing->m_limits;
        body["header_bytes"] = limits.m_header_bytes;
        body["body_bytes"] = limits.m_body_bytes;
        body["header_timeout_ms"] = limits.m_header_timeout.count();
        body["idle_timeout_ms"] = limits.m_idle_timeout.count();
    }
    return body;
}

/// Lists the operator's orders to move a pool to another software version.
json::object rollouts_status(const edge_state& state, time_point at)
{
    json::array rows;
    for (const auto& [pool, entry] : state.m_rollouts.m_orders)
    {
        const serving::answer_count tried =
            serving::count_new_version(serving::sum_counts(entry));
        json::object row;
        row["pool"] = pool.m_value;
        row["version"] = entry.m_order.m_version.m_value;
        row["phase"] = serving::to_text(entry.m_phase);
        row["reason"] = entry.m_reason;
        row["share"] = serving::trial_share(entry, state.m_rollout_limits);
        row["age_ms"] = whole_ms(at - entry.m_began_at);
        row["duration_ms"] = entry.m_order.m_duration.count();
        row["answers"] = tried.m_answers;
        row["faults"] = tried.m_faults;
        row["slow"] = tried.m_slow;
        row["hosts"] = entry.m_hosts.size();
        rows.push_back(std::move(row));
    }
    json::object body;
    body["rollouts"] = std::move(rows);
    return body;
}

json::object daemon_status(const edge_state& state, const host_stats& stats,
                           time_point at)
{
    json::object body;
    body["host"] = state.m_own_report.m_node.m_value;
    body["incarnation"] = state.m_own_report.m_incarnation.m_value;
    body["data_centre"] = state.m_own_report.m_data_centre.m_value;
    body["version"] = GD_VERSION;
    body["ready"] =
        state.m_routing && state.m_registry_loaded && !state.m_own_report.m_stopping;
    body["stopping"] = state.m_own_report.m_stopping;
    body["configuration_version"] =
        state.m_routing ? state.m_routing->m_version.m_value : 0;
    body["reads_store"] = stats.m_is_store_reader;
    body["store_age_ms"] =
        age_to_json(std::max(serving::age_ms(state.m_operator_view, at),
                             serving::age_ms(state.m_registry_view, at)));
    body["live_hosts"] = serving::count_live_hosts(state.m_hosts, at);
    body["upstreams"] = state.m_upstreams.m_rows.size();
    body["requests_active"] = stats.m_active_requests;
    return body;
}

} // namespace

std::optional<json::object> admin_status(const edge_state& state, const host_stats& stats,
                                         std::string_view path, time_point at)
{
    if (path == "/admin/status")
    {
        return daemon_status(state, stats, at);
    }
    if (path == "/admin/hosts")
    {
        return hosts_status(state, at);
    }
    if (path == "/admin/upstreams")
    {
        return upstreams_status(state, at);
    }
    if (path == "/admin/queues")
    {
        return queues_status(state, stats);
    }
    if (path == "/admin/suspects")
    {
        return suspects_status(state, at);
    }
    if (path == "/admin/rollouts")
    {
        return rollouts_status(state, at);
    }
    if (path == "/admin/limits")
    {
        return limits_status(state);
    }
    return std::nullopt;
}

} // namespace geraniumdoor::edge
