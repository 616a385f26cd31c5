#include "queue_samples.hpp"

#include <geraniumdoor/serving/stage_queue.hpp>

#include <rapidcheck.h>

#include <set>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against small calls under load, late jobs that go before jobs that can be on
// time, results that exceed the memory of an upstream, and unnecessary transfers between
// data centres.
TestSuite(stage_queue);

Test(stage_queue, one_call_combines_the_pieces_of_several_hosts)
{
    stage_queue queue = sample_queue(2);
    add_job(queue, "a", 3);
    add_job(queue, "b", 4);
    const auto call = next_call(queue, upstream_id{"w0"}, sample_now);
    EXPECT_EQUAL(call.size(), 7U);
}

// Guards against jobs that are taken on although the limits of the upstreams leave no
// time for them.
Test(stage_queue, a_forecast_counts_what_upstreams_that_name_a_limit_take)
{
    stage_queue queue = sample_queue(2);
    for (const char* host : {"a", "b", "c", "d"})
    {
        add_job(queue, host, 8);
    }
    const stage_job next = sample_job(8);
    cr_expect(predicted_end(queue, next, sample_now) < sample_now + 1s);
    send_account account;
    record_statement(account, requests_per_s{0.5}, false, sample_now, sample_now);
    record_denial(account, 1500ms, sample_now);
    for (auto& [id, upstream] : queue.m_upstreams)
    {
        apply_account(upstream, account, sample_now);
    }
    // Four calls wait for two upstreams, each of which takes one in two seconds.
    cr_expect(predicted_end(queue, next, sample_now) > sample_now + 4s);
    cr_expect(next_call(queue, upstream_id{"w0"}, sample_now).empty());
    // The limit is over.
    record_statement(account, std::nullopt, true, sample_now + 1ms, sample_now + 2ms);
    for (auto& [id, upstream] : queue.m_upstreams)
    {
        apply_account(upstream, account, sample_now + 2ms);
    }
    cr_expect(not next_call(queue, upstream_id{"w0"}, sample_now + 2ms).empty());
}

Test(stage_queue, a_job_is_split_only_when_more_than_two_calls_wait)
{
    stage_queue queue = sample_queue(1);
    add_job(queue, "a", 6);
    add_job(queue, "b", 6);
    EXPECT_EQUAL(next_call(queue, upstream_id{"w0"}, sample_now).size(), 6U);
    add_job(queue, "c", 6);
    EXPECT_EQUAL(next_call(queue, upstream_id{"w0"}, sample_now).size(), 8U);
}

Test(stage_queue, a_job_that_can_meet_its_latency_target_goes_before_one_that_cannot)
{
    stage_queue queue = sample_queue(1);
    stage_job& late = add_job(queue, "late", 8);
    late.m_due = sample_now + 10ms;
    stage_job& on_time = add_job(queue, "on_time", 8);
    on_time.m_due = sample_now + 900ms;
    const auto call = next_call(queue, upstream_id{"w0"}, sample_now);
    EXPECT_EQUAL(call.front().m_job.m_host.m_value, "on_time");
}

Test(stage_queue, a_higher_priority_goes_first_when_the_due_times_are_equal)
{
    stage_queue queue = sample_queue(1);
    add_job(queue, "low", 8).m_priority = 2;
    add_job(queue, "high", 8).m_priority = 0;
    const auto call = next_call(queue, upstream_id{"w0"}, sample_now);
    EXPECT_EQUAL(call.front().m_job.m_host.m_value, "high");
}

Test(stage_queue, a_large_result_waits_for_its_data_centre_while_there_is_time)
{
    stage_queue queue = sample_queue(2);
    queue.m_upstreams[upstream_id{"w0"}].m_data_centre = data_centre_id{"far"};
    queue.m_upstreams[upstream_id{"w1"}].m_data_centre = data_centre_id{"near"};
    queue.m_upstreams[upstream_id{"w1"}].m_busy_until = sample_now + 50ms;
    stage_job& job = add_job(queue, "a", 2);
    job.m_result_bytes = 3'000'000;
    job.m_transfer_bytes = 3'000'000;
    job.m_preferred_data_centre = data_centre_id{"near"};
    cr_expect(next_call(queue, upstream_id{"w0"}, sample_now).empty(),
              "there is time to wait for the upstream in the preferred data centre");
    job.m_due = sample_now + 300ms;
    EXPECT_EQUAL(next_call(queue, upstream_id{"w0"}, sample_now).size(), 2U);
}

Test(stage_queue, late_jobs_leave_part_of_the_result_memory_to_others)
{
    stage_queue queue = sample_queue(1);
    queue.m_limits.m_result_memory_bytes = 10'000;
    queue.m_upstreams[upstream_id{"w0"}].m_result_memory_used = 9'000;
    stage_job& job = add_job(queue, "a", 1);
    job.m_result_bytes = 1'000;
    EXPECT_EQUAL(next_call(queue, upstream_id{"w0"}, sample_now).size(), 1U);
    job.m_due = sample_now;
    cr_expect(next_call(queue, upstream_id{"w0"}, sample_now).empty());
}

Test(stage_queue, a_slow_upstream_stays_idle_while_fast_ones_can_process_the_jobs)
{
    stage_queue queue = sample_queue(3);
    queue.m_upstreams[upstream_id{"w0"}].m_slowness = 5;
    add_job(queue, "a", 4);
    cr_expect(next_call(queue, upstream_id{"w0"}, sample_now).empty());
    EXPECT_EQUAL(next_call(queue, upstream_id{"w1"}, sample_now).size(), 4U);
}

Test(stage_queue, a_forecast_includes_the_announced_jobs)
{
    stage_queue queue = sample_queue(1);
    const auto before = forecast_waits(queue, sample_now + 200ms, sample_now);
    for (std::uint64_t job = 0; job < 20; ++job)
    {
        queue.m_announced[{node_id{"h"}, {1}, job}] = {8, sample_now + 190ms};
    }
    const auto after = forecast_waits(queue, sample_now + 200ms, sample_now);
    cr_expect(after.m_on_time > before.m_on_time + 3s,
              "160 pieces take one upstream more than 5 s");
}

Test(stage_queue, an_announced_job_that_does_not_arrive_is_removed)
{
    stage_queue queue = sample_queue(1);
    queue.m_announced[{node_id{"h"}, {1}, 1}] = {8, sample_now};
    expire_announcements(queue, sample_now + 300ms);
    EXPECT_EQUAL(queue.m_announced.size(), 1U);
    expire_announcements(queue, sample_now + 500ms);
    EXPECT_EQUAL(queue.m_announced.size(), 0U);
}

Test(stage_queue, the_end_of_late_jobs_is_predicted_from_the_spare_capacity)
{
    stage_queue queue = sample_queue(1);
    add_job(queue, "waiting", 16).m_due = sample_now;
    stage_job late = sample_job(8);
    late.m_due = sample_now;
    const auto without_arrivals = predicted_end(queue, late, sample_now);
    stage_job on_time = sample_job(40);
    record_arrival(queue, on_time, sample_now);
    cr_expect(predicted_end(queue, late, sample_now) > without_arrivals + 500ms);
}

Test(stage_queue, a_call_without_a_response_for_too_long_is_overdue)
{
    stage_queue queue = sample_queue(1);
    stage_upstream& upstream = queue.m_upstreams[upstream_id{"w0"}];
    upstream.m_call_started = sample_now;
    upstream.m_busy_until = sample_now + 200ms;
    cr_expect(overdue_upstreams(queue, sample_now + 500ms).empty());
    EXPECT_EQUAL(overdue_upstreams(queue, sample_now + 600ms).size(), 1U);
}

Test(stage_queue, a_job_without_time_for_a_call_is_infeasible)
{
    stage_queue queue = sample_queue(1);
    add_job(queue, "a", 1).m_deadline = sample_now + 100ms;
    add_job(queue, "b", 1).m_deadline = sample_now + 5s;
    const auto infeasible = infeasible_jobs(queue, sample_now);
    EXPECT_EQUAL(infeasible.size(), 1U);
    EXPECT_EQUAL(infeasible.front().m_host.m_value, "a");
}

// Property: for any mix of jobs and upstreams, a call never contains a piece twice, a
// piece that is not waiting, more pieces than the batch size, or more results than fit in
// the memory.
Test(stage_queue, calls_stay_within_batch_size_and_result_memory)
{
    const bool holds = rc::check(
        [](const std::vector<std::uint8_t>& sizes, std::uint8_t used_blocks)
        {
            stage_queue queue = sample_queue(2);
            queue.m_limits.m_result_memory_bytes = 10'000;
            stage_upstream& upstream = queue.m_upstreams[upstream_id{"w0"}];
            upstream.m_result_memory_used = used_blocks * std::uint64_t{40};
            std::uint64_t counter = 0;
            for (const std::uint8_t size : sizes)
            {
                stage_job& job =
                    add_job(queue, "h" + std::to_string(++counter), size % 20 + 1);
                job.m_result_bytes = 500 + size;
                job.m_priority = size % 3;
                job.m_due = sample_now + milliseconds{size * 5};
                if (size % 4 == 0)
                {
                    job.m_pieces.front().m_state = piece_state::running;
                }
            }
            const auto call = next_call(queue, upstream_id{"w0"}, sample_now);
            RC_ASSERT(call.size() <= queue.m_limits.m_batch_size);
            std::set<std::pair<job_id, std::uint32_t>> seen;
            std::uint64_t bytes = upstream.m_result_memory_used;
            for (const piece_ref& ref : call)
            {
                const stage_job& job = queue.m_jobs.at(ref.m_job);
                RC_ASSERT(job.m_pieces[ref.m_piece].m_state == piece_state::waiting);
                RC_ASSERT(seen.insert({ref.m_job, ref.m_piece}).second);
                bytes += job.m_result_bytes;
            }
            RC_ASSERT(call.empty() || bytes <= queue.m_limits.m_result_memory_bytes);
        });
    cr_expect(holds);
}

// Guards against pieces that crash an upstream and take the pieces of other requests, or
// further upstreams, with them.
Test(stage_queue, a_suspected_job_has_one_call_at_a_time_to_itself)
{
    stage_queue queue = sample_queue(3);
    for (const char* host : {"first", "again"})
    {
        stage_job& job = add_job(queue, host, 3);
        job.m_trait.m_key = suspect_key{7};
        job.m_is_suspected = true;
        job.m_due = sample_now;
    }
    add_job(queue, "sound", 2);
    add_job(queue, "other", 2);
    const auto jobs_of = [](const std::vector<piece_ref>& call)
    {
        std::set<std::string> names;
        for (const piece_ref& ref : call)
        {
            names.insert(ref.m_job.m_host.m_value);
        }
        return names;
    };
    const auto start = [&queue](const std::vector<piece_ref>& call, const char* upstream)
    {
        for (const piece_ref& ref : call)
        {
            piece& part = queue.m_jobs.at(ref.m_job).m_pieces[ref.m_piece];
            part.m_state = piece_state::running;
            ++part.m_active_calls;
        }
        queue.m_upstreams[upstream_id{upstream}].m_busy_until = sample_now + 200ms;
    };
    std::set<std::set<std::string>> calls;
    for (const char* upstream : {"w0", "w1"})
    {
        const auto call = next_call(queue, upstream_id{upstream}, sample_now);
        calls.insert(jobs_of(call));
        start(call, upstream);
    }
    const bool sound_share = calls.contains({"sound", "other"});
    cr_expect(sound_share);
    cr_expect(calls.contains({"first"}) != calls.contains({"again"}));
    cr_expect(next_call(queue, upstream_id{"w2"}, sample_now).empty());
}
