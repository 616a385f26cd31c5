#pragma once

#include "edge_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace geraniumdoor::edge
{

/// Keeps the software versions that began streams at several hosts, and finds the version
/// of a stream that a caller takes up.
class origin_exchange
{
public:
    using datagram_sender =
        std::function<void(const node_address& host, const datagram& message)>;
    using completion = std::function<void(serving::origin_decision decision)>;

    origin_exchange(edge_state& state, datagram_sender send);

    /// Records the version of a stream whose first event this host is about to relay, and
    /// tells other hosts.
    void record(serving::known_origin origin, stream_key stream);

    /// Calls `done` with the version that began a stream, at the latest when other hosts
    /// have not answered in time.
    void ask(stream_key stream, const pool_id& pool, completion done);

    /// Applies changes of the registry. When a second version appears, other hosts are
    /// told of the streams that this host relays.
    void observe_upstreams();

    /// Tells other hosts of the streams of a pool that this host relays.
    void tell_hosts_of_streams(const pool_id& pool);

    void on_report(const origin_report& report);
    void on_request(const origin_request& request, const node_address& from);
    void on_reply(const origin_reply& reply);

private:
    struct question
    {
        stream_key m_stream;
        pool_id m_pool;
        completion m_done;
        serving::origin_answers m_answers;
        timer_id m_timeout{};
    };

    void finish(std::uint64_t number);

    edge_state& m_state;
    datagram_sender m_send;
    std::map<std::uint64_t, question> m_questions;
};

} // namespace geraniumdoor::edge
