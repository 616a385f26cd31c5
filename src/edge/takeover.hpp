#pragma once

#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/serving/silence.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace geraniumdoor::edge
{

/// Operation on a connection to an upstream that another coroutine awaits. It may end
/// after the request that started it.
struct pending_operation
{
    bool m_ended = false;
    /// Null once the request does not wait any more.
    boost::asio::steady_timer* m_wake_timer = nullptr;

    void end()
    {
        m_ended = true;
        if (m_wake_timer != nullptr)
        {
            m_wake_timer->cancel();
        }
    }
};

template<class Value>
struct upstream_reply : pending_operation
{
    std::optional<result<Value, http_error>> m_result;
};

using head_reply = upstream_reply<http_answer_head>;

/// Search for an upstream that takes a request over from a silent one. The request moves
/// once the successor is known, connected and permitted, its inputs exist, and it has
/// not declined the request at once.
struct takeover
{
    /// When the search began; empty while the present upstream is not overdue.
    std::optional<time_point> m_began_at;
    /// Successor; empty while none is chosen.
    upstream_id m_upstream;
    std::shared_ptr<http_call> m_call;
    std::shared_ptr<upstream_reply<done>> m_connection;
    /// Response of the successor; null until the request has been sent to it.
    std::shared_ptr<head_reply> m_head;
    /// Registry entry of the successor when the request was sent to it.
    serving::upstream_entry m_entry;
    time_point m_sent_at{};
    /// Upstreams that could not be reached or have declined the request.
    std::vector<upstream_id> m_excluded;
    /// The inputs are being made again, or have been in the course of this search.
    bool m_preparing = false;
    bool m_inputs_requested = false;
    /// Earliest time of the next attempt to prepare them, or to connect.
    time_point m_next_try{};
    /// What the successor lacks, for the log.
    const char* m_missing = "";
};

/// Whether the connection to the successor is open.
inline bool is_connected(const takeover& search)
{
    return search.m_connection && search.m_connection->m_ended &&
           is_ok(*search.m_connection->m_result);
}

/// Closes the connection to the successor, whose pending operations then end.
inline void close_connection(takeover& search)
{
    if (search.m_call)
    {
        search.m_call->close();
    }
    search.m_call.reset();
    search.m_connection.reset();
    search.m_head.reset();
}

} // namespace geraniumdoor::edge
