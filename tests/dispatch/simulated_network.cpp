#include "cluster_simulation.hpp"

#include <algorithm>
#include <utility>

// Simulated network, table service calls and upstreams.

namespace geraniumdoor::testing
{

namespace
{

constexpr milliseconds table_timeout{300};
constexpr std::uint32_t max_call_ms = 900;

} // namespace

void cluster_simulation::execute(std::size_t index,
                                 std::vector<ownership_action>& actions)
{
    simulated_node& node = m_nodes[index];
    for (ownership_action& action : actions)
    {
        if (const auto* transaction = std::get_if<table_transaction>(&action))
        {
            call_table(index, *transaction);
        }
        else if (const auto* read = std::get_if<table_read>(&action))
        {
            call_table(index, end_read(index, {read->m_id}),
                       [this, index, read = *read]
                       {
                           return end_read(index, {read.m_id, m_table.read(read.m_key)});
                       });
        }
        else if (const auto* scan = std::get_if<table_scan>(&action))
        {
            call_table(
                index, end_scan(index, {scan->m_id}),
                [this, index, scan = *scan]
                {
                    return end_scan(index, {scan.m_id, m_table.scan(scan.m_prefix)});
                });
        }
        else if (const auto* message = std::get_if<send_lease_message>(&action))
        {
            send(index, *message);
        }
        else if (const auto* gained = std::get_if<upstream_gained>(&action))
        {
            m_counts.m_gained_by_release += gained->m_handover ? 0 : 1;
            take_over(node.m_dispatcher, gained->m_upstream, gained->m_handover, m_now);
        }
        else if (const auto* change = std::get_if<authority_change>(&action))
        {
            set_authority(node.m_dispatcher, change->m_upstream, change->m_until);
        }
        else if (const auto* left = std::get_if<inherited_outstanding_change>(&action))
        {
            set_inherited_outstanding(node.m_dispatcher, left->m_upstream,
                                      left->m_outstanding);
        }
    }
}

void cluster_simulation::execute(std::size_t index,
                                 std::vector<dispatcher_action>& actions)
{
    for (const dispatcher_action& action : actions)
    {
        if (const auto* call = std::get_if<start_upstream_call>(&action))
        {
            run_upstream(index, *call);
        }
        else if (const auto* result = std::get_if<send_result>(&action))
        {
            m_counts.m_answered +=
                result->m_message.m_outcome == call_outcome::answered ? 1 : 0;
        }
    }
}

void cluster_simulation::run_upstream(std::size_t node, const start_upstream_call& call)
{
    ++m_upstreams[call.m_upstream].m_outstanding;
    const auto length = random_ms(20, chance(50) ? max_call_ms : 100);
    const upstream_call_end end{call.m_id, true, call_reason::none, {1}, "{}", 0};
    schedule(
        m_now + length,
        [this, node, process = m_nodes[node].m_incarnation, id = call.m_upstream, end]
        {
            --m_upstreams[id].m_outstanding;
            deliver_to(node, process,
                       [this, node, end](simulated_node& to)
                       {
                           std::vector<dispatcher_action> out;
                           on_upstream_end(to.m_dispatcher, end, m_now, out);
                           execute(node, out);
                       });
        });
}

void cluster_simulation::send(std::size_t from, const send_lease_message& message)
{
    const auto to = static_cast<std::size_t>(std::stoul(message.m_to.m_value.substr(1)));
    const int copies = chance(m_loss_per_mille) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        if (chance(m_loss_per_mille) || m_cut_links.contains(std::minmax(from, to)))
        {
            continue;
        }
        const auto delay =
            chance(m_loss_per_mille) ? random_ms(500, 9000) : random_ms(1, 20);
        schedule(m_now + delay,
                 [this, to, sender = m_nodes[from].m_node, body = message.m_message]
                 {
                     // A late message may reach the next incarnation of the node.
                     deliver_to(
                         to, m_nodes[to].m_incarnation,
                         [this, to, sender, body](simulated_node& node)
                         {
                             std::vector<ownership_action> out;
                             const auto accepted =
                                 node.m_ownership.m_accepted_transfers.size();
                             on_lease_message(node.m_ownership, sender, body, m_now, out);
                             m_counts.m_accepted_transfers +=
                                 node.m_ownership.m_accepted_transfers.size() - accepted;
                             execute(to, out);
                         });
                 });
    }
}

auto cluster_simulation::end_transaction(std::size_t node, table_transaction_end end)
    -> inbox_action
{
    return [this, node, end](simulated_node& to)
    {
        std::vector<ownership_action> out;
        on_table_transaction_end(to.m_ownership, end, m_now, out);
        execute(node, out);
    };
}

auto cluster_simulation::end_read(std::size_t node, table_read_end end) -> inbox_action
{
    return [this, node, end](simulated_node& to)
    {
        std::vector<ownership_action> out;
        on_table_read_end(to.m_ownership, end, m_now, out);
        execute(node, out);
    };
}

auto cluster_simulation::end_scan(std::size_t node, table_scan_end end) -> inbox_action
{
    return [this, node, end](simulated_node& to)
    {
        std::vector<ownership_action> out;
        on_table_scan_end(to.m_ownership, end, m_now, out);
        execute(node, out);
    };
}

void cluster_simulation::call_table(std::size_t node,
                                    const table_transaction& transaction)
{
    if (!m_table.m_available && m_table.m_refuses_connections)
    {
        const table_transaction_end end{transaction.m_id, table_outcome::not_written, {}};
        const incarnation process = m_nodes[node].m_incarnation;
        schedule(m_now + random_ms(1, 30),
                 [=, this]
                 {
                     deliver_to(node, process, end_transaction(node, end));
                 });
        return;
    }
    call_table(node, end_transaction(node, {transaction.m_id}),
               [this, node, transaction]
               {
                   const auto end = m_table.apply(transaction);
                   const bool deletes = std::any_of(transaction.m_writes.begin(),
                                                    transaction.m_writes.end(),
                                                    [](const row_write& write)
                                                    {
                                                        return !write.m_value;
                                                    });
                   const bool committed = end.m_outcome == table_outcome::committed;
                   m_counts.m_revoked += deletes && committed ? 1 : 0;
                   return end_transaction(node, end);
               });
}

void cluster_simulation::call_table(std::size_t node, inbox_action failure,
                                    std::function<inbox_action()> execute_call)
{
    const incarnation process = m_nodes[node].m_incarnation;
    const auto answered = std::make_shared<bool>(false);
    const auto request_delay =
        chance(m_loss_per_mille) ? random_ms(400, 9000) : random_ms(1, 30);
    const bool lost = chance(m_loss_per_mille);
    const auto response_delay = random_ms(1, 30);
    schedule(m_now + request_delay,
             [=, this]
             {
                 if (!m_table.m_available)
                 {
                     return;
                 }
                 const inbox_action answer = execute_call();
                 if (!lost)
                 {
                     schedule(m_now + response_delay,
                              [=, this]
                              {
                                  if (!std::exchange(*answered, true))
                                  {
                                      deliver_to(node, process, answer);
                                  }
                              });
                 }
             });
    schedule(m_now + table_timeout,
             [=, this]
             {
                 if (std::exchange(*answered, true))
                 {
                     return;
                 }
                 deliver_to(node, process, failure);
             });
}

} // namespace geraniumdoor::testing
