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

/// State of one upstream at its owner, or at a node that may become its owner.
struct upstream_row
{
    // The members that each dispatch decision reads come first and share two cache lines.
    /// No call is dispatched at or after this time.
    time_point m_authority_until{};
    /// End of the time for which m_inherited_outstanding counts.
    time_point m_inherited_until{};
    /// Calls of this process that are in progress.
    std::uint32_t m_outstanding = 0;
    /// Calls of an earlier owner, which count against the limit until m_inherited_until.
    std::uint32_t m_inherited_outstanding = 0;
    /// Copy of m_record.m_leaving, which is on a later cache line.
    bool m_listed_leaving = false;
    bool m_data_centre_out = false;
    bool m_reported_leaving = false;
    /// Missing from the host list; the row is erased once no call is outstanding.
    bool m_delisted = false;
    concurrency_limit m_limit;
    /// When the upstream last sent anything, last went from idle to busy or was last
    /// found unresponsive.
    time_point m_last_activity{};
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
    std::optional<double> m_lowest_average_ms_per_token;
    /// Exponentially weighted moving average of call durations, in milliseconds.
    double m_average_call_ms = 0;
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_total_slots = 0;
};

/// A call between its acceptance and its result.
struct call_row
{
    /// Coordinator that sent the call and receives the result.
    node_id m_from;
    stage_call m_call;
    time_point m_received;
    time_point m_deadline;
    /// Set while the call is in progress at an upstream.
    std::optional<upstream_call_id> m_upstream_call;
    /// Index of the next token of a streamed answer.
    std::uint32_t m_next_token = 0;
};

/// A call that was sent to an upstream and whose end was not reported yet.
struct running_row
{
    call_key m_key;
    upstream_id m_upstream;
    pool_id m_pool;
    time_point m_dispatched;
    /// The call was aborted. A failure at its end is not counted against the upstream,
    /// unless m_token_gap is set.
    bool m_abandoned = false;
    /// The call was aborted because a token was missing from the stream.
    bool m_token_gap = false;
};

/// State of the dispatcher of one node, which sends calls to the upstreams that the node
/// owns.
struct dispatcher_state
{
    incarnation m_incarnation;
    random_source m_random;
    table<upstream_id, upstream_row> m_upstreams;
    table<pool_id, pool_row> m_pools;
    std::unordered_set<data_centre_id> m_data_centres_out;
    std::unordered_map<call_key, call_row> m_calls;
    table<upstream_call_id, running_row> m_running;
    attempt_log m_attempts;
    std::uint64_t m_last_call_id = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_finished = 0;
};

/// State of an upstream that its new owner received from the previous one.
struct handover_state
{
    std::uint32_t m_limit = 0;
    incarnation m_upstream_incarnation;
    std::uint32_t m_outstanding = 0;
    /// Time for which the outstanding calls count, unless they are reported finished.
    duration m_longest_call{};
};

dispatcher_state make_dispatcher(incarnation self, std::uint64_t seed);

/// Replaces the pools. Queued calls of a removed pool are answered not_dispatched.
void set_pools(dispatcher_state& state, const std::vector<pool_config>& pools,
               time_point now, std::vector<dispatcher_action>& actions);

/// Replaces the upstreams with those of the host list. Upstreams of unknown pools receive
/// no calls. Missing upstreams receive no new calls and are erased once idle.
void set_upstreams(dispatcher_state& state, const std::vector<upstream_record>& records,
                   time_point now);

/// Sets the time until which this process may dispatch to the upstream; time_point{}
/// withdraws the authority.
void set_authority(dispatcher_state& state, const upstream_id& upstream,
                   time_point until);

/// Called when this process becomes owner of the upstream. The limit starts at the cold
/// limit or, if higher, at the limit in the handover. The outstanding calls in the
/// handover count against it.
void take_over(dispatcher_state& state, const upstream_id& upstream,
               const std::optional<handover_state>& from, time_point now);

/// Lowers the number of calls of the previous owner that count against the limit.
void set_inherited_outstanding(dispatcher_state& state, const upstream_id& upstream,
                               std::uint32_t outstanding);

/// Takes a data centre out of dispatch, or returns it. Both reset its upstreams to the
/// cold limit.
void set_data_centre_out(dispatcher_state& state, const data_centre_id& data_centre,
                         bool out, time_point now);

void on_stage_call(dispatcher_state& state, const node_id& from, stage_call call,
                   time_point now, std::vector<dispatcher_action>& actions);

/// Removes a queued call and aborts a running idempotent call. A running non-idempotent
/// call continues, because its outcome is still needed.
void on_stage_cancel(dispatcher_state& state, const stage_cancel& cancel, time_point now,
                     std::vector<dispatcher_action>& actions);

/// Fences the attempt unless it was dispatched, and returns the answer to the query.
attempt_status on_attempt_query(dispatcher_state& state, const attempt_query& query,
                                time_point now, std::vector<dispatcher_action>& actions);

/// Forwards a token of a streamed answer. index is the position in the whole answer,
/// including the tokens that earlier attempts delivered.
void on_upstream_token(dispatcher_state& state, upstream_call_id id, std::uint32_t index,
                       std::string token, time_point now,
                       std::vector<dispatcher_action>& actions);

/// Must be called exactly once for each start_upstream_call, including aborted calls.
void on_upstream_end(dispatcher_state& state, upstream_call_end end, time_point now,
                     std::vector<dispatcher_action>& actions);

/// Precondition: the report is at most two seconds old.
void on_load_report(dispatcher_state& state, const load_report& report, time_point now,
                    std::vector<dispatcher_action>& actions);

/// Applies due raises, detects unresponsive upstreams, answers expired calls and
/// dispatches queued calls where possible. Must be called every 50 ms.
void tick(dispatcher_state& state, time_point now,
          std::vector<dispatcher_action>& actions);

/// Returns the load of this owner's part of the pool; zeros when the pool is unknown.
pool_hint pool_hint_of(const dispatcher_state& state, const pool_id& pool);

/// Returns the number of calls that are queued or running.
std::size_t calls_in_progress(const dispatcher_state& state);

/// Returns the number of this process's calls in progress at the upstream.
std::uint32_t outstanding_on(const dispatcher_state& state, const upstream_id& upstream);

} // namespace geraniumdoor
