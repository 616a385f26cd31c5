#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/config/admin_api.hpp>
#include <geraniumdoor/net/open_files.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

/// Period in which the systems run over their tables.
constexpr milliseconds tick_period = 50ms;
/// Time between two looks at the steady clock.
constexpr milliseconds clock_period = 10ms;
/// Time between two load reports of an owned upstream.
constexpr milliseconds load_period = 500ms;

/// Time between two looks for follow-ups of processes that have ended.
constexpr milliseconds follow_up_period = 5s;
/// Time between two deletions of expired claims.
constexpr milliseconds claim_sweep_period = 60s;

tcp::endpoint to_tcp(const ip_endpoint& address)
{
    return {address.m_address, address.m_port};
}

node_address to_node_address(const ip_endpoint& address)
{
    return {address.m_address.to_string(), address.m_port};
}

/// Parts of the descriptors for the connections of callers, of operators, and of other
/// hosts. The rest is for connections to upstreams, to other hosts and to the platform.
constexpr std::size_t caller_connections_divisor = 3;
constexpr std::size_t admin_connections_divisor = 32;
constexpr std::size_t peer_connections_divisor = 6;

std::shared_ptr<memory_pool> make_memory(const daemon_settings& settings,
                                         memory_purpose purpose)
{
    return std::make_shared<memory_pool>(
        memory_limits_of(settings.m_memory_bytes, purpose));
}

daemon_settings with_allowed_files(daemon_settings settings)
{
    settings.m_max_open_files = allowed_open_files(settings.m_max_open_files);
    return settings;
}

http_limits to_limits(const daemon_settings& daemon, std::size_t connections_divisor)
{
    const http_settings& settings = daemon.m_http;
    http_limits limits;
    limits.m_header_bytes = settings.m_header_bytes;
    limits.m_body_bytes = settings.m_body_bytes;
    limits.m_connections =
        std::min(settings.m_connections, daemon.m_max_open_files / connections_divisor);
    limits.m_receive_timeout = settings.m_receive_timeout;
    limits.m_idle_timeout = settings.m_idle_timeout;
    return limits;
}

member_update make_self(const daemon_settings& settings, incarnation started)
{
    member_update self;
    self.m_node = settings.m_node;
    self.m_incarnation = started;
    self.m_data_centre = settings.m_data_centre;
    self.m_region = settings.m_region;
    self.m_peer = to_node_address(settings.m_peer_address);
    self.m_caller = to_node_address(settings.m_caller_address);
    self.m_admin = to_node_address(settings.m_admin_address);
    return self;
}

membership_settings make_membership_settings(const membership_times& times)
{
    membership_settings settings;
    settings.m_probe_period = times.m_probe_period;
    settings.m_direct_timeout = times.m_indirect_probe_after;
    // The suspicion starts before the next probe, as with the standard times.
    settings.m_probe_timeout = times.m_probe_period * 4 / 5;
    settings.m_suspicion_timeout = times.m_suspicion_timeout;
    settings.m_keep_unreachable =
        std::chrono::ceil<std::chrono::hours>(times.m_unreachable_keep);
    return settings;
}

ownership_settings make_ownership_settings(const daemon_settings& settings,
                                           incarnation started)
{
    ownership_settings ownership;
    ownership.m_node = settings.m_node;
    ownership.m_incarnation = started;
    ownership.m_data_centre = settings.m_data_centre;
    return ownership;
}

config_keeper_settings make_keeper_settings(const daemon_settings& settings)
{
    config_keeper_settings keeper;
    keeper.m_poll_period = settings.m_table_poll;
    return keeper;
}

/// Operators send whole sheets.
http_limits admin_limits(const daemon_settings& settings)
{
    http_limits limits = to_limits(settings, admin_connections_divisor);
    limits.m_body_bytes = std::max(limits.m_body_bytes, max_admin_body_bytes);
    return limits;
}

std::string describe(const std::exception_ptr& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& exception)
    {
        return exception.what();
    }
}

/// Limits on answers of the platform and of upstreams, which send larger bodies than
/// callers do.
http_limits platform_limits()
{
    http_limits limits;
    limits.m_body_bytes = std::size_t{16} * 1024 * 1024;
    return limits;
}

node_transport_limits transport_limits(const daemon_settings& settings)
{
    node_transport_limits limits;
    limits.m_incoming_connections =
        std::min(limits.m_incoming_connections,
                 settings.m_max_open_files / peer_connections_divisor);
    return limits;
}

node_transport_settings make_transport_settings(const daemon_settings& settings,
                                                incarnation started)
{
    return {settings.m_node, started, to_node_address(settings.m_peer_address)};
}

} // namespace

entry_node::entry_node(asio::io_context& io, daemon_settings settings,
                       incarnation started)
    : m_io{io}
    , m_settings{with_allowed_files(std::move(settings))}
    , m_incarnation{started}
    , m_started{std::chrono::steady_clock::now()}
    , m_random{started.m_value}
    , m_timers{std::chrono::steady_clock::now()}
    , m_tick_timer{io}
    , m_caller_memory{make_memory(m_settings, memory_purpose::callers)}
    , m_control_memory{make_memory(m_settings, memory_purpose::control)}
    , m_http{io.get_executor(), platform_limits()}
    , m_upstream_http{io.get_executor(), platform_limits(), m_caller_memory}
    , m_table{m_http, to_tcp(m_settings.m_table_service),
              m_settings.m_requests.m_table_timeout}
    , m_host_list{m_http, to_tcp(m_settings.m_host_list), 1000ms}
    , m_upstreams{m_upstream_http}
    , m_transport{io.get_executor(), make_transport_settings(m_settings, started),
                  transport_limits(m_settings), make_callbacks(),
                  make_memory(m_settings, memory_purpose::peers)}
    , m_caller_server{io.get_executor(), to_tcp(m_settings.m_caller_address),
                      to_limits(m_settings, caller_connections_divisor),
                      [this](http_exchange& exchange)
                      {
                          return serve_caller(exchange);
                      },
                      m_caller_memory}
    , m_admin_server{io.get_executor(), to_tcp(m_settings.m_admin_address),
                     admin_limits(m_settings),
                     [this](http_exchange& exchange)
                     {
                         return serve_admin(exchange);
                     },
                     m_control_memory}
    , m_membership{make_membership(make_membership_settings(m_settings.m_membership),
                                   make_self(m_settings, started), m_timers.now())}
    , m_dispatcher{make_dispatcher(started, started.m_value)}
    , m_ownership{make_ownership(make_ownership_settings(m_settings, started),
                                 m_timers.now())}
    , m_coordinator{make_coordinator(m_settings.m_node, started, started.m_value)}
    , m_config{make_config_keeper(make_keeper_settings(m_settings),
                                  random_source{started.m_value}, m_timers.now())}
{
    m_addresses.m_keep = m_settings.m_address_keep;
}

entry_node::~entry_node() = default;

void entry_node::start()
{
    m_transport.start();
    m_admin_server.start();
    m_caller_server.start();
    set_peer_hints({});
    subscribe_timers();
    schedule_clock();
    publish_members();
    log_event{"started"}
        .add("node", m_settings.m_node)
        .add("incarnation", m_incarnation)
        .add("data_centre", m_settings.m_data_centre)
        .add("caller_address", to_text(m_settings.m_caller_address))
        .add("version", GD_VERSION);
}

void entry_node::subscribe_timers()
{
    m_timers.every(tick_period,
                   [this](time_point now)
                   {
                       tick_all(now);
                   });
    m_timers.every(load_period,
                   [this](time_point)
                   {
                       poll_loads();
                   });
    m_timers.every(m_settings.m_host_list_poll,
                   [this](time_point)
                   {
                       spawn(poll_host_list());
                   });
    m_timers.every(follow_up_period,
                   [this](time_point)
                   {
                       spawn(sweep_follow_ups());
                   });
    m_timers.every(claim_sweep_period,
                   [this](time_point)
                   {
                       spawn(sweep_claims());
                   });
    spawn(poll_host_list());
}

void entry_node::schedule_clock()
{
    m_tick_timer.expires_after(clock_period);
    m_tick_timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error)
        {
            const auto self = weak.lock();
            if (!error && self && !self->m_halted)
            {
                self->m_timers.advance_to(std::chrono::steady_clock::now());
                self->schedule_clock();
            }
        });
}

void entry_node::spawn(asio::awaitable<void> work)
{
    asio::co_spawn(m_io, std::move(work),
                   [self = shared_from_this()](const std::exception_ptr& failure)
                   {
                       if (failure)
                       {
                           log_event{"task_failed"}.add("reason", describe(failure));
                       }
                   });
}

void entry_node::halt()
{
    m_halted = true;
    m_tick_timer.cancel();
    m_transport.close();
    m_caller_server.close();
    m_admin_server.close();
    m_upstreams.abort_all();
    for (const auto& [id, session] : std::exchange(m_sessions, {}))
    {
        session->close();
    }
}

void entry_node::tick_all(time_point now)
{
    membership_actions membership;
    set_free_capacity(m_membership, free_capacity(), now);
    tick_membership(m_membership, now, m_random, membership);
    run(membership);
    std::vector<ownership_action> ownership;
    tick(m_ownership, m_dispatcher, now, ownership);
    run(ownership);
    std::vector<dispatcher_action> dispatcher;
    tick(m_dispatcher, now, dispatcher);
    run(dispatcher);
    coordinator_actions coordinator;
    tick(m_coordinator, now, coordinator);
    run(coordinator);
    tick_config(now);
    tick_drain(now);
}

std::uint32_t entry_node::free_capacity() const
{
    std::uint32_t total = 1;
    for (const auto& pool : m_dispatcher.m_pools)
    {
        total += pool.m_row.m_free_slots;
    }
    return total;
}

asio::awaitable<void> entry_node::poll_host_list()
{
    auto answer = co_await m_host_list.read();
    if (!is_ok(answer))
    {
        m_metrics.add("gd_host_list_failures_total", {});
        co_return;
    }
    const std::optional<host_list>& hosts = value_of(answer);
    if (hosts)
    {
        m_upstream_records = hosts->m_upstreams;
        set_peer_hints(hosts->m_entry_hosts);
    }
    // Repeated for an unchanged list, because the pools may have changed.
    set_upstreams(m_dispatcher, m_upstream_records, std::chrono::steady_clock::now());
}

void entry_node::set_peer_hints(const std::vector<entry_host_record>& hosts)
{
    std::vector<node_hint> hints;
    for (const auto& seed : m_settings.m_seeds)
    {
        hints.push_back(node_hint{{}, to_node_address(seed)});
    }
    for (const auto& host : hosts)
    {
        const node_address peer{host.m_endpoint.m_ip, host.m_peer_port};
        hints.push_back(node_hint{host.m_id, peer});
    }
    set_hints(m_membership, std::move(hints));
}

void entry_node::poll_loads()
{
    for (const auto& entry : m_dispatcher.m_upstreams)
    {
        if (entry.m_row.m_authority_until > m_timers.now())
        {
            spawn(poll_load(entry.m_id, entry.m_row.m_record.m_endpoint));
        }
    }
}

asio::awaitable<void> entry_node::poll_load(upstream_id upstream, endpoint address)
{
    auto report = co_await m_upstreams.read_load(std::move(upstream), std::move(address),
                                                 load_period);
    if (is_ok(report))
    {
        std::vector<dispatcher_action> actions;
        on_load_report(m_dispatcher, value_of(report), std::chrono::steady_clock::now(),
                       actions);
        run(actions);
    }
}

} // namespace geraniumdoor
