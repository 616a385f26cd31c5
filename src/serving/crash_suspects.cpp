#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/crash_suspects.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace geraniumdoor::serving
{

namespace
{

/// Suspects of each kind that are kept; more are forgotten, those with the least evidence
/// first.
constexpr std::size_t max_suspects_per_kind = 256;
constexpr std::size_t max_crashes_per_suspect = 16;

/// Parts of sound streams that one generation holds.
constexpr std::size_t max_successes_per_generation = 2048;

/// Time for which reports repeat what was seen, because datagrams are lost.
constexpr seconds report_repetition{10};

/// A quarantine of which no request has asked for this time after its end is forgotten.
constexpr seconds idle_quarantine_memory{600};

constexpr milliseconds min_retry_delay{1000};

milliseconds whole_ms(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length);
}

seconds quarantine_length(suspect_kind kind, std::uint32_t count)
{
    const auto& lengths = rules_of(kind).m_quarantine_lengths;
    const std::size_t at = std::min<std::size_t>(std::max(count, 1U), lengths.size());
    return lengths[at - 1];
}

std::optional<time_point> own_success(const crash_suspects& suspects, suspect_key key)
{
    for (const auto* generation :
         {&suspects.m_successes.m_newer, &suspects.m_successes.m_older})
    {
        const auto at = generation->find(key);
        if (at != generation->end())
        {
            return at->second;
        }
    }
    return std::nullopt;
}

void remember_success(recent_successes& successes, suspect_key key, time_point now)
{
    const bool full = successes.m_newer.size() >= max_successes_per_generation;
    if (full || now - successes.m_newer_since > suspicion_memory)
    {
        successes.m_older = std::exchange(successes.m_newer, {});
        successes.m_newer_since = now;
    }
    successes.m_newer[key] = now;
}

/// Sum of the weights of the crashes since the last success.
std::uint32_t weight_of(const suspect& part)
{
    std::uint32_t weight = 0;
    for (const suspected_crash& crash : part.m_crashes)
    {
        const bool counts = !part.m_last_success || crash.m_at > *part.m_last_success;
        weight += counts ? crash.m_weight : 0;
    }
    return weight;
}

bool has_recent_success(const suspect& part, time_point now)
{
    return part.m_last_success && now - *part.m_last_success <= suspicion_memory;
}

time_point latest_crash(const suspect& part)
{
    time_point latest{};
    for (const suspected_crash& crash : part.m_crashes)
    {
        latest = std::max(latest, crash.m_at);
    }
    return latest;
}

/// Order of suspects by the evidence against them.
auto evidence_rank(const suspect& known)
{
    return std::tuple{known.m_quarantine.has_value(), weight_of(known),
                      latest_crash(known)};
}

std::size_t count_of_kind(const crash_suspects& suspects, suspect_kind kind)
{
    return static_cast<std::size_t>(std::count_if(suspects.m_known.begin(),
                                                  suspects.m_known.end(),
                                                  [kind](const auto& entry)
                                                  {
                                                      return entry.second.m_kind == kind;
                                                  }));
}

void forget_least_suspect(crash_suspects& suspects, suspect_kind kind)
{
    const auto rank = [kind](const auto& entry)
    {
        return std::pair{entry.second.m_kind != kind, evidence_rank(entry.second)};
    };
    const auto least = std::min_element(suspects.m_known.begin(), suspects.m_known.end(),
                                        [&](const auto& left, const auto& right)
                                        {
                                            return rank(left) < rank(right);
                                        });
    suspects.m_known.erase(least);
}

suspect& find_or_add(crash_suspects& suspects, suspect_kind kind, suspect_key key)
{
    const auto known = suspects.m_known.find(key);
    if (known != suspects.m_known.end())
    {
        return known->second;
    }
    if (count_of_kind(suspects, kind) >= max_suspects_per_kind)
    {
        forget_least_suspect(suspects, kind);
    }
    suspect& added = suspects.m_known[key];
    added.m_kind = kind;
    added.m_own_success = own_success(suspects, key);
    added.m_last_success = added.m_own_success;
    return added;
}

void begin_quarantine(suspect& held, time_point now)
{
    suspect_quarantine& quarantine = *held.m_quarantine;
    quarantine.m_since = now;
    quarantine.m_until = now + quarantine_length(held.m_kind, quarantine.m_count);
    quarantine.m_trial.reset();
}

/// Whether two sightings are of the same crash.
bool is_same_crash(suspect_kind kind, const suspected_crash& a, const suspected_crash& b)
{
    const auto& restart_time = rules_of(kind).m_restart_time;
    return a.m_upstream == b.m_upstream &&
           (!restart_time || std::chrono::abs(a.m_at - b.m_at) < *restart_time);
}

void add_crash(suspect& seen, const suspected_crash& crash)
{
    const auto known = std::find_if(seen.m_crashes.begin(), seen.m_crashes.end(),
                                    [&](const suspected_crash& other)
                                    {
                                        return is_same_crash(seen.m_kind, other, crash);
                                    });
    if (known != seen.m_crashes.end())
    {
        known->m_weight = std::max(known->m_weight, crash.m_weight);
        known->m_own = known->m_own || crash.m_own;
        return;
    }
    if (seen.m_crashes.size() < max_crashes_per_suspect)
    {
        seen.m_crashes.push_back(crash);
    }
    if (seen.m_quarantine && crash.m_at > seen.m_quarantine->m_until)
    {
        // A trial has failed, here or at another host.
        ++seen.m_quarantine->m_count;
        begin_quarantine(seen, crash.m_at);
    }
}

/// Ends the quarantine of a suspect whose crashes are older than a success. Returns
/// whether it was in quarantine.
bool lift_if_sound(suspect& part)
{
    if (!part.m_quarantine || !part.m_last_success)
    {
        return false;
    }
    const bool is_newer = *part.m_last_success > part.m_quarantine->m_since;
    const bool is_explained =
        !part.m_crashes.empty() && weight_of(part) < quarantine_weight;
    if (!is_newer && !is_explained)
    {
        return false;
    }
    part.m_quarantine.reset();
    return true;
}

/// Whether all crashes of a suspect are also those of one that was at twice as many.
bool is_explained_by_other(const crash_suspects& suspects, suspect_key key,
                           const suspect& part)
{
    const std::uint32_t weight = weight_of(part);
    const auto explains = [&](const auto& entry)
    {
        const suspect& other = entry.second;
        if (entry.first == key || weight_of(other) < 2 * weight)
        {
            return false;
        }
        const auto shares = [&other](const suspected_crash& crash)
        {
            return std::any_of(other.m_crashes.begin(), other.m_crashes.end(),
                               [&crash](const suspected_crash& candidate)
                               {
                                   return candidate.m_upstream == crash.m_upstream;
                               });
        };
        return std::all_of(part.m_crashes.begin(), part.m_crashes.end(), shares);
    };
    return std::any_of(suspects.m_known.begin(), suspects.m_known.end(), explains);
}

bool is_crash_cause(const crash_suspects& suspects, suspect_key key, const suspect& part,
                    milliseconds exchange_time, time_point now)
{
    const suspicion_rules& rules = rules_of(part.m_kind);
    const std::uint32_t required =
        has_recent_success(part, now) ? rules.m_weight_after_success : quarantine_weight;
    if (weight_of(part) < required)
    {
        return false;
    }
    time_point first = time_point::max();
    time_point last = time_point::min();
    for (const suspected_crash& crash : part.m_crashes)
    {
        if (!part.m_last_success || crash.m_at > *part.m_last_success)
        {
            first = std::min(first, crash.m_at);
            last = std::max(last, crash.m_at);
        }
    }
    return last - first >= rules.m_min_crash_span && now - first >= exchange_time &&
           !is_explained_by_other(suspects, key, part);
}

void forget_old(crash_suspects& suspects, time_point now)
{
    for (auto& [key, part] : suspects.m_known)
    {
        std::erase_if(part.m_crashes,
                      [now](const suspected_crash& crash)
                      {
                          return now - crash.m_at > suspicion_memory;
                      });
        if (part.m_quarantine &&
            now - part.m_quarantine->m_until > idle_quarantine_memory)
        {
            part.m_quarantine.reset();
        }
    }
    std::erase_if(suspects.m_known,
                  [](const auto& entry)
                  {
                      return entry.second.m_crashes.empty() && !entry.second.m_quarantine;
                  });
}

} // namespace

std::vector<request_trait> shared_parts(const prompt& request_prompt)
{
    std::vector<request_trait> parts;
    for (std::size_t at = 0; at + 1 < request_prompt.m_parts.size(); ++at)
    {
        const std::string& id = request_prompt.m_parts[at].m_id;
        parts.push_back({suspect_key{stable_hash(id)}, id, suspect_kind::prompt_part});
    }
    return parts;
}

request_trait whole_request(request_identity identity)
{
    return {suspect_key{identity.m_value}, {}, suspect_kind::whole_request};
}

request_trait stage_of_request(request_identity identity, stage_index stage)
{
    const std::string name =
        std::to_string(identity.m_value) + '/' + std::to_string(stage.m_value);
    return {suspect_key{stable_hash(name)}, {}, suspect_kind::request_stage};
}

const suspicion_rules& rules_of(suspect_kind kind)
{
    return kind == suspect_kind::prompt_part ? prompt_part_rules : whole_request_rules;
}

const char* to_text(suspect_kind kind)
{
    switch (kind)
    {
    case suspect_kind::prompt_part:
        return "prompt_part";
    case suspect_kind::whole_request:
        return "whole_request";
    case suspect_kind::request_stage:
        return "request_stage";
    }
    return "unknown";
}

void record_crash(crash_suspects& suspects, const std::vector<request_trait>& traits,
                  upstream_run upstream, std::uint32_t weight, time_point now)
{
    for (const request_trait& trait : traits)
    {
        suspect& part = find_or_add(suspects, trait.m_kind, trait.m_key);
        part.m_id = trait.m_id;
        const std::uint32_t own_weight = trait.m_kind == suspect_kind::whole_request
                                             ? weight_of_whole_request
                                             : weight;
        add_crash(part, {upstream, now, own_weight, true});
        if (part.m_quarantine)
        {
            part.m_quarantine->m_trial.reset();
        }
    }
}

std::vector<suspect_key> record_success(crash_suspects& suspects,
                                        const std::vector<request_trait>& traits,
                                        time_point now)
{
    std::vector<suspect_key> lifted;
    for (const request_trait& trait : traits)
    {
        if (trait.m_kind == suspect_kind::prompt_part)
        {
            remember_success(suspects.m_successes, trait.m_key, now);
        }
        const auto known = suspects.m_known.find(trait.m_key);
        if (known == suspects.m_known.end())
        {
            continue;
        }
        known->second.m_last_success = now;
        known->second.m_own_success = now;
        if (lift_if_sound(known->second))
        {
            lifted.push_back(trait.m_key);
        }
    }
    return lifted;
}

std::vector<suspect_key> update_quarantines(crash_suspects& suspects,
                                            milliseconds exchange_time, time_point now)
{
    forget_old(suspects, now);
    std::vector<suspect_key> begun;
    for (const auto& [key, part] : suspects.m_known)
    {
        if (!part.m_quarantine && is_crash_cause(suspects, key, part, exchange_time, now))
        {
            begun.push_back(key);
        }
    }
    for (const suspect_key key : begun)
    {
        suspect& held = suspects.m_known[key];
        held.m_quarantine.emplace();
        begin_quarantine(held, now);
    }
    return begun;
}

std::optional<milliseconds> quarantine_left(const crash_suspects& suspects,
                                            const std::vector<request_trait>& traits,
                                            time_point now)
{
    std::optional<milliseconds> left;
    for (const request_trait& trait : traits)
    {
        const auto known = suspects.m_known.find(trait.m_key);
        if (known != suspects.m_known.end() && known->second.m_quarantine)
        {
            const milliseconds own = whole_ms(known->second.m_quarantine->m_until - now);
            left = std::max({left.value_or(min_retry_delay), own});
        }
    }
    return left;
}

std::optional<suspect_key> only_quarantined(const crash_suspects& suspects,
                                            const std::vector<request_trait>& traits)
{
    std::optional<suspect_key> only;
    for (const request_trait& trait : traits)
    {
        const auto known = suspects.m_known.find(trait.m_key);
        if (known == suspects.m_known.end() || !known->second.m_quarantine)
        {
            continue;
        }
        if (only && *only != trait.m_key)
        {
            return std::nullopt;
        }
        only = trait.m_key;
    }
    return only;
}

bool begin_trial(crash_suspects& suspects, suspect_key key, std::size_t rank,
                 time_point now)
{
    const auto known = suspects.m_known.find(key);
    if (known == suspects.m_known.end() || !known->second.m_quarantine)
    {
        return false;
    }
    suspect_quarantine& quarantine = *known->second.m_quarantine;
    const bool is_running =
        quarantine.m_trial && now - *quarantine.m_trial < trial_timeout;
    const bool is_due =
        now >= quarantine.m_until + trial_stagger * static_cast<std::int64_t>(rank);
    if (is_running || !is_due)
    {
        return false;
    }
    quarantine.m_trial = now;
    return true;
}

void end_trial(crash_suspects& suspects, const std::vector<request_trait>& traits)
{
    for (const request_trait& trait : traits)
    {
        const auto known = suspects.m_known.find(trait.m_key);
        if (known != suspects.m_known.end() && known->second.m_quarantine)
        {
            known->second.m_quarantine->m_trial.reset();
        }
    }
}

bool may_send_again(const crash_suspects& suspects,
                    const std::vector<request_trait>& traits, time_point now)
{
    return std::none_of(
        traits.begin(), traits.end(),
        [&](const request_trait& trait)
        {
            const auto known = suspects.m_known.find(trait.m_key);
            if (known == suspects.m_known.end())
            {
                return false;
            }
            const suspect& part = known->second;
            const bool is_sound =
                part.m_kind == suspect_kind::prompt_part && has_recent_success(part, now);
            return part.m_quarantine ||
                   (!is_sound && weight_of(part) >= 2 * weight_of_begun_stream);
        });
}

std::optional<crash_report> make_crash_report(const crash_suspects& suspects,
                                              bool to_newcomer, time_point now)
{
    const auto age_ms = [now](time_point at)
    {
        return static_cast<std::uint32_t>(
            std::max(whole_ms(now - at), milliseconds{0}).count());
    };
    // What does not fit into the report is what has the least evidence.
    std::vector<std::pair<suspect_key, const suspect*>> ordered;
    for (const auto& [key, known] : suspects.m_known)
    {
        ordered.emplace_back(key, &known);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const auto& left, const auto& right)
              {
                  return evidence_rank(*left.second) > evidence_rank(*right.second);
              });
    crash_report report;
    for (const auto& [key, known] : ordered)
    {
        for (const suspected_crash& crash : known->m_crashes)
        {
            if (crash.m_own && now - crash.m_at <= report_repetition &&
                report.m_sightings.size() < max_reported_sightings)
            {
                report.m_sightings.push_back(
                    {known->m_kind, key.m_value, crash.m_upstream.m_value,
                     age_ms(crash.m_at), static_cast<std::uint8_t>(crash.m_weight)});
            }
        }
        const auto success = known->m_own_success;
        if (success && now - *success <= suspicion_memory &&
            now - latest_crash(*known) <= report_repetition &&
            report.m_successes.size() < max_reported_successes)
        {
            report.m_successes.push_back({key.m_value, age_ms(*success)});
        }
        const auto& quarantine = known->m_quarantine;
        if (quarantine &&
            (to_newcomer || now - quarantine->m_since <= report_repetition) &&
            report.m_quarantines.size() < max_reported_quarantines)
        {
            report.m_quarantines.push_back(
                {known->m_kind, key.m_value, age_ms(quarantine->m_since),
                 static_cast<std::int32_t>(whole_ms(quarantine->m_until - now).count()),
                 static_cast<std::uint8_t>(std::min(quarantine->m_count, 255U))});
        }
    }
    const bool empty = report.m_sightings.empty() && report.m_successes.empty() &&
                       report.m_quarantines.empty();
    return empty ? std::nullopt : std::optional{std::move(report)};
}

std::vector<suspect_key> apply_crash_report(crash_suspects& suspects,
                                            const crash_report& report, time_point now)
{
    std::vector<suspect_key> lifted;
    for (const crash_sighting& sighting : report.m_sightings)
    {
        const milliseconds age{sighting.m_age_ms};
        if (age <= suspicion_memory && sighting.m_weight <= weight_of_begun_stream)
        {
            add_crash(
                find_or_add(suspects, sighting.m_kind, suspect_key{sighting.m_suspect}),
                {upstream_run{sighting.m_upstream}, now - age, sighting.m_weight, false});
        }
    }
    for (const quarantine_notice& notice : report.m_quarantines)
    {
        suspect& part =
            find_or_add(suspects, notice.m_kind, suspect_key{notice.m_suspect});
        const time_point since = now - milliseconds{notice.m_age_ms};
        const bool is_refuted = part.m_last_success && *part.m_last_success > since;
        const bool is_news =
            !part.m_quarantine || part.m_quarantine->m_count < notice.m_count;
        if (!is_refuted && is_news)
        {
            const milliseconds left{std::min<std::int64_t>(
                notice.m_left_ms,
                whole_ms(rules_of(part.m_kind).m_quarantine_lengths.back()).count())};
            part.m_quarantine = suspect_quarantine{since, now + left, notice.m_count, {}};
        }
    }
    for (const suspect_success& success : report.m_successes)
    {
        const auto known = suspects.m_known.find(suspect_key{success.m_suspect});
        if (known == suspects.m_known.end())
        {
            continue;
        }
        const time_point at = now - milliseconds{success.m_age_ms};
        auto& latest = known->second.m_last_success;
        latest = latest ? std::max(*latest, at) : at;
        if (lift_if_sound(known->second))
        {
            lifted.push_back(known->first);
        }
    }
    return lifted;
}

bool has_suspected_requests(const crash_suspects& suspects)
{
    return std::any_of(suspects.m_known.begin(), suspects.m_known.end(),
                       [](const auto& entry)
                       {
                           return entry.second.m_kind != suspect_kind::prompt_part;
                       });
}

bool is_suspected(const crash_suspects& suspects, suspect_key key)
{
    return suspects.m_known.contains(key);
}

bool goes_alone(const crash_suspects& suspects, suspect_key key)
{
    const auto known = suspects.m_known.find(key);
    return known != suspects.m_known.end() &&
           (known->second.m_quarantine ||
            weight_of(known->second) >= 2 * weight_of_queued_request);
}

std::size_t count_quarantines(const crash_suspects& suspects, suspect_kind kind)
{
    return static_cast<std::size_t>(std::count_if(
        suspects.m_known.begin(), suspects.m_known.end(),
        [kind](const auto& entry)
        {
            return entry.second.m_kind == kind && entry.second.m_quarantine.has_value();
        }));
}

} // namespace geraniumdoor::serving
