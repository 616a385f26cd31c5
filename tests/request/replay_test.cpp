#include "support.hpp"
#include "testing.hpp"

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against running stages again for a repeat of a finished request, and against
// losing a required follow-up because an answer was assumed to be stored.
TestSuite(replay);

namespace
{

send_stage_call run_until_ledger(fixture& world)
{
    world.start(1, "order");
    world.serve_table();
    world.answer(world.only_call(), "found");
    world.serve_table();
    world.answer(world.only_call(), "paid");
    world.serve_table();
    return world.only_call();
}

void add_pipeline(fixture& world, std::vector<stage_config> stages)
{
    auto config = example_configuration();
    config.m_pipelines.push_back({{"extra"}, 3000ms, std::move(stages)});
    set_configuration(world.m_state, config, world.m_now);
}

std::size_t follow_up_row_count(const fixture& world)
{
    return world.m_table.m_rows.size() - 1;
}

} // namespace

Test(replay, an_unfinished_request_goes_on_after_the_stage_that_has_run)
{
    fixture world;
    const auto ledger = run_until_ledger(world);
    on_caller_disconnected(world.m_state, ledger.m_message.m_key.m_request, world.m_now,
                           world.m_actions);
    world.serve_table();
    world.take<send_stage_cancel>();
    cr_expect(not world.only_claim().m_answer);
    cr_expect(world.m_state.m_claims.m_entries.empty());
    // The follow-up row remains until a repeat has run the follow-up.
    EXPECT_EQUAL(follow_up_row_count(world), 1U);
    world.start(2, "order");
    world.serve_table();
    const auto again = world.only_call();
    EXPECT_EQUAL(again.m_message.m_input, "paid");
    world.answer(again, "noted");
    const auto answer = world.only_answer();
    cr_expect(answer.m_replayed and answer.m_output == "noted");
    world.serve_table();
    EXPECT_EQUAL(follow_up_row_count(world), 0U);
}

Test(replay, an_answer_whose_write_is_lost_is_written_again)
{
    fixture world;
    world.answer(run_until_ledger(world), "noted");
    const auto lost = world.take<table_transaction>().front();
    on_table_transaction_end(world.m_state, {lost.m_id, table_outcome::unknown, {}},
                             world.m_now, world.m_actions);
    world.serve_table();
    world.pass(150ms);
    world.serve_table();
    cr_expect(world.only_claim().m_answer == "noted");
    EXPECT_EQUAL(follow_up_row_count(world), 0U);
    cr_expect(world.m_state.m_claims.m_entries.empty());
}

Test(replay, an_answer_that_overtakes_the_outcome_is_stored_with_it)
{
    fixture world;
    world.start(1, "order");
    world.serve_table();
    world.answer(world.only_call(), "found");
    world.serve_table();
    world.answer(world.only_call(), "paid");
    // The ledger answers before the outcome of the payment is stored.
    world.answer(world.only_call(), "noted");
    world.serve_table();
    cr_expect(world.only_claim().m_answer == "noted");
    EXPECT_EQUAL(follow_up_row_count(world), 0U);
    cr_expect(world.m_state.m_claims.m_entries.empty());
}

Test(replay, the_answer_of_a_last_stage_needs_no_write_of_its_own)
{
    fixture world;
    add_pipeline(world, {{"pay", {"pay"}, "debit", false, {}}});
    world.start(1, "extra");
    world.serve_table();
    world.answer(world.only_call(), "paid");
    world.serve_table();
    EXPECT_EQUAL(world.m_state.m_claims.m_transactions, 2U);
    cr_expect(world.only_claim().m_answer == "paid");
}

Test(replay, two_claimed_stages_are_replayed_from_the_first_claim)
{
    fixture world;
    add_pipeline(world, {{"pay", {"pay"}, "debit", false, {}},
                         {"print", {"ledger"}, "print", false, {}}});
    world.start(1, "extra");
    world.serve_table();
    world.answer(world.only_call(), "paid");
    world.serve_table();
    world.answer(world.only_call(), "printed");
    world.serve_table();
    world.take<reply_final>();
    world.start(2, "extra");
    world.serve_table();
    cr_expect(world.take<send_stage_call>().empty());
    EXPECT_EQUAL(world.only_answer().m_output, "printed");
}

Test(replay, a_streamed_repeat_receives_the_whole_text)
{
    fixture world;
    add_pipeline(world, {{"pay", {"pay"}, "debit", false, {}},
                         {"generate", {"generate"}, "generate", true, {}}});
    world.start(1, "extra");
    world.serve_table();
    world.answer(world.only_call(), "paid");
    world.serve_table();
    world.answer(world.only_call(), R"({"text":"thank you"})");
    world.serve_table();
    world.take<reply_final>();
    auto repeat = world.request(2, "extra");
    repeat.m_streamed = true;
    start_request(world.m_state, repeat, world.m_now, world.m_actions);
    world.serve_table();
    const auto parts = world.take<reply_part>();
    cr_assert(parts.size() == 1);
    EXPECT_EQUAL(parts[0].m_token, "thank you");
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::ok and answer.m_replayed);
    EXPECT_EQUAL(answer.m_tokens, 1U);
}
