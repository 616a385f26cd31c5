#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/cluster/messages.hpp>

#include <deque>
#include <functional>

namespace geraniumdoor::edge
{

/// Delivers the results of stages to the hosts that wait for them.
///
/// A connection that falls silent loses what was written to it, and the host at its other
/// end does not learn that anything was sent. Results are therefore kept for a while, and
/// sent again when a connection with their host breaks. That host ignores a result that
/// it has.
class result_delivery
{
public:
    using message_sender = std::function<void(const node_id& host, node_message message)>;

    /// @param retention time after which a connection that carried a result is known to
    /// have delivered it, or is known to be broken
    result_delivery(edge_state& state, message_sender send, milliseconds retention);

    /// Starts the periodic check of kept results.
    void start();

    void send(const node_id& host, pieces_result result);

    /// Sends the latest results of the host again, soon.
    void on_connection_lost(const node_id& host);

    /// The same for one result, if the message is one.
    void on_not_sent(const node_id& host, const node_message& message);

    std::size_t kept_count() const
    {
        return m_kept.size();
    }

private:
    struct kept_result
    {
        node_id m_host;
        pieces_result m_result;
        time_point m_sent_at{};
        /// A connection broke, or none could be opened, since it was sent.
        bool m_is_lost = false;
    };

    void check_kept();

    edge_state& m_state;
    message_sender m_send;
    milliseconds m_retention;
    /// In the order in which they were sent first.
    std::deque<kept_result> m_kept;
};

} // namespace geraniumdoor::edge
