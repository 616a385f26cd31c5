#pragma once

#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumdoor
{

/// Identifies an upstream call within the process that makes it.
using upstream_call_id = strong_number<struct upstream_call_tag>;

struct endpoint
{
    /// Numeric IPv4 or IPv6 address.
    std::string m_ip;
    std::uint16_t m_port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Entry of an upstream in the host list.
struct upstream_record
{
    upstream_id m_id;
    pool_id m_pool;
    data_centre_id m_data_centre;
    endpoint m_endpoint;
    bool m_leaving = false;
};

/// Send the call to the upstream.
struct start_upstream_call
{
    upstream_call_id m_id;
    upstream_id m_upstream;
    endpoint m_endpoint;
    stage_kind m_kind = stage_kind::service;
    milliseconds m_timeout{0};
    stage_call m_call;
};

/// Close the connection of a call; on_upstream_end must still be called for it.
struct abort_upstream_call
{
    upstream_call_id m_id;
};

struct send_chunk
{
    node_id m_to;
    stage_chunk m_message;
};

struct send_result
{
    node_id m_to;
    stage_result m_message;
};

using dispatcher_action =
    std::variant<start_upstream_call, abort_upstream_call, send_chunk, send_result>;

/// How a call to an upstream ended.
struct upstream_call_end
{
    upstream_call_id m_id;
    bool m_answered = false;
    /// none when answered; upstream_error, upstream_timeout, upstream_overloaded or
    /// broken_stream otherwise.
    call_reason m_reason = call_reason::none;
    incarnation m_upstream_incarnation;
    std::string m_output;
    std::uint32_t m_tokens = 0;
    /// False only when no byte of the request was sent.
    bool m_sent = true;
};

/// Load that an upstream reports about itself, with a delay.
struct load_report
{
    upstream_id m_upstream;
    incarnation m_incarnation;
    bool m_cold = false;
    bool m_leaving = false;
    std::uint32_t m_outstanding = 0;
    /// Concurrency that the upstream sustains at present; zero when not reported.
    std::uint32_t m_sustained = 0;
};

} // namespace geraniumdoor
