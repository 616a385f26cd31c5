#pragma once

#include "edge_state.hpp"

#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace geraniumdoor::edge
{

/// Asks for permits to send to upstreams that have named a limit, and issues those of the
/// upstreams for which this host does so. A request that gets none goes to another
/// upstream at once; nothing waits for a permit but for the time of the question.
class send_permits
{
public:
    using datagram_sender =
        std::function<void(const node_address& host, const datagram& message)>;
    using completion = std::function<void(bool granted)>;

    send_permits(edge_state& state, datagram_sender send);

    /// Asks for a permit to send one request. The completion is called exactly once,
    /// maybe from within this call. Whoever gets a permit sends at once or keeps it with
    /// serving::add_permit.
    void ask(const upstream_id& upstream, completion done);

    /// Asks unless a question about the upstream is open. A permit is kept for the next
    /// request, and the callback is called.
    void ask_ahead(const upstream_id& upstream, std::function<void()> on_granted);

    void on_request(const permit_request& request, const node_address& from);
    void on_reply(const permit_reply& reply);

private:
    struct question
    {
        upstream_id m_upstream;
        completion m_done;
        timer_id m_timeout;
    };

    serving::permit_decision issue(serving::upstream& row);
    void finish(std::uint64_t number, const serving::permit_decision& decision);
    void record(const upstream_id& upstream, const serving::permit_decision& decision);

    edge_state& m_state;
    datagram_sender m_send;
    std::unordered_map<std::uint64_t, question> m_questions;
    /// Upstreams with an open question of ask_ahead.
    std::unordered_set<upstream_id> m_ahead;
};

} // namespace geraniumdoor::edge
