#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/dispatch/attempt_log.hpp>
#include <geraniumdoor/dispatch/call_queue.hpp>
#include <geraniumdoor/dispatch/concurrency_limit.hpp>
#include <geraniumdoor/dispatch/dispatcher_actions.hpp>
#include <geraniumdoor/dispatch/prefix_index.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace geraniumdoor
{

/// One upstream as its owner, or a node that may become its owner, knows it.
struct upstream_row
{
    // The members that each decision reads come first and share two cache lines.
    /// Nothing is dispatched at or after this time.
    time_point m_authority_until{};
    time_point m_inherited_until{};
    /// Calls of this process that are in progress.
    std::uint32_t m_outstanding = 0;
    /// Calls of an earlier owner that still count against the limit, until the time.
    std::uint32_t m_inherited_outstanding = 0;
    /// As in the record, which lies further away in memory.
    bool m_listed_leaving = false;
    bool m_data_centre_out = false;
    bool m_reported_leaving = false;
    /// Gone from the host list; erased once no call is outstanding.
    bool m_gone = false;
    concurrency_limit m_limit;
    /// Last sign of life, or the time when the upstream was last without calls.
    time_point m_heard_at{};
    upstream_record m_record;
};

struct pool_row
{
    pool_config m_config;
    /// Positions in dispatcher_state::m_upstreams.
    std::vector<std::size_t> m_upstreams;
    call_queue m_queue;
    prefix_index m_prefixes;
    /// Lowest average response time among the upstreams, in milliseconds.
    std::optional<double> m_best_average_ms;
    /// Exponentially weighted average length of a call, in milliseconds.
    double m_call_ms = 0;
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_total_slots = 0;
};

/// A call between its acceptance and its result.
struct call_row
{
    node_id m_from;
    stage_call m_call;
    time_point m_received;
    time_point m_deadline;
    /// Set while an upstream runs the call.
    std::optional<upstream_call_id> m_running;
    /// Index of the next token of a streamed answer.
    std::uint32_t m_next_token = 0;
};

/// A call that has left for an upstream and whose end was not reported yet.
struct running_row
{
    call_key m_key;
    upstream_id m_upstream;
    pool_id m_pool;
    time_point m_dispatched;
    /// The result was sent already; the end says nothing about the upstream's health.
    bool m_abandoned = false;
    /// The connection was closed because the token order broke.
    bool m_broken_order = false;
};

/// Owner's side of dispatch: all state of one node.
struct dispatcher_state
{
    incarnation m_self;
    random_source m_random;
    table<upstream_id, upstream_row> m_upstreams;
    table<pool_id, pool_row> m_pools;
    std::unordered_set<data_centre_id> m_out;
    std::unordered_map<call_key, call_row> m_calls;
    table<upstream_call_id, running_row> m_running;
    attempt_log m_attempts;
    std::uint64_t m_last_call = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_finished = 0;
};

/// State that a new owner received from the old one.
struct handover_state
{
    std::uint32_t m_limit = 0;
    incarnation m_upstream_incarnation;
    std::uint32_t m_outstanding = 0;
    /// Longest time for which the outstanding calls count unless reported finished.
    duration m_longest_call{};
};

dispatcher_state make_dispatcher(incarnation self, std::uint64_t seed);

/// Replaces the pools. Queued calls of a pool that is gone are answered not_dispatched.
void set_pools(dispatcher_state& state, const std::vector<pool_config>& pools,
               time_point now, std::vector<dispatcher_action>& actions);

/// Replaces the upstreams by the host list. Upstreams of unknown pools are ignored.
/// Upstreams that are missing receive nothing new and are forgotten once idle.
void set_upstreams(dispatcher_state& state, const std::vector<upstream_record>& records,
                   time_point now);

/// Until when this process may dispatch to the upstream; time_point{} withdraws it.
void set_authority(dispatcher_state& state, const upstream_id& upstream,
                   time_point until);

/// This process became owner. The limit starts at the cold limit unless it was handed
/// over, and the given calls of the old owner count against it.
void take_over(dispatcher_state& state, const upstream_id& upstream,
               const std::optional<handover_state>& from, time_point now);

/// The old owner reported how many of its calls are still in progress.
void set_inherited_outstanding(dispatcher_state& state, const upstream_id& upstream,
                               std::uint32_t outstanding);

/// An upstream whose data centre returns starts at the cold limit.
void set_data_centre_out(dispatcher_state& state, const data_centre_id& data_centre,
                         bool out, time_point now);

void on_stage_call(dispatcher_state& state, const node_id& from, stage_call call,
                   time_point now, std::vector<dispatcher_action>& actions);

/// Drops a queued call and aborts a running idempotent call. A running non-idempotent
/// call goes on, because its outcome is still needed.
void on_stage_cancel(dispatcher_state& state, const stage_cancel& cancel, time_point now,
                     std::vector<dispatcher_action>& actions);

/// Fences the attempt unless it was dispatched, and returns what to answer.
attempt_status on_attempt_query(dispatcher_state& state, const attempt_query& query,
                                time_point now, std::vector<dispatcher_action>& actions);

/// index is the position in the whole answer, delivered tokens included.
void on_upstream_token(dispatcher_state& state, upstream_call_id id, std::uint32_t index,
                       std::string token, time_point now,
                       std::vector<dispatcher_action>& actions);

/// Must be called exactly once for each start_upstream_call, aborted ones included.
void on_upstream_end(dispatcher_state& state, upstream_call_end end, time_point now,
                     std::vector<dispatcher_action>& actions);

/// Precondition: the report was received no longer than two seconds ago.
void on_load_report(dispatcher_state& state, const load_report& report, time_point now,
                    std::vector<dispatcher_action>& actions);

/// Applies due raises, finds silent upstreams, answers expired calls and dispatches what
/// has become possible. To be called every 50 ms.
void tick(dispatcher_state& state, time_point now,
          std::vector<dispatcher_action>& actions);

/// Load of this owner's part of the pool; zeros when the pool is unknown.
pool_hint hint_of(const dispatcher_state& state, const pool_id& pool);

/// Calls that are queued or running here.
std::size_t calls_in_progress(const dispatcher_state& state);

/// Calls of this process on the upstream, for transfer and rebalancing.
std::uint32_t outstanding_on(const dispatcher_state& state, const upstream_id& upstream);

} // namespace geraniumdoor
