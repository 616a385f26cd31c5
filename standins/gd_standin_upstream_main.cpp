#include "engine_parts.hpp"
#include "standin_support.hpp"
#include "upstream_ledger.hpp"
#include "upstream_load.hpp"
#include "upstream_outputs.hpp"

#include <map>
#include <tuple>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Time after which the end of a call that its client gave up has been noticed.
constexpr microseconds settle_time{5'000};

std::uint64_t wall_clock_ms()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(time).count());
}

bool flag_of(const json::object& object, std::string_view name)
{
    return object.contains(name) && object.at(name).as_bool();
}

/// Answers the time of the calls that ended since the last such request.
constexpr std::string_view take_work_path = "/v1/work/take";

enum class call_end : std::uint8_t
{
    whole,
    refused,
    failed,
    cancelled,
    lost,
};

/// One call as POST /v1/run gives it. Throws if the body is malformed.
struct run_call
{
    run_call(const json::object& body, std::uint64_t incarnation, double tokens)
        : m_head{{"request_id", body.at("request_id").as_string()},
                 {"stage", body.at("stage").as_int64()},
                 {"attempt", body.at("attempt").as_int64()},
                 {"incarnation", incarnation}}
        , m_operation{text_of(body, "operation")}
        , m_input(body.at("input"))
    {
        const auto* delivered = body.if_contains("tokens");
        m_delivered = delivered == nullptr ? 0 : delivered->as_array().size();
        // The same input has the same number of tokens on every upstream.
        const auto share = static_cast<double>(number_of(marker_of(m_input), 0)) / 1e5;
        m_tokens = 1 + static_cast<std::size_t>(tokens * (0.5 + share));
    }

    std::string line(std::uint32_t index) const
    {
        return json::serialize(json::object{{"index", index},
                                            {"token", make_token(m_input, index)}}) +
               "\n";
    }

    std::string last_line() const
    {
        return json::serialize(json::object{{"done", true}, {"tokens", m_tokens}}) + "\n";
    }

    json::object m_head;
    std::string m_operation;
    json::value m_input;
    std::size_t m_delivered = 0;
    std::size_t m_tokens = 0;
};

class upstream;
using upstreams = std::map<std::string, std::unique_ptr<upstream>>;

/// One upstream on its own port.
class upstream
{
public:
    upstream(asio::any_io_executor executor, json::object settings, upstreams& all)
        : m_executor{executor}
        , m_settings(std::move(settings))
        , m_all{all}
        , m_id{text_of(m_settings, "id")}
        , m_kind{text_of(m_settings, "kind")}
        , m_random{static_cast<std::uint64_t>(number_or(m_settings, "seed", 1)),
                   stable_hash(m_id)}
        , m_load{m_settings}
        , m_cache{m_settings}
        , m_report{microseconds_of(number_or(m_settings, "load_lag_ms", 300))}
        , m_incarnation{wall_clock_ms()}
    {
        report();
        m_server = start_server(executor, m_settings,
                                [this](http_exchange& exchange)
                                {
                                    return handle(exchange);
                                });
    }

private:
    asio::awaitable<void> handle(http_exchange& exchange)
    {
        const std::string path = path_of(exchange);
        if (path == "/v1/run")
        {
            co_return co_await run(exchange);
        }
        const bool inspects = path == "/control" || path == "/v1/stats" ||
                              path == "/v1/executions" || path == take_work_path;
        call_guard guard{m_executor, exchange};
        if (not inspects && not co_await m_fault.pass(guard))
        {
            co_return exchange.drop();
        }
        // GCC 12 destroys a temporary of a conditional expression twice when it is an
        // operand of co_await, so responses are named.
        http_response response;
        if (inspects)
        {
            response = inspect(exchange, path);
        }
        else
        {
            response = answer_state(exchange, path);
        }
        co_await exchange.respond(std::move(response));
    }

    /// Control and statistics, which no fault affects. With "?all=1" they cover all
    /// upstreams of the process.
    http_response inspect(const http_exchange& exchange, const std::string& path)
    {
        if (path == "/control")
        {
            const json::object body = body_of(exchange);
            const bool named = body.contains("upstream");
            m_all.at(named ? text_of(body, "upstream") : m_id)->control(body);
            return json_response(json::object{});
        }
        json::array list;
        for (const auto& [id, one] : m_all)
        {
            if (one.get() == this || not query_of(exchange, "all").empty())
            {
                one->append_list(path, list);
            }
        }
        const std::string name = path == take_work_path ? "work" : path.substr(4);
        return json_response(json::object{{name, std::move(list)}});
    }

    void append_list(const std::string& path, json::array& list)
    {
        if (path == take_work_path)
        {
            return m_ledger.take_work(m_id, list);
        }
        path == "/v1/stats" ? append_stats(list) : m_ledger.append_executions(m_id, list);
    }

    void control(const json::object& body)
    {
        const std::string fault = text_of(body, "fault");
        if (fault == "cold")
        {
            m_incarnation += flag_of(body, "restart") ? 1 : 0;
            m_load.turn_cold();
        }
        else if (fault == "leaving")
        {
            m_leaving = true;
        }
        else
        {
            m_fault.set(body);
            m_leaving = m_leaving && fault != "none";
        }
        report();
    }

    void append_stats(json::array& list) const
    {
        json::object all = m_load.stats();
        all["id"] = m_id;
        all["kind"] = m_kind;
        all["since_last_call_ms"] = to_ms(steady_now() - m_last_call);
        list.emplace_back(std::move(all));
    }

    http_response answer_state(const http_exchange& exchange, const std::string& path)
    {
        const bool engine = m_kind == "engine";
        if (path == "/v1/load")
        {
            return json_response(m_report.read());
        }
        if (path == "/v1/state" && engine)
        {
            return json_response(m_state);
        }
        if (path == "/v1/cache-events" && engine)
        {
            const std::string after = "0" + query_of(exchange, "after");
            return json_response(m_cache.events_after(std::stoull(after)));
        }
        if (path == "/v1/orders" && engine)
        {
            const bool checks = flag_of(m_settings, "checks_fence");
            const bool applied = apply_order(m_state, body_of(exchange), checks);
            return json_response(m_state, applied ? 200 : 409);
        }
        return error_response(404, "not_found");
    }

    void note_work(const run_call& call, time_point started)
    {
        const auto request = text_of(call.m_head, "request_id");
        m_ledger.add_work(request, call.m_operation, steady_now() - started);
    }

    asio::awaitable<void> run(http_exchange& exchange)
    {
        run_call call{body_of(exchange), m_incarnation,
                      number_or(m_settings, "tokens", 32)};
        call_guard guard{m_executor, exchange};
        if (m_load.is_full())
        {
            co_await guard.sleep(settle_time);
        }
        const time_point started = steady_now();
        m_last_call = started;
        m_load.begin();
        report();
        const call_end end = co_await execute(exchange, guard, call);
        // The call is over before its last byte leaves, so that the next call of a client
        // that reads the answer is not counted on top of this one.
        m_load.end(started, end == call_end::whole, end == call_end::cancelled);
        note_work(call, started);
        report();
        co_await finish(exchange, end, call);
    }

    asio::awaitable<call_end> execute(http_exchange& exchange, call_guard& guard,
                                      const run_call& call)
    {
        if (not co_await m_fault.pass(guard))
        {
            co_return call_end::lost;
        }
        if (m_fault.fails(m_random))
        {
            co_return call_end::failed;
        }
        if (m_load.refuses(m_random))
        {
            co_return call_end::refused;
        }
        if (m_kind == "service")
        {
            // Without a named variable here GCC 12 builds a frame that cannot be resumed.
            const auto request = text_of(call.m_head, "request_id");
            m_ledger.add_execution(request, call.m_operation, marker_of(call.m_input));
        }
        if (not co_await guard.sleep(draw_service_time(call.m_input)))
        {
            co_return call_end::cancelled;
        }
        if (m_kind == "engine" && not co_await generate(exchange, guard, call))
        {
            co_return call_end::cancelled;
        }
        co_return m_fault.loses_answer(m_random) ? call_end::lost : call_end::whole;
    }

    /// Sends the echo and all tokens. Returns false when the client has gone.
    asio::awaitable<bool> generate(http_exchange& exchange, call_guard& guard,
                                   const run_call& call)
    {
        co_await exchange.begin_stream(200, "application/x-ndjson");
        bool open = co_await exchange.write_part(json::serialize(call.m_head) + "\n");
        for (auto index = call.m_delivered; open && index < call.m_tokens; ++index)
        {
            const double time_ms = number_or(m_settings, "token_ms", 20);
            open = co_await guard.sleep(microseconds_of(time_ms * m_load.slowness()));
            open = open && co_await exchange.write_part(
                               call.line(static_cast<std::uint32_t>(index)));
        }
        co_return open;
    }

    asio::awaitable<void> finish(http_exchange& exchange, call_end end, run_call& call)
    {
        if (end == call_end::cancelled || end == call_end::lost)
        {
            co_return exchange.drop();
        }
        if (end == call_end::whole && m_kind == "engine")
        {
            co_await exchange.write_part(call.last_line());
            co_return co_await exchange.end_stream();
        }
        http_response response;
        if (end == call_end::whole)
        {
            call.m_head["output"] = make_output(m_kind, call.m_input);
            response = json_response(call.m_head);
        }
        else if (end == call_end::refused)
        {
            response = error_response(503, "overloaded");
        }
        else
        {
            response = error_response(500, "failed");
        }
        co_await exchange.respond(std::move(response));
    }

    microseconds draw_service_time(const json::value& input)
    {
        constexpr double cached_share = 0.4;
        constexpr std::size_t prefix_length = 64;
        const double low = number_or(m_settings, "service_low_ms", 5);
        const double high = number_or(m_settings, "service_high_ms", 15);
        double time = low + (high - low) * uniform_unit(m_random);
        if (uniform_unit(m_random) < number_or(m_settings, "tail_probability", 0))
        {
            time *= number_or(m_settings, "tail_factor", 10);
        }
        const auto prefix = json::serialize(input).substr(0, prefix_length);
        if (m_kind == "engine" && m_cache.use(digest_hex(prefix), m_random))
        {
            time *= cached_share;
        }
        return microseconds_of(time * m_load.slowness());
    }

    void report()
    {
        m_report.set(m_load.report(m_incarnation, m_leaving));
    }

    asio::any_io_executor m_executor;
    json::object m_settings;
    upstreams& m_all;
    std::string m_id;
    std::string m_kind;
    random_source m_random;
    upstream_load m_load;
    prefix_cache m_cache;
    json::object m_state;
    lagged_value m_report;
    std::uint64_t m_incarnation;
    fault_state m_fault;
    bool m_leaving = false;
    time_point m_last_call;
    upstream_ledger m_ledger;
    std::unique_ptr<http_server> m_server;
};

/// All upstreams of the process.
class upstream_host
{
public:
    upstream_host(asio::any_io_executor executor, const json::object& settings)
    {
        for (const auto& host : expand_groups(settings, "upstreams"))
        {
            m_all[text_of(host, "id")] =
                std::make_unique<upstream>(executor, host, m_all);
        }
    }

private:
    upstreams m_all;
};

} // namespace

} // namespace geraniumdoor

int main(int argc, char** argv)
{
    return geraniumdoor::run_standin<geraniumdoor::upstream_host>(argc, argv);
}
