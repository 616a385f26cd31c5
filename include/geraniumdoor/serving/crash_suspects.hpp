#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>
#include <geraniumdoor/serving/engine_choice.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumdoor::serving
{

/// Hash of the id of a part of a prompt.
using part_key = strong_number<struct part_key_tag>;

/// A part of a prompt that other prompts may share.
struct shared_part
{
    part_key m_key;
    std::string m_id;
};

/// All parts of a prompt but the last, which belongs to the request or its session.
std::vector<shared_part> shared_parts(const prompt& request_prompt);

/// A stream that has brought this number of events has not crashed its upstream by
/// beginning to write.
inline constexpr std::uint32_t events_of_sound_stream = 4;

/// Weight of the loss of a connection as a sign that the request has crashed its
/// upstream: a stream that had begun, and a request that may still have been queued.
inline constexpr std::uint32_t weight_of_begun_stream = 2;
inline constexpr std::uint32_t weight_of_queued_request = 1;

/// Weight, summed over different processes of upstreams, from which on a part is
/// quarantined. A part with a recent success needs the higher one.
inline constexpr std::uint32_t quarantine_weight = 6;
inline constexpr std::uint32_t quarantine_weight_after_success = 12;

/// Crashes of several upstreams within this time may have one other cause.
inline constexpr milliseconds min_crash_span{500};

/// Time for which crashes and successes of a part are remembered.
inline constexpr seconds suspicion_memory{60};

/// Lengths of consecutive quarantines of a part; the last one is repeated.
inline constexpr std::array quarantine_lengths{seconds{20}, seconds{120}, seconds{600}};

/// Time after which a trial counts as lost with its host.
inline constexpr seconds trial_timeout{5};

/// Delay between the times at which hosts may begin a trial. A host learns in it how the
/// trial of another one ended.
inline constexpr seconds trial_stagger{2};

/// An upstream that closed its connections soon after it got a request with the part.
struct suspected_crash
{
    upstream_run m_upstream;
    time_point m_at{};
    std::uint32_t m_weight = 0;
    /// Seen by this host rather than reported by another one.
    bool m_own = false;
};

/// Time during which no request with a part is sent. After its end one request at a time
/// is sent as a trial, which ends or renews the quarantine.
struct part_quarantine
{
    time_point m_since{};
    time_point m_until{};
    /// Number of quarantines in a row.
    std::uint32_t m_count = 1;
    /// Start of the trial of this host; empty when none runs.
    std::optional<time_point> m_trial;
};

struct suspect_part
{
    /// Empty while the part is known only from reports.
    std::string m_id;
    std::vector<suspected_crash> m_crashes;
    /// Latest stream with the part that was sound, at any host.
    std::optional<time_point> m_last_success;
    std::optional<part_quarantine> m_quarantine;
};

/// Parts that recent sound streams of this host had, in two generations so that their
/// number is bounded.
struct recent_successes
{
    std::unordered_map<part_key, time_point> m_newer;
    std::unordered_map<part_key, time_point> m_older;
    time_point m_newer_since{};
};

/// What this host knows of parts of prompts that may crash upstreams.
///
/// Load pattern: requests that come at any host, no two alike, hold one part that crashes
/// each upstream which begins to write an answer on it. Sound requests share their
/// workspace and all their other parts, and are cut off when their upstream crashes. The
/// part is told from the others by what it never has: a sound stream. Hosts exchange what
/// they have seen, because each of them sees few of the crashes.
struct crash_suspects
{
    std::unordered_map<part_key, suspect_part> m_parts;
    recent_successes m_successes;
};

/// Records that an upstream closed its connection before a stream with these parts had
/// events_of_sound_stream events.
void record_crash(crash_suspects& suspects, const std::vector<shared_part>& parts,
                  upstream_run upstream, std::uint32_t weight, time_point now);

/// Records a sound stream. Returns the parts whose quarantine it ends.
std::vector<part_key> record_success(crash_suspects& suspects,
                                     const std::vector<shared_part>& parts,
                                     time_point now);

/// Quarantines the parts whose crashes have no other explanation. Returns their keys.
/// @param exchange_time time in which hosts learn of a crash and of each other's sound
/// streams
std::vector<part_key> update_quarantines(crash_suspects& suspects,
                                         milliseconds exchange_time, time_point now);

/// Time until the quarantines of these parts end; empty if none of them is in quarantine.
std::optional<milliseconds> quarantine_left(const crash_suspects& suspects,
                                            const std::vector<shared_part>& parts,
                                            time_point now);

/// The part whose quarantine a request with these parts may try; empty if none or several
/// of them are in quarantine.
std::optional<part_key> only_quarantined(const crash_suspects& suspects,
                                         const std::vector<shared_part>& parts);

/// Begins a trial of a part, if the time of its quarantine is over and no other trial of
/// this host runs. Hosts begin trials one after the other.
/// @param rank position of this host in the order of trials, from zero
bool begin_trial(crash_suspects& suspects, part_key key, std::size_t rank,
                 time_point now);

/// Ends a trial whose request has neither crashed an upstream nor brought events, such as
/// one that was cancelled.
void end_trial(crash_suspects& suspects, const std::vector<shared_part>& parts);

/// Whether a request that was cut off may be sent again. One whose parts have been at the
/// crash of two upstreams, without a sound stream, is not worth a third.
bool may_send_again(const crash_suspects& suspects, const std::vector<shared_part>& parts,
                    time_point now);

/// Report of what this host has seen; empty when there is nothing to tell.
/// @param to_newcomer whether to name all quarantines rather than the recent ones
std::optional<crash_report> make_crash_report(const crash_suspects& suspects,
                                              bool to_newcomer, time_point now);

/// Takes over what another host has seen. Returns the parts whose quarantine it ends.
std::vector<part_key> apply_crash_report(crash_suspects& suspects,
                                         const crash_report& report, time_point now);

/// Number of parts in quarantine.
std::size_t count_quarantines(const crash_suspects& suspects);

} // namespace geraniumdoor::serving
