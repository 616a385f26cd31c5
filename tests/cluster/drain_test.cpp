#include "testing.hpp"

#include <geraniumdoor/cluster/address_book.hpp>
#include <geraniumdoor/cluster/drain.hpp>

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

const time_point start{1000s};

struct stop_run
{
    stop_run()
    {
        begin_drain(m_state, start, last_mention_expires({}, start), m_actions);
    }

    drain_phase step(drain_inputs inputs, duration after)
    {
        step_drain(m_state, inputs, start + after, m_actions);
        return m_state.m_phase;
    }

    drain_state m_state;
    drain_actions m_actions;
};

drain_inputs transferred()
{
    drain_inputs inputs;
    inputs.m_lease_transferred = true;
    return inputs;
}

} // namespace

// Guards against a stop that cuts off a request, refuses a caller who may still hold the
// address, gives up a lease that nobody has taken, or never ends.
TestSuite(drain);

Test(drain, an_idle_node_serves_until_no_caller_can_hold_its_address)
{
    stop_run run;
    EXPECT_EQUAL(run.step({}, 1s), drain_phase::transferring);
    EXPECT_EQUAL(run.step(transferred(), 2s), drain_phase::serving_out);
    // 3 s spread, 1 s transit, 10 s keep time and 3 s deadline.
    EXPECT_EQUAL(run.step(transferred(), 16999ms), drain_phase::serving_out);
    EXPECT_EQUAL(run.step(transferred(), 17s), drain_phase::closed);
    EXPECT_EQUAL(run.m_actions.size(), 5U);
    cr_expect(std::get<end_process>(run.m_actions.back()).m_may_announce_left);
    cr_expect(not run.m_state.m_work_cut_off);
    run.step(transferred(), 30s);
    EXPECT_EQUAL(run.m_actions.size(), 5U);
}

Test(drain, the_last_request_is_answered_before_the_close)
{
    stop_run run;
    for (const auto busy : {&drain_inputs::m_active_exchanges, &drain_inputs::m_own_calls,
                            &drain_inputs::m_unsent_records})
    {
        drain_inputs inputs = transferred();
        inputs.*busy = 1;
        EXPECT_EQUAL(run.step(inputs, 18s), drain_phase::finishing);
    }
    EXPECT_EQUAL(run.step(transferred(), 19s), drain_phase::closed);
    cr_expect(not run.m_state.m_work_cut_off);
}

Test(drain, a_lease_that_nobody_took_is_not_announced_as_left)
{
    stop_run run;
    EXPECT_EQUAL(run.step({}, 19999ms), drain_phase::transferring);
    EXPECT_EQUAL(run.step({}, 20s), drain_phase::closed);
    cr_expect(not std::get<end_process>(run.m_actions.back()).m_may_announce_left);
    cr_expect(run.m_state.m_transfer_failed);
}

Test(drain, work_that_never_ends_is_bounded_and_reported)
{
    stop_run run;
    drain_inputs inputs = transferred();
    inputs.m_own_calls = 1;
    EXPECT_EQUAL(run.step(inputs, 17s), drain_phase::finishing);
    EXPECT_EQUAL(run.step(inputs, 27s), drain_phase::closed);
    cr_expect(run.m_state.m_work_cut_off);
}

Test(drain, a_second_signal_does_not_restart_the_stop)
{
    stop_run run;
    run.step(transferred(), 2s);
    begin_drain(run.m_state, start + 5s, start + 50s, run.m_actions);
    EXPECT_EQUAL(run.m_state.m_phase, drain_phase::serving_out);
    EXPECT_EQUAL(run.step(transferred(), 17s), drain_phase::closed);
}
