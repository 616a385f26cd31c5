#include "support.hpp"
#include "testing.hpp"

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against "unknown" answers and claims in doubt although nothing was sent, and
// against "not run" while an insert or a call may still take effect.
TestSuite(not_written);

namespace
{

table_transaction run_to_insert(fixture& world)
{
    world.start(1, "order");
    world.serve_table();
    world.answer(world.only_call(), "found");
    return world.take<table_transaction>().front();
}

void end_write(fixture& world, const table_transaction& write, table_outcome outcome)
{
    on_table_transaction_end(world.m_state, {write.m_id, outcome, {}}, world.m_now,
                             world.m_actions);
}

send_stage_call run_to_payment_call(fixture& world)
{
    const auto insert = run_to_insert(world);
    on_table_transaction_end(world.m_state, world.m_table.apply(insert), world.m_now,
                             world.m_actions);
    return world.only_call();
}

} // namespace

Test(not_written, an_insert_that_was_not_sent_is_refused_at_once_without_a_read)
{
    fixture world;
    end_write(world, run_to_insert(world), table_outcome::not_written);
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::claims_unavailable);
    cr_expect(answer.m_ran == ran_state::not_run);
    cr_expect(answer.m_retry_after > 0ms);
    cr_expect(world.take<table_read>().empty());
    cr_expect(world.m_state.m_claims.m_entries.empty());
    world.pass(1000ms);
    cr_expect(world.take<table_transaction>().empty());
}

Test(not_written, an_insert_after_one_of_unknown_effect_is_not_reported_as_not_run)
{
    fixture world;
    const auto lost = run_to_insert(world);
    end_write(world, lost, table_outcome::unknown);
    const auto read = world.take<table_read>().front();
    on_table_read_end(world.m_state, {read.m_id, world.m_table.read(read.m_key)},
                      world.m_now, world.m_actions);
    world.pass(150ms);
    end_write(world, world.take<table_transaction>().front(), table_outcome::not_written);
    cr_expect(world.take<reply_final>().empty());
    // The delayed insert takes effect; the read finds it, and the request continues.
    world.m_table.apply(lost);
    world.serve_table();
    EXPECT_EQUAL(world.only_call().m_message.m_operation, "debit");
}

Test(not_written, an_outcome_that_was_not_sent_is_written_again_without_a_read)
{
    fixture world;
    world.answer(run_to_payment_call(world), "paid");
    end_write(world, world.take<table_transaction>().front(), table_outcome::not_written);
    cr_expect(world.take<table_read>().empty());
    world.pass(150ms);
    world.serve_table();
    cr_expect(world.only_claim().m_state == claim_state::done);
}

Test(not_written, an_unreachable_upstream_puts_no_claim_in_doubt)
{
    fixture world;
    // The upstream of the first owner refuses the connection; the call goes to the other
    // owner.
    const auto first = run_to_payment_call(world);
    const auto name = first.m_to.m_value + "-pay";
    world.fail(first, call_outcome::not_dispatched, call_reason::upstream_error, name);
    const auto second = world.only_call();
    cr_expect(second.m_to != first.m_to);
    const auto other = second.m_to.m_value + "-pay";
    world.fail(second, call_outcome::not_dispatched, call_reason::upstream_error, other);
    const auto answer = world.only_answer();
    cr_expect(answer.m_code == answer_code::upstream_failed);
    cr_expect(answer.m_ran == ran_state::not_run);
    world.serve_table();
    cr_expect(world.only_claim().m_state == claim_state::withdrawn);
}
