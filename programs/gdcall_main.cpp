#include "program_support.hpp"

#include <geraniumdoor/config/daemon_settings.hpp>
#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

using namespace geraniumdoor;

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

struct call_options
{
    std::vector<ip_endpoint> m_hosts;
    std::string m_pipeline;
    std::string m_workspace;
    std::string m_input;
    std::string m_key;
    std::optional<std::uint32_t> m_deadline_ms;
    bool m_stream = false;
};

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "gdcall",
        "Sends one pipeline request and prints the answer.\n"
        "Exit codes: 0 whole answer, 1 failed or refused, 2 wrong command line."};
    options.add_options()("host", "caller address of any entry host, IP:PORT; repeatable",
                          cxxopts::value<std::vector<std::string>>(), "IP:PORT")(
        "pipeline", "pipeline to run", cxxopts::value<std::string>(),
        "NAME")("workspace", "workspace of the caller", cxxopts::value<std::string>(),
                "NAME")("input", "input of the first stage, as JSON",
                        cxxopts::value<std::string>()->default_value("null"), "JSON")(
        "key", "idempotency key", cxxopts::value<std::string>()->default_value(""),
        "KEY")("deadline-ms", "deadline; the pipeline's own when absent",
               cxxopts::value<std::uint32_t>(),
               "MS")("stream", "print tokens as they arrive")(
        "version", "print the version and exit")("help", "print this text and exit");
    return options;
}

std::optional<tcp::endpoint> decode_address(const json::value& row)
{
    const json::object* object = row.if_object();
    const json::value* ip = object ? object->if_contains("ip") : nullptr;
    const json::value* port = object ? object->if_contains("port") : nullptr;
    if (ip == nullptr || !ip->is_string() || port == nullptr || !port->is_int64())
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string{ip->get_string()}, error);
    constexpr std::int64_t max_port = 65535;
    if (error || port->get_int64() < 1 || port->get_int64() > max_port)
    {
        return std::nullopt;
    }
    return tcp::endpoint{address, static_cast<unsigned short>(port->get_int64())};
}

/// Addresses of an answer to GET /v1/addresses, in its order.
std::vector<tcp::endpoint> decode_addresses(const std::string& body)
{
    std::vector<tcp::endpoint> addresses;
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* rows = object ? object->if_contains("addresses") : nullptr;
    if (rows == nullptr || !rows->is_array())
    {
        return addresses;
    }
    for (const auto& row : rows->get_array())
    {
        if (const auto address = decode_address(row))
        {
            addresses.push_back(*address);
        }
    }
    return addresses;
}

http_request make_request(const call_options& options)
{
    http_request request;
    request.m_method = "POST";
    request.m_target = "/v1/pipelines/" + percent_encode(options.m_pipeline);
    request.m_fields.emplace_back("Content-Type", "application/json");
    request.m_fields.emplace_back("X-Workspace", options.m_workspace);
    if (!options.m_key.empty())
    {
        request.m_fields.emplace_back("Idempotency-Key", options.m_key);
    }
    if (options.m_deadline_ms)
    {
        request.m_fields.emplace_back("X-Deadline-Ms",
                                      std::to_string(*options.m_deadline_ms));
    }
    if (options.m_stream)
    {
        request.m_fields.emplace_back("Accept", "application/x-ndjson");
    }
    request.m_body = "{\"input\":" + options.m_input + "}";
    return request;
}

/// Asks the hosts in turn for addresses.
asio::awaitable<std::vector<tcp::endpoint>> find_addresses(http_client& http,
                                                           const call_options& options)
{
    for (const auto& host : options.m_hosts)
    {
        const tcp::endpoint address{host.m_address, host.m_port};
        http_request request;
        request.m_target = "/v1/addresses";
        http_call_options call;
        call.m_timeout = milliseconds{1000};
        const auto answer = co_await http.send(address, request, call);
        if (is_ok(answer) && value_of(answer).m_status == 200)
        {
            co_return decode_addresses(value_of(answer).m_body);
        }
        std::cerr << "gdcall: no address answer from " << to_text(host) << '\n';
    }
    co_return std::vector<tcp::endpoint>{};
}

void print_line(std::string_view line)
{
    std::cout << line << '\n' << std::flush;
}

/// Whether another address may be tried: nothing of the request has left.
bool may_try_next(const result<http_response, http_error>& answer)
{
    return !is_ok(answer) && !error_of(answer).m_sent;
}

bool is_done_line(const std::string& line)
{
    boost::system::error_code error;
    const json::value document = json::parse(line, error);
    const json::object* object = error ? nullptr : document.if_object();
    return object != nullptr && object->contains("done");
}

/// Prints a whole answer, and returns the exit code. A stream is whole only with a last
/// line that says so.
int judge_answer(const http_response& answer, bool streamed, const std::string& last_line)
{
    if (answer.m_status != 200 || !streamed)
    {
        print_line(answer.m_body);
        return answer.m_status == 200 ? exit_ok : exit_failed;
    }
    if (!is_done_line(last_line))
    {
        std::cerr << "gdcall: the stream ended without the whole answer\n";
        return exit_failed;
    }
    return exit_ok;
}

asio::awaitable<void> call(http_client& http, const call_options& options, int& status)
{
    const auto addresses = co_await find_addresses(http, options);
    for (const auto& address : addresses)
    {
        http_request request = make_request(options);
        http_call_options call;
        call.m_timeout = milliseconds{options.m_deadline_ms.value_or(30'000) + 1000};
        call.m_fresh_connection = true;
        std::string last_line;
        if (options.m_stream)
        {
            call.m_on_line = [&last_line](std::string_view line)
            {
                last_line = line;
                print_line(line);
            };
        }
        const auto answer = co_await http.send(address, request, call);
        if (may_try_next(answer))
        {
            continue;
        }
        if (!is_ok(answer))
        {
            std::cerr << "gdcall: " << to_text(error_of(answer).m_kind) << ": "
                      << error_of(answer).m_detail << '\n';
            co_return;
        }
        status = judge_answer(value_of(answer), options.m_stream, last_line);
        co_return;
    }
    std::cerr << "gdcall: no entry host could be reached\n";
}

int usage_error(const std::string& message)
{
    std::cerr << "gdcall: " << message << "; see --help\n";
    return exit_usage;
}

int run(const cxxopts::ParseResult& arguments)
{
    for (const char* name : {"host", "pipeline", "workspace"})
    {
        if (arguments.count(name) == 0)
        {
            return usage_error("the option --" + std::string{name} + " is required");
        }
    }
    if (!arguments.unmatched().empty())
    {
        return usage_error("\"" + arguments.unmatched().front() + "\" is not an option");
    }
    call_options options;
    for (const auto& host : arguments["host"].as<std::vector<std::string>>())
    {
        const auto endpoint = parse_endpoint(host);
        if (!endpoint)
        {
            return usage_error("--host: must be an IP number and a port from 1 to 65535, "
                               "but is \"" +
                               host + '"');
        }
        options.m_hosts.push_back(*endpoint);
    }
    options.m_pipeline = arguments["pipeline"].as<std::string>();
    options.m_workspace = arguments["workspace"].as<std::string>();
    options.m_input = arguments["input"].as<std::string>();
    boost::system::error_code error;
    json::parse(options.m_input, error);
    if (error)
    {
        return usage_error("--input: must be JSON, but " + error.message());
    }
    options.m_key = arguments["key"].as<std::string>();
    options.m_stream = arguments.count("stream") != 0;
    if (arguments.count("deadline-ms") != 0)
    {
        options.m_deadline_ms = arguments["deadline-ms"].as<std::uint32_t>();
    }
    asio::io_context io{1};
    http_client http{io.get_executor(), {}};
    int status = exit_failed;
    asio::co_spawn(io, call(http, options, status), asio::detached);
    io.run();
    return status;
}

} // namespace

int main(int count, char** values)
{
    return run_program("gdcall", count, values, make_options, run);
}
