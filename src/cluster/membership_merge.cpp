#include "membership_internal.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace geraniumdoor::membership_detail
{

namespace
{

/// Bounds the memory that a faulty peer can take.
constexpr std::size_t max_urgent_states = 64;
constexpr std::size_t max_members = 4096;
constexpr std::size_t max_recheck = 512;

/// At one revision a graver state replaces a milder one.
int gravity(member_state state)
{
    switch (state)
    {
    case member_state::alive:
    case member_state::leaving:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::dead:
        return 2;
    case member_state::left:
        return 3;
    }
    return 0;
}

void log_member(const member_update& info)
{
    log_event{"member_changed"}
        .add("node", info.m_node)
        .add("incarnation", info.m_incarnation)
        .add("revision", info.m_revision)
        .add("state", to_text(info.m_state));
}

void report_change(const member_update& info, membership_actions& actions)
{
    log_member(info);
    actions.emplace_back(member_changed{info});
}

void record_gone(membership_state& state, const node_id& node, incarnation gone,
                 membership_actions& actions)
{
    const incarnation next{gone.m_value + 1};
    gone_proof& proof = state.m_gone[node];
    if (proof.m_first_not_gone < next)
    {
        proof = gone_proof{next, state.m_last_event};
        actions.emplace_back(incarnation_gone{node, gone});
    }
}

void raise_own_incarnation(membership_state& state, incarnation seen,
                           membership_actions& actions)
{
    const incarnation former = state.m_self.m_incarnation;
    state.m_self.m_incarnation = incarnation{seen.m_value + 1};
    state.m_self.m_revision = 0;
    log_event{"own_incarnation_raised"}
        .add("former", former)
        .add("now", state.m_self.m_incarnation);
    actions.emplace_back(own_incarnation_raised{former, state.m_self.m_incarnation});
    queue_broadcast(state, state.m_self);
}

void merge_own(membership_state& state, const member_update& update,
               membership_actions& actions)
{
    member_update& self = state.m_self;
    if (self.m_state == member_state::left || update.m_incarnation < self.m_incarnation)
    {
        return;
    }
    const bool other_process =
        update.m_incarnation > self.m_incarnation || update.m_peer != self.m_peer;
    if (other_process || update.m_state == member_state::left)
    {
        raise_own_incarnation(state, update.m_incarnation, actions);
        return;
    }
    const bool doubted = gravity(update.m_state) > 0;
    if (update.m_revision > self.m_revision ||
        (doubted && update.m_revision == self.m_revision))
    {
        self.m_revision = update.m_revision + 1;
        queue_broadcast(state, self);
        // A refutation that arrives after the suspicion timeout is too late.
        spread_at_once(state);
    }
}

void merge_left(membership_state& state, const member_update& update,
                membership_actions& actions)
{
    record_gone(state, update.m_node, update.m_incarnation, actions);
    const member* known = state.m_members.find(update.m_node);
    if (known != nullptr && known->m_info.m_incarnation <= update.m_incarnation)
    {
        state.m_members.erase(update.m_node);
        report_change(update, actions);
    }
    queue_broadcast(state, update);
}

void add_member(membership_state& state, const member_update& update,
                update_source source, time_point now, membership_actions& actions)
{
    const bool reachable = update.m_state != member_state::dead;
    if (!reachable || state.m_members.size() >= max_members)
    {
        return;
    }
    state.m_members.put(update.m_node, member{update, now});
    report_change(update, actions);
    // Others read lists too; the nodes that a new member asks spread it as news.
    if (source == update_source::news)
    {
        queue_broadcast(state, update);
    }
}

bool differs(const member_update& a, const member_update& b)
{
    const auto seen = [](const member_update& info)
    {
        return std::tie(info.m_incarnation, info.m_state, info.m_leaving, info.m_peer,
                        info.m_caller, info.m_admin, info.m_data_centre);
    };
    return seen(a) != seen(b);
}

void replace_member(membership_state& state, member& known, const member_update& update,
                    time_point now, membership_actions& actions)
{
    const member_update before = known.m_info;
    known.m_info = update;
    if (before.m_state != update.m_state || before.m_incarnation != update.m_incarnation)
    {
        known.m_since = now;
    }
    queue_broadcast(state, update);
    if (differs(before, update))
    {
        report_change(update, actions);
    }
}

bool is_newer(const member_update& update, const member_update& known)
{
    const auto rank = [](const member_update& info)
    {
        return std::tuple{info.m_incarnation, info.m_revision, gravity(info.m_state)};
    };
    return rank(update) > rank(known);
}

/// Whether a known, reachable member makes the update old. Most updates are, and these
/// need neither the proofs nor the queue.
bool is_old_news(const member* known, const member_update& update)
{
    return known != nullptr && is_live(*known) &&
           update.m_incarnation == known->m_info.m_incarnation &&
           update.m_state != member_state::left && !is_newer(update, known->m_info);
}

/// A node that others reach although it is held as dead is asked to refute.
void note_contradiction(membership_state& state, const member& known,
                        const member_update& update)
{
    const bool contradicts = known.m_info.m_state == member_state::dead &&
                             gravity(update.m_state) == 0 &&
                             known.m_info.m_incarnation == update.m_incarnation &&
                             known.m_info.m_revision == update.m_revision;
    if (!contradicts || state.m_recheck.size() >= max_recheck)
    {
        return;
    }
    const auto at =
        std::find(state.m_recheck.begin(), state.m_recheck.end(), update.m_node);
    if (at == state.m_recheck.end())
    {
        state.m_recheck.push_back(update.m_node);
    }
}

} // namespace

bool is_live(const member& entry)
{
    return entry.m_info.m_state != member_state::dead;
}

void merge_update(membership_state& state, const member_update& update,
                  update_source source, time_point now, membership_actions& actions)
{
    const node_id& node = update.m_node;
    // The largest number has no successor, so no refutation and no proof could follow.
    constexpr incarnation last{std::numeric_limits<std::uint64_t>::max()};
    if (node.m_value.empty() || update.m_incarnation == last)
    {
        return;
    }
    if (node == state.m_self.m_node)
    {
        merge_own(state, update, actions);
        return;
    }
    member* known = state.m_members.find(node);
    if (is_old_news(known, update) || is_gone(state, node, update.m_incarnation))
    {
        return;
    }
    if (update.m_state == member_state::left)
    {
        merge_left(state, update, actions);
        return;
    }
    // A process takes its number when it starts, so all lower ones have ended.
    if (update.m_incarnation.m_value > 0)
    {
        record_gone(state, node, incarnation{update.m_incarnation.m_value - 1}, actions);
    }
    if (known == nullptr)
    {
        add_member(state, update, source, now, actions);
        if (source == update_source::list)
        {
            state.m_sync_interval = state.m_settings.m_first_sync_period;
            state.m_next_sync = std::min(state.m_next_sync, now + state.m_sync_interval);
        }
        return;
    }
    const bool stale_doubt = source == update_source::list &&
                             gravity(update.m_state) > 0 &&
                             update.m_incarnation == known->m_info.m_incarnation &&
                             update.m_revision == known->m_info.m_revision;
    if (is_newer(update, known->m_info) && !stale_doubt)
    {
        replace_member(state, *known, update, now, actions);
        return;
    }
    note_contradiction(state, *known, update);
}

void mark_member(membership_state& state, const node_id& node, member_state marked,
                 time_point now, membership_actions& actions)
{
    const member* known = state.m_members.find(node);
    if (known == nullptr || gravity(marked) <= gravity(known->m_info.m_state))
    {
        return;
    }
    member_update update = known->m_info;
    update.m_state = marked;
    merge_update(state, update, update_source::news, now, actions);
}

void merge_urgent(membership_state& state, const urgent_state& urgent,
                  membership_actions& actions)
{
    if (announce_urgent_state(state, urgent))
    {
        actions.emplace_back(urgent_state_learned{urgent});
    }
}

} // namespace geraniumdoor::membership_detail

namespace geraniumdoor
{

using namespace membership_detail;

bool announce_urgent_state(membership_state& state, const urgent_state& urgent)
{
    auto& all = state.m_urgent;
    const auto at = std::find_if(all.begin(), all.end(),
                                 [&](const urgent_state& known)
                                 {
                                     return known.m_data_centre == urgent.m_data_centre;
                                 });
    if (at != all.end() && !overrules(urgent, *at))
    {
        return false;
    }
    if (at == all.end() && all.size() >= max_urgent_states)
    {
        log_event{"urgent_state_rejected"}.add("data_centre", urgent.m_data_centre);
        return false;
    }
    if (at == all.end())
    {
        all.push_back(urgent);
    }
    else
    {
        *at = urgent;
    }
    spread_at_once(state);
    return true;
}

void declare_gone(membership_state& state, const node_id& node, incarnation gone,
                  time_point now, membership_actions& actions)
{
    member_update update;
    const member* known = state.m_members.find(node);
    if (known != nullptr)
    {
        update = known->m_info;
    }
    update.m_node = node;
    update.m_incarnation = gone;
    update.m_state = member_state::left;
    merge_update(state, update, update_source::news, now, actions);
}

} // namespace geraniumdoor
