#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/host_table.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor::serving
{

namespace
{

/// Hosts heard from within this time share the rate limits. Longer than a network
/// partition lasts, because a host that is partitioned from this one may still send
/// requests.
constexpr seconds limit_sharing_window{60};

std::string address_text(const node_address& address)
{
    return address.m_ip + ':' + std::to_string(address.m_port);
}

/// Returns the live host, ready and not stopping, with the highest weight; this host if
/// there is none.
template<class WeightOf>
node_id heaviest_host(const host_table& table, const host_report& own, time_point now,
                      const WeightOf& weight_of)
{
    const auto weight_of_candidate = [&weight_of](const host_report& host)
    {
        return host.m_ready && !host.m_stopping ? weight_of(host) : 0;
    };
    node_id best = own.m_node;
    double best_weight = weight_of_candidate(own);
    for (const auto& [id, host] : table.m_hosts)
    {
        const double weight = is_live(host, now) ? weight_of_candidate(host.m_report) : 0;
        if (weight > best_weight)
        {
            best = id;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

milliseconds report_interval(std::size_t hosts, bool has_role)
{
    const milliseconds longest =
        has_role ? max_role_report_interval : max_report_interval;
    return std::clamp(report_interval_per_host * static_cast<std::int64_t>(hosts),
                      min_report_interval, longest);
}

milliseconds liveness_timeout(const host_report& report)
{
    const milliseconds stated{report.m_interval_ms};
    return liveness_timeout_intervals *
           std::clamp(stated, min_report_interval, max_report_interval);
}

bool apply_report(host_table& table, const host_report& report, time_point now)
{
    const auto [position, inserted] = table.m_hosts.try_emplace(report.m_node);
    peer_host& host = position->second;
    const bool is_known_live = !inserted && is_live(host, now);
    const bool is_repeated = !inserted &&
                             report.m_incarnation == host.m_report.m_incarnation &&
                             report.m_sequence <= host.m_report.m_sequence;
    // A host whose time of day was set back restarts with a lower incarnation.
    const bool is_of_earlier_process =
        is_known_live && report.m_incarnation < host.m_report.m_incarnation;
    if (is_repeated || is_of_earlier_process)
    {
        return false;
    }
    const bool was_live =
        is_known_live && report.m_incarnation == host.m_report.m_incarnation;
    const bool had_failed = host.m_report.m_store_access == store_access::failing ||
                            host.m_report.m_store_access == store_access::retrying;
    if (!inserted && had_failed && report.m_store_access == store_access::reading)
    {
        table.m_store_recovered_at = now;
    }
    if (!inserted && report.m_incarnation != host.m_report.m_incarnation)
    {
        host.m_delay = {};
    }
    host.m_reported_at = sending_time(host.m_delay, report.m_sent_ms, now);
    if (inserted || host.m_report.m_processor != report.m_processor)
    {
        host.m_reader_weight = role_weight(store_reader_role, report);
    }
    host.m_report = report;
    host.m_last_heard = now;
    return !was_live;
}

void record_message(host_table& table, const node_id& from, incarnation from_incarnation,
                    time_point now)
{
    const auto known = table.m_hosts.find(from);
    if (known != table.m_hosts.end() &&
        known->second.m_report.m_incarnation == from_incarnation)
    {
        known->second.m_last_heard = now;
    }
}

bool is_live(const peer_host& host, time_point now)
{
    return now - host.m_last_heard <= liveness_timeout(host.m_report);
}

std::size_t count_possible_senders(const host_table& table, time_point now)
{
    const auto recent =
        std::count_if(table.m_hosts.begin(), table.m_hosts.end(),
                      [&](const auto& entry)
                      {
                          return now - entry.second.m_last_heard <= limit_sharing_window;
                      });
    return static_cast<std::size_t>(recent) + 1;
}

std::size_t count_live_hosts(const host_table& table, time_point now)
{
    const auto live = std::count_if(table.m_hosts.begin(), table.m_hosts.end(),
                                    [&](const auto& entry)
                                    {
                                        return is_live(entry.second, now);
                                    });
    return static_cast<std::size_t>(live) + 1;
}

double role_weight(std::string_view role, const host_report& host)
{
    constexpr double hash_range = 18446744073709551616.0;
    const auto hash = static_cast<double>(rendezvous_weight(role, host.m_node.m_value));
    const double unit_hash = (hash + 0.5) / hash_range;
    const double size = std::max<std::uint32_t>(1, host.m_processor);
    return -size * size * size / std::log(unit_hash);
}

std::uint32_t id_hash(const std::string& id)
{
    return static_cast<std::uint32_t>(stable_hash(id));
}

bool runs_queue(const host_report& report, const pool_id& pool)
{
    const auto& queues = report.m_queues;
    return std::find(queues.begin(), queues.end(), id_hash(pool.m_value)) != queues.end();
}

node_id queue_host(const host_table& table, const host_report& own, const pool_id& pool,
                   time_point now)
{
    return heaviest_host(table, own, now,
                         [&pool](const host_report& host)
                         {
                             const double factor =
                                 runs_queue(host, pool) ? holder_weight_factor : 1;
                             return factor * role_weight(pool.m_value, host);
                         });
}

node_id permit_issuer(const host_table& table, const host_report& own, upstream_run run,
                      time_point now)
{
    const std::string role = "permits/" + std::to_string(run.m_value);
    return heaviest_host(table, own, now,
                         [&role](const host_report& host)
                         {
                             return role_weight(role, host);
                         });
}

double permit_share(const host_table& table, time_point now)
{
    std::size_t possible = 1;
    for (const auto& [id, host] : table.m_hosts)
    {
        const bool has_stopped = host.m_report.m_stopping && !is_live(host, now);
        const bool may_send =
            !has_stopped && now - host.m_last_heard <= limit_sharing_window;
        possible += may_send ? 1 : 0;
    }
    return static_cast<double>(count_live_hosts(table, now)) /
           static_cast<double>(possible);
}

std::vector<std::string> caller_addresses(const host_table& table, const host_report& own,
                                          const data_centre_id& near,
                                          std::size_t min_count, time_point now)
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    const auto add = [&](const host_report& report)
    {
        if (report.m_ready && !report.m_stopping)
        {
            auto& list = report.m_data_centre == near ? local : remote;
            list.push_back(address_text(report.m_caller));
        }
    };
    add(own);
    for (const auto& [id, host] : table.m_hosts)
    {
        if (is_live(host, now))
        {
            add(host.m_report);
        }
    }
    for (auto& address : remote)
    {
        if (local.size() >= min_count)
        {
            break;
        }
        local.push_back(std::move(address));
    }
    return local;
}

} // namespace geraniumdoor::serving
