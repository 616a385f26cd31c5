#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/duration_estimate.hpp>
#include <geraniumdoor/serving/planned_stop.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 1h;

stop_schedule sample_schedule()
{
    return make_stop_schedule(start, 8s);
}

owed_work nothing_owed()
{
    return {};
}

} // namespace

// Guards against a process that ends with requests, connections or messages to other
// hosts that are still owed something.
TestSuite(stop_rules, .timeout = 200);

Test(stop_rules, the_times_of_a_stop_are_in_order_for_every_timeout)
{
    random_source random{42};
    for (int round = 0; round < 1000; ++round)
    {
        const milliseconds timeout{uniform_below(random, 20'000)};
        const stop_schedule schedule = make_stop_schedule(start, timeout);
        cr_assert(schedule.m_began <= schedule.m_streams_refused_at);
        cr_assert(schedule.m_streams_refused_at <= schedule.m_drains_at);
        cr_assert(schedule.m_drains_at <= schedule.m_answers_due_at);
        cr_assert(schedule.m_answers_due_at <= schedule.m_ends_at);
        cr_assert(schedule.m_ends_at <= start + timeout);
    }
}

Test(stop_rules, each_kind_of_owed_work_keeps_the_process)
{
    const stop_schedule schedule = sample_schedule();
    const time_point at = schedule.m_drains_at + 100ms;
    std::size_t owed_work::*const kinds[] = {
        &owed_work::m_caller_connections, &owed_work::m_requests, &owed_work::m_jobs,
        &owed_work::m_unsent_peers, &owed_work::m_service_connections};
    for (const auto kind : kinds)
    {
        owed_work owed;
        owed.*kind = 1;
        stop_phase phase = stop_phase::serving;
        for (int step = 0; step < 10; ++step)
        {
            phase = next_phase(schedule, phase, owed, at);
        }
        cr_expect(phase != stop_phase::ended);
        // Callers and other hosts come before the directory closes.
        const bool is_served = kind == &owed_work::m_unsent_peers ||
                               kind == &owed_work::m_service_connections;
        cr_expect(phase == (is_served ? stop_phase::closing : stop_phase::draining));
        cr_expect(next_phase(schedule, phase, owed, schedule.m_ends_at) ==
                  stop_phase::ended);
    }
}

Test(stop_rules, an_idle_host_serves_until_addresses_expire_and_passes_through_each_phase)
{
    const stop_schedule schedule = sample_schedule();
    stop_phase phase = stop_phase::serving;
    phase = next_phase(schedule, phase, nothing_owed(), schedule.m_drains_at - 1ms);
    cr_expect(phase == stop_phase::serving);
    // What the listener had accepted is counted before the next phase.
    phase = next_phase(schedule, phase, nothing_owed(), schedule.m_drains_at);
    cr_expect(phase == stop_phase::draining);
    phase = next_phase(schedule, phase, nothing_owed(), schedule.m_drains_at + 100ms);
    cr_expect(phase == stop_phase::closing);
    phase = next_phase(schedule, phase, nothing_owed(), schedule.m_drains_at + 200ms);
    cr_expect(phase == stop_phase::ended);
}

// Guards against calls that are passed on although the host knows that it ends before
// they do. Replays callers that keep using the address of a stopping host.
Test(stop_rules, calls_that_are_taken_end_before_the_answers_are_due)
{
    random_source random{43};
    const stop_schedule schedule = sample_schedule();
    for (const milliseconds usual : {30ms, 400ms, 2000ms, 5000ms})
    {
        duration_estimate known;
        const auto draw = [&random, usual]
        {
            return usual + milliseconds{uniform_below(
                               random, static_cast<std::uint32_t>(usual.count() / 5))};
        };
        for (int call = 0; call < 40; ++call)
        {
            record_duration(known, draw());
        }
        int taken = 0;
        int refused = 0;
        for (time_point at = start; at < schedule.m_answers_due_at; at += 19ms)
        {
            late_request call;
            call.m_arrived_at = at;
            call.m_expected = upper_estimate(known, 4);
            call.m_deadline = at + 20s;
            if (is_taken(schedule, call, at))
            {
                ++taken;
                cr_assert(at + draw() <= schedule.m_answers_due_at);
            }
            else
            {
                ++refused;
            }
        }
        // A call that has a third more time than it takes on average is taken.
        const duration ample = (usual + usual / 10) * 4 / 3;
        const auto could = (schedule.m_answers_due_at - start - ample) / 19ms;
        cr_expect(taken >= could, "%d of %d", taken, static_cast<int>(could));
        cr_expect(usual < 100ms || refused > 0);
    }
}

Test(stop_rules, a_call_whose_caller_leaves_before_the_end_is_served_as_usual)
{
    const stop_schedule schedule = sample_schedule();
    late_request call;
    call.m_arrived_at = start + 5s;
    call.m_expected = 5s;
    call.m_deadline = start + 6s;
    cr_expect(is_taken(schedule, call, start + 5s));
    call.m_deadline = start + 9s;
    cr_expect(not is_taken(schedule, call, start + 5s));
}

Test(stop_rules, streams_end_with_the_process_and_are_not_taken_late)
{
    const stop_schedule schedule = sample_schedule();
    late_request stream;
    stream.m_is_stream = true;
    stream.m_arrived_at = schedule.m_streams_refused_at - 1ms;
    stream.m_expected = 2s;
    stream.m_deadline = start + 20s;
    cr_expect(is_taken(schedule, stream, stream.m_arrived_at));
    stream.m_expected = 5s;
    cr_expect(not is_taken(schedule, stream, stream.m_arrived_at));
    stream.m_expected = 0ms;
    stream.m_arrived_at = schedule.m_streams_refused_at;
    cr_expect(not is_taken(schedule, stream, stream.m_arrived_at));
}
