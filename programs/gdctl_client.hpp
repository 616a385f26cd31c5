#pragma once

#include <geraniumdoor/config/daemon_settings.hpp>
#include <geraniumdoor/net/http_types.hpp>

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// Sends requests to the operator API. Blocks until the answer has come.
class gdctl_client
{
public:
    explicit gdctl_client(std::vector<ip_endpoint> hosts);

    /// Asks the hosts in their order until one answers. A change carries an id, so that
    /// sending it to the next host does not make it twice.
    std::optional<http_response> send(const std::string& method,
                                      const std::string& target, const std::string& body);

    /// Asks one host.
    std::optional<http_response> send_to(const ip_endpoint& host,
                                         const std::string& method,
                                         const std::string& target,
                                         const std::string& body);

    /// Asks all hosts at the same time. The answers are in the order of the hosts; one
    /// that did not come within the timeout is absent.
    static std::vector<std::optional<http_response>>
    get_from_all(const std::vector<ip_endpoint>& hosts, const std::string& target,
                 milliseconds timeout);

    const std::string& last_error() const
    {
        return m_last_error;
    }

private:
    std::vector<ip_endpoint> m_hosts;
    std::string m_last_error;
};

/// Body of an answer as JSON; absent when there is none.
std::optional<boost::json::value>
parse_answer(const std::optional<http_response>& answer);

} // namespace geraniumdoor
