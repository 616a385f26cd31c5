
#include "testing.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/dispatch/dispatcher.hpp>

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

const pool_id pool{"rerank"};

/// An owner with two upstreams of one pool, whose cold limit is 1.
struct fixture
{
    time_point m_now{1000s};
    dispatcher_state m_state = make_dispatcher({5}, 11);
    std::vector<dispatcher_action> m_actions;
    std::uint64_t m_calls = 0;

    explicit fixture(stage_kind kind = stage_kind::rerank)
    {
        set_log_sink([](std::string_view) {});
        set_pools(m_state, {{pool, kind, 1, 8, 1000ms}}, m_now, m_actions);
        set_upstreams(m_state, {record("a"), record("b")}, m_now);
        set_authority(m_state, {"a"}, m_now + 1h);
        set_authority(m_state, {"b"}, m_now + 1h);
    }

    static upstream_record record(const char* id, bool leaving = false)
    {
        return {{id}, pool, {id[0] == 'a' ? "east" : "west"}, {"127.0.0.1", 1}, leaving};
    }

    stage_call make_call()
    {
        stage_call call;
        call.m_key = {{node_id{"c"}, {1}, ++m_calls}, {0}, {1}};
        call.m_pool = pool;
        call.m_budget_ms = 500;
        return call;
    }

    void submit(stage_call call)
    {
        on_stage_call(m_state, node_id{"c"}, std::move(call), m_now, m_actions);
    }

    template<class Action>
    std::vector<Action> actions_of()
    {
        std::vector<Action> found;
        for (const auto& action : m_actions)
        {
            if (const auto* wanted = std::get_if<Action>(&action))
            {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    void answer(upstream_call_id id, std::uint32_t tokens = 0)
    {
        on_upstream_end(m_state, {id, true, call_reason::none, {1}, "{}", tokens}, m_now,
                        m_actions);
    }

    bool is_refused(call_reason reason)
    {
        const auto results = actions_of<send_result>();
        return !results.empty() &&
               results.back().m_message.m_outcome == call_outcome::not_dispatched &&
               results.back().m_message.m_reason == reason;
    }
};

} // namespace

// Guards against overload of cold upstreams, "not dispatched" answers for calls that were
// dispatched, repeated non-idempotent calls and lost results.
TestSuite(dispatcher);

Test(dispatcher, keeps_cold_upstreams_at_one_call_and_queues_the_rest)
{
    fixture owner;
    for (int i = 0; i < 3; ++i)
    {
        owner.submit(owner.make_call());
    }
    const auto started = owner.actions_of<start_upstream_call>();
    EXPECT_EQUAL(started.size(), 2U);
    cr_expect(started[0].m_upstream != started[1].m_upstream);
    owner.m_actions.clear();
    owner.answer(started[0].m_id);
    cr_expect(owner.actions_of<send_result>().size() == 1);
    const auto next = owner.actions_of<start_upstream_call>();
    cr_assert(next.size() == 1);
    EXPECT_EQUAL(next[0].m_upstream, started[0].m_upstream);
}

Test(dispatcher, drops_expired_calls_before_dispatch)
{
    fixture owner;
    for (int i = 0; i < 3; ++i)
    {
        owner.submit(owner.make_call());
    }
    owner.m_now += 600ms;
    owner.m_actions.clear();
    tick(owner.m_state, owner.m_now, owner.m_actions);
    cr_expect(owner.is_refused(call_reason::deadline));
}

Test(dispatcher, refuses_without_authority_and_when_upstreams_are_withdrawn)
{
    fixture owner;
    // Authority ends at its end time, which is excluded.
    set_authority(owner.m_state, {"a"}, owner.m_now);
    set_authority(owner.m_state, {"b"}, time_point{});
    owner.submit(owner.make_call());
    cr_expect(owner.is_refused(call_reason::no_authority));
    // One upstream is leaving, and the data centre of the other is out.
    set_authority(owner.m_state, {"a"}, owner.m_now + 1h);
    set_authority(owner.m_state, {"b"}, owner.m_now + 1h);
    set_data_centre_out(owner.m_state, {"east"}, true, owner.m_now);
    set_upstreams(owner.m_state, {fixture::record("a"), fixture::record("b", true)},
                  owner.m_now);
    owner.submit(owner.make_call());
    cr_expect(owner.is_refused(call_reason::no_capacity));
    // The upstreams of a data centre that returns receive calls again.
    set_data_centre_out(owner.m_state, {"east"}, false, owner.m_now);
    owner.submit(owner.make_call());
    cr_expect(owner.actions_of<start_upstream_call>().size() == 1);
}

Test(dispatcher, does_not_repeat_a_call_on_an_excluded_upstream)
{
    fixture owner;
    stage_call call = owner.make_call();
    call.m_excluded = {{"a"}};
    owner.submit(call);
    cr_expect(owner.actions_of<start_upstream_call>().at(0).m_upstream ==
              upstream_id{"b"});
    // A later call that excludes both is refused rather than queued.
    call = owner.make_call();
    call.m_excluded = {{"a"}, {"b"}};
    owner.submit(call);
    cr_expect(owner.is_refused(call_reason::no_capacity));
}

Test(dispatcher, sends_a_non_idempotent_attempt_at_most_once)
{
    fixture owner;
    stage_call call = owner.make_call();
    call.m_idempotent = false;
    call.m_attempt_id.m_value = "x1";
    owner.submit(call);
    call.m_key.m_attempt.m_value = 2;
    owner.submit(call);
    cr_expect(owner.actions_of<start_upstream_call>().size() == 1);
    const auto repeated = owner.actions_of<send_result>().at(0).m_message;
    cr_expect(repeated.m_outcome == call_outcome::failed);
    cr_expect(
        on_attempt_query(owner.m_state, {{"x1"}}, owner.m_now, owner.m_actions).m_state ==
        attempt_state::dispatched);
    // A cancel does not abort a call whose outcome is needed.
    on_stage_cancel(owner.m_state,
                    {owner.actions_of<start_upstream_call>()[0].m_call.m_key},
                    owner.m_now, owner.m_actions);
    cr_expect(owner.actions_of<abort_upstream_call>().empty());
}

Test(dispatcher, a_query_fences_an_attempt_that_is_queued_or_arrives_later)
{
    fixture owner;
    owner.submit(owner.make_call());
    owner.submit(owner.make_call());
    stage_call call = owner.make_call();
    call.m_idempotent = false;
    call.m_attempt_id.m_value = "x2";
    owner.submit(call);
    const auto status =
        on_attempt_query(owner.m_state, {{"x2"}}, owner.m_now, owner.m_actions);
    cr_expect(status.m_state == attempt_state::fenced);
    cr_expect(owner.is_refused(call_reason::cancelled));
    call.m_key.m_attempt.m_value = 2;
    owner.submit(call);
    cr_expect(owner.is_refused(call_reason::duplicate_attempt));
}

Test(dispatcher, answers_an_unsent_call_as_not_dispatched_and_fences_it)
{
    fixture owner;
    stage_call call = owner.make_call();
    call.m_idempotent = false;
    call.m_attempt_id.m_value = "x";
    owner.submit(call);
    const auto started = owner.actions_of<start_upstream_call>().at(0);
    upstream_call_end end{started.m_id, false, call_reason::upstream_error};
    end.m_sent = false;
    on_upstream_end(owner.m_state, end, owner.m_now, owner.m_actions);
    cr_expect(owner.is_refused(call_reason::upstream_error));
    EXPECT_EQUAL(owner.actions_of<send_result>().back().m_message.m_upstream,
                 started.m_upstream);
    // A late duplicate is refused, and a query reports the attempt as fenced.
    call.m_key.m_attempt.m_value = 2;
    owner.submit(call);
    cr_expect(owner.is_refused(call_reason::duplicate_attempt));
    EXPECT_EQUAL(owner.actions_of<start_upstream_call>().size(), 1U);
    const auto status =
        on_attempt_query(owner.m_state, {{"x"}}, owner.m_now, owner.m_actions);
    cr_expect(status.m_state == attempt_state::fenced);
}

Test(dispatcher, cancels_queued_and_running_calls_with_one_result_each)
{
    fixture owner;
    std::vector<call_key> keys;
    for (int i = 0; i < 3; ++i)
    {
        const stage_call call = owner.make_call();
        keys.push_back(call.m_key);
        owner.submit(call);
    }
    for (const call_key& key : keys)
    {
        on_stage_cancel(owner.m_state, {key}, owner.m_now, owner.m_actions);
        on_stage_cancel(owner.m_state, {key}, owner.m_now, owner.m_actions);
    }
    EXPECT_EQUAL(owner.actions_of<send_result>().size(), 3U);
    EXPECT_EQUAL(owner.actions_of<abort_upstream_call>().size(), 2U);
    // Slots stay occupied until the aborted calls have ended.
    EXPECT_EQUAL(outstanding_on(owner.m_state, {"a"}), 1U);
    for (const auto& started : owner.actions_of<start_upstream_call>())
    {
        on_upstream_end(owner.m_state, {started.m_id, false, call_reason::upstream_error},
                        owner.m_now, owner.m_actions);
    }
    EXPECT_EQUAL(owner.actions_of<send_result>().size(), 3U);
    tick(owner.m_state, owner.m_now, owner.m_actions);
}

Test(dispatcher, forwards_tokens_in_order_and_fails_a_stream_with_a_gap)
{
    fixture owner{stage_kind::generate};
    stage_call call = owner.make_call();
    call.m_streamed = true;
    call.m_delivered = {"zero"};
    owner.submit(call);
    const auto id = owner.actions_of<start_upstream_call>().at(0).m_id;
    auto token = [&](std::uint32_t index)
    {
        on_upstream_token(owner.m_state, id, index, "t", owner.m_now, owner.m_actions);
    };
    token(0);
    token(1);
    token(1);
    EXPECT_EQUAL(owner.actions_of<send_chunk>().size(), 1U);
    token(3);
    cr_expect(owner.actions_of<abort_upstream_call>().size() == 1);
    owner.answer(id, 4);
    const auto result = owner.actions_of<send_result>().at(0).m_message;
    cr_expect(result.m_outcome == call_outcome::failed);
    cr_expect(result.m_reason == call_reason::broken_stream);
}

Test(dispatcher, prefers_the_upstream_that_served_the_prompt_prefix)
{
    fixture owner{stage_kind::generate};
    std::vector<upstream_id> used;
    for (int i = 0; i < 8; ++i)
    {
        stage_call call = owner.make_call();
        call.m_input = std::string(600, 'p') + std::to_string(i);
        owner.submit(call);
        const auto started = owner.actions_of<start_upstream_call>().at(0);
        used.push_back(started.m_upstream);
        owner.answer(started.m_id);
        owner.m_actions.clear();
    }
    for (const upstream_id& upstream : used)
    {
        EXPECT_EQUAL(upstream, used.front());
    }
}

Test(dispatcher, counts_inherited_calls_against_the_limit)
{
    fixture owner;
    set_upstreams(owner.m_state, {fixture::record("a")}, owner.m_now);
    take_over(owner.m_state, {"a"}, handover_state{2, {1}, 2, 3s}, owner.m_now);
    owner.submit(owner.make_call());
    cr_expect(owner.actions_of<start_upstream_call>().empty());
    set_inherited_outstanding(owner.m_state, {"a"}, 1);
    tick(owner.m_state, owner.m_now, owner.m_actions);
    cr_expect(owner.actions_of<start_upstream_call>().size() == 1);
}

Test(dispatcher, backs_off_from_an_unresponsive_upstream_while_its_calls_run)
{
    fixture owner;
    set_upstreams(owner.m_state, {fixture::record("a")}, owner.m_now);
    owner.submit(owner.make_call());
    owner.m_now += 1s;
    tick(owner.m_state, owner.m_now, owner.m_actions);
    owner.submit(owner.make_call());
    cr_expect(owner.is_refused(call_reason::no_capacity));
}

// Guards against the collapse of a pool under overload. Calls that are dispatched shortly
// before their deadlines time out although the upstream has its full capacity; if they
// counted as failures, the limit would fall.
Test(dispatcher, a_call_that_ends_at_its_own_deadline_does_not_lower_the_limit)
{
    fixture owner;
    set_upstreams(owner.m_state, {fixture::record("a")}, owner.m_now);
    upstream_row* row = owner.m_state.m_upstreams.find({"a"});
    row->m_limit.m_limit = 8;
    owner.m_state.m_pools.find(pool)->m_average_call_ms = 100;
    const auto time_out = [&](milliseconds after)
    {
        owner.submit(owner.make_call());
        const auto id = owner.actions_of<start_upstream_call>().back().m_id;
        owner.m_now += after;
        on_upstream_end(owner.m_state,
                        {id, false, call_reason::upstream_timeout, {}, "", 0},
                        owner.m_now, owner.m_actions);
    };
    for (int call = 0; call < 4; ++call)
    {
        time_out(10ms);
    }
    EXPECT_EQUAL(row->m_limit.m_limit, 8U);
    time_out(300ms);
    time_out(300ms);
    EXPECT_EQUAL(row->m_limit.m_limit, 1U);
}
