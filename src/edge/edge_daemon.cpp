#include "edge_state.hpp"
#include "host_status.hpp"
#include "origin_exchange.hpp"
#include "origin_store.hpp"
#include "request_relay.hpp"
#include "result_delivery.hpp"
#include "rollout_store.hpp"
#include "send_permits.hpp"
#include "stage_client.hpp"
#include "stage_scheduler.hpp"
#include "store_watch.hpp"
#include "upstream_dialer.hpp"
#include "upstream_notices.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/edge/edge_daemon.hpp>
#include <geraniumdoor/net/http_server.hpp>
#include <geraniumdoor/net/node_transport.hpp>
#include <geraniumdoor/net/tunnel.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;

namespace
{

/// Maximum sleep of the timer driver, so that timers added in the meantime are noticed.
constexpr milliseconds max_timer_sleep{20};

/// TTL of an address answer. Some callers cache it for three times as long, which must
/// fit between SIGTERM and the end of the process.
constexpr seconds address_ttl{1};

/// Minimum number of addresses in an answer, if there are that many.
constexpr std::size_t min_addresses = 3;

constexpr milliseconds shutdown_check_interval{100};

/// Interval at which a host checks whether it should run a queue.
constexpr milliseconds queue_check_interval{100};

/// Interval at which a host records the versions of upstreams whose entries do not
/// change.
constexpr milliseconds version_check_interval{1000};

/// Time that reports spend on their way between two hosts, and in their queues.
constexpr milliseconds exchange_margin{200};

/// Share of the rate limit for cold upstreams that is used.
constexpr double cold_rate_safety = 0.8;

/// Minimum interval between two requests for the list of hosts.
constexpr milliseconds min_host_list_interval{1500};

/// Minimum interval between two reports of what upstreams have said anew. An upstream may
/// name another limit in each response.
constexpr milliseconds min_notice_report_interval{100};

/// A connection to another host is closed when sent bytes remain unacknowledged for this
/// time; the work is then sent to another host.
constexpr milliseconds peer_ack_timeout{1000};

/// Time in which a silent connection to another host is closed, with a margin.
constexpr milliseconds result_retention = 2 * peer_ack_timeout;

node_address to_node_address(const ip_endpoint& endpoint)
{
    return {endpoint.m_address.to_string(), endpoint.m_port};
}

host_report initial_report(const edge_settings& settings, incarnation started)
{
    constexpr double millicores_per_core = 1000;
    host_report report;
    report.m_node = settings.m_node;
    report.m_incarnation = started;
    report.m_data_centre = settings.m_data_centre;
    report.m_peer = to_node_address(settings.m_peer_endpoint);
    report.m_caller = to_node_address(settings.m_caller_endpoint);
    report.m_region = settings.m_region;
    report.m_tunnel_port = settings.m_tunnel_endpoint.m_port;
    report.m_processor =
        static_cast<std::uint32_t>(settings.m_cpu_cores * millicores_per_core);
    return report;
}

/// Part of the descriptors for the connections that other hosts have opened.
constexpr std::uint32_t peer_connections_divisor = 3;

node_transport_limits transport_limits(std::uint32_t max_open_files)
{
    node_transport_limits limits;
    limits.m_incoming_connections = max_open_files / peer_connections_divisor;
    limits.m_queue_bytes = std::size_t{4} * 1024 * 1024;
    limits.m_connect_timeout = milliseconds{700};
    limits.m_unacknowledged_timeout = peer_ack_timeout;
    return limits;
}

/// Part of the descriptors that a listener for small requests may use: checks and
/// operators are few, address queries come from all callers.
constexpr std::uint32_t service_connections_divisor = 32;

/// Part of the descriptors for tunnels of other hosts, which take two each.
constexpr std::uint32_t tunnels_divisor = 12;

constexpr std::uint32_t directory_connections_divisor = 6;

tunnel_limits tunnel_limits_for(std::uint32_t max_open_files)
{
    tunnel_limits limits;
    limits.m_tunnels = max_open_files / tunnels_divisor;
    return limits;
}

http_limits small_request_limits(std::uint32_t connections)
{
    http_limits limits;
    limits.m_body_bytes = 1024;
    limits.m_connections = connections;
    return limits;
}

http_limits caller_http_limits(const serving::caller_limits& caller_limits,
                               std::uint32_t max_open_files)
{
    http_limits limits;
    limits.m_header_bytes = caller_limits.m_header_bytes;
    limits.m_body_bytes = caller_limits.m_body_bytes;
    limits.m_receive_timeout = caller_limits.m_header_timeout;
    limits.m_idle_timeout = caller_limits.m_idle_timeout;
    // Besides the caller's connection, each request needs one to an upstream.
    limits.m_connections = max_open_files / 3;
    return limits;
}

} // namespace

struct edge_daemon::parts
{
    parts(asio::io_context& io, edge_settings settings, incarnation started,
          address_translation translate);

    void start();
    void start_metrics();
    void run_timers();
    void update_quarantines();
    void on_crash_report(const crash_report& report);
    void on_upstream_report(const upstream_report& report);
    /// Tells all hosts at once what an upstream has said anew.
    void send_changed_notices();
    /// Tells all hosts at once of upstreams whose process may have ended.
    void send_doubts();
    /// Updates the list of queues that this host runs. Returns whether it has changed.
    bool update_queues();
    void send_reports();
    void on_report(const host_report& report);
    void on_message(const node_id& peer, incarnation peer_incarnation,
                    node_message message);
    void on_state_change();
    void update_remote_loads();
    std::uint32_t cold_quota_for(const serving::upstream& row) const;
    void begin_stop(std::function<void()> on_stopped);
    void check_shutdown();
    /// What this host still owes to callers and other hosts.
    serving::owed_work owed_work() const;
    void close_listeners(serving::stop_phase phase);
    void log_owed(const char* event, const serving::owed_work& owed) const;
    asio::awaitable<void> serve_admin(http_exchange& exchange);
    http_response admin_response(const std::string& target) const;
    asio::awaitable<void> serve_directory(http_exchange& exchange);

    node_transport_callbacks transport_callbacks();

    asio::io_context& m_io;
    timer_service m_timers;
    edge_state m_state;
    node_transport m_transport;
    upstream_dialer m_dialer;
    send_permits m_permits;
    origin_exchange m_origins;
    origin_store m_origin_store;
    rollout_exchange m_rollouts;
    rollout_store m_rollout_store;
    result_delivery m_results;
    stage_scheduler m_scheduler;
    stage_client m_stages;
    store_watch m_store;
    request_relay m_relay;
    std::shared_ptr<memory_pool> m_control_memory;
    http_server m_callers;
    http_server m_admin;
    http_server m_metrics;
    http_server m_directory;
    tunnel_server m_tunnels;
    asio::steady_timer m_timer_driver;
    time_point m_last_report{};
    time_point m_last_notice_report{};
    time_point m_last_host_list_request{};
    serving::stop_phase m_stop_phase = serving::stop_phase::serving;
    std::function<void()> m_on_stopped;
};

edge_daemon::parts::parts(asio::io_context& io, edge_settings settings,
                          incarnation started, address_translation translate)
    : m_io{io}
    , m_timers{now()}
    , m_state{io.get_executor(), std::move(settings), m_timers}
    , m_transport{io.get_executor(),
                  {m_state.m_settings.m_node, started,
                   to_node_address(m_state.m_settings.m_peer_endpoint)},
                  transport_limits(m_state.m_settings.m_max_open_files),
                  transport_callbacks(),
                  std::make_shared<memory_pool>(memory_limits_of(
                      m_state.m_settings.m_memory_bytes, memory_purpose::peers))}
    , m_dialer{m_state, std::move(translate),
               [this]
               {
                   send_reports();
               }}
    , m_permits{m_state,
                [this](const node_address& host, const datagram& message)
                {
                    m_transport.send_datagram(host, message);
                }}
    , m_origins{m_state,
                [this](const node_address& host, const datagram& message)
                {
                    m_transport.send_datagram(host, message);
                }}
    , m_origin_store{m_state, m_origins}
    , m_rollouts{m_state,
                 [this](const node_address& host, const datagram& message)
                 {
                     m_transport.send_datagram(host, message);
                 },
                 [this](const pool_id& pool)
                 {
                     return m_relay.longest_time(pool);
                 }}
    , m_rollout_store{m_state, m_rollouts}
    , m_results{m_state,
                [this](const node_id& host, node_message message)
                {
                    m_transport.send(host, std::move(message));
                },
                result_retention}
    , m_scheduler{m_state,
                  m_dialer,
                  m_permits,
                  m_rollouts,
                  [this](const node_id& host, pieces_result result)
                  {
                      m_results.send(host, std::move(result));
                  },
                  [this](const node_id& host, pieces_forecast forecast)
                  {
                      m_transport.send(host, forecast);
                  }}
    , m_stages{m_state,
               [this](const node_id& host, node_message message)
               {
                   m_results.send(host, std::move(message));
               }}
    , m_store{m_state,
              [this]
              {
                  on_state_change();
              },
              [this]
              {
                  send_reports();
              }}
    , m_relay{m_state, m_dialer, m_stages, m_scheduler, m_permits, m_origins, m_rollouts}
    , m_control_memory{std::make_shared<memory_pool>(
          memory_limits_of(m_state.m_settings.m_memory_bytes, memory_purpose::control))}
    , m_callers{io.get_executor(), to_tcp(m_state.m_settings.m_caller_endpoint),
                caller_http_limits({}, m_state.m_settings.m_max_open_files),
                [this](http_exchange& exchange)
                {
                    return m_relay.serve(exchange);
                },
                m_state.m_memory}
    , m_admin{io.get_executor(), to_tcp(m_state.m_settings.m_admin_endpoint),
              small_request_limits(m_state.m_settings.m_max_open_files /
                                   service_connections_divisor),
              [this](http_exchange& exchange)
              {
                  return serve_admin(exchange);
              },
              m_control_memory}
    , m_metrics{io.get_executor(), to_tcp(m_state.m_settings.m_metrics_endpoint),
                small_request_limits(m_state.m_settings.m_max_open_files /
                                     service_connections_divisor),
                [this](http_exchange& exchange)
                {
                    return serve_admin(exchange);
                },
                m_control_memory}
    , m_directory{io.get_executor(), to_tcp(m_state.m_settings.m_directory_endpoint),
                  small_request_limits(m_state.m_settings.m_max_open_files /
                                       directory_connections_divisor),
                  [this](http_exchange& exchange)
                  {
                      return serve_directory(exchange);
                  },
                  m_state.m_memory}
    , m_tunnels{io.get_executor(), to_tcp(m_state.m_settings.m_tunnel_endpoint),
                tunnel_limits_for(m_state.m_settings.m_max_open_files),
                tunnel_callbacks{
                    [this](const asio::ip::tcp::endpoint& target)
                    {
                        return m_dialer.target_of(target);
                    },
                    [this](const asio::ip::tcp::endpoint& target, bool is_reached)
                    {
                        m_dialer.record_target(target, is_reached);
                    }},
                m_state.m_memory}
    , m_timer_driver{io}
{
    m_state.m_own_report = initial_report(m_state.m_settings, started);
    m_state.m_numbers = exchange_numbers{started};
    for (const ip_endpoint& seed : m_state.m_settings.m_seeds)
    {
        // All hosts listen for other hosts on the same port.
        m_state.m_hosts.m_known_addresses.push_back(
            {seed.m_address.to_string(), m_state.m_settings.m_peer_endpoint.m_port});
    }
}

node_transport_callbacks edge_daemon::parts::transport_callbacks()
{
    node_transport_callbacks calls;
    calls.m_on_message =
        [this](const node_id& peer, incarnation peer_incarnation, node_message message)
    {
        on_message(peer, peer_incarnation, std::move(message));
    };
    calls.m_on_lost = [this](const node_id& peer, incarnation)
    {
        m_stages.on_connection_lost(peer);
        m_results.on_connection_lost(peer);
        m_store.on_peer_lost(peer);
    };
    calls.m_on_not_sent = [this](const node_id& peer, const node_message& message)
    {
        m_stages.on_not_sent(peer, message);
        m_results.on_not_sent(peer, message);
        m_store.on_peer_lost(peer);
    };
    calls.m_on_datagram = [this](const datagram& message, const node_address& from)
    {
        if (const auto* report = std::get_if<host_report>(&message))
        {
            on_report(*report);
        }
        else if (const auto* crashes = std::get_if<crash_report>(&message))
        {
            on_crash_report(*crashes);
        }
        else if (const auto* upstreams = std::get_if<upstream_report>(&message))
        {
            on_upstream_report(*upstreams);
        }
        else if (const auto* doubted = std::get_if<doubt_report>(&message))
        {
            for (const start_doubt& doubt : doubted->m_doubts)
            {
                apply_start_doubt(m_state, doubt);
            }
        }
        else if (const auto* request = std::get_if<permit_request>(&message))
        {
            m_permits.on_request(*request, from);
        }
        else if (const auto* reply = std::get_if<permit_reply>(&message))
        {
            m_permits.on_reply(*reply);
        }
        else if (const auto* told = std::get_if<origin_report>(&message))
        {
            m_origins.on_report(*told);
        }
        else if (const auto* asked = std::get_if<origin_request>(&message))
        {
            m_origins.on_request(*asked, from);
        }
        else if (const auto* found = std::get_if<origin_reply>(&message))
        {
            m_origins.on_reply(*found);
        }
        else if (const auto* rollout = std::get_if<rollout_report>(&message))
        {
            m_rollouts.on_report(*rollout);
        }
    };
    return calls;
}

void edge_daemon::parts::start()
{
    m_transport.start();
    if (m_state.m_settings.m_tunnel_endpoint.m_port != 0)
    {
        m_tunnels.start();
    }
    m_dialer.start();
    m_callers.start();
    m_admin.start();
    start_metrics();
    m_directory.start();
    m_results.start();
    m_scheduler.start();
    m_stages.start();
    m_store.start();
    m_origin_store.start();
    m_rollouts.start();
    m_rollout_store.start();
    m_timers.every(max_timer_sleep,
                   [this](time_point)
                   {
                       const milliseconds interval{m_state.m_own_report.m_interval_ms};
                       if (now() - m_last_report >= interval)
                       {
                           send_reports();
                       }
                       send_changed_notices();
                       if (m_state.m_doubts_changed)
                       {
                           send_doubts();
                       }
                   });
    m_timers.every(queue_check_interval,
                   [this](time_point)
                   {
                       if (update_queues())
                       {
                           send_reports();
                       }
                       update_quarantines();
                   });
    m_timers.every(version_check_interval,
                   [this](time_point)
                   {
                       m_origins.observe_upstreams();
                   });
    run_timers();
    log_event{"started"}
        .add("host", m_state.m_own_report.m_node)
        .add("incarnation", m_state.m_own_report.m_incarnation)
        .add("callers", to_text(m_state.m_settings.m_caller_endpoint));
}

void edge_daemon::parts::start_metrics()
{
    try
    {
        m_metrics.start();
    }
    catch (const boost::system::system_error& error)
    {
        // Not fatal: callers are still served, and the admin listener has the metrics,
        // too.
        log_event{"metrics_not_served"}
            .add("address", to_text(m_state.m_settings.m_metrics_endpoint))
            .add("reason", error.code().message());
    }
}

void edge_daemon::parts::run_timers()
{
    m_timers.advance_to(now());
    const time_point next = std::min(m_timers.next_due(), now() + max_timer_sleep);
    m_timer_driver.expires_at(next);
    m_timer_driver.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                run_timers();
            }
        });
}

bool edge_daemon::parts::update_queues()
{
    std::vector<std::uint32_t> queues;
    if (m_state.m_routing)
    {
        for (const auto& [pool, config] : m_state.m_routing->m_pools)
        {
            const bool runs_here =
                config.m_pieces && queues.size() < max_reported_queues &&
                queue_host_of(m_state, pool) == m_state.m_own_report.m_node;
            if (runs_here)
            {
                queues.push_back(id_hash(pool.m_value));
            }
        }
    }
    std::sort(queues.begin(), queues.end());
    if (queues == m_state.m_own_report.m_queues)
    {
        return false;
    }
    log_event{"queues_run"}
        .add("before", m_state.m_own_report.m_queues.size())
        .add("queues", queues.size());
    m_state.m_own_report.m_queues = std::move(queues);
    return true;
}

void edge_daemon::parts::send_reports()
{
    m_last_report = now();
    host_report& own = m_state.m_own_report;
    ++own.m_sequence;
    own.m_ready = m_state.m_routing && m_state.m_registry_loaded && !own.m_stopping;
    const bool has_role =
        own.m_store_access == store_access::reading || !own.m_queues.empty();
    own.m_interval_ms = static_cast<std::uint16_t>(
        serving::report_interval(m_state.m_hosts.m_hosts.size() + 1, has_role).count());
    own.m_waits = m_scheduler.wait_times();
    const time_point at = now();
    own.m_sent_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
    own.m_operator_age_ms = serving::age_ms(m_state.m_operator_view, at);
    own.m_registry_age_ms = serving::age_ms(m_state.m_registry_view, at);
    own.m_live_hosts =
        static_cast<std::uint16_t>(serving::count_live_hosts(m_state.m_hosts, now()));
    own.m_loads.clear();
    for (const auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        if (row.m_running > 0 && own.m_loads.size() < max_reported_loads)
        {
            own.m_loads.push_back({id_hash(id.m_value),
                                   static_cast<std::uint16_t>(
                                       std::min<std::uint32_t>(row.m_running, 65535)),
                                   static_cast<std::uint32_t>(row.m_running_tokens)});
        }
    }
    const auto crashes =
        serving::make_crash_report(m_state.m_crash_suspects, false, m_last_report);
    const upstream_report upstreams = make_upstream_report(m_state, false);
    std::vector<node_address> sent;
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        sent.push_back(host.m_report.m_peer);
        m_transport.send_datagram(host.m_report.m_peer, own);
        if (crashes)
        {
            m_transport.send_datagram(host.m_report.m_peer, *crashes);
        }
        if (!is_empty(upstreams))
        {
            m_transport.send_datagram(host.m_report.m_peer, upstreams);
        }
    }
    for (const node_address& seed : m_state.m_hosts.m_known_addresses)
    {
        const bool known =
            seed == own.m_peer || std::find(sent.begin(), sent.end(), seed) != sent.end();
        if (!known)
        {
            m_transport.send_datagram(seed, own);
        }
    }
    update_remote_loads();
}

void edge_daemon::parts::update_quarantines()
{
    auto& suspects = m_state.m_crash_suspects;
    if (suspects.m_known.empty())
    {
        return;
    }
    // A report of a crash goes out, and the reports of sound streams come back.
    const milliseconds exchange_time =
        2 * serving::report_interval(m_state.m_hosts.m_hosts.size() + 1, false) +
        exchange_margin;
    for (const serving::suspect_key key :
         serving::update_quarantines(suspects, exchange_time, now()))
    {
        const serving::suspect& held = suspects.m_known.at(key);
        log_event{"suspect_quarantined"}
            .add("kind", serving::to_text(held.m_kind))
            .add("part", held.m_id)
            .add("key", key)
            .add("crashes", held.m_crashes.size());
        m_state.m_metrics.add("quarantines", {{"kind", serving::to_text(held.m_kind)}});
    }
}

void edge_daemon::parts::on_crash_report(const crash_report& report)
{
    for (const serving::suspect_key key :
         serving::apply_crash_report(m_state.m_crash_suspects, report, now()))
    {
        log_event{"suspect_lifted"}.add("key", key);
    }
}

void edge_daemon::parts::on_upstream_report(const upstream_report& report)
{
    for (const limit_notice& notice : report.m_limits)
    {
        apply_limit_notice(m_state, notice);
    }
    for (const std::uint64_t run : report.m_leaving)
    {
        apply_leaving_notice(m_state, upstream_run{run});
    }
}

void edge_daemon::parts::send_changed_notices()
{
    const time_point at = now();
    if (!m_state.m_notices_changed ||
        at - m_last_notice_report < min_notice_report_interval)
    {
        return;
    }
    m_state.m_notices_changed = false;
    m_last_notice_report = at;
    const upstream_report report = make_upstream_report(m_state, false);
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        m_transport.send_datagram(host.m_report.m_peer, report);
    }
}

void edge_daemon::parts::send_doubts()
{
    const doubt_report doubts = make_doubt_report(m_state);
    m_state.m_doubts_changed = false;
    if (doubts.m_doubts.empty())
    {
        return;
    }
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        m_transport.send_datagram(host.m_report.m_peer, doubts);
    }
}

void edge_daemon::parts::update_remote_loads()
{
    struct remote_load
    {
        std::uint32_t m_requests = 0;
        std::uint64_t m_tokens = 0;
    };
    std::unordered_map<std::uint32_t, remote_load> loads;
    const time_point at = now();
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        if (!serving::is_live(host, at))
        {
            continue;
        }
        for (const upstream_load& load : host.m_report.m_loads)
        {
            loads[load.m_upstream].m_requests += load.m_requests;
            loads[load.m_upstream].m_tokens += load.m_tokens;
        }
    }
    for (auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        if (row.m_cold_until > at)
        {
            row.m_sends.m_cold_quota = cold_quota_for(row);
        }
        const auto load = loads.find(id_hash(id.m_value));
        row.m_running_elsewhere = load == loads.end() ? 0 : load->second.m_requests;
        row.m_tokens_elsewhere = load == loads.end() ? 0 : load->second.m_tokens;
    }
}

std::uint32_t edge_daemon::parts::cold_quota_for(const serving::upstream& row) const
{
    const auto& routing = m_state.m_routing;
    const auto pool = routing ? routing->m_pools.find(row.m_entry.m_pool)
                              : decltype(routing->m_pools.find({})){};
    if (!routing || pool == routing->m_pools.end() || pool->second.m_cold_rate_limit <= 0)
    {
        return UINT32_MAX;
    }
    const edge_settings& settings = m_state.m_settings;
    const double bound =
        cold_rate_safety * (pool->second.m_cold_rate_limit * settings.m_cold_rate_factor +
                            settings.m_cold_burst);
    const std::string& upstream = row.m_entry.m_id.m_value;
    const std::uint64_t own =
        rendezvous_weight(upstream, m_state.m_own_report.m_node.m_value);
    std::size_t rank = 0;
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        rank += rendezvous_weight(upstream, id.m_value) > own ? 1 : 0;
    }
    return serving::cold_quota(
        bound, serving::count_possible_senders(m_state.m_hosts, now()), rank);
}

void edge_daemon::parts::on_report(const host_report& report)
{
    if (report.m_node == m_state.m_own_report.m_node)
    {
        return;
    }
    const time_point at = now();
    const bool is_new = serving::apply_report(m_state.m_hosts, report, at);
    m_transport.set_peer(report.m_node, report.m_peer);
    m_store.confirm_views(m_state.m_hosts.m_hosts.at(report.m_node));
    if (is_new)
    {
        log_event{"host_live"}
            .add("host", report.m_node)
            .add("incarnation", report.m_incarnation)
            .add("ready", report.m_ready);
    }
    if (is_new)
    {
        // A host that has just started learns immediately whom it can query, and what it
        // must not send.
        m_transport.send_datagram(report.m_peer, m_state.m_own_report);
        const auto crashes =
            serving::make_crash_report(m_state.m_crash_suspects, true, at);
        if (crashes)
        {
            m_transport.send_datagram(report.m_peer, *crashes);
        }
        const upstream_report upstreams = make_upstream_report(m_state, true);
        if (!is_empty(upstreams))
        {
            m_transport.send_datagram(report.m_peer, upstreams);
        }
    }
    const bool knows_more_hosts =
        report.m_live_hosts > m_state.m_own_report.m_live_hosts &&
        at - m_last_host_list_request >= min_host_list_interval;
    const auto pull = m_store.next_pull(report, knows_more_hosts);
    if (pull)
    {
        m_last_host_list_request = pull->m_wants_hosts ? at : m_last_host_list_request;
        m_transport.send(report.m_node, *pull);
    }
}

void edge_daemon::parts::on_message(const node_id& peer, incarnation peer_incarnation,
                                    node_message message)
{
    serving::record_message(m_state.m_hosts, peer, peer_incarnation, now());
    if (const auto* probe = std::get_if<host_probe>(&message))
    {
        if (!probe->m_is_answer)
        {
            m_transport.send(peer, host_probe{true});
        }
    }
    else if (const auto* request = std::get_if<pieces_request>(&message))
    {
        if (!m_results.send_result_again(peer, request->m_job))
        {
            m_scheduler.on_request(peer, peer_incarnation, *request);
        }
    }
    else if (const auto* result = std::get_if<pieces_result>(&message))
    {
        m_stages.on_result(peer, *result);
    }
    else if (const auto* announced = std::get_if<pieces_announce>(&message))
    {
        m_scheduler.on_announce(peer, peer_incarnation, *announced);
    }
    else if (const auto* forecast = std::get_if<pieces_forecast>(&message))
    {
        m_stages.on_forecast(*forecast);
    }
    else if (const auto* cancel = std::get_if<pieces_cancel>(&message))
    {
        m_scheduler.on_cancel(peer, peer_incarnation, *cancel);
    }
    else if (const auto* release = std::get_if<results_release>(&message))
    {
        m_scheduler.on_release(*release);
    }
    else if (const auto* pull = std::get_if<state_pull>(&message))
    {
        m_transport.send(peer, m_store.push_for(*pull, m_transport.queued_bytes()));
    }
    else if (const auto* push = std::get_if<state_push>(&message))
    {
        m_store.apply_push(peer, peer_incarnation, *push);
    }
    else
    {
        log_event{"message_not_expected"}.add("host", peer);
    }
}

void edge_daemon::parts::on_state_change()
{
    if (m_state.m_routing)
    {
        m_callers.set_limits(caller_http_limits(m_state.m_routing->m_limits,
                                                m_state.m_settings.m_max_open_files));
        serving::extend_lifetime(m_state.m_stream_origins, *m_state.m_routing);
    }
    const bool was_ready = m_state.m_own_report.m_ready;
    m_state.m_own_report.m_ready = m_state.m_routing && m_state.m_registry_loaded &&
                                   !m_state.m_own_report.m_stopping;
    m_rollouts.apply();
    update_remote_loads();
    m_origins.observe_upstreams();
    m_scheduler.refresh();
    const bool became_ready = m_state.m_own_report.m_ready && !was_ready;
    if (m_store.is_reader() || became_ready)
    {
        // The report tells other hosts that there is a change to pull. After a loss of
        // power, hosts without data pull from any host that is ready.
        send_reports();
    }
}

asio::awaitable<void> edge_daemon::parts::serve_admin(http_exchange& exchange)
{
    http_response response;
    if (exchange.request().m_target == "/metrics")
    {
        response.m_fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
        const memory_pool& memory = *m_state.m_memory;
        m_state.m_metrics.set("body_memory_bytes", {},
                              static_cast<double>(memory.m_account.m_held_bytes));
        m_state.m_metrics.set("body_memory_refusals", {},
                              static_cast<double>(memory.m_refused));
        m_state.m_metrics.set("body_memory_closed", {},
                              static_cast<double>(memory.m_closed));
        m_state.m_metrics.set("requests_active", {},
                              static_cast<double>(m_relay.active()));
        for (const suspect_kind kind :
             {suspect_kind::prompt_part, suspect_kind::whole_request,
              suspect_kind::request_stage})
        {
            m_state.m_metrics.set("suspects_in_quarantine",
                                  {{"kind", serving::to_text(kind)}},
                                  static_cast<double>(serving::count_quarantines(
                                      m_state.m_crash_suspects, kind)));
        }
        response.m_body = m_state.m_metrics.exposition();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (exchange.request().m_target.starts_with("/admin/"))
    {
        response = admin_response(exchange.request().m_target);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const bool ready = m_state.m_routing && m_state.m_registry_loaded &&
                       !m_state.m_own_report.m_stopping;
    response.m_status = ready ? 200 : 503;
    co_await exchange.respond(std::move(response));
}

http_response edge_daemon::parts::admin_response(const std::string& target) const
{
    const host_stats stats{m_relay.active(), m_store.is_reader(),
                           m_scheduler.queue_statuses()};
    const auto status = admin_status(m_state, stats, target, now());
    if (!status)
    {
        return platform::make_error_response(
            404, "unknown path; expected /admin/status, /admin/hosts, "
                 "/admin/upstreams, /admin/queues, /admin/suspects, /admin/limits or "
                 "/admin/rollouts");
    }
    http_response response;
    response.m_fields.emplace_back("Content-Type", "application/json");
    response.m_body = boost::json::serialize(*status);
    return response;
}

asio::awaitable<void> edge_daemon::parts::serve_directory(http_exchange& exchange)
{
    const auto query = platform::parse_address_query(exchange.request());
    if (!query)
    {
        co_await exchange.respond(
            platform::make_error_response(404, "unknown path; expected GET /resolve"));
        co_return;
    }
    m_state.m_own_report.m_ready = m_state.m_routing && m_state.m_registry_loaded &&
                                   !m_state.m_own_report.m_stopping;
    const auto addresses =
        serving::caller_addresses(m_state.m_hosts, m_state.m_own_report,
                                  query->m_data_centre, min_addresses, now());
    if (addresses.empty())
    {
        co_await exchange.respond(
            platform::make_unavailable_response(milliseconds{300}, "no host is ready"));
        co_return;
    }
    const seconds ttl = std::min(address_ttl, m_state.m_settings.m_max_address_ttl);
    co_await exchange.respond(platform::encode_addresses(addresses, ttl));
}

void edge_daemon::parts::begin_stop(std::function<void()> on_stopped)
{
    if (m_on_stopped)
    {
        return;
    }
    m_on_stopped = std::move(on_stopped);
    m_state.m_stop =
        serving::make_stop_schedule(now(), m_state.m_settings.m_shutdown_timeout);
    m_state.m_own_report.m_stopping = true;
    for (http_server* const server : {&m_callers, &m_directory, &m_admin, &m_metrics})
    {
        server->begin_drain();
    }
    m_tunnels.begin_drain();
    send_reports();
    log_owed("stopping", owed_work());
    m_timers.every(shutdown_check_interval,
                   [this](time_point)
                   {
                       check_shutdown();
                   });
}

serving::owed_work edge_daemon::parts::owed_work() const
{
    serving::owed_work owed;
    owed.m_caller_connections = m_callers.owed_count();
    // Requests that other hosts have passed on through this one are as much.
    owed.m_requests = m_relay.active() + m_tunnels.open_count();
    owed.m_jobs = m_scheduler.open_job_count();
    owed.m_unsent_peers = m_transport.unsent_peer_count();
    owed.m_service_connections =
        m_directory.owed_count() + m_admin.owed_count() + m_metrics.owed_count();
    return owed;
}

void edge_daemon::parts::log_owed(const char* event, const serving::owed_work& owed) const
{
    log_event{event}
        .add("host", m_state.m_own_report.m_node)
        .add("phase", serving::to_text(m_stop_phase))
        .add("connections", owed.m_caller_connections)
        .add("requests", owed.m_requests)
        .add("jobs", owed.m_jobs)
        .add("unsent_peers", owed.m_unsent_peers)
        .add("service_connections", owed.m_service_connections);
}

void edge_daemon::parts::close_listeners(serving::stop_phase phase)
{
    if (phase == serving::stop_phase::serving)
    {
        return;
    }
    m_callers.stop_accepting();
    m_callers.close_idle();
    if (phase == serving::stop_phase::closing)
    {
        for (http_server* const server : {&m_directory, &m_admin, &m_metrics})
        {
            server->stop_accepting();
            server->close_idle();
        }
    }
}

void edge_daemon::parts::check_shutdown()
{
    if (m_stop_phase == serving::stop_phase::ended)
    {
        return;
    }
    const serving::owed_work owed = owed_work();
    const auto phase = serving::next_phase(*m_state.m_stop, m_stop_phase, owed, now());
    const bool has_changed = phase != m_stop_phase;
    m_stop_phase = phase;
    if (phase == serving::stop_phase::ended)
    {
        log_owed("stopped", owed);
        m_store.stop();
        m_origin_store.stop();
        m_rollout_store.stop();
        m_on_stopped();
        return;
    }
    if (has_changed)
    {
        log_owed("stopping", owed);
    }
    close_listeners(phase);
    if (now() >= m_state.m_stop->m_answers_due_at)
    {
        m_callers.refuse_incomplete();
        m_relay.end_waits();
    }
}

edge_daemon::edge_daemon(asio::io_context& io, edge_settings settings,
                         incarnation started, address_translation translate)
    : m_parts{
          std::make_unique<parts>(io, std::move(settings), started, std::move(translate))}
{
}

edge_daemon::~edge_daemon() = default;

void edge_daemon::start()
{
    m_parts->start();
}

void edge_daemon::apply(const edge_settings& settings)
{
    auto& state = m_parts->m_state;
    state.m_settings.m_retry_limits = settings.m_retry_limits;
    state.m_retry_budget.m_limits = settings.m_retry_limits;
    state.m_settings.m_cold_rate_factor = settings.m_cold_rate_factor;
    state.m_settings.m_cold_burst = settings.m_cold_burst;
    state.m_settings.m_shutdown_timeout = settings.m_shutdown_timeout;
    state.m_settings.m_max_address_ttl = settings.m_max_address_ttl;
    state.m_settings.m_seeds = settings.m_seeds;
    state.m_rollout_limits = settings.m_rollout_limits;
    log_event{"settings_applied"}.add("host", state.m_own_report.m_node);
}

void edge_daemon::begin_stop(std::function<void()> on_stopped)
{
    m_parts->begin_stop(std::move(on_stopped));
}

} // namespace geraniumdoor::edge
