#include "relay_util.hpp"
#include "request_relay.hpp"

#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

std::optional<milliseconds> request_relay::quarantine_wait(request& current)
{
    const auto& parts = current.m_shared_parts;
    const time_point at = now();
    const auto left = quarantine_left(m_state.m_crash_suspects, parts, at);
    if (!left)
    {
        return std::nullopt;
    }
    const auto tried = only_quarantined(m_state.m_crash_suspects, parts);
    current.m_is_trial =
        tried && begin_trial(m_state.m_crash_suspects, *tried, trial_rank(*tried), at);
    if (!current.m_is_trial)
    {
        return left;
    }
    log_event{"prompt_part_tried"}.add("request", current.m_metadata.m_request);
    return std::nullopt;
}

bool request_relay::is_quarantined(const request& current) const
{
    return !current.m_is_trial &&
           quarantine_left(m_state.m_crash_suspects, current.m_shared_parts, now());
}

request_identity request_relay::identity_of(const request& current) const
{
    const http_request& sent = current.m_exchange.request();
    return identify_request(current.m_workspace.m_id, sent.m_method,
                            current.m_metadata.m_host, sent.m_target, sent.m_body);
}

std::size_t request_relay::trial_rank(part_key part) const
{
    const std::string key = std::to_string(part.m_value);
    const std::uint64_t own = rendezvous_weight(key, m_state.m_own_report.m_node.m_value);
    const time_point at = now();
    const auto before =
        std::count_if(m_state.m_hosts.m_hosts.begin(), m_state.m_hosts.m_hosts.end(),
                      [&](const auto& entry)
                      {
                          return is_live(entry.second, at) &&
                                 rendezvous_weight(key, entry.first.m_value) > own;
                      });
    return static_cast<std::size_t>(before);
}

void request_relay::record_crash_evidence(request& current, attempt_outcome outcome)
{
    if (current.m_shared_parts.empty() || current.m_caller_gone)
    {
        return;
    }
    const attempt_progress& progress = current.m_progress;
    if (outcome == attempt_outcome::answered && progress.m_events > 0)
    {
        record_sound_stream(current);
        return;
    }
    const upstream* row = m_state.m_upstreams.m_rows.find(current.m_upstream);
    if (!progress.m_connection_lost || progress.m_events >= events_of_sound_stream ||
        row == nullptr)
    {
        return;
    }
    record_crash(m_state.m_crash_suspects, current.m_shared_parts, run_of(row->m_entry),
                 progress.m_head_received ? weight_of_begun_stream
                                          : weight_of_queued_request,
                 now());
    m_state.m_metrics.add("suspected_crashes", {});
}

void request_relay::record_sound_stream(request& current)
{
    const auto lifted =
        record_success(m_state.m_crash_suspects, current.m_shared_parts, now());
    for (const part_key key : lifted)
    {
        log_event{"prompt_part_lifted"}
            .add("part", key)
            .add("request", current.m_metadata.m_request);
    }
}

} // namespace geraniumdoor::edge
