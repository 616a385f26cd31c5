#include "keeper_world.hpp"

using namespace geraniumdoor;
using namespace std::chrono_literals;

keeper_world::keeper_world(std::size_t nodes, std::uint64_t seed)
{
    m_row.m_key = config_row_key;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        node added;
        added.m_keeper = make_config_keeper({}, random_source{seed + i}, m_now);
        m_nodes.push_back(std::move(added));
    }
}

bool keeper_world::connected(std::size_t left, std::size_t right) const
{
    const node& a = m_nodes[left];
    const node& b = m_nodes[right];
    return left != right && a.m_reaches_peers && b.m_reaches_peers && !a.m_dead &&
           !b.m_dead;
}

config_peers keeper_world::peers_of(std::size_t at) const
{
    config_peers peers;
    for (std::size_t other = 0; other < m_nodes.size(); ++other)
    {
        if (connected(at, other))
        {
            peers.m_any = node_id{std::to_string(other)};
            ++peers.m_live_nodes;
        }
    }
    return peers;
}

void keeper_world::gossip(std::size_t from)
{
    for (std::size_t to = 0; to < m_nodes.size(); ++to)
    {
        if (!connected(from, to))
        {
            continue;
        }
        const config_keeper& sender = m_nodes[from].m_keeper;
        config_actions actions;
        for (const auto& state : urgent_states(sender))
        {
            on_urgent_state(m_nodes[to].m_keeper, state, m_now, actions);
        }
        on_peer_version(m_nodes[to].m_keeper, node_id{std::to_string(from)},
                        version_of(sender), m_now, actions);
        perform(to, std::move(actions));
    }
}

void keeper_world::run_for(duration length)
{
    const time_point end = m_now + length;
    while (m_now < end)
    {
        m_now += 50ms;
        m_since_gossip += 50ms;
        const bool gossips = m_since_gossip >= 1s;
        m_since_gossip = gossips ? duration{} : m_since_gossip;
        for (std::size_t at = 0; at < m_nodes.size(); ++at)
        {
            if (m_nodes[at].m_dead)
            {
                continue;
            }
            config_actions actions;
            on_tick(m_nodes[at].m_keeper, peers_of(at), m_now, actions);
            perform(at, std::move(actions));
            if (gossips)
            {
                gossip(at);
            }
        }
    }
}

change_report keeper_world::submit(std::size_t at, config_change change)
{
    config_actions actions;
    auto report = submit_change(m_nodes[at].m_keeper, std::move(change), m_now, actions);
    perform(at, std::move(actions));
    return report;
}

void keeper_world::perform(std::size_t at, config_actions actions)
{
    for (const auto& action : actions)
    {
        perform_one(at, action);
    }
    node& self = m_nodes[at];
    const std::uint64_t version = version_of(self.m_keeper).m_value;
    require_invariant(version >= self.m_highest_version, "version falls in a test");
    self.m_highest_version = version;
}

void keeper_world::perform_one(std::size_t at, const config_action& action)
{
    config_actions next;
    const node_id self{std::to_string(at)};
    if (const auto* call = std::get_if<table_read>(&action))
    {
        read(at, *call);
    }
    else if (const auto* transaction = std::get_if<table_transaction>(&action))
    {
        write(at, *transaction);
    }
    else if (const auto* settled = std::get_if<change_settled>(&action))
    {
        m_nodes[at].m_settled[settled->m_report.m_id.m_value] = settled->m_report;
    }
    else if (const auto* pull = std::get_if<send_config_pull>(&action))
    {
        const auto to = static_cast<std::size_t>(std::stoul(pull->m_to.m_value));
        if (connected(at, to))
        {
            on_config_pull(m_nodes[to].m_keeper, self, pull->m_message, m_now, next);
            perform(to, std::move(next));
        }
    }
    else if (const auto* push = std::get_if<send_config_push>(&action))
    {
        const auto to = static_cast<std::size_t>(std::stoul(push->m_to.m_value));
        if (connected(at, to))
        {
            on_config_push(m_nodes[to].m_keeper, self, push->m_message, m_now, next);
            perform(to, std::move(next));
        }
    }
}

void keeper_world::read(std::size_t at, const table_read& call)
{
    table_read_end end{call.m_id, std::nullopt};
    if (m_nodes[at].m_reaches_store)
    {
        end.m_row = m_row;
    }
    config_actions next;
    on_table_read_end(m_nodes[at].m_keeper, end, m_now, next);
    perform(at, std::move(next));
}

void keeper_world::commit(const table_transaction& call)
{
    if (call.m_checks.at(0).m_version == m_row.m_version)
    {
        ++m_row.m_version;
        m_row.m_value = *call.m_writes.at(0).m_value;
    }
}

void keeper_world::write(std::size_t at, const table_transaction& call)
{
    table_transaction_end end{call.m_id, table_outcome::unknown, {}};
    const bool holds = call.m_checks.at(0).m_version == m_row.m_version;
    if (m_refuses_writes)
    {
        end.m_outcome = table_outcome::not_written;
    }
    else if (m_nodes[at].m_reaches_store && m_held_answers > 0)
    {
        --m_held_answers;
        m_held.push_back(call);
    }
    else if (m_nodes[at].m_reaches_store)
    {
        commit(call);
        end.m_outcome = holds ? table_outcome::committed : table_outcome::conflict;
        end.m_rows = {m_row};
        if (m_lost_answers > 0)
        {
            --m_lost_answers;
            end = {call.m_id, table_outcome::unknown, {}};
        }
    }
    config_actions next;
    on_table_transaction_end(m_nodes[at].m_keeper, end, m_now, next);
    perform(at, std::move(next));
}

void keeper_world::release_held_writes()
{
    for (const auto& call : m_held)
    {
        commit(call);
    }
    m_held.clear();
}

void keeper_world::start_with_sample()
{
    m_row.m_version = 1;
    m_row.m_value = encode_configuration(sample_configuration());
    run_for(1s);
}

change_outcome keeper_world::outcome(std::size_t at, const std::string& id) const
{
    const auto report = find_change(m_nodes[at].m_keeper, {id});
    return report ? report->m_outcome : change_outcome::unknown;
}

data_centre_state keeper_world::state(std::size_t at, const std::string& id) const
{
    return find_data_centre(*m_nodes[at].m_keeper.m_in_force, {id})->m_state;
}

std::uint32_t keeper_world::weight(std::size_t at, const std::string& id) const
{
    return find_workspace(*m_nodes[at].m_keeper.m_in_force, {id})->m_weight;
}

config_change weight_change(const std::string& id, const std::string& by,
                            const std::string& workspace, std::uint32_t weight)
{
    return {{id}, by, std::nullopt, set_workspace{{workspace}, std::nullopt, weight}, {}};
}

config_change state_change(const std::string& id, const std::string& by,
                           const std::string& data_centre, data_centre_state state)
{
    return {{id}, by, std::nullopt, set_data_centre_state{{data_centre}, state}, {}};
}
