#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <type_traits>
#include <utility>
#include <variant>

namespace geraniumdoor
{

namespace asio = boost::asio;

void entry_node::run(const coordinator_actions& actions)
{
    const auto perform = [this](const auto& action)
    {
        using type = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<type, reply_part>)
        {
            const auto session = m_sessions.find(action.m_id);
            if (session != m_sessions.end())
            {
                session->second->add_part(action);
            }
        }
        else if constexpr (std::is_same_v<type, reply_final>)
        {
            const auto session = m_sessions.find(action.m_answer.m_id);
            if (session != m_sessions.end())
            {
                session->second->finish(action.m_answer);
                m_sessions.erase(session);
            }
        }
        else if constexpr (std::is_same_v<type, table_transaction>)
        {
            spawn(run_transaction(action, table_user::coordinator));
        }
        else if constexpr (std::is_same_v<type, table_read>)
        {
            spawn(run_read(action, table_user::coordinator));
        }
        else
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

void entry_node::run(const std::vector<dispatcher_action>& actions)
{
    const auto perform = [this](const auto& action)
    {
        using type = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<type, start_upstream_call>)
        {
            spawn(run_upstream_call(action));
        }
        else if constexpr (std::is_same_v<type, abort_upstream_call>)
        {
            m_upstreams.abort(action.m_id);
        }
        else
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

void entry_node::run(const std::vector<ownership_action>& actions)
{
    const auto perform = [this](const auto& action)
    {
        using type = std::decay_t<decltype(action)>;
        const time_point now = m_timers.now();
        if constexpr (std::is_same_v<type, table_transaction>)
        {
            spawn(run_transaction(action, table_user::ownership));
        }
        else if constexpr (std::is_same_v<type, table_read>)
        {
            spawn(run_read(action, table_user::ownership));
        }
        else if constexpr (std::is_same_v<type, table_scan>)
        {
            spawn(run_scan(action));
        }
        else if constexpr (std::is_same_v<type, send_lease_message>)
        {
            std::visit(
                [&](const auto& message)
                {
                    m_transport.send(action.m_to, node_message{message});
                },
                action.m_message);
        }
        else if constexpr (std::is_same_v<type, send_announce>)
        {
            for (const auto& member : live_members(m_membership))
            {
                m_transport.send(member.m_node, node_message{action.m_message});
            }
        }
        else if constexpr (std::is_same_v<type, upstream_gained>)
        {
            take_over(m_dispatcher, action.m_upstream, action.m_handover, now);
        }
        else if constexpr (std::is_same_v<type, authority_change>)
        {
            set_authority(m_dispatcher, action.m_upstream, action.m_until);
        }
        else
        {
            set_inherited_outstanding(m_dispatcher, action.m_upstream,
                                      action.m_outstanding);
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

asio::awaitable<void> entry_node::run_upstream_call(start_upstream_call call)
{
    const upstream_call_id id = call.m_id;
    const auto on_token = [this, id](std::uint32_t index, std::string_view token)
    {
        std::vector<dispatcher_action> actions;
        on_upstream_token(m_dispatcher, id, index, std::string{token},
                          std::chrono::steady_clock::now(), actions);
        run(actions);
    };
    upstream_call_end end = co_await m_upstreams.run(std::move(call), on_token);
    std::vector<dispatcher_action> actions;
    on_upstream_end(m_dispatcher, std::move(end), std::chrono::steady_clock::now(),
                    actions);
    run(actions);
}

template<class Handler>
void entry_node::hand_to(table_user user, const Handler& handler)
{
    if (user == table_user::ownership)
    {
        std::vector<ownership_action> actions;
        handler(m_ownership, actions);
        run(actions);
    }
    else if (user == table_user::coordinator)
    {
        coordinator_actions actions;
        handler(m_coordinator, actions);
        run(actions);
    }
    else
    {
        config_actions actions;
        handler(m_config, actions);
        run(actions);
    }
}

asio::awaitable<void> entry_node::run_transaction(table_transaction transaction,
                                                  table_user user)
{
    const table_call_id id = transaction.m_id;
    auto outcome = co_await m_table.run(std::move(transaction));
    table_transaction_end end;
    end.m_id = id;
    if (is_ok(outcome))
    {
        end = std::move(value_of(outcome));
    }
    else
    {
        const table_error& error = error_of(outcome);
        log_event{"table_write_failed"}.add("reason", error.m_detail);
        const bool open = error.m_kind == table_error_kind::no_answer;
        end.m_outcome = open ? table_outcome::unknown : table_outcome::not_written;
    }
    const time_point now = std::chrono::steady_clock::now();
    hand_to(user,
            [&](auto& part, auto& actions)
            {
                on_table_transaction_end(part, end, now, actions);
            });
}

asio::awaitable<void> entry_node::run_read(table_read read, table_user user)
{
    auto outcome = co_await m_table.read(read.m_key);
    table_read_end end;
    end.m_id = read.m_id;
    if (is_ok(outcome))
    {
        end.m_row = std::move(value_of(outcome));
    }
    const time_point now = std::chrono::steady_clock::now();
    hand_to(user,
            [&](auto& part, auto& actions)
            {
                on_table_read_end(part, end, now, actions);
            });
}

asio::awaitable<void> entry_node::run_scan(table_scan scan)
{
    auto outcome = co_await m_table.scan(scan.m_prefix);
    table_scan_end end;
    end.m_id = scan.m_id;
    if (is_ok(outcome))
    {
        end.m_rows = std::move(value_of(outcome));
    }
    std::vector<ownership_action> actions;
    on_table_scan_end(m_ownership, end, std::chrono::steady_clock::now(), actions);
    run(actions);
}

} // namespace geraniumdoor
