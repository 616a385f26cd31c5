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

/// Fills the gossip with the members that follow the id. Returns whether they are the
/// last ones.
bool fill_member_page(membership_state& state, const node_id& after, gossip& shared);

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
