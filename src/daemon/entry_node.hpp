#pragma once

#include "caller_request.hpp"
#include "caller_session.hpp"

#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/base/timer_service.hpp>
#include <geraniumdoor/cluster/address_book.hpp>
#include <geraniumdoor/cluster/drain.hpp>
#include <geraniumdoor/cluster/membership.hpp>
#include <geraniumdoor/config/config_keeper.hpp>
#include <geraniumdoor/config/daemon_settings.hpp>
#include <geraniumdoor/dispatch/dispatcher.hpp>
#include <geraniumdoor/dispatch/ownership.hpp>
#include <geraniumdoor/metrics/metric_registry.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>
#include <geraniumdoor/net/node_transport.hpp>
#include <geraniumdoor/platform/host_list_client.hpp>
#include <geraniumdoor/platform/table_client.hpp>
#include <geraniumdoor/platform/upstream_client.hpp>
#include <geraniumdoor/request/coordinator.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace geraniumdoor
{

/// Which module a call to the table service was made for.
enum class table_user : std::uint8_t
{
    coordinator,
    ownership,
    config,
};

/// All parts of one entry daemon. Makes no decisions: it passes events to the modules and
/// carries out their actions. Everything runs on the thread of the executor. Its
/// coroutines keep it alive until they end, which may be after halt.
class entry_node : public std::enable_shared_from_this<entry_node>
{
public:
    entry_node(boost::asio::io_context& io, daemon_settings settings,
               incarnation started);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Binds all addresses. Throws boost::system::system_error if one cannot be bound.
    void start();

    /// Starts the planned stop. The callback runs when everything is closed.
    void begin_stop(std::function<void()> on_stopped);

    /// Closes everything at once, as the end of a process does. Nothing is sent
    /// afterwards.
    void halt();

private:
    // Construction and periodic work.
    node_transport_callbacks make_callbacks();
    void subscribe_timers();
    void schedule_clock();
    /// Runs a coroutine of this object and keeps the object alive until it ends.
    void spawn(boost::asio::awaitable<void> work);
    void tick_all(time_point now);
    void tick_config(time_point now);
    void tick_drain(time_point now);
    std::uint32_t free_capacity() const;
    void set_peer_hints(const std::vector<entry_host_record>& hosts);
    boost::asio::awaitable<void> poll_host_list();
    boost::asio::awaitable<void> poll_load(upstream_id upstream, endpoint address);
    void poll_loads();

    // Events from other nodes.
    template<class Message>
    void receive(const node_id& peer, Message& message);
    void return_unsent(const node_id& peer, const node_message& message);
    void receive_config(const node_id& peer, const config_pull& message);
    void receive_config(const node_id& peer, const config_push& message);
    void learn_peer_version(const node_id& peer, config_version version, time_point now);
    void learn_urgent_state(const urgent_state& state, time_point now);
    void apply_member(const member_update& info, time_point now);
    void publish_members();
    void raise_incarnation(incarnation own);
    void end_unless_starting();

    // Actions of the modules.
    void run(const coordinator_actions& actions);
    void run(const std::vector<dispatcher_action>& actions);
    void run(const std::vector<ownership_action>& actions);
    void run(const membership_actions& actions);
    void run(const config_actions& actions);
    void run(const drain_actions& actions);
    void apply_configuration(const configuration& config);
    void close_all(bool may_announce_left);

    // Calls to the platform and to upstreams.
    /// Gives the end of a table call to the part that made it, and runs what follows.
    template<class Handler>
    void hand_to(table_user user, const Handler& handler);

    boost::asio::awaitable<void> run_transaction(table_transaction transaction,
                                                 table_user user);
    boost::asio::awaitable<void> run_read(table_read read, table_user user);
    boost::asio::awaitable<void> run_scan(table_scan scan);
    boost::asio::awaitable<void> run_upstream_call(start_upstream_call call);

    // Rows of processes that have ended.
    std::vector<live_process> live_processes() const;
    bool is_first_for(const std::string& key) const;
    boost::asio::awaitable<void> sweep_follow_ups();
    boost::asio::awaitable<void> sweep_claims();

    // HTTP.
    bool is_ready() const;
    result<pipeline_request, request_refusal> not_ready_refusal() const;
    request_refusal overloaded_refusal(const char* reason) const;
    boost::asio::awaitable<void> wait_until_ready();
    std::string encode_address_answer();
    http_response hosts_response() const;
    http_response upstreams_response() const;
    boost::asio::awaitable<http_response> in_doubt_response();
    void expose_counters();
    std::string exposition();
    boost::asio::awaitable<http_response> config_response(const http_request& request);
    boost::asio::awaitable<http_response> change_response(const http_request& request);
    http_response change_status_response(std::string_view target) const;
    http_response forget_host_response(const http_request& request);
    const char* readiness() const;
    void note_claims(const std::vector<table_row>& rows);
    void leave_caller(const request_id& id);
    boost::asio::awaitable<void> serve_caller(http_exchange& exchange);
    boost::asio::awaitable<void> serve_pipeline(http_exchange& exchange);
    boost::asio::awaitable<void> send_stream(http_exchange& exchange,
                                             std::shared_ptr<caller_session> session);
    boost::asio::awaitable<void> send_whole(http_exchange& exchange,
                                            std::shared_ptr<caller_session> session);
    boost::asio::awaitable<void> serve_admin(http_exchange& exchange);
    void note_answer(const pipeline_request& request, const pipeline_answer& answer,
                     time_point started);

    boost::asio::io_context& m_io;
    daemon_settings m_settings;
    incarnation m_incarnation;
    time_point m_started;
    random_source m_random;
    timer_service m_timers;
    boost::asio::steady_timer m_tick_timer;
    metric_registry m_metrics;
    /// What connections of callers and their requests take, with answers of upstreams,
    /// and those of operators.
    std::shared_ptr<memory_pool> m_caller_memory;
    std::shared_ptr<memory_pool> m_control_memory;
    http_client m_http;
    http_client m_upstream_http;
    table_client m_table;
    host_list_client m_host_list;
    upstream_client m_upstreams;
    node_transport m_transport;
    http_server m_caller_server;
    http_server m_admin_server;
    membership_state m_membership;
    dispatcher_state m_dispatcher;
    ownership_state m_ownership;
    /// Upstreams as the host list named them last.
    std::vector<upstream_record> m_upstream_records;
    coordinator m_coordinator;
    config_keeper m_config;
    address_settings m_addresses;
    drain_state m_drain;
    std::unordered_map<request_id, std::shared_ptr<caller_session>> m_sessions;
    std::uint64_t m_last_request = 0;
    std::function<void()> m_on_stopped;
    /// Actions are dropped.
    bool m_halted = false;
};

} // namespace geraniumdoor
