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
    std::string name{host.substr(0, host.find(':'))};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   {
                       return static_cast<char>(std::tolower(c));
                   });
    return name;
}

} // namespace

void index_routes(routing_config& config)
{
    config.m_routes_by_host.clear();
    for (std::size_t at = 0; at < config.m_routes.size(); ++at)
    {
        config.m_routes_by_host[normalized_host(config.m_routes[at].m_host)].push_back(
            at);
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
    for (const std::size_t at : routes->second)
    {
        if (path.starts_with(config.m_routes[at].m_prefix))
        {
            return &config.m_routes[at];
        }
    }
    return nullptr;
}

pool_id choose_pool(const route& chosen, const attempt_id& request)
{
    double total = 0;
    for (const weighted_pool& candidate : chosen.m_pools)
    {
        total += candidate.m_weight;
    }
    constexpr std::uint64_t steps = 1 << 20;
    const double share = static_cast<double>(stable_hash(request.m_value) % steps) /
                         static_cast<double>(steps);
    double at = share * total;
    for (const weighted_pool& candidate : chosen.m_pools)
    {
        at -= candidate.m_weight;
        if (at < 0)
        {
            return candidate.m_pool;
        }
    }
    return chosen.m_pools.empty() ? pool_id{} : chosen.m_pools.back().m_pool;
}

std::vector<std::uint32_t> final_stages(const route& chosen)
{
    std::vector<std::uint32_t> result;
    for (std::uint32_t at = 0; at < chosen.m_stages.size(); ++at)
    {
        const bool taken = std::any_of(
            chosen.m_stages.begin(), chosen.m_stages.end(),
            [&](const route_stage& other)
            {
                return std::find(other.m_predecessors.begin(), other.m_predecessors.end(),
                                 at) != other.m_predecessors.end();
            });
        if (!taken)
        {
            result.push_back(at);
        }
    }
    return result;
}

} // namespace geraniumdoor::serving
