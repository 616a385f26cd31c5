#pragma once

#include <geraniumdoor/dispatch/ownership.hpp>

#include <vector>

// Parts of the ownership state machine that its source files share.

namespace geraniumdoor::ownership_detail
{

/// Wait before a table call without answer is repeated.
inline constexpr milliseconds retry_delay{500};

using actions = std::vector<ownership_action>;

/// Numbers a table call and remembers what it is for.
table_call_id start_call(ownership_state& state, pending_table_call call, time_point now);

held_lease* find_held(ownership_state& state, const lease_id& id);
const held_lease* find_held(const ownership_state& state, const lease_id& id);

/// The lease created here, when its row exists.
const held_lease* own_lease(const ownership_state& state);

duration renewal_period(const ownership_state& state);
duration scan_period(const ownership_state& state);

const member_view* find_member(const ownership_state& state, const node_id& node);
bool is_live(const ownership_state& state, const lease_guarantor& process);
bool is_suspected(const ownership_state& state, const lease_guarantor& process);

/// Whether the process can never act again: it was replaced, left, or was declared gone.
bool is_proven_gone(const ownership_state& state, const lease_guarantor& process);

/// First live node for the key in rendezvous order, of the data centre where possible.
/// Returns this node when it is the only one, and an empty id when there is none.
node_id first_candidate(const ownership_state& state, std::string_view key,
                        const data_centre_id& data_centre);

/// Up to `most` live processes other than this one for the key, those of this data
/// centre first.
std::vector<lease_guarantor> nearest_others(const ownership_state& state,
                                            std::string_view key, std::size_t most);

/// Guarantors of every row version that may be in force.
std::vector<lease_guarantor> all_guarantors(const held_lease& lease);

/// Records a lease or ownership row that was read; other rows are ignored.
/// `sent` is when the call that showed the row was sent.
void learn_row(ownership_state& state, const table_row& row, time_point sent,
               time_point now);
void learn_owner(ownership_state& state, const upstream_id& upstream,
                 const owner_row& row, std::uint64_t version, time_point sent);

/// The held lease that owns the upstream, or null. For a received lease, a row that was
/// read before it was received proves nothing: the old holder may have released the
/// upstream since.
const held_lease* holding(const ownership_state& state, const owner_record& owner);

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
void report_given(ownership_state& state, const dispatcher_state& dispatcher,
                  time_point now, actions& out);
void on_transfer(ownership_state& state, const node_id& from,
                 const lease_transfer& message, time_point now, actions& out);
void on_transfer_ack(ownership_state& state, const node_id& from,
                     const lease_transfer_ack& message);
void on_outstanding(ownership_state& state, const transfer_outstanding& message,
                    actions& out);

/// Publishes gains, losses, changed authority and the announcement.
void publish(ownership_state& state, actions& out);

/// Fills the limits of the announcement from the dispatcher and sends it when the owned
/// set changed.
void announce(ownership_state& state, const dispatcher_state& dispatcher, actions& out);

} // namespace geraniumdoor::ownership_detail
