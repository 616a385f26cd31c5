#include "promises.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::soak;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 1h;

call_record sound_call(request_kind kind)
{
    call_record call;
    call.m_id = "r1";
    call.m_kind = kind;
    call.m_sent = start;
    call.m_ended = start + 100ms;
    call.m_deadline = 1500ms;
    call.m_status = 200;
    call.m_body = kind == request_kind::pay ? "w:/pay/r1:body" : "w:/read/r1:";
    return call;
}

run_record run_of(const call_record& call, int runs)
{
    run_record run;
    run.m_calls = {call};
    run.m_runs[call.m_id] = runs;
    return run;
}

} // namespace

// Guards against a soak that passes because its checks see nothing: each of them is shown
// a breach, and a case beside it that is allowed.
TestSuite(promises);

Test(promises, a_sound_run_breaks_none)
{
    cr_expect(broken_promises(run_of(sound_call(request_kind::pay), 1)).empty());
    cr_expect(broken_promises(run_of(sound_call(request_kind::read), 2)).empty());
}

Test(promises, a_payment_that_runs_twice_is_found)
{
    EXPECT_EQUAL(payments_run_twice(run_of(sound_call(request_kind::pay), 2)).size(), 1U);
}

Test(promises, a_refusal_of_a_request_that_has_run_is_found)
{
    call_record call = sound_call(request_kind::pay);
    call.m_status = 503;
    call.m_says_not_run = true;
    EXPECT_EQUAL(false_refusals(run_of(call, 1)).size(), 1U);
    cr_expect(false_refusals(run_of(call, 0)).empty());
}

Test(promises, an_answer_to_another_request_is_found)
{
    call_record call = sound_call(request_kind::read);
    call.m_body = "w:/read/r2:";
    EXPECT_EQUAL(wrong_answers(run_of(call, 1)).size(), 1U);
    call = sound_call(request_kind::stream);
    call.m_body = "id: 1\ndata: 1\n\n";
    EXPECT_EQUAL(wrong_answers(run_of(call, 1)).size(), 1U);
}

Test(promises, an_answer_beyond_the_deadline_is_found_unless_the_host_was_away)
{
    call_record call = sound_call(request_kind::pay);
    call.m_ended = start + 4s;
    run_record run = run_of(call, 1);
    EXPECT_EQUAL(late_answers(run).size(), 1U);
    run.m_absences = {{0, start + 1s, start + 2s}};
    cr_expect(late_answers(run).empty());
    run.m_absences = {{1, start + 1s, start + 2s}};
    EXPECT_EQUAL(late_answers(run).size(), 1U);
}

Test(promises, a_request_that_a_living_host_cuts_off_is_found)
{
    call_record call = sound_call(request_kind::pay);
    call.m_status = 0;
    call.m_cut = true;
    run_record run = run_of(call, 1);
    EXPECT_EQUAL(cut_by_living_hosts(run).size(), 1U);
    run.m_absences = {{0, start, start + 2s}};
    cr_expect(cut_by_living_hosts(run).empty());
}

Test(promises, a_configuration_that_goes_back_is_found_within_one_process)
{
    run_record run;
    run.m_versions = {{0, 1, 5}, {0, 1, 4}};
    EXPECT_EQUAL(versions_that_went_back(run).size(), 1U);
    run.m_versions = {{0, 1, 5}, {0, 2, 4}, {1, 1, 3}};
    cr_expect(versions_that_went_back(run).empty());
}

Test(promises, a_process_that_ends_by_itself_or_stops_badly_is_found)
{
    run_record run;
    run.m_exits = {{0, false, false, false, -6, 0ms}};
    EXPECT_EQUAL(wrong_exits(run).size(), 1U);
    run.m_exits = {{0, false, true, false, 1, 100ms}};
    EXPECT_EQUAL(wrong_exits(run).size(), 1U);
    run.m_exits = {{0, false, true, false, 0, 20s}};
    EXPECT_EQUAL(wrong_exits(run).size(), 1U);
    run.m_exits = {{0, true, false, false, -9, 0ms}, {0, false, true, false, 0, 5s}};
    cr_expect(wrong_exits(run).empty());
}

Test(promises, a_stream_of_two_versions_is_found)
{
    run_record run = run_of(sound_call(request_kind::pay), 1);
    run.m_joined_streams.push_back("r7");
    EXPECT_EQUAL(joined_streams(run).size(), 1U);
}

Test(promises, requests_beyond_a_limit_are_found)
{
    run_record run;
    run.m_limits.push_back({"plain-1", 2, 3000ms, 14});
    cr_expect(exceeded_limits(run).empty());
    run.m_limits.push_back({"plain-1", 2, 3000ms, 15});
    EXPECT_EQUAL(exceeded_limits(run).size(), 1U);
}
