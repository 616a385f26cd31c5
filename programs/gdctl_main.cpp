#include "gdctl_client.hpp"
#include "gdctl_print.hpp"
#include "program_support.hpp"

#include <geraniumdoor/config/admin_api.hpp>

#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <iostream>
#include <map>
#include <random>

using namespace geraniumdoor;

namespace
{

namespace json = boost::json;

using words = std::vector<std::string>;

constexpr const char* command_help =
    "import SHEET | show | data-centre out|in NAME | change workspace NAME "
    "priority|weight N | change pool NAME cold_limit|warm_limit N | change-status ID | "
    "hosts | upstreams | in-doubt";

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
                cxxopts::value<std::string>(),
                "ID")("json", "print the answer as JSON")("version", "print the version")(
        "help", "print this text")("command", "", cxxopts::value<words>());
    options.parse_positional({"command"});
    return options;
}

int usage_error(const std::string& message)
{
    std::cerr << "gdctl: " << message << '\n';
    return exit_usage;
}

struct invocation
{
    words m_command;
    std::string m_operator;
    std::string m_change_id;
    bool m_json = false;
};

/// Time and random number, so that ids of two operators do not meet.
std::string new_change_id(const std::string& by)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<milliseconds>(now).count();
    const std::string tail =
        std::to_string(ms) + '-' + std::to_string(std::random_device{}());
    return by.substr(0, max_id_length - tail.size() - 1) + '-' + tail;
}

/// Sends a change and prints its report and the hosts that have it in force.
int send_change(gdctl_client& client, const invocation& call, const std::string& target,
                json::object body)
{
    body["change_id"] = call.m_change_id;
    body["operator"] = call.m_operator;
    const auto answer = client.send("POST", target, json::serialize(body));
    if (!answer)
    {
        std::cerr << "gdctl: no answer; the change may have been made. Ask with: gdctl "
                     "change-status "
                  << call.m_change_id << '\n';
        return exit_failed;
    }
    print_answer(std::cout, *answer, call.m_json);
    if (answer->m_status / 100 == 2 && !call.m_json)
    {
        print_hosts_in_force(std::cout, client, call.m_change_id);
    }
    return answer->m_status == 200 ? exit_ok : exit_failed;
}

int get(gdctl_client& client, const invocation& call, const std::string& target)
{
    const auto answer = client.send("GET", target, "");
    if (!answer)
    {
        std::cerr << "gdctl: --host: no host answered: " << client.last_error() << '\n';
        return exit_failed;
    }
    print_answer(std::cout, *answer, call.m_json);
    return answer->m_status == 200 ? exit_ok : exit_failed;
}

/// Version in force on the first host that answers; changes are based on it.
std::optional<std::uint64_t> version_in_force(gdctl_client& client)
{
    const auto answer = client.send("GET", "/admin/config", "");
    const auto document = parse_answer(answer);
    const auto* object = document ? document->if_object() : nullptr;
    const auto* version = object ? object->if_contains("version") : nullptr;
    boost::json::error_code error;
    const auto number =
        version && version->is_number() ? version->to_number<std::uint64_t>(error) : 0;
    return version && !error ? std::optional{number} : std::nullopt;
}

int import_sheet(gdctl_client& client, const invocation& call)
{
    const auto text = read_text_file(call.m_command[1], max_sheet_bytes);
    if (const auto* error = std::get_if<file_error>(&text))
    {
        return usage_error("import: " + error->m_message);
    }
    json::object body{{"sheet", std::get<std::string>(text)}};
    if (const auto version = version_in_force(client))
    {
        body["base_version"] = *version;
    }
    return send_change(client, call, "/admin/sheet", std::move(body));
}

int set_data_centre(gdctl_client& client, const invocation& call)
{
    const std::string& state = call.m_command[1];
    const std::string& name = call.m_command[2];
    if ((state != "out" && state != "in") || !is_id(name))
    {
        return usage_error("data-centre: accepted are \"out NAME\" and \"in NAME\"");
    }
    return send_change(client, call, "/admin/data-centres/" + name + '/' + state, {});
}

int change(gdctl_client& client, const invocation& call)
{
    static const std::map<std::string, std::string> kinds{{"priority", "workspace"},
                                                          {"weight", "workspace"},
                                                          {"cold_limit", "pool"},
                                                          {"warm_limit", "pool"}};
    const std::string& kind = call.m_command[1];
    const std::string& field = call.m_command[3];
    const std::string& value = call.m_command[4];
    const auto known = kinds.find(field);
    if (known == kinds.end() || known->second != kind)
    {
        return usage_error("change: accepted are workspace NAME priority|weight N and "
                           "pool NAME cold_limit|warm_limit N");
    }
    if (value.empty() || value.size() > 9 ||
        value.find_first_not_of("0123456789") != std::string::npos)
    {
        return usage_error("change: " + field + " must be a whole number");
    }
    json::object body{
        {"kind", kind}, {kind, call.m_command[2]}, {field, std::stoul(value)}};
    if (const auto version = version_in_force(client))
    {
        body["base_version"] = *version;
    }
    return send_change(client, call, "/admin/changes", std::move(body));
}

struct command_form
{
    std::size_t m_words = 1;
    bool m_changes = false;
    int (*m_run)(gdctl_client&, const invocation&) = nullptr;
};

const std::map<std::string, command_form>& command_forms()
{
    static const std::map<std::string, command_form> forms{
        {"import", {2, true, &import_sheet}},
        {"data-centre", {3, true, &set_data_centre}},
        {"change", {5, true, &change}},
        {"show",
         {1, false,
          [](gdctl_client& client, const invocation& call)
          {
              return get(client, call, "/admin/config");
          }}},
        {"change-status",
         {2, false,
          [](gdctl_client& client, const invocation& call)
          {
              return get(client, call,
                         "/admin/changes/" + percent_encode(call.m_command[1]));
          }}},
        {"hosts",
         {1, false,
          [](gdctl_client& client, const invocation& call)
          {
              return get(client, call, "/admin/hosts");
          }}},
        {"upstreams",
         {1, false,
          [](gdctl_client& client, const invocation& call)
          {
              return get(client, call, "/admin/upstreams");
          }}},
        {"in-doubt",
         {1, false,
          [](gdctl_client& client, const invocation& call)
          {
              return get(client, call, "/admin/in-doubt");
          }}},
    };
    return forms;
}

int run(const cxxopts::ParseResult& parsed)
{
    invocation call;
    call.m_command = parsed.count("command") ? parsed["command"].as<words>() : words{};
    call.m_json = parsed.count("json") > 0;
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
