#pragma once

#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/request/claim_rows.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor
{

enum class claim_step : std::uint8_t
{
    /// The row is read before the idempotent stages run; nothing is written yet.
    checking,
    /// The row is absent or withdrawn; insert_checked_claim may follow.
    checked,
    /// The insert is queued, in flight, or unconfirmed.
    inserting,
    /// The row holds the running claim of another attempt and is polled.
    waiting,
    /// The row in the table service holds this claim.
    held,
};

enum class claim_write : std::uint8_t
{
    none,
    queued,
    in_flight,
    /// The effect of a write is unknown; a read that determines it is due or in flight.
    unconfirmed,
};

/// Row of a stage that must run after the claimed one. Inserted in the transaction that
/// stores the outcome of the claim.
struct claim_follow_up
{
    std::string m_key;
    std::string m_value;
    /// The stage has run: the row is not inserted, or is deleted if it was inserted.
    bool m_finished = false;
};

/// One claim of this process.
struct claim_entry
{
    std::string m_key;
    /// Row that is to be stored in the table service.
    claim_row m_row;
    /// Row version that the next write is conditional on.
    std::uint64_t m_version = 0;
    claim_step m_step = claim_step::checking;
    claim_write m_write = claim_write::none;
    /// Last confirmed state of the row, once it holds this claim.
    std::optional<claim_state> m_stored_state;
    /// State that the write in flight stores.
    claim_state m_in_flight_state = claim_state::running;
    /// The entry is kept after its outcome is stored, until store_answer or
    /// cancel_answer_wait.
    bool m_awaits_answer = false;
    /// Whether the row as last read or sent contains the answer.
    bool m_has_answer = false;
    /// Set by check_claim, cleared by insert_checked_claim: nothing may be written.
    bool m_check_only = false;
    /// The request no longer waits for this claim.
    bool m_released = false;
    /// A write was sent that may have taken effect.
    bool m_sent = false;
    /// Value of m_sent before the write in flight.
    bool m_sent_earlier = false;
    std::uint32_t m_failed_reads = 0;
    bool m_read_in_flight = false;
    /// Time of the next read, or of the one in flight.
    time_point m_read_at;
    std::vector<claim_follow_up> m_follow_ups;
};

enum class claim_event_kind : std::uint8_t
{
    /// The row is absent or withdrawn; reported only after check_claim.
    unclaimed,
    /// The insert is confirmed: the call may be sent.
    confirmed,
    /// The stage has run; its output is in the event.
    replay,
    /// The row belongs to a request with another body or pipeline.
    key_reused,
    /// The call may have run under the claim of another attempt, or the row is
    /// unreadable.
    in_doubt,
    /// Nothing was written, because the table service does not answer.
    unavailable,
    /// The insert may have taken effect; the claim is withdrawn in the background.
    unconfirmed,
};

struct claim_event
{
    request_id m_request;
    attempt_id m_claim;
    claim_event_kind m_kind = claim_event_kind::unclaimed;
    std::string m_output;
    /// Request that ran the stage, for replay.
    request_id m_original;
    /// Answer of the whole request, for replay, when it was stored.
    std::optional<std::string> m_answer;
};

/// Latest known incarnation of a node that may hold claims.
struct claim_holder
{
    incarnation m_incarnation;
    /// The process of this incarnation has ended.
    bool m_gone = false;
};

/// The write transaction in flight.
struct claim_transaction
{
    table_call_id m_id;
    time_point m_sent;
    std::vector<attempt_id> m_claims;
    /// Keys of the follow-up rows that it deletes.
    std::vector<std::string> m_deletes;
};

/// State of the claims in progress of one process. Modified only by the functions below.
struct claims
{
    node_id m_node;
    incarnation m_incarnation;
    table<attempt_id, claim_entry> m_entries;
    /// Claims with a write in state queued.
    std::deque<attempt_id> m_queue;
    /// Keys of follow-up rows to delete.
    std::deque<std::string> m_deletes;
    std::optional<claim_transaction> m_transaction;
    table<table_call_id, attempt_id> m_reads;
    table<node_id, claim_holder> m_holders;
    /// Earliest time of the next transaction.
    time_point m_next_write_at;
    /// The table service counts as down, and new claims are refused, before this time.
    time_point m_down_until;
    /// Consecutive transactions whose effect is unknown.
    std::uint32_t m_unknown_writes = 0;
    std::uint64_t m_last_call = 0;
    std::uint64_t m_last_claim = 0;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_rows_written = 0;
};

/// Where the functions below append actions for the table service and events for the
/// coordinator.
struct claim_effects
{
    std::vector<coordinator_action>& m_actions;
    std::vector<claim_event>& m_events;
};

/// Reads the row before any stage runs, so that a reused key or a repeated request is
/// detected before anything is run. Sets the attempt id, holder and incarnation of the
/// row. Returns the id of the claim; the result is reported as an event, possibly within
/// this call.
attempt_id check_claim(claims& state, const std::string& key, const claim_row& row,
                       time_point now, claim_effects effects);

/// Queues the insert of a claim without a preceding check_claim.
attempt_id insert_claim(claims& state, const std::string& key, const claim_row& row,
                        time_point now, claim_effects effects);

/// Queues the insert of a claim in step checked.
void insert_checked_claim(claims& state, const attempt_id& claim, time_point now,
                          claim_effects effects);

/// Stores the final state of a held claim: done with the output, in_doubt, or withdrawn.
/// The write is retried until it is confirmed.
void store_claim_outcome(claims& state, const attempt_id& claim, claim_state end,
                         const std::string& output,
                         std::vector<claim_follow_up> follow_ups);

/// Keeps the entry of a claim after its outcome is stored, until store_answer or
/// cancel_answer_wait. Called before store_claim_outcome.
void await_answer(claims& state, const attempt_id& claim);

/// Adds the answer of the whole request to the row of the claim.
void store_answer(claims& state, const attempt_id& claim, const std::string& answer);

/// The request ended without a complete answer; the entry need not be kept for it.
void cancel_answer_wait(claims& state, const attempt_id& claim);

/// The request no longer needs the claim. Withdraws a row that may have been written. Has
/// no effect after store_claim_outcome.
void release_claim(claims& state, const attempt_id& claim);

/// Deletes a follow-up row, or prevents its insertion.
void finish_follow_up(claims& state, const std::string& key);

/// Whether the table service has confirmed the row of this claim in state running and no
/// final state has been requested.
bool is_held(const claims& state, const attempt_id& claim);

/// Whether the claim waits for the running claim of another attempt.
bool is_waiting(const claims& state, const attempt_id& claim);

/// Whether an insert may be in effect without being confirmed.
bool may_be_inserted(const claims& state, const attempt_id& claim);

/// Whether the given incarnation of the holder is known to have ended.
bool is_holder_dead(const claims& state, const node_id& holder, incarnation started);

/// The node is live with this incarnation; an older incarnation is ignored.
void on_holder_seen(claims& state, const node_id& node, incarnation started);
/// The latest known incarnation of the node has ended.
void on_holder_gone(claims& state, const node_id& node);

/// Both return whether the call was issued by the claims.
bool on_claim_transaction_end(claims& state, const table_transaction_end& end,
                              time_point now, claim_effects effects);
bool on_claim_read_end(claims& state, const table_read_end& end, time_point now,
                       claim_effects effects);

/// Sends the queued writes when no transaction is in flight. Called after each event.
void flush_claims(claims& state, time_point now, claim_effects effects);

/// Starts reads that are due and refuses new claims whose table call exceeds its timeout.
void tick_claims(claims& state, time_point now, claim_effects effects);

} // namespace geraniumdoor
