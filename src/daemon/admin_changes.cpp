#include "entry_node.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/config/admin_api.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string_view>
#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view changes_path = "/admin/changes";
constexpr std::string_view sheet_path = "/admin/sheet";
constexpr std::string_view data_centres_path = "/admin/data-centres/";

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

http_response fault_response(unsigned status, std::string path, std::string message)
{
    const document_faults faults{document_fault{std::move(path), std::move(message)}};
    return json_response(status, encode_fault_answer(faults));
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
        return fault_response(404, "change_id",
                              "change \"" + id.m_value + "\" is not known on this host");
    }
    return json_response(status_of(*report), encode_change_report(*report));
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
    co_return fault_response(404, "path",
                             "the path does not exist, or not with this method");
}

} // namespace geraniumdoor
