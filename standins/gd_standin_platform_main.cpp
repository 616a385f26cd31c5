#include "platform_stores.hpp"
#include "standin_support.hpp"

#include <geraniumdoor/base/hash.hpp>

#include <algorithm>
#include <map>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Spreads work so that it does not exceed a rate. A rate of zero is no limit.
struct rate_gate
{
    double m_units_per_s = 0;
    time_point m_free_at{};

    /// Returns the time until the units are through.
    microseconds take(double units)
    {
        if (m_units_per_s <= 0)
        {
            return microseconds{0};
        }
        return enter(units) + microseconds_of(1000 * units / m_units_per_s);
    }

    /// Returns the time until the units begin. A call of an idle service does not wait:
    /// its latency has been drawn already.
    microseconds enter(double units)
    {
        if (m_units_per_s <= 0)
        {
            return microseconds{0};
        }
        const time_point now = steady_now();
        const time_point begin = std::max(m_free_at, now);
        m_free_at = begin + microseconds_of(1000 * units / m_units_per_s);
        return std::chrono::duration_cast<microseconds>(begin - now);
    }
};

/// Faults, speed and statistics of one of the services.
struct service
{
    explicit service(const json::object& settings)
        : m_latency_ms{number_or(settings, "latency_ms", 1)}
        , m_reads{number_or(settings, "reads_per_s", 0)}
        , m_writes{number_or(settings, "writes_per_s", 0)}
    {
    }

    fault_state m_fault;
    double m_latency_ms;
    rate_gate m_reads;
    rate_gate m_writes;
    std::uint64_t m_calls = 0;
    std::uint64_t m_lost = 0;
};

class platform_standin
{
public:
    platform_standin(asio::any_io_executor executor, const json::object& settings)
        : m_executor{executor}
        , m_random{static_cast<std::uint64_t>(number_or(settings, "seed", 1))}
        , m_hosts{settings.at("hosts").as_object()}
    {
        const auto& weights = settings.at("weights").as_object();
        m_weights_mb = number_or(weights, "megabytes", 16'000);
        m_weights_gate.m_units_per_s = number_or(weights, "megabytes_per_s", 2'000);
        for (const char* name : {"table", "objects", "weights", "hosts"})
        {
            m_services.emplace(name, settings.at(name).as_object());
        }
        m_server = start_server(executor, settings,
                                [this](http_exchange& exchange)
                                {
                                    return handle(exchange);
                                });
    }

private:
    asio::awaitable<void> handle(http_exchange& exchange)
    {
        const std::string path = path_of(exchange);
        if (path == "/control")
        {
            control(body_of(exchange));
            co_return co_await exchange.respond(json_response(json::object{}));
        }
        if (path == "/v1/stats")
        {
            co_return co_await exchange.respond(json_response(stats()));
        }
        co_await serve(exchange, m_services.at(service_of(path)));
    }

    asio::awaitable<void> serve(http_exchange& exchange, service& called)
    {
        ++called.m_calls;
        call_guard guard{m_executor, exchange};
        const bool writes = exchange.request().m_method != "GET";
        const auto latency =
            microseconds_of(2 * called.m_latency_ms * uniform_unit(m_random));
        co_await guard.sleep(latency +
                             (writes ? called.m_writes : called.m_reads).enter(1));
        if (not co_await called.m_fault.pass(guard))
        {
            co_return exchange.drop();
        }
        if (called.m_fault.fails(m_random))
        {
            co_return co_await exchange.respond(error_response(503, "unavailable"));
        }
        // Runs even if the client has gone: a request that was received takes effect.
        http_response response = run(exchange);
        if (called.m_fault.loses_answer(m_random))
        {
            ++called.m_lost;
            co_await guard.sleep(called.m_fault.m_delay);
            co_return exchange.drop();
        }
        if (service_of(path_of(exchange)) == "weights")
        {
            co_await guard.sleep(m_weights_gate.take(m_weights_mb));
        }
        co_await exchange.respond(std::move(response));
    }

    static std::string service_of(const std::string& path)
    {
        for (const char* name : {"objects", "weights", "hosts"})
        {
            if (path.substr(0, path.find('/', 4)) == std::string{"/v1/"} + name)
            {
                return name;
            }
        }
        return "table";
    }

    /// Faults name their service in "upstream". "leaving" and changes without a fault
    /// concern the host list.
    void control(const json::object& body)
    {
        const auto* fault = body.if_contains("fault");
        if (fault == nullptr)
        {
            return m_hosts.change(body);
        }
        if (*fault == "leaving")
        {
            const json::object host{{"id", body.at("upstream")}, {"state", "leaving"}};
            return m_hosts.change({{"hosts", json::array{host}}});
        }
        m_services.at(text_of(body, "upstream")).m_fault.set(body);
    }

    json::object stats() const
    {
        json::object all;
        for (const auto& [name, one] : m_services)
        {
            all[name] = {{"calls", one.m_calls}, {"lost_answers", one.m_lost}};
        }
        return all;
    }

    http_response run(const http_exchange& exchange)
    {
        constexpr std::string_view rows = "/v1/rows/";
        const std::string path = path_of(exchange);
        if (path == "/v1/txn")
        {
            return json_response(m_rows.transact(body_of(exchange)));
        }
        if (path == "/v1/scan")
        {
            return json_response(m_rows.scan(query_of(exchange, "prefix")));
        }
        if (path.starts_with(rows))
        {
            return json_response(m_rows.read(percent_decode(path.substr(rows.size()))));
        }
        if (path == "/v1/hosts")
        {
            return hosts_response(exchange);
        }
        if (path.starts_with("/v1/weights/"))
        {
            return json_response(json::object{{"megabytes", m_weights_mb}});
        }
        return run_object(exchange.request(), path);
    }

    /// The list, or 304 without it when the reader has it already.
    http_response hosts_response(const http_exchange& exchange)
    {
        http_response response = json_response(m_hosts.read());
        const std::string tag = '"' + digest_hex(response.m_body) + '"';
        if (find_field(exchange.request().m_fields, "If-None-Match") == tag)
        {
            response = http_response{};
            response.m_status = 304;
        }
        response.m_fields.emplace_back("ETag", tag);
        return response;
    }

    http_response run_object(const http_request& request, const std::string& path)
    {
        if (request.m_method == "PUT" && path.starts_with("/v1/objects/"))
        {
            m_objects[path] = request.m_body;
            return json_response(json::object{});
        }
        const auto at = m_objects.find(path);
        return at == m_objects.end() ? error_response(404, "not_found")
                                     : http_response{200, {}, at->second};
    }

    asio::any_io_executor m_executor;
    random_source m_random;
    std::map<std::string, service> m_services;
    row_store m_rows;
    host_store m_hosts;
    double m_weights_mb = 0;
    rate_gate m_weights_gate;
    std::map<std::string, std::string> m_objects;
    std::unique_ptr<http_server> m_server;
};

} // namespace

} // namespace geraniumdoor

int main(int argc, char** argv)
{
    return geraniumdoor::run_standin<geraniumdoor::platform_standin>(argc, argv);
}
