#include "upstream_dialer.hpp"

#include "relay_util.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;
using tcp = asio::ip::tcp;

namespace
{

/// Interval at which pools are looked at that this host does not reach.
constexpr milliseconds probe_check_interval{50};

/// Hosts that are asked for one connection.
constexpr int max_tunnel_hosts = 2;

/// Whether a call ended before a connection was there, for which the peer or the path is
/// the reason.
bool is_unreached(const http_error& error)
{
    return !error.m_sent && (error.m_kind == http_error_kind::connect_failed ||
                             error.m_kind == http_error_kind::timeout);
}

} // namespace

upstream_dialer::upstream_dialer(edge_state& state, address_translation translate,
                                 std::function<void()> on_change)
    : m_state{state}, m_translate{std::move(translate)}, m_on_change{std::move(on_change)}
{
}

void upstream_dialer::start()
{
    m_state.m_timers.every(probe_check_interval,
                           [this](time_point)
                           {
                               start_probes();
                           });
}

tcp::endpoint upstream_dialer::address_of(const ip_endpoint& registered) const
{
    return to_tcp(m_translate ? m_translate(registered) : registered);
}

const upstream* upstream_dialer::upstream_at(const tcp::endpoint& registered) const
{
    const ip_endpoint asked{registered.address(), registered.port()};
    for (const auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        if (row.m_entry.m_address == asked)
        {
            return &row;
        }
    }
    return nullptr;
}

tcp::endpoint upstream_dialer::target_of(const tcp::endpoint& registered) const
{
    const upstream* const row = upstream_at(registered);
    return row != nullptr ? address_of(row->m_entry.m_address) : tcp::endpoint{};
}

void upstream_dialer::record_target(const tcp::endpoint& registered, bool is_reached)
{
    if (const upstream* const row = upstream_at(registered))
    {
        record_connect(row->m_entry, is_reached);
    }
}

asio::awaitable<result<done, http_error>>
upstream_dialer::connect_directly(http_call& call, const upstream_entry& entry,
                                  milliseconds limit)
{
    auto connected = co_await call.connect(address_of(entry.m_address), limit);
    if (is_ok(connected) || is_unreached(error_of(connected)))
    {
        record_connect(entry, is_ok(connected));
    }
    co_return connected;
}

asio::awaitable<std::optional<result<node_id, http_error>>>
upstream_dialer::connect_through_host(http_call& call, const upstream_entry& entry,
                                      milliseconds limit)
{
    const auto host = next_tunnel_host(entry);
    if (!host)
    {
        co_return std::nullopt;
    }
    const auto connected = co_await call.connect_through(tunnel_server_of(*host),
                                                         to_tcp(entry.m_address), limit);
    const bool is_open = is_ok(connected);
    if (is_open || is_unreached(error_of(connected)))
    {
        record_tunnel(entry, *host, is_open);
    }
    if (!is_open)
    {
        co_return error_of(connected);
    }
    co_return *host;
}

asio::awaitable<result<node_id, http_error>>
upstream_dialer::connect(http_call& call, const upstream_entry& entry, milliseconds limit)
{
    std::optional<http_error> failure;
    if (!uses_detour(entry))
    {
        const auto connected = co_await connect_directly(call, entry, limit);
        if (is_ok(connected))
        {
            co_return node_id{};
        }
        failure = error_of(connected);
    }
    const bool has_detour = uses_detour(entry);
    for (int asked = 0; asked < max_tunnel_hosts && has_detour; ++asked)
    {
        if (failure && !is_unreached(*failure))
        {
            break;
        }
        auto connected = co_await connect_through_host(call, entry, limit);
        if (!connected)
        {
            break;
        }
        if (is_ok(*connected))
        {
            co_return std::move(*connected);
        }
        failure = error_of(*connected);
    }
    if (failure)
    {
        co_return *failure;
    }
    const auto connected = co_await connect_directly(call, entry, limit);
    if (!is_ok(connected))
    {
        co_return error_of(connected);
    }
    co_return node_id{};
}

asio::awaitable<bool> upstream_dialer::check(upstream_entry entry, milliseconds limit)
{
    const auto reach = m_state.m_reach.find(entry.m_pool);
    const bool has_failed =
        reach != m_state.m_reach.end() && reach->second.m_paths.contains(entry.m_id);
    http_call direct{m_state.m_executor, {}};
    if (!has_failed && is_ok(co_await connect_directly(direct, entry, limit)))
    {
        co_return true;
    }
    http_call through_host{m_state.m_executor, {}};
    const auto connected = co_await connect_through_host(through_host, entry, limit);
    if (connected && is_ok(*connected))
    {
        co_return true;
    }
    if (!has_failed)
    {
        co_return false;
    }
    co_return is_ok(co_await connect_directly(direct, entry, limit));
}

asio::awaitable<result<http_response, http_error>>
upstream_dialer::send(http_client& client, const upstream_entry& entry,
                      http_request request, http_call_options options)
{
    options.m_connect_timeout = connect_timeout;
    std::optional<result<http_response, http_error>> answer;
    const auto may_go_on = [&answer]
    {
        return !answer || (!is_ok(*answer) && is_unreached(error_of(*answer)));
    };
    if (!uses_detour(entry))
    {
        answer = co_await send_directly(client, entry, request, options);
    }
    const bool has_detour = uses_detour(entry);
    if (answer && may_go_on() && !has_detour)
    {
        asio::co_spawn(m_state.m_executor, check(entry, connect_timeout), asio::detached);
    }
    for (int asked = 0; asked < max_tunnel_hosts && has_detour && may_go_on(); ++asked)
    {
        const auto host = next_tunnel_host(entry);
        if (!host)
        {
            break;
        }
        options.m_tunnel_server = tunnel_server_of(*host);
        answer = co_await client.send(to_tcp(entry.m_address), request, options);
        const bool is_open = is_ok(*answer) || error_of(*answer).m_sent;
        if (is_open || is_unreached(error_of(*answer)))
        {
            record_tunnel(entry, *host, is_open);
        }
    }
    if (!answer)
    {
        options.m_tunnel_server.reset();
        answer = co_await send_directly(client, entry, std::move(request), options);
    }
    co_return std::move(*answer);
}

asio::awaitable<result<http_response, http_error>>
upstream_dialer::send_directly(http_client& client, const upstream_entry& entry,
                               http_request request, const http_call_options& options)
{
    auto answer =
        co_await client.send(address_of(entry.m_address), std::move(request), options);
    // A request may be sent on a kept connection whose path has broken.
    const bool is_reached =
        is_ok(answer) || (error_of(answer).m_sent && options.m_fresh_connection);
    if (is_reached || is_unreached(error_of(answer)))
    {
        record_connect(entry, is_reached);
    }
    co_return answer;
}

bool upstream_dialer::uses_detour(const upstream_entry& entry) const
{
    const auto reach = m_state.m_reach.find(entry.m_pool);
    return reach != m_state.m_reach.end() &&
           serving::uses_detour(reach->second, entry.m_id);
}

void upstream_dialer::record_connect(const upstream_entry& entry, bool is_reached)
{
    const auto known = m_state.m_reach.find(entry.m_pool);
    if (is_reached && known == m_state.m_reach.end())
    {
        return;
    }
    const time_point at = now();
    auto& reach = m_state.m_reach[entry.m_pool];
    const bool has_changed =
        is_reached
            ? record_direct_success(reach, entry.m_id, at)
            : record_direct_failure(reach, entry.m_id,
                                    count_usable(m_state.m_upstreams, entry.m_pool), at);
    m_state.m_own_report.m_unreached = unreached_hashes(m_state.m_reach);
    if (!has_changed)
    {
        return;
    }
    log_event{is_reached ? "pool_reached" : "pool_unreached"}
        .add("pool", entry.m_pool)
        .add("failed", reach.m_paths.size())
        .add("upstreams", count_usable(m_state.m_upstreams, entry.m_pool));
    if (!is_reached)
    {
        m_state.m_metrics.add("pools_unreached", {{"pool", entry.m_pool.m_value}});
    }
    m_on_change();
}

void upstream_dialer::start_probes()
{
    const time_point at = now();
    for (auto& [pool, reach] : m_state.m_reach)
    {
        forget_paths(reach, m_state.m_upstreams, at);
        const upstream* next = next_reach_probe(reach, m_state.m_upstreams, pool, at);
        if (next != nullptr)
        {
            reach.m_last_probe = at;
            asio::co_spawn(m_state.m_executor, probe(next->m_entry), asio::detached);
        }
    }
    m_state.m_own_report.m_unreached = unreached_hashes(m_state.m_reach);
}

asio::awaitable<void> upstream_dialer::probe(upstream_entry entry)
{
    http_call call{m_state.m_executor, {}};
    co_await connect_directly(call, entry, connect_timeout);
}

std::optional<node_id> upstream_dialer::next_tunnel_host(const upstream_entry& entry)
{
    pool_reach& reach = m_state.m_reach[entry.m_pool];
    const peer_host* const host =
        choose_tunnel_host(m_state.m_hosts, m_state.m_own_report, reach, entry, now());
    if (host == nullptr)
    {
        return std::nullopt;
    }
    count_tunnel(reach, host->m_report.m_node);
    return host->m_report.m_node;
}

tcp::endpoint upstream_dialer::tunnel_server_of(const node_id& host) const
{
    const host_report& report = m_state.m_hosts.m_hosts.at(host).m_report;
    boost::system::error_code ignored;
    return {asio::ip::make_address(report.m_peer.m_ip, ignored), report.m_tunnel_port};
}

void upstream_dialer::record_tunnel(const upstream_entry& entry, const node_id& host,
                                    bool is_open)
{
    const bool was_detoured = uses_detour(entry);
    serving::record_tunnel(m_state.m_reach[entry.m_pool], entry.m_id, host, is_open,
                           now());
    m_state.m_metrics.add("tunnels", {{"end", is_open ? "opened" : "failed"}});
    if (!is_open)
    {
        log_event{"tunnel_failed"}.add("upstream", entry.m_id).add("host", host);
        return;
    }
    upstream* const row = m_state.m_upstreams.m_rows.find(entry.m_id);
    if (!was_detoured && row != nullptr)
    {
        // The path has failed, and not the upstream.
        clear_ejection(*row);
    }
}

} // namespace geraniumdoor::edge
