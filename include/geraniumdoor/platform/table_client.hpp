#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumdoor
{

class http_client;

enum class table_error_kind : std::uint8_t
{
    /// No byte of the request has left this process.
    not_sent,
    /// The request left, but no usable answer came.
    no_answer,
    /// The service is up and refused the request as malformed; nothing was written.
    refused,
};

struct table_error
{
    table_error_kind m_kind = table_error_kind::no_answer;
    std::string m_detail;
};

/// Client of the platform's transactional table service.
class table_client
{
public:
    /// The HTTP client outlives this object.
    table_client(http_client& http, boost::asio::ip::tcp::endpoint service,
                 milliseconds timeout);

    /// Runs the transaction once, without a retry. An error means that nothing was
    /// written: its kind is not_sent or refused. Everything that leaves the effect open
    /// (a lost or malformed answer, a timeout, a status of 500 or more) is
    /// table_outcome::unknown.
    boost::asio::awaitable<result<table_transaction_end, table_error>>
    run(table_transaction transaction);

    /// Reads one row; a missing row has version zero.
    boost::asio::awaitable<result<table_row, table_error>> read(std::string key);

    /// Reads all rows whose key starts with the prefix.
    boost::asio::awaitable<result<std::vector<table_row>, table_error>>
    scan(std::string prefix);

private:
    boost::asio::awaitable<result<std::string, table_error>> get(std::string target);

    http_client& m_http;
    boost::asio::ip::tcp::endpoint m_service;
    milliseconds m_timeout;
};

} // namespace geraniumdoor
