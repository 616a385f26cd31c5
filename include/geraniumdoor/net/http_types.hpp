#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumdoor
{

using http_fields = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    /// Upper-case method, such as "GET".
    std::string m_method = "GET";
    /// Path and query, still percent-encoded.
    std::string m_target = "/";
    http_fields m_fields;
    std::string m_body;
    /// Body that is sent instead of m_body, and shared with other requests; may be null.
    std::shared_ptr<const std::string> m_shared_body = nullptr;
};

struct http_response
{
    unsigned m_status = 200;
    http_fields m_fields;
    std::string m_body;
};

enum class http_error_kind : std::uint8_t
{
    connect_failed,
    /// This process has no descriptor left; nothing is known of the peer.
    no_socket,
    timeout,
    /// The peer closed the connection, or the connection broke.
    closed,
    /// A connection through another host ended; that host or the peer may have ended it.
    tunnel_closed,
    malformed,
    too_large,
    /// The account of memory refuses what the answer takes.
    no_memory,
    aborted,
};

struct http_error
{
    http_error_kind m_kind = http_error_kind::closed;
    /// Whether any byte of the request may have left this process.
    bool m_sent = false;
    std::string m_detail;
};

/// Limits on what a peer may send or keep open.
struct http_limits
{
    std::size_t m_header_bytes = std::size_t{16} * 1024;
    std::size_t m_body_bytes = std::size_t{1024} * 1024;
    std::size_t m_connections = 2000;
    /// Time to receive one whole request, once its first byte has come.
    milliseconds m_receive_timeout{10'000};
    /// Time that an idle connection is kept.
    milliseconds m_idle_timeout{60'000};
};

/// Returns the value of a field, or an empty view. Names compare without case.
std::string_view find_field(const http_fields& fields, std::string_view name);

const char* to_text(http_error_kind kind);

/// Percent-encodes everything but letters, digits and "-._~".
std::string percent_encode(std::string_view text);

/// Returns the decoded text; malformed sequences are kept as they are.
std::string percent_decode(std::string_view text);

} // namespace geraniumdoor
