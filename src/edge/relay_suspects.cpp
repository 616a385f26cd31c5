#include "relay_util.hpp"
#include "request_relay.hpp"

#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/base/log.hpp>

#include <algorithm>

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

constexpr unsigned too_many_requests = 429;

} // namespace

std::optional<milliseconds> request_relay::quarantine_wait(request& current)
{
    identify_if_suspected(current);
    const auto& traits = current.m_traits;
    const time_point at = now();
    const auto left = quarantine_left(m_state.m_crash_suspects, traits, at);
    if (!left)
    {
        return std::nullopt;
    }
    const auto tried = only_quarantined(m_state.m_crash_suspects, traits);
    current.m_is_trial =
        tried && begin_trial(m_state.m_crash_suspects, *tried, trial_rank(*tried), at);
    if (!current.m_is_trial)
    {
        return left;
    }
    log_event{"suspect_tried"}
        .add("key", *tried)
        .add("request", current.m_metadata.m_request);
    return std::nullopt;
}

void request_relay::identify(request& current) const
{
    if (!current.m_is_identified)
    {
        current.m_is_identified = true;
        const request_identity identity = identity_of(current);
        current.m_traits.push_back(whole_request(identity));
        for (std::uint32_t at = 0; at < current.m_route->m_stages.size(); ++at)
        {
            if (piece_count(current, at) > 0)
            {
                current.m_traits.push_back(stage_of_request(identity, stage_index{at}));
            }
        }
    }
}

void request_relay::identify_if_suspected(request& current) const
{
    if (has_suspected_requests(m_state.m_crash_suspects))
    {
        identify(current);
    }
}

bool request_relay::may_repeat(const request& current) const
{
    return may_send_again(m_state.m_crash_suspects, current.m_traits, now());
}

const char* request_relay::quarantine_reason(const request& current) const
{
    const auto& known = m_state.m_crash_suspects.m_known;
    const bool is_whole =
        std::any_of(current.m_traits.begin(), current.m_traits.end(),
                    [&known](const request_trait& trait)
                    {
                        const auto at = known.find(trait.m_key);
                        return trait.m_kind != suspect_kind::prompt_part &&
                               at != known.end() && at->second.m_quarantine;
                    });
    return is_whole ? crashing_request_reason : crashing_prompt_reason;
}

bool request_relay::is_quarantined(request& current) const
{
    identify_if_suspected(current);
    return !current.m_is_trial &&
           quarantine_left(m_state.m_crash_suspects, current.m_traits, now());
}

request_identity request_relay::identity_of(const request& current) const
{
    const http_request& sent = current.m_exchange.request();
    return identify_request(current.m_workspace.m_id, sent.m_method,
                            current.m_metadata.m_host, sent.m_target, sent.m_body);
}

std::size_t request_relay::trial_rank(suspect_key part) const
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
    if (current.m_caller_gone)
    {
        return;
    }
    const attempt_progress& progress = current.m_progress;
    if (outcome == attempt_outcome::answered)
    {
        record_sound_answer(current);
        return;
    }
    if (progress.m_connection_lost && progress.m_events < events_of_sound_stream)
    {
        record_possible_crash(current, current.m_upstream_run,
                              progress.m_head_received ? weight_of_begun_stream
                                                       : weight_of_queued_request);
    }
}

void request_relay::record_possible_crash(request& current, upstream_run upstream,
                                          std::uint32_t weight)
{
    identify(current);
    // The stages have ended; the hosts that run their queues judge them.
    std::vector<request_trait> traits = current.m_traits;
    std::erase_if(traits,
                  [](const request_trait& trait)
                  {
                      return trait.m_kind == suspect_kind::request_stage;
                  });
    record_crash(m_state.m_crash_suspects, traits, upstream, weight, now());
    m_state.m_metrics.add("suspected_crashes", {});
}

void request_relay::record_sound_answer(request& current)
{
    if (current.m_progress.m_events > 0)
    {
        record_sound_traits(current, current.m_traits);
        return;
    }
    // Parts of a prompt are proved sound by the events of a stream alone.
    const auto& response = current.m_buffered_response;
    const bool has_run = !response || response->m_status != too_many_requests;
    identify_if_suspected(current);
    if (has_run && current.m_is_identified)
    {
        record_sound_traits(current, {whole_request(identity_of(current))});
    }
}

void request_relay::record_sound_traits(const request& current,
                                        const std::vector<request_trait>& traits)
{
    for (const suspect_key key : record_success(m_state.m_crash_suspects, traits, now()))
    {
        log_event{"suspect_lifted"}
            .add("key", key)
            .add("request", current.m_metadata.m_request);
    }
}

} // namespace geraniumdoor::edge
