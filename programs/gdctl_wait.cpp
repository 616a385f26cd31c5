#include "gdctl_wait.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace geraniumdoor
{

namespace
{

namespace json = boost::json;

/// Time between two rounds of questions.
constexpr milliseconds ask_period{100};
/// Time after which a host counts as silent in one round.
constexpr milliseconds host_timeout{1000};
constexpr unsigned status_not_found = 404;

std::string text_field(const json::value& row, std::string_view name)
{
    const auto* object = row.if_object();
    const auto* value = object ? object->if_contains(name) : nullptr;
    const auto* text = value ? value->if_string() : nullptr;
    return text ? std::string{*text} : std::string{};
}

std::string outcome_of(const std::optional<http_response>& answer)
{
    const auto document = parse_answer(answer);
    return document ? text_field(*document, "outcome") : std::string{};
}

host_change state_of(std::string host, const std::optional<http_response>& answer)
{
    if (!answer)
    {
        return {std::move(host), "no answer", false};
    }
    if (answer->m_status == status_not_found)
    {
        return {std::move(host), "not yet in force", false};
    }
    const std::string outcome = outcome_of(answer);
    if (outcome == "accepted")
    {
        return {std::move(host), "in force", true};
    }
    if (outcome == "in force, not yet stored")
    {
        return {std::move(host), "in force, not yet stored", true};
    }
    return {std::move(host), outcome.empty() ? "unreadable answer" : outcome, false};
}

std::vector<host_change> ask_hosts(gdctl_client& client, const std::string& target,
                                   milliseconds timeout)
{
    const auto document = parse_answer(client.send("GET", "/admin/hosts", ""));
    const auto* object = document ? document->if_object() : nullptr;
    const auto* list = object ? object->if_contains("hosts") : nullptr;
    std::vector<std::string> names;
    std::vector<ip_endpoint> addresses;
    std::vector<host_change> hosts;
    for (const auto& row : list && list->is_array() ? list->get_array() : json::array{})
    {
        const auto address = parse_endpoint(text_field(row, "admin_address"));
        if (!address)
        {
            hosts.push_back({text_field(row, "id"), "no operator address", false});
            continue;
        }
        names.push_back(text_field(row, "id"));
        addresses.push_back(*address);
    }
    const auto answers = gdctl_client::get_from_all(addresses, target, timeout);
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        hosts.push_back(state_of(names[i], answers[i]));
    }
    return hosts;
}

} // namespace

bool change_wait::in_force_everywhere() const
{
    return !m_hosts.empty() && std::all_of(m_hosts.begin(), m_hosts.end(),
                                           [](const host_change& host)
                                           {
                                               return host.m_in_force;
                                           });
}

change_wait wait_for_change(gdctl_client& client, const std::string& change,
                            milliseconds longest)
{
    using clock = std::chrono::steady_clock;
    const auto end = clock::now() + longest;
    const std::string target = "/admin/changes/" + percent_encode(change);
    while (true)
    {
        change_wait wait;
        wait.m_report = client.send("GET", target, "");
        const std::string outcome = outcome_of(wait.m_report);
        wait.m_accepted = outcome == "accepted";
        wait.m_refused = outcome == "refused";
        if (wait.m_refused)
        {
            return wait;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(end - clock::now());
        wait.m_hosts =
            ask_hosts(client, target, std::clamp(left, ask_period, host_timeout));
        const bool done = wait.m_accepted && wait.in_force_everywhere();
        if (done || clock::now() + ask_period >= end)
        {
            return wait;
        }
        std::this_thread::sleep_for(ask_period);
    }
}

} // namespace geraniumdoor
