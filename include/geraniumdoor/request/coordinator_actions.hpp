#pragma once

#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumdoor
{

/// A caller's request after validation of its HTTP form.
struct pipeline_request
{
    request_id m_id;
    pipeline_id m_pipeline;
    workspace_id m_workspace;
    /// Time of the caller's deadline on this process's clock.
    time_point m_deadline;
    /// Arrival time in seconds since the Unix epoch; used only for the retention of
    /// claims.
    std::int64_t m_received_unix_s = 0;
    /// Idempotency key supplied by the caller.
    std::optional<std::string> m_idempotency_key;
    /// Retention of the request's claims; the default retention if absent.
    std::optional<seconds> m_retention;
    /// Input of the first stage, as JSON text.
    std::string m_input;
    bool m_streamed = false;
};

/// What an answer states about the effects of non-idempotent calls.
enum class ran_state : std::uint8_t
{
    /// No non-idempotent call was dispatched, and none can be dispatched later.
    not_run,
    ran,
    in_progress,
    unknown,
};

enum class answer_code : std::uint8_t
{
    ok,
    overloaded,
    deadline_exceeded,
    claims_unavailable,
    key_reused,
    in_progress,
    in_doubt,
    upstream_failed,
    incomplete,
    stopping,
    not_ready,
};

/// Upstream, attempts and upstream time of one completed stage.
struct stage_report
{
    std::string m_name;
    upstream_id m_upstream;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_upstream_us = 0;
};

/// Final answer to the caller, emitted exactly once per request.
struct pipeline_answer
{
    request_id m_id;
    answer_code m_code = answer_code::ok;
    ran_state m_ran = ran_state::not_run;
    /// Output of the last stage as JSON text; empty unless m_code is ok.
    std::string m_output;
    /// Number of tokens sent as reply_part, for a streamed answer.
    std::uint32_t m_tokens = 0;
    bool m_replayed = false;
    std::string m_message;
    milliseconds m_retry_after{0};
    std::vector<stage_report> m_stages;
};

/// Sends one token of the last stage to the caller. Parts are emitted in order, without
/// gaps.
struct reply_part
{
    request_id m_id;
    std::uint32_t m_index = 0;
    std::string m_token;
};

struct reply_final
{
    pipeline_answer m_answer;
};

struct send_stage_call
{
    node_id m_to;
    stage_call m_message;
};

struct send_stage_cancel
{
    node_id m_to;
    stage_cancel m_message;
};

struct send_attempt_query
{
    node_id m_to;
    attempt_query m_message;
};

/// Precondition of a table service transaction.
struct row_check
{
    std::string m_key;
    /// Expected version; zero if the row must be absent.
    std::uint64_t m_version = 0;
};

struct row_write
{
    std::string m_key;
    /// New value; the row is deleted if absent.
    std::optional<std::string> m_value;
};

/// Identifies a table service call within this process.
using table_call_id = strong_number<struct table_call_tag>;

struct table_transaction
{
    table_call_id m_id;
    std::vector<row_check> m_checks;
    std::vector<row_write> m_writes;
};

struct table_read
{
    table_call_id m_id;
    std::string m_key;
};

using coordinator_action =
    std::variant<reply_part, reply_final, send_stage_call, send_stage_cancel,
                 send_attempt_query, table_transaction, table_read>;

struct table_row
{
    std::string m_key;
    /// Zero if the row does not exist.
    std::uint64_t m_version = 0;
    std::string m_value;
};

enum class table_outcome : std::uint8_t
{
    committed,
    /// Nothing was written; the conflicting rows are returned.
    conflict,
    /// Nothing was written: the transaction was not sent, or was rejected as malformed.
    not_written,
    /// No answer was received; the transaction may or may not have taken effect.
    unknown,
};

struct table_transaction_end
{
    table_call_id m_id;
    table_outcome m_outcome = table_outcome::unknown;
    /// Written rows with their new versions, or the conflicting rows.
    std::vector<table_row> m_rows;
};

struct table_read_end
{
    table_call_id m_id;
    /// Absent if the read failed. A row that does not exist has version zero.
    std::optional<table_row> m_row;
};

} // namespace geraniumdoor
