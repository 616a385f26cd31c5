#include "cluster_simulation.hpp"

#include <algorithm>

namespace geraniumdoor::testing
{

namespace
{

constexpr milliseconds step_length{10};
constexpr milliseconds tick_interval{50};
constexpr std::uint32_t call_per_step_per_mille = 500;
constexpr std::uint32_t member_update_per_mille = 100;
constexpr std::uint32_t false_suspicion_per_mille = 10;

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

void cluster_simulation::start(std::size_t index)
{
    simulated_node node;
    node.m_node.m_value = "n" + std::to_string(index);
    node.m_incarnation.m_value = m_next_incarnation++;
    node.m_dispatcher = make_dispatcher(node.m_incarnation, m_random());
    node.m_ownership = make_ownership({node.m_node, node.m_incarnation,
                                       data_centre_id{"dc" + std::to_string(index % 2)},
                                       milliseconds{1000}},
                                      m_now);
    std::vector<dispatcher_action> actions;
    set_pools(node.m_dispatcher, two_pools(), m_now, actions);
    std::vector<upstream_record> records;
    for (const auto& [id, upstream] : m_upstreams)
    {
        records.push_back(upstream.m_record);
    }
    set_upstreams(node.m_dispatcher, records, m_now);
    node.m_next_tick = m_now + random_ms(1, 50);
    m_nodes[index] = std::move(node);
}

void cluster_simulation::end_process(std::size_t index)
{
    m_nodes[index].m_alive = false;
    m_nodes[index].m_inbox.clear();
}

void cluster_simulation::stop_gracefully(std::size_t index)
{
    m_nodes[index].m_stopping = true;
    begin_stop(m_nodes[index].m_ownership);
}

bool cluster_simulation::chance(std::uint32_t per_mille)
{
    return uniform_below(m_random, 1000) < per_mille;
}

milliseconds cluster_simulation::random_ms(std::uint32_t low, std::uint32_t high)
{
    return milliseconds{low + uniform_below(m_random, high - low + 1)};
}

void cluster_simulation::schedule(time_point when, std::function<void()> action)
{
    m_events.emplace(std::pair{when, ++m_last_number}, std::move(action));
}

void cluster_simulation::deliver_to(std::size_t node, incarnation expected,
                                    inbox_action action)
{
    simulated_node& to = m_nodes[node];
    if (to.m_alive && to.m_incarnation == expected)
    {
        to.m_inbox.push_back(std::move(action));
    }
}

void cluster_simulation::run_for(milliseconds length)
{
    const time_point end = m_now + length;
    while (m_now < end && m_violation.empty())
    {
        step();
    }
}

void cluster_simulation::step()
{
    m_now += step_length;
    while (!m_events.empty() && m_events.begin()->first.first <= m_now)
    {
        const auto action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    if (chance(call_per_step_per_mille))
    {
        send_random_call();
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        simulated_node& node = m_nodes[i];
        while (node.m_alive && !node.m_paused && !node.m_inbox.empty())
        {
            const inbox_action action = std::move(node.m_inbox.front());
            node.m_inbox.pop_front();
            action(node);
        }
        if (node.m_alive && !node.m_paused && m_now >= node.m_next_tick)
        {
            tick_node(i);
        }
    }
    check();
}

void cluster_simulation::tick_node(std::size_t index)
{
    simulated_node& node = m_nodes[index];
    node.m_next_tick = m_now + tick_interval;
    update_members(node);
    std::vector<ownership_action> owned;
    tick(node.m_ownership, node.m_dispatcher, m_now, owned);
    execute(index, owned);
    std::vector<dispatcher_action> dispatched;
    tick(node.m_dispatcher, m_now, dispatched);
    execute(index, dispatched);
    if (node.m_stopping && is_stopped(node.m_ownership) &&
        calls_in_progress(node.m_dispatcher) == 0)
    {
        end_process(index);
    }
}

void cluster_simulation::update_members(simulated_node& node)
{
    if (!chance(member_update_per_mille))
    {
        return;
    }
    std::vector<member_view> members;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        const simulated_node& other = m_nodes[i];
        member_view view{other.m_node, other.m_incarnation,
                         data_centre_id{"dc" + std::to_string(i % 2)}};
        const bool unreachable = !other.m_alive || other.m_paused;
        if (unreachable || (m_loss_per_mille > 0 && chance(false_suspicion_per_mille)))
        {
            view.m_state = member_liveness::suspected;
        }
        else if (other.m_stopping)
        {
            view.m_state = member_liveness::leaving;
        }
        if (other.m_stopping && !other.m_alive)
        {
            view.m_state = member_liveness::left;
        }
        members.push_back(view);
    }
    set_members(node.m_ownership, members, m_now);
}

void cluster_simulation::send_random_call()
{
    const auto index =
        uniform_below(m_random, static_cast<std::uint32_t>(m_nodes.size()));
    stage_call call;
    call.m_key.m_request = {node_id{"caller"}, {1}, ++m_last_number};
    call.m_pool.m_value = chance(500) ? "single" : "pair";
    call.m_workspace.m_value = "w" + std::to_string(uniform_below(m_random, 3));
    call.m_budget_ms = 2000;
    call.m_idempotent = chance(700);
    call.m_attempt_id.m_value = std::to_string(m_last_number);
    deliver_to(index, m_nodes[index].m_incarnation,
               [this, index, call](simulated_node& node)
               {
                   std::vector<dispatcher_action> actions;
                   on_stage_call(node.m_dispatcher, node_id{"caller"}, call, m_now,
                                 actions);
                   execute(index, actions);
               });
}

std::size_t cluster_simulation::count_authorities(const upstream_id& upstream) const
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
        const std::size_t authorities = count_authorities(id);
        m_counts.m_authority_in_outage +=
            authorities == 1 && !m_table.m_available ? 1 : 0;
        if (authorities > 1)
        {
            m_violation = id.m_value + " has more than one authority";
        }
        if (upstream.m_outstanding > upstream.m_cold_limit)
        {
            m_violation = id.m_value + " has more calls than its cold limit";
        }
    }
}

void cluster_simulation::inject_fault()
{
    const auto count = static_cast<std::uint32_t>(m_nodes.size());
    const std::size_t node = uniform_below(m_random, count);
    const std::size_t other = uniform_below(m_random, count);
    simulated_node& selected = m_nodes[node];
    switch (uniform_below(m_random, 6))
    {
    case 0:
        end_process(node);
        break;
    case 1:
        selected.m_paused = !selected.m_paused;
        break;
    case 2:
        m_table.m_available = !m_table.m_available;
        m_table.m_refuses_connections = chance(500);
        break;
    case 3:
        if (node != other && !m_cut_links.erase(std::minmax(node, other)))
        {
            m_cut_links.insert(std::minmax(node, other));
        }
        break;
    case 4:
        if (selected.m_alive && !selected.m_paused && !selected.m_stopping)
        {
            stop_gracefully(node);
        }
        break;
    default:
        if (!selected.m_alive)
        {
            start(node);
        }
        break;
    }
}

void cluster_simulation::heal_all()
{
    m_table.m_available = true;
    m_cut_links.clear();
    m_loss_per_mille = 0;
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
