#include <geraniumdoor/request/owner_selection.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace
{

using namespace geraniumdoor;

constexpr std::uint32_t pools = 24;
constexpr std::uint32_t upstreams_of_an_owner = 4;
constexpr std::uint32_t rounds = 5;
constexpr std::uint32_t choices_of_a_round = 20000;

pool_id pool_name(std::uint32_t pool)
{
    return {"pool-" + std::to_string(pool)};
}

/// Upstreams spread over owners; half of them are in one pool, as when most pipelines
/// share a model.
owner_routes make_routes(std::uint32_t upstreams)
{
    owner_routes routes;
    const std::uint32_t owners = std::max(upstreams / upstreams_of_an_owner, 1U);
    std::vector<ownership_announce> messages(owners);
    for (std::uint32_t at = 0; at < upstreams; ++at)
    {
        auto& message = messages[at % owners];
        message.m_owner = {"node-" + std::to_string(at % owners)};
        message.m_incarnation = {1};
        message.m_sequence = 1;
        const auto pool = at % 2 == 0 ? 0 : at % pools;
        message.m_upstreams.push_back(
            {{"upstream-" + std::to_string(at)}, pool_name(pool), {"d"}, {1}, 8});
    }
    for (const auto& message : messages)
    {
        apply_announcement(routes, message);
    }
    return routes;
}

/// Time of one choice with the load estimate of the call, in microseconds.
double round_us(owner_routes& routes, random_source& random)
{
    const std::vector<upstream_id> excluded{{"upstream-0"}, {"upstream-2"}};
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t at = 0; at < choices_of_a_round; ++at)
    {
        const owner_query query{pool_name(at % pools), &excluded, nullptr};
        if (const auto choice = choose_owner(routes, query, random))
        {
            record_call_sent(routes, query.m_pool, choice->m_owner);
            record_call_end(routes, query.m_pool, choice->m_owner, pool_hint{4, 8, 0},
                            begin);
        }
    }
    const auto took = std::chrono::steady_clock::now() - begin;
    return to_ms(took) * 1000 / choices_of_a_round;
}

double best_us(std::uint32_t upstreams)
{
    auto routes = make_routes(upstreams);
    random_source random{20261204};
    double best = round_us(routes, random);
    for (std::uint32_t round = 1; round < rounds; ++round)
    {
        best = std::min(best, round_us(routes, random));
    }
    return best;
}

} // namespace

/// Prints the time of one owner choice by number of upstreams, and its slope.
int main()
{
    constexpr std::array<std::uint32_t, 4> sizes{12, 54, 216, 860};
    std::array<double, 4> times{};
    for (std::size_t at = 0; at < sizes.size(); ++at)
    {
        times[at] = best_us(sizes[at]);
        std::printf("upstreams=%u pools=%u choice_us=%.3f\n", sizes[at], pools,
                    times[at]);
    }
    const double slope = (times.back() - times.front()) /
                         static_cast<double>(sizes.back() - sizes.front());
    std::printf("slope_ns_per_upstream=%.4f target_us=20 target_met=%s\n", slope * 1000,
                times.back() <= 20 ? "yes" : "no");
    return 0;
}
