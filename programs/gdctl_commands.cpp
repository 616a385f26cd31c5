#include "gdctl_commands.hpp"

#include "gdctl_print.hpp"
#include "gdctl_wait.hpp"
#include "program_support.hpp"

#include <geraniumdoor/config/admin_api.hpp>

#include <boost/json/serialize.hpp>

#include <iostream>

namespace geraniumdoor
{

namespace
{

namespace json = boost::json;

/// Time for which a change is waited for on all hosts. A change is in force within 3 s at
/// nine nodes.
constexpr milliseconds longest_wait{5000};

void print_change(const invocation& call, const http_response& report,
                  const change_wait& wait)
{
    const auto document = parse_answer(report);
    const auto* object = document ? document->if_object() : nullptr;
    if (call.m_json && object != nullptr)
    {
        json::object whole = *object;
        whole["hosts"] = to_rows(wait.m_hosts);
        std::cout << json::serialize(whole) << '\n';
        return;
    }
    print_answer(std::cout, report, call.m_json);
    if (!call.m_json && !wait.m_hosts.empty())
    {
        print_hosts(std::cout, wait.m_hosts);
    }
}

/// Tells which hosts do not have the change, and returns the exit code.
int judge_change(const invocation& call, const change_wait& wait)
{
    if (wait.m_refused)
    {
        return exit_failed;
    }
    if (wait.m_hosts.empty())
    {
        std::cerr << "gdctl: no list of hosts was answered, so it is not known where "
                     "change "
                  << call.m_change_id << " is in force\n";
        return exit_failed;
    }
    std::string missing;
    for (const auto& host : wait.m_hosts)
    {
        if (!host.m_in_force)
        {
            missing +=
                (missing.empty() ? "" : ", ") + host.m_host + " (" + host.m_state + ')';
        }
    }
    if (!missing.empty())
    {
        std::cerr << "gdctl: change " << call.m_change_id << " is not in force after "
                  << longest_wait.count() << " ms on: " << missing << '\n';
        return exit_failed;
    }
    if (!wait.m_accepted)
    {
        std::cerr << "gdctl: change " << call.m_change_id
                  << " is in force, not yet stored; it is stored when the table service "
                     "is back\n";
    }
    return exit_ok;
}

/// Sends a change, waits until it is in force, and prints its report and the hosts.
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
    if (answer->m_status / 100 != 2)
    {
        print_answer(std::cout, *answer, call.m_json);
        return exit_failed;
    }
    const auto wait = wait_for_change(client, call.m_change_id, longest_wait);
    print_change(call, wait.m_report.value_or(*answer), wait);
    return judge_change(call, wait);
}

/// Declares a process gone for good.
int forget_host(gdctl_client& client, const invocation& call)
{
    const std::string& node = call.m_command[1];
    const std::string& number = call.m_command[2];
    if (!is_id(node) || number.empty() ||
        number.find_first_not_of("0123456789") != std::string::npos)
    {
        return usage_error("forget-host: NODE must be the name of a host and "
                           "INCARNATION a whole number, as gdctl hosts shows them");
    }
    if (!call.m_yes)
    {
        return usage_error("forget-host: declares " + node + " incarnation " + number +
                           " and all earlier ones ended for good. If such a process "
                           "still runs, its upstreams may receive more work than they "
                           "can carry. Add --yes when it has certainly ended");
    }
    const json::object body{{"operator", call.m_operator}};
    const auto answer = client.send(
        "POST", "/admin/hosts/" + node + '/' + number + "/forget", json::serialize(body));
    if (!answer)
    {
        std::cerr << "gdctl: --host: no host answered: " << client.last_error() << '\n';
        return exit_failed;
    }
    print_answer(std::cout, *answer, call.m_json);
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

/// Prints what a host knows of the command's subject.
int show(gdctl_client& client, const invocation& call)
{
    const std::string& subject = call.m_command[0];
    return get(client, call, "/admin/" + (subject == "show" ? "config" : subject));
}

int show_change(gdctl_client& client, const invocation& call)
{
    return get(client, call, "/admin/changes/" + percent_encode(call.m_command[1]));
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

} // namespace

int usage_error(const std::string& message)
{
    std::cerr << "gdctl: " << message << '\n';
    return exit_usage;
}

const std::map<std::string, command_form>& command_forms()
{
    static const std::map<std::string, command_form> forms{
        {"import", {2, true, &import_sheet}},
        {"data-centre", {3, true, &set_data_centre}},
        {"change", {5, true, &change}},
        {"forget-host", {3, true, &forget_host}},
        {"change-status", {2, false, &show_change}},
        {"show", {1, false, &show}},
        {"status", {1, false, &show}},
        {"hosts", {1, false, &show}},
        {"upstreams", {1, false, &show}},
        {"queues", {1, false, &show}},
        {"suspects", {1, false, &show}},
        {"limits", {1, false, &show}},
        {"in-doubt", {1, false, &show}},
    };
    return forms;
}

} // namespace geraniumdoor
