#include "membership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace membership_detail
{

std::vector<node_id> pick_live(const membership_state& state, std::uint32_t count,
                               const node_id& excluded, random_source& random)
{
    std::vector<node_id> picked;
    const auto size = static_cast<std::uint32_t>(state.m_members.size());
    // Random draws suffice while most members are live; the bound covers a cut.
    const std::uint32_t draws = 8 * count;
    for (std::uint32_t draw = 0; size > 0 && draw < draws && picked.size() < count;
         ++draw)
    {
        const auto& entry = *(state.m_members.begin() + uniform_below(random, size));
        const bool repeated =
            std::find(picked.begin(), picked.end(), entry.m_id) != picked.end();
        if (is_live(entry.m_row) && entry.m_id != excluded && !repeated)
        {
            picked.push_back(entry.m_id);
        }
    }
    return picked;
}

void note_event(membership_state& state, time_point now, membership_actions& actions)
{
    const duration gap = now - state.m_last_event;
    state.m_last_event = std::max(state.m_last_event, now);
    if (gap <= state.m_settings.m_pause_limit)
    {
        return;
    }
    log_event{"pause_detected"}.add("gap_ms", to_ms(gap));
    actions.emplace_back(pause_detected{gap});
    state.m_probe.reset();
    state.m_sync.reset();
    state.m_next_probe = now;
    for (auto& entry : state.m_members)
    {
        member_update& info = entry.m_row.m_info;
        if (info.m_state == member_state::suspect)
        {
            info.m_state = info.m_leaving ? member_state::leaving : member_state::alive;
            entry.m_row.m_since = now;
            actions.emplace_back(member_changed{info});
        }
    }
    std::erase_if(state.m_broadcasts,
                  [](const broadcast& queued)
                  {
                      return queued.m_update.m_state == member_state::suspect;
                  });
}

} // namespace membership_detail

using namespace membership_detail;

namespace
{

constexpr milliseconds scan_period{200};
constexpr milliseconds relay_lifetime{2000};
constexpr milliseconds sync_timeout{1000};
constexpr std::uint32_t join_fanout = 3;

/// Contradicted deaths checked in one tick.
constexpr std::size_t rechecks_per_tick = 4;

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

/// Fills the order with all live members, shuffled, so that each is probed once in as
/// many periods as there are members.
void refill_probe_order(membership_state& state, random_source& random)
{
    auto& order = state.m_probe_order;
    for (const auto& entry : state.m_members)
    {
        if (is_live(entry.m_row))
        {
            order.push_back(entry.m_id);
        }
    }
    for (auto left = static_cast<std::uint32_t>(order.size()); left > 1; --left)
    {
        std::swap(order[left - 1], order[uniform_below(random, left)]);
    }
}

void start_probe(membership_state& state, time_point now, random_source& random,
                 membership_actions& actions)
{
    if (state.m_probe_order.empty())
    {
        refill_probe_order(state, random);
    }
    while (!state.m_probe_order.empty())
    {
        const node_id target = state.m_probe_order.back();
        state.m_probe_order.pop_back();
        const member* found = state.m_members.find(target);
        if (found != nullptr && is_live(*found))
        {
            const incarnation number = found->m_info.m_incarnation;
            const node_address address = found->m_info.m_peer;
            const auto sequence = send_ping(state, target, address, actions);
            state.m_probe = probe{sequence, target, number, now, false};
            return;
        }
    }
}

void ask_others(membership_state& state, random_source& random,
                membership_actions& actions)
{
    probe& current = *state.m_probe;
    current.m_indirect = true;
    const member* target = state.m_members.find(current.m_target);
    if (target == nullptr)
    {
        return;
    }
    ping_req message;
    message.m_sequence = current.m_sequence;
    message.m_target = current.m_target;
    message.m_target_address = target->m_info.m_peer;
    const auto helpers =
        pick_live(state, state.m_settings.m_indirect_probes, current.m_target, random);
    for (const node_id& helper : helpers)
    {
        message.m_gossip = make_gossip(state, helper);
        actions.emplace_back(send_datagram{address_of(state, helper), message});
    }
}

void fail_probe(membership_state& state, time_point now, membership_actions& actions)
{
    const probe failed = *state.m_probe;
    state.m_probe.reset();
    const member* target = state.m_members.find(failed.m_target);
    const bool same =
        target != nullptr && target->m_info.m_incarnation == failed.m_incarnation;
    if (!same || !is_live(*target))
    {
        return;
    }
    mark_member(state, failed.m_target, member_state::suspect, now, actions);
    // Tells the suspect, so that it can refute.
    ping_member(state, failed.m_target, actions);
}

void run_probe(membership_state& state, time_point now, random_source& random,
               membership_actions& actions)
{
    if (state.m_probe)
    {
        const duration waited = now - state.m_probe->m_sent;
        if (waited >= state.m_settings.m_probe_timeout)
        {
            fail_probe(state, now, actions);
        }
        else if (waited >= state.m_settings.m_direct_timeout &&
                 !state.m_probe->m_indirect)
        {
            ask_others(state, random, actions);
        }
    }
    if (now >= state.m_next_probe && !state.m_probe)
    {
        state.m_next_probe = now + state.m_settings.m_probe_period;
        start_probe(state, now, random, actions);
    }
}

/// Ends suspicions and forgets members that were unreachable for too long.
void scan_members(membership_state& state, time_point now, membership_actions& actions)
{
    std::vector<node_id> dead;
    std::vector<node_id> forgotten;
    for (const auto& entry : state.m_members)
    {
        const duration age = now - entry.m_row.m_since;
        const member_state current = entry.m_row.m_info.m_state;
        if (current == member_state::suspect &&
            age >= state.m_settings.m_suspicion_timeout)
        {
            dead.push_back(entry.m_id);
        }
        if (current == member_state::dead && age >= state.m_settings.m_keep_unreachable)
        {
            forgotten.push_back(entry.m_id);
        }
    }
    for (const node_id& node : dead)
    {
        mark_member(state, node, member_state::dead, now, actions);
    }
    for (const node_id& node : forgotten)
    {
        log_event{"member_forgotten"}.add("node", node);
        state.m_members.erase(node);
    }
    std::erase_if(state.m_relays,
                  [now](const auto& relay)
                  {
                      return now - relay.second.m_sent >= relay_lifetime;
                  });
}

void probe_unreachable(membership_state& state, time_point now, random_source& random,
                       membership_actions& actions)
{
    const duration period = state.m_settings.m_unreachable_probe_period;
    state.m_next_unreachable_probe =
        now + std::chrono::duration_cast<duration>(period * (0.5 + uniform_unit(random)));
    std::vector<node_id> dead;
    for (const auto& entry : state.m_members)
    {
        if (!is_live(entry.m_row))
        {
            dead.push_back(entry.m_id);
        }
    }
    if (!dead.empty())
    {
        const auto count = static_cast<std::uint32_t>(dead.size());
        ping_member(state, dead[uniform_below(random, count)], actions);
    }
}

void recheck_contradicted(membership_state& state, membership_actions& actions)
{
    for (std::size_t at = 0; at < rechecks_per_tick && !state.m_recheck.empty(); ++at)
    {
        const node_id node = state.m_recheck.back();
        state.m_recheck.pop_back();
        const member* found = state.m_members.find(node);
        if (found != nullptr && !is_live(*found))
        {
            ping_member(state, node, actions);
        }
    }
}

/// Reads a random live member's list.
void start_sync(membership_state& state, time_point now, random_source& random,
                membership_actions& actions)
{
    const duration period = state.m_sync_interval;
    state.m_next_sync =
        now + std::chrono::duration_cast<duration>(period * (0.5 + uniform_unit(random)));
    state.m_sync_interval =
        std::min<duration>(2 * period, state.m_settings.m_sync_period);
    const auto picked = pick_live(state, 1, node_id{}, random);
    if (!picked.empty())
    {
        const node_address address = address_of(state, picked.front());
        request_page(state, picked.front(), address, node_id{}, now, actions);
    }
}

bool is_known_address(const membership_state& state, const node_address& address)
{
    if (address == state.m_self.m_peer)
    {
        return true;
    }
    return std::any_of(state.m_members.begin(), state.m_members.end(),
                       [&](const auto& entry)
                       {
                           return is_live(entry.m_row) &&
                                  entry.m_row.m_info.m_peer == address;
                       });
}

/// Asks addresses that no live member has; a lone node asks several at once.
void probe_hints(membership_state& state, time_point now, random_source& random,
                 membership_actions& actions)
{
    const bool alone = live_count(state) == 1;
    state.m_next_hint =
        now + (alone ? state.m_settings.m_probe_period : state.m_settings.m_hint_period);
    std::vector<node_address> unknown;
    for (const node_hint& hint : state.m_hints)
    {
        if (!is_known_address(state, hint.m_peer))
        {
            unknown.push_back(hint.m_peer);
        }
    }
    const std::uint32_t fanout = alone ? join_fanout : 1;
    for (std::uint32_t asked = 0; asked < fanout && !unknown.empty(); ++asked)
    {
        const auto count = static_cast<std::uint32_t>(unknown.size());
        const std::uint32_t at = uniform_below(random, count);
        request_page(state, node_id{}, unknown[at], node_id{}, now, actions);
        unknown.erase(unknown.begin() + at);
    }
}

/// Tells a few members of a new configuration version or urgent state. Periodic probes
/// alone need about 6 rounds of 1 s at 370 nodes, and an urgent state has 3 s.
void spread_rumour(membership_state& state, time_point now, random_source& random,
                   membership_actions& actions)
{
    --state.m_rumour_rounds_left;
    state.m_next_rumour = now + state.m_settings.m_rumour_period;
    const auto picked =
        pick_live(state, state.m_settings.m_rumour_fanout, node_id{}, random);
    for (const node_id& node : picked)
    {
        ping_member(state, node, actions);
    }
}

/// Spreads waiting updates faster than the periodic probes do.
void work_off_backlog(membership_state& state, time_point now, random_source& random,
                      membership_actions& actions)
{
    const bool waiting = state.m_broadcasts.size() > max_piggybacked_updates;
    if (!waiting || now < state.m_next_backlog)
    {
        return;
    }
    state.m_next_backlog = now + state.m_settings.m_backlog_period;
    const auto picked = pick_live(state, 1, node_id{}, random);
    if (!picked.empty())
    {
        ping_member(state, picked.front(), actions);
    }
}

void run_periodic(membership_state& state, time_point now, random_source& random,
                  membership_actions& actions)
{
    if (now >= state.m_next_scan)
    {
        state.m_next_scan = now + scan_period;
        scan_members(state, now, actions);
    }
    if (now >= state.m_next_unreachable_probe)
    {
        probe_unreachable(state, now, random, actions);
    }
    if (state.m_sync && now - state.m_sync->m_sent >= sync_timeout)
    {
        state.m_sync.reset();
    }
    if (now >= state.m_next_sync && !state.m_sync)
    {
        start_sync(state, now, random, actions);
    }
    if (now >= state.m_next_hint && !state.m_sync)
    {
        probe_hints(state, now, random, actions);
    }
}

} // namespace

void tick_membership(membership_state& state, time_point now, random_source& random,
                     membership_actions& actions)
{
    note_event(state, now, actions);
    if (state.m_self.m_state == member_state::left)
    {
        return;
    }
    run_probe(state, now, random, actions);
    run_periodic(state, now, random, actions);
    recheck_contradicted(state, actions);
    work_off_backlog(state, now, random, actions);
    if (state.m_rumour_rounds_left > 0 && now >= state.m_next_rumour)
    {
        spread_rumour(state, now, random, actions);
    }
}

} // namespace geraniumdoor
