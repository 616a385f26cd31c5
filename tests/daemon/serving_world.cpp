#include "serving_world.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/config/configuration_document.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

namespace geraniumdoor::test
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t table_port = 0;
constexpr std::uint16_t host_port = 1;
constexpr std::uint16_t upstream_port = 2;
constexpr std::uint16_t daemon_port = 10;
const asio::ip::address loopback = asio::ip::make_address("127.0.0.1");

time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

configuration make_configuration()
{
    configuration config;
    config.m_version = {1};
    config.m_change = {"first"};
    config.m_operator = "test";
    config.m_data_centres = {{{"dc-1"}, {"region"}}, {{"dc-2"}, {"region"}}};
    for (const char* pool : {"search", "payments", "llm"})
    {
        pool_config row;
        row.m_id = {pool};
        row.m_kind =
            row.m_id.m_value == "llm" ? stage_kind::generate : stage_kind::service;
        config.m_pools.push_back(row);
    }
    const stage_config search{"search", {"search"}, "search"};
    const stage_config generate{"generate", {"llm"}, "generate"};
    const stage_config debit{"debit", {"payments"}, "debit", false};
    const stage_config post{"post", {"search"}, "post", true, stage_index{0}};
    config.m_pipelines = {{{"find"}, 2000ms, {search}},
                          {{"chat"}, 2000ms, {search, generate}},
                          {{"renewal"}, 2000ms, {debit, post}}};
    config.m_workspaces = {{{"riders"}, 0, 1}};
    return config;
}

} // namespace

json::object caller_answer::object() const
{
    boost::system::error_code error;
    const auto value = json::parse(m_body, error);
    return error || not value.is_object() ? json::object{} : value.as_object();
}

std::string caller_answer::ran() const
{
    const auto body = object();
    const auto* error = body.if_contains("error");
    return error == nullptr ? "" : json::value_to<std::string>(error->at("ran"));
}

serving_world::serving_world(std::uint16_t first_port, std::size_t memory_bytes)
    : m_port{first_port}, m_memory_bytes{memory_bytes}, m_client{m_io.get_executor(), {}}
{
    set_log_sink([](std::string_view) {});
    m_rows.m_rows["config/current"] = {++m_rows.m_last_version,
                                       encode_configuration(make_configuration())};
    open_table(true);
    m_host_server = make_server(m_port + host_port,
                                [this](http_exchange& exchange)
                                {
                                    return serve_hosts(exchange);
                                });
    add_upstreams();
    for (std::size_t number = 0; number < 3; ++number)
    {
        add_daemon(number);
    }
}

serving_world::~serving_world() = default;

std::unique_ptr<http_server> serving_world::make_server(std::uint16_t port,
                                                        http_handler handler)
{
    auto server = std::make_unique<http_server>(m_io.get_executor(),
                                                asio::ip::tcp::endpoint{loopback, port},
                                                http_limits{}, std::move(handler));
    server->start();
    return server;
}

void serving_world::add_upstreams()
{
    std::uint16_t port = m_port + upstream_port;
    for (const char* data_centre : {"dc-1", "dc-2"})
    {
        for (const char* pool : {"search", "payments", "llm"})
        {
            auto added = std::make_unique<http_upstream>();
            added->m_id = std::string{pool} + "-" + data_centre;
            added->m_pool = pool;
            added->m_data_centre = data_centre;
            added->m_port = port++;
            added->m_server = make_server(added->m_port,
                                          [&upstream = *added](http_exchange& call)
                                          {
                                              return upstream.serve(call);
                                          });
            m_upstreams.push_back(std::move(added));
        }
    }
}

void serving_world::add_daemon(std::size_t number)
{
    const auto port = static_cast<std::uint16_t>(m_port + daemon_port + 3 * number);
    const auto at = [](std::uint16_t value)
    {
        return ip_endpoint{loopback, value};
    };
    daemon_settings settings;
    settings.m_node = {std::string(1, static_cast<char>('a' + number))};
    settings.m_data_centre = {number < 2 ? "dc-1" : "dc-2"};
    settings.m_region = {"region"};
    settings.m_caller_address = at(port);
    settings.m_admin_address = at(port + 1);
    settings.m_peer_address = at(port + 2);
    settings.m_table_service = at(m_port + table_port);
    settings.m_host_list = at(m_port + host_port);
    settings.m_seeds = {at(m_port + daemon_port + 2)};
    settings.m_address_keep = 1s;
    settings.m_host_list_poll = 200ms;
    settings.m_requests.m_table_timeout = 300ms;
    settings.m_memory_bytes = m_memory_bytes;
    m_daemons.push_back(std::make_unique<entry_daemon>(m_io, settings, incarnation{1}));
}

asio::awaitable<void> serving_world::serve_hosts(http_exchange& exchange)
{
    json::array hosts;
    for (const auto& upstream : m_upstreams)
    {
        hosts.push_back({{"id", upstream->m_id},
                         {"kind", "upstream"},
                         {"pool", upstream->m_pool},
                         {"ip", "127.0.0.1"},
                         {"port", upstream->m_port},
                         {"data_centre", upstream->m_data_centre},
                         {"region", "region"},
                         {"state", "live"}});
    }
    auto response = json_answer(json::object{{"hosts", std::move(hosts)}});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> serving_world::fetch(std::uint16_t port, http_request request,
                                           pending_answer answer)
{
    http_call_options options;
    options.m_timeout = 6000ms;
    auto response =
        co_await m_client.send({loopback, port}, std::move(request), std::move(options));
    if (is_ok(response))
    {
        answer->m_status = value_of(response).m_status;
        answer->m_body = value_of(response).m_body;
    }
    answer->m_ended = true;
}

pending_answer serving_world::send(std::size_t daemon, const std::string& pipeline,
                                   int input, const std::string& key, bool streamed)
{
    http_request request{"POST", "/v1/pipelines/" + pipeline, {}, {}};
    request.m_fields = {{"X-Workspace", "riders"}, {"Content-Type", "application/json"}};
    if (not key.empty())
    {
        request.m_fields.emplace_back("Idempotency-Key", key);
    }
    if (streamed)
    {
        request.m_fields.emplace_back("Accept", "application/x-ndjson");
    }
    request.m_body = "{\"input\":" + std::to_string(input) + "}";
    auto answer = std::make_shared<caller_answer>();
    asio::co_spawn(m_io,
                   fetch(caller_endpoint(daemon).port(), std::move(request), answer),
                   asio::detached);
    return answer;
}

asio::ip::tcp::endpoint serving_world::caller_endpoint(std::size_t daemon) const
{
    return {loopback, static_cast<std::uint16_t>(m_port + daemon_port + 3 * daemon)};
}

caller_answer serving_world::ask(std::size_t daemon, const std::string& pipeline,
                                 int input, const std::string& key, bool streamed)
{
    const auto answer = send(daemon, pipeline, input, key, streamed);
    run_until(
        [&]
        {
            return answer->m_ended;
        },
        8000ms);
    return *answer;
}

caller_answer serving_world::ask_with(std::size_t daemon, const std::string& pipeline,
                                      std::string body)
{
    http_request request{"POST", "/v1/pipelines/" + pipeline, {}, std::move(body)};
    request.m_fields = {{"X-Workspace", "riders"}, {"Content-Type", "application/json"}};
    const auto answer = std::make_shared<caller_answer>();
    asio::co_spawn(m_io,
                   fetch(caller_endpoint(daemon).port(), std::move(request), answer),
                   asio::detached);
    run_until(
        [&]
        {
            return answer->m_ended;
        },
        8000ms);
    return *answer;
}

caller_answer serving_world::operate(std::size_t daemon, const std::string& target,
                                     const std::string& body)
{
    http_request request{body.empty() ? "GET" : "POST", target, {}, body};
    auto answer = std::make_shared<caller_answer>();
    const auto port = static_cast<std::uint16_t>(m_port + daemon_port + 3 * daemon + 1);
    asio::co_spawn(m_io, fetch(port, std::move(request), answer), asio::detached);
    run_until(
        [&]
        {
            return answer->m_ended;
        },
        8000ms);
    return *answer;
}

void serving_world::open_table(bool open)
{
    m_table_server.reset();
    if (open)
    {
        m_table_server = make_server(m_port + table_port,
                                     [this](http_exchange& exchange)
                                     {
                                         return m_rows.serve(exchange);
                                     });
    }
}

int serving_world::executions(const std::string& operation, int input) const
{
    return executions_of(operation + std::to_string(input));
}

int serving_world::executions_of(const std::string& call) const
{
    int sum = 0;
    for (const auto& upstream : m_upstreams)
    {
        const auto at = upstream->m_executions.find(call);
        sum += at == upstream->m_executions.end() ? 0 : at->second;
    }
    return sum;
}

void serving_world::run_for(milliseconds length)
{
    run_until(
        []
        {
            return false;
        },
        length);
}

bool serving_world::run_until(const std::function<bool()>& condition,
                              milliseconds longest)
{
    const auto end = steady_now() + longest;
    while (not condition())
    {
        if (steady_now() >= end)
        {
            return false;
        }
        m_io.restart();
        m_io.run_one_for(5ms);
    }
    return true;
}

bool serving_world::is_placed() const
{
    return std::all_of(m_upstreams.begin(), m_upstreams.end(),
                       [this](const auto& upstream)
                       {
                           const auto row = m_rows.m_rows.find("owner/" + upstream->m_id);
                           const bool second = upstream->m_data_centre == "dc-2";
                           return row != m_rows.m_rows.end() &&
                                  (row->second.second.find("\"c.") !=
                                   std::string::npos) == second;
                       });
}

bool serving_world::is_serving()
{
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
    {
        if (ask(daemon, "chat", 0).m_status != 200)
        {
            return false;
        }
    }
    return is_placed();
}

void serving_world::start(milliseconds undisturbed)
{
    for (const auto& daemon : m_daemons)
    {
        daemon->start();
    }
    const auto end = steady_now() + 40s;
    bool serving = false;
    while (not serving && steady_now() < end)
    {
        run_for(200ms);
        serving = is_serving();
    }
    cr_assert(serving, "the daemons did not serve within 40 s");
    run_for(undisturbed);
}

} // namespace geraniumdoor::test
