#include "support.hpp"
#include "testing.hpp"

#include <rapidcheck.h>

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against results that are lost, applied twice or applied to another request, and
// against streams with gaps.
TestSuite(coordinator);

namespace
{

/// Records response times for a stage of the pipeline "ask".
void record_response_times(fixture& world, stage_index stage, milliseconds time)
{
    for (int at = 0; at < 100; ++at)
    {
        record_stage_time(world.m_state.m_stage_times, {"ask"}, stage, time, time);
    }
}

send_stage_call start_stream(fixture& world)
{
    auto request = world.request(1, "ask");
    request.m_streamed = true;
    start_request(world.m_state, request, world.m_now, world.m_actions);
    world.answer(world.only_call(), "vector");
    return world.only_call();
}

std::vector<std::uint32_t> part_indices(const std::vector<reply_part>& parts)
{
    std::vector<std::uint32_t> list;
    for (const auto& part : parts)
    {
        list.push_back(part.m_index);
    }
    return list;
}

} // namespace

Test(coordinator, the_output_of_a_stage_is_the_input_of_the_next)
{
    fixture world;
    world.start(1, "ask");
    const auto encode = world.only_call();
    EXPECT_EQUAL(encode.m_message.m_input, "body");
    world.answer(encode, "vector");
    const auto generate = world.only_call();
    EXPECT_EQUAL(generate.m_message.m_input, "vector");
    world.answer(generate, "text");
    const auto answer = world.only_answer();
    EXPECT_EQUAL(answer.m_output, "text");
    EXPECT_EQUAL(answer.m_stages.size(), 2U);
    // A duplicate of the result matches no request and is counted.
    world.answer(generate, "text");
    cr_expect(world.take<reply_final>().empty());
    EXPECT_EQUAL(world.m_state.m_counters.m_superseded_results, 1U);
}

Test(coordinator, a_late_result_of_a_failed_attempt_is_dropped)
{
    fixture world;
    world.start(1, "ask");
    const auto first = world.only_call();
    world.fail(first, call_outcome::failed, call_reason::upstream_timeout,
               first.m_to.m_value + "-encode");
    const auto second = world.only_call();
    cr_expect(second.m_to != first.m_to);
    EXPECT_EQUAL(second.m_message.m_excluded.size(), 1U);
    world.answer(first, "stale");
    cr_expect(world.take<send_stage_call>().empty());
    world.answer(second, "fresh");
    EXPECT_EQUAL(world.only_call().m_message.m_input, "fresh");
}

Test(coordinator, tokens_are_delivered_once_and_in_order)
{
    const bool holds =
        rc::check("tokens are delivered in order, whatever order they arrive in",
                  [](std::vector<std::uint8_t> order)
                  {
                      fixture world;
                      const auto call = start_stream(world);
                      for (const auto index : order)
                      {
                          world.chunk(call, index % 20U);
                      }
                      world.answer(call, "", 20);
                      for (std::uint32_t index = 0; index < 20; ++index)
                      {
                          world.chunk(call, index);
                      }
                      const auto delivered = part_indices(world.take<reply_part>());
                      RC_ASSERT(delivered.size() == 20U);
                      RC_ASSERT(std::is_sorted(delivered.begin(), delivered.end()));
                      const auto answer = world.only_answer();
                      RC_ASSERT(answer.m_code == answer_code::ok);
                      RC_ASSERT(answer.m_tokens == 20U);
                  });
    cr_expect(holds);
}

Test(coordinator, a_broken_stream_is_resumed_from_the_delivered_tokens)
{
    fixture world;
    const auto call = start_stream(world);
    world.chunk(call, 0);
    world.chunk(call, 2);
    world.fail(call, call_outcome::failed, call_reason::broken_stream,
               call.m_to.m_value + "-generate");
    const auto resumed = world.only_call();
    EXPECT_EQUAL(resumed.m_message.m_delivered, (std::vector<std::string>{"t0"}));
    world.chunk(call, 1);
    world.chunk(resumed, 1);
    world.answer(resumed, "", 2);
    EXPECT_EQUAL(part_indices(world.take<reply_part>()),
                 (std::vector<std::uint32_t>{0, 1}));
    cr_expect(world.only_answer().m_code == answer_code::ok);
    // If no upstream is left, the stream ends as incomplete.
    fixture other;
    const auto first = start_stream(other);
    other.chunk(first, 0);
    other.fail(first, call_outcome::failed, call_reason::broken_stream, "o1-generate");
    const auto second = other.only_call();
    other.fail(second, call_outcome::failed, call_reason::broken_stream, "o2-generate");
    cr_expect(other.only_answer().m_code == answer_code::incomplete);
}

Test(coordinator, a_slow_call_is_hedged_at_another_owner)
{
    fixture world;
    record_response_times(world, {0}, 100ms);
    world.start(1, "ask");
    const auto first = world.only_call();
    world.pass(50ms);
    cr_expect(world.take<send_stage_call>().empty());
    world.pass(100ms);
    const auto hedge = world.only_call();
    cr_expect(hedge.m_to != first.m_to);
    world.answer(hedge, "vector");
    EXPECT_EQUAL(world.take<send_stage_cancel>().front().m_to, first.m_to);
}

Test(coordinator, retries_stop_when_the_budget_is_used_up)
{
    fixture world;
    for (std::uint64_t counter = 1; counter <= 40; ++counter)
    {
        world.start(counter, "ask");
        const auto call = world.only_call();
        world.fail(call, call_outcome::failed, call_reason::upstream_error);
        for (const auto& retry : world.take<send_stage_call>())
        {
            world.answer(retry, "vector");
        }
        world.m_actions.clear();
    }
    // A burst of 10, plus 10% of 40 first attempts; the first of these finds the bucket
    // full.
    cr_expect(world.m_state.m_counters.m_retries >= 13);
    cr_expect(world.m_state.m_counters.m_retries <= 14);
}

Test(coordinator, calls_are_cancelled_at_the_deadline_and_when_the_caller_disconnects)
{
    fixture world;
    world.start(1, "ask");
    world.pass(3050ms);
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::deadline_exceeded);
    cr_expect(answer.m_ran == ran_state::not_run);
    cr_expect(not world.take<send_stage_cancel>().empty());
    const auto id = world.start(2, "ask");
    on_caller_disconnected(world.m_state, id, world.m_now, world.m_actions);
    EXPECT_EQUAL(world.take<send_stage_cancel>().size(), 1U);
    cr_expect(world.take<reply_final>().empty());
}

Test(coordinator, budgets_leave_time_for_later_stages)
{
    fixture world;
    record_response_times(world, {1}, 1000ms);
    world.start(1, "ask");
    const auto budget = world.only_call().m_message.m_budget_ms;
    cr_expect(budget > 1850 and budget < 2050, "budget %u ms", budget);
    // A request that cannot meet its deadline is refused before its first stage.
    auto hurried = world.request(2, "ask");
    hurried.m_deadline = world.m_now + 500ms;
    start_request(world.m_state, hurried, world.m_now, world.m_actions);
    cr_expect(world.take<send_stage_call>().empty());
    cr_expect(world.only_answer().m_code == answer_code::overloaded);
}

Test(coordinator, a_data_centre_out_of_service_gets_no_new_call)
{
    fixture world;
    auto config = example_configuration();
    config.m_data_centres.push_back({{"d1"}, {"r"}, data_centre_state::out});
    set_configuration(world.m_state, config, world.m_now);
    world.start(1, "ask");
    cr_expect(world.take<send_stage_call>().empty());
    // The request is resent with backoff for less than a second, because ownership of
    // upstreams may be changing.
    world.pass(1000ms);
    cr_expect(world.only_answer().m_code == answer_code::overloaded);
}

Test(coordinator, queue_waits_lower_the_admission_of_low_priorities_first)
{
    admission state;
    set_admission_configuration(state, example_configuration());
    time_point now{10s};
    for (int step = 0; step < 10; ++step)
    {
        record_pool_wait(state, {"encode"}, 500ms);
        now += 100ms;
        adjust_shares(state, now);
    }
    const double high = admission_probability(state, {"encode"}, 0, 1);
    const double low = admission_probability(state, {"encode"}, 1, 1);
    cr_expect(high > 0.34 and high < 0.36, "share %f", high);
    cr_expect(low < high);
    for (int step = 0; step < 40; ++step)
    {
        now += 100ms;
        adjust_shares(state, now);
    }
    EXPECT_EQUAL(admission_probability(state, {"encode"}, 1, 1), 1.0);
}

// Guards against refusals while a data centre returns to service: its owners have a cold
// upstream with one slot and a queue, while the rest of the pool is idle.
Test(coordinator, the_queue_of_a_cold_owner_does_not_lower_the_share_of_the_pool)
{
    admission state;
    set_admission_configuration(state, example_configuration());
    time_point now{10s};
    for (int step = 0; step < 30; ++step)
    {
        const bool cold = step % 3 == 2;
        record_pool_wait(state, {"encode"}, cold ? 500ms : 0ms, cold ? 1 : 8);
        now += 100ms;
        adjust_shares(state, now);
    }
    EXPECT_EQUAL(admission_probability(state, {"encode"}, 1, 1), 1.0);
}

Test(coordinator, calls_prefer_the_owner_with_free_slots)
{
    fixture world;
    auto& routes = world.m_state.m_routes;
    const pool_id pool{"encode"};
    record_call_end(routes, pool, {"o1"}, pool_hint{0, 4, 100}, world.m_now);
    record_call_end(routes, pool, {"o2"}, pool_hint{4, 4, 0}, world.m_now);
    const owner_query query{pool, nullptr, nullptr};
    for (int call = 0; call < 4; ++call)
    {
        const auto choice = choose_owner(routes, query, world.m_state.m_random);
        EXPECT_EQUAL(choice->m_owner.m_value, "o2");
        record_call_sent(routes, pool, choice->m_owner);
    }
    // Only hints younger than hint_ttl count.
    EXPECT_EQUAL(expected_wait(routes, pool, world.m_now), 50ms);
    EXPECT_EQUAL(expected_wait(routes, pool, world.m_now + 1100ms), 0ms);
    // An owner whose only upstream is excluded is never chosen.
    const std::vector<upstream_id> excluded{{"o2-encode"}};
    const owner_query other{pool, &excluded, nullptr};
    const auto choice = choose_owner(routes, other, world.m_state.m_random);
    EXPECT_EQUAL(choice->m_owner.m_value, "o1");
    // An announcement that is no newer than the last one applied is ignored.
    cr_expect(not apply_announcement(routes, announce("o1", 1, {})));
}
