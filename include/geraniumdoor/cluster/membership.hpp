#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace geraniumdoor
{

/// SWIM membership. Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
/// infection-style process group membership protocol", DSN 2002.
struct membership_settings
{
    milliseconds m_probe_period{1000};
    /// Time without ack after which other members are asked to probe.
    milliseconds m_direct_timeout{300};
    /// Time without ack after which the probed member is suspected.
    milliseconds m_probe_timeout{800};
    std::uint32_t m_indirect_probes = 3;
    milliseconds m_suspicion_timeout{3000};
    /// Time for which an unreachable member is kept, so that regions find each other
    /// again after a cut.
    std::chrono::hours m_keep_unreachable{2};
    milliseconds m_unreachable_probe_period{5000};
    /// Longest time between two whole reads of another member's list.
    milliseconds m_sync_period{60'000};
    /// Time to the next read after one that found a member; it doubles up to the longest
    /// time while reads find none. With 60 s alone, 370 nodes that start together did not
    /// know each other after 60 s.
    milliseconds m_first_sync_period{2000};
    /// Time between two probes of addresses that no member has.
    milliseconds m_hint_period{10'000};
    /// A longer gap between two events means that the process was paused.
    milliseconds m_pause_limit{1000};
    /// Members told at once of a new configuration version or urgent state, and how often
    /// that is repeated with others.
    std::uint32_t m_rumour_fanout = 4;
    std::uint32_t m_rumour_rounds = 3;
    milliseconds m_rumour_period{300};
    /// Time between additional pings while more updates wait than one datagram holds. At
    /// 370 nodes a cut between regions makes 185 updates at once.
    milliseconds m_backlog_period{700};
    /// Token bucket for the bytes of all datagrams. Without tokens only probes and their
    /// acks are sent, and they carry no updates. The design allows 14 KB/s.
    double m_send_rate = 12'000;
    std::uint32_t m_send_burst_bytes = 20'000;
    /// Time to the rest of a list whose read was ended by the send budget.
    milliseconds m_continue_sync_period{500};
    /// Proofs that processes have ended, about nodes that are no members.
    std::chrono::hours m_keep_proofs{24};
    std::size_t m_max_proofs = 10'000;
};

/// Address of a node that the settings or the host list name.
struct node_hint
{
    /// Empty when only the address is known.
    node_id m_node;
    node_address m_peer;
};

struct member
{
    member_update m_info;
    /// Time of the last change of state.
    time_point m_since;
};

/// Update that is still passed on.
struct broadcast
{
    member_update m_update;
    std::uint32_t m_sends = 0;
};

struct probe
{
    std::uint64_t m_sequence = 0;
    node_id m_target;
    incarnation m_incarnation;
    time_point m_sent;
    bool m_indirect = false;
};

/// Ping made on behalf of another node.
struct relayed_probe
{
    node_address m_requester;
    std::uint64_t m_requester_sequence = 0;
    time_point m_sent;
};

/// Read of another member's list, page by page.
struct member_sync
{
    std::uint64_t m_sequence = 0;
    node_id m_target;
    time_point m_sent;
};

/// Proof that processes of a node have ended.
struct gone_proof
{
    /// Lower incarnations have ended.
    incarnation m_first_not_gone;
    time_point m_recorded;
};

/// All state of the module. Created by make_membership; other modules read it through the
/// functions below.
struct membership_state
{
    membership_settings m_settings;
    member_update m_self;
    config_version m_config;
    /// Other nodes in the states alive, leaving, suspect and dead.
    table<node_id, member> m_members;
    std::unordered_map<node_id, gone_proof> m_gone;
    std::vector<urgent_state> m_urgent;
    std::vector<node_hint> m_hints;
    std::vector<broadcast> m_broadcasts;
    std::vector<node_id> m_probe_order;
    std::optional<probe> m_probe;
    std::unordered_map<std::uint64_t, relayed_probe> m_relays;
    std::optional<member_sync> m_sync;
    /// Last member of the pages read so far.
    node_id m_sync_after;
    /// Bytes that may be sent; negative after more probes and acks than the rate allows.
    double m_send_budget = 0;
    time_point m_budget_filled;
    /// Members held as dead that another node has reported alive.
    std::vector<node_id> m_recheck;
    std::uint64_t m_last_sequence = 0;
    std::uint32_t m_rumour_rounds_left = 0;
    std::uint32_t m_urgent_cursor = 0;
    std::uint32_t m_referral_cursor = 0;
    time_point m_last_event;
    time_point m_next_probe;
    time_point m_next_scan;
    time_point m_next_unreachable_probe;
    time_point m_next_sync;
    duration m_sync_interval{};
    time_point m_next_hint;
    time_point m_next_rumour;
    time_point m_next_backlog;
    time_point m_next_config_pull;
    time_point m_next_capacity;
    time_point m_next_gone_scan;
    config_version m_config_asked;
};

struct send_datagram
{
    node_address m_to;
    datagram m_message;
};

/// A member is new, or its state, incarnation or an address changed. The state is left
/// when the member is no longer kept.
struct member_changed
{
    member_update m_member;
};

/// Proof that the processes with this incarnation and all lower ones have ended.
struct incarnation_gone
{
    node_id m_node;
    incarnation m_incarnation;
};

/// The member has a newer configuration, to be pulled over TCP.
struct configuration_behind
{
    node_id m_from;
    config_version m_version;
};

struct urgent_state_learned
{
    urgent_state m_state;
};

/// Other nodes hold a record of the own id that is not older. To them the former
/// incarnation is gone, so nothing may be done in its name any more.
struct own_incarnation_raised
{
    incarnation m_former;
    incarnation m_now;
};

/// The process was paused: leases, grants and configuration need renewal.
struct pause_detected
{
    duration m_gap{};
};

using membership_action =
    std::variant<send_datagram, member_changed, incarnation_gone, configuration_behind,
                 urgent_state_learned, own_incarnation_raised, pause_detected>;
using membership_actions = std::vector<membership_action>;

/// The state of self must be alive.
membership_state make_membership(const membership_settings& settings, member_update self,
                                 time_point now);

/// Replaces the addresses from the settings and the host list.
void set_hints(membership_state& state, std::vector<node_hint> hints);

/// Probes, ends suspicions and forgets. To be called every 50 ms.
void tick_membership(membership_state& state, time_point now, random_source& random,
                     membership_actions& actions);

void receive_datagram(membership_state& state, const datagram& message,
                      const node_address& from, time_point now,
                      membership_actions& actions);

/// Version that this node has in force; it is told to others at once.
void set_config_version(membership_state& state, config_version version);

/// Spreads an urgent state unless one that supersedes it is known. Returns whether it was
/// news.
bool announce_urgent_state(membership_state& state, const urgent_state& urgent);

/// Urgent state in force for a data centre, if any.
const urgent_state* find_urgent_state(const membership_state& state,
                                      const data_centre_id& data_centre);

/// Sets the hint for callers. It spreads at once with own datagrams, and to all nodes
/// when it has changed by a quarter, at most once in max(5 s, 0.5 s per node).
void set_free_capacity(membership_state& state, std::uint32_t capacity, time_point now);

/// Announces the planned stop.
void announce_leaving(membership_state& state);

/// Tells members that the process ends its work: the proof that its incarnation is gone.
/// To be called last; no authority may remain in this process.
void announce_left(membership_state& state, random_source& random,
                   membership_actions& actions);

/// Records that an operator has declared the incarnation gone, and tells others.
void declare_gone(membership_state& state, const node_id& node, incarnation gone,
                  time_point now, membership_actions& actions);

/// Whether the process is proven to have ended. Silence is no proof.
bool is_gone(const membership_state& state, const node_id& node, incarnation number);

const member_update* find_member(const membership_state& state, const node_id& node);

/// Self and the members that are alive, leaving or suspect, in order of id.
std::vector<member_update> live_members(const membership_state& state);

/// Number of entries of live_members.
std::size_t live_count(const membership_state& state);

} // namespace geraniumdoor
