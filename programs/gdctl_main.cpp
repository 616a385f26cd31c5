#include "gdctl_commands.hpp"
#include "program_support.hpp"

#include <cxxopts.hpp>

#include <chrono>
#include <iostream>
#include <random>

using namespace geraniumdoor;

namespace
{

using words = std::vector<std::string>;

constexpr const char* command_help =
    "import SHEET | show | data-centre out|in NAME | change workspace NAME "
    "priority|weight N | change pool NAME cold_limit|warm_limit N | change-status ID | "
    "hosts | upstreams | in-doubt | forget-host NODE INCARNATION. At the readiness "
    "address of an edge host: status | hosts | upstreams | queues | "
    "suspects | limits";

cxxopts::Options make_options()
{
    cxxopts::Options options{"gdctl", "Shows and changes a geraniumdoor system.\n"
                                      "Exit codes: 0 done, 1 failed or refused, 2 wrong "
                                      "command line."};
    options.positional_help(command_help);
    options.add_options()("host",
                          "operator address of an entry host, IP:PORT; repeatable, the "
                          "next is tried when one does not answer",
                          cxxopts::value<words>(), "IP:PORT")(
        "operator", "name of the operator, for changes", cxxopts::value<std::string>(),
        "NAME")("change-id", "id of the change, to repeat a request safely",
                cxxopts::value<std::string>(), "ID")("yes", "confirms forget-host")(
        "json", "print the answer as JSON")("version", "print the version")(
        "help", "print this text")("command", "", cxxopts::value<words>());
    options.parse_positional({"command"});
    return options;
}

/// Time and random number, so that ids of two operators do not meet.
std::string new_change_id(const std::string& by)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<milliseconds>(now).count();
    const std::string tail =
        std::to_string(ms) + '-' + std::to_string(std::random_device{}());
    return by.substr(0, max_id_length - tail.size() - 1) + '-' + tail;
}

int run(const cxxopts::ParseResult& parsed)
{
    invocation call;
    call.m_command = parsed.count("command") ? parsed["command"].as<words>() : words{};
    call.m_json = parsed.count("json") > 0;
    call.m_yes = parsed.count("yes") > 0;
    const auto form = call.m_command.empty() ? command_forms().end()
                                             : command_forms().find(call.m_command[0]);
    if (form == command_forms().end() || call.m_command.size() != form->second.m_words)
    {
        return usage_error(std::string{"accepted commands: "} + command_help);
    }
    const auto hosts = parsed.count("host") ? parsed["host"].as<words>() : words{};
    std::vector<ip_endpoint> endpoints;
    for (const auto& host : hosts)
    {
        const auto endpoint = parse_endpoint(host);
        if (!endpoint)
        {
            return usage_error("--host: must be an IP number and a port from 1 to 65535, "
                               "but is \"" +
                               host + '"');
        }
        endpoints.push_back(*endpoint);
    }
    if (endpoints.empty())
    {
        return usage_error("--host: at least one IP:PORT must be given");
    }
    call.m_operator =
        parsed.count("operator") ? parsed["operator"].as<std::string>() : "";
    if (form->second.m_changes && !is_id(call.m_operator))
    {
        return usage_error("--operator: must be 1 to 64 letters, digits, \".\", \"_\" or "
                           "\"-\" for a change");
    }
    call.m_change_id = parsed.count("change-id") ? parsed["change-id"].as<std::string>()
                                                 : new_change_id(call.m_operator);
    if (!is_id(call.m_change_id))
    {
        return usage_error("--change-id: must be 1 to 64 letters, digits, \".\", \"_\" "
                           "or \"-\"");
    }
    gdctl_client client{std::move(endpoints)};
    return form->second.m_run(client, call);
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help"))
        {
            std::cout << options.help() << '\n';
            return exit_ok;
        }
        if (parsed.count("version"))
        {
            std::cout << "gdctl " << GD_VERSION << '\n';
            return exit_ok;
        }
        return run(parsed);
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        return usage_error(failure.what());
    }
}
