#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/config/admin_api.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::string_view changes_path = "/admin/changes";
constexpr std::string_view sheet_path = "/admin/sheet";
constexpr std::string_view data_centres_path = "/admin/data-centres/";

constexpr std::string_view hosts_path = "/admin/hosts/";
constexpr std::string_view forget_suffix = "/forget";

/// Time for which an operator's request waits for the outcome of its change.
constexpr milliseconds longest_wait{3000};
constexpr milliseconds look_period{10};

http_response json_response(unsigned status, std::string body)
{
    http_response response;
    response.m_status = status;
    response.m_fields.emplace_back("Content-Type", "application/json");
    response.m_body = std::move(body);
    return response;
}

http_response not_found_response(std::string path, std::string message)
{
    const document_faults faults{document_fault{std::move(path), std::move(message)}};
    return json_response(404, encode_fault_answer(faults, "not_found"));
}

/// Reads the change from the body by the path; the path is one of those above.
result<config_change, document_faults> decode_change(const http_request& request)
{
    const std::string_view target = request.m_target;
    if (target == changes_path)
    {
        return decode_change_request(request.m_body);
    }
    if (target == sheet_path)
    {
        return decode_sheet_request(request.m_body);
    }
    const std::string_view rest = target.substr(data_centres_path.size());
    const auto slash = rest.find('/');
    const std::string name = percent_decode(rest.substr(0, slash));
    const std::string_view state =
        slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
    return decode_state_request(name, state, request.m_body);
}

/// Incarnation that a process which starts now would have.
incarnation process_clock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<milliseconds>(now).count();
    return {static_cast<std::uint64_t>(count)};
}

bool is_forget_path(std::string_view target)
{
    return target.starts_with(hosts_path) && target.ends_with(forget_suffix);
}

bool is_change_path(std::string_view target)
{
    return target == changes_path || target == sheet_path ||
           target.starts_with(data_centres_path);
}

} // namespace

asio::awaitable<http_response> entry_node::change_response(const http_request& request)
{
    auto change = decode_change(request);
    if (!is_ok(change))
    {
        co_return json_response(400, encode_fault_answer(error_of(change)));
    }
    const change_id id = value_of(change).m_id;
    config_actions actions;
    change_report report = submit_change(m_config, std::move(value_of(change)),
                                         std::chrono::steady_clock::now(), actions);
    run(actions);
    const time_point give_up = std::chrono::steady_clock::now() + longest_wait;
    while (report.m_outcome == change_outcome::unknown &&
           std::chrono::steady_clock::now() < give_up)
    {
        asio::steady_timer timer{m_io, look_period};
        co_await timer.async_wait(asio::use_awaitable);
        report = find_change(m_config, id).value_or(report);
    }
    co_return json_response(status_of(report), encode_change_report(report));
}

http_response entry_node::change_status_response(std::string_view target) const
{
    const change_id id{percent_decode(target.substr(changes_path.size() + 1))};
    const auto report = find_change(m_config, id);
    if (!report)
    {
        return not_found_response("change_id", "change \"" + id.m_value +
                                                   "\" is not known on this host");
    }
    return json_response(status_of(*report), encode_change_report(*report));
}

/// A process that still answers is not declared gone: its upstreams would be taken over
/// while it dispatches to them.
http_response entry_node::forget_host_response(const http_request& request)
{
    std::string_view rest = request.m_target;
    rest.remove_prefix(hosts_path.size());
    rest.remove_suffix(std::min(rest.size(), forget_suffix.size()));
    const auto slash = std::min(rest.find('/'), rest.size());
    const node_id node{percent_decode(rest.substr(0, slash))};
    const std::string_view number = rest.substr(std::min(slash + 1, rest.size()));
    const member_update* known = find_member(m_membership, node);
    const incarnation latest = known != nullptr ? known->m_incarnation : process_clock();
    const auto decoded =
        decode_forget_request(node.m_value, number, latest, request.m_body);
    if (!is_ok(decoded))
    {
        return json_response(400, encode_fault_answer(error_of(decoded)));
    }
    const forget_host_request& wanted = value_of(decoded);
    const bool may_run = known != nullptr && known->m_state != member_state::dead &&
                         known->m_state != member_state::left &&
                         wanted.m_incarnation == known->m_incarnation;
    if (may_run)
    {
        const document_faults faults{document_fault{
            "incarnation", "host " + node.m_value + " is " + to_text(known->m_state) +
                               "; only a dead one can be forgotten"}};
        return json_response(409, encode_fault_answer(faults, "host_alive"));
    }
    log_event{"host_declared_gone"}
        .add("node", wanted.m_node)
        .add("incarnation", wanted.m_incarnation)
        .add("operator", wanted.m_operator);
    membership_actions actions;
    declare_gone(m_membership, wanted.m_node, wanted.m_incarnation, m_timers.now(),
                 actions);
    run(actions);
    publish_members();
    const json::object answer{{"node", wanted.m_node.m_value},
                              {"incarnation", wanted.m_incarnation.m_value},
                              {"outcome", "declared gone"}};
    return json_response(200, json::serialize(answer));
}

asio::awaitable<http_response> entry_node::config_response(const http_request& request)
{
    const std::string_view target = request.m_target;
    const bool get = request.m_method == "GET";
    if (get && target == "/admin/config")
    {
        co_return json_response(200, encode_config_answer(m_config));
    }
    if (get && target.starts_with(changes_path) &&
        target.size() > changes_path.size() + 1)
    {
        co_return change_status_response(target);
    }
    if (request.m_method == "POST" && is_change_path(target))
    {
        http_response response = co_await change_response(request);
        co_return response;
    }
    if (request.m_method == "POST" && is_forget_path(target))
    {
        co_return forget_host_response(request);
    }
    co_return not_found_response("path",
                                 "the path does not exist, or not with this method");
}

} // namespace geraniumdoor
