#pragma once

#include <geraniumdoor/dispatch/ownership.hpp>

#include <vector>

// Declarations shared by the source files of the ownership state machine.

namespace geraniumdoor::ownership_detail
{

/// Delay before a table call without answer is repeated.
inline constexpr milliseconds retry_delay{500};

using actions = std::vector<ownership_action>;

/// Assigns an id to a table call and records it as pending.
table_call_id register_table_call(ownership_state& state, pending_table_call call,
                                  time_point now);

held_lease* find_held(ownership_state& state, const lease_id& id);
const held_lease* find_held(const ownership_state& state, const lease_id& id);

/// Returns the lease that this process created, or null while its row is not known to
/// exist.
const held_lease* own_lease(const ownership_state& state);

duration renewal_interval(const ownership_state& state);
duration scan_interval(const ownership_state& state);

const member_view* find_member(const ownership_state& state, const node_id& node);
bool is_live(const ownership_state& state, const lease_guarantor& process);
bool is_suspected(const ownership_state& state, const lease_guarantor& process);

/// Returns whether the process can never act again: it was replaced by a later
/// incarnation, left, or was declared gone.
bool is_proven_gone(const ownership_state& state, const lease_guarantor& process);

/// Returns the live node that ranks first for the key by rendezvous hashing, preferring
/// the data centre. This node is included unless it is stopping. Returns an empty id when
/// there is no candidate.
node_id first_candidate(const ownership_state& state, std::string_view key,
                        const data_centre_id& data_centre);

/// Returns up to `most` live processes other than this one, ranked for the key, with
/// those of this data centre first.
std::vector<lease_guarantor> nearest_live_processes(const ownership_state& state,
                                                    std::string_view key,
                                                    std::size_t most);

/// Returns the guarantors of all row versions that may be in force.
std::vector<lease_guarantor> all_guarantors(const held_lease& lease);

/// Records a lease or owner row that a table call returned; other rows are ignored.
/// `sent` is when that call was sent.
void observe_row(ownership_state& state, const table_row& row, time_point sent,
                 time_point now);
void observe_owner(ownership_state& state, const upstream_id& upstream,
                   const owner_row& row, std::uint64_t version, time_point sent);

/// Returns the held lease under which the upstream is owned, or null. For a transferred
/// lease, an owner row that was read before the transfer is not sufficient, because the
/// old holder may have released the upstream since.
const held_lease* owning_lease(const ownership_state& state, const owner_record& owner);

void create_own_lease(ownership_state& state, time_point now);
void renew_leases(ownership_state& state, time_point now, actions& out);
void extend_leases(ownership_state& state, time_point now, actions& out);
void on_renewal_end(ownership_state& state, const pending_table_call& call,
                    const table_transaction_end& end, time_point now);
void on_extend(ownership_state& state, const node_id& from, const lease_extend& message,
               time_point now, actions& out);
void on_grant(ownership_state& state, const lease_grant& message);

void guard_leases(ownership_state& state, time_point now, actions& out);
void on_revoke_end(ownership_state& state, const pending_table_call& call,
                   const table_transaction_end& end, time_point now);

void scan_rows(ownership_state& state, time_point now, actions& out);
void claim_upstreams(ownership_state& state, const dispatcher_state& dispatcher,
                     time_point now, actions& out);
void rebalance(ownership_state& state, const dispatcher_state& dispatcher, time_point now,
               actions& out);
void on_claim_end(ownership_state& state, const pending_table_call& call,
                  const table_transaction_end& end, time_point now);
void on_release_end(ownership_state& state, const pending_table_call& call,
                    const table_transaction_end& end, time_point now);

void transfer_leases(ownership_state& state, const dispatcher_state& dispatcher,
                     time_point now, actions& out);
void report_transferred(ownership_state& state, const dispatcher_state& dispatcher,
                        time_point now, actions& out);
void on_transfer(ownership_state& state, const node_id& from,
                 const lease_transfer& message, time_point now, actions& out);
void on_transfer_ack(ownership_state& state, const node_id& from,
                     const lease_transfer_ack& message);
void on_transfer_outstanding(ownership_state& state, const transfer_outstanding& message,
                             actions& out);

/// Emits the actions for gained and lost upstreams and for changed authority.
void publish(ownership_state& state, actions& out);

/// Sends an announcement, with limits from the dispatcher, when the set of owned
/// upstreams changed.
void announce(ownership_state& state, const dispatcher_state& dispatcher, actions& out);

} // namespace geraniumdoor::ownership_detail
