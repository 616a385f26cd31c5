#include "standin_support.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr microseconds freeze_poll{20'000};
constexpr std::size_t body_limit = std::size_t{16} * 1024 * 1024;

json::object host_of_group(const json::object& group, std::int64_t number)
{
    json::object host = group;
    std::string digits = std::to_string(number + 1);
    const auto width = static_cast<std::size_t>(number_or(group, "digits", 2));
    digits.insert(0, width - std::min(width, digits.size()), '0');
    host["id"] = text_of(group, "id_prefix") + digits;
    for (const std::string name : {"port", "admin_port", "peer_port"})
    {
        if (const auto* first = group.if_contains("first_" + name))
        {
            host[name] = first->as_int64() + number;
        }
    }
    if (const auto* centres = group.if_contains("data_centres"))
    {
        const auto& list = centres->as_array();
        host["data_centre"] = list.at(static_cast<std::size_t>(number) % list.size());
    }
    return host;
}

asio::awaitable<void> answer_errors(const http_handler& handler, http_exchange& exchange)
{
    std::string reason;
    try
    {
        co_await handler(exchange);
        co_return;
    }
    catch (const std::exception& error)
    {
        reason = error.what();
    }
    co_await exchange.respond(error_response(400, reason));
}

} // namespace

json::object read_settings(int argc, char** argv)
{
    if (argc != 3 || std::string_view{argv[1]} != "--settings")
    {
        throw std::runtime_error{"usage: PROGRAM --settings FILE"};
    }
    std::ifstream file{argv[2]};
    if (not file)
    {
        throw std::runtime_error{"cannot read the settings file"};
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    json::parse_options options;
    options.allow_comments = true;
    return json::parse(text, {}, options).as_object();
}

double number_or(const json::object& object, std::string_view name, double fallback)
{
    const auto* value = object.if_contains(name);
    return value == nullptr ? fallback : value->to_number<double>();
}

std::string text_of(const json::object& object, std::string_view name)
{
    return std::string{object.at(name).as_string()};
}

std::vector<json::object> expand_groups(const json::object& settings,
                                        std::string_view list)
{
    std::vector<json::object> hosts;
    for (const auto& entry : settings.at(list).as_array())
    {
        const auto& group = entry.as_object();
        if (not group.contains("count"))
        {
            hosts.push_back(group);
            continue;
        }
        for (std::int64_t number = 0; number < group.at("count").as_int64(); ++number)
        {
            hosts.push_back(host_of_group(group, number));
        }
    }
    return hosts;
}

json::object body_of(const http_exchange& exchange)
{
    return json::parse(exchange.request().m_body).as_object();
}

std::string path_of(const http_exchange& exchange)
{
    const std::string& target = exchange.request().m_target;
    return target.substr(0, target.find('?'));
}

std::string query_of(const http_exchange& exchange, const std::string& name)
{
    const std::string& target = exchange.request().m_target;
    const std::string field = "?" + name + "=";
    const auto at = target.find(field);
    return at == std::string::npos ? ""
                                   : percent_decode(target.substr(at + field.size()));
}

http_response json_response(const json::value& body, unsigned status)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

http_response error_response(unsigned status, const std::string& error)
{
    return json_response(json::object{{"error", error}}, status);
}

call_guard::call_guard(asio::any_io_executor executor, http_exchange& exchange)
    : m_state{std::make_shared<state>(state{false, asio::steady_timer{executor}})}
{
    exchange.on_peer_closed(
        [held = m_state]
        {
            held->m_closed = true;
            held->m_timer.cancel();
        });
}

asio::awaitable<bool> call_guard::sleep(microseconds time)
{
    const auto held = m_state;
    if (not held->m_closed && time.count() > 0)
    {
        boost::system::error_code ignored;
        held->m_timer.expires_after(time);
        co_await held->m_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return not held->m_closed;
}

void fault_state::set(const json::object& control)
{
    const std::string fault = text_of(control, "fault");
    const std::vector<std::string> known{
        "none",        "slow", "down", "freeze", "error_rate", "effect_without_answer",
        "lose_answers"};
    if (std::find(known.begin(), known.end(), fault) == known.end())
    {
        throw std::invalid_argument{"unknown fault " + fault};
    }
    m_fault = fault;
    m_delay = microseconds_of(number_or(control, "delay_ms", 0));
    m_probability = number_or(control, "probability", 1);
}

asio::awaitable<bool> fault_state::pass(call_guard& guard) const
{
    while (m_fault == "freeze" && not guard.closed())
    {
        co_await guard.sleep(freeze_poll);
    }
    if (m_fault == "slow")
    {
        co_await guard.sleep(m_delay);
    }
    co_return m_fault != "down";
}

bool fault_state::fails(random_source& random) const
{
    return m_fault == "error_rate" && uniform_unit(random) < m_probability;
}

bool fault_state::loses_answer(random_source& random) const
{
    const bool loses = m_fault == "effect_without_answer" || m_fault == "lose_answers";
    return loses && uniform_unit(random) < m_probability;
}

lagged_value::lagged_value(microseconds lag) : m_lag{lag} {}

void lagged_value::set(json::value value)
{
    m_values.emplace_back(steady_now(), std::move(value));
    read();
}

const json::value& lagged_value::read()
{
    while (m_values.size() > 1 && m_values[1].first + m_lag <= steady_now())
    {
        m_values.pop_front();
    }
    return m_values.front().second;
}

std::unique_ptr<http_server> start_server(asio::any_io_executor executor,
                                          const json::object& settings,
                                          http_handler handler)
{
    const asio::ip::tcp::endpoint address{asio::ip::make_address("127.0.0.1"),
                                          settings.at("port").to_number<std::uint16_t>()};
    http_limits limits;
    limits.m_body_bytes = body_limit;
    auto guarded = [handler = std::move(handler)](http_exchange& exchange)
    {
        return answer_errors(handler, exchange);
    };
    auto server = std::make_unique<http_server>(executor, address, limits, guarded);
    server->start();
    return server;
}

} // namespace geraniumdoor
