#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/cluster/store_version.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumdoor
{

/// Identifies one attempt at one stage of one request.
struct call_key
{
    request_id m_request;
    stage_index m_stage;
    attempt_number m_attempt;

    auto operator<=>(const call_key&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_stage, m_attempt);
    }
};

enum class call_outcome : std::uint8_t
{
    /// The upstream's whole answer is in the result.
    answered,
    /// No byte has left for an upstream, and the attempt id is fenced.
    not_dispatched,
    /// The call left and failed; the upstream may have run it.
    failed,
};

enum class call_reason : std::uint8_t
{
    none,
    no_capacity,
    no_authority,
    queue_full,
    deadline,
    upstream_error,
    upstream_timeout,
    upstream_overloaded,
    broken_stream,
    duplicate_attempt,
    cancelled,
    node_leaving,
};

/// Load of the owner's part of a pool, sent with each result.
struct pool_hint
{
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_total_slots = 0;
    std::uint32_t m_queue_wait_ms = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_free_slots, m_total_slots, m_queue_wait_ms);
    }
};

/// First message on a connection, in both directions.
struct hello
{
    node_id m_node;
    incarnation m_incarnation;
    std::uint32_t m_protocol = 1;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_node, m_incarnation, m_protocol);
    }
};

/// Coordinator to owner: run one stage on one of the owner's upstreams.
struct stage_call
{
    call_key m_key;
    pool_id m_pool;
    pipeline_id m_pipeline;
    workspace_id m_workspace;
    std::uint32_t m_priority = 1;
    std::uint32_t m_weight = 1;
    /// Time left for this stage when the message was sent, in milliseconds.
    std::uint32_t m_budget_ms = 0;
    bool m_idempotent = true;
    bool m_streamed = false;
    /// Set for non-idempotent calls: the owner dispatches an attempt id at most once.
    attempt_id m_attempt_id;
    std::string m_operation;
    std::string m_input;
    /// Tokens that the caller already has, when a broken stream is resumed.
    std::vector<std::string> m_delivered;
    /// Upstreams that earlier attempts used.
    std::vector<upstream_id> m_excluded;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_pool, m_pipeline, m_workspace, m_priority, m_weight, m_budget_ms,
                m_idempotent, m_streamed, m_attempt_id, m_operation, m_input, m_delivered,
                m_excluded);
    }
};

/// Owner to coordinator: one token of a streamed answer.
struct stage_chunk
{
    call_key m_key;
    incarnation m_owner_incarnation;
    /// Position in the whole answer, counting delivered tokens of earlier attempts.
    std::uint32_t m_index = 0;
    std::string m_token;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_owner_incarnation, m_index, m_token);
    }
};

/// Owner to coordinator: the end of a call. Exactly one for each stage_call.
struct stage_result
{
    call_key m_key;
    incarnation m_owner_incarnation;
    call_outcome m_outcome = call_outcome::failed;
    call_reason m_reason = call_reason::none;
    upstream_id m_upstream;
    incarnation m_upstream_incarnation;
    std::string m_output;
    /// Number of tokens of the whole answer, for streamed calls.
    std::uint32_t m_tokens = 0;
    /// Time from dispatch to the end of the answer, in microseconds.
    std::uint32_t m_upstream_us = 0;
    /// Time that the owner suggests to wait before a repeat, in milliseconds.
    std::uint32_t m_retry_after_ms = 0;
    pool_hint m_hint;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_owner_incarnation, m_outcome, m_reason, m_upstream,
                m_upstream_incarnation, m_output, m_tokens, m_upstream_us,
                m_retry_after_ms, m_hint);
    }
};

/// Coordinator to owner: nobody waits for this call any more.
struct stage_cancel
{
    call_key m_key;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_key);
    }
};

/// Coordinator to owner: was this attempt dispatched? The owner fences it when it was
/// not.
struct attempt_query
{
    attempt_id m_attempt_id;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_attempt_id);
    }
};

enum class attempt_state : std::uint8_t
{
    dispatched,
    fenced,
};

struct attempt_status
{
    attempt_id m_attempt_id;
    /// Incarnation of the answering process. "fenced" says nothing about calls that an
    /// earlier process under the same node id received.
    incarnation m_owner_incarnation;
    attempt_state m_state = attempt_state::dispatched;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_attempt_id, m_owner_incarnation, m_state);
    }
};

/// Owner of an upstream, as told to the other nodes.
struct owned_upstream
{
    upstream_id m_upstream;
    pool_id m_pool;
    data_centre_id m_data_centre;
    ownership_epoch m_epoch;
    std::uint32_t m_limit = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_pool, m_data_centre, m_epoch, m_limit);
    }
};

/// Owner to all nodes: the upstreams that it owns now. Replaces its earlier announcement.
struct ownership_announce
{
    node_id m_owner;
    incarnation m_incarnation;
    /// Grows with each announcement of an incarnation, so that a late one is dropped.
    std::uint64_t m_sequence = 0;
    std::vector<owned_upstream> m_upstreams;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_owner, m_incarnation, m_sequence, m_upstreams);
    }
};

/// Process that alone, with the other guarantors, may revoke a lease.
struct lease_guarantor
{
    node_id m_node;
    incarnation m_incarnation;

    auto operator<=>(const lease_guarantor&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_node, m_incarnation);
    }
};

/// Holder to guarantor: promise not to revoke this lease version for the time to live.
struct lease_extend
{
    lease_id m_lease;
    std::uint64_t m_row_version = 0;
    /// Echoed in the grant, so that the holder knows when it asked.
    std::uint64_t m_request = 0;
    /// Incarnation named in the row. A restarted guarantor refuses, because it doesn't
    /// know what its predecessor promised.
    incarnation m_guarantor_incarnation;
    /// Length of the promise in milliseconds.
    std::uint32_t m_time_to_live_ms = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_lease, m_row_version, m_request, m_guarantor_incarnation,
                m_time_to_live_ms);
    }
};

struct lease_grant
{
    lease_id m_lease;
    std::uint64_t m_row_version = 0;
    std::uint64_t m_request = 0;
    bool m_granted = false;
    /// The guarantor is stopping and never revokes this version.
    bool m_final = false;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_lease, m_row_version, m_request, m_granted, m_final);
    }
};

/// State of one upstream handed over with a lease.
struct transferred_upstream
{
    owned_upstream m_owned;
    incarnation m_upstream_incarnation;
    /// Calls that the old holder still has in progress; they count against the limit.
    std::uint32_t m_outstanding = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_owned, m_upstream_incarnation, m_outstanding);
    }
};

/// Stopping holder to its successor. The sender dispatches nothing under the lease again.
struct lease_transfer
{
    lease_id m_lease;
    std::uint64_t m_row_version = 0;
    /// Incarnation of the successor that is meant.
    incarnation m_successor_incarnation;
    /// Guarantors of every row version that may be in force.
    std::vector<lease_guarantor> m_guarantors;
    /// Time for which the sender's authority is known to hold, in milliseconds.
    std::uint32_t m_authority_ms = 0;
    std::vector<transferred_upstream> m_upstreams;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_lease, m_row_version, m_successor_incarnation, m_guarantors,
                m_authority_ms, m_upstreams);
    }
};

struct lease_transfer_ack
{
    lease_id m_lease;
    std::uint64_t m_row_version = 0;
    bool m_accepted = false;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_lease, m_row_version, m_accepted);
    }
};

/// Old holder to its successor: how many calls it still has in progress.
struct transfer_outstanding
{
    lease_id m_lease;
    upstream_id m_upstream;
    std::uint32_t m_outstanding = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_lease, m_upstream, m_outstanding);
    }
};

struct config_pull
{
    config_version m_have;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_have);
    }
};

/// Answer to config_pull; empty document when the sender has nothing newer.
struct config_push
{
    config_version m_version;
    /// Configuration as JSON.
    std::string m_document;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_version, m_document);
    }
};

/// To the host that runs a pool's queue: make all pieces of one stage of one request.
struct pieces_request
{
    /// Counter of the sender.
    std::uint64_t m_job = 0;
    pool_id m_pool;
    attempt_id m_request;
    stage_index m_stage;
    std::uint32_t m_pieces = 0;
    /// Input of a stage without predecessors.
    std::string m_key;
    /// Results of the stages before.
    std::vector<std::string> m_inputs;
    /// Time left to meet the response-time goal, in milliseconds; may be negative.
    std::int32_t m_due_ms = 0;
    /// Time left to be of any use, in milliseconds.
    std::int32_t m_deadline_ms = 0;
    std::uint32_t m_rank = 0;
    data_centre_id m_preferred;
    /// Bytes for each piece that cross data centres when it is made elsewhere.
    std::uint64_t m_cross_bytes = 0;
    std::uint64_t m_result_bytes = 0;
    /// Hash that the pieces have in common with those of the same request sent again.
    std::uint64_t m_suspect = 0;
    /// The request tries whether its pieces still crash upstreams.
    bool m_is_trial = false;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_job, m_pool, m_request, m_stage, m_pieces, m_key, m_inputs, m_due_ms,
                m_deadline_ms, m_rank, m_preferred, m_cross_bytes, m_result_bytes,
                m_suspect, m_is_trial);
    }
};

enum class pieces_outcome : std::uint8_t
{
    done,
    /// Not in time; m_retry_after_ms says when there is capacity again.
    refused,
    /// An input is gone.
    input_gone,
    failed,
};

struct pieces_result
{
    std::uint64_t m_job = 0;
    pieces_outcome m_outcome = pieces_outcome::failed;
    /// One for each piece, in order, when the outcome is done.
    std::vector<std::string> m_handles;
    std::uint32_t m_retry_after_ms = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_job, m_outcome, m_handles, m_retry_after_ms);
    }
};

/// To the host that runs a pool's queue: a job will come, if the request is admitted. The
/// job counts in the forecasts for others until it comes or is cancelled.
struct pieces_announce
{
    std::uint64_t m_job = 0;
    pool_id m_pool;
    std::uint32_t m_pieces = 0;
    /// Time until the job is expected, in milliseconds.
    std::uint32_t m_eta_ms = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_job, m_pool, m_pieces, m_eta_ms);
    }
};

/// Answer to pieces_announce: waits that the job will meet.
struct pieces_forecast
{
    std::uint64_t m_job = 0;
    std::uint32_t m_on_time_ms = 0;
    std::uint32_t m_late_ms = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_job, m_on_time_ms, m_late_ms);
    }
};

struct pieces_cancel
{
    std::uint64_t m_job = 0;
    pool_id m_pool;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_job, m_pool);
    }
};

/// Results that nobody needs any more.
struct results_release
{
    pool_id m_pool;
    std::vector<std::string> m_handles;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_pool, m_handles);
    }
};

/// A row of the platform's store, undecoded.
struct stored_row
{
    std::string m_key;
    std::string m_value;
    /// Version of the store in which it was written or removed.
    store_version m_version;
    bool m_removed = false;
    /// The value is compressed.
    bool m_packed = false;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_value, m_version, m_removed, m_packed);
    }
};

/// Asks a host for the rows that it has changed.
struct state_pull
{
    /// Changes of that host that the asker has; zero when it has never asked it.
    std::uint64_t m_after = 0;
    /// Start of that host that has counted them.
    incarnation m_counted_by;
    /// Versions of the store as of which the asker holds the tables. A host that is asked
    /// for the first time leaves out what is older.
    store_version m_intent_version;
    store_version m_registry_version;
    bool m_wants_hosts = false;
    /// Number that the answer repeats.
    std::uint64_t m_number = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_after, m_counted_by, m_intent_version, m_registry_version,
                m_wants_hosts, m_number);
    }
};

/// Rows of one table that a host has changed.
struct table_changes
{
    /// Version of the store as of which the host holds the table; zero for not at all.
    store_version m_version;
    std::vector<stored_row> m_rows;
    /// Compressed rows that are older than m_rows, as pack_rows returns them; empty for
    /// none.
    std::string m_packed_rows;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_version, m_rows, m_packed_rows);
    }
};

/// Answer to state_pull.
struct state_push
{
    /// The sender has too many answers underway; this one has no rows and counts as none.
    bool m_busy = false;
    /// Changes that the sender has applied, these included.
    std::uint64_t m_changes = 0;
    table_changes m_intent;
    table_changes m_registry;
    /// Addresses of the live hosts, "IP:port".
    std::vector<std::string> m_hosts;
    /// Number of the pull.
    std::uint64_t m_number = 0;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_busy, m_changes, m_intent, m_registry, m_hosts, m_number);
    }
};

/// Asks a host whose reports have not arrived for a sign of life, or is its answer.
struct host_probe
{
    bool m_is_answer = false;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_is_answer);
    }
};

using node_message =
    std::variant<hello, stage_call, stage_chunk, stage_result, stage_cancel,
                 attempt_query, attempt_status, ownership_announce, lease_extend,
                 lease_grant, lease_transfer, lease_transfer_ack, transfer_outstanding,
                 config_pull, config_push, pieces_request, pieces_result, pieces_cancel,
                 results_release, state_pull, state_push, pieces_announce,
                 pieces_forecast, host_probe>;

} // namespace geraniumdoor

template<>
struct std::hash<geraniumdoor::call_key>
{
    std::size_t operator()(const geraniumdoor::call_key& key) const noexcept
    {
        const std::size_t request = std::hash<geraniumdoor::request_id>{}(key.m_request);
        return request ^ (std::size_t{key.m_stage.m_value} << 7) ^
               (std::size_t{key.m_attempt.m_value} << 13);
    }
};
