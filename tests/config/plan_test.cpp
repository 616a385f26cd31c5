#include "sample_configuration.hpp"

#include <geraniumdoor/config/configuration_document.hpp>
#include <geraniumdoor/config/plan.hpp>

#include <rapidcheck.h>

#include <cmath>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

// Guards against a plan that grants more than the pools carry, serves a later priority
// first, or leaves capacity unused while a demand is short.
TestSuite(plan);

namespace
{

/// One pool that carries 40 calls a second, and a pipeline of one call.
configuration small_configuration(std::vector<workspace_config> workspaces,
                                  const std::vector<double>& wanted)
{
    configuration config = sample_configuration();
    config.m_workspaces = std::move(workspaces);
    config.m_demands.clear();
    for (std::size_t i = 0; i < wanted.size(); ++i)
    {
        config.m_demands.push_back({config.m_workspaces[i].m_id, {"ask"}, wanted[i], 0});
    }
    return config;
}

bool near(double left, double right)
{
    return std::abs(left - right) < 0.01;
}

double load_of(const configuration& config, const pool_id& pool)
{
    double load = 0;
    for (const auto& demand : config.m_demands)
    {
        for (const auto& stage : find_pipeline(config, demand.m_pipeline)->m_stages)
        {
            load += stage.m_pool == pool ? demand.m_granted_per_s : 0;
        }
    }
    return load;
}

/// Three workspaces of any priority and weight, each with a demand for both pipelines.
configuration random_configuration()
{
    configuration config =
        small_configuration({{{"a"}, 0, 1}, {{"b"}, 0, 1}, {{"c"}, 0, 1}}, {0, 0, 0});
    for (auto& workspace : config.m_workspaces)
    {
        workspace.m_priority = *rc::gen::inRange<std::uint32_t>(0, 3);
        workspace.m_weight = *rc::gen::inRange<std::uint32_t>(1, 20);
        config.m_demands.push_back({workspace.m_id, {"renewal"}, 0, 0});
    }
    for (auto& demand : config.m_demands)
    {
        demand.m_wanted_per_s = *rc::gen::inRange(0, 200);
    }
    return config;
}

} // namespace

Test(plan, demands_that_fit_are_granted_in_full)
{
    auto config = small_configuration({{{"a"}, 1, 1}, {{"b"}, 1, 1}}, {30, 10});
    cr_expect(fit_plan(config).empty());
    EXPECT_EQUAL(config.m_demands[0].m_granted_per_s, 30);
    EXPECT_EQUAL(config.m_demands[1].m_granted_per_s, 10);
}

Test(plan, an_earlier_priority_is_served_before_a_larger_weight)
{
    auto config = small_configuration({{{"a"}, 1, 1000}, {{"b"}, 0, 1}}, {30, 35});
    const auto shortfalls = fit_plan(config);
    cr_assert_eq(shortfalls.size(), 1u);
    cr_expect(near(shortfalls[0].m_granted_per_s, 5));
    EXPECT_EQUAL(config.m_demands[1].m_granted_per_s, 35);
}

Test(plan, shares_within_a_priority_follow_the_weights_and_small_demands_are_met)
{
    auto config =
        small_configuration({{{"a"}, 1, 1}, {{"b"}, 1, 3}, {{"c"}, 1, 1}}, {100, 100, 4});
    cr_expect_eq(fit_plan(config).size(), 2u);
    cr_expect(near(config.m_demands[0].m_granted_per_s, 9));
    cr_expect(near(config.m_demands[1].m_granted_per_s, 27));
    EXPECT_EQUAL(config.m_demands[2].m_granted_per_s, 4);
}

Test(plan, no_pool_is_overrun_and_a_short_demand_meets_a_full_pool)
{
    const bool holds = rc::check(
        []
        {
            configuration config = random_configuration();
            const auto shortfalls = fit_plan(config);
            for (const auto& pool : config.m_pools)
            {
                RC_ASSERT(load_of(config, pool.m_id) <= pool_capacity_per_s(pool) + 1e-6);
            }
            for (const auto& shortfall : shortfalls)
            {
                const auto* pool = find_pool(config, shortfall.m_pool);
                RC_ASSERT(load_of(config, pool->m_id) >=
                          pool_capacity_per_s(*pool) - 0.02);
            }
            for (const auto& demand : config.m_demands)
            {
                RC_ASSERT(demand.m_granted_per_s <= demand.m_wanted_per_s);
            }
        });
    cr_expect(holds);
}

Test(plan, a_plan_of_the_design_size_is_fitted)
{
    configuration config = sample_configuration();
    config.m_workspaces.clear();
    config.m_demands.clear();
    for (std::uint32_t i = 0; i < 3400; ++i)
    {
        const workspace_id id{"w" + std::to_string(i)};
        config.m_workspaces.push_back({id, i % 3, 1 + i % 7});
        config.m_demands.push_back({id, {"ask"}, 0.01 * (i % 11), 0});
        config.m_demands.push_back({id, {"renewal"}, 0.01 * (i % 13), 0});
    }
    cr_expect(not fit_plan(config).empty());
    cr_expect(load_of(config, {"llm"}) <= 40);
}
