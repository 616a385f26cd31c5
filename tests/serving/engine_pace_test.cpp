#include <geraniumdoor/serving/engine_pace.hpp>

#include <set>
#include <string>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point now_{1000s};

prompt prompt_of(std::uint32_t shared, std::uint32_t own, const std::string& id)
{
    prompt request;
    request.m_parts = {{"shared", shared}, {id, own}};
    request.m_prompt_tokens = shared + own;
    request.m_output_tokens = 100;
    return request;
}

upstream_table engines(int count)
{
    upstream_table table;
    for (int at = 0; at < count; ++at)
    {
        upstream_entry entry;
        entry.m_id.m_value = "e" + std::to_string(at);
        entry.m_pool.m_value = "engine";
        entry.m_data_centre.m_value = "z1";
        entry.m_concurrency = 64;
        apply_entry(table, entry, now_);
    }
    return table;
}

} // namespace

TestSuite(engine_pace);

// Guards against engines that count as slow because they read a long prompt, on a
// deployment whose engines read more slowly than others.
Test(engine_pace, an_engine_is_judged_by_what_its_prompt_takes)
{
    constexpr double tokens_per_ms = 36.7;
    engine_pace pace;
    const upstream_table table = engines(1);
    const upstream& engine = *table.m_rows.find(upstream_id{"e0"});
    double slowness = 0;
    for (int round = 0; round < 40; ++round)
    {
        for (const std::uint32_t tokens : {1000U, 9000U, 50000U})
        {
            const double usual =
                usual_first_token_ms(engine, prompt_of(0, tokens, "p"), false);
            slowness = record_first_token(pace, usual, 14 + tokens / tokens_per_ms);
            if (round > 5)
            {
                cr_expect(slowness > 0.7 && slowness < 1.3, "%u tokens: %f", tokens,
                          slowness);
            }
        }
    }
    const double usual = usual_first_token_ms(engine, prompt_of(0, 9000, "p"), false);
    slowness = record_first_token(pace, usual, 2 * (14 + 9000 / tokens_per_ms));
    cr_expect(slowness > 1.5);
}

// Guards against hosts that all choose the same engine in the time between two reports,
// when the home engine of many prompts has no time.
Test(engine_pace, requests_that_leave_their_home_engine_are_spread)
{
    upstream_table table = engines(30);
    const engine_limits limits{64, 400'000};
    const auto choose = [&](const std::string& id)
    {
        return choose_engine(table, pool_id{"engine"}, prompt_of(3000, 500, id), limits,
                             {}, {}, now_)
            ->m_entry.m_id;
    };
    const upstream_id home = choose("r0");
    cr_expect(is_home_engine(table, prompt_of(3000, 500, "r0"), *table.m_rows.find(home),
                             now_));
    table.m_rows.find(home)->m_running_elsewhere = 64;
    std::set<std::string> chosen;
    for (int at = 0; at < 60; ++at)
    {
        chosen.insert(choose("r" + std::to_string(at)).m_value);
    }
    cr_expect(not chosen.contains(home.m_value));
    cr_expect(chosen.size() >= 10, "%zu engines", chosen.size());
}
