#include "membership_internal.hpp"

#include <geraniumdoor/base/hash.hpp>

#include <algorithm>
#include <bit>
#include <numeric>
#include <string>

namespace geraniumdoor::membership_detail
{

namespace
{

/// Urgent states in one datagram; more take turns.
constexpr std::size_t urgent_per_datagram = 6;

/// Bytes for the parts of a datagram other than updates, urgent states and texts.
constexpr std::size_t fixed_bytes = 100;

/// Each update is sent this often for each doubling of the number of members.
constexpr std::uint32_t sends_per_doubling = 3;

std::size_t address_bytes(const node_address& address)
{
    return 3 + address.m_ip.size();
}

/// Encoded size: numbers take 18 bytes, and each of three texts one length byte.
std::size_t encoded_bytes(const member_update& update)
{
    constexpr std::size_t numbers_and_lengths = 21;
    return numbers_and_lengths + update.m_node.m_value.size() +
           update.m_data_centre.m_value.size() + update.m_region.m_value.size() +
           address_bytes(update.m_peer) + address_bytes(update.m_caller) +
           address_bytes(update.m_admin);
}

/// Encoded size: numbers take 17 bytes, and each of three texts eight length bytes.
std::size_t encoded_bytes(const urgent_state& urgent)
{
    constexpr std::size_t numbers_and_lengths = 41;
    return numbers_and_lengths + urgent.m_data_centre.m_value.size() +
           urgent.m_mark.m_change.m_value.size() + urgent.m_operator.size();
}

/// Bytes that are left for updates.
std::size_t room_for_updates(const gossip& shared, const node_id& to)
{
    const std::size_t used = largest_bytes(shared, to);
    return used < max_datagram_bytes ? max_datagram_bytes - used : 0;
}

/// Returns false when the update does not fit.
bool append_update(gossip& shared, const member_update& update, std::size_t& room)
{
    const std::size_t size = encoded_bytes(update);
    if (size > room || shared.m_updates.size() >= max_piggybacked_updates)
    {
        return false;
    }
    room -= size;
    shared.m_updates.push_back(update);
    return true;
}

void append_urgent(membership_state& state, gossip& shared)
{
    const auto count = static_cast<std::uint32_t>(state.m_urgent.size());
    const std::size_t taken = std::min<std::size_t>(count, urgent_per_datagram);
    for (std::size_t at = 0; at < taken; ++at)
    {
        shared.m_urgent.push_back(state.m_urgent[state.m_urgent_cursor++ % count]);
    }
}

/// Positions of the updates that were sent least often. Sorts positions, because moving
/// the updates with their texts costs more than comparing them.
std::vector<std::uint32_t> least_sent(const std::vector<broadcast>& queue)
{
    std::vector<std::uint32_t> order(queue.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto count = std::min<std::size_t>(order.size(), max_piggybacked_updates);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end(),
                      [&](std::uint32_t a, std::uint32_t b)
                      {
                          return queue[a].m_sends < queue[b].m_sends;
                      });
    order.resize(count);
    return order;
}

void append_broadcasts(membership_state& state, gossip& shared, std::size_t room)
{
    auto& queue = state.m_broadcasts;
    const auto members = static_cast<std::uint32_t>(state.m_members.size() + 1);
    const std::uint32_t limit =
        sends_per_doubling * static_cast<std::uint32_t>(std::bit_width(members));
    bool finished = false;
    for (const std::uint32_t at : least_sent(queue))
    {
        if (append_update(shared, queue[at].m_update, room))
        {
            ++queue[at].m_sends;
            finished = finished || queue[at].m_sends >= limit;
        }
    }
    if (finished)
    {
        std::erase_if(queue,
                      [limit](const broadcast& entry)
                      {
                          return entry.m_sends >= limit;
                      });
    }
}

gossip make_header(membership_state& state)
{
    gossip shared;
    shared.m_sender = state.m_self;
    shared.m_config = state.m_config;
    append_urgent(state, shared);
    return shared;
}

} // namespace

std::size_t largest_bytes(const gossip& shared, const node_id& to)
{
    std::size_t used = fixed_bytes + encoded_bytes(shared.m_sender) +
                       2 * (to.m_value.size() + shared.m_sender.m_node.m_value.size());
    for (const urgent_state& urgent : shared.m_urgent)
    {
        used += encoded_bytes(urgent);
    }
    for (const member_update& update : shared.m_updates)
    {
        used += encoded_bytes(update);
    }
    return used;
}

const node_address& address_of(const membership_state& state, const node_id& node)
{
    return state.m_members.find(node)->m_info.m_peer;
}

void ping_member(membership_state& state, const node_id& node,
                 membership_actions& actions)
{
    const node_address address = address_of(state, node);
    send_ping(state, node, address, actions);
}

void queue_broadcast(membership_state& state, const member_update& update)
{
    for (broadcast& entry : state.m_broadcasts)
    {
        if (entry.m_update.m_node == update.m_node)
        {
            entry = broadcast{update, 0};
            return;
        }
    }
    state.m_broadcasts.push_back(broadcast{update, 0});
}

void spread_at_once(membership_state& state)
{
    state.m_rumour_rounds_left = state.m_settings.m_rumour_rounds;
    state.m_next_rumour = time_point{};
}

gossip make_bare_gossip(membership_state& state, const node_id& to)
{
    gossip shared = make_header(state);
    std::size_t room = room_for_updates(shared, to);
    // A node that is doubted must hear of it to refute.
    const member* receiver = state.m_members.find(to);
    if (receiver != nullptr && receiver->m_info.m_state >= member_state::suspect)
    {
        append_update(shared, receiver->m_info, room);
    }
    return shared;
}

gossip make_gossip(membership_state& state, const node_id& to)
{
    gossip shared = make_bare_gossip(state, to);
    // Probes and acks that exceed the budget carry no updates of others.
    if (state.m_send_budget > 0)
    {
        append_broadcasts(state, shared, room_for_updates(shared, to));
    }
    return shared;
}

bool fill_member_page(membership_state& state, const node_id& after, gossip& shared)
{
    shared.m_updates.clear();
    std::vector<const member_update*> following;
    for (const auto& entry : state.m_members)
    {
        if (is_live(entry.m_row) && after < entry.m_id)
        {
            following.push_back(&entry.m_row.m_info);
        }
    }
    const auto count = std::min(following.size(), max_piggybacked_updates);
    std::partial_sort(following.begin(),
                      following.begin() + static_cast<std::ptrdiff_t>(count),
                      following.end(),
                      [](const member_update* a, const member_update* b)
                      {
                          return a->m_node < b->m_node;
                      });
    std::size_t room = room_for_updates(shared, after);
    for (std::size_t at = 0; at < count; ++at)
    {
        if (!append_update(shared, *following[at], room))
        {
            break;
        }
    }
    return shared.m_updates.size() == following.size();
}

std::uint64_t list_digest(const membership_state& state)
{
    const auto digest_of = [](const member_update& info)
    {
        const std::uint64_t doubled = 2 * info.m_incarnation.m_value;
        const std::uint64_t salt = doubled + (info.m_leaving ? 1 : 0);
        return rendezvous_weight(info.m_node.m_value, std::to_string(salt));
    };
    // A sum does not depend on the order of the members.
    std::uint64_t sum = digest_of(state.m_self);
    for (const auto& entry : state.m_members)
    {
        sum += is_live(entry.m_row) ? digest_of(entry.m_row.m_info) : 0;
    }
    return sum;
}

void fill_referrals(membership_state& state, gossip& shared)
{
    constexpr std::size_t referrals = 3;
    shared.m_updates.clear();
    const std::size_t size = state.m_members.size();
    std::size_t room = room_for_updates(shared, node_id{});
    for (std::size_t tried = 0; tried < size && shared.m_updates.size() < referrals;
         ++tried)
    {
        const auto at = static_cast<std::ptrdiff_t>(state.m_referral_cursor++ % size);
        const member& entry = (state.m_members.begin() + at)->m_row;
        if (is_live(entry) && !append_update(shared, entry.m_info, room))
        {
            return;
        }
    }
}

std::uint64_t send_ping(membership_state& state, const node_id& target,
                        const node_address& address, membership_actions& actions)
{
    ping message;
    message.m_sequence = ++state.m_last_sequence;
    message.m_target = target;
    message.m_gossip = make_gossip(state, target);
    append_datagram(state, address, std::move(message), actions);
    return state.m_last_sequence;
}

void request_page(membership_state& state, const node_id& target,
                  const node_address& address, const node_id& after, time_point now,
                  membership_actions& actions)
{
    ping message;
    message.m_sequence = ++state.m_last_sequence;
    message.m_target = target;
    message.m_wants_members = true;
    message.m_after = after;
    // Within one read the lists differ.
    message.m_list_digest = state.m_sync ? 0 : list_digest(state);
    message.m_gossip = make_bare_gossip(state, target);
    state.m_sync = member_sync{message.m_sequence, target, now};
    append_datagram(state, address, std::move(message), actions);
}

} // namespace geraniumdoor::membership_detail
