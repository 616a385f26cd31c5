#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/post.hpp>

#include <stdexcept>
#include <type_traits>
#include <utility>
#include <variant>

namespace geraniumdoor
{

namespace
{

/// Time after the start in which records of an earlier process, or a clock that went
/// back, may raise the incarnation.
constexpr seconds raise_window{10};

} // namespace

node_transport_callbacks entry_node::make_callbacks()
{
    node_transport_callbacks callbacks;
    callbacks.m_on_message =
        [this](const node_id& peer, incarnation, node_message message)
    {
        std::visit(
            [&](auto& body)
            {
                receive(peer, body);
            },
            message);
    };
    callbacks.m_on_lost = [this](const node_id& peer, incarnation)
    {
        coordinator_actions actions;
        on_connection_lost(m_coordinator, peer, std::chrono::steady_clock::now(),
                           actions);
        run(actions);
    };
    callbacks.m_on_not_sent = [this](const node_id& peer, node_message message)
    {
        return_unsent(peer, message);
    };
    callbacks.m_on_datagram = [this](const datagram& message, const node_address& from)
    {
        membership_actions actions;
        receive_datagram(m_membership, message, from, std::chrono::steady_clock::now(),
                         actions);
        run(actions);
    };
    return callbacks;
}

/// A stage call that was not sent is answered as not dispatched: the owner never saw it.
void entry_node::return_unsent(const node_id& peer, const node_message& message)
{
    const time_point now = std::chrono::steady_clock::now();
    coordinator_actions actions;
    if (const auto* call = std::get_if<stage_call>(&message))
    {
        stage_result result;
        result.m_key = call->m_key;
        result.m_outcome = call_outcome::not_dispatched;
        result.m_reason = call_reason::no_authority;
        on_stage_result(m_coordinator, result, now, actions);
    }
    run(actions);
    log_event{"message_not_sent"}.add("node", peer).add("type", message.index());
}

template<class Message>
void entry_node::receive(const node_id& peer, Message& message)
{
    const time_point now = std::chrono::steady_clock::now();
    constexpr bool to_dispatcher = std::is_same_v<Message, stage_call> ||
                                   std::is_same_v<Message, stage_cancel> ||
                                   std::is_same_v<Message, attempt_query>;
    constexpr bool to_coordinator = std::is_same_v<Message, stage_chunk> ||
                                    std::is_same_v<Message, stage_result> ||
                                    std::is_same_v<Message, attempt_status> ||
                                    std::is_same_v<Message, ownership_announce>;
    if constexpr (to_dispatcher)
    {
        std::vector<dispatcher_action> actions;
        if constexpr (std::is_same_v<Message, stage_call>)
        {
            on_stage_call(m_dispatcher, peer, std::move(message), now, actions);
        }
        else if constexpr (std::is_same_v<Message, stage_cancel>)
        {
            on_stage_cancel(m_dispatcher, message, now, actions);
        }
        else
        {
            const auto status = on_attempt_query(m_dispatcher, message, now, actions);
            m_transport.send(peer, node_message{status});
        }
        run(actions);
    }
    else if constexpr (to_coordinator)
    {
        coordinator_actions actions;
        if constexpr (std::is_same_v<Message, stage_chunk>)
        {
            on_stage_chunk(m_coordinator, message, now, actions);
        }
        else if constexpr (std::is_same_v<Message, stage_result>)
        {
            on_stage_result(m_coordinator, message, now, actions);
        }
        else if constexpr (std::is_same_v<Message, attempt_status>)
        {
            on_attempt_status(m_coordinator, message, now, actions);
        }
        else
        {
            on_ownership_announce(m_coordinator, message, now, actions);
            request_scan(m_ownership);
        }
        run(actions);
    }
    else if constexpr (std::is_constructible_v<lease_message, Message>)
    {
        std::vector<ownership_action> actions;
        on_lease_message(m_ownership, peer, lease_message{message}, now, actions);
        run(actions);
    }
    else if constexpr (std::is_same_v<Message, config_pull> ||
                       std::is_same_v<Message, config_push>)
    {
        receive_config(peer, message);
    }
    else if constexpr (!std::is_same_v<Message, hello>)
    {
        // Messages between edge hosts.
        log_event{"message_not_expected"}.add("node", peer);
    }
}

void entry_node::run(const membership_actions& actions)
{
    const auto perform = [this](const auto& action)
    {
        using type = std::decay_t<decltype(action)>;
        const time_point now = m_timers.now();
        if constexpr (std::is_same_v<type, send_datagram>)
        {
            m_transport.send_datagram(action.m_to, action.m_message);
        }
        else if constexpr (std::is_same_v<type, member_changed>)
        {
            apply_member(action.m_member, now);
        }
        else if constexpr (std::is_same_v<type, incarnation_gone>)
        {
            publish_members();
        }
        else if constexpr (std::is_same_v<type, configuration_behind>)
        {
            learn_peer_version(action.m_from, action.m_version, now);
        }
        else if constexpr (std::is_same_v<type, urgent_state_learned>)
        {
            learn_urgent_state(action.m_state, now);
        }
        else if constexpr (std::is_same_v<type, own_incarnation_raised>)
        {
            raise_incarnation(action.m_now);
        }
        else
        {
            m_metrics.add("gd_pauses_total", {});
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

void entry_node::apply_member(const member_update& info, time_point now)
{
    if (info.m_state == member_state::dead || info.m_state == member_state::left)
    {
        coordinator_actions actions;
        on_owner_gone(m_coordinator, info.m_node, now, actions);
        run(actions);
        m_transport.disconnect(info.m_node);
    }
    else
    {
        m_transport.set_peer(info.m_node, info.m_peer);
        on_process_alive(m_coordinator, info.m_node, info.m_incarnation);
        m_transport.send(info.m_node, node_message{m_ownership.m_announced});
    }
    publish_members();
}

/// Ends the process when its node id is in use elsewhere: two live processes with one id
/// would raise their incarnations in turn without end.
void entry_node::end_unless_starting()
{
    if (std::chrono::steady_clock::now() - m_started <= raise_window)
    {
        return;
    }
    log_event{"node_id_in_use"}.add("node", m_settings.m_node);
    // Coroutines swallow what they throw, so it is thrown from a handler of its own.
    boost::asio::post(m_io,
                      [node = m_settings.m_node.m_value]
                      {
                          throw std::runtime_error(
                              "node id \"" + node +
                              "\" is used by another live process, or an operator has "
                              "declared this process gone");
                      });
}

/// Nothing is done any more in the name of the former incarnation: its leases are dropped
/// and expire.
void entry_node::raise_incarnation(incarnation own)
{
    log_event{"incarnation_raised"}.add("from", m_incarnation).add("to", own);
    m_incarnation = own;
    m_transport.set_incarnation(own);
    for (const auto& entry : m_dispatcher.m_upstreams)
    {
        set_authority(m_dispatcher, entry.m_id, time_point{});
    }
    ownership_settings settings = m_ownership.m_settings;
    settings.m_incarnation = own;
    m_ownership = make_ownership(settings, m_timers.now());
    publish_members();
    end_unless_starting();
}

/// Tells the ownership module which processes live and which are proven to have ended.
void entry_node::publish_members()
{
    std::vector<member_view> views;
    for (const auto& info : live_members(m_membership))
    {
        member_view view{info.m_node, info.m_incarnation, info.m_data_centre,
                         member_liveness::live};
        if (info.m_state == member_state::suspect)
        {
            view.m_state = member_liveness::suspected;
        }
        else if (info.m_leaving || info.m_state == member_state::leaving)
        {
            view.m_state = member_liveness::leaving;
        }
        views.push_back(std::move(view));
    }
    for (const auto& [node, proof] : m_membership.m_gone)
    {
        const incarnation first_not_gone = proof.m_first_not_gone;
        const member_update* info = find_member(m_membership, node);
        if (info == nullptr || info->m_incarnation < first_not_gone)
        {
            const incarnation ended{first_not_gone.m_value - 1};
            views.push_back(member_view{node, ended, {}, member_liveness::left});
        }
    }
    set_members(m_ownership, std::move(views), m_timers.now());
}

} // namespace geraniumdoor
