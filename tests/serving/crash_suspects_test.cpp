#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/cluster/codec.hpp>
#include <geraniumdoor/serving/crash_suspects.hpp>
#include <geraniumdoor/serving/host_table.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 100s;
constexpr milliseconds exchange_time{600};

std::vector<request_trait> parts_of(const std::vector<std::string>& ids)
{
    prompt text;
    for (const std::string& id : ids)
    {
        text.m_parts.push_back({id, 10});
    }
    text.m_parts.push_back({"own", 10});
    return shared_parts(text);
}

/// Crashes of several upstreams, a second apart, with a part that is at all of them.
void crash_upstreams(crash_suspects& suspects, const std::vector<std::string>& ids,
                     int count)
{
    for (int at = 0; at < count; ++at)
    {
        record_crash(suspects, parts_of(ids),
                     upstream_run{static_cast<std::uint64_t>(at)}, weight_of_begun_stream,
                     start + seconds{at});
    }
}

bool is_held(const crash_suspects& suspects, const std::vector<std::string>& ids,
             time_point now)
{
    return quarantine_left(suspects, parts_of(ids), now).has_value();
}

} // namespace

TestSuite(crash_suspects, .timeout = 200);

Test(crash_suspects, a_part_that_was_at_three_crashes_and_never_at_a_success_is_held)
{
    crash_suspects suspects;
    // First one, then a second crash: each could be a coincidence.
    crash_upstreams(suspects, {"first", "bad"}, 2);
    record_success(suspects, parts_of({"first", "topic"}), start + 1500ms);
    cr_expect(update_quarantines(suspects, exchange_time, start + 1900ms).empty());
    cr_expect(not may_send_again(suspects, parts_of({"first", "bad"}), start + 1900ms));
    cr_expect(may_send_again(suspects, parts_of({"first", "topic"}), start + 1900ms));
    // The third one leaves the part that no sound stream had.
    record_crash(suspects, parts_of({"first", "bad"}), upstream_run{9},
                 weight_of_begun_stream, start + 2s);
    EXPECT_EQUAL(update_quarantines(suspects, exchange_time, start + 2s).size(), 1U);
    cr_expect(is_held(suspects, {"first", "bad"}, start + 3s));
    cr_expect(not is_held(suspects, {"first", "topic"}, start + 3s));
}

Test(crash_suspects, the_last_part_of_a_prompt_is_never_suspected)
{
    cr_expect(parts_of({}).empty());
    EXPECT_EQUAL(parts_of({"a", "b"}).size(), 2U);
}

Test(crash_suspects, upstreams_that_crash_at_the_same_moment_hold_no_part)
{
    crash_suspects suspects;
    for (std::uint64_t at = 0; at < 8; ++at)
    {
        record_crash(suspects, parts_of({"first"}), upstream_run{at},
                     weight_of_begun_stream, start + milliseconds{10 * at});
    }
    for (int second = 1; second < 20; ++second)
    {
        cr_expect(
            update_quarantines(suspects, exchange_time, start + seconds{second}).empty());
    }
}

Test(crash_suspects, a_sound_part_that_shares_some_of_the_crashes_is_not_held)
{
    crash_suspects suspects;
    crash_upstreams(suspects, {"bad"}, 6);
    for (std::uint64_t at : {1U, 3U, 4U})
    {
        record_crash(suspects, parts_of({"rare"}), upstream_run{at},
                     weight_of_begun_stream, start + seconds{at});
    }
    const auto held = update_quarantines(suspects, exchange_time, start + 6s);
    EXPECT_EQUAL(held.size(), 1U);
    cr_expect(is_held(suspects, {"bad"}, start + 7s));
    cr_expect(not is_held(suspects, {"rare"}, start + 7s));
}

Test(crash_suspects, one_request_tries_a_part_after_its_quarantine)
{
    crash_suspects suspects;
    crash_upstreams(suspects, {"first", "bad"}, 3);
    record_success(suspects, parts_of({"first"}), start + 2500ms);
    const auto held = update_quarantines(suspects, exchange_time, start + 3s);
    cr_assert(held.size() == 1);
    const suspect_key bad = held.front();
    const time_point end = start + 3s + prompt_part_rules.m_quarantine_lengths[0];
    EXPECT_EQUAL(only_quarantined(suspects, parts_of({"first", "bad"})), bad);

    // Not before the end, one at a time, and the next host two seconds later.
    cr_expect(not begin_trial(suspects, bad, 0, end - 1ms));
    cr_expect(not begin_trial(suspects, bad, 1, end + 1s));
    cr_expect(begin_trial(suspects, bad, 0, end));
    cr_expect(not begin_trial(suspects, bad, 0, end + 1s));

    // A request that was cancelled makes room for another one.
    end_trial(suspects, parts_of({"first", "bad"}));
    cr_expect(begin_trial(suspects, bad, 0, end + 1s));

    // The trial crashes its upstream: the next quarantine is longer.
    record_crash(suspects, parts_of({"first", "bad"}), upstream_run{77},
                 weight_of_begun_stream, end + 2s);
    cr_expect(not begin_trial(suspects, bad, 0, end + 30s));
    const time_point second_end = end + 2s + prompt_part_rules.m_quarantine_lengths[1];
    cr_expect(begin_trial(suspects, bad, 0, second_end));

    // The next one is sound: the part is free at once.
    EXPECT_EQUAL(record_success(suspects, parts_of({"bad"}), second_end + 1s).size(), 1U);
    cr_expect(not is_held(suspects, {"bad"}, second_end + 1s));
}

Test(crash_suspects, hosts_that_see_one_crash_each_hold_the_part_together)
{
    std::vector<crash_suspects> hosts(3);
    for (std::size_t at = 0; at < hosts.size(); ++at)
    {
        record_crash(hosts[at], parts_of({"bad"}), upstream_run{at},
                     weight_of_begun_stream, start + seconds{at});
    }
    const time_point now = start + 3s;
    std::vector<crash_report> reports;
    for (const crash_suspects& host : hosts)
    {
        reports.push_back(*make_crash_report(host, false, now));
    }
    for (crash_suspects& host : hosts)
    {
        cr_expect(update_quarantines(host, exchange_time, now).empty());
        for (const crash_report& report : reports)
        {
            apply_crash_report(host, report, now);
        }
        EXPECT_EQUAL(update_quarantines(host, exchange_time, now).size(), 1U);
    }
    // A host that starts later is told of it, and a sound stream anywhere ends it.
    crash_suspects newcomer;
    apply_crash_report(newcomer, *make_crash_report(hosts[0], true, now + 15s),
                       now + 15s);
    cr_expect(is_held(newcomer, {"bad"}, now + 15s));
    record_crash(newcomer, parts_of({"bad"}), upstream_run{50}, weight_of_begun_stream,
                 now + 15s);
    record_success(hosts[1], parts_of({"bad"}), now + 16s);
    hosts[1].m_known.begin()->second.m_crashes.back().m_at = now + 14s;
    EXPECT_EQUAL(apply_crash_report(
                     newcomer, *make_crash_report(hosts[1], false, now + 16s), now + 16s)
                     .size(),
                 1U);
    // Late news of the quarantine do not bring it back.
    apply_crash_report(newcomer, *make_crash_report(hosts[2], true, now + 17s),
                       now + 17s);
    cr_expect(not is_held(newcomer, {"bad"}, now + 17s));
}

Test(crash_suspects, what_is_remembered_and_reported_is_bounded)
{
    crash_suspects suspects;
    for (std::uint64_t at = 0; at < 20000; ++at)
    {
        const time_point now = start + milliseconds{at};
        record_crash(suspects, parts_of({"p" + std::to_string(at)}), upstream_run{at},
                     weight_of_queued_request, now);
        record_success(suspects, parts_of({"s" + std::to_string(at)}), now);
    }
    cr_expect(suspects.m_known.size() <= 256);
    cr_expect(suspects.m_successes.m_newer.size() + suspects.m_successes.m_older.size() <=
              4096);
    crash_report full;
    full.m_sightings.resize(max_reported_sightings);
    full.m_successes.resize(max_reported_successes);
    full.m_quarantines.resize(max_reported_quarantines);
    cr_expect(is_ok(encode_datagram(full)));
    update_quarantines(suspects, exchange_time, start + 200s);
    cr_expect(suspects.m_known.empty());
}

namespace
{

/// A fleet under requests that hold a part which crashes engines, and sound requests that
/// share their workspace and first part.
struct fleet_pattern
{
    std::size_t m_hosts = 7;
    std::size_t m_engines = 12;
    double m_crashing_per_s = 1.2;
    double m_sound_per_s = 20;
    std::uint32_t m_topics = 40;
    double m_lost_datagrams = 0.03;
    milliseconds m_contact_time{3000};
    /// Share of the engines that crash together every three seconds, without a cause in a
    /// prompt.
    double m_crash_share = 0;
    std::uint64_t m_seed = 1;
};

struct fleet_result
{
    std::size_t m_crashes = 0;
    std::size_t m_sends_after_bound = 0;
    std::size_t m_sound = 0;
    std::size_t m_sound_held = 0;
    std::size_t m_held_parts = 0;
};

class fleet_replay
{
public:
    explicit fleet_replay(const fleet_pattern& pattern)
        : m_pattern{pattern}
        , m_random{pattern.m_seed}
        , m_hosts(pattern.m_hosts)
        , m_engines(pattern.m_engines)
        , m_interval{report_interval(pattern.m_hosts, false)}
    {
        for (engine& started : m_engines)
        {
            started.m_run = ++m_runs;
        }
    }

    fleet_result run(seconds length)
    {
        for (milliseconds at{0}; at < length; at += step)
        {
            m_now = start + at;
            restart_engines();
            if (m_pattern.m_crash_share > 0 && at.count() % 3000 == 2000)
            {
                crash_some();
            }
            if (chance(m_pattern.m_sound_per_s))
            {
                begin(parts_of({"first", "topic" + std::to_string(topic())}), false);
            }
            if (chance(m_pattern.m_crashing_per_s))
            {
                begin(parts_of({"first", "bad"}), true);
            }
            advance_streams();
            report(at);
        }
        m_result.m_crashes = m_crash_times.size();
        constexpr std::size_t fifth = 4;
        if (m_crash_times.size() > fifth)
        {
            const time_point bound = m_crash_times[fifth] + m_pattern.m_contact_time;
            m_result.m_sends_after_bound = static_cast<std::size_t>(
                std::count_if(m_crash_sends.begin(), m_crash_sends.end(),
                              [bound](time_point sent)
                              {
                                  return sent > bound;
                              }));
        }
        return m_result;
    }

private:
    static constexpr milliseconds step{10};
    static constexpr milliseconds first_event{60};
    static constexpr milliseconds event_gap{25};
    static constexpr int events{20};
    static constexpr seconds restart_time{7};

    struct engine
    {
        std::uint64_t m_run = 0;
        time_point m_back{};
    };

    struct stream
    {
        std::size_t m_host = 0;
        std::size_t m_engine = 0;
        std::vector<request_trait> m_parts;
        bool m_crashes = false;
        bool m_is_trial = false;
        time_point m_sent{};
        int m_events = 0;
    };

    bool chance(double per_s)
    {
        return uniform_unit(m_random) < per_s * to_s(step);
    }

    std::uint32_t topic()
    {
        // Half of the requests are about a tenth of the topics.
        const std::uint32_t topics = m_pattern.m_topics;
        return uniform_unit(m_random) < 0.5 ? uniform_below(m_random, topics / 10)
                                            : uniform_below(m_random, topics);
    }

    void restart_engines()
    {
        for (engine& down : m_engines)
        {
            if (down.m_back != time_point{} && m_now >= down.m_back)
            {
                down.m_back = time_point{};
                down.m_run = ++m_runs;
            }
        }
    }

    void begin(std::vector<request_trait> parts, bool crashes)
    {
        const std::size_t host =
            uniform_below(m_random, static_cast<std::uint32_t>(m_hosts.size()));
        crash_suspects& suspects = m_hosts[host];
        m_result.m_sound += crashes ? 0 : 1;
        stream begun{host, 0, std::move(parts), crashes, false, m_now, 0};
        if (quarantine_left(suspects, begun.m_parts, m_now))
        {
            const auto tried = only_quarantined(suspects, begun.m_parts);
            begun.m_is_trial = tried && begin_trial(suspects, *tried, host, m_now);
            if (!begun.m_is_trial)
            {
                m_result.m_sound_held += crashes ? 0 : 1;
                return;
            }
        }
        std::vector<std::size_t> up;
        for (std::size_t at = 0; at < m_engines.size(); ++at)
        {
            if (m_engines[at].m_back == time_point{})
            {
                up.push_back(at);
            }
        }
        if (up.empty())
        {
            return;
        }
        begun.m_engine =
            up[uniform_below(m_random, static_cast<std::uint32_t>(up.size()))];
        if (crashes)
        {
            m_crash_sends.push_back(m_now);
        }
        m_streams.push_back(std::move(begun));
    }

    void advance_streams()
    {
        std::vector<std::size_t> crashed;
        for (stream& running : m_streams)
        {
            const auto due = running.m_sent + first_event + running.m_events * event_gap;
            if (m_now < due)
            {
                continue;
            }
            if (running.m_crashes)
            {
                crashed.push_back(running.m_engine);
                m_crash_times.push_back(m_now);
                continue;
            }
            ++running.m_events;
            if (running.m_events == static_cast<int>(events_of_sound_stream))
            {
                record_success(m_hosts[running.m_host], running.m_parts, m_now);
            }
        }
        for (const std::size_t at : crashed)
        {
            crash(at);
        }
        std::erase_if(m_streams,
                      [](const stream& running)
                      {
                          return running.m_events >= events;
                      });
    }

    void crash(std::size_t at)
    {
        for (const stream& running : m_streams)
        {
            if (running.m_engine == at &&
                running.m_events < static_cast<int>(events_of_sound_stream))
            {
                record_crash(m_hosts[running.m_host], running.m_parts,
                             upstream_run{m_engines[at].m_run},
                             running.m_crashes ? weight_of_begun_stream
                                               : weight_of_queued_request,
                             m_now);
            }
        }
        std::erase_if(m_streams,
                      [at](const stream& running)
                      {
                          return running.m_engine == at;
                      });
        m_engines[at].m_back = m_now + restart_time;
    }

    void crash_some()
    {
        for (std::size_t at = 0; at < m_engines.size(); ++at)
        {
            if (uniform_unit(m_random) < m_pattern.m_crash_share &&
                m_engines[at].m_back == time_point{})
            {
                crash(at);
            }
        }
    }

    void report(milliseconds at)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            // Reports of the hosts are spread over the interval.
            const auto phase = static_cast<std::int64_t>(host) * 10;
            if ((at.count() + phase) % m_interval.count() != 0)
            {
                continue;
            }
            const auto sent = make_crash_report(m_hosts[host], false, m_now);
            for (std::size_t to = 0; sent && to < m_hosts.size(); ++to)
            {
                if (to != host && uniform_unit(m_random) >= m_pattern.m_lost_datagrams)
                {
                    apply_crash_report(m_hosts[to], *sent, m_now);
                }
            }
        }
        for (crash_suspects& host : m_hosts)
        {
            m_result.m_held_parts +=
                update_quarantines(host, 2 * m_interval + 200ms, m_now).size();
        }
    }

    fleet_pattern m_pattern;
    random_source m_random;
    std::vector<crash_suspects> m_hosts;
    std::vector<engine> m_engines;
    milliseconds m_interval;
    std::vector<stream> m_streams;
    std::vector<time_point> m_crash_sends;
    std::vector<time_point> m_crash_times;
    std::uint64_t m_runs = 0;
    time_point m_now{};
    fleet_result m_result;
};

} // namespace

// Replays the load of the incident: about one crashing request a second at any of seven
// hosts; and the same at the sizes of larger fleets.
Test(crash_suspects, a_fleet_stops_a_crashing_part_and_serves_the_sound_requests)
{
    std::vector<fleet_pattern> patterns(4);
    patterns[1] = {65, 90, 4, 60, 200, 0.03, 4000ms, 0, 1};
    patterns[2] = {195, 78, 6, 60, 400, 0.03, 5000ms, 0, 1};
    patterns[3] = {7, 12, 0.4, 20, 40, 0.3, 3000ms, 0, 1};
    for (fleet_pattern pattern : patterns)
    {
        const std::uint64_t seeds = pattern.m_hosts > 10 ? 2 : 20;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            pattern.m_seed = seed;
            const fleet_result result = fleet_replay{pattern}.run(45s);
            cr_expect(result.m_sends_after_bound <= 3,
                      "%zu hosts, seed %zu: %zu sends after the bound, %zu crashes",
                      pattern.m_hosts, static_cast<std::size_t>(seed),
                      result.m_sends_after_bound, result.m_crashes);
            cr_expect(result.m_sound_held * 50 <= result.m_sound,
                      "%zu hosts, seed %zu: %zu of %zu sound requests held",
                      pattern.m_hosts, static_cast<std::size_t>(seed),
                      result.m_sound_held, result.m_sound);
        }
    }
}

// Engines that crash for other reasons, half of them at a time, must not hold requests.
Test(crash_suspects, crashes_without_a_cause_in_a_prompt_hold_few_requests)
{
    fleet_pattern pattern;
    pattern.m_crashing_per_s = 0;
    pattern.m_crash_share = 0.5;
    std::size_t sound = 0;
    std::size_t held = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        pattern.m_seed = seed;
        const fleet_result result = fleet_replay{pattern}.run(45s);
        sound += result.m_sound;
        held += result.m_sound_held;
    }
    cr_expect(held * 100 <= sound, "%zu of %zu sound requests held", held, sound);
}
