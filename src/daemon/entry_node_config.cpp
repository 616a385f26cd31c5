#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace geraniumdoor
{

namespace asio = boost::asio;

bool entry_node::is_ready() const
{
    return geraniumdoor::is_ready(m_config);
}

/// "ready", or why this host accepts no work.
const char* entry_node::readiness() const
{
    if (m_config.m_in_force == nullptr)
    {
        return "no configuration from a peer or the table service yet";
    }
    if (!is_ready())
    {
        return "the configuration was not checked since this process was paused";
    }
    return "ready";
}

void entry_node::run(const config_actions& actions)
{
    const auto perform = [this](const auto& action)
    {
        using type = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<type, table_transaction>)
        {
            spawn(run_transaction(action, table_user::config));
        }
        else if constexpr (std::is_same_v<type, table_read>)
        {
            spawn(run_read(action, table_user::config));
        }
        else if constexpr (std::is_same_v<type, configuration_in_force>)
        {
            apply_configuration(*action.m_config);
        }
        else if constexpr (std::is_same_v<type, spread_urgent_state>)
        {
            announce_urgent_state(m_membership, action.m_state);
        }
        else if constexpr (!std::is_same_v<type, change_settled>)
        {
            m_transport.send(action.m_to, node_message{action.m_message});
        }
    };
    if (m_halted)
    {
        return;
    }
    for (const auto& action : actions)
    {
        std::visit(perform, action);
    }
}

/// Gives the configuration in force to the modules that work by it.
void entry_node::apply_configuration(const configuration& config)
{
    const time_point now = std::chrono::steady_clock::now();
    set_configuration(m_coordinator, config, now);
    std::vector<dispatcher_action> actions;
    set_pools(m_dispatcher, config.m_pools, now, actions);
    for (const auto& row : config.m_data_centres)
    {
        set_data_centre_out(m_dispatcher, row.m_id, row.m_state == data_centre_state::out,
                            now);
    }
    run(actions);
    milliseconds longest_call{0};
    for (const auto& pool : config.m_pools)
    {
        longest_call = std::max(longest_call, pool.m_timeout);
    }
    m_ownership.m_settings.m_longest_call = longest_call;
    set_config_version(m_membership, config.m_version);
    spawn(poll_host_list());
}

void entry_node::tick_config(time_point now)
{
    config_peers peers;
    std::vector<node_id> others;
    for (const auto& member : live_members(m_membership))
    {
        if (member.m_node != m_settings.m_node)
        {
            others.push_back(member.m_node);
        }
    }
    peers.m_live_nodes = static_cast<std::uint32_t>(others.size() + 1);
    if (!others.empty())
    {
        const auto count = static_cast<std::uint32_t>(others.size());
        peers.m_any = others[uniform_below(m_random, count)];
    }
    config_actions actions;
    on_tick(m_config, peers, now, actions);
    run(actions);
}

void entry_node::receive_config(const node_id& peer, const config_pull& message)
{
    config_actions actions;
    on_config_pull(m_config, peer, message, m_timers.now(), actions);
    run(actions);
}

void entry_node::receive_config(const node_id& peer, const config_push& message)
{
    config_actions actions;
    on_config_push(m_config, peer, message, m_timers.now(), actions);
    run(actions);
}

void entry_node::learn_peer_version(const node_id& peer, config_version version,
                                    time_point now)
{
    config_actions actions;
    on_peer_version(m_config, peer, version, now, actions);
    run(actions);
}

void entry_node::learn_urgent_state(const urgent_state& state, time_point now)
{
    config_actions actions;
    on_urgent_state(m_config, state, now, actions);
    run(actions);
}

} // namespace geraniumdoor
