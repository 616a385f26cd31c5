#pragma once

#include "load_outcome.hpp"

#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// Callers that send to entry hosts. Each keeps its address answer for the time that the
/// answer allows, and asks again with the same idempotency key when a connection breaks.
class entry_callers
{
public:
    entry_callers(http_client& http, const load_deployment& deployment,
                  std::vector<boost::asio::ip::tcp::endpoint> hosts);

    /// Runs one request and writes its end to the outcome.
    boost::asio::awaitable<void> run(const load_arrival& arrival, time_point arrived,
                                     load_outcome& outcome);

private:
    struct caller
    {
        std::vector<boost::asio::ip::tcp::endpoint> m_addresses;
        time_point m_expires{};
    };

    boost::asio::awaitable<void> refresh(caller& own);
    boost::asio::awaitable<bool> try_address(const load_arrival& arrival,
                                             boost::asio::ip::tcp::endpoint address,
                                             time_point deadline, load_outcome& outcome);

    http_client& m_http;
    const load_deployment& m_deployment;
    std::vector<boost::asio::ip::tcp::endpoint> m_hosts;
    std::size_t m_next_host = 0;
    std::size_t m_next_caller = 0;
    std::vector<caller> m_callers;
};

/// Calls the upstreams without the system: round robin over a pool, a fixed time-out for
/// each call, a number of retries at once, no limit on outstanding calls.
class direct_callers
{
public:
    direct_callers(http_client& http, const load_deployment& deployment,
                   unsigned retries);

    boost::asio::awaitable<void> run(const load_arrival& arrival, time_point arrived,
                                     load_outcome& outcome);

private:
    struct stage_step
    {
        const load_arrival* m_arrival = nullptr;
        std::uint32_t m_index = 0;
        unsigned m_attempt = 0;
        std::string m_input;
    };

    /// Returns the output of the stage, or an empty text.
    boost::asio::awaitable<std::string> call(stage_step step, load_outcome& outcome);

    const load_upstream& next_of(const std::string& pool);

    http_client& m_http;
    const load_deployment& m_deployment;
    unsigned m_retries;
    std::map<std::string, std::size_t> m_next;
};

} // namespace geraniumdoor
