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

/// Weight of a host for a role (the queue of a pool, or reading the store) in weighted
/// rendezvous hashing: the host with the highest weight gets the role. The share of roles
/// that a host gets is proportional to the cube of its processor time. Small hosts have
/// disproportionately little bandwidth, and the host of a role sends to all others.
double role_weight(std::string_view role, const node_id& host,
                   std::uint32_t processor_millicores)
{
    constexpr double hash_range = 18446744073709551616.0;
    const double unit_hash =
        (static_cast<double>(rendezvous_weight(role, host.m_value)) + 0.5) / hash_range;
    const double size = std::max<std::uint32_t>(1, processor_millicores);
    return -size * size * size / std::log(unit_hash);
}

/// Name of the store reader's role in rendezvous hashing.
constexpr std::string_view store_reader_role = "store";

std::string address_text(const node_address& address)
{
    return address.m_ip + ':' + std::to_string(address.m_port);
}

} // namespace

bool apply_report(host_table& table, const host_report& report, duration liveness_timeout,
                  time_point now)
{
    const auto [position, inserted] = table.m_hosts.try_emplace(report.m_node);
    peer_host& host = position->second;
    const bool is_stale =
        !inserted && (report.m_incarnation < host.m_report.m_incarnation ||
                      (report.m_incarnation == host.m_report.m_incarnation &&
                       report.m_sequence <= host.m_report.m_sequence));
    if (is_stale)
    {
        return false;
    }
    const bool was_live = !inserted && is_live(host, liveness_timeout, now) &&
                          report.m_incarnation == host.m_report.m_incarnation;
    host.m_report = report;
    host.m_last_heard = now;
    return !was_live;
}

bool is_live(const peer_host& host, duration liveness_timeout, time_point now)
{
    return now - host.m_last_heard <= liveness_timeout;
}

std::size_t count_possible_senders(const host_table& table, time_point now)
{
    const auto recent =
        std::count_if(table.m_hosts.begin(), table.m_hosts.end(),
                      [&](const auto& entry)
                      {
                          return is_live(entry.second, limit_sharing_window, now);
                      });
    return static_cast<std::size_t>(recent) + 1;
}

bool is_store_reader(const host_table& table, const host_report& own,
                     std::size_t reader_count, duration max_read_age, time_point now)
{
    const double own_weight = role_weight(store_reader_role, own.m_node, own.m_processor);
    std::size_t hosts_ahead = 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const bool never_read = host.m_report.m_store_age_ms == UINT32_MAX;
        const duration age =
            milliseconds{host.m_report.m_store_age_ms} + (now - host.m_last_heard);
        const bool is_reader =
            !never_read && age <= max_read_age && !host.m_report.m_stopping;
        if (is_reader &&
            role_weight(store_reader_role, id, host.m_report.m_processor) > own_weight)
        {
            ++hosts_ahead;
        }
    }
    return hosts_ahead < reader_count;
}

bool is_initial_store_reader(const host_table& table, const host_report& own,
                             std::size_t reader_count)
{
    const double own_weight = role_weight(store_reader_role, own.m_node, own.m_processor);
    std::size_t hosts_ahead = 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const double weight =
            role_weight(store_reader_role, id, host.m_report.m_processor);
        hosts_ahead += weight > own_weight ? 1 : 0;
    }
    return hosts_ahead < reader_count;
}

std::size_t count_live_hosts(const host_table& table, duration liveness_timeout,
                             time_point now)
{
    const auto live =
        std::count_if(table.m_hosts.begin(), table.m_hosts.end(),
                      [&](const auto& entry)
                      {
                          return is_live(entry.second, liveness_timeout, now);
                      });
    return static_cast<std::size_t>(live) + 1;
}

node_id queue_host(const host_table& table, const host_report& own, const pool_id& pool,
                   duration liveness_timeout, time_point now)
{
    node_id best = own.m_node;
    const bool own_is_candidate = own.m_ready && !own.m_stopping;
    double best_weight =
        own_is_candidate ? role_weight(pool.m_value, own.m_node, own.m_processor) : 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const bool is_candidate = is_live(host, liveness_timeout, now) &&
                                  !host.m_report.m_stopping && host.m_report.m_ready;
        const double weight =
            is_candidate ? role_weight(pool.m_value, id, host.m_report.m_processor) : 0;
        if (weight > best_weight)
        {
            best = id;
            best_weight = weight;
        }
    }
    return best;
}

std::vector<std::string> caller_addresses(const host_table& table, const host_report& own,
                                          const data_centre_id& near,
                                          std::size_t min_count,
                                          duration liveness_timeout, time_point now)
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
        if (is_live(host, liveness_timeout, now))
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
