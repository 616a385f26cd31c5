#include "../tests/cluster/simulated_cluster.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <ctime>
#include <iostream>

using namespace geraniumdoor;

namespace
{

constexpr milliseconds join_limit{60'000};
constexpr milliseconds quiet_time{30'000};
constexpr std::uint64_t seed = 20261204;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Milliseconds, or -1 when the limit passed.
long length_of(std::optional<milliseconds> length)
{
    return length ? static_cast<long>(length->count()) : -1;
}

void run_quiet(simulated_cluster& cluster, const std::string& prefix)
{
    for (auto& node : cluster.m_nodes)
    {
        node.m_bytes = 0;
    }
    const double before = processor_seconds();
    cluster.run(quiet_time);
    const double used = processor_seconds() - before;
    std::uint64_t bytes = 0;
    std::uint64_t most = 0;
    for (const auto& node : cluster.m_nodes)
    {
        bytes += node.m_bytes;
        most = std::max(most, node.m_bytes);
    }
    const double node_seconds = to_s(quiet_time) * cluster.m_nodes.size();
    std::cout << prefix << "bytes_per_s_and_node=" << bytes / node_seconds << '\n'
              << prefix << "most_bytes_per_s=" << most / to_s(quiet_time) << '\n'
              << prefix << "cpu_us_per_s_and_node=" << used * 1e6 / node_seconds << '\n';
}

void run_config(simulated_cluster& cluster, const std::string& prefix)
{
    const config_version version{7};
    set_config_version(*cluster.m_nodes[0].m_state, version);
    const auto all = cluster.run_until(join_limit,
                                       [&]
                                       {
                                           for (const auto& node : cluster.m_nodes)
                                           {
                                               if (node.m_state->m_config < version)
                                               {
                                                   return false;
                                               }
                                           }
                                           return true;
                                       });
    std::cout << prefix << "config_reached_all_ms=" << length_of(all) << '\n';
}

void run_detection(simulated_cluster& cluster, const std::string& prefix)
{
    cluster.m_nodes.back().m_state.reset();
    const auto all = cluster.run_until(join_limit,
                                       [&]
                                       {
                                           return cluster.agree();
                                       });
    std::cout << prefix << "death_known_to_all_ms=" << length_of(all) << '\n';
}

} // namespace

int main()
{
    set_log_sink([](std::string_view) {});
    for (const std::size_t count : {9, 27, 90, 370})
    {
        const std::string prefix = "nodes_" + std::to_string(count) + "_";
        simulated_cluster cluster{count, count < 50 ? std::size_t{3} : std::size_t{6},
                                  seed};
        const auto joined = cluster.run_until(join_limit,
                                              [&]
                                              {
                                                  return cluster.agree();
                                              });
        std::cout << prefix << "joined_ms=" << length_of(joined) << '\n';
        cluster.run(quiet_time);
        run_quiet(cluster, prefix);
        run_config(cluster, prefix);
        run_detection(cluster, prefix);
    }
}
