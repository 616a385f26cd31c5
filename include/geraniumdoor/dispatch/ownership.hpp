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

/// Grant of one guarantor: it does not revoke the lease before m_until, which is a time
/// on the holder's clock.
struct held_grant
{
    lease_guarantor m_guarantor;
    time_point m_until{};
};

/// A lease_extend request that was sent to a guarantor.
struct sent_extension
{
    lease_guarantor m_guarantor;
    time_point m_sent;
    milliseconds m_time_to_live{0};
};

/// Transfer of a lease to a successor that has not acknowledged it yet.
struct outgoing_transfer
{
    lease_guarantor m_successor;
    time_point m_next_send{};
};

/// Guarantors that a lease row may have because of writes whose outcome is unknown.
struct unconfirmed_guarantors
{
    /// All guarantors in such writes.
    std::vector<lease_guarantor> m_guarantors;
    /// Whether such a write has other guarantors than the confirmed row.
    bool m_differs = false;
};

/// A lease that this process holds.
struct held_lease
{
    lease_id m_id;
    /// Created by this process rather than received in a transfer.
    bool m_own = true;
    time_point m_created{};
    /// Last confirmed row version; zero until the row is known to exist.
    std::uint64_t m_version = 0;
    std::uint64_t m_counter = 0;
    std::vector<lease_guarantor> m_guarantors;
    unconfirmed_guarantors m_unconfirmed;
    /// m_unconfirmed before the write in flight; restored if that write is known not to
    /// have taken effect.
    unconfirmed_guarantors m_unconfirmed_before_write;
    milliseconds m_time_to_live{6000};
    /// The write in flight, if any.
    std::optional<table_call_id> m_writing;
    /// Row of the last write.
    lease_row m_written;
    /// Time when the last write was sent.
    time_point m_written_at{};
    time_point m_next_renewal{};
    time_point m_renewed_until{};
    std::vector<held_grant> m_grants;
    std::map<std::uint64_t, sent_extension> m_extensions;
    time_point m_next_extension{};
    std::optional<outgoing_transfer> m_transfer;
};

/// Last known state of a lease row, and the grant that this process gave as guarantor.
struct lease_record
{
    std::optional<lease_row> m_row;
    /// Zero when the row was not read yet or was absent when last read.
    std::uint64_t m_version = 0;
    /// When this version was first read.
    time_point m_seen_at{};
    time_point m_granted_until{};
    /// A revocation was sent and may still take effect; no grant is given until it is
    /// known not to.
    bool m_revoking = false;
    /// Row version on which the revocation is conditional.
    std::uint64_t m_revoke_version = 0;
    bool m_revoked = false;
    std::optional<table_call_id> m_call;
    time_point m_next_call{};
};

/// Release of one upstream to the node that ranks first for it.
struct release_state
{
    lease_id m_target;
    /// Once sent, the write may take effect at any time and is repeated until its outcome
    /// is known.
    bool m_sent = false;
    std::optional<table_call_id> m_call;
    time_point m_next_call{};
};

/// Last known state of an owner row.
struct owner_record
{
    owner_row m_row;
    /// Zero when the row was not read from the table service yet.
    std::uint64_t m_version = 0;
    /// When the table call that returned the row was sent.
    time_point m_read_sent_at{};
    std::optional<release_state> m_release;
};

/// A lease that a successor accepted while calls of this process under it may still be in
/// progress.
struct transferred_lease
{
    lease_id m_id;
    node_id m_successor;
    std::vector<upstream_id> m_upstreams;
    time_point m_next_report{};
    std::uint32_t m_idle_reports = 0;
};

enum class table_call_purpose : std::uint8_t
{
    /// Creates or renews a lease row.
    renew,
    /// Reads a lease row of which this process is a guarantor.
    guard,
    revoke,
    claim,
    release,
    scan_owners,
    scan_leases,
};

struct pending_table_call
{
    table_call_purpose m_purpose = table_call_purpose::renew;
    lease_id m_lease;
    upstream_id m_upstream;
    /// Owner rows that the transaction writes, recorded when it is committed.
    std::vector<std::pair<upstream_id, owner_row>> m_owners;
    time_point m_sent{};
    /// The write repeats an earlier one, which may still take effect.
    bool m_repeats = false;
};

struct ownership_settings
{
    node_id m_node;
    incarnation m_incarnation;
    data_centre_id m_data_centre;
    /// Longest timeout of any pool, for which calls of a failed owner may still run.
    milliseconds m_longest_call{1000};
};

/// State of lease and ownership management in one process.
struct ownership_state
{
    ownership_settings m_settings;
    std::vector<member_view> m_members;
    time_point m_members_changed{};
    std::vector<held_lease> m_held;
    std::unordered_map<lease_id, lease_record> m_leases;
    std::unordered_map<upstream_id, owner_record> m_owners;
    /// Owned upstreams with the end of the authority that was last published.
    std::map<upstream_id, time_point> m_published;
    /// Received with accepted transfers and not published yet.
    std::unordered_map<upstream_id, handover_state> m_handovers;
    /// Own leases whose creation was abandoned with unknown outcome. They gave no
    /// authority and are revoked if their rows appear.
    std::set<lease_id> m_abandoned;
    std::set<lease_id> m_accepted_transfers;
    std::set<lease_id> m_refused_transfers;
    std::vector<transferred_lease> m_transferred;
    std::unordered_map<table_call_id, pending_table_call> m_pending;
    /// Starts above the ids of the request coordinator, which uses the same table client.
    std::uint64_t m_last_table_call = std::uint64_t{1} << 62;
    std::uint64_t m_last_extension = 0;
    std::uint32_t m_leases_created = 0;
    time_point m_next_scan{};
    bool m_owners_scanned = false;
    time_point m_next_claim{};
    time_point m_next_rebalance{};
    std::optional<table_call_id> m_claim_call;
    time_point m_last_tick{};
    bool m_stopping = false;
    std::vector<node_id> m_refusing_successors;
    ownership_announce m_announced;
};

ownership_state make_ownership(ownership_settings settings, time_point now);

/// Replaces the members. The list may include this node, which is ignored.
void set_members(ownership_state& state, std::vector<member_view> members,
                 time_point now);

/// Schedules a scan of the lease and owner rows for the next tick. To be called when
/// another node announces a changed set of owned upstreams.
void request_scan(ownership_state& state);

/// Must be called every 50 ms. Reads the upstreams, limits and outstanding calls from the
/// dispatcher.
void tick(ownership_state& state, const dispatcher_state& dispatcher, time_point now,
          std::vector<ownership_action>& actions);

/// Each table call ends exactly once, with table_outcome::unknown or without rows when no
/// answer was received. The end of a call that this state did not make is ignored.
void on_table_transaction_end(ownership_state& state, const table_transaction_end& end,
                              time_point now, std::vector<ownership_action>& actions);
void on_table_read_end(ownership_state& state, const table_read_end& end, time_point now,
                       std::vector<ownership_action>& actions);
void on_table_scan_end(ownership_state& state, const table_scan_end& end, time_point now,
                       std::vector<ownership_action>& actions);

void on_lease_message(ownership_state& state, const node_id& from,
                      const lease_message& message, time_point now,
                      std::vector<ownership_action>& actions);

/// Starts the transfer of all leases. Claims, revocations and rebalancing stop.
void begin_stop(ownership_state& state);

/// Returns whether all leases were transferred and all their calls reported finished.
bool is_stopped(const ownership_state& state);

/// Returns the time until which the lease gives authority; time_point{} when it gives
/// none.
time_point authority_until(const held_lease& lease);

} // namespace geraniumdoor
