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
    refill_budget(state, now);
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
/// Time between two scans while nobody is suspected; shorter than the suspicion timeout.
constexpr milliseconds idle_scan_period{1000};
constexpr milliseconds relay_lifetime{2000};
constexpr milliseconds sync_timeout{1000};

/// Time between two looks for proofs that are too old.
constexpr milliseconds gone_scan_period{60'000};

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
        append_datagram(state, address_of(state, helper), message, actions);
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
    bool suspected = false;
    for (const auto& entry : state.m_members)
    {
        const duration age = now - entry.m_row.m_since;
        const member_state current = entry.m_row.m_info.m_state;
        suspected = suspected || current == member_state::suspect;
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
    state.m_next_scan = now + (suspected ? scan_period : idle_scan_period);
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

void run_periodic(membership_state& state, time_point now, random_source& random,
                  membership_actions& actions)
{
    if (now >= state.m_next_scan)
    {
        scan_members(state, now, actions);
    }
    if (now >= state.m_next_gone_scan)
    {
        state.m_next_gone_scan = now + gone_scan_period;
        forget_old_proofs(state, now);
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
    spread_rumour(state, now, random, actions);
}

} // namespace geraniumdoor
