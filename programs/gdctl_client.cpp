#include "gdctl_client.hpp"

#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace geraniumdoor
{

namespace
{

/// Longest answer that is read. The configuration is the longest.
constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;
constexpr milliseconds answer_timeout{5000};

http_limits answer_limits()
{
    http_limits limits;
    limits.m_body_bytes = max_answer_bytes;
    return limits;
}

boost::asio::awaitable<void> get_one(http_client& client, ip_endpoint host,
                                     std::string target, milliseconds timeout,
                                     std::optional<http_response>& answer)
{
    http_request request{"GET", std::move(target), {}, {}};
    http_call_options options;
    options.m_timeout = timeout;
    const boost::asio::ip::tcp::endpoint endpoint{host.m_address, host.m_port};
    auto outcome = co_await client.send(endpoint, std::move(request), std::move(options));
    if (is_ok(outcome))
    {
        answer = value_of(std::move(outcome));
    }
}

} // namespace

gdctl_client::gdctl_client(std::vector<ip_endpoint> hosts) : m_hosts{std::move(hosts)} {}

std::optional<http_response> gdctl_client::send(const std::string& method,
                                                const std::string& target,
                                                const std::string& body)
{
    for (const auto& host : m_hosts)
    {
        if (auto answer = send_to(host, method, target, body))
        {
            return answer;
        }
    }
    return std::nullopt;
}

std::optional<http_response> gdctl_client::send_to(const ip_endpoint& host,
                                                   const std::string& method,
                                                   const std::string& target,
                                                   const std::string& body)
{
    boost::asio::io_context context;
    http_client client{context.get_executor(), answer_limits()};
    std::optional<result<http_response, http_error>> answer;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void>
        {
            http_request request{method, target, {}, body};
            request.m_fields.emplace_back("Content-Type", "application/json");
            http_call_options options;
            options.m_timeout = answer_timeout;
            const boost::asio::ip::tcp::endpoint endpoint{host.m_address, host.m_port};
            answer = co_await client.send(endpoint, std::move(request), options);
            client.close_idle();
        },
        boost::asio::detached);
    context.run_for(answer_timeout * 2);
    if (answer && is_ok(*answer))
    {
        return value_of(std::move(*answer));
    }
    m_last_error = to_text(host) + ": " +
                   (answer ? to_text(error_of(*answer).m_kind) : "no answer in time");
    return std::nullopt;
}

std::vector<std::optional<http_response>>
gdctl_client::get_from_all(const std::vector<ip_endpoint>& hosts,
                           const std::string& target, milliseconds timeout)
{
    boost::asio::io_context context;
    http_client client{context.get_executor(), answer_limits()};
    std::vector<std::optional<http_response>> answers(hosts.size());
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        boost::asio::co_spawn(context,
                              get_one(client, hosts[i], target, timeout, answers[i]),
                              boost::asio::detached);
    }
    context.run();
    return answers;
}

std::optional<boost::json::value> parse_answer(const std::optional<http_response>& answer)
{
    if (!answer)
    {
        return std::nullopt;
    }
    auto document = parse_document(answer->m_body, max_answer_bytes);
    return is_ok(document) ? std::optional{value_of(std::move(document))} : std::nullopt;
}

} // namespace geraniumdoor
