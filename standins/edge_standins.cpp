#include "edge_standins.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

std::string base64(const std::string& bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string unbase64(const std::string& text)
{
    namespace codec = boost::beast::detail::base64;
    std::string bytes(codec::decoded_size(text.size()), '\0');
    bytes.resize(codec::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
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

/// Sends bytes that form no event, until the peer closes or for five seconds.
asio::awaitable<void> send_no_events(http_exchange& exchange, worker_mode mode)
{
    const std::string part =
        mode == worker_mode::stall ? ": still here\n\n" : std::string(16384, 'a');
    constexpr int parts = 50;
    bool open = true;
    for (int at = 0; open && at < parts; ++at)
    {
        open = co_await exchange.write_part(part);
        co_await pause(milliseconds{100});
    }
}

bool is_unframed(worker_mode mode)
{
    return mode == worker_mode::unframed || mode == worker_mode::unframed_cut ||
           mode == worker_mode::unframed_empty;
}

/// Whether a stream gets events in this mode; otherwise it gets one body.
bool sends_events(worker_mode mode)
{
    return mode == worker_mode::normal || mode == worker_mode::tear ||
           mode == worker_mode::stall || mode == worker_mode::endless_event ||
           mode == worker_mode::slow_stream || is_unframed(mode);
}

bool has_part(const http_request& request, const std::string& part)
{
    const std::string parts{find_field(request.m_fields, "Prompt-Prefix")};
    return !part.empty() && (',' + parts).find(',' + part + ':') != std::string::npos;
}

http_fields proof_of(const worker_standin& worker, const http_request& request)
{
    return {{"Attempt-Id", std::string{find_field(request.m_fields, "Attempt-Id")}},
            {"Response-Signature", worker.m_id}};
}

} // namespace

void store_standin::put(const std::string& table, const std::string& key,
                        const std::string& value)
{
    m_tables[table][key] = {value, ++m_version, false};
}

void store_standin::remove(const std::string& table, const std::string& key)
{
    m_tables[table][key] = {"", ++m_version, true};
}

store_standin::copy store_standin::make_copy() const
{
    return {m_tables, m_version};
}

void store_standin::go_back(const copy& earlier)
{
    m_tables = earlier.m_tables;
    m_version = earlier.m_version;
    ++m_era;
}

asio::awaitable<void> store_standin::answer(http_exchange& exchange,
                                            http_response response)
{
    response.m_fields.emplace_back("Store-Era", std::to_string(m_era));
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> store_standin::serve(http_exchange& exchange)
{
    ++m_reads;
    if (m_down)
    {
        http_response response;
        response.m_status = 503;
        co_await answer(exchange, std::move(response));
        co_return;
    }
    if (exchange.request().m_target == "/rows-tx")
    {
        http_response response = apply_transaction(exchange.request().m_body);
        co_await answer(exchange, std::move(response));
        co_return;
    }
    co_await read_rows(exchange);
}

http_response store_standin::apply_transaction(const std::string& body)
{
    const json::value call = json::parse(body);
    const auto text = [](const json::value& entry, const char* name)
    {
        return json::value_to<std::string>(entry.at(name));
    };
    http_response response;
    for (const json::value& entry : call.at("expected").as_array())
    {
        const auto& rows = m_tables[text(entry, "table")];
        const auto at = rows.find(text(entry, "key"));
        const bool exists = at != rows.end() && !at->second.m_removed;
        if (json::value_to<std::uint64_t>(entry.at("ver")) !=
            (exists ? at->second.m_version : 0))
        {
            response.m_status = 412;
            return response;
        }
    }
    ++m_version;
    ++m_transactions;
    for (const json::value& entry : call.at("setKeys").as_array())
    {
        m_tables[text(entry, "table")][text(entry, "key")] = {
            unbase64(text(entry, "value")), m_version, false};
    }
    for (const json::value& entry : call.at("remove").as_array())
    {
        m_tables[text(entry, "table")][text(entry, "key")] = {"", m_version, true};
    }
    json::object done;
    done["ver"] = m_version;
    return json_body(done);
}

asio::awaitable<void> store_standin::read_rows(http_exchange& exchange)
{
    const http_request request = exchange.request();
    const bool whole = request.m_target.starts_with("/rows-get");
    const std::string table = value_in(request.m_target, "table");
    if (m_refused_tables.contains(table))
    {
        http_response response;
        response.m_status = 503;
        co_await answer(exchange, std::move(response));
        co_return;
    }
    const std::string after = value_in(request.m_target, "after");
    const std::uint64_t since = whole || after.empty() ? 0 : std::stoull(after);
    const std::string wait = value_in(request.m_target, "waitMs");
    const auto last = std::chrono::steady_clock::now() +
                      milliseconds{wait.empty() ? 0 : std::stoi(wait)};
    json::array rows;
    while (true)
    {
        if (since > m_version || m_down)
        {
            http_response response;
            response.m_status = m_down ? 503 : 410;
            co_await answer(exchange, std::move(response));
            co_return;
        }
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
    if (table == "servers")
    {
        for (const std::string& odd : m_odd_rows)
        {
            rows.push_back(json::parse(odd));
        }
    }
    json::object page;
    page["rows"] = std::move(rows);
    page["hasMore"] = false;
    page["ver"] = m_version;
    http_response response = json_body(page);
    co_await answer(exchange, std::move(response));
}

const char* const sample_read_route =
    R"({"name":"read","host":"a.example","prefix":"/read/","routeType":"idempotent",)"
    R"("timeoutMs":2000,"targetLatencyMs":300,"service":"plain","maxAttempts":2})";
const char* const sample_pay_route =
    R"({"name":"pay","host":"a.example","prefix":"/pay/","routeType":"non_idempotent",)"
    R"("timeoutMs":2000,"targetLatencyMs":300,"service":"plain","maxAttempts":1})";
const char* const sample_stream_route =
    R"({"name":"stream","host":"a.example","prefix":"/stream/","routeType":"streaming",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"service":"engine","maxAttempts":1,)"
    R"("gapAimMs":300,"stages":[{"service":"stage","after":[],"bytes":8000}]})";
const char* const sample_resume_route =
    R"({"name":"resume","host":"a.example","prefix":"/resume/","routeType":"streaming",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"service":"engine","maxAttempts":2,)"
    R"("streamResume":true,"gapAimMs":300,)"
    R"("stages":[{"service":"stage","after":[],"bytes":8000}]})";

std::string sample_routes()
{
    return std::string{sample_read_route} + ',' + sample_pay_route + ',' +
           sample_stream_route + ',' + sample_resume_route;
}

std::string sample_configuration(const std::string& routes, std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"plain"},{"name":"engine","engine":)"
           R"({"maxConcurrency":8,"kvTokens":100000}},{"name":"stage","pieces":)"
           R"({"batch":8,"callMs":20,"itemMs":2,"roomMb":1,"handleS":4,"bandwidthMbps":10000}}],)"
           R"("tenants":[{"name":"t","apiKeys":["key"],"priority":0}]})";
}

std::string registry_entry(const worker_standin& worker, std::uint16_t port,
                           const std::string& state)
{
    return json::serialize(
        json::object{{"service", worker.m_service},
                     {"address", worker.m_address + ':' + std::to_string(port)},
                     {"zone", "z1"},
                     {"version", worker.m_version},
                     {"maxConcurrency", 8},
                     {"state", state},
                     {"coldRemainingMs", 0},
                     {"sequence", 1},
                     {"born", worker.m_born}});
}

void worker_standin::start(const asio::any_io_executor& executor)
{
    m_server = std::make_unique<http_server>(
        executor, asio::ip::tcp::endpoint{asio::ip::make_address(m_address), m_port},
        http_limits{},
        [this](http_exchange& exchange)
        {
            return serve(exchange);
        });
    m_server->start();
}

void worker_standin::crash(const asio::any_io_executor& executor)
{
    // The server is kept until the handlers of its connections have ended.
    const std::shared_ptr<http_server> crashed{std::move(m_server)};
    if (crashed == nullptr)
    {
        // Another request has crashed it in the meantime.
        return;
    }
    crashed->close();
    asio::co_spawn(
        executor,
        [this, executor, crashed]() -> asio::awaitable<void>
        {
            co_await pause(m_restart_delay);
            ++m_born;
            start(executor);
        },
        asio::detached);
}

void worker_ledger::add_stream_request(const http_request& request,
                                       const std::string& version)
{
    const std::string id{find_field(request.m_fields, "Attempt-Id")};
    const std::string first{find_field(request.m_fields, "Resumes")};
    std::string& last = m_stream_versions[first.empty() ? id : first];
    const bool goes_on = !find_field(request.m_fields, "Last-Event-Id").empty();
    if (goes_on && !last.empty() && last != version)
    {
        m_joined_streams.push_back(id);
    }
    last = version;
}

void worker_standin::set_limit(const std::string& limit)
{
    const auto now = std::chrono::steady_clock::now();
    constexpr milliseconds time_to_tell{1000};
    if (m_limit_named_at && now - *m_limit_named_at > time_to_tell)
    {
        const auto begin = *m_limit_named_at + time_to_tell;
        const auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), begin);
        m_ledger->m_limited_times.push_back(
            {m_id, std::stod(m_limit),
             std::chrono::duration_cast<milliseconds>(now - begin),
             static_cast<std::size_t>(m_arrivals.end() - first)});
    }
    m_limit = limit;
    m_limit_named_at.reset();
}

asio::awaitable<void> worker_standin::serve(http_exchange& exchange)
{
    const std::string target = exchange.request().m_target;
    m_arrivals.push_back(std::chrono::steady_clock::now());
    if (target == "/stage-run")
    {
        co_await make_pieces(exchange);
        co_return;
    }
    if (target == "/stage-free")
    {
        co_await pass_call_silence(m_ledger->m_silences, silence_phase::in_release,
                                   exchange.request().m_body);
        const auto body = json::parse(exchange.request().m_body);
        m_released += static_cast<int>(body.at("handles").as_array().size());
        http_response response;
        add_notices(response.m_fields);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await run_request(exchange);
}

void worker_standin::add_notices(http_fields& fields, unsigned status)
{
    const std::size_t before = fields.size();
    if (m_says_leaving)
    {
        fields.emplace_back("Server-Leaving", "1");
    }
    if (!m_limit.empty())
    {
        // Of other responses, a host cannot tell whose word they are.
        if (m_mode == worker_mode::normal)
        {
            m_limit_named_at =
                m_limit_named_at.value_or(std::chrono::steady_clock::now());
        }
        fields.emplace_back("Server-Limit", m_limit);
    }
    constexpr unsigned unavailable = 503;
    if (status == unavailable && !m_retry_after.empty())
    {
        fields.emplace_back("Retry-After", m_retry_after);
    }
    if (fields.size() > before)
    {
        m_notice_given_at = m_notice_given_at.value_or(std::chrono::steady_clock::now());
    }
}

asio::awaitable<void> worker_standin::make_pieces(http_exchange& exchange)
{
    const auto body = json::parse(exchange.request().m_body);
    const auto& items = body.at("items").as_array();
    ++m_calls;
    m_most_pieces = std::max(m_most_pieces, items.size());
    if (m_pieces_status != 200)
    {
        http_response declined;
        declined.m_status = m_pieces_status;
        add_notices(declined.m_fields, declined.m_status);
        co_await exchange.respond(std::move(declined));
        co_return;
    }
    const bool crashes = !m_crash_piece_key.empty() &&
                         std::any_of(items.begin(), items.end(),
                                     [this](const json::value& item)
                                     {
                                         const auto* key =
                                             item.as_object().if_contains("key");
                                         return key != nullptr && key->is_string() &&
                                                key->as_string() == m_crash_piece_key;
                                     });
    if (crashes)
    {
        m_crash_arrivals.push_back(std::chrono::steady_clock::now());
        co_await pause(milliseconds{20});
        crash(co_await asio::this_coro::executor);
        co_return;
    }
    co_await pause(m_delay);
    co_await pass_call_silence(m_ledger->m_silences, silence_phase::in_stage,
                               exchange.request().m_body);
    json::array made;
    for (const auto& item : items)
    {
        if (!m_refuse_pieces.empty())
        {
            made.push_back(json::object{{"why", m_refuse_pieces}});
            continue;
        }
        const std::string handle = m_address + ':' + std::to_string(m_port) + '/' + m_id +
                                   '-' + std::string{item.at("id").as_string()} + '-' +
                                   std::to_string(item.at("stage").as_int64()) + '-' +
                                   std::to_string(item.at("piece").as_int64());
        made.push_back(json::object{{"handle", handle}});
    }
    json::object result;
    result["items"] = std::move(made);
    http_response response = json_body(result);
    add_notices(response.m_fields);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> worker_standin::run_request(http_exchange& exchange)
{
    const http_request request = exchange.request();
    m_seen.push_back(request);
    if (request.m_target.starts_with("/resume"))
    {
        m_ledger->add_stream_request(request, m_version);
    }
    worker_mode mode = m_mode;
    if (!m_script.empty())
    {
        mode = m_script.front();
        m_script.erase(m_script.begin());
    }
    http_response response;
    response.m_fields = proof_of(*this, request);
    response.m_status = mode == worker_mode::decline      ? 503
                        : mode == worker_mode::input_gone ? 409
                                                          : 200;
    add_notices(response.m_fields, response.m_status);
    if (response.m_status != 200)
    {
        response.m_fields.emplace_back("Not-Executed", "1");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++m_runs[std::string{find_field(request.m_fields, "Attempt-Id")}];
    silent_run run{co_await asio::this_coro::executor, exchange, m_ledger->m_silences,
                   m_id};
    if (!m_crash_body.empty() && request.m_body == m_crash_body)
    {
        m_crash_arrivals.push_back(std::chrono::steady_clock::now());
        co_await pause(milliseconds{40});
        crash(co_await asio::this_coro::executor);
        co_return;
    }
    co_await pause(m_delay);
    co_await run.pass(silence_phase::before_head);
    if (has_part(request, m_crash_part))
    {
        m_crash_arrivals.push_back(std::chrono::steady_clock::now());
        co_await exchange.begin_answer(200, std::move(response.m_fields), std::nullopt);
        co_await pause(milliseconds{20});
        crash(co_await asio::this_coro::executor);
        co_return;
    }
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
    if (mode == worker_mode::refuse_after_run)
    {
        response.m_status = m_refusal_status;
        response.m_body.assign(m_refusal_bytes, 'a');
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (run.is_planned(silence_phase::inside_body))
    {
        co_await run.write_document(exchange, std::move(response.m_fields));
        co_return;
    }
    const bool streams = request.m_target.starts_with("/stream") ||
                         request.m_target.starts_with("/resume");
    if (streams && sends_events(mode))
    {
        co_await run_stream(exchange, std::move(response.m_fields), mode, run);
        co_return;
    }
    response.m_body = m_id + ':' + request.m_target + ':' + request.m_body;
    if (mode == worker_mode::document)
    {
        response.m_fields.emplace_back("Content-Type", "application/json");
        response.m_body = large_document();
    }
    if (is_unframed(mode))
    {
        co_await exchange.begin_unframed_answer(200, response.m_fields);
        co_await exchange.write_part(std::move(response.m_body));
        co_await exchange.end_stream();
        co_return;
    }
    if (mode == worker_mode::tear)
    {
        co_await exchange.begin_answer(200, response.m_fields, response.m_body.size());
        co_await exchange.write_part(response.m_body.substr(0, 3));
        exchange.drop();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> worker_standin::run_stream(http_exchange& exchange,
                                                 http_fields fields, worker_mode mode,
                                                 silent_run& run)
{
    const std::string after{find_field(exchange.request().m_fields, "Last-Event-Id")};
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    if (is_unframed(mode))
    {
        co_await exchange.begin_unframed_answer(200, std::move(fields));
    }
    else
    {
        co_await exchange.begin_answer(200, std::move(fields), std::nullopt);
    }
    co_await run.pass(silence_phase::before_first_event);
    for (int event = first; event <= 4 && mode != worker_mode::unframed_empty; ++event)
    {
        const std::string text =
            "id: " + std::to_string(event) + "\ndata: " + std::to_string(event) + "\n\n";
        if (mode == worker_mode::unframed_cut && event == 3)
        {
            co_await exchange.write_part(text.substr(0, 5));
            break;
        }
        if (mode == worker_mode::tear && event == 3)
        {
            // Stops in the middle of an event.
            co_await exchange.write_part(text.substr(0, 5));
            co_await pause(milliseconds{20});
            exchange.drop();
            co_return;
        }
        const bool stops =
            mode == worker_mode::stall || mode == worker_mode::endless_event;
        if (stops && event == 3)
        {
            co_await send_no_events(exchange, mode);
            exchange.drop();
            co_return;
        }
        co_await run.write_event(exchange, text, event);
        co_await pause(milliseconds{mode == worker_mode::slow_stream ? 400 : 10});
    }
    co_await exchange.end_stream();
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

http_request sample_stream(const std::string& target, const std::string& id,
                           int deadline_ms)
{
    http_request request = sample_post(target, id, deadline_ms);
    request.m_fields.emplace_back("Token-Usage", "100,20");
    request.m_fields.emplace_back("Prompt-Prefix", "aa:80,bb:20");
    request.m_fields.emplace_back("Pieces", "3");
    request.m_fields.emplace_back("Piece-Key", "k");
    return request;
}

} // namespace geraniumdoor
