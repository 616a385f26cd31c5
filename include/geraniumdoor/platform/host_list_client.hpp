#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/platform/host_list_codec.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace geraniumdoor
{

class http_client;

enum class host_list_error_kind : std::uint8_t
{
    no_answer,
    bad_status,
    malformed,
};

struct host_list_error
{
    host_list_error_kind m_kind = host_list_error_kind::no_answer;
    std::string m_detail;
};

/// Client of the platform's host list.
class host_list_client
{
public:
    /// The HTTP client outlives this object.
    host_list_client(http_client& http, boost::asio::ip::tcp::endpoint service,
                     milliseconds timeout);

    boost::asio::awaitable<result<host_list, host_list_error>> read();

private:
    http_client& m_http;
    boost::asio::ip::tcp::endpoint m_service;
    milliseconds m_timeout;
};

} // namespace geraniumdoor
