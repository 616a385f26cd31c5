#include "edge_world.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace
{

constexpr int ports_per_host = 4;
constexpr int first_worker_port = 20;

std::string base64(const std::string& bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string value_in(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + '=');
    if (at == std::string::npos)
    {
        return {};
    }
    const auto start = at + name.size() + 1;
    return percent_decode(target.substr(start, target.find('&', start) - start));
}

http_response json_body(const json::value& body)
{
    http_response response;
    response.m_fields.emplace_back("Content-Type", "application/json");
    response.m_body = json::serialize(body);
    return response;
}

asio::awaitable<void> pause(milliseconds length)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, length};
    co_await timer.async_wait(asio::use_awaitable);
}

http_fields proof_of(const fake_worker& worker, const http_request& request)
{
    return {{"Attempt-Id", std::string{find_field(request.m_fields, "Attempt-Id")}},
            {"Response-Signature", worker.m_id}};
}

} // namespace

void fake_store::put(const std::string& table, const std::string& key,
                     const std::string& value)
{
    m_tables[table][key] = {value, ++m_version, false};
}

void fake_store::remove(const std::string& table, const std::string& key)
{
    m_tables[table][key] = {"", ++m_version, true};
}

asio::awaitable<void> fake_store::serve(http_exchange& exchange)
{
    const http_request request = exchange.request();
    ++m_reads;
    if (m_down)
    {
        http_response response;
        response.m_status = 503;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (request.m_target == "/rows-tx")
    {
        json::object done;
        done["ver"] = m_version;
        co_await exchange.respond(json_body(done));
        co_return;
    }
    const bool whole = request.m_target.starts_with("/rows-get");
    const std::string table = value_in(request.m_target, "table");
    const std::string after = value_in(request.m_target, "after");
    const std::uint64_t since = whole || after.empty() ? 0 : std::stoull(after);
    const std::string wait = value_in(request.m_target, "waitMs");
    const auto last = std::chrono::steady_clock::now() +
                      milliseconds{wait.empty() ? 0 : std::stoi(wait)};
    json::array rows;
    while (true)
    {
        for (const auto& [key, stored] : m_tables[table])
        {
            if (stored.m_version <= since || (whole && stored.m_removed))
            {
                continue;
            }
            json::object entry;
            entry["table"] = table;
            entry["key"] = key;
            entry["ver"] = stored.m_version;
            if (stored.m_removed)
            {
                entry["removed"] = true;
            }
            else
            {
                entry["value"] = base64(stored.m_value);
            }
            rows.push_back(std::move(entry));
        }
        if (!rows.empty() || std::chrono::steady_clock::now() >= last)
        {
            break;
        }
        co_await pause(milliseconds{10});
    }
    json::object page;
    page["rows"] = std::move(rows);
    page["hasMore"] = false;
    page["ver"] = m_version;
    co_await exchange.respond(json_body(page));
}

asio::awaitable<void> fake_worker::serve(http_exchange& exchange)
{
    const std::string target = exchange.request().m_target;
    if (target == "/stage-run")
    {
        co_await make_pieces(exchange);
        co_return;
    }
    if (target == "/stage-free")
    {
        const auto body = json::parse(exchange.request().m_body);
        m_released += static_cast<int>(body.at("handles").as_array().size());
        http_response response;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await run_request(exchange);
}

asio::awaitable<void> fake_worker::make_pieces(http_exchange& exchange)
{
    const auto body = json::parse(exchange.request().m_body);
    const auto& items = body.at("items").as_array();
    ++m_calls;
    m_most_pieces = std::max(m_most_pieces, items.size());
    co_await pause(m_delay);
    json::array made;
    for (const auto& item : items)
    {
        if (!m_refuse_pieces.empty())
        {
            made.push_back(json::object{{"why", m_refuse_pieces}});
            continue;
        }
        const std::string handle = "127.0.0.1:" + std::to_string(m_port) + '/' + m_id +
                                   '-' + std::string{item.at("id").as_string()} + '-' +
                                   std::to_string(item.at("stage").as_int64()) + '-' +
                                   std::to_string(item.at("piece").as_int64());
        made.push_back(json::object{{"handle", handle}});
    }
    json::object result;
    result["items"] = std::move(made);
    co_await exchange.respond(json_body(result));
}

asio::awaitable<void> fake_worker::run_request(http_exchange& exchange)
{
    const http_request request = exchange.request();
    m_seen.push_back(request);
    worker_mode mode = m_mode;
    if (!m_script.empty())
    {
        mode = m_script.front();
        m_script.erase(m_script.begin());
    }
    http_response response;
    response.m_fields = proof_of(*this, request);
    if (mode == worker_mode::decline || mode == worker_mode::input_gone)
    {
        response.m_status = mode == worker_mode::decline ? 503 : 409;
        response.m_fields.emplace_back("Not-Executed", "1");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++m_runs[std::string{find_field(request.m_fields, "Attempt-Id")}];
    co_await pause(m_delay);
    if (mode == worker_mode::lose_answer)
    {
        exchange.drop();
        co_return;
    }
    if (mode == worker_mode::hang)
    {
        co_await pause(milliseconds{3000});
        exchange.drop();
        co_return;
    }
    if (mode == worker_mode::foreign)
    {
        response.m_fields[0].second = "somebody-else";
    }
    if (mode == worker_mode::fail)
    {
        response.m_status = 500;
    }
    const bool streams = request.m_target.starts_with("/stream") ||
                         request.m_target.starts_with("/resume");
    const std::string after{find_field(request.m_fields, "Last-Event-Id")};
    if (streams && (mode == worker_mode::normal || mode == worker_mode::tear))
    {
        const int first = after.empty() ? 1 : std::stoi(after) + 1;
        co_await exchange.begin_answer(200, response.m_fields, std::nullopt);
        for (int event = first; event <= 4; ++event)
        {
            const std::string text = "id: " + std::to_string(event) +
                                     "\ndata: " + std::to_string(event) + "\n\n";
            if (mode == worker_mode::tear && event == 3)
            {
                // Stops in the middle of an event.
                co_await exchange.write_part(text.substr(0, 5));
                co_await pause(milliseconds{20});
                exchange.drop();
                co_return;
            }
            co_await exchange.write_part(text);
            co_await pause(milliseconds{10});
        }
        co_await exchange.end_stream();
        co_return;
    }
    response.m_body = m_id + ':' + request.m_target + ':' + request.m_body;
    if (mode == worker_mode::tear)
    {
        co_await exchange.begin_answer(200, response.m_fields, response.m_body.size());
        co_await exchange.write_part(response.m_body.substr(0, 3));
        exchange.drop();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

edge_world::edge_world(std::uint16_t base, int hosts)
    : m_client{m_io.get_executor(), {}}, m_base{base}
{
    m_hosts.resize(static_cast<std::size_t>(hosts));
}

edge_world::~edge_world() = default;

std::uint16_t edge_world::port_of(int host, int part) const
{
    return static_cast<std::uint16_t>(m_base + 1 + host * ports_per_host + part);
}

tcp::endpoint edge_world::callers_of(int host) const
{
    return {asio::ip::make_address("127.0.0.1"), port_of(host, 0)};
}

tcp::endpoint edge_world::readiness_of(int host) const
{
    return {asio::ip::make_address("127.0.0.1"), port_of(host, 1)};
}

tcp::endpoint edge_world::directory_of(int host) const
{
    return {asio::ip::make_address("127.0.0.1"), port_of(host, 2)};
}

edge::edge_settings edge_world::settings_of(int host) const
{
    const auto endpoint = [](std::uint16_t port)
    {
        return ip_endpoint{asio::ip::make_address("127.0.0.1"), port};
    };
    edge::edge_settings settings;
    settings.m_node.m_value = "host-" + std::to_string(host);
    settings.m_data_centre.m_value = "z1";
    settings.m_region.m_value = "r1";
    settings.m_callers = endpoint(port_of(host, 0));
    settings.m_readiness = endpoint(port_of(host, 1));
    settings.m_directory = endpoint(port_of(host, 2));
    settings.m_peers = endpoint(port_of(host, 3));
    settings.m_store = endpoint(m_base);
    settings.m_open_files = 300;
    return settings;
}

fake_worker& edge_world::add_worker(const std::string& id, const std::string& service)
{
    auto worker = std::make_unique<fake_worker>();
    worker->m_id = id;
    worker->m_service = service;
    worker->m_port = static_cast<std::uint16_t>(m_base + first_worker_port +
                                                static_cast<int>(m_workers.size()));
    fake_worker* added = worker.get();
    worker->m_server = std::make_unique<http_server>(
        m_io.get_executor(),
        tcp::endpoint{asio::ip::make_address("127.0.0.1"), worker->m_port}, http_limits{},
        [added](http_exchange& exchange)
        {
            return added->serve(exchange);
        });
    worker->m_server->start();
    m_store.put("servers", id,
                json::serialize(json::object{
                    {"service", service},
                    {"address", "127.0.0.1:" + std::to_string(worker->m_port)},
                    {"zone", "z1"},
                    {"maxConcurrency", 8},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"born", 1}}));
    m_workers.push_back(std::move(worker));
    return *added;
}

void edge_world::set_config(const std::string& routes, std::uint64_t version)
{
    m_store.put("op", "config",
                R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
                    R"(],"services":[{"name":"plain"},{"name":"engine","engine":)"
                    R"({"maxConcurrency":8,"kvTokens":100000}},{"name":"stage","pieces":)"
                    R"({"batch":8,"callMs":20,"itemMs":2,"roomMb":1,"handleS":4}}],)"
                    R"("tenants":[{"name":"t","apiKeys":["key"],"priority":0}]})");
}

void edge_world::start()
{
    m_store_server = std::make_unique<http_server>(
        m_io.get_executor(), tcp::endpoint{asio::ip::make_address("127.0.0.1"), m_base},
        http_limits{},
        [this](http_exchange& exchange)
        {
            return m_store.serve(exchange);
        });
    m_store_server->start();
    for (int host = 0; host < static_cast<int>(m_hosts.size()); ++host)
    {
        start_host(host);
    }
    run_for(milliseconds{1500});
}

void edge_world::start_host(int host)
{
    auto settings = settings_of(host);
    for (int other = 0; other < static_cast<int>(m_hosts.size()); ++other)
    {
        settings.m_seeds.push_back(settings_of(other).m_peers);
    }
    // In a deployment all hosts have the same port; here the addresses are the same.
    auto& daemon = m_hosts[static_cast<std::size_t>(host)];
    daemon =
        std::make_unique<edge::edge_daemon>(m_io, settings, incarnation{++m_incarnation});
    daemon->start();
}

void edge_world::begin_stop(int host, std::function<void()> done)
{
    m_hosts[static_cast<std::size_t>(host)]->begin_stop(std::move(done));
}

void edge_world::run_for(milliseconds length)
{
    m_io.restart();
    m_io.run_for(length);
}

std::shared_ptr<std::optional<http_response>>
edge_world::start_request(int host, http_request request, milliseconds limit)
{
    auto answer = std::make_shared<std::optional<http_response>>();
    const auto send =
        [](http_client& client, tcp::endpoint endpoint, http_request message,
           milliseconds timeout,
           std::shared_ptr<std::optional<http_response>> target) -> asio::awaitable<void>
    {
        http_call_options options;
        options.m_timeout = timeout;
        options.m_fresh_connection = true;
        const auto result = co_await client.send(endpoint, std::move(message), options);
        http_response none;
        none.m_status = 0;
        *target = is_ok(result) ? value_of(result) : none;
    };
    asio::co_spawn(m_io,
                   send(m_client, callers_of(host), std::move(request), limit, answer),
                   asio::detached);
    return answer;
}

http_response edge_world::ask(int host, http_request request, milliseconds limit)
{
    const auto answer = start_request(host, std::move(request), limit);
    const auto last = std::chrono::steady_clock::now() + limit + milliseconds{200};
    while (!*answer && std::chrono::steady_clock::now() < last)
    {
        run_for(milliseconds{10});
    }
    return answer->value_or(http_response{0, {}, {}});
}

http_request sample_get(const std::string& target, const std::string& id, int deadline_ms)
{
    http_request request;
    request.m_target = target;
    request.m_fields = {{"Host", "a.example"},
                        {"Attempt-Id", id},
                        {"Deadline-Ms", std::to_string(deadline_ms)},
                        {"Credential", "key"}};
    return request;
}

http_request sample_post(const std::string& target, const std::string& id,
                         int deadline_ms)
{
    http_request request = sample_get(target, id, deadline_ms);
    request.m_method = "POST";
    request.m_body = "body";
    return request;
}

} // namespace geraniumdoor::test
