#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/routing.hpp>

#include <algorithm>
#include <cctype>

namespace geraniumdoor::serving
{

namespace
{

std::string normalized_host(std::string_view host)
{
    std::string host_name{host.substr(0, host.find(':'))};
    std::transform(host_name.begin(), host_name.end(), host_name.begin(),
                   [](unsigned char c)
                   {
                       return static_cast<char>(std::tolower(c));
                   });
    return host_name;
}

} // namespace

void index_routes(routing_config& config)
{
    config.m_routes_by_host.clear();
    for (std::size_t index = 0; index < config.m_routes.size(); ++index)
    {
        config.m_routes_by_host[normalized_host(config.m_routes[index].m_host)].push_back(
            index);
    }
    for (auto& [host, routes] : config.m_routes_by_host)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [&](std::size_t a, std::size_t b)
                         {
                             return config.m_routes[a].m_prefix.size() >
                                    config.m_routes[b].m_prefix.size();
                         });
    }
}

const route* find_route(const routing_config& config, std::string_view host,
                        std::string_view target)
{
    const auto routes = config.m_routes_by_host.find(normalized_host(host));
    if (routes == config.m_routes_by_host.end())
    {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (const std::size_t index : routes->second)
    {
        if (path.starts_with(config.m_routes[index].m_prefix))
        {
            return &config.m_routes[index];
        }
    }
    return nullptr;
}

pool_id choose_pool(const route& request_route, const attempt_id& request)
{
    double total = 0;
    for (const weighted_pool& candidate : request_route.m_pools)
    {
        total += candidate.m_weight;
    }
    constexpr std::uint64_t hash_steps = 1 << 20;
    const double share = static_cast<double>(stable_hash(request.m_value) % hash_steps) /
                         static_cast<double>(hash_steps);
    double remaining_weight = share * total;
    for (const weighted_pool& candidate : request_route.m_pools)
    {
        remaining_weight -= candidate.m_weight;
        if (remaining_weight < 0)
        {
            return candidate.m_pool;
        }
    }
    return request_route.m_pools.empty() ? pool_id{}
                                         : request_route.m_pools.back().m_pool;
}

std::vector<std::uint32_t> final_stages(const route& request_route)
{
    std::vector<std::uint32_t> stages;
    for (std::uint32_t index = 0; index < request_route.m_stages.size(); ++index)
    {
        const bool has_successor = std::any_of(
            request_route.m_stages.begin(), request_route.m_stages.end(),
            [&](const route_stage& other)
            {
                return std::find(other.m_predecessors.begin(), other.m_predecessors.end(),
                                 index) != other.m_predecessors.end();
            });
        if (!has_successor)
        {
            stages.push_back(index);
        }
    }
    return stages;
}

} // namespace geraniumdoor::serving
