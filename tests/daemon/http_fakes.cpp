#include "http_fakes.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
namespace json = boost::json;

http_response json_answer(const json::value& body)
{
    http_response response;
    response.m_body = json::serialize(body);
    return response;
}

json::object http_table::row(const std::string& key) const
{
    const auto at = m_rows.find(key);
    const bool found = at != m_rows.end();
    return {{"key", key},
            {"version", found ? at->second.first : 0},
            {"value", found ? at->second.second : ""}};
}

json::object http_table::scan(const std::string& prefix) const
{
    json::array rows;
    for (const auto& [key, value] : m_rows)
    {
        if (key.starts_with(prefix))
        {
            rows.emplace_back(row(key));
        }
    }
    return {{"rows", std::move(rows)}};
}

json::object http_table::transact(const json::object& body)
{
    json::array conflicts;
    for (const auto& check : body.at("checks").as_array())
    {
        auto found = row(json::value_to<std::string>(check.at("key")));
        if (found.at("version").to_number<std::uint64_t>() !=
            check.at("version").to_number<std::uint64_t>())
        {
            conflicts.emplace_back(std::move(found));
        }
    }
    if (not conflicts.empty())
    {
        return {{"committed", false}, {"conflicts", std::move(conflicts)}};
    }
    json::object versions;
    for (const auto& write : body.at("writes").as_array())
    {
        const auto key = json::value_to<std::string>(write.at("key"));
        m_rows.erase(key);
        versions[key] = 0;
        if (const auto* value = write.as_object().if_contains("value"))
        {
            m_rows[key] = {++m_last_version, json::value_to<std::string>(*value)};
            versions[key] = m_last_version;
        }
    }
    return {{"committed", true}, {"versions", std::move(versions)}};
}

std::vector<claim_row> http_table::claims() const
{
    std::vector<claim_row> found;
    for (const auto& [key, value] : m_rows)
    {
        if (key.starts_with(claim_prefix))
        {
            found.push_back(value_of(parse_claim_row(value.second)));
        }
    }
    return found;
}

asio::awaitable<void> http_table::serve(http_exchange& exchange)
{
    const std::string target = exchange.request().m_target;
    json::object answer;
    if (target == "/v1/txn")
    {
        const auto body = json::parse(exchange.request().m_body).as_object();
        answer = transact(body);
        const bool claims = exchange.request().m_body.find("claim/") != std::string::npos;
        if (claims && m_lost_answers > 0)
        {
            --m_lost_answers;
            exchange.drop();
            co_return;
        }
    }
    else if (target.starts_with("/v1/rows/"))
    {
        answer = row(percent_decode(target.substr(9)));
    }
    else
    {
        answer = scan(percent_decode(target.substr(target.find('=') + 1)));
    }
    auto response = json_answer(answer);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> http_upstream::serve(http_exchange& exchange)
{
    if (exchange.request().m_target == "/v1/run")
    {
        co_await run_call(exchange);
        co_return;
    }
    auto response = json_answer(json::object{
        {"incarnation", 1}, {"state", "warm"}, {"outstanding", 0}, {"sustained", 8}});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> http_upstream::run_call(http_exchange& exchange)
{
    const auto call = json::parse(exchange.request().m_body).as_object();
    const auto input = json::serialize(call.at("input"));
    const auto operation = json::value_to<std::string>(call.at("operation"));
    ++m_executions[operation + input];
    m_last_call = std::chrono::steady_clock::now();
    asio::steady_timer timer{co_await asio::this_coro::executor, m_delay};
    co_await timer.async_wait(asio::use_awaitable);
    json::object head{{"request_id", call.at("request_id")},
                      {"stage", call.at("stage")},
                      {"attempt", call.at("attempt")},
                      {"incarnation", 1}};
    if (m_pool != "llm")
    {
        head["output"] = operation + "(" + input + ")";
        auto response = json_answer(head);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    std::string type{"application/x-ndjson"};
    co_await exchange.begin_stream(200, std::move(type));
    std::string lines = json::serialize(head) + "\n";
    const auto from = call.at("tokens").as_array().size();
    for (std::size_t index = from; index < 3; ++index)
    {
        const json::object token{{"index", index}, {"token", std::string(1, 'x')}};
        lines += json::serialize(token) + "\n";
    }
    lines += "{\"done\":true,\"tokens\":3}\n";
    co_await exchange.write_part(std::move(lines));
    co_await exchange.end_stream();
}

} // namespace geraniumdoor::test
