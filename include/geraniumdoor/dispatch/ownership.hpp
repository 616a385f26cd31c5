#pragma once

#include <geraniumdoor/dispatch/lease_rows.hpp>
#include <geraniumdoor/dispatch/ownership_actions.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace geraniumdoor
{

/// Promise of one guarantor, on the holder's clock.
struct held_grant
{
    lease_guarantor m_guarantor;
    time_point m_until{};
};

struct sent_extension
{
    lease_guarantor m_guarantor;
    time_point m_sent;
    milliseconds m_time_to_live{0};
};

/// A lease on its way to a successor.
struct outgoing_transfer
{
    lease_guarantor m_successor;
    time_point m_next_send{};
};

/// What writes of unknown effect may have made of the guarantors in a lease row.
struct guarantor_doubt
{
    /// Guarantors named by such writes.
    std::vector<lease_guarantor> m_named;
    /// Whether such a write names other guarantors than the confirmed row.
    bool m_differs = false;
};

/// A lease that this process holds.
struct held_lease
{
    lease_id m_id;
    /// Created by this process rather than received.
    bool m_own = true;
    time_point m_created{};
    /// Last confirmed row version; zero until the row is known to exist.
    std::uint64_t m_version = 0;
    std::uint64_t m_counter = 0;
    std::vector<lease_guarantor> m_guarantors;
    guarantor_doubt m_doubt;
    /// The doubt without the write in flight, restored when that was not written.
    guarantor_doubt m_settled_doubt;
    milliseconds m_time_to_live{6000};
    /// The write in flight, if any, and when it was sent.
    std::optional<table_call_id> m_writing;
    lease_row m_written;
    time_point m_written_at{};
    time_point m_next_renewal{};
    time_point m_renewed_until{};
    std::vector<held_grant> m_grants;
    std::map<std::uint64_t, sent_extension> m_extensions;
    time_point m_next_extension{};
    std::optional<outgoing_transfer> m_transfer;
};

/// What this process knows of a lease row, and what it promised about it.
struct lease_record
{
    std::optional<lease_row> m_row;
    /// Zero: not seen, or absent when last read.
    std::uint64_t m_version = 0;
    /// When this version was first seen.
    time_point m_seen_at{};
    time_point m_granted_until{};
    /// A revocation was sent and may still take effect; no promise is given meanwhile.
    bool m_revoking = false;
    /// Row version on which the revocation is conditional.
    std::uint64_t m_revoke_version = 0;
    bool m_revoked = false;
    std::optional<table_call_id> m_call;
    time_point m_next_call{};
};

/// Handover of one upstream to its better owner.
struct release_state
{
    lease_id m_target;
    /// Once sent, the write may take effect at any time and is repeated until settled.
    bool m_sent = false;
    std::optional<table_call_id> m_call;
    time_point m_next_call{};
};

struct owner_record
{
    owner_row m_row;
    /// Zero: not read from the table service yet.
    std::uint64_t m_version = 0;
    /// When the read that showed the row was sent.
    time_point m_known_at{};
    std::optional<release_state> m_release;
};

/// A lease that was handed to a successor, while its calls are still in progress here.
struct given_lease
{
    lease_id m_id;
    node_id m_successor;
    std::vector<upstream_id> m_upstreams;
    time_point m_next_report{};
    std::uint32_t m_idle_reports = 0;
};

enum class table_purpose : std::uint8_t
{
    renew,
    guard,
    revoke,
    claim,
    release,
    scan_owners,
    scan_leases,
};

struct pending_table_call
{
    table_purpose m_purpose = table_purpose::renew;
    lease_id m_lease;
    upstream_id m_upstream;
    /// Rows of the transaction, applied when it is committed.
    std::vector<std::pair<upstream_id, owner_row>> m_owners;
    time_point m_sent{};
    /// An earlier copy of the write may still take effect.
    bool m_repeats = false;
};

struct ownership_settings
{
    node_id m_node;
    incarnation m_incarnation;
    data_centre_id m_data_centre;
    /// Longest timeout of any pool: for that long, calls of a lost owner may go on.
    milliseconds m_longest_call{1000};
};

/// Leases and ownership rows of one process.
struct ownership_state
{
    ownership_settings m_settings;
    std::vector<member_view> m_members;
    time_point m_members_changed{};
    std::vector<held_lease> m_held;
    std::unordered_map<lease_id, lease_record> m_leases;
    std::unordered_map<upstream_id, owner_record> m_owners;
    /// Upstreams that are owned, with the authority that was last published.
    std::map<upstream_id, time_point> m_published;
    std::unordered_map<upstream_id, handover_state> m_handed;
    /// Own leases whose creation was given up before it was settled. They gave no
    /// authority and are revoked when they turn up.
    std::set<lease_id> m_abandoned;
    std::set<lease_id> m_accepted;
    std::set<lease_id> m_refused;
    std::vector<given_lease> m_given;
    std::unordered_map<table_call_id, pending_table_call> m_pending;
    /// Starts above the ids of the request coordinator, which shares the clients.
    std::uint64_t m_last_table_call = std::uint64_t{1} << 62;
    std::uint64_t m_last_extension = 0;
    std::uint32_t m_leases_created = 0;
    time_point m_next_scan{};
    bool m_owners_scanned = false;
    time_point m_next_claim{};
    time_point m_next_balance{};
    std::optional<table_call_id> m_claiming;
    time_point m_last_tick{};
    bool m_stopping = false;
    std::vector<node_id> m_refusing_successors;
    ownership_announce m_announced;
};

ownership_state make_ownership(ownership_settings settings, time_point now);

/// Replaces the members. The list may or may not name this process itself.
void set_members(ownership_state& state, std::vector<member_view> members,
                 time_point now);

/// Reads the ownership rows at the next tick; to be called when another node announces
/// a changed set.
void request_scan(ownership_state& state);

/// To be called every 50 ms. Reads known upstreams, limits and outstanding calls from the
/// dispatcher.
void tick(ownership_state& state, const dispatcher_state& dispatcher, time_point now,
          std::vector<ownership_action>& actions);

/// Each table call ends exactly once, with table_outcome::unknown or no row when no
/// answer came. An end of a call that this state did not make is ignored.
void on_table_transaction_end(ownership_state& state, const table_transaction_end& end,
                              time_point now, std::vector<ownership_action>& actions);
void on_table_read_end(ownership_state& state, const table_read_end& end, time_point now,
                       std::vector<ownership_action>& actions);
void on_table_scan_end(ownership_state& state, const table_scan_end& end, time_point now,
                       std::vector<ownership_action>& actions);

void on_lease_message(ownership_state& state, const node_id& from,
                      const lease_message& message, time_point now,
                      std::vector<ownership_action>& actions);

/// Starts the transfer of all leases and stops claims, revocations and rebalancing.
void begin_stop(ownership_state& state);

/// Whether all leases were transferred and all their calls were reported finished.
bool is_stopped(const ownership_state& state);

/// Until when the lease gives authority; time_point{} when it gives none.
time_point authority_until(const held_lease& lease);

} // namespace geraniumdoor
