#include <geraniumdoor/serving/engine_choice.hpp>
#include <geraniumdoor/serving/path_estimate.hpp>
#include <geraniumdoor/serving/routing.hpp>

#include <set>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point now{1000s};

upstream_entry entry_of(const std::string& id, const std::string& data_centre)
{
    upstream_entry entry;
    entry.m_id.m_value = id;
    entry.m_pool.m_value = "engines";
    entry.m_address = *parse_endpoint("127.0.0.1:8001");
    entry.m_data_centre.m_value = data_centre;
    entry.m_concurrency = 64;
    entry.m_started_unix_ms = 1;
    return entry;
}

upstream_table sample_table(int count)
{
    upstream_table table;
    for (int index = 0; index < count; ++index)
    {
        apply_entry(
            table, entry_of("e" + std::to_string(index), "z" + std::to_string(index % 3)),
            now);
    }
    return table;
}

prompt sample_prompt(const std::string& shared)
{
    prompt request_prompt;
    request_prompt.m_parts = {{shared, 13'000}, {"own", 3'000}};
    request_prompt.m_prompt_tokens = 16'000;
    request_prompt.m_output_tokens = 120;
    return request_prompt;
}

const upstream* engine_for(const upstream_table& table, const prompt& request_prompt,
                           const std::vector<upstream_id>& tried = {})
{
    return choose_engine(table, pool_id{"engines"}, request_prompt, {64, 499'130}, tried,
                         {}, now);
}

} // namespace

// Guards against prompts whose shared prefix is prefilled again on another engine,
// requests sent to upstreams that are leaving, and choices that overload one upstream.
TestSuite(choice);

Test(choice, prompts_with_a_shared_prefix_go_to_the_same_engine)
{
    const upstream_table table = sample_table(12);
    const upstream* first = engine_for(table, sample_prompt("shared"));
    const upstream* second = engine_for(table, sample_prompt("shared"));
    EXPECT_EQUAL(first, second);
    std::set<std::string> used_engines;
    for (int index = 0; index < 40; ++index)
    {
        used_engines.insert(engine_for(table, sample_prompt("p" + std::to_string(index)))
                                ->m_entry.m_id.m_value);
    }
    cr_expect(used_engines.size() >= 9,
              "40 prefixes are distributed over the 12 engines");
}

Test(choice, a_hot_prefix_spills_over_when_its_engine_is_busy)
{
    upstream_table table = sample_table(12);
    const upstream_id home = engine_for(table, sample_prompt("shared"))->m_entry.m_id;
    table.m_rows.find(home)->m_running_elsewhere = 63;
    table.m_rows.find(home)->m_running = 20;
    const upstream* other = engine_for(table, sample_prompt("shared"));
    cr_expect(other->m_entry.m_id != home);
}

Test(choice, a_prompt_with_a_short_shared_prefix_goes_to_the_data_centre_of_its_inputs)
{
    const upstream_table table = sample_table(12);
    const prompt small{{{"chat", 300}, {"own", 500}}, 800, 100};
    const prompt large = sample_prompt("shared");
    const upstream* home = engine_for(table, large);
    for (const char* data_centre : {"z0", "z1", "z2"})
    {
        const input_location inputs{data_centre_id{data_centre}, 6'000'000};
        const auto choose = [&](const prompt& request_prompt)
        {
            return choose_engine(table, pool_id{"engines"}, request_prompt, {64, 499'130},
                                 {}, inputs, now);
        };
        EXPECT_EQUAL(choose(small)->m_entry.m_data_centre.m_value, data_centre);
        EXPECT_EQUAL(choose(large), home);
    }
}

Test(choice, nothing_goes_to_a_leaving_upstream_or_an_evacuated_data_centre)
{
    upstream_table table = sample_table(3);
    upstream_entry leaving = entry_of("e0", "z0");
    leaving.m_leaving = true;
    apply_entry(table, leaving, now);
    table.m_evacuated_data_centres.insert(data_centre_id{"z1"});
    for (int index = 0; index < 20; ++index)
    {
        const auto* chosen =
            engine_for(table, sample_prompt("p" + std::to_string(index)));
        EXPECT_EQUAL(chosen->m_entry.m_id.m_value, "e2");
    }
}

Test(choice, a_stream_that_goes_on_stays_with_its_version)
{
    upstream_table table = sample_table(12);
    for (int index = 0; index < 12; ++index)
    {
        const std::string id = "e" + std::to_string(index);
        table.m_rows.find(upstream_id{id})->m_entry.m_version.m_value =
            index < 4 ? "v1" : "v2";
    }
    for (int index = 0; index < 40; ++index)
    {
        for (const char* version : {"v1", "v2"})
        {
            const auto* chosen = choose_engine(
                table, pool_id{"engines"}, sample_prompt("p" + std::to_string(index)),
                {64, 499'130}, {}, {}, now, software_version{version});
            cr_assert(chosen != nullptr);
            EXPECT_EQUAL(chosen->m_entry.m_version.m_value, version);
        }
    }
    cr_expect(choose_engine(table, pool_id{"engines"}, sample_prompt("p"), {64, 499'130},
                            {}, {}, now, software_version{"v3"}) == nullptr);
}

// Guards against streams that nobody can take up when the last engine of a version breaks
// them off, in the middle of a release.
Test(choice, new_streams_avoid_the_only_engine_of_a_version)
{
    upstream_table table = sample_table(6);
    table.m_rows.find(upstream_id{"e0"})->m_entry.m_version.m_value = "v1";
    for (int index = 1; index < 6; ++index)
    {
        table.m_rows.find(upstream_id{"e" + std::to_string(index)})
            ->m_entry.m_version.m_value = "v2";
    }
    for (int index = 0; index < 40; ++index)
    {
        const auto* chosen =
            engine_for(table, sample_prompt("p" + std::to_string(index)));
        EXPECT_EQUAL(chosen->m_entry.m_version.m_value, "v2");
    }
    // It is used when the others are full.
    for (int index = 1; index < 6; ++index)
    {
        table.m_rows.find(upstream_id{"e" + std::to_string(index)})->m_running = 64;
    }
    EXPECT_EQUAL(engine_for(table, sample_prompt("p"))->m_entry.m_id.m_value, "e0");
}

Test(choice, an_unreachable_upstream_is_ejected_for_a_growing_time)
{
    upstream_table table = sample_table(2);
    upstream& row = *table.m_rows.find(upstream_id{"e0"});
    record_unreachable(row, now);
    cr_expect(not is_available(table, row, now + 600ms));
    cr_expect(is_available(table, row, now + 800ms));
    record_unreachable(row, now);
    cr_expect(not is_available(table, row, now + 1200ms));
}

Test(choice, the_hosts_together_stay_within_the_rate_limit_of_a_cold_upstream)
{
    for (const std::size_t hosts : {1U, 3U, 7U, 14U, 15U, 65U, 300U})
    {
        std::uint32_t sum = 0;
        for (std::size_t rank = 0; rank < hosts; ++rank)
        {
            sum += cold_quota(14.45, hosts, rank);
        }
        cr_expect(sum <= 14 && sum >= 7, "%zu hosts send %u", hosts, sum);
    }
    upstream_table table = sample_table(2);
    upstream& row = *table.m_rows.find(upstream_id{"e0"});
    row.m_cold_until = now + 3s;
    row.m_sends.m_cold_quota = 2;
    record_send(row.m_sends, now);
    cr_expect(decide_send(row, now) == send_decision::allowed);
    record_send(row.m_sends, now);
    cr_expect(decide_send(row, now + 900ms) == send_decision::denied);
    cr_expect(decide_send(row, now + 1300ms) == send_decision::allowed);
    const auto* other =
        choose_upstream(table, pool_id{"engines"}, data_centre_id{"z0"}, {}, now);
    EXPECT_EQUAL(other->m_entry.m_id.m_value, "e1");
}

Test(choice, a_restart_under_the_same_id_discards_the_observations)
{
    upstream_table table = sample_table(1);
    upstream& row = *table.m_rows.find(upstream_id{"e0"});
    row.m_running = 5;
    record_unreachable(row, now);
    upstream_entry restarted = entry_of("e0", "z0");
    restarted.m_started_unix_ms = 2;
    apply_entry(table, restarted, now);
    EXPECT_EQUAL(table.m_rows.find(upstream_id{"e0"})->m_running, 0U);
    cr_expect(is_available(table, *table.m_rows.find(upstream_id{"e0"}), now));
}

Test(choice, a_plain_service_avoids_upstreams_that_fail_or_are_slow)
{
    upstream_table table = sample_table(3);
    for (int index = 0; index < 10; ++index)
    {
        record_response(table, *table.m_rows.find(upstream_id{"e0"}), false, 1);
        record_response(table, *table.m_rows.find(upstream_id{"e1"}), true, 5);
    }
    const auto* chosen =
        choose_upstream(table, pool_id{"engines"}, data_centre_id{"z0"}, {}, now);
    EXPECT_EQUAL(chosen->m_entry.m_id.m_value, "e2");
}

Test(choice, the_longest_prefix_of_the_host_selects_the_route)
{
    routing_config config;
    config.m_routes.push_back({"short", "a.example", "/x/"});
    config.m_routes.push_back({"long", "a.example", "/x/y/"});
    config.m_routes.push_back({"other", "b.example", "/x/y/z/"});
    index_routes(config);
    EXPECT_EQUAL(find_route(config, "A.example:80", "/x/y/z/1?q=/x/")->m_name, "long");
    EXPECT_EQUAL(find_route(config, "a.example", "/x/1")->m_name, "short");
    cr_expect(find_route(config, "a.example", "/x") == nullptr);
    cr_expect(find_route(config, "c.example", "/x/y/") == nullptr);
}

Test(choice, a_weighted_route_gives_each_pool_its_share)
{
    route weighted;
    weighted.m_pools = {{pool_id{"a"}, 90}, {pool_id{"b"}, 10}};
    int second = 0;
    for (int index = 0; index < 1000; ++index)
    {
        second += choose_pool(weighted, {std::to_string(index)}) == pool_id{"b"} ? 1 : 0;
    }
    cr_expect(second > 60 && second < 140);
}

Test(choice, a_path_estimate_sums_the_stages_of_the_longest_branch)
{
    route request_route;
    request_route.m_stages = {{pool_id{"heavy"}, {}, 3'000'000},
                              {pool_id{"light"}, {}, 8'000},
                              {pool_id{"second"}, {1}, 60'000}};
    const std::vector<stage_estimate> stages{{0ms, 200ms}, {50ms, 160ms}, {100ms, 250ms}};
    const auto path = estimate_path(request_route, stages, {1, 1, 8}, 300ms);
    EXPECT_EQUAL(path.m_first_byte, 860ms);
    EXPECT_EQUAL(path.m_remaining_service_time[1], 550ms);
    EXPECT_EQUAL(path.m_remaining_time[1], 650ms);
    EXPECT_EQUAL(path.m_remaining_time[0], 300ms);
    const auto without = estimate_path(request_route, stages, {1, 0, 0}, 300ms);
    EXPECT_EQUAL(without.m_first_byte, 500ms);
    EXPECT_EQUAL(final_stages(request_route), (std::vector<std::uint32_t>{0, 2}));
}

Test(choice, callers_are_told_to_retry_within_a_third_of_their_time)
{
    EXPECT_EQUAL(retry_after_delay(5s, 6s), 2s);
    EXPECT_EQUAL(retry_after_delay(500ms, 6s), 500ms);
    EXPECT_EQUAL(retry_after_delay(0ms, 6s), 100ms);
}

// Guards against inputs that occupy memory while a prompt is prefilled, and against
// inputs that are released before the engine has fetched them.
Test(choice, inputs_are_released_once_an_engine_with_a_free_slot_has_fetched_them)
{
    upstream_table table = sample_table(2);
    upstream& engine = *table.m_rows.find(upstream_id{"e0"});
    const engine_limits limits{64, 499'130};
    constexpr double bytes_per_ms = 1'250'000;
    const auto small_inputs = input_fetch_time(engine, limits, 3'000'000, bytes_per_ms);
    const auto large_inputs = input_fetch_time(engine, limits, 30'000'000, bytes_per_ms);
    cr_assert(small_inputs && large_inputs);
    // Four requests may share the link of the producer.
    EXPECT_EQUAL(*small_inputs, fetch_start_delay + 10ms);
    EXPECT_EQUAL(*large_inputs, fetch_start_delay + 96ms);
    // A link with a tenth of the bandwidth is given ten times as long.
    EXPECT_EQUAL(*input_fetch_time(engine, limits, 3'000'000, bytes_per_ms / 10),
                 *large_inputs);
    // A link with next to no bandwidth gives a time that a duration holds.
    cr_expect(*input_fetch_time(engine, limits, 3'000'000, 1e-300) > 1000s);
    cr_expect(not input_fetch_time(engine, limits, 3'000'000, 0).has_value());
    engine.m_running = 64;
    cr_expect(not input_fetch_time(engine, limits, 3'000'000, bytes_per_ms).has_value());
    engine.m_running = 3;
    engine.m_tokens_elsewhere = 499'130;
    cr_expect(not input_fetch_time(engine, limits, 3'000'000, bytes_per_ms).has_value());
}

// Guards against requests that are refused by every host after all hosts restarted
// together.
Test(choice, a_request_waits_for_the_configuration_while_its_host_starts)
{
    const time_point started = time_point{} + 10s;
    const time_point arrived = started + 100ms;
    cr_expect(startup_wait_end(started, arrived, std::nullopt) ==
              arrived + max_startup_wait);
    // Half of the time is left for processing the request.
    cr_expect(startup_wait_end(started, arrived, 1000ms) == arrived + 500ms);
    // A host that has no configuration by now will not get it in time: the request is
    // refused without waiting.
    cr_expect(startup_wait_end(started, started + 5s, 6000ms) < started + 5s);
}
