#include "cluster_simulation.hpp"

#include <algorithm>

namespace geraniumdoor::testing
{

namespace
{

constexpr milliseconds step_length{10};
constexpr milliseconds tick_length{50};
constexpr milliseconds table_timeout{300};
constexpr std::uint32_t longest_call_ms = 900;

std::vector<pool_config> two_pools()
{
    pool_config single{pool_id{"single"}, stage_kind::service, 1, 1};
    pool_config pair{pool_id{"pair"}, stage_kind::service, 2, 2};
    return {single, pair};
}

} // namespace

table_transaction_end fake_table::apply(const table_transaction& transaction)
{
    table_transaction_end end{transaction.m_id, table_outcome::committed, {}};
    for (const row_check& check : transaction.m_checks)
    {
        if (read(check.m_key).m_version != check.m_version)
        {
            end.m_outcome = table_outcome::conflict;
            end.m_rows.push_back(read(check.m_key));
        }
    }
    if (end.m_outcome == table_outcome::conflict)
    {
        return end;
    }
    for (const row_write& write : transaction.m_writes)
    {
        if (!write.m_value)
        {
            m_rows.erase(write.m_key);
            continue;
        }
        table_row& row = m_rows[write.m_key];
        row = {write.m_key, row.m_version + 1, *write.m_value};
        end.m_rows.push_back(row);
    }
    return end;
}

table_row fake_table::read(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? table_row{key, 0, {}} : found->second;
}

std::vector<table_row> fake_table::scan(const std::string& prefix) const
{
    std::vector<table_row> rows;
    for (const auto& [key, row] : m_rows)
    {
        if (key.starts_with(prefix))
        {
            rows.push_back(row);
        }
    }
    return rows;
}

cluster_simulation::cluster_simulation(std::uint32_t seed, std::size_t nodes,
                                       std::size_t upstreams)
    : m_random{seed}
{
    for (std::size_t i = 0; i < upstreams; ++i)
    {
        const bool single = i % 2 == 0;
        const upstream_id id{"u" + std::to_string(i)};
        upstream_record record{id,
                               pool_id{single ? "single" : "pair"},
                               data_centre_id{"dc" + std::to_string(i % 2)},
                               {},
                               false};
        m_upstreams[id] = {record, single ? 1U : 2U, 0};
    }
    m_nodes.resize(nodes);
    for (std::size_t i = 0; i < nodes; ++i)
    {
        start(i);
    }
}

void cluster_simulation::start(std::size_t at)
{
    simulated_node fresh;
    fresh.m_node.m_value = "n" + std::to_string(at);
    fresh.m_incarnation.m_value = m_next_incarnation++;
    fresh.m_dispatcher = make_dispatcher(fresh.m_incarnation, m_random());
    fresh.m_ownership = make_ownership({fresh.m_node, fresh.m_incarnation,
                                        data_centre_id{"dc" + std::to_string(at % 2)},
                                        milliseconds{1000}},
                                       m_now);
    std::vector<dispatcher_action> none;
    set_pools(fresh.m_dispatcher, two_pools(), m_now, none);
    std::vector<upstream_record> records;
    for (const auto& [id, upstream] : m_upstreams)
    {
        records.push_back(upstream.m_record);
    }
    set_upstreams(fresh.m_dispatcher, records, m_now);
    fresh.m_next_tick = m_now + random_ms(1, 50);
    m_nodes[at] = std::move(fresh);
}

void cluster_simulation::kill(std::size_t at)
{
    m_nodes[at].m_alive = false;
    m_nodes[at].m_inbox.clear();
}

void cluster_simulation::stop_gracefully(std::size_t at)
{
    m_nodes[at].m_stopping = true;
    begin_stop(m_nodes[at].m_ownership);
}

bool cluster_simulation::chance(std::uint32_t in_thousand)
{
    return uniform_below(m_random, 1000) < in_thousand;
}

milliseconds cluster_simulation::random_ms(std::uint32_t low, std::uint32_t high)
{
    return milliseconds{low + uniform_below(m_random, high - low + 1)};
}

void cluster_simulation::at(time_point when, std::function<void()> call)
{
    m_events.emplace(std::pair{when, ++m_sequence}, std::move(call));
}

void cluster_simulation::deliver_to(std::size_t node, incarnation process, deliver call)
{
    simulated_node& to = m_nodes[node];
    if (to.m_alive && to.m_incarnation == process)
    {
        to.m_inbox.push_back(std::move(call));
    }
}

void cluster_simulation::run_for(milliseconds length)
{
    const time_point end = m_now + length;
    while (m_now < end && m_breach.empty())
    {
        step();
    }
}

void cluster_simulation::step()
{
    m_now += step_length;
    while (!m_events.empty() && m_events.begin()->first.first <= m_now)
    {
        const auto call = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        call();
    }
    if (chance(500))
    {
        send_random_call();
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        simulated_node& node = m_nodes[i];
        while (node.m_alive && !node.m_paused && !node.m_inbox.empty())
        {
            const deliver call = std::move(node.m_inbox.front());
            node.m_inbox.pop_front();
            call(node);
        }
        if (node.m_alive && !node.m_paused && m_now >= node.m_next_tick)
        {
            tick_node(i);
        }
    }
    check();
}

void cluster_simulation::tick_node(std::size_t at)
{
    simulated_node& node = m_nodes[at];
    node.m_next_tick = m_now + tick_length;
    update_members(node);
    std::vector<ownership_action> owned;
    tick(node.m_ownership, node.m_dispatcher, m_now, owned);
    execute(at, owned);
    std::vector<dispatcher_action> dispatched;
    tick(node.m_dispatcher, m_now, dispatched);
    execute(at, dispatched);
    if (node.m_stopping && is_stopped(node.m_ownership) &&
        calls_in_progress(node.m_dispatcher) == 0)
    {
        kill(at);
    }
}

void cluster_simulation::update_members(simulated_node& node)
{
    if (!chance(100))
    {
        return;
    }
    std::vector<member_view> members;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        const simulated_node& other = m_nodes[i];
        member_view view{other.m_node, other.m_incarnation,
                         data_centre_id{"dc" + std::to_string(i % 2)}};
        const bool silent = !other.m_alive || other.m_paused;
        if (silent || (m_loss > 0 && chance(10)))
        {
            view.m_state = owner_liveness::suspected;
        }
        else if (other.m_stopping)
        {
            view.m_state = owner_liveness::leaving;
        }
        if (other.m_stopping && !other.m_alive)
        {
            view.m_state = owner_liveness::left;
        }
        members.push_back(view);
    }
    set_members(node.m_ownership, members, m_now);
}

void cluster_simulation::send_random_call()
{
    const auto at = uniform_below(m_random, static_cast<std::uint32_t>(m_nodes.size()));
    stage_call call;
    call.m_key.m_request = {node_id{"caller"}, {1}, ++m_sequence};
    call.m_pool.m_value = chance(500) ? "single" : "pair";
    call.m_workspace.m_value = "w" + std::to_string(uniform_below(m_random, 3));
    call.m_budget_ms = 2000;
    call.m_idempotent = chance(700);
    call.m_attempt_id.m_value = std::to_string(m_sequence);
    deliver_to(at, m_nodes[at].m_incarnation,
               [this, at, call](simulated_node& node)
               {
                   std::vector<dispatcher_action> actions;
                   on_stage_call(node.m_dispatcher, node_id{"caller"}, call, m_now,
                                 actions);
                   execute(at, actions);
               });
}

std::size_t cluster_simulation::authorities(const upstream_id& upstream) const
{
    return static_cast<std::size_t>(std::count_if(
        m_nodes.begin(), m_nodes.end(),
        [&](const simulated_node& node)
        {
            const auto* row = node.m_dispatcher.m_upstreams.find(upstream);
            return node.m_alive && row != nullptr && row->m_authority_until > m_now;
        }));
}

void cluster_simulation::check()
{
    for (const auto& [id, upstream] : m_upstreams)
    {
        const std::size_t owners = authorities(id);
        m_counts.m_authority_in_outage += owners == 1 && !m_table.m_up ? 1 : 0;
        if (owners > 1)
        {
            m_breach = id.m_value + " has two authorities";
        }
        if (upstream.m_outstanding > upstream.m_cold_limit)
        {
            m_breach = id.m_value + " has more calls than its cold limit";
        }
    }
}

void cluster_simulation::execute(std::size_t at, std::vector<ownership_action>& actions)
{
    simulated_node& node = m_nodes[at];
    for (ownership_action& action : actions)
    {
        if (const auto* transaction = std::get_if<table_transaction>(&action))
        {
            call_table(at, *transaction);
        }
        else if (const auto* read = std::get_if<table_read>(&action))
        {
            call_table(at, end_read(at, {read->m_id}),
                       [this, at, read = *read]
                       {
                           return end_read(at, {read.m_id, m_table.read(read.m_key)});
                       });
        }
        else if (const auto* scan = std::get_if<table_scan>(&action))
        {
            call_table(at, end_scan(at, {scan->m_id}),
                       [this, at, scan = *scan]
                       {
                           return end_scan(at, {scan.m_id, m_table.scan(scan.m_prefix)});
                       });
        }
        else if (const auto* message = std::get_if<send_lease_message>(&action))
        {
            send(at, *message);
        }
        else if (const auto* gained = std::get_if<upstream_gained>(&action))
        {
            m_counts.m_gained_by_release += gained->m_from ? 0 : 1;
            take_over(node.m_dispatcher, gained->m_upstream, gained->m_from, m_now);
        }
        else if (const auto* change = std::get_if<authority_change>(&action))
        {
            set_authority(node.m_dispatcher, change->m_upstream, change->m_until);
        }
        else if (const auto* left = std::get_if<foreign_outstanding_change>(&action))
        {
            set_foreign_outstanding(node.m_dispatcher, left->m_upstream,
                                    left->m_outstanding);
        }
    }
}

void cluster_simulation::execute(std::size_t at, std::vector<dispatcher_action>& actions)
{
    for (const dispatcher_action& action : actions)
    {
        if (const auto* call = std::get_if<start_upstream_call>(&action))
        {
            run_upstream(at, *call);
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
    const auto length = random_ms(20, chance(50) ? longest_call_ms : 100);
    const upstream_call_end end{call.m_id, true, call_reason::none, {1}, "{}", 0};
    at(m_now + length,
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
    const int copies = chance(m_loss) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        if (chance(m_loss) || m_cut.contains(std::minmax(from, to)))
        {
            continue;
        }
        const auto delay = chance(m_loss) ? random_ms(500, 9000) : random_ms(1, 20);
        at(m_now + delay,
           [this, to, sender = m_nodes[from].m_node, body = message.m_message]
           {
               // A late message may reach the next process of the same node.
               deliver_to(to, m_nodes[to].m_incarnation,
                          [this, to, sender, body](simulated_node& node)
                          {
                              std::vector<ownership_action> out;
                              const auto accepted = node.m_ownership.m_accepted.size();
                              on_lease_message(node.m_ownership, sender, body, m_now,
                                               out);
                              m_counts.m_accepted_transfers +=
                                  node.m_ownership.m_accepted.size() - accepted;
                              execute(to, out);
                          });
           });
    }
}

auto cluster_simulation::end_transaction(std::size_t node, table_transaction_end end)
    -> deliver
{
    return [this, node, end](simulated_node& to)
    {
        std::vector<ownership_action> out;
        on_table_transaction_end(to.m_ownership, end, m_now, out);
        execute(node, out);
    };
}

auto cluster_simulation::end_read(std::size_t node, table_read_end end) -> deliver
{
    return [this, node, end](simulated_node& to)
    {
        std::vector<ownership_action> out;
        on_table_read_end(to.m_ownership, end, m_now, out);
        execute(node, out);
    };
}

auto cluster_simulation::end_scan(std::size_t node, table_scan_end end) -> deliver
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

void cluster_simulation::call_table(std::size_t node, deliver failure,
                                    std::function<deliver()> look)
{
    const incarnation process = m_nodes[node].m_incarnation;
    const auto answered = std::make_shared<bool>(false);
    const auto way = chance(m_loss) ? random_ms(400, 9000) : random_ms(1, 30);
    const bool lost = chance(m_loss);
    const auto back = random_ms(1, 30);
    at(m_now + way,
       [=, this]
       {
           if (!m_table.m_up)
           {
               return;
           }
           const deliver answer = look();
           if (!lost)
           {
               at(m_now + back,
                  [=, this]
                  {
                      if (!std::exchange(*answered, true))
                      {
                          deliver_to(node, process, answer);
                      }
                  });
           }
       });
    at(m_now + table_timeout,
       [=, this]
       {
           if (std::exchange(*answered, true))
           {
               return;
           }
           deliver_to(node, process, failure);
       });
}

void cluster_simulation::inject_fault()
{
    const auto count = static_cast<std::uint32_t>(m_nodes.size());
    const std::size_t node = uniform_below(m_random, count);
    const std::size_t other = uniform_below(m_random, count);
    simulated_node& picked = m_nodes[node];
    switch (uniform_below(m_random, 6))
    {
    case 0:
        kill(node);
        break;
    case 1:
        picked.m_paused = !picked.m_paused;
        break;
    case 2:
        m_table.m_up = !m_table.m_up;
        break;
    case 3:
        if (node != other && !m_cut.erase(std::minmax(node, other)))
        {
            m_cut.insert(std::minmax(node, other));
        }
        break;
    case 4:
        if (picked.m_alive && !picked.m_paused && !picked.m_stopping)
        {
            stop_gracefully(node);
        }
        break;
    default:
        if (!picked.m_alive)
        {
            start(node);
        }
        break;
    }
}

void cluster_simulation::heal_all()
{
    m_table.m_up = true;
    m_cut.clear();
    m_loss = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        m_nodes[i].m_paused = false;
        if (!m_nodes[i].m_alive || m_nodes[i].m_stopping)
        {
            start(i);
        }
    }
}

} // namespace geraniumdoor::testing
