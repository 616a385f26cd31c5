#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>
#include <geraniumdoor/serving/engine_choice.hpp>
#include <geraniumdoor/serving/request_identity.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumdoor::serving
{

/// Hash that names a suspect on all hosts.
using suspect_key = strong_number<struct suspect_key_tag>;

/// What a request has in common with others that may crash upstreams as it does.
struct request_trait
{
    suspect_key m_key;
    /// Id of the part of a prompt; empty for a whole request.
    std::string m_id;
    suspect_kind m_kind = suspect_kind::prompt_part;
};

/// All parts of a prompt but the last, which belongs to the request or its session.
std::vector<request_trait> shared_parts(const prompt& request_prompt);

/// The request as a whole, as it is sent again.
request_trait whole_request(request_identity identity);

/// The pieces of one of its stages.
request_trait stage_of_request(request_identity identity, stage_index stage);

/// A stream that has brought this number of events has not crashed its upstream by
/// beginning to write.
inline constexpr std::uint32_t events_of_sound_stream = 4;

/// Weight of the loss of a connection as a sign that the request has crashed its
/// upstream: a stream that had begun, and a request that may still have been queued.
inline constexpr std::uint32_t weight_of_begun_stream = 2;
inline constexpr std::uint32_t weight_of_queued_request = 1;

/// A whole request is not shared by the sound requests beside it, so that its crashes
/// weigh the same whether or not it had begun.
inline constexpr std::uint32_t weight_of_whole_request = 2;

/// Weight, summed over different processes of upstreams, from which on a suspect is
/// quarantined.
inline constexpr std::uint32_t quarantine_weight = 6;

/// What differs between kinds of suspects.
struct suspicion_rules
{
    /// Like quarantine_weight, for a suspect with a recent success.
    std::uint32_t m_weight_after_success = 0;
    /// Crashes of several upstreams within this time may have one other cause.
    milliseconds m_min_crash_span{0};
    /// Crashes of one upstream this far apart are those of two processes, although its
    /// registry entry does not say so yet; empty if they count once.
    std::optional<milliseconds> m_restart_time;
    /// Lengths of consecutive quarantines; the last one is repeated.
    std::array<seconds, 3> m_quarantine_lengths{};
};

inline constexpr suspicion_rules prompt_part_rules{
    12, milliseconds{500}, std::nullopt, {seconds{20}, seconds{120}, seconds{600}}};

/// A pool of three upstreams is gone after three crashes, which may lie close together.
/// The first quarantine is short in return: a trial ends that of a sound request.
inline constexpr suspicion_rules whole_request_rules{
    quarantine_weight,
    milliseconds{0},
    milliseconds{1000},
    {seconds{5}, seconds{120}, seconds{600}}};

/// Pieces of several requests share a call, so that its crash says little of each. Those
/// that were at two crashes have calls of their own, one at a time, which clear the sound
/// ones. The cause is quarantined after two crashes of shared calls and two of its own.
const suspicion_rules& rules_of(suspect_kind kind);

const char* to_text(suspect_kind kind);

/// Time for which crashes and successes of a suspect are remembered.
inline constexpr seconds suspicion_memory{60};

/// Time after which a trial counts as lost with its host.
inline constexpr seconds trial_timeout{5};

/// Delay between the times at which hosts may begin a trial. A host learns in it how the
/// trial of another one ended.
inline constexpr seconds trial_stagger{2};

/// An upstream that closed its connections soon after it got a request with the suspect.
struct suspected_crash
{
    upstream_run m_upstream;
    time_point m_at{};
    std::uint32_t m_weight = 0;
    /// Seen by this host rather than reported by another one.
    bool m_own = false;
};

/// Time during which no request with a suspect is sent. After its end one request at a
/// time is sent as a trial, which ends or renews the quarantine.
struct suspect_quarantine
{
    time_point m_since{};
    time_point m_until{};
    /// Number of quarantines in a row.
    std::uint32_t m_count = 1;
    /// Start of the trial of this host; empty when none runs.
    std::optional<time_point> m_trial;
};

struct suspect
{
    suspect_kind m_kind = suspect_kind::prompt_part;
    /// Id of the part of a prompt; empty while it is known only from reports.
    std::string m_id;
    std::vector<suspected_crash> m_crashes;
    /// Latest sound request with the suspect, at any host and at this one.
    std::optional<time_point> m_last_success;
    std::optional<time_point> m_own_success;
    std::optional<suspect_quarantine> m_quarantine;
};

/// Parts that recent sound streams of this host had, in two generations so that their
/// number is bounded.
struct recent_successes
{
    std::unordered_map<suspect_key, time_point> m_newer;
    std::unordered_map<suspect_key, time_point> m_older;
    time_point m_newer_since{};
};

/// What this host knows of suspects: parts of prompts, whole requests, and their stages.
///
/// Load patterns: requests that come at any host, no two alike, hold one part that
/// crashes each upstream which begins to write an answer on it; or one request comes
/// again and again at any host and crashes each upstream that runs it. Sound requests are
/// cut off when their upstream crashes, and share their workspace and other parts with
/// the cause. The cause is told from them by what it never has: a success. Hosts exchange
/// what they have seen, because each of them sees few of the crashes.
struct crash_suspects
{
    std::unordered_map<suspect_key, suspect> m_known;
    recent_successes m_successes;
};

/// Records that an upstream closed its connection before a request with these traits was
/// answered, or its stream had events_of_sound_stream events.
/// @param weight weight for parts of prompts
void record_crash(crash_suspects& suspects, const std::vector<request_trait>& traits,
                  upstream_run upstream, std::uint32_t weight, time_point now);

/// Records a sound request. Returns the suspects whose quarantine it ends.
std::vector<suspect_key> record_success(crash_suspects& suspects,
                                        const std::vector<request_trait>& traits,
                                        time_point now);

/// Quarantines the suspects whose crashes have no other explanation. Returns their keys.
/// @param exchange_time time in which hosts learn of a crash and of each other's sound
/// requests
std::vector<suspect_key> update_quarantines(crash_suspects& suspects,
                                            milliseconds exchange_time, time_point now);

/// Time until the quarantines of these traits end; empty if none of them is in
/// quarantine.
std::optional<milliseconds> quarantine_left(const crash_suspects& suspects,
                                            const std::vector<request_trait>& traits,
                                            time_point now);

/// The suspect whose quarantine a request with these traits may try; empty if none or
/// several of them are in quarantine.
std::optional<suspect_key> only_quarantined(const crash_suspects& suspects,
                                            const std::vector<request_trait>& traits);

/// Begins a trial of a suspect, if the time of its quarantine is over and no other trial
/// of this host runs. Hosts begin trials one after the other.
/// @param rank position of this host in the order of trials, from zero
bool begin_trial(crash_suspects& suspects, suspect_key key, std::size_t rank,
                 time_point now);

/// Ends a trial whose request has neither crashed an upstream nor brought events, such as
/// one that was cancelled.
void end_trial(crash_suspects& suspects, const std::vector<request_trait>& traits);

/// Whether a request that was cut off may be sent again. One whose traits have been at
/// the crash of two upstreams, without a success, is not worth a third.
bool may_send_again(const crash_suspects& suspects,
                    const std::vector<request_trait>& traits, time_point now);

/// Report of what this host has seen; empty when there is nothing to tell.
/// @param to_newcomer whether to name all quarantines rather than the recent ones
std::optional<crash_report> make_crash_report(const crash_suspects& suspects,
                                              bool to_newcomer, time_point now);

/// Takes over what another host has seen. Returns the suspects whose quarantine it ends.
std::vector<suspect_key> apply_crash_report(crash_suspects& suspects,
                                            const crash_report& report, time_point now);

/// Whether a whole request or a stage of one is suspected, so that requests need to be
/// identified.
bool has_suspected_requests(const crash_suspects& suspects);

/// Whether a crash of an upstream may be due to the suspect.
bool is_suspected(const crash_suspects& suspects, suspect_key key);

/// Whether the pieces of a suspect go in calls of their own: they were at two crashes, or
/// alone at one.
bool goes_alone(const crash_suspects& suspects, suspect_key key);

/// Number of suspects of a kind in quarantine.
std::size_t count_quarantines(const crash_suspects& suspects, suspect_kind kind);

} // namespace geraniumdoor::serving
