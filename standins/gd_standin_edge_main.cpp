#include "edge_standins.hpp"
#include "standin_support.hpp"

#include <map>
#include <stdexcept>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

const std::map<std::string, worker_mode> worker_modes{
    {"normal", worker_mode::normal},
    {"lose_answer", worker_mode::lose_answer},
    {"decline", worker_mode::decline},
    {"fail", worker_mode::fail},
    {"tear", worker_mode::tear},
    {"foreign", worker_mode::foreign},
    {"hang", worker_mode::hang},
    {"input_gone", worker_mode::input_gone},
    {"unframed", worker_mode::unframed},
    {"unframed_cut", worker_mode::unframed_cut},
    {"unframed_empty", worker_mode::unframed_empty},
};

/// Returns the value of a field that holds a port. Throws if there is none.
std::uint16_t port_of(const json::object& object, std::string_view name)
{
    return json::value_to<std::uint16_t>(object.at(name));
}

/// The platform's store and the workers of a small deployment in one process. POST
/// /control changes what they do, GET /runs tells how often each request has run, and GET
/// /ledger what the workers have seen together.
class edge_standin
{
public:
    edge_standin(const asio::any_io_executor& executor, const json::object& settings)
        : m_address{text_of(settings, "address")}
        , m_store_server{executor, endpoint_of(port_of(settings, "store_port")),
                         http_limits{},
                         [this](http_exchange& exchange)
                         {
                             return m_store.serve(exchange);
                         }}
        , m_control_server{executor, endpoint_of(port_of(settings, "control_port")),
                           http_limits{},
                           [this](http_exchange& exchange)
                           {
                               return serve_control(exchange);
                           }}
    {
        for (const auto& entry : settings.at("workers").as_array())
        {
            add_worker(executor, entry.as_object());
        }
        m_store.put("op", "config", sample_configuration(sample_routes(), m_version));
        m_store_server.start();
        m_control_server.start();
    }

private:
    struct listed_worker
    {
        worker_standin m_worker;
        /// Port in the registry; that of a proxy, if there is one.
        std::uint16_t m_listed_port = 0;
        /// State that it last wrote to the registry; empty before.
        std::string m_state;
    };

    asio::ip::tcp::endpoint endpoint_of(std::uint16_t port) const
    {
        return {asio::ip::make_address(m_address), port};
    }

    void add_worker(const asio::any_io_executor& executor, const json::object& settings)
    {
        listed_worker& added = m_workers[text_of(settings, "id")];
        added.m_worker.m_id = text_of(settings, "id");
        added.m_worker.m_service = text_of(settings, "service");
        added.m_worker.m_address = m_address;
        added.m_worker.m_ledger = m_ledger;
        if (settings.contains("version"))
        {
            added.m_worker.m_version = text_of(settings, "version");
        }
        added.m_worker.m_port = port_of(settings, "port");
        added.m_listed_port = settings.contains("listed_port")
                                  ? port_of(settings, "listed_port")
                                  : added.m_worker.m_port;
        added.m_worker.start(executor);
        list_worker(added, "ready");
    }

    /// @param state "ready", "draining", or "gone" to remove the entry
    void list_worker(listed_worker& entry, const std::string& state)
    {
        entry.m_state = state;
        if (state == "gone")
        {
            m_store.remove("servers", entry.m_worker.m_id);
            return;
        }
        m_store.put("servers", entry.m_worker.m_id,
                    registry_entry(entry.m_worker, entry.m_listed_port, state));
    }

    asio::awaitable<void> serve_control(http_exchange& exchange)
    {
        const std::string target = exchange.request().m_target;
        if (target == "/runs")
        {
            http_response counts = json_response(runs());
            co_await exchange.respond(std::move(counts));
            co_return;
        }
        if (target == "/ledger")
        {
            http_response seen = json_response(ledger());
            co_await exchange.respond(std::move(seen));
            co_return;
        }
        // Named: GCC 12 destroys a temporary argument of a coroutine twice.
        http_response answer = take_change(exchange);
        co_await exchange.respond(std::move(answer));
    }

    http_response take_change(const http_exchange& exchange)
    {
        try
        {
            apply(body_of(exchange));
            return json_response(json::object{});
        }
        catch (const std::exception& error)
        {
            return error_response(400, error.what());
        }
    }

    json::object runs() const
    {
        std::map<std::string, int> sums;
        for (const auto& [id, entry] : m_workers)
        {
            for (const auto& [request, count] : entry.m_worker.m_runs)
            {
                sums[request] += count;
            }
        }
        json::object body;
        for (const auto& [request, count] : sums)
        {
            body[request] = count;
        }
        return body;
    }

    json::object ledger() const
    {
        json::array joined;
        for (const std::string& stream : m_ledger->m_joined_streams)
        {
            joined.push_back(json::value(stream));
        }
        json::array limited;
        for (const limited_time& time : m_ledger->m_limited_times)
        {
            limited.push_back(json::object{{"worker", time.m_worker},
                                           {"per_s", time.m_per_s},
                                           {"ms", time.m_length.count()},
                                           {"arrivals", time.m_arrivals}});
        }
        json::object body;
        body["joined"] = std::move(joined);
        body["limited"] = std::move(limited);
        return body;
    }

    /// Comes back as of the last copy. The operator and the workers write again what they
    /// have written since.
    void go_back()
    {
        m_store.go_back(m_copy);
        m_store.put("op", "config", sample_configuration(sample_routes(), m_version));
        for (auto& [id, entry] : m_workers)
        {
            list_worker(entry, entry.m_state);
        }
    }

    /// Changes what a worker says of itself. Throws if the change cannot be read.
    static void apply_notices(worker_standin& worker, const json::object& change)
    {
        if (change.contains("limit"))
        {
            worker.set_limit(text_of(change, "limit"));
        }
        if (change.contains("retry_after"))
        {
            worker.m_retry_after = text_of(change, "retry_after");
        }
        if (change.contains("process"))
        {
            const std::string process = text_of(change, "process");
            worker.m_says_leaving = process == "leaves";
            worker.m_born += process == "new" ? 1 : 0;
        }
        if (change.contains("version"))
        {
            worker.m_version = text_of(change, "version");
        }
    }

    /// Throws if the change cannot be read.
    void apply(const json::object& change)
    {
        if (change.contains("store_copy"))
        {
            m_copy = m_store.make_copy();
        }
        if (change.contains("store_back"))
        {
            go_back();
        }
        if (const auto* down = change.if_contains("store_down"))
        {
            m_store.m_down = down->as_bool();
        }
        if (const auto* version = change.if_contains("config_version"))
        {
            m_version = json::value_to<std::uint64_t>(*version);
            m_store.put("op", "config", sample_configuration(sample_routes(), m_version));
        }
        if (!change.contains("worker"))
        {
            return;
        }
        listed_worker& entry = m_workers.at(text_of(change, "worker"));
        if (change.contains("mode"))
        {
            entry.m_worker.m_mode = worker_modes.at(text_of(change, "mode"));
        }
        if (change.contains("delay_ms"))
        {
            entry.m_worker.m_delay =
                milliseconds{json::value_to<std::int64_t>(change.at("delay_ms"))};
        }
        apply_notices(entry.m_worker, change);
        if (change.contains("state"))
        {
            list_worker(entry, text_of(change, "state"));
        }
    }

    std::string m_address;
    store_standin m_store;
    store_standin::copy m_copy;
    std::shared_ptr<worker_ledger> m_ledger = std::make_shared<worker_ledger>();
    std::map<std::string, listed_worker> m_workers;
    std::uint64_t m_version = 1;
    http_server m_store_server;
    http_server m_control_server;
};

} // namespace

} // namespace geraniumdoor

int main(int argc, char** argv)
{
    return geraniumdoor::run_standin<geraniumdoor::edge_standin>(argc, argv);
}
