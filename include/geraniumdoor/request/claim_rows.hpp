#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Retention of claims under a key that the caller supplied.
inline constexpr seconds supplied_key_retention{7 * 24 * 3600};
/// Retention of claims under a key derived from the content of the request.
inline constexpr seconds derived_key_retention{24 * 3600};

inline constexpr std::string_view claim_prefix = "claim/";
inline constexpr std::string_view follow_up_prefix = "followup/";

enum class claim_state : std::uint8_t
{
    /// The holder may send the call or has sent it; no outcome is stored.
    running,
    /// The outcome is stored.
    done,
    /// The call may have run; it is not sent again.
    in_doubt,
    /// The call was not dispatched and will not be sent under this claim; another attempt
    /// may replace the row.
    withdrawn,
};

/// Row "claim/<workspace>/<key>/<ordinal>": the right to run one non-idempotent stage.
struct claim_row
{
    attempt_id m_attempt;
    node_id m_holder;
    incarnation m_incarnation;
    claim_state m_state = claim_state::running;
    request_id m_request;
    pipeline_id m_pipeline;
    /// Input of the request, compared with that of a later request with the same key.
    std::string m_body;
    std::int64_t m_created_unix_s = 0;
    std::int64_t m_retention_s = 0;
    /// Output of the stage when m_state is done.
    std::string m_output;
    /// Output of the last stage, once the request is complete. Only in the claim of the
    /// first non-idempotent stage.
    std::optional<std::string> m_answer;

    bool operator==(const claim_row&) const = default;
};

/// Row "followup/<request>/<stage>": a stage that must run, or be listed for operators,
/// because the stage m_after has run.
struct follow_up_row
{
    request_id m_request;
    workspace_id m_workspace;
    pipeline_id m_pipeline;
    stage_index m_after;
    stage_index m_stage;
    /// Output of the stage m_after.
    std::string m_input;
    node_id m_holder;
    incarnation m_incarnation;

    bool operator==(const follow_up_row&) const = default;
};

struct row_format_error
{
    std::string m_message;
};

/// Row key of the claim of the n-th non-idempotent stage of a request. The ordinal counts
/// only non-idempotent stages, so that the key does not change when idempotent stages are
/// added to the pipeline.
std::string claim_row_key(const workspace_id& workspace, std::string_view request_key,
                          std::uint32_t ordinal);

std::string follow_up_row_key(const request_id& request, stage_index stage);

/// Part of the row key that identifies the request: the caller's key, or a digest of
/// workspace, pipeline and body when there is none.
std::string request_key(const std::optional<std::string>& supplied,
                        const workspace_id& workspace, const pipeline_id& pipeline,
                        std::string_view body);

std::string to_json_text(const claim_row& row);
std::string to_json_text(const follow_up_row& row);

result<claim_row, row_format_error> parse_claim_row(std::string_view text);
result<follow_up_row, row_format_error> parse_follow_up_row(std::string_view text);

} // namespace geraniumdoor
