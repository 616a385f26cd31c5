#include "edge_state.hpp"
#include "host_status.hpp"
#include "request_relay.hpp"
#include "stage_client.hpp"
#include "stage_scheduler.hpp"
#include "store_watch.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/edge/edge_daemon.hpp>
#include <geraniumdoor/net/http_server.hpp>
#include <geraniumdoor/net/node_transport.hpp>

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

/// Longest sleep of the timer driver, so that subscriptions made meanwhile are seen.
constexpr milliseconds longest_sleep{20};

/// Time that callers keep an address answer. Some keep it three times as long, which has
/// to fit between SIGTERM and the end of the process.
constexpr seconds address_life{1};

/// Addresses that an answer names at least, if there are so many.
constexpr std::size_t enough_addresses = 3;

/// Time from SIGTERM after which no new connections come and idle ones are closed.
constexpr milliseconds callers_leave{4000};

/// Part of the time to stop that is kept in reserve.
constexpr milliseconds stop_reserve{700};

constexpr milliseconds stop_check_period{100};

/// Part of the bound on cold upstreams that is used.
constexpr double cold_safety = 0.8;

/// A host asks for the list of hosts at most this often.
constexpr milliseconds host_list_pause{1500};

/// Unacknowledged bytes to another host break the connection after this time, and the
/// work is sent to another one.
constexpr milliseconds peer_silence{1000};

node_address to_node_address(const ip_endpoint& endpoint)
{
    return {endpoint.m_address.to_string(), endpoint.m_port};
}

host_report first_report(const edge_settings& settings, incarnation started)
{
    constexpr double thousandths = 1000;
    host_report report;
    report.m_node = settings.m_node;
    report.m_incarnation = started;
    report.m_data_centre = settings.m_data_centre;
    report.m_peer = to_node_address(settings.m_peer_endpoint);
    report.m_caller = to_node_address(settings.m_caller_endpoint);
    report.m_processor = static_cast<std::uint32_t>(settings.m_cpu_cores * thousandths);
    return report;
}

node_transport_limits transport_limits()
{
    node_transport_limits limits;
    limits.m_queue_bytes = std::size_t{4} * 1024 * 1024;
    limits.m_connect_timeout = milliseconds{700};
    limits.m_unacknowledged_timeout = peer_silence;
    return limits;
}

http_limits small_limits()
{
    http_limits limits;
    limits.m_body_bytes = 1024;
    return limits;
}

http_limits caller_http_limits(const serving::caller_limits& given,
                               std::uint32_t open_files)
{
    http_limits limits;
    limits.m_header_bytes = given.m_header_bytes;
    limits.m_body_bytes = given.m_body_bytes;
    limits.m_receive_timeout = given.m_header_timeout;
    limits.m_idle_timeout = given.m_idle_timeout;
    // Each request needs a connection to an upstream besides its own.
    limits.m_connections = open_files / 3;
    return limits;
}

} // namespace

struct edge_daemon::parts
{
    parts(asio::io_context& io, edge_settings settings, incarnation started);

    void start();
    void start_metrics();
    void drive_timers();
    void send_reports();
    void on_report(const host_report& report);
    void on_message(const node_id& peer, incarnation peer_incarnation,
                    node_message message);
    void on_state_change();
    void update_elsewhere();
    std::uint32_t quota_for(const serving::upstream& row) const;
    void begin_stop(std::function<void()> on_stopped);
    void check_stop();
    asio::awaitable<void> serve_readiness(http_exchange& exchange);
    http_response answer_operator(const std::string& target) const;
    asio::awaitable<void> serve_directory(http_exchange& exchange);

    node_transport_callbacks callbacks();

    asio::io_context& m_io;
    timer_service m_timers;
    edge_state m_state;
    node_transport m_transport;
    stage_scheduler m_queues;
    stage_client m_stages;
    store_watch m_store;
    request_relay m_relay;
    http_server m_callers;
    http_server m_readiness;
    http_server m_metrics;
    http_server m_directory;
    asio::steady_timer m_driver;
    time_point m_last_report{};
    time_point m_last_list{};
    time_point m_stop_began{};
    bool m_stop_accepting = false;
    std::function<void()> m_on_stopped;
};

edge_daemon::parts::parts(asio::io_context& io, edge_settings settings,
                          incarnation started)
    : m_io{io}
    , m_timers{now()}
    , m_state{io.get_executor(), std::move(settings), m_timers}
    , m_transport{io.get_executor(),
                  {m_state.m_settings.m_node, started,
                   to_node_address(m_state.m_settings.m_peer_endpoint)},
                  transport_limits(),
                  callbacks()}
    , m_queues{m_state,
               [this](const node_id& host, pieces_result result)
               {
                   m_transport.send(host, std::move(result));
               },
               [this](const node_id& host, pieces_forecast forecast)
               {
                   m_transport.send(host, forecast);
               }}
    , m_stages{m_state,
               [this](const node_id& host, node_message message)
               {
                   m_transport.send(host, std::move(message));
               }}
    , m_store{m_state,
              [this]
              {
                  on_state_change();
              }}
    , m_relay{m_state, m_stages, m_queues}
    , m_callers{io.get_executor(), to_tcp(m_state.m_settings.m_caller_endpoint),
                caller_http_limits({}, m_state.m_settings.m_max_open_files),
                [this](http_exchange& exchange)
                {
                    return m_relay.serve(exchange);
                }}
    , m_readiness{io.get_executor(), to_tcp(m_state.m_settings.m_admin_endpoint),
                  small_limits(),
                  [this](http_exchange& exchange)
                  {
                      return serve_readiness(exchange);
                  }}
    , m_metrics{io.get_executor(), to_tcp(m_state.m_settings.m_metrics_endpoint),
                small_limits(),
                [this](http_exchange& exchange)
                {
                    return serve_readiness(exchange);
                }}
    , m_directory{io.get_executor(), to_tcp(m_state.m_settings.m_directory_endpoint),
                  small_limits(),
                  [this](http_exchange& exchange)
                  {
                      return serve_directory(exchange);
                  }}
    , m_driver{io}
{
    m_state.m_own_report = first_report(m_state.m_settings, started);
    for (const ip_endpoint& seed : m_state.m_settings.m_seeds)
    {
        // Hosts use the same port for each other everywhere.
        m_state.m_hosts.m_seeds.push_back(
            {seed.m_address.to_string(), m_state.m_settings.m_peer_endpoint.m_port});
    }
}

node_transport_callbacks edge_daemon::parts::callbacks()
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
    };
    calls.m_on_not_sent = [this](const node_id& peer, const node_message& message)
    {
        m_stages.on_not_sent(peer, message);
    };
    calls.m_on_datagram = [this](const datagram& message, const node_address&)
    {
        if (const auto* report = std::get_if<host_report>(&message))
        {
            on_report(*report);
        }
    };
    return calls;
}

void edge_daemon::parts::start()
{
    m_transport.start();
    m_callers.start();
    m_readiness.start();
    start_metrics();
    m_directory.start();
    m_queues.start();
    m_stages.start();
    m_store.start();
    m_timers.every(longest_sleep,
                   [this](time_point)
                   {
                       if (now() - m_last_report >= report_interval(m_state))
                       {
                           send_reports();
                       }
                   });
    drive_timers();
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
        // Callers are served all the same; the readiness address has the metrics, too.
        log_event{"metrics_not_served"}
            .add("address", to_text(m_state.m_settings.m_metrics_endpoint))
            .add("reason", error.code().message());
    }
}

void edge_daemon::parts::drive_timers()
{
    m_timers.advance_to(now());
    const time_point next = std::min(m_timers.next_due(), now() + longest_sleep);
    m_driver.expires_at(next);
    m_driver.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                drive_timers();
            }
        });
}

void edge_daemon::parts::send_reports()
{
    m_last_report = now();
    host_report& own = m_state.m_own_report;
    ++own.m_sequence;
    own.m_ready = m_state.m_routing && m_state.m_registry_loaded && !own.m_stopping;
    own.m_waits = m_queues.wait_times();
    own.m_store_age_ms = m_store.store_age_ms();
    own.m_live_hosts = static_cast<std::uint16_t>(
        serving::count_live_hosts(m_state.m_hosts, liveness_timeout(m_state), now()));
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
    std::vector<node_address> sent;
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        sent.push_back(host.m_report.m_peer);
        m_transport.send_datagram(host.m_report.m_peer, own);
    }
    for (const node_address& seed : m_state.m_hosts.m_seeds)
    {
        const bool known =
            seed == own.m_peer || std::find(sent.begin(), sent.end(), seed) != sent.end();
        if (!known)
        {
            m_transport.send_datagram(seed, own);
        }
    }
    update_elsewhere();
}

void edge_daemon::parts::update_elsewhere()
{
    struct sums
    {
        std::uint32_t m_requests = 0;
        std::uint64_t m_tokens = 0;
    };
    std::unordered_map<std::uint32_t, sums> loads;
    const time_point at = now();
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        if (!serving::is_live(host, liveness_timeout(m_state), at))
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
            row.m_cold_quota = quota_for(row);
        }
        const auto load = loads.find(id_hash(id.m_value));
        row.m_running_elsewhere = load == loads.end() ? 0 : load->second.m_requests;
        row.m_tokens_elsewhere = load == loads.end() ? 0 : load->second.m_tokens;
    }
}

std::uint32_t edge_daemon::parts::quota_for(const serving::upstream& row) const
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
        cold_safety * (pool->second.m_cold_rate_limit * settings.m_cold_rate_factor +
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
    const bool is_new =
        serving::apply_report(m_state.m_hosts, report, liveness_timeout(m_state), at);
    m_transport.set_peer(report.m_node, report.m_peer);
    if (is_new)
    {
        log_event{"host_live"}
            .add("host", report.m_node)
            .add("incarnation", report.m_incarnation)
            .add("ready", report.m_ready);
    }
    if (is_new)
    {
        // A host that has just started learns at once whom it may ask.
        m_transport.send_datagram(report.m_peer, m_state.m_own_report);
    }
    const bool knows_more = report.m_live_hosts > m_state.m_own_report.m_live_hosts &&
                            at - m_last_list >= host_list_pause;
    const auto question = m_store.next_pull(report, knows_more);
    if (question)
    {
        m_last_list = question->m_wants_hosts ? at : m_last_list;
        m_transport.send(report.m_node, *question);
    }
}

void edge_daemon::parts::on_message(const node_id& peer, incarnation peer_incarnation,
                                    node_message message)
{
    if (const auto* request = std::get_if<pieces_request>(&message))
    {
        m_queues.on_request(peer, peer_incarnation, *request);
    }
    else if (const auto* result = std::get_if<pieces_result>(&message))
    {
        m_stages.on_result(peer, *result);
    }
    else if (const auto* announced = std::get_if<pieces_announce>(&message))
    {
        m_queues.on_announce(peer, peer_incarnation, *announced);
    }
    else if (const auto* forecast = std::get_if<pieces_forecast>(&message))
    {
        m_stages.on_forecast(*forecast);
    }
    else if (const auto* cancel = std::get_if<pieces_cancel>(&message))
    {
        m_queues.on_cancel(peer, peer_incarnation, *cancel);
    }
    else if (const auto* release = std::get_if<results_release>(&message))
    {
        m_queues.on_release(*release);
    }
    else if (const auto* pull = std::get_if<state_pull>(&message))
    {
        m_transport.send(peer, m_store.push_for(*pull));
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
    }
    m_state.m_own_report.m_ready = m_state.m_routing && m_state.m_registry_loaded &&
                                   !m_state.m_own_report.m_stopping;
    update_elsewhere();
    m_queues.refresh();
    if (m_store.is_reader())
    {
        // Other hosts ask for the change when they see that there is one.
        send_reports();
    }
}

asio::awaitable<void> edge_daemon::parts::serve_readiness(http_exchange& exchange)
{
    http_response response;
    if (exchange.request().m_target == "/metrics")
    {
        response.m_fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
        m_state.m_metrics.set("requests_active", {},
                              static_cast<double>(m_relay.active()));
        response.m_body = m_state.m_metrics.exposition();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (exchange.request().m_target.starts_with("/admin/"))
    {
        response = answer_operator(exchange.request().m_target);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const bool ready = m_state.m_routing && m_state.m_registry_loaded &&
                       !m_state.m_own_report.m_stopping;
    response.m_status = ready ? 200 : 503;
    co_await exchange.respond(std::move(response));
}

http_response edge_daemon::parts::answer_operator(const std::string& target) const
{
    const host_stats facts{m_relay.active(), m_store.is_reader(), m_store.store_age_ms(),
                           m_queues.queue_statuses()};
    const auto status = describe(m_state, facts, target, now());
    if (!status)
    {
        return platform::make_error_response(
            404, "ask for status, hosts, upstreams, queues or limits");
    }
    http_response response;
    response.m_fields.emplace_back("Content-Type", "application/json");
    response.m_body = boost::json::serialize(*status);
    return response;
}

asio::awaitable<void> edge_daemon::parts::serve_directory(http_exchange& exchange)
{
    const auto question = platform::parse_address_query(exchange.request());
    if (!question)
    {
        co_await exchange.respond(platform::make_error_response(404, "ask GET /resolve"));
        co_return;
    }
    m_state.m_own_report.m_ready = m_state.m_routing && m_state.m_registry_loaded &&
                                   !m_state.m_own_report.m_stopping;
    const auto addresses = serving::caller_addresses(
        m_state.m_hosts, m_state.m_own_report, question->m_data_centre, enough_addresses,
        liveness_timeout(m_state), now());
    if (addresses.empty())
    {
        co_await exchange.respond(
            platform::make_unavailable_response(milliseconds{300}, "no host is ready"));
        co_return;
    }
    const seconds keep = std::min(address_life, m_state.m_settings.m_max_address_ttl);
    co_await exchange.respond(platform::encode_addresses(addresses, keep));
}

void edge_daemon::parts::begin_stop(std::function<void()> on_stopped)
{
    if (m_on_stopped)
    {
        return;
    }
    m_on_stopped = std::move(on_stopped);
    m_stop_began = now();
    m_state.m_own_report.m_stopping = true;
    m_callers.begin_drain();
    send_reports();
    log_event{"stopping"}
        .add("host", m_state.m_own_report.m_node)
        .add("requests", m_relay.active())
        .add("jobs", m_queues.open_job_count());
    m_timers.every(stop_check_period,
                   [this](time_point)
                   {
                       check_stop();
                   });
}

void edge_daemon::parts::check_stop()
{
    const duration since = now() - m_stop_began;
    if (since < callers_leave)
    {
        return;
    }
    if (!m_stop_accepting)
    {
        m_stop_accepting = true;
        m_callers.stop_accepting();
        m_callers.close_idle();
    }
    const bool idle = m_relay.active() == 0 && m_queues.open_job_count() == 0;
    const bool over = since >= m_state.m_settings.m_shutdown_timeout - stop_reserve;
    if (!idle && !over)
    {
        return;
    }
    log_event{"stopped"}
        .add("host", m_state.m_own_report.m_node)
        .add("requests", m_relay.active());
    m_store.stop();
    m_on_stopped();
}

edge_daemon::edge_daemon(asio::io_context& io, edge_settings settings,
                         incarnation started)
    : m_parts{std::make_unique<parts>(io, std::move(settings), started)}
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
    log_event{"settings_applied"}.add("host", state.m_own_report.m_node);
}

void edge_daemon::begin_stop(std::function<void()> on_stopped)
{
    m_parts->begin_stop(std::move(on_stopped));
}

} // namespace geraniumdoor::edge
