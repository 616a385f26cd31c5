#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/platform/host_list_codec.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
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

    /// Reads the list with a conditional request. Absent when the list is the one that
    /// was read last (status 304).
    boost::asio::awaitable<result<std::optional<host_list>, host_list_error>> read();

    /// Size of the list that was read last, in bytes.
    std::size_t list_bytes() const
    {
        return m_list_bytes;
    }

private:
    http_client& m_http;
    boost::asio::ip::tcp::endpoint m_service;
    milliseconds m_timeout;
    /// Entity tag of the list that was read last; empty when there is none.
    std::string m_tag;
    std::size_t m_list_bytes = 0;
};

} // namespace geraniumdoor
