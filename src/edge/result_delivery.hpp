#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/cluster/messages.hpp>

#include <deque>
#include <functional>

namespace geraniumdoor::edge
{

/// Delivers what hosts tell each other about the results of stages: results to the host
/// that waits for them, and releases and cancellations to the host that ran the queue.
///
/// A connection that falls silent loses what was written to it, and the host at its other
/// end does not learn that anything was sent. These messages are therefore kept for a
/// while, and sent again when a connection with their host breaks. Each has no further
/// effect when it arrives twice.
class result_delivery
{
public:
    using message_sender = std::function<void(const node_id& host, node_message message)>;

    /// @param retention time after which a connection that carried a message is known to
    /// have delivered it, or is known to be broken
    result_delivery(edge_state& state, message_sender send, milliseconds retention);

    /// Starts the periodic check of kept messages.
    void start();

    /// Sends a message of any kind; only those about results are kept.
    void send(const node_id& host, node_message message);

    /// Sends the result of a job again, soon, if it is still kept. A host that submits
    /// the job once more has not got it.
    /// @return whether the job has a kept result
    bool send_result_again(const node_id& host, std::uint64_t job);

    /// Sends the latest messages to the host again, soon.
    void on_connection_lost(const node_id& host);

    /// The same for one message.
    void on_not_sent(const node_id& host, const node_message& message);

    std::size_t kept_count() const
    {
        return m_kept.size();
    }

private:
    struct kept_message
    {
        node_id m_host;
        node_message m_message;
        time_point m_sent_at{};
        /// A connection broke, or none could be opened, since it was sent.
        bool m_is_lost = false;
    };

    void check_kept();

    edge_state& m_state;
    message_sender m_send;
    milliseconds m_retention;
    /// In the order in which they were sent first.
    std::deque<kept_message> m_kept;
};

} // namespace geraniumdoor::edge
