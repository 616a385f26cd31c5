#pragma once

#include "support.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

using namespace std::chrono_literals;

inline constexpr std::uint32_t coordinators = 3;
inline constexpr std::uint32_t owners = 3;
inline const std::vector<std::string> pools{"encode", "pay", "ledger"};

struct owner_process
{
    std::uint64_t m_incarnation = 1;
    /// Attempt ids received; true if dispatched, false if fenced or still queued.
    std::map<std::string, bool> m_attempts;
    std::set<std::string> m_queued;
};

struct caller_record
{
    std::string m_body;
    bool m_coordinator_killed = false;
    bool m_disconnected = false;
    std::vector<pipeline_answer> m_answers;
};

/// Simulated cluster in virtual time: coordinators, owners, their connections and a table
/// service that may fail.
struct fake_cluster
{
    explicit fake_cluster(std::uint64_t seed) : m_random{seed}
    {
        for (std::uint32_t at = 0; at < coordinators; ++at)
        {
            m_nodes.push_back({});
            start_node(at, 1);
        }
    }

    random_source m_random;
    time_point m_now{seconds{100}};
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<coordinator> m_nodes;
    owner_process m_owners[owners];
    /// Generation of each connection; a message sent on an earlier generation is lost.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> m_connections;
    fake_table m_table;
    time_point m_table_down_until;
    std::map<request_id, caller_record> m_callers;
    std::map<std::string, int> m_execution_counts;
    std::set<request_id> m_executed;

    bool chance(std::uint32_t percent)
    {
        return uniform_below(m_random, 100) < percent;
    }

    void schedule(std::uint32_t max_delay_ms, std::function<void()> event)
    {
        const milliseconds delay{1 + uniform_below(m_random, max_delay_ms)};
        m_events.emplace(m_now + delay, std::move(event));
    }

    /// Runs an event at the coordinator, unless that process has been restarted since.
    void at_node(std::uint32_t node, incarnation started, std::uint32_t max_delay_ms,
                 std::function<void(coordinator&, coordinator_actions&)> event)
    {
        schedule(max_delay_ms,
                 [=, this]
                 {
                     if (m_nodes[node].m_incarnation == started)
                     {
                         coordinator_actions actions;
                         event(m_nodes[node], actions);
                         perform(node, actions);
                     }
                 });
    }

    std::string owner_name(std::uint32_t owner) const
    {
        return "o" + std::to_string(owner);
    }

    void announce_owner(std::uint32_t owner, coordinator& node)
    {
        const auto started = m_owners[owner].m_incarnation;
        coordinator_actions actions;
        on_ownership_announce(node, announce(owner_name(owner), started, pools), m_now,
                              actions);
    }

    void start_node(std::uint32_t at, std::uint64_t started)
    {
        const node_id name{"c" + std::to_string(at)};
        m_nodes[at] = make_coordinator(name, {started}, m_random());
        set_configuration(m_nodes[at], example_configuration(), m_now);
        for (std::uint32_t owner = 0; owner < owners; ++owner)
        {
            announce_owner(owner, m_nodes[at]);
        }
    }

    void perform(std::uint32_t node, coordinator_actions& actions)
    {
        for (const auto& action : actions)
        {
            std::visit(
                [&](const auto& item)
                {
                    perform_one(node, item);
                },
                action);
        }
    }

    void perform_one(std::uint32_t, const reply_part&) {}

    void perform_one(std::uint32_t, const reply_final& reply)
    {
        m_callers.at(reply.m_answer.m_id).m_answers.push_back(reply.m_answer);
    }

    void perform_one(std::uint32_t node, const table_read& read)
    {
        const auto started = m_nodes[node].m_incarnation;
        const bool fails = m_now < m_table_down_until || chance(3);
        schedule(20,
                 [=, this]
                 {
                     table_read_end end{read.m_id, {}};
                     if (not fails)
                     {
                         end.m_row = m_table.read(read.m_key);
                     }
                     at_node(node, started, 20,
                             [=, this](coordinator& state, coordinator_actions& actions)
                             {
                                 on_table_read_end(state, end, m_now, actions);
                             });
                 });
    }

    void end_transaction(std::uint32_t node, incarnation started,
                         const table_transaction_end& end)
    {
        at_node(node, started, 20,
                [=, this](coordinator& state, coordinator_actions& actions)
                {
                    on_table_transaction_end(state, end, m_now, actions);
                });
    }

    /// Applies the transaction, or injects a fault: the transaction is not sent, or its
    /// answer is lost while it takes effect soon, late or not at all.
    void perform_one(std::uint32_t node, const table_transaction& transaction)
    {
        const auto started = m_nodes[node].m_incarnation;
        const bool lost = m_now < m_table_down_until || chance(8);
        if (not lost)
        {
            schedule(20,
                     [=, this]
                     {
                         end_transaction(node, started, m_table.apply(transaction));
                     });
            return;
        }
        if (chance(30))
        {
            end_transaction(node, started,
                            {transaction.m_id, table_outcome::not_written, {}});
            return;
        }
        if (chance(60))
        {
            schedule(chance(50) ? 10 : 600,
                     [=, this]
                     {
                         m_table.apply(transaction);
                     });
        }
        end_transaction(node, started, {transaction.m_id, table_outcome::unknown, {}});
    }

    /// Sends a message to an owner. It may be delivered twice, and is lost if the
    /// connection breaks.
    void send(std::uint32_t node, const node_id& to,
              std::function<void(std::uint32_t)> run)
    {
        const std::uint32_t owner = to.m_value.back() - '0';
        const auto connection = m_connections[{node, owner}];
        const int copies = chance(5) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            schedule(40,
                     [=, this]
                     {
                         if (m_connections[{node, owner}] == connection)
                         {
                             run(owner);
                         }
                     });
        }
    }

    void reply(std::uint32_t node, incarnation started, std::uint32_t owner,
               std::function<void(coordinator&, coordinator_actions&)> event)
    {
        const auto connection = m_connections[{node, owner}];
        const int copies = chance(5) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            at_node(node, started, 40,
                    [=, this](coordinator& state, coordinator_actions& actions)
                    {
                        if (m_connections[{node, owner}] == connection)
                        {
                            event(state, actions);
                        }
                    });
        }
    }

    void reply_result(std::uint32_t node, std::uint32_t owner, const stage_call& call,
                      call_outcome outcome, call_reason reason, const std::string& output)
    {
        stage_result result;
        result.m_key = call.m_key;
        result.m_owner_incarnation = {m_owners[owner].m_incarnation};
        result.m_outcome = outcome;
        result.m_reason = reason;
        result.m_upstream = {owner_name(owner) + "-" + call.m_pool.m_value};
        result.m_output = output;
        reply(node, call.m_key.m_request.m_incarnation, owner,
              [=, this](coordinator& state, coordinator_actions& actions)
              {
                  on_stage_result(state, result, m_now, actions);
              });
    }

    /// Runs the call at the upstream. The effect takes place before the answer is sent.
    void run_call(std::uint32_t node, std::uint32_t owner, const stage_call& call)
    {
        if (not call.m_idempotent)
        {
            ++m_execution_counts[call.m_input];
            m_executed.insert(call.m_key.m_request);
        }
        const auto started = m_owners[owner].m_incarnation;
        const bool fails = chance(8);
        schedule(chance(5) ? 4000 : 150,
                 [=, this]
                 {
                     if (m_owners[owner].m_incarnation != started)
                     {
                         return;
                     }
                     reply_result(node, owner, call,
                                  fails ? call_outcome::failed : call_outcome::answered,
                                  fails ? call_reason::upstream_error : call_reason::none,
                                  call.m_operation + "(" + call.m_input + ")");
                 });
    }

    void dispatch_queued(std::uint32_t node, std::uint32_t owner, std::uint64_t started,
                         const stage_call& call)
    {
        auto& process = m_owners[owner];
        const auto& id = call.m_attempt_id.m_value;
        if (process.m_incarnation != started || process.m_queued.erase(id) == 0)
        {
            return;
        }
        if (chance(5))
        {
            // The upstream refuses the connection; the attempt remains fenced.
            reply_result(node, owner, call, call_outcome::not_dispatched,
                         call_reason::upstream_error, {});
            return;
        }
        process.m_attempts[id] = true;
        run_call(node, owner, call);
    }

    void perform_one(std::uint32_t node, const send_stage_call& sent)
    {
        const auto call = sent.m_message;
        send(node, sent.m_to,
             [=, this](std::uint32_t owner)
             {
                 auto& process = m_owners[owner];
                 const auto& id = call.m_attempt_id.m_value;
                 if (call.m_idempotent)
                 {
                     run_call(node, owner, call);
                     return;
                 }
                 const bool seen = process.m_attempts.contains(id);
                 if (seen || chance(15))
                 {
                     process.m_attempts.try_emplace(id, false);
                     const auto reason = seen ? call_reason::duplicate_attempt
                                              : call_reason::no_authority;
                     reply_result(node, owner, call, call_outcome::not_dispatched, reason,
                                  {});
                     return;
                 }
                 process.m_attempts[id] = false;
                 process.m_queued.insert(id);
                 const auto started = process.m_incarnation;
                 schedule(80,
                          [=, this]
                          {
                              dispatch_queued(node, owner, started, call);
                          });
             });
    }

    void perform_one(std::uint32_t, const send_stage_cancel&) {}

    void perform_one(std::uint32_t node, const send_attempt_query& query)
    {
        const auto started = m_nodes[node].m_incarnation;
        const auto id = query.m_message.m_attempt_id;
        send(node, query.m_to,
             [=, this](std::uint32_t owner)
             {
                 auto& process = m_owners[owner];
                 process.m_queued.erase(id.m_value);
                 const bool dispatched = process.m_attempts[id.m_value];
                 const attempt_status status{id,
                                             {process.m_incarnation},
                                             dispatched ? attempt_state::dispatched
                                                        : attempt_state::fenced};
                 reply(node, started, owner,
                       [=, this](coordinator& state, coordinator_actions& actions)
                       {
                           on_attempt_status(state, status, m_now, actions);
                       });
             });
    }
};

} // namespace geraniumdoor::test
