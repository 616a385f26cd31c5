#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/rollouts.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace geraniumdoor::serving
{

namespace
{

/// Part of the permitted exposure that the trial uses. The rest is for requests that are
/// sent before a version which turns bad later is found out.
constexpr double trial_part = 0.7;

constexpr double first_step_share = 0.3;
constexpr double second_step_share = 0.6;

/// Part of the order's time that the trial takes at least.
constexpr double min_trial_part = 0.35;

/// Part of the order's time that is kept for draining at most.
constexpr double max_drain_part = 0.4;
constexpr milliseconds min_drain_time{500};

/// Steps take this part of the order's time, within bounds.
constexpr int steps_per_duration = 12;
constexpr milliseconds min_step_time{1000};
constexpr milliseconds max_step_time{3000};

/// Time for hosts to agree and for the state to be written.
constexpr milliseconds finish_margin{1500};

/// Answers of the new version without which it counts as untried.
constexpr std::uint32_t min_answers = 20;

/// Answers of a version that turns bad are compared within this time.
constexpr milliseconds comparison_time{4000};
constexpr milliseconds snapshot_interval{500};

/// Least time for which a silent host is waited for before upstreams are stopped.
constexpr milliseconds min_silent_wait{4000};

/// Time for which a version that a pool has not had before gets no requests, so that an
/// order for it can be read. Longer than a read of the operator's table and a pull.
constexpr milliseconds new_version_hold{2000};

/// Fewest upstreams in a trial, so that one in trouble does not stand for its version.
constexpr std::size_t min_trial_upstreams = 3;

milliseconds part_of(milliseconds length, double part)
{
    return milliseconds{
        static_cast<std::int64_t>(part * static_cast<double>(length.count()))};
}

milliseconds step_time(const rollout_order& order)
{
    return std::clamp(order.m_duration / steps_per_duration, min_step_time,
                      max_step_time);
}

/// Time from the order until the trial ends.
milliseconds trial_time(const rollout_order& order, milliseconds drain_time)
{
    const milliseconds drain =
        std::clamp(drain_time, min_drain_time,
                   std::max(min_drain_time, part_of(order.m_duration, max_drain_part)));
    return std::max(part_of(order.m_duration, min_trial_part),
                    order.m_duration - drain - 2 * step_time(order) - finish_margin);
}

void take_snapshot(rollout& entry, const answer_counts& sum, time_point now)
{
    auto& history = entry.m_history;
    if (history.empty() || now - history.back().first >= snapshot_interval)
    {
        history.emplace_back(now, sum);
    }
    while (history.size() > 1 && now - history[1].first >= comparison_time)
    {
        history.pop_front();
    }
}

bool is_found_bad(const rollout& entry, const answer_counts& sum)
{
    return is_bad_version(sum) || has_too_many_bad_answers(sum) ||
           (!entry.m_history.empty() &&
            is_bad_version(counts_since(sum, entry.m_history.front().second)));
}

bool is_proven(const rollout& entry, const software_version& version)
{
    return version != entry.m_order.m_version && !entry.m_unproven.contains(version);
}

/// Upstreams of the new version, in an order that hosts with the same registry share.
std::vector<upstream_id> order_new_upstreams(const rollout& entry,
                                             const upstream_table& table)
{
    std::vector<std::pair<std::uint64_t, upstream_id>> weights;
    for (const auto& [id, row] : table.m_rows)
    {
        if (row.m_entry.m_pool == entry.m_order.m_pool &&
            row.m_entry.m_version == entry.m_order.m_version && !row.m_entry.m_leaving &&
            !row.m_says_leaving &&
            !table.m_evacuated_data_centres.contains(row.m_entry.m_data_centre))
        {
            weights.emplace_back(
                rendezvous_weight(entry.m_order.m_version.m_value, id.m_value), id);
        }
    }
    std::sort(weights.rbegin(), weights.rend());
    std::vector<upstream_id> order;
    order.reserve(weights.size());
    for (auto& [weight, id] : weights)
    {
        order.push_back(std::move(id));
    }
    return order;
}

/// Number of upstreams to which a share of requests goes, so that each has the load of
/// an upstream in force.
std::size_t trial_size(std::size_t upstreams, double share)
{
    const auto part =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(upstreams)));
    return std::min(upstreams, std::max(min_trial_upstreams, part));
}

upstream_use use_of_others(const rollout& entry, const upstream& row, bool has_new)
{
    if (entry.m_unproven.contains(row.m_entry.m_version))
    {
        return upstream_use::closed;
    }
    if (entry.m_phase == rollout_phase::moved)
    {
        return upstream_use::begun_streams;
    }
    return entry.m_phase == rollout_phase::done && has_new ? upstream_use::closed
                                                           : upstream_use::any;
}

upstream_use use_of_new(const rollout& entry, const upstream& row,
                        const std::set<upstream_id>& trial, bool has_others)
{
    switch (entry.m_phase)
    {
    case rollout_phase::moved:
    case rollout_phase::done:
        return upstream_use::any;
    case rollout_phase::rolled_back:
        // Without an order in force, a bad version is better than none.
        return entry.m_is_withdrawn && !has_others ? upstream_use::any
                                                   : upstream_use::closed;
    case rollout_phase::unknown:
        return upstream_use::closed;
    default:
        return trial.contains(row.m_entry.m_id) ? upstream_use::trial
                                                : upstream_use::begun_streams;
    }
}

void apply_rollout(rollout& entry, upstream_table& table, const rollout_limits& limits,
                   bool is_connected)
{
    const bool in_trial = entry.m_phase >= rollout_phase::trial &&
                          entry.m_phase <= rollout_phase::second_step;
    const auto order = order_new_upstreams(entry, table);
    const std::size_t tried = in_trial && is_connected
                                  ? trial_size(order.size(), trial_share(entry, limits))
                                  : 0;
    const std::set<upstream_id> trial{order.begin(),
                                      order.begin() + static_cast<std::ptrdiff_t>(tried)};
    bool has_new = false;
    bool has_others = false;
    for (auto& [id, row] : table.m_rows)
    {
        if (row.m_entry.m_pool == entry.m_order.m_pool)
        {
            has_new |= row.m_entry.m_version == entry.m_order.m_version;
            has_others |= is_proven(entry, row.m_entry.m_version);
        }
    }
    entry.m_had_others |= has_others;
    for (auto& [id, row] : table.m_rows)
    {
        if (row.m_entry.m_pool == entry.m_order.m_pool)
        {
            row.m_use = row.m_entry.m_version == entry.m_order.m_version
                            ? use_of_new(entry, row, trial, has_others)
                            : use_of_others(entry, row, has_new);
            row.m_version_group =
                row.m_entry.m_version == entry.m_order.m_version ? 1 : 0;
        }
    }
    for (std::size_t rank = 0; rank < order.size(); ++rank)
    {
        table.m_rows.find(order[rank])->m_version_group =
            static_cast<std::uint8_t>(1 + rank % version_groups);
    }
}

/// Records versions that are seen for the first time, and holds back new ones.
void hold_new_versions(rollout_table& table, upstream_table& upstreams,
                       const rollout_limits& limits, time_point now)
{
    for (auto& [id, row] : upstreams.m_rows)
    {
        table.m_versions[row.m_entry.m_pool].try_emplace(row.m_entry.m_version, now);
        row.m_use = upstream_use::any;
    }
    if (!limits.m_holds_new_versions)
    {
        return;
    }
    for (auto& [id, row] : upstreams.m_rows)
    {
        const auto& versions = table.m_versions[row.m_entry.m_pool];
        const time_point seen = versions.at(row.m_entry.m_version);
        const bool has_earlier =
            std::any_of(versions.begin(), versions.end(),
                        [seen](const auto& version)
                        {
                            return version.second + new_version_hold <= seen;
                        });
        if (has_earlier && now < seen + new_version_hold)
        {
            row.m_use = upstream_use::begun_streams;
        }
    }
}

/// Whether two identities are of one order. A store that came back from an older copy
/// numbers its rows anew.
bool is_same_order(store_version a, store_version b)
{
    return a == b || era_of(a) != era_of(b);
}

std::uint32_t to_32_bits(std::int64_t value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, UINT32_MAX));
}

} // namespace

const char* to_text(rollout_phase phase)
{
    switch (phase)
    {
    case rollout_phase::unknown:
        return "unknown";
    case rollout_phase::trial:
        return "trial";
    case rollout_phase::first_step:
        return "first_step";
    case rollout_phase::second_step:
        return "second_step";
    case rollout_phase::moved:
        return "moved";
    case rollout_phase::rolled_back:
        return "rolled_back";
    case rollout_phase::done:
        return "done";
    }
    return "unknown";
}

void apply_order(rollout_table& table, const rollout_order& order, bool is_new,
                 time_point now)
{
    rollout next;
    next.m_order = order;
    next.m_phase = is_new ? rollout_phase::trial : rollout_phase::unknown;
    next.m_began_at = now;
    next.m_phase_began_at = now;
    const auto known = table.m_orders.find(order.m_pool);
    if (known != table.m_orders.end())
    {
        const rollout& before = known->second;
        next.m_unproven = before.m_unproven;
        const bool is_proven_version = before.m_phase == rollout_phase::done;
        if (!is_proven_version)
        {
            next.m_unproven.insert(before.m_order.m_version);
        }
        // An order for an unproven version gives it another trial.
        next.m_unproven.erase(order.m_version);
    }
    table.m_orders[order.m_pool] = std::move(next);
}

void withdraw_order(rollout_table& table, const pool_id& pool, time_point now)
{
    const auto at = table.m_orders.find(pool);
    if (at != table.m_orders.end())
    {
        at->second.m_is_withdrawn = true;
        enter_phase(at->second, rollout_phase::rolled_back, "withdrawn", now);
    }
}

bool enter_phase(rollout& entry, rollout_phase phase, std::string reason, time_point now)
{
    if (phase <= entry.m_phase)
    {
        return false;
    }
    entry.m_phase = phase;
    entry.m_phase_began_at = now;
    entry.m_reason = std::move(reason);
    return true;
}

double trial_share(const rollout& entry, const rollout_limits& limits)
{
    switch (entry.m_phase)
    {
    case rollout_phase::trial:
        return trial_part * limits.m_exposure;
    case rollout_phase::first_step:
        return first_step_share;
    case rollout_phase::second_step:
        return second_step_share;
    case rollout_phase::moved:
    case rollout_phase::done:
        return 1;
    default:
        return 0;
    }
}

bool is_selected(const rollout& entry, const rollout_limits& limits,
                 const std::string& request)
{
    constexpr std::uint64_t hash_steps = 1 << 20;
    const auto step =
        stable_hash(request + '/' + entry.m_order.m_version.m_value) % hash_steps;
    return static_cast<double>(step) <
           trial_share(entry, limits) * static_cast<double>(hash_steps);
}

answer_counts sum_counts(const rollout& entry)
{
    answer_counts sum = entry.m_counts;
    for (const auto& [host, known] : entry.m_hosts)
    {
        add_counts(sum, known.m_counts);
    }
    return sum;
}

bool advance(rollout& entry, const rollout_view& view, time_point now)
{
    const bool is_open =
        entry.m_phase >= rollout_phase::trial && entry.m_phase <= rollout_phase::moved;
    if (!is_open)
    {
        return false;
    }
    const answer_counts sum = sum_counts(entry);
    take_snapshot(entry, sum, now);
    if (entry.m_had_others && is_found_bad(entry, sum))
    {
        return enter_phase(entry, rollout_phase::rolled_back, "bad_answers", now);
    }
    if (!view.m_is_connected)
    {
        return false;
    }
    const duration age = now - entry.m_began_at;
    const duration in_phase = now - entry.m_phase_began_at;
    switch (entry.m_phase)
    {
    case rollout_phase::trial:
        if (!entry.m_had_others && view.m_others == 0 && view.m_upstreams > 0)
        {
            return enter_phase(entry, rollout_phase::moved, "in_force", now);
        }
        if (age >= entry.m_order.m_duration)
        {
            return enter_phase(entry, rollout_phase::rolled_back, "untried", now);
        }
        return age >= trial_time(entry.m_order, view.m_drain_time) &&
               count_new_version(sum).m_answers >= min_answers &&
               enter_phase(entry, rollout_phase::first_step, "sound", now);
    case rollout_phase::first_step:
        return in_phase >= step_time(entry.m_order) &&
               enter_phase(entry, rollout_phase::second_step, "sound", now);
    case rollout_phase::second_step:
        return in_phase >= step_time(entry.m_order) &&
               enter_phase(entry, rollout_phase::moved, "sound", now);
    default:
        return false;
    }
}

bool may_finish(const rollout& entry, const rollout_view& view,
                const std::vector<std::pair<node_id, incarnation>>& others,
                time_point now)
{
    if (entry.m_phase != rollout_phase::moved || !view.m_is_connected ||
        view.m_in_progress_elsewhere > 0)
    {
        return false;
    }
    const time_point silent_until = std::max(entry.m_began_at + entry.m_order.m_duration,
                                             entry.m_phase_began_at + min_silent_wait);
    return std::all_of(others.begin(), others.end(),
                       [&](const auto& other)
                       {
                           const auto known = entry.m_hosts.find(other);
                           const bool has_told =
                               known != entry.m_hosts.end() &&
                               known->second.m_phase >= rollout_phase::moved;
                           return has_told ? known->second.m_in_progress_elsewhere == 0
                                           : now >= silent_until;
                       });
}

void apply_rollouts(rollout_table& table, upstream_table& upstreams,
                    const rollout_limits& limits, bool is_connected, time_point now)
{
    hold_new_versions(table, upstreams, limits, now);
    for (auto& [pool, entry] : table.m_orders)
    {
        apply_rollout(entry, upstreams, limits, is_connected);
    }
}

rollout_report make_rollout_report(const rollout& entry, const host_report& own,
                                   std::uint32_t sequence, std::uint32_t in_progress,
                                   time_point now)
{
    rollout_report report;
    report.m_node = own.m_node;
    report.m_incarnation = own.m_incarnation;
    report.m_sequence = sequence;
    report.m_pool = entry.m_order.m_pool.m_value;
    report.m_version = entry.m_order.m_version.m_value;
    report.m_order = entry.m_order.m_id.m_value;
    report.m_phase = static_cast<std::uint8_t>(entry.m_phase);
    report.m_age_ms = to_32_bits(
        std::chrono::duration_cast<milliseconds>(now - entry.m_began_at).count());
    report.m_had_others = entry.m_had_others;
    report.m_in_progress_elsewhere = in_progress;
    for (const auto& [key, count] : entry.m_counts)
    {
        if (report.m_counts.size() < max_reported_counts)
        {
            report.m_counts.push_back({key.m_route, key.m_group, count.m_answers,
                                       count.m_faults, count.m_slow});
        }
    }
    for (const software_version& version : entry.m_unproven)
    {
        if (report.m_unproven.size() < max_reported_unproven)
        {
            report.m_unproven.push_back(version.m_value);
        }
    }
    return report;
}

bool apply_rollout_report(rollout_table& table, const rollout_report& report,
                          time_point now)
{
    const auto at = table.m_orders.find(pool_id{report.m_pool});
    const bool fits =
        at != table.m_orders.end() &&
        at->second.m_order.m_version.m_value == report.m_version &&
        is_same_order(at->second.m_order.m_id, store_version{report.m_order});
    if (!fits)
    {
        return false;
    }
    rollout& entry = at->second;
    host_counts& known = entry.m_hosts[{report.m_node, report.m_incarnation}];
    if (known.m_sequence >= report.m_sequence)
    {
        return false;
    }
    known.m_sequence = report.m_sequence;
    known.m_phase = static_cast<rollout_phase>(report.m_phase);
    known.m_in_progress_elsewhere = report.m_in_progress_elsewhere;
    known.m_heard_at = now;
    for (const reported_count& count : report.m_counts)
    {
        known.m_counts[{count.m_route, count.m_group}] = {count.m_answers, count.m_faults,
                                                          count.m_slow};
    }
    if (known.m_phase == rollout_phase::unknown)
    {
        return false;
    }
    entry.m_began_at = std::min(entry.m_began_at, now - milliseconds{report.m_age_ms});
    entry.m_had_others |= report.m_had_others;
    for (const std::string& version : report.m_unproven)
    {
        if (version != entry.m_order.m_version.m_value)
        {
            entry.m_unproven.insert(software_version{version});
        }
    }
    return enter_phase(entry, known.m_phase, "host", now);
}

} // namespace geraniumdoor::serving
