#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/dispatch/dispatcher_actions.hpp>
#include <geraniumdoor/platform/stream_reader.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace geraniumdoor
{

class http_client;
class http_call_control;
struct http_error;
struct http_response;

enum class upstream_error_kind : std::uint8_t
{
    bad_address,
    no_answer,
    bad_status,
    malformed,
};

struct upstream_error
{
    upstream_error_kind m_kind = upstream_error_kind::no_answer;
    std::string m_detail;
};

/// Client of upstreams. Sends a call at most once and never retries.
class upstream_client
{
public:
    /// The HTTP client outlives this object; this object outlives its running calls.
    explicit upstream_client(http_client& http);

    /// Runs a call and returns its end. An answer without the echo of the call counts as
    /// failed (upstream_error), and its connection is not used again. Non-idempotent
    /// calls use a connection of their own. The reason of an aborted call is cancelled.
    /// Tokens are passed on for stage_kind::generate alone, whose output is {"text":
    /// ...}.
    boost::asio::awaitable<upstream_call_end> run(start_upstream_call call,
                                                  token_callback on_token);

    /// Closes the connection of a running call; unknown ids are ignored.
    void abort(upstream_call_id id);

    /// Closes the connections of all running calls.
    void abort_all();

    boost::asio::awaitable<result<load_report, upstream_error>>
    read_load(upstream_id upstream, endpoint address, milliseconds timeout);

private:
    using control_pointer = std::shared_ptr<http_call_control>;

    boost::asio::awaitable<upstream_call_end> run_with(const start_upstream_call& call,
                                                       token_callback on_token,
                                                       control_pointer control);
    boost::asio::awaitable<upstream_call_end>
    run_whole(const start_upstream_call& call, std::string body, control_pointer control);
    boost::asio::awaitable<upstream_call_end> run_stream(const start_upstream_call& call,
                                                         std::string body,
                                                         token_callback on_token,
                                                         control_pointer control);

    http_client& m_http;
    table<upstream_call_id, control_pointer> m_running;
};

} // namespace geraniumdoor
