#pragma once

#include <geraniumdoor/net/http_server.hpp>
#include <geraniumdoor/request/claim_rows.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

http_response json_answer(const boost::json::value& body);

/// Table service over HTTP, in memory.
struct http_table
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_rows;
    std::uint64_t m_last_version = 0;
    /// Writes of claims whose answers are lost after they took effect.
    int m_lost_answers = 0;

    boost::json::object row(const std::string& key) const;
    boost::json::object scan(const std::string& prefix) const;
    boost::json::object transact(const boost::json::object& body);

    boost::asio::awaitable<void> serve(http_exchange& exchange);

    /// Claims in the table.
    std::vector<claim_row> claims() const;
};

/// Upstream that answers "operation(input)", or its letters as tokens.
struct http_upstream
{
    std::string m_id;
    std::string m_pool;
    std::string m_data_centre;
    std::uint16_t m_port = 0;
    milliseconds m_delay{0};
    /// Executions by input, whether or not their answers arrived.
    std::map<std::string, int> m_executions;
    time_point m_last_call;
    std::unique_ptr<http_server> m_server;

    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> run_call(http_exchange& exchange);
};

} // namespace geraniumdoor::test
