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
    /// Checked, and absent or withdrawn; insert_claim may follow.
    checked,
    /// The insert is queued, in flight, or being settled.
    inserting,
    /// Another attempt's claim is running; the row is read again later.
    waiting,
    /// The row is ours.
    held,
};

enum class claim_write : std::uint8_t
{
    none,
    queued,
    in_flight,
    /// The effect of a write is unknown; a read is due or in flight.
    settling,
};

struct claim_follow_up
{
    std::string m_key;
    std::string m_value;
    /// The stage has run: the row is not inserted, or deleted again.
    bool m_finished = false;
};

/// One claim of this process.
struct claim_entry
{
    std::string m_key;
    /// The row as it is wanted in the table service.
    claim_row m_row;
    /// Row version that the next write is conditional on.
    std::uint64_t m_version = 0;
    claim_step m_step = claim_step::checking;
    claim_write m_write = claim_write::none;
    /// State that the row is known to have, when it is ours.
    std::optional<claim_state> m_stored;
    /// State in the write that is in flight.
    claim_state m_writing = claim_state::running;
    /// The row waits for the answer of the whole request after its outcome is stored.
    bool m_awaits_answer = false;
    /// Whether the write in flight, or the row, contains the answer.
    bool m_has_answer = false;
    /// From check_claim, until insert_checked_claim.
    bool m_check_only = false;
    /// The request no longer waits for this claim.
    bool m_released = false;
    /// The insert was sent at least once.
    bool m_sent = false;
    /// Value of m_sent before the write in flight.
    bool m_sent_before = false;
    std::uint32_t m_failed_reads = 0;
    bool m_read_in_flight = false;
    /// Time of the next read, or of the one in flight.
    time_point m_read_at;
    std::vector<claim_follow_up> m_follow_ups;
};

enum class claim_event_kind : std::uint8_t
{
    /// The row does not bar the request; only from check_claim.
    unclaimed,
    /// The insert is confirmed: the call may be sent.
    confirmed,
    /// The stage has run; its output is in the event.
    replay,
    key_reused,
    in_doubt,
    /// Nothing was written; the table service cannot be reached.
    unavailable,
    /// The insert may be in effect; it is withdrawn in the background.
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

/// What is known of a process that may hold claims.
struct claim_holder
{
    incarnation m_incarnation;
    bool m_gone = false;
};

struct claim_transaction
{
    table_call_id m_id;
    time_point m_sent;
    std::vector<attempt_id> m_claims;
    std::vector<std::string> m_deletes;
};

/// Claims in progress of one process. Changed only by the functions below.
struct claims
{
    node_id m_node;
    incarnation m_incarnation;
    table<attempt_id, claim_entry> m_entries;
    std::deque<attempt_id> m_queue;
    /// Follow-up rows to delete.
    std::deque<std::string> m_deletes;
    std::optional<claim_transaction> m_transaction;
    table<table_call_id, attempt_id> m_reads;
    table<node_id, claim_holder> m_holders;
    /// No write is started before this time.
    time_point m_write_after;
    /// New claims are refused before this time.
    time_point m_down_until;
    std::uint32_t m_failures = 0;
    std::uint64_t m_last_call = 0;
    std::uint64_t m_last_claim = 0;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_rows_written = 0;
};

struct claim_effects
{
    std::vector<coordinator_action>& m_actions;
    std::vector<claim_event>& m_events;
};

/// Reads the row before any stage runs, so that a reused key or a repeat is found
/// without running anything. The attempt id, holder and incarnation of the row are set
/// here. Returns the id of the claim; events follow, possibly at once.
attempt_id check_claim(claims& state, const std::string& key, const claim_row& row,
                       time_point now, claim_effects effects);

/// Queues the insert of a claim that check_claim found absent, or of a new one.
attempt_id insert_claim(claims& state, const std::string& key, const claim_row& row,
                        time_point now, claim_effects effects);

/// Queues the insert of a claim in step checked.
void insert_checked_claim(claims& state, const attempt_id& claim, time_point now,
                          claim_effects effects);

/// Stores the end of a held claim: done with the output, in_doubt, or withdrawn. Repeats
/// the write until it is confirmed.
void store_claim_outcome(claims& state, const attempt_id& claim, claim_state end,
                         const std::string& output,
                         std::vector<claim_follow_up> follow_ups);

/// Lets the row of a claim that is about to be settled wait for store_answer or
/// cancel_answer_wait.
void await_answer(claims& state, const attempt_id& claim);

/// Adds the answer of the whole request to the row of the claim.
void store_answer(claims& state, const attempt_id& claim, const std::string& answer);

/// The request ended without a whole answer.
void cancel_answer_wait(claims& state, const attempt_id& claim);

/// The request ended without a held claim. Withdraws what may have been written. Has no
/// effect on a settled claim.
void release_claim(claims& state, const attempt_id& claim);

/// Deletes a follow-up row, or keeps it from being inserted.
void finish_follow_up(claims& state, const std::string& key);

/// Whether the row is ours and in state running, as confirmed by the table service.
bool is_held(const claims& state, const attempt_id& claim);

/// Whether the claim waits for the running claim of another attempt.
bool is_waiting(const claims& state, const attempt_id& claim);

/// Whether an insert may be in effect without being confirmed.
bool may_be_inserted(const claims& state, const attempt_id& claim);

/// Whether the process that holds the row is known to have ended.
bool is_holder_dead(const claims& state, const node_id& holder, incarnation started);

void on_holder_seen(claims& state, const node_id& node, incarnation started);
void on_holder_gone(claims& state, const node_id& node);

/// Returns whether the call belongs to the claims.
bool on_claim_transaction_end(claims& state, const table_transaction_end& end,
                              time_point now, claim_effects effects);
bool on_claim_read_end(claims& state, const table_read_end& end, time_point now,
                       claim_effects effects);

/// Sends the queued writes when no transaction is in flight. Called after each event.
void flush_claims(claims& state, time_point now, claim_effects effects);

/// Starts reads that are due and refuses claims that a hanging service holds up.
void tick_claims(claims& state, time_point now, claim_effects effects);

} // namespace geraniumdoor
