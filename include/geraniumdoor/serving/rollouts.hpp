#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>
#include <geraniumdoor/cluster/store_version.hpp>
#include <geraniumdoor/serving/rollout_judgement.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// How the traffic of a pool moves to another software version: docs/design/rollouts.md.

namespace geraniumdoor::serving
{

/// What the operator has ordered for a pool.
struct rollout_order
{
    pool_id m_pool;
    software_version m_version;
    /// Time within which the traffic is to be moved.
    milliseconds m_duration{0};
    /// Version of the store's row, which tells the order from earlier ones.
    store_version m_id;
};

/// Bounds that the operators set for versions that turn out bad.
struct rollout_limits
{
    /// Largest share of a pool's requests that an unproven version may get.
    double m_exposure = 0.1;
    /// Versions that appear without an order are held back until one may have been read.
    bool m_holds_new_versions = false;
};

/// Phases are ordered: a host that hears of a later one takes it over.
enum class rollout_phase : std::uint8_t
{
    /// This host has not learnt how far the order is.
    unknown,
    trial,
    first_step,
    second_step,
    /// All requests go to the new version; some may still run at others.
    moved,
    rolled_back,
    /// Written to the store: upstreams of other versions stop.
    done,
};

const char* to_text(rollout_phase phase);

/// Counts that one process of a host has sent.
struct host_counts
{
    std::uint32_t m_sequence = 0;
    rollout_phase m_phase = rollout_phase::unknown;
    std::uint32_t m_in_progress_elsewhere = 0;
    answer_counts m_counts;
    time_point m_heard_at{};
};

/// An order and what is known of its progress.
struct rollout
{
    rollout_order m_order;
    rollout_phase m_phase = rollout_phase::unknown;
    /// When the order came into force, as far as this host knows.
    time_point m_began_at{};
    time_point m_phase_began_at{};
    /// Upstreams of other versions were known at some time since.
    bool m_had_others = false;
    /// The operator has removed the order.
    bool m_is_withdrawn = false;
    /// Why the phase was entered, for logs.
    std::string m_reason;
    /// Versions that earlier orders did not prove.
    std::set<software_version> m_unproven;
    /// Answers that this host got.
    answer_counts m_counts;
    /// What processes of other hosts have sent.
    std::map<std::pair<node_id, incarnation>, host_counts> m_hosts;
    /// Sums of all counts at earlier times, the oldest first.
    std::deque<std::pair<time_point, answer_counts>> m_history;
};

/// Orders by pool, and when versions were first seen.
struct rollout_table
{
    std::map<pool_id, rollout> m_orders;
    std::map<pool_id, std::map<software_version, time_point>> m_versions;
};

/// Records an order that was read from the store.
/// @param is_new whether the order was written while this host followed the store, so
/// that it cannot be further than at its start
void apply_order(rollout_table& table, const rollout_order& order, bool is_new,
                 time_point now);

/// Records that the operator has removed the order of a pool.
void withdraw_order(rollout_table& table, const pool_id& pool, time_point now);

/// Takes over a later phase.
/// @return whether the phase has changed
bool enter_phase(rollout& entry, rollout_phase phase, std::string reason, time_point now);

/// Share of requests that may go to the new version in a phase.
double trial_share(const rollout& entry, const rollout_limits& limits);

/// Whether a request is one of the share. All hosts give the same answer for the same
/// request.
bool is_selected(const rollout& entry, const rollout_limits& limits,
                 const std::string& request);

/// What a decision of the next phase rests on.
struct rollout_view
{
    /// This host hears most others, so that its sums are complete.
    bool m_is_connected = false;
    /// Upstreams of the new version, and of others, that accept work.
    std::size_t m_upstreams = 0;
    std::size_t m_others = 0;
    /// Time that requests of the pool take at most, apart from few.
    milliseconds m_drain_time{0};
    /// Requests that this host has in progress at upstreams of other versions.
    std::uint32_t m_in_progress_elsewhere = 0;
};

/// Counts of all hosts.
answer_counts sum_counts(const rollout& entry);

/// Decides the next phase from the counts of all hosts.
///
/// Load pattern: a version that is bad in part of its answers, at once or after a while,
/// under load or on one route, among the troubles of a day, and a service whose requests
/// last nearly as long as the order allows. The trial lasts as long as moving and
/// draining still fit before the deadline.
/// @return whether the phase has changed
bool advance(rollout& entry, const rollout_view& view, time_point now);

/// Whether nothing runs at upstreams of other versions any more, so that they may stop.
/// Silent hosts are waited for until the deadline, and four seconds at least.
/// @param others hosts that may still have requests there
bool may_finish(const rollout& entry, const rollout_view& view,
                const std::vector<std::pair<node_id, incarnation>>& others,
                time_point now);

/// Records when versions were first seen, and decides which requests each upstream of the
/// table may get.
void apply_rollouts(rollout_table& table, upstream_table& upstreams,
                    const rollout_limits& limits, bool is_connected, time_point now);

/// Makes the report of an order for other hosts.
rollout_report make_rollout_report(const rollout& entry, const host_report& own,
                                   std::uint32_t sequence, std::uint32_t in_progress,
                                   time_point now);

/// Takes over what another host knows. Reports may come in any order, and twice.
/// @return whether the phase has changed
bool apply_rollout_report(rollout_table& table, const rollout_report& report,
                          time_point now);

} // namespace geraniumdoor::serving
