#include "fake_cluster.hpp"
#include "testing.hpp"

#include <cstdlib>

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against doubled execution, false "not run" answers, and answers that are
// missing, doubled or another caller's, while coordinators, owners, connections and the
// table service fail in any order. GD_WORLD_SEEDS sets the number of seeds.
TestSuite(coordinator_world);

namespace
{

/// Callers and faults in random order.
struct world : fake_cluster
{
    using fake_cluster::fake_cluster;

    std::uint64_t m_counter = 0;

    void break_link(std::uint32_t node, std::uint32_t owner)
    {
        ++m_links[{node, owner}];
        at_node(node, m_nodes[node].m_incarnation, 5,
                [=, this](coordinator& state, coordinator_actions& actions)
                {
                    on_connection_lost(state, {owner_name(owner)}, m_now, actions);
                });
    }

    void restart_owner(std::uint32_t owner)
    {
        const auto next = m_owners[owner].m_incarnation + 1;
        m_owners[owner] = owner_process{next, {}, {}};
        for (std::uint32_t node = 0; node < coordinators; ++node)
        {
            break_link(node, owner);
            at_node(node, m_nodes[node].m_incarnation, 500,
                    [=, this](coordinator& state, coordinator_actions&)
                    {
                        announce_owner(owner, state);
                    });
        }
    }

    void restart_node(std::uint32_t node)
    {
        const auto started = m_nodes[node].m_incarnation;
        for (auto& [id, caller] : m_callers)
        {
            const bool own = id.m_node == m_nodes[node].m_node;
            caller.m_coordinator_killed |= own && id.m_incarnation == started;
        }
        start_node(node, started.m_value + 1);
        const auto name = m_nodes[node].m_node;
        for (std::uint32_t other = 0; other < coordinators; ++other)
        {
            at_node(other, m_nodes[other].m_incarnation, 3000,
                    [=](coordinator& state, coordinator_actions&)
                    {
                        on_process_alive(state, name, {started.m_value + 1});
                    });
        }
    }

    void send_order(std::uint32_t order)
    {
        const auto node = uniform_below(m_random, coordinators);
        pipeline_request request;
        request.m_id = {m_nodes[node].m_node, m_nodes[node].m_incarnation, ++m_counter};
        request.m_pipeline = {"order"};
        request.m_workspace = {"w"};
        request.m_deadline = m_now + milliseconds{300 + uniform_below(m_random, 2700)};
        if (order % 2 == 0)
        {
            request.m_idempotency_key = "key " + std::to_string(order);
        }
        request.m_input = "body " + std::to_string(order);
        m_callers[request.m_id].m_body = request.m_input;
        at_node(node, m_nodes[node].m_incarnation, 1,
                [=, this](coordinator& state, coordinator_actions& actions)
                {
                    start_request(state, request, m_now, actions);
                });
        if (chance(5))
        {
            m_callers[request.m_id].m_gone = true;
            at_node(node, m_nodes[node].m_incarnation, 400,
                    [=, this](coordinator& state, coordinator_actions& actions)
                    {
                        on_caller_disconnected(state, request.m_id, m_now, actions);
                    });
        }
    }

    void cause_faults()
    {
        if (chance(4))
        {
            break_link(uniform_below(m_random, coordinators),
                       uniform_below(m_random, owners));
        }
        if (chance(2))
        {
            restart_owner(uniform_below(m_random, owners));
        }
        if (chance(1))
        {
            restart_node(uniform_below(m_random, coordinators));
        }
        if (chance(1))
        {
            m_down_until = m_now + milliseconds{uniform_below(m_random, 1500)};
        }
    }

    void run(std::uint32_t ticks, bool faults)
    {
        for (std::uint32_t step = 0; step < ticks; ++step)
        {
            const auto end = m_now + 50ms;
            if (faults)
            {
                cause_faults();
                send_order(step / 4 + uniform_below(m_random, 3));
            }
            while (not m_events.empty() && m_events.begin()->first <= end)
            {
                auto event = m_events.extract(m_events.begin());
                m_now = std::max(m_now, event.key());
                event.mapped()();
            }
            m_now = end;
            for (std::uint32_t node = 0; node < coordinators; ++node)
            {
                coordinator_actions actions;
                tick(m_nodes[node], m_now, actions);
                perform(node, actions);
            }
        }
    }

    /// Returns what is wrong with an answer, or nothing.
    std::string fault_of(const request_id& id, const caller_record& caller) const
    {
        const bool answer_due = not caller.m_coordinator_killed && not caller.m_gone;
        if (caller.m_answers.size() > 1 || (answer_due && caller.m_answers.empty()))
        {
            return std::to_string(caller.m_answers.size()) + " final answers";
        }
        for (const auto& answer : caller.m_answers)
        {
            const auto whole = "note(debit(find(" + caller.m_body + ")))";
            if (answer.m_code == answer_code::ok && answer.m_output != whole)
            {
                return "answer " + answer.m_output;
            }
            if (answer.m_ran == ran_state::not_run && m_executed.contains(id))
            {
                return "false not_run: " + answer.m_message;
            }
            if (answer.m_code == answer_code::key_reused)
            {
                return "key_reused";
            }
        }
        return {};
    }
};

struct tally
{
    std::size_t m_requests = 0;
    std::size_t m_whole = 0;
    std::size_t m_not_run = 0;
    std::size_t m_doubled = 0;
    std::size_t m_wrong = 0;
    std::size_t m_stuck = 0;
};

void check(std::uint64_t seed, tally& sums)
{
    world one{seed};
    one.run(300, true);
    one.m_down_until = {};
    one.run(400, false);
    for (const auto& [body, count] : one.m_effects)
    {
        sums.m_doubled += count > 1;
        cr_expect(count <= 1, "seed %lu: %s ran %d times", seed, body.c_str(), count);
    }
    for (const auto& [id, caller] : one.m_callers)
    {
        const auto fault = one.fault_of(id, caller);
        sums.m_wrong += not fault.empty();
        cr_expect(fault.empty(), "seed %lu: %s: %s", seed, to_string(id).c_str(),
                  fault.c_str());
        ++sums.m_requests;
        for (const auto& answer : caller.m_answers)
        {
            sums.m_whole += answer.m_code == answer_code::ok;
            sums.m_not_run += answer.m_ran == ran_state::not_run;
        }
    }
    for (const auto& node : one.m_nodes)
    {
        sums.m_stuck += node.m_requests.size() + node.m_claims.m_entries.size();
    }
}

} // namespace

Test(coordinator_world, orders_run_at_most_once_whatever_fails)
{
    set_log_sink([](std::string_view) {});
    const char* wanted = std::getenv("GD_WORLD_SEEDS");
    const int seeds = wanted == nullptr ? 30 : std::atoi(wanted);
    tally sums;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        check(static_cast<std::uint64_t>(seed), sums);
    }
    // Requests and claims end: nothing waits for ever.
    EXPECT_EQUAL(sums.m_stuck, 0U);
    cr_log_info("requests=%zu whole=%zu not_run=%zu doubled=%zu wrong=%zu stuck=%zu",
                sums.m_requests, sums.m_whole, sums.m_not_run, sums.m_doubled,
                sums.m_wrong, sums.m_stuck);
    // The run means something only while many requests succeed and some are refused.
    cr_expect(sums.m_whole * 2 > sums.m_requests);
    cr_expect(sums.m_not_run > 0);
}
