#pragma once

#include <geraniumdoor/config/config_keeper.hpp>
#include <geraniumdoor/config/document_reader.hpp>

#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Longest body of an operator's request, in bytes. It holds the longest sheet, of which
/// JSON escapes every quote and line end.
constexpr std::size_t max_admin_body_bytes = 3UL * 1024 * 1024;

/// Body of POST /admin/changes: {"change_id", "operator", "base_version" (optional),
/// "kind"} and the fields of the kind:
/// - "workspace": "workspace" and at least one of "priority" and "weight"
/// - "pool": "pool" and at least one of "cold_limit" and "warm_limit"
/// - "data_centre": "data_centre" and "state" ("in" or "out")
result<config_change, document_faults> decode_change_request(std::string_view body);

/// Body of POST /admin/sheet: {"change_id", "operator", "base_version" (optional),
/// "sheet"}, where "sheet" is the CSV text. Faults of the sheet have paths such as
/// "row 5, column "weight"".
result<config_change, document_faults> decode_sheet_request(std::string_view body);

/// POST /admin/data-centres/{name}/{out|in} with the body {"change_id", "operator",
/// "base_version" (optional)}.
result<config_change, document_faults> decode_state_request(std::string_view name,
                                                            std::string_view state,
                                                            std::string_view body);

/// An operator declares a process, and all earlier ones of the node, ended for good.
struct forget_host_request
{
    node_id m_node;
    incarnation m_incarnation;
    std::string m_operator;
};

/// POST /admin/hosts/{node}/{incarnation}/forget with the body {"operator"}. The
/// incarnation must not be above the latest, which the caller knows.
result<forget_host_request, document_faults>
decode_forget_request(std::string_view node, std::string_view number, incarnation latest,
                      std::string_view body);

/// Answer to each change and to GET /admin/changes/{id}: {"change_id", "outcome",
/// "version", "message", "field", "winner": {"change_id", "operator"}, "shortfalls"}.
std::string encode_change_report(const change_report& report);

/// HTTP status of a report: 200 when the change is in force, 202 when its outcome is not
/// known, 409 when it lost a race and 422 when it was refused for another reason.
unsigned status_of(const change_report& report);

/// Answer to GET /admin/config: {"version", "ready", "config", "urgent"}; "config" is
/// null when there is none. It contains the urgent states.
std::string encode_config_answer(const config_keeper& keeper);

/// Answer to a request that is not carried out: {"error": {"code", "field", "message",
/// "ran", "retry_after_ms", "faults": [{"field", "message"}]}}. The field and the message
/// are those of the first fault.
std::string encode_fault_answer(const document_faults& faults,
                                std::string_view code = "bad_request");

} // namespace geraniumdoor
