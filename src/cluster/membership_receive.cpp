#include "membership_internal.hpp"

namespace geraniumdoor
{

using namespace membership_detail;

namespace
{

/// Pings on behalf of others that may be open at once.
constexpr std::size_t max_relays = 1024;

/// Time before the same or an older version is asked for again.
constexpr milliseconds config_pull_pause{1000};

void merge_config(membership_state& state, const gossip& shared, time_point now,
                  membership_actions& actions)
{
    if (shared.m_config <= state.m_config)
    {
        return;
    }
    if (shared.m_config > state.m_config_asked || now >= state.m_next_config_pull)
    {
        state.m_config_asked = shared.m_config;
        state.m_next_config_pull = now + config_pull_pause;
        actions.emplace_back(
            configuration_behind{shared.m_sender.m_node, shared.m_config});
    }
}

void merge_sender(membership_state& state, const member_update& sender, time_point now,
                  membership_actions& actions)
{
    const member* before = state.m_members.find(sender.m_node);
    const bool was_dead = before != nullptr && !is_live(*before);
    merge_update(state, sender, update_source::news, now, actions);
    member* known = state.m_members.find(sender.m_node);
    if (known == nullptr || known->m_info.m_incarnation != sender.m_incarnation)
    {
        return;
    }
    known->m_info.m_free_capacity = sender.m_free_capacity;
    if (was_dead && is_live(*known))
    {
        // A cut may have healed: the rest of the other side is in this member's list.
        state.m_next_sync = std::min(state.m_next_sync, now);
    }
}

void merge_gossip(membership_state& state, const gossip& shared, update_source source,
                  time_point now, membership_actions& actions)
{
    merge_sender(state, shared.m_sender, now, actions);
    for (const member_update& update : shared.m_updates)
    {
        merge_update(state, update, source, now, actions);
    }
    for (const urgent_state& urgent : shared.m_urgent)
    {
        merge_urgent(state, urgent, actions);
    }
    merge_config(state, shared, now, actions);
}

void receive(membership_state& state, const ping& message, const node_address& from,
             time_point now, membership_actions& actions)
{
    const bool meant =
        message.m_target.m_value.empty() || message.m_target == state.m_self.m_node;
    merge_gossip(state, message.m_gossip, update_source::news, now, actions);
    if (!meant)
    {
        return;
    }
    ack answer;
    answer.m_sequence = message.m_sequence;
    answer.m_node = state.m_self.m_node;
    answer.m_incarnation = state.m_self.m_incarnation;
    const node_id& asker = message.m_gossip.m_sender.m_node;
    answer.m_gossip = message.m_wants_members ? make_bare_gossip(state, asker)
                                              : make_gossip(state, asker);
    const bool same_list =
        message.m_list_digest != 0 && message.m_list_digest == list_digest(state);
    if (message.m_wants_members && same_list)
    {
        answer.m_is_member_page = true;
        answer.m_last_page = true;
    }
    else if (message.m_wants_members && may_send(state, rumour_reserve_bytes))
    {
        answer.m_is_member_page = true;
        answer.m_last_page = fill_member_page(state, message.m_after, answer.m_gossip);
    }
    else if (message.m_wants_members)
    {
        // Without referrals, nodes that start together would know the seeds alone and
        // keep them out of budget.
        fill_referrals(state, answer.m_gossip);
    }
    append_datagram(state, from, std::move(answer), actions);
}

void receive(membership_state& state, const ping_req& message, const node_address& from,
             time_point now, membership_actions& actions)
{
    merge_gossip(state, message.m_gossip, update_source::news, now, actions);
    if (state.m_relays.size() >= max_relays)
    {
        return;
    }
    const std::uint64_t sequence =
        send_ping(state, message.m_target, message.m_target_address, actions);
    state.m_relays[sequence] = relayed_probe{from, message.m_sequence, now};
}

void pass_on_ack(membership_state& state, const ack& message, membership_actions& actions)
{
    const auto at = state.m_relays.find(message.m_sequence);
    if (at == state.m_relays.end())
    {
        return;
    }
    ack passed;
    passed.m_sequence = at->second.m_requester_sequence;
    passed.m_node = message.m_node;
    passed.m_incarnation = message.m_incarnation;
    passed.m_gossip = make_gossip(state, node_id{});
    append_datagram(state, at->second.m_requester, std::move(passed), actions);
    state.m_relays.erase(at);
}

void continue_sync(membership_state& state, const ack& message, const node_address& from,
                   time_point now, membership_actions& actions)
{
    const auto& page = message.m_gossip.m_updates;
    const bool is_page = message.m_is_member_page && !page.empty();
    if (message.m_last_page)
    {
        state.m_sync.reset();
        state.m_sync_after = node_id{};
        return;
    }
    if (is_page)
    {
        state.m_sync_after = page.back().m_node;
    }
    if (!is_page || !may_send(state, rumour_reserve_bytes))
    {
        // One of both nodes has used up its send budget; the next read goes on from here.
        state.m_sync.reset();
        const time_point again = now + state.m_settings.m_continue_sync_period;
        state.m_next_sync = std::min(state.m_next_sync, again);
        return;
    }
    const node_id last = state.m_sync_after;
    request_page(state, message.m_node, from, last, now, actions);
}

void receive(membership_state& state, const ack& message, const node_address& from,
             time_point now, membership_actions& actions)
{
    const auto source =
        message.m_is_member_page ? update_source::list : update_source::news;
    merge_gossip(state, message.m_gossip, source, now, actions);
    if (state.m_probe && state.m_probe->m_sequence == message.m_sequence &&
        state.m_probe->m_target == message.m_node)
    {
        state.m_probe.reset();
    }
    pass_on_ack(state, message, actions);
    if (state.m_sync && state.m_sync->m_sequence == message.m_sequence)
    {
        continue_sync(state, message, from, now, actions);
    }
}

} // namespace

void receive_datagram(membership_state& state, const datagram& message,
                      const node_address& from, time_point now,
                      membership_actions& actions)
{
    note_event(state, now, actions);
    if (state.m_self.m_state == member_state::left)
    {
        return;
    }
    std::visit(
        [&](const auto& body)
        {
            // Reports of edge hosts are none of the membership protocol's datagrams.
            if constexpr (requires { body.m_gossip; })
            {
                receive(state, body, from, now, actions);
            }
        },
        message);
}

} // namespace geraniumdoor
