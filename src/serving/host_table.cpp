#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/host_table.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor::serving
{

namespace
{

/// Hosts heard of within this time count as senders. Longer than any cut that a day
/// plays.
constexpr seconds sender_memory{60};

/// Weight of a host for a duty. Weighted rendezvous hashing: the share of duties that a
/// host gets is proportional to the cube of its processor time, because the links of the
/// small hosts are narrow out of proportion, and a duty sends to all others.
double duty_weight(std::string_view duty, const node_id& host, std::uint32_t processor)
{
    constexpr double scale = 18446744073709551616.0;
    const double unit =
        (static_cast<double>(rendezvous_weight(duty, host.m_value)) + 0.5) / scale;
    const double size = std::max<std::uint32_t>(1, processor);
    return -size * size * size / std::log(unit);
}

/// Name of the duty to read the store in rendezvous hashing.
constexpr std::string_view store_duty = "store";

std::string address_text(const node_address& address)
{
    return address.m_ip + ':' + std::to_string(address.m_port);
}

} // namespace

bool apply_report(host_table& table, const host_report& report, duration live_for,
                  time_point now)
{
    const auto [at, inserted] = table.m_hosts.try_emplace(report.m_node);
    peer_host& host = at->second;
    const bool older =
        !inserted && (report.m_incarnation < host.m_report.m_incarnation ||
                      (report.m_incarnation == host.m_report.m_incarnation &&
                       report.m_sequence <= host.m_report.m_sequence));
    if (older)
    {
        return false;
    }
    const bool was_live = !inserted && is_live(host, live_for, now) &&
                          report.m_incarnation == host.m_report.m_incarnation;
    host.m_report = report;
    host.m_last_heard = now;
    return !was_live;
}

bool is_live(const peer_host& host, duration live_for, time_point now)
{
    return now - host.m_last_heard <= live_for;
}

std::size_t count_possible_senders(const host_table& table, time_point now)
{
    const auto recent =
        std::count_if(table.m_hosts.begin(), table.m_hosts.end(),
                      [&](const auto& entry)
                      {
                          return is_live(entry.second, sender_memory, now);
                      });
    return static_cast<std::size_t>(recent) + 1;
}

bool is_store_reader(const host_table& table, const host_report& own, std::size_t readers,
                     duration longest_age, time_point now)
{
    const double own_weight = duty_weight(store_duty, own.m_node, own.m_processor);
    std::size_t ahead = 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const bool never = host.m_report.m_store_age_ms == UINT32_MAX;
        const duration age =
            milliseconds{host.m_report.m_store_age_ms} + (now - host.m_last_heard);
        const bool reads = !never && age <= longest_age && !host.m_report.m_stopping;
        if (reads && duty_weight(store_duty, id, host.m_report.m_processor) > own_weight)
        {
            ++ahead;
        }
    }
    return ahead < readers;
}

bool is_initial_store_reader(const host_table& table, const host_report& own,
                             std::size_t readers)
{
    const double own_weight = duty_weight(store_duty, own.m_node, own.m_processor);
    std::size_t ahead = 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const double weight = duty_weight(store_duty, id, host.m_report.m_processor);
        ahead += weight > own_weight ? 1 : 0;
    }
    return ahead < readers;
}

std::size_t count_live_hosts(const host_table& table, duration live_for, time_point now)
{
    const auto live = std::count_if(table.m_hosts.begin(), table.m_hosts.end(),
                                    [&](const auto& entry)
                                    {
                                        return is_live(entry.second, live_for, now);
                                    });
    return static_cast<std::size_t>(live) + 1;
}

node_id queue_host(const host_table& table, const host_report& own, const pool_id& pool,
                   duration live_for, time_point now)
{
    node_id best = own.m_node;
    const bool own_fits = own.m_ready && !own.m_stopping;
    double best_weight =
        own_fits ? duty_weight(pool.m_value, own.m_node, own.m_processor) : 0;
    for (const auto& [id, host] : table.m_hosts)
    {
        const bool fits = is_live(host, live_for, now) && !host.m_report.m_stopping &&
                          host.m_report.m_ready;
        const double weight =
            fits ? duty_weight(pool.m_value, id, host.m_report.m_processor) : 0;
        if (weight > best_weight)
        {
            best = id;
            best_weight = weight;
        }
    }
    return best;
}

std::vector<std::string> caller_addresses(const host_table& table, const host_report& own,
                                          const data_centre_id& near, std::size_t enough,
                                          duration live_for, time_point now)
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
        if (is_live(host, live_for, now))
        {
            add(host.m_report);
        }
    }
    for (auto& address : remote)
    {
        if (local.size() >= enough)
        {
            break;
        }
        local.push_back(std::move(address));
    }
    return local;
}

} // namespace geraniumdoor::serving
