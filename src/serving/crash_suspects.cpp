#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/crash_suspects.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumdoor::serving
{

namespace
{

/// Parts that are kept; more are forgotten, those with the least evidence first.
constexpr std::size_t max_suspect_parts = 256;
constexpr std::size_t max_crashes_per_part = 16;

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

seconds quarantine_length(std::uint32_t count)
{
    const std::size_t at =
        std::min<std::size_t>(std::max(count, 1U), quarantine_lengths.size());
    return quarantine_lengths[at - 1];
}

std::optional<time_point> own_success(const crash_suspects& suspects, part_key key)
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

void remember_success(recent_successes& successes, part_key key, time_point now)
{
    const bool full = successes.m_newer.size() >= max_successes_per_generation;
    if (full || now - successes.m_newer_since > suspicion_memory)
    {
        successes.m_older = std::exchange(successes.m_newer, {});
        successes.m_newer_since = now;
    }
    successes.m_newer[key] = now;
}

/// Sum of the weights of the crashes since the last sound stream.
std::uint32_t weight_of(const suspect_part& part)
{
    std::uint32_t weight = 0;
    for (const suspected_crash& crash : part.m_crashes)
    {
        const bool counts = !part.m_last_success || crash.m_at > *part.m_last_success;
        weight += counts ? crash.m_weight : 0;
    }
    return weight;
}

bool has_recent_success(const suspect_part& part, time_point now)
{
    return part.m_last_success && now - *part.m_last_success <= suspicion_memory;
}

time_point latest_crash(const suspect_part& part)
{
    time_point latest{};
    for (const suspected_crash& crash : part.m_crashes)
    {
        latest = std::max(latest, crash.m_at);
    }
    return latest;
}

void forget_least_suspect(crash_suspects& suspects)
{
    const auto rank = [](const auto& entry)
    {
        const suspect_part& part = entry.second;
        return std::tuple{part.m_quarantine.has_value(), weight_of(part),
                          latest_crash(part)};
    };
    const auto least = std::min_element(suspects.m_parts.begin(), suspects.m_parts.end(),
                                        [&](const auto& left, const auto& right)
                                        {
                                            return rank(left) < rank(right);
                                        });
    suspects.m_parts.erase(least);
}

suspect_part& find_or_add(crash_suspects& suspects, part_key key)
{
    const auto known = suspects.m_parts.find(key);
    if (known != suspects.m_parts.end())
    {
        return known->second;
    }
    if (suspects.m_parts.size() >= max_suspect_parts)
    {
        forget_least_suspect(suspects);
    }
    suspect_part& part = suspects.m_parts[key];
    part.m_last_success = own_success(suspects, key);
    return part;
}

void begin_quarantine(part_quarantine& quarantine, time_point now)
{
    quarantine.m_since = now;
    quarantine.m_until = now + quarantine_length(quarantine.m_count);
    quarantine.m_trial.reset();
}

void add_crash(suspect_part& part, const suspected_crash& crash)
{
    const auto known = std::find_if(part.m_crashes.begin(), part.m_crashes.end(),
                                    [&](const suspected_crash& other)
                                    {
                                        return other.m_upstream == crash.m_upstream;
                                    });
    if (known != part.m_crashes.end())
    {
        known->m_weight = std::max(known->m_weight, crash.m_weight);
        known->m_own = known->m_own || crash.m_own;
        return;
    }
    if (part.m_crashes.size() < max_crashes_per_part)
    {
        part.m_crashes.push_back(crash);
    }
    auto& quarantine = part.m_quarantine;
    if (quarantine && crash.m_at > quarantine->m_until)
    {
        // A trial has failed, here or at another host.
        ++quarantine->m_count;
        begin_quarantine(*quarantine, crash.m_at);
    }
}

/// Ends the quarantine of a part whose crashes are older than a sound stream. Returns
/// whether it was in quarantine.
bool lift_if_sound(suspect_part& part)
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

/// Whether all crashes of a part are also those of one that was at twice as many.
bool is_explained_by_other(const crash_suspects& suspects, part_key key,
                           const suspect_part& part)
{
    const std::uint32_t weight = weight_of(part);
    const auto explains = [&](const auto& entry)
    {
        const suspect_part& other = entry.second;
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
    return std::any_of(suspects.m_parts.begin(), suspects.m_parts.end(), explains);
}

bool is_crash_cause(const crash_suspects& suspects, part_key key,
                    const suspect_part& part, milliseconds exchange_time, time_point now)
{
    const std::uint32_t required = has_recent_success(part, now)
                                       ? quarantine_weight_after_success
                                       : quarantine_weight;
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
    return last - first >= min_crash_span && now - first >= exchange_time &&
           !is_explained_by_other(suspects, key, part);
}

void forget_old(crash_suspects& suspects, time_point now)
{
    for (auto& [key, part] : suspects.m_parts)
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
    std::erase_if(suspects.m_parts,
                  [](const auto& entry)
                  {
                      return entry.second.m_crashes.empty() && !entry.second.m_quarantine;
                  });
}

} // namespace

std::vector<shared_part> shared_parts(const prompt& request_prompt)
{
    std::vector<shared_part> parts;
    for (std::size_t at = 0; at + 1 < request_prompt.m_parts.size(); ++at)
    {
        const std::string& id = request_prompt.m_parts[at].m_id;
        parts.push_back({part_key{stable_hash(id)}, id});
    }
    return parts;
}

void record_crash(crash_suspects& suspects, const std::vector<shared_part>& parts,
                  upstream_run upstream, std::uint32_t weight, time_point now)
{
    for (const shared_part& shared : parts)
    {
        suspect_part& part = find_or_add(suspects, shared.m_key);
        part.m_id = shared.m_id;
        add_crash(part, {upstream, now, weight, true});
        if (part.m_quarantine)
        {
            part.m_quarantine->m_trial.reset();
        }
    }
}

std::vector<part_key> record_success(crash_suspects& suspects,
                                     const std::vector<shared_part>& parts,
                                     time_point now)
{
    std::vector<part_key> lifted;
    for (const shared_part& shared : parts)
    {
        remember_success(suspects.m_successes, shared.m_key, now);
        const auto known = suspects.m_parts.find(shared.m_key);
        if (known == suspects.m_parts.end())
        {
            continue;
        }
        known->second.m_last_success = now;
        if (lift_if_sound(known->second))
        {
            lifted.push_back(shared.m_key);
        }
    }
    return lifted;
}

std::vector<part_key> update_quarantines(crash_suspects& suspects,
                                         milliseconds exchange_time, time_point now)
{
    forget_old(suspects, now);
    std::vector<part_key> begun;
    for (const auto& [key, part] : suspects.m_parts)
    {
        if (!part.m_quarantine && is_crash_cause(suspects, key, part, exchange_time, now))
        {
            begun.push_back(key);
        }
    }
    for (const part_key key : begun)
    {
        begin_quarantine(suspects.m_parts[key].m_quarantine.emplace(), now);
    }
    return begun;
}

std::optional<milliseconds> quarantine_left(const crash_suspects& suspects,
                                            const std::vector<shared_part>& parts,
                                            time_point now)
{
    std::optional<milliseconds> left;
    for (const shared_part& shared : parts)
    {
        const auto known = suspects.m_parts.find(shared.m_key);
        if (known != suspects.m_parts.end() && known->second.m_quarantine)
        {
            const milliseconds own = whole_ms(known->second.m_quarantine->m_until - now);
            left = std::max({left.value_or(min_retry_delay), own});
        }
    }
    return left;
}

std::optional<part_key> only_quarantined(const crash_suspects& suspects,
                                         const std::vector<shared_part>& parts)
{
    std::optional<part_key> only;
    for (const shared_part& shared : parts)
    {
        const auto known = suspects.m_parts.find(shared.m_key);
        if (known == suspects.m_parts.end() || !known->second.m_quarantine)
        {
            continue;
        }
        if (only && *only != shared.m_key)
        {
            return std::nullopt;
        }
        only = shared.m_key;
    }
    return only;
}

bool begin_trial(crash_suspects& suspects, part_key key, std::size_t rank, time_point now)
{
    const auto known = suspects.m_parts.find(key);
    if (known == suspects.m_parts.end() || !known->second.m_quarantine)
    {
        return false;
    }
    part_quarantine& quarantine = *known->second.m_quarantine;
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

void end_trial(crash_suspects& suspects, const std::vector<shared_part>& parts)
{
    for (const shared_part& shared : parts)
    {
        const auto known = suspects.m_parts.find(shared.m_key);
        if (known != suspects.m_parts.end() && known->second.m_quarantine)
        {
            known->second.m_quarantine->m_trial.reset();
        }
    }
}

bool may_send_again(const crash_suspects& suspects, const std::vector<shared_part>& parts,
                    time_point now)
{
    return std::none_of(parts.begin(), parts.end(),
                        [&](const shared_part& shared)
                        {
                            const auto known = suspects.m_parts.find(shared.m_key);
                            if (known == suspects.m_parts.end())
                            {
                                return false;
                            }
                            const suspect_part& part = known->second;
                            return part.m_quarantine ||
                                   (!has_recent_success(part, now) &&
                                    weight_of(part) >= 2 * weight_of_begun_stream);
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
    crash_report report;
    for (const auto& [key, part] : suspects.m_parts)
    {
        for (const suspected_crash& crash : part.m_crashes)
        {
            if (crash.m_own && now - crash.m_at <= report_repetition &&
                report.m_sightings.size() < max_reported_sightings)
            {
                report.m_sightings.push_back({key.m_value, crash.m_upstream.m_value,
                                              age_ms(crash.m_at),
                                              static_cast<std::uint8_t>(crash.m_weight)});
            }
        }
        const auto success = own_success(suspects, key);
        if (success && now - *success <= suspicion_memory &&
            now - latest_crash(part) <= report_repetition &&
            report.m_successes.size() < max_reported_successes)
        {
            report.m_successes.push_back({key.m_value, age_ms(*success)});
        }
        const auto& quarantine = part.m_quarantine;
        if (quarantine &&
            (to_newcomer || now - quarantine->m_since <= report_repetition) &&
            report.m_quarantines.size() < max_reported_quarantines)
        {
            report.m_quarantines.push_back(
                {key.m_value, age_ms(quarantine->m_since),
                 static_cast<std::int32_t>(whole_ms(quarantine->m_until - now).count()),
                 static_cast<std::uint8_t>(std::min(quarantine->m_count, 255U))});
        }
    }
    const bool empty = report.m_sightings.empty() && report.m_successes.empty() &&
                       report.m_quarantines.empty();
    return empty ? std::nullopt : std::optional{std::move(report)};
}

std::vector<part_key> apply_crash_report(crash_suspects& suspects,
                                         const crash_report& report, time_point now)
{
    std::vector<part_key> lifted;
    for (const crash_sighting& sighting : report.m_sightings)
    {
        const milliseconds age{sighting.m_age_ms};
        if (age <= suspicion_memory && sighting.m_weight <= weight_of_begun_stream)
        {
            add_crash(
                find_or_add(suspects, part_key{sighting.m_part}),
                {upstream_run{sighting.m_upstream}, now - age, sighting.m_weight, false});
        }
    }
    for (const quarantine_notice& notice : report.m_quarantines)
    {
        suspect_part& part = find_or_add(suspects, part_key{notice.m_part});
        const time_point since = now - milliseconds{notice.m_age_ms};
        const bool is_refuted = part.m_last_success && *part.m_last_success > since;
        const bool is_news =
            !part.m_quarantine || part.m_quarantine->m_count < notice.m_count;
        if (!is_refuted && is_news)
        {
            const milliseconds left{std::min<std::int64_t>(
                notice.m_left_ms, whole_ms(quarantine_lengths.back()).count())};
            part.m_quarantine = part_quarantine{since, now + left, notice.m_count, {}};
        }
    }
    for (const part_success& success : report.m_successes)
    {
        const auto known = suspects.m_parts.find(part_key{success.m_part});
        if (known == suspects.m_parts.end())
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

std::size_t count_quarantines(const crash_suspects& suspects)
{
    return static_cast<std::size_t>(
        std::count_if(suspects.m_parts.begin(), suspects.m_parts.end(),
                      [](const auto& entry)
                      {
                          return entry.second.m_quarantine.has_value();
                      }));
}

} // namespace geraniumdoor::serving
