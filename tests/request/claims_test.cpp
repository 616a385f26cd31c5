#include "support.hpp"
#include "testing.hpp"

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against a non-idempotent call that is sent without a confirmed claim, is sent
// twice, or is reported as "not run" although it may have been sent.
TestSuite(claims);

namespace
{

/// Runs the request up to the call of the non-idempotent stage.
send_stage_call run_to_payment_call(fixture& world, std::uint64_t counter = 1)
{
    world.start(counter, "order");
    world.serve_table();
    world.answer(world.only_call(), "found");
    world.serve_table();
    return world.only_call();
}

} // namespace

Test(claims, an_order_runs_all_stages_under_a_claim)
{
    fixture world;
    const auto pay = run_to_payment_call(world);
    // The claim is stored before the call is sent.
    cr_expect(world.only_claim().m_state == claim_state::running);
    cr_expect(not pay.m_message.m_attempt_id.m_value.empty());
    // The outcome and the follow-up are stored in one transaction.
    world.answer(pay, "paid");
    world.serve_table();
    cr_expect(world.only_claim().m_state == claim_state::done);
    EXPECT_EQUAL(world.m_table.m_rows.size(), 2U);
    // The follow-up row is deleted once the ledger stage has run.
    world.answer(world.only_call(), "noted");
    world.serve_table();
    EXPECT_EQUAL(world.m_table.m_rows.size(), 1U);
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::ok);
    EXPECT_EQUAL(answer.m_output, "noted");
    cr_expect(world.m_state.m_requests.empty());
    cr_expect(world.m_state.m_claims.m_entries.empty());
}

Test(claims, a_repeated_request_is_answered_from_the_claim)
{
    fixture world;
    world.answer(run_to_payment_call(world), "paid");
    world.serve_table();
    world.answer(world.only_call(), "noted");
    world.serve_table();
    world.take<reply_final>();
    // The same request again: no stage runs.
    world.start(2, "order");
    world.serve_table();
    cr_expect(world.take<send_stage_call>().empty());
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::ok);
    cr_expect(answer.m_replayed and answer.m_ran == ran_state::ran);
    EXPECT_EQUAL(answer.m_output, "noted");
    // The same key with another body: nothing runs.
    auto other = world.request(3, "order");
    other.m_input = "another body";
    start_request(world.m_state, other, world.m_now, world.m_actions);
    world.serve_table();
    cr_expect(world.take<send_stage_call>().empty());
    const auto refusal = world.only_answer();
    cr_expect(refusal.m_code == answer_code::key_reused);
    cr_expect(refusal.m_ran == ran_state::not_run);
}

Test(claims, a_repeated_request_waits_for_the_first_one)
{
    fixture world;
    const auto pay = run_to_payment_call(world);
    world.start(2, "order");
    world.serve_table();
    cr_expect(world.take<send_stage_call>().empty());
    world.answer(pay, "paid");
    world.serve_table();
    world.take<send_stage_call>();
    world.pass(250ms);
    world.serve_table();
    EXPECT_EQUAL(world.only_call().m_message.m_key.m_request.m_counter, 2U);
}

Test(claims, a_repeated_request_is_answered_in_progress_at_its_deadline)
{
    fixture world;
    run_to_payment_call(world);
    auto repeat = world.request(2, "order");
    repeat.m_deadline = world.m_now + 300ms;
    start_request(world.m_state, repeat, world.m_now, world.m_actions);
    world.serve_table();
    world.pass(350ms);
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::in_progress);
    cr_expect(answer.m_ran == ran_state::in_progress);
    cr_expect(answer.m_retry_after > 0ms);
}

Test(claims, an_insert_of_unknown_effect_is_resolved_by_reading_back)
{
    for (const bool took_effect : {true, false})
    {
        fixture world;
        world.start(1, "order");
        world.serve_table();
        world.answer(world.only_call(), "found");
        const auto insert = world.take<table_transaction>().front();
        if (took_effect)
        {
            world.m_table.apply(insert);
        }
        on_table_transaction_end(world.m_state, {insert.m_id, table_outcome::unknown, {}},
                                 world.m_now, world.m_actions);
        cr_expect(world.take<send_stage_call>().empty());
        world.serve_table();
        world.pass(150ms);
        world.serve_table();
        cr_expect(world.only_claim().m_state == claim_state::running);
        world.only_call();
    }
}

Test(claims, an_insert_that_arrives_after_the_refusal_has_no_effect)
{
    fixture world;
    const auto id = world.start(1, "order");
    world.serve_table();
    world.answer(world.only_call(), "found");
    const auto late = world.take<table_transaction>().front();
    on_table_transaction_end(world.m_state, {late.m_id, table_outcome::unknown, {}},
                             world.m_now, world.m_actions);
    on_caller_disconnected(world.m_state, id, world.m_now, world.m_actions);
    world.serve_table();
    world.pass(150ms);
    world.serve_table();
    cr_expect(world.only_claim().m_state == claim_state::withdrawn);
    cr_expect(world.m_table.apply(late).m_outcome == table_outcome::conflict);
    // The next request replaces the withdrawn row.
    world.start(2, "order");
    world.serve_table();
    world.answer(world.only_call(), "found");
    world.serve_table();
    EXPECT_EQUAL(world.only_call().m_message.m_operation, "debit");
}

Test(claims, an_outage_refuses_requests_at_once_as_not_run)
{
    fixture world;
    world.start(1, "order");
    const auto read = world.take<table_read>().front();
    on_table_read_end(world.m_state, {read.m_id, {}}, world.m_now, world.m_actions);
    const auto first = world.only_answer();
    cr_expect(first.m_code == answer_code::claims_unavailable);
    cr_expect(first.m_ran == ran_state::not_run and first.m_retry_after > 0ms);
    // The next request is refused without a table call; after the backoff, claims are
    // tried again.
    world.start(2, "order");
    cr_expect(world.only_answer().m_code == answer_code::claims_unavailable);
    cr_expect(world.take<table_read>().empty());
    world.pass(600ms);
    world.start(3, "order");
    EXPECT_EQUAL(world.take<table_read>().size(), 1U);
}

Test(claims, an_insert_whose_effect_stays_unknown_is_not_reported_as_not_run)
{
    fixture world;
    world.start(1, "order");
    world.serve_table();
    world.answer(world.only_call(), "found");
    const auto insert = world.take<table_transaction>().front();
    on_table_transaction_end(world.m_state, {insert.m_id, table_outcome::unknown, {}},
                             world.m_now, world.m_actions);
    for (int round = 0; round < 20; ++round)
    {
        for (const auto& read : world.take<table_read>())
        {
            on_table_read_end(world.m_state, {read.m_id, {}}, world.m_now,
                              world.m_actions);
        }
        world.pass(50ms);
    }
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::claims_unavailable);
    cr_expect(answer.m_ran == ran_state::unknown);
}

Test(claims, a_fenced_call_is_sent_to_another_owner_and_a_failed_one_is_not)
{
    fixture world;
    const auto first = run_to_payment_call(world);
    world.fail(first, call_outcome::not_dispatched, call_reason::queue_full);
    const auto second = world.only_call();
    cr_expect(second.m_to != first.m_to);
    cr_expect(second.m_message.m_attempt_id != first.m_message.m_attempt_id);
    world.fail(second, call_outcome::failed, call_reason::upstream_timeout);
    cr_expect(world.take<send_stage_call>().empty());
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::in_doubt);
    cr_expect(answer.m_ran == ran_state::unknown);
    world.serve_table();
    cr_expect(world.only_claim().m_state == claim_state::in_doubt);
    // A repeated request is answered with in_doubt and runs nothing.
    world.start(2, "order");
    world.serve_table();
    cr_expect(world.take<send_stage_call>().empty());
    cr_expect(world.only_answer().m_code == answer_code::in_doubt);
}

Test(claims, refusals_of_all_owners_withdraw_the_claim)
{
    fixture world;
    const auto first = run_to_payment_call(world);
    world.fail(first, call_outcome::not_dispatched, call_reason::queue_full);
    world.fail(world.only_call(), call_outcome::not_dispatched, call_reason::queue_full);
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::overloaded);
    cr_expect(answer.m_ran == ran_state::not_run);
    world.serve_table();
    cr_expect(world.only_claim().m_state == claim_state::withdrawn);
}

Test(claims, a_broken_connection_is_followed_by_a_query)
{
    // "fenced" from the same incarnation: the call goes to another owner.
    fixture world;
    const auto call = run_to_payment_call(world);
    on_connection_lost(world.m_state, call.m_to, world.m_now, world.m_actions);
    const auto query = world.take<send_attempt_query>().front();
    EXPECT_EQUAL(query.m_message.m_attempt_id, call.m_message.m_attempt_id);
    on_attempt_status(world.m_state,
                      {call.m_message.m_attempt_id, {1}, attempt_state::fenced},
                      world.m_now, world.m_actions);
    const auto again = world.only_call();
    cr_expect(again.m_to != call.m_to);
    // "fenced" from a later incarnation does not prove that the call was not run.
    on_connection_lost(world.m_state, again.m_to, world.m_now, world.m_actions);
    on_attempt_status(world.m_state,
                      {again.m_message.m_attempt_id, {2}, attempt_state::fenced},
                      world.m_now, world.m_actions);
    cr_expect(world.take<send_stage_call>().empty());
    cr_expect(world.only_answer().m_code == answer_code::in_doubt);
}

Test(claims, no_answer_to_the_query_leaves_the_claim_in_doubt)
{
    fixture world;
    const auto call = run_to_payment_call(world);
    on_connection_lost(world.m_state, call.m_to, world.m_now, world.m_actions);
    world.pass(2100ms);
    cr_expect(world.only_answer().m_code == answer_code::in_doubt);
    cr_expect(world.take<send_stage_call>().empty());
}

Test(claims, a_result_after_the_deadline_is_stored_in_the_claim)
{
    fixture world;
    const auto pay = run_to_payment_call(world);
    world.pass(3050ms);
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::deadline_exceeded);
    cr_expect(answer.m_ran == ran_state::unknown);
    world.answer(pay, "paid");
    world.serve_table();
    cr_expect(world.only_claim().m_state == claim_state::done);
    cr_expect(world.m_state.m_requests.empty());
}

Test(claims, writes_are_batched_and_conflicts_handled_per_row)
{
    fixture world;
    for (std::uint64_t counter = 1; counter <= 100; ++counter)
    {
        auto request = world.request(counter, "order");
        request.m_idempotency_key = "k" + std::to_string(counter % 99);
        start_request(world.m_state, request, world.m_now, world.m_actions);
    }
    for (const auto& read : world.take<table_read>())
    {
        on_table_read_end(world.m_state, {read.m_id, world.m_table.read(read.m_key)},
                          world.m_now, world.m_actions);
    }
    for (const auto& call : world.take<send_stage_call>())
    {
        world.answer(call, "found");
    }
    // One row at first, then the maximum of 64, then the rest with the conflicting row.
    std::vector<std::size_t> sizes;
    for (auto sent = world.take<table_transaction>(); not sent.empty();
         sent = world.take<table_transaction>())
    {
        EXPECT_EQUAL(sent.size(), 1U);
        sizes.push_back(sent.front().m_writes.size());
        on_table_transaction_end(world.m_state, world.m_table.apply(sent.front()),
                                 world.m_now, world.m_actions);
    }
    EXPECT_EQUAL(sizes, (std::vector<std::size_t>{1, 64, 35, 34}));
    EXPECT_EQUAL(world.take<send_stage_call>().size(), 99U);
}

Test(claims, a_sweep_lists_claims_of_ended_holders_and_runs_follow_ups)
{
    fixture world;
    const auto pay = run_to_payment_call(world);
    const std::vector<live_process> live{{{"b"}, {1}}};
    std::vector<table_row> rows{world.m_table.m_rows.begin()->second};
    // The holder has ended before it stored an outcome.
    EXPECT_EQUAL(list_in_doubt(rows, live).size(), 1U);
    cr_expect(list_in_doubt(rows, {{{"a"}, {1}}}).empty());
    world.answer(pay, "paid");
    world.serve_table();
    rows = {world.m_table.m_rows.rbegin()->second};
    const auto config = example_configuration();
    const auto choices = decide_follow_ups(rows, {{"b"}, config, live, {}});
    cr_assert(choices.size() == 1);
    cr_expect(choices.front().m_decision == follow_up_decision::run);
    // The follow-up runs in another process and deletes its row.
    fixture other;
    other.m_table = world.m_table;
    run_follow_up(other.m_state, {{"b"}, {1}, 1}, choices.front().m_row, other.m_now,
                  other.m_actions);
    const auto ledger = other.only_call();
    EXPECT_EQUAL(ledger.m_message.m_input, "paid");
    other.answer(ledger, "noted");
    other.serve_table();
    EXPECT_EQUAL(other.m_table.m_rows.size(), 1U);
    cr_expect(other.take<reply_final>().empty());
}
