#pragma once

#include <geraniumdoor/cluster/membership.hpp>

namespace geraniumdoor::membership_detail
{

/// How an update came to this node.
enum class update_source : std::uint8_t
{
    /// Spread as news, or stated by the node itself.
    news,
    /// Part of another node's list, which may be old.
    list,
};

bool is_live(const member& entry);

/// Takes an update into account and passes it on when it is news.
void merge_update(membership_state& state, const member_update& update,
                  update_source source, time_point now, membership_actions& actions);

void merge_urgent(membership_state& state, const urgent_state& urgent,
                  membership_actions& actions);

/// Marks a live member as suspect or dead.
void mark_member(membership_state& state, const node_id& node, member_state marked,
                 time_point now, membership_actions& actions);

/// Queues the update for piggybacking in place of an earlier one about the same node.
void queue_broadcast(membership_state& state, const member_update& update);

/// Returns the shared part of a datagram to the node, whose id may be empty.
gossip make_gossip(membership_state& state, const node_id& to);

/// Returns the shared part without waiting updates, for reads of member lists: they cost
/// half as much, and no update counts as sent that a page would replace.
gossip make_bare_gossip(membership_state& state, const node_id& to);

/// Fills the gossip with the members that follow the id. Returns whether they are the
/// last ones.
bool fill_member_page(membership_state& state, const node_id& after, gossip& shared);

/// Bytes of the send budget that are kept for rumours: urgent states have 3 s.
constexpr std::int64_t rumour_reserve_bytes = 6000;

/// Bytes that are kept from pings for waiting updates: a list page names members that the
/// reader lacks, while most nodes know a waiting update already.
constexpr std::int64_t backlog_reserve_bytes = 12'000;

void refill_budget(membership_state& state, time_point now);

/// Whether a datagram that is neither a probe nor its ack may be sent while the reserve
/// is kept.
bool may_send(const membership_state& state, std::int64_t reserve);

/// Takes the size of the datagram from the send budget and appends it.
void append_datagram(membership_state& state, const node_address& to, datagram message,
                     membership_actions& actions);

/// Largest encoded size of the gossip and the fields around it.
std::size_t largest_bytes(const gossip& shared, const node_id& to);

/// Address of a member, which must be known.
const node_address& address_of(const membership_state& state, const node_id& node);

void ping_member(membership_state& state, const node_id& node,
                 membership_actions& actions);

/// Drops proofs about nodes that are no members, by age and number.
void forget_old_proofs(membership_state& state, time_point now);

/// Asks members held as dead that others reach to refute.
void recheck_contradicted(membership_state& state, membership_actions& actions);

void start_sync(membership_state& state, time_point now, random_source& random,
                membership_actions& actions);

void probe_hints(membership_state& state, time_point now, random_source& random,
                 membership_actions& actions);

void spread_rumour(membership_state& state, time_point now, random_source& random,
                   membership_actions& actions);

void work_off_backlog(membership_state& state, time_point now, random_source& random,
                      membership_actions& actions);

/// Sum of hashes of the live members, self included. Nodes with the same members have the
/// same digest.
std::uint64_t list_digest(const membership_state& state);

/// Names a few live members in turn, in place of a page that exceeds the send budget.
void fill_referrals(membership_state& state, gossip& shared);

/// Appends a ping and returns its sequence number.
std::uint64_t send_ping(membership_state& state, const node_id& target,
                        const node_address& address, membership_actions& actions);

/// Asks for the page of the member list after the id.
void request_page(membership_state& state, const node_id& target,
                  const node_address& address, const node_id& after, time_point now,
                  membership_actions& actions);

/// Makes the next ticks ping a few members, ahead of the periodic probes.
void spread_at_once(membership_state& state);

/// Detects a pause and voids suspicions.
void note_event(membership_state& state, time_point now, membership_actions& actions);

/// Picks up to count distinct live members other than the excluded one.
std::vector<node_id> pick_live(const membership_state& state, std::uint32_t count,
                               const node_id& excluded, random_source& random);

} // namespace geraniumdoor::membership_detail
