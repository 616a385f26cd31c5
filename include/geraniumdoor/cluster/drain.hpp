#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace geraniumdoor
{

/// Phases of a planned stop, in order. The node serves callers until it closes.
enum class drain_phase : std::uint8_t
{
    running,
    /// Withdrawn from address answers; the lease is being transferred.
    transferring,
    /// Callers may still hold an answer that names the node.
    serving_out,
    /// No caller may come any more; the last work is ending.
    finishing,
    closed,
};

const char* to_text(drain_phase phase);

struct drain_settings
{
    /// Longest pipeline deadline, from the configuration.
    milliseconds m_longest_deadline{3000};
    /// Bound on the transfer. The lease then stays with the node until it expires, so
    /// that the stop of a node without reachable successor ends as well.
    milliseconds m_transfer_timeout{20'000};
    /// Bound on work that does not end by its deadline.
    milliseconds m_finish_timeout{10'000};
};

/// What the node reports at each step.
struct drain_inputs
{
    /// Caller exchanges that are not answered yet.
    std::uint32_t m_active_exchanges = 0;
    /// Own calls to upstreams, and calls of other coordinators through this owner.
    std::uint32_t m_own_calls = 0;
    /// All leases are held by successors, or the node held none.
    bool m_lease_transferred = false;
    /// Follow-ups, claim writes and outstanding counts that still have to leave.
    std::uint32_t m_unsent_records = 0;
};

struct drain_state
{
    drain_settings m_settings;
    drain_phase m_phase = drain_phase::running;
    time_point m_since;
    /// From last_mention_expires.
    time_point m_last_mention;
    bool m_transfer_failed = false;
    bool m_work_cut_off = false;
};

/// Call announce_leaving; the node must no longer name itself in address answers.
struct announce_stop
{
};

/// Dispatch nothing more and send lease_transfer to a live node until it is acknowledged.
struct transfer_lease
{
};

/// Answer further requests with "Connection: close". Idle connections stay open, because
/// a request may be on its way on them.
struct end_keep_alive
{
};

/// Close the listening sockets for callers, and the idle connections.
struct stop_listening
{
};

/// Call announce_left when every lease was transferred, close all sockets and end.
struct end_process
{
    /// False when a lease may still be held in the node's name: it must not be announced
    /// as left, because that would prove the lease free.
    bool m_may_announce_left = true;
};

using drain_action = std::variant<announce_stop, transfer_lease, end_keep_alive,
                                  stop_listening, end_process>;
using drain_actions = std::vector<drain_action>;

/// Starts the stop. Repeated calls change nothing.
void begin_drain(drain_state& state, time_point now, time_point last_mention,
                 drain_actions& actions);

/// Moves on as far as the conditions hold. To be called every tick.
void step_drain(drain_state& state, const drain_inputs& inputs, time_point now,
                drain_actions& actions);

} // namespace geraniumdoor
