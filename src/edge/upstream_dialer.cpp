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

bool upstream_dialer::is_cut_off(const pool_id& pool) const
{
    const auto reach = m_state.m_reach.find(pool);
    return reach != m_state.m_reach.end() && reach->second.m_is_cut_off;
}

tcp::endpoint upstream_dialer::address_of(const ip_endpoint& registered) const
{
    return to_tcp(m_translate ? m_translate(registered) : registered);
}

tcp::endpoint upstream_dialer::target_of(const tcp::endpoint& registered) const
{
    const ip_endpoint asked{registered.address(), registered.port()};
    bool is_known = false;
    for (const auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        is_known = is_known || row.m_entry.m_address == asked;
    }
    return is_known ? address_of(asked) : tcp::endpoint{};
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

asio::awaitable<result<node_id, http_error>>
upstream_dialer::connect(http_call& call, const upstream_entry& entry, milliseconds limit)
{
    const pool_id pool = entry.m_pool;
    std::optional<http_error> failure;
    if (!is_cut_off(pool))
    {
        const auto connected = co_await connect_directly(call, entry, limit);
        if (is_ok(connected))
        {
            co_return node_id{};
        }
        failure = error_of(connected);
        if (!is_unreached(*failure))
        {
            co_return *failure;
        }
    }
    for (int asked = 0; asked < max_tunnel_hosts && is_cut_off(pool); ++asked)
    {
        const auto host = next_tunnel_host(pool);
        if (!host)
        {
            break;
        }
        const auto connected = co_await call.connect_through(
            tunnel_server_of(*host), to_tcp(entry.m_address), limit);
        const bool is_open = is_ok(connected);
        if (is_open || is_unreached(error_of(connected)))
        {
            record_tunnel(pool, *host, is_open);
        }
        if (is_open)
        {
            co_return *host;
        }
        failure = error_of(connected);
        if (!is_unreached(*failure))
        {
            co_return *failure;
        }
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

asio::awaitable<result<http_response, http_error>>
upstream_dialer::send(http_client& client, const upstream_entry& entry,
                      http_request request, http_call_options options)
{
    const pool_id pool = entry.m_pool;
    options.m_connect_timeout = connect_timeout;
    const bool was_cut_off = is_cut_off(pool);
    std::optional<result<http_response, http_error>> answer;
    if (!was_cut_off)
    {
        answer = co_await client.send(address_of(entry.m_address), request, options);
        const bool is_reached = is_ok(*answer) || error_of(*answer).m_sent;
        if (is_reached || is_unreached(error_of(*answer)))
        {
            record_connect(entry, is_reached);
        }
        if (is_reached || !is_unreached(error_of(*answer)))
        {
            co_return std::move(*answer);
        }
    }
    for (int asked = 0; asked < max_tunnel_hosts && is_cut_off(pool); ++asked)
    {
        const auto host = next_tunnel_host(pool);
        if (!host)
        {
            break;
        }
        options.m_tunnel_server = tunnel_server_of(*host);
        answer = co_await client.send(to_tcp(entry.m_address), request, options);
        const bool is_open = is_ok(*answer) || error_of(*answer).m_sent;
        if (is_open || is_unreached(error_of(*answer)))
        {
            record_tunnel(pool, *host, is_open);
        }
        if (is_open || !is_unreached(error_of(*answer)))
        {
            co_return std::move(*answer);
        }
    }
    if (!answer)
    {
        options.m_tunnel_server.reset();
        answer = co_await client.send(address_of(entry.m_address), std::move(request),
                                      options);
        record_connect(entry, is_ok(*answer) || error_of(*answer).m_sent);
    }
    co_return std::move(*answer);
}

void upstream_dialer::record_connect(const upstream_entry& entry, bool is_reached)
{
    const auto known = m_state.m_reach.find(entry.m_pool);
    if (is_reached)
    {
        if (known != m_state.m_reach.end() && record_direct_success(known->second))
        {
            log_event{"pool_reached"}.add("pool", entry.m_pool);
            update_report();
        }
        return;
    }
    auto& reach = m_state.m_reach[entry.m_pool];
    const std::size_t usable = count_usable(m_state.m_upstreams, entry.m_pool);
    if (!record_direct_failure(reach, entry.m_id, usable, now()))
    {
        return;
    }
    log_event{"pool_unreached"}
        .add("pool", entry.m_pool)
        .add("failed", reach.m_failed.size())
        .add("upstreams", usable);
    m_state.m_metrics.add("pools_unreached", {{"pool", entry.m_pool.m_value}});
    update_report();
}

void upstream_dialer::update_report()
{
    auto& unreached = m_state.m_own_report.m_unreached;
    unreached.clear();
    for (const auto& [pool, reach] : m_state.m_reach)
    {
        if (reach.m_is_cut_off && unreached.size() < max_reported_unreached)
        {
            unreached.push_back(id_hash(pool.m_value));
        }
    }
    m_on_change();
}

void upstream_dialer::start_probes()
{
    const time_point at = now();
    for (auto& [pool, reach] : m_state.m_reach)
    {
        const upstream* next = next_reach_probe(reach, m_state.m_upstreams, pool, at);
        if (next != nullptr)
        {
            reach.m_last_probe = at;
            asio::co_spawn(m_state.m_executor, probe(next->m_entry), asio::detached);
        }
    }
}

asio::awaitable<void> upstream_dialer::probe(upstream_entry entry)
{
    http_call call{m_state.m_executor, {}};
    co_await connect_directly(call, entry, connect_timeout);
}

std::optional<node_id> upstream_dialer::next_tunnel_host(const pool_id& pool)
{
    pool_reach& reach = m_state.m_reach[pool];
    const peer_host* const host =
        choose_tunnel_host(m_state.m_hosts, m_state.m_own_report, reach, pool, now());
    if (host == nullptr)
    {
        return std::nullopt;
    }
    ++reach.m_asked[host->m_report.m_node];
    return host->m_report.m_node;
}

tcp::endpoint upstream_dialer::tunnel_server_of(const node_id& host) const
{
    const host_report& report = m_state.m_hosts.m_hosts.at(host).m_report;
    boost::system::error_code ignored;
    return {asio::ip::make_address(report.m_peer.m_ip, ignored), report.m_tunnel_port};
}

void upstream_dialer::record_tunnel(const pool_id& pool, const node_id& host,
                                    bool is_open)
{
    m_state.m_metrics.add("tunnels", {{"end", is_open ? "opened" : "failed"}});
    if (!is_open)
    {
        m_state.m_reach[pool].m_failed_hosts[host] = now();
        log_event{"tunnel_failed"}.add("pool", pool).add("host", host);
    }
}

} // namespace geraniumdoor::edge
