#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/stream_origins.hpp>

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

const time_point start = time_point{} + 1000s;
const pool_id sample_pool{"engines"};
constexpr milliseconds step{50};

upstream_entry entry_of(const std::string& id, const std::string& version)
{
    upstream_entry entry;
    entry.m_id.m_value = id;
    entry.m_pool = sample_pool;
    entry.m_version.m_value = version;
    return entry;
}

upstream_table table_of(const std::vector<upstream_entry>& entries)
{
    upstream_table table;
    for (const upstream_entry& entry : entries)
    {
        apply_entry(table, entry, start);
    }
    return table;
}

/// Address that stands for a host.
node_address address_of(std::size_t host)
{
    return {"10.0.0." + std::to_string(host), 1};
}

host_report report_of(std::size_t host, std::uint64_t run)
{
    host_report report;
    report.m_node.m_value = "h" + std::to_string(host);
    report.m_incarnation.m_value = run;
    report.m_data_centre.m_value = "z" + std::to_string(host % 3);
    report.m_peer = address_of(host);
    report.m_interval_ms = 200;
    return report;
}

origin_reply reply_of(origin_finding finding, const std::string& version)
{
    origin_reply reply;
    reply.m_finding = finding;
    reply.m_version = version;
    return reply;
}

struct fleet_host
{
    std::uint64_t m_run = 1;
    stream_origins m_origins;
    host_table m_hosts;
    /// The registry as the host sees it, and when it was so.
    upstream_table m_upstreams;
    time_point m_seen_at{};
    /// The host is down until then.
    time_point m_down_until{};
    /// Delay of its view of the registry.
    milliseconds m_lag{0};
};

struct fleet_stream
{
    std::string m_first_attempt;
    software_version m_version;
    std::size_t m_host = 0;
    upstream_id m_upstream;
    time_point m_ends{};
    time_point m_returns_at{};
    bool m_waits = false;
    int m_tries = 0;
};

struct fleet_counts
{
    int m_begun = 0;
    int m_not_begun = 0;
    /// Streams taken up while two upstreams of their version served.
    int m_taken_up = 0;
    int m_went_on = 0;
    int m_joined = 0;
};

/// Hosts whose messages are lost now and then and whose views of the registry lag, with
/// upstreams that are replaced by ones of the next version, and callers who return at any
/// host.
class fleet
{
public:
    explicit fleet(std::uint32_t seed) : m_random{seed}, m_hosts(below(6) + 3)
    {
        for (fleet_host& host : m_hosts)
        {
            host.m_lag = milliseconds{below(1200)};
        }
        const std::size_t upstreams = below(8) + 4;
        for (std::size_t at = 0; at < upstreams; ++at)
        {
            add_upstream(m_version);
        }
    }

    fleet_counts run()
    {
        const time_point end = start + 75s;
        for (m_now = start; m_now < end; m_now += step)
        {
            exchange_reports();
            change_upstreams();
            kill_hosts();
            begin_streams();
            break_streams();
            take_up_streams();
        }
        return m_counts;
    }

private:
    std::uint32_t below(std::uint32_t bound)
    {
        return uniform_below(m_random, bound);
    }

    bool happens(std::uint32_t per_thousand)
    {
        return below(1000) < per_thousand;
    }

    bool is_up(std::size_t host) const
    {
        return m_hosts[host].m_down_until <= m_now;
    }

    void add_upstream(std::size_t version)
    {
        const std::string id = "u" + std::to_string(m_next_upstream++);
        m_upstreams.push_back(entry_of(id, "v" + std::to_string(version)));
        m_registry[m_now] = m_upstreams;
    }

    /// Replaces an upstream by one of the next version.
    void replace_upstream()
    {
        const auto count = static_cast<std::uint32_t>(m_upstreams.size());
        m_upstreams.erase(m_upstreams.begin() + below(count));
        add_upstream(m_version + 1);
        const bool is_complete = std::all_of(
            m_upstreams.begin(), m_upstreams.end(),
            [this](const upstream_entry& entry)
            {
                return entry.m_version.m_value == "v" + std::to_string(m_version + 1);
            });
        m_version += is_complete ? 1 : 0;
    }

    /// Applies a message to a host unless it is lost.
    template<class Apply>
    void deliver(const node_address& to, Apply apply)
    {
        constexpr std::uint32_t lost_per_thousand = 30;
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (address_of(host) == to && is_up(host) && !happens(lost_per_thousand))
            {
                apply(m_hosts[host]);
            }
        }
    }

    void exchange_reports()
    {
        for (std::size_t from = 0; from < m_hosts.size(); ++from)
        {
            for (std::size_t to = 0; to < m_hosts.size(); ++to)
            {
                if (from == to || !is_up(from) || !is_up(to))
                {
                    continue;
                }
                host_report report = report_of(from, m_hosts[from].m_run);
                report.m_sequence = ++m_sequence;
                apply_report(m_hosts[to].m_hosts, report, m_now);
            }
        }
    }

    void change_upstreams()
    {
        // A release replaces the upstreams one after the other.
        constexpr std::size_t versions = 3;
        const bool releases = (m_now - start) % 30s > 10s;
        if (releases && happens(60) && m_version < versions)
        {
            replace_upstream();
        }
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (is_up(host))
            {
                observe(m_hosts[host]);
            }
        }
    }

    void observe(fleet_host& host)
    {
        const auto next = m_registry.upper_bound(m_now - host.m_lag);
        const auto seen = next == m_registry.begin() ? next : std::prev(next);
        if (host.m_seen_at != seen->first)
        {
            host.m_seen_at = seen->first;
            host.m_upstreams = table_of(seen->second);
        }
        if (observe_versions(host.m_origins, host.m_upstreams, m_now).empty())
        {
            return;
        }
        const auto streams = host.m_origins.m_streams;
        for (const auto& [stream, origin] : streams)
        {
            if (origin.m_began_here)
            {
                tell_holders(host, stream, origin);
            }
        }
    }

    void tell_holders(const fleet_host& from, stream_key stream, known_origin origin)
    {
        origin.m_began_here = false;
        for (const node_address& holder : origin_hosts(from.m_hosts, stream, m_now))
        {
            deliver(holder,
                    [&](fleet_host& host)
                    {
                        record_origin(host.m_origins, stream, origin);
                    });
        }
    }

    void kill_hosts()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (is_up(host) && happens(1))
            {
                fleet_host& killed = m_hosts[host];
                const std::uint64_t run = killed.m_run + 1;
                const milliseconds lag = killed.m_lag;
                killed = fleet_host{};
                killed.m_run = run;
                killed.m_lag = lag;
                killed.m_down_until = m_now + 2s;
            }
        }
    }

    std::optional<std::size_t> any_host()
    {
        const std::size_t first = below(static_cast<std::uint32_t>(m_hosts.size()));
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            const std::size_t host = (first + at) % m_hosts.size();
            if (is_up(host))
            {
                return host;
            }
        }
        return std::nullopt;
    }

    const upstream_entry* find_upstream(const upstream_id& id) const
    {
        const auto at = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                     [&id](const upstream_entry& entry)
                                     {
                                         return entry.m_id == id;
                                     });
        return at == m_upstreams.end() ? nullptr : &*at;
    }

    /// Runs the stream at an upstream that the host knows. Returns whether it is there.
    bool run_at(fleet_stream& stream, std::size_t host,
                const std::optional<software_version>& version)
    {
        const auto& view = m_hosts[host].m_upstreams;
        const upstream* chosen =
            choose_upstream(view, sample_pool, data_centre_id{}, {}, m_now, version);
        const upstream_entry* entry =
            chosen == nullptr ? nullptr : find_upstream(chosen->m_entry.m_id);
        if (entry == nullptr)
        {
            return false;
        }
        m_counts.m_joined +=
            stream.m_tries > 0 && entry->m_version != stream.m_version ? 1 : 0;
        stream.m_version = entry->m_version;
        stream.m_upstream = entry->m_id;
        stream.m_host = host;
        stream.m_ends = m_now + milliseconds{500 + below(4000)};
        stream.m_waits = false;
        known_origin origin;
        origin.m_version = entry->m_version;
        origin.m_began_at = m_now;
        origin.m_began_here = true;
        origin.m_pool = sample_pool;
        fleet_host& relay = m_hosts[host];
        const stream_key key = key_of_stream(attempt_id{stream.m_first_attempt});
        record_origin(relay.m_origins, key, origin);
        if (has_several_versions(relay.m_origins, sample_pool))
        {
            tell_holders(relay, key, origin);
        }
        return true;
    }

    void begin_streams()
    {
        if (!happens(300))
        {
            return;
        }
        fleet_stream stream;
        stream.m_first_attempt = "a" + std::to_string(m_next_attempt++);
        const auto host = any_host();
        const bool begun = host && run_at(stream, *host, std::nullopt);
        (begun ? m_counts.m_begun : m_counts.m_not_begun) += 1;
        if (begun)
        {
            m_streams.push_back(std::move(stream));
        }
    }

    void break_streams()
    {
        for (fleet_stream& stream : m_streams)
        {
            const bool breaks = !is_up(stream.m_host) ||
                                find_upstream(stream.m_upstream) == nullptr ||
                                happens(10);
            if (!stream.m_waits && breaks)
            {
                stream.m_waits = true;
                stream.m_returns_at = m_now + 100ms;
            }
        }
        std::erase_if(m_streams,
                      [this](const fleet_stream& stream)
                      {
                          constexpr int max_tries = 4;
                          return stream.m_tries > max_tries ||
                                 (!stream.m_waits && stream.m_ends <= m_now);
                      });
    }

    void take_up_streams()
    {
        for (fleet_stream& stream : m_streams)
        {
            if (!stream.m_waits || stream.m_returns_at > m_now)
            {
                continue;
            }
            const auto host = any_host();
            ++stream.m_tries;
            stream.m_returns_at = m_now + 300ms;
            if (!host)
            {
                continue;
            }
            const auto serving =
                std::count_if(m_upstreams.begin(), m_upstreams.end(),
                              [&stream](const upstream_entry& entry)
                              {
                                  return entry.m_version == stream.m_version;
                              });
            const bool counts = serving >= 2;
            const bool went_on = take_up(stream, *host);
            m_counts.m_taken_up += counts ? 1 : 0;
            m_counts.m_went_on += counts && went_on ? 1 : 0;
        }
    }

    bool take_up(fleet_stream& stream, std::size_t host)
    {
        const stream_key key = key_of_stream(attempt_id{stream.m_first_attempt});
        fleet_host& asking = m_hosts[host];
        std::vector<origin_reply> replies;
        for (const node_address& holder : origin_hosts(asking.m_hosts, key, m_now))
        {
            deliver(
                holder,
                [&](const fleet_host& asked)
                {
                    replies.push_back(answer_origin_request(
                        asked.m_origins, {1, key.m_value, sample_pool.m_value}, m_now));
                });
        }
        const auto decision =
            decide_origin(asking.m_origins, key, sample_pool, replies, m_now);
        return decision.m_version && run_at(stream, host, decision.m_version);
    }

    time_point m_now = start;
    random_source m_random;
    std::vector<fleet_host> m_hosts;
    std::vector<upstream_entry> m_upstreams;
    std::map<time_point, std::vector<upstream_entry>> m_registry;
    std::vector<fleet_stream> m_streams;
    fleet_counts m_counts;
    std::uint32_t m_sequence = 0;
    std::size_t m_next_upstream = 0;
    std::size_t m_next_attempt = 0;
    std::size_t m_version = 1;
};

} // namespace

TestSuite(stream_origins, .timeout = 120);

// Guards against streams that are joined of two versions, or cannot be taken up, while
// hosts are killed and versions replaced.
Test(stream_origins, streams_of_random_fleets_stay_with_the_version_that_began_them)
{
    fleet_counts all;
    constexpr std::uint32_t seeds = 200;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        const fleet_counts counts = fleet{seed}.run();
        cr_expect(counts.m_joined == 0, "seed %u: %d streams joined", seed,
                  counts.m_joined);
        all.m_begun += counts.m_begun;
        all.m_not_begun += counts.m_not_begun;
        all.m_taken_up += counts.m_taken_up;
        all.m_went_on += counts.m_went_on;
    }
    const double begun =
        static_cast<double>(all.m_begun) / (all.m_begun + all.m_not_begun);
    const double went_on = static_cast<double>(all.m_went_on) / all.m_taken_up;
    cr_log_info("new streams begun %.3f of %d, streams taken up %.3f of %d", begun,
                all.m_begun + all.m_not_begun, went_on, all.m_taken_up);
    cr_expect(went_on >= begun / 2, "%.3f of %.3f", went_on, begun);
}

Test(stream_origins, the_version_is_known_from_records_or_because_there_is_no_other)
{
    stream_origins origins;
    const stream_key stream = key_of_stream(attempt_id{"a"});
    const auto decide = [&](time_point at, const std::vector<origin_reply>& replies = {})
    {
        return decide_origin(origins, stream, sample_pool, replies, at);
    };
    // Without any entry of the registry.
    cr_expect(decide(start).m_source == origin_source::unknown);
    // One version, seen for a short time by this host, and for a long one by another.
    const auto one = table_of({entry_of("u1", "v1")});
    observe_versions(origins, one, start);
    cr_expect(decide(start).m_source == origin_source::only_listed);
    EXPECT_EQUAL(decide(start).m_version->m_value, "v1");
    cr_expect(decide(start, {reply_of(origin_finding::only_version, "v1")}).m_source ==
              origin_source::only_version);
    cr_expect(
        not decide(start, {reply_of(origin_finding::only_version, "v2")}).m_version);
    cr_expect(
        not decide(start, {reply_of(origin_finding::several_versions, "")}).m_version);
    observe_versions(origins, one, start + min_stream_lifetime);
    cr_expect(decide(start + min_stream_lifetime).m_source ==
              origin_source::only_version);
    // A second version: only a record tells.
    const auto two = table_of({entry_of("u1", "v1"), entry_of("u2", "v2")});
    const time_point later = start + 2 * min_stream_lifetime;
    observe_versions(origins, one, later);
    EXPECT_EQUAL(observe_versions(origins, two, later).size(), 1U);
    EXPECT_EQUAL(observe_versions(origins, two, later).size(), 0U);
    cr_expect(not decide(later).m_version);
    cr_expect(
        not decide(later, {reply_of(origin_finding::only_version, "v1")}).m_version);
    EXPECT_EQUAL(
        decide(later, {reply_of(origin_finding::recorded, "v2")}).m_version->m_value,
        "v2");
    known_origin origin;
    origin.m_version.m_value = "v2";
    origin.m_began_at = later;
    record_origin(origins, stream, origin);
    cr_expect(decide(later).m_source == origin_source::own_record);
    // The first version leaves. It may have begun streams for some time.
    const auto last = table_of({entry_of("u2", "v2")});
    observe_versions(origins, last, later + min_stream_lifetime);
    cr_expect(has_several_versions(origins, sample_pool));
    observe_versions(origins, last, later + min_stream_lifetime + 1s);
    cr_expect(not has_several_versions(origins, sample_pool));
    // By then, the stream has been forgotten.
    cr_expect(origins.m_streams.empty());
}

Test(stream_origins, holders_are_in_different_data_centres)
{
    host_table table;
    for (std::size_t host = 0; host < 9; ++host)
    {
        apply_report(table, report_of(host, 1), start);
    }
    for (std::uint64_t stream = 0; stream < 50; ++stream)
    {
        const auto hosts = origin_hosts(table, stream_key{stream}, start);
        EXPECT_EQUAL(hosts.size(), origin_holders);
        std::vector<std::size_t> zones;
        for (std::size_t host = 0; host < 9; ++host)
        {
            if (std::find(hosts.begin(), hosts.end(), address_of(host)) != hosts.end())
            {
                zones.push_back(host % 3);
            }
        }
        std::sort(zones.begin(), zones.end());
        const std::vector<std::size_t> each_zone{0, 1, 2};
        cr_expect(zones == each_zone);
    }
    cr_expect(origin_hosts(table, stream_key{1}, start + 10s).empty());
}

Test(stream_origins, a_host_keeps_a_bounded_number_of_streams)
{
    stream_origins origins;
    for (std::uint64_t stream = 0; stream <= max_stream_origins; ++stream)
    {
        known_origin origin;
        origin.m_began_at = start + milliseconds{static_cast<std::int64_t>(stream)};
        record_origin(origins, stream_key{stream}, origin);
    }
    EXPECT_EQUAL(origins.m_streams.size(), max_stream_origins);
    cr_expect(not origins.m_streams.contains(stream_key{0}));
}

// Guards against streams of long routes that nobody knows any more, or that go on at the
// version that has replaced theirs.
Test(stream_origins, origins_are_kept_as_long_as_the_longest_route_lets_streams_last)
{
    stream_origins origins;
    routing_config config;
    config.m_routes.resize(2);
    config.m_routes[0].m_timeout = 20s;
    config.m_routes[1].m_timeout = 120s;
    extend_lifetime(origins, config);
    observe_versions(origins, table_of({entry_of("u1", "v1")}), start);
    const stream_key stream = key_of_stream(attempt_id{"a"});
    known_origin origin;
    origin.m_version.m_value = "v1";
    origin.m_began_at = start;
    record_origin(origins, stream, origin);
    // The version leaves for another one.
    const auto later = table_of({entry_of("u2", "v2")});
    observe_versions(origins, later, start + 1s);
    const time_point late = start + 120s;
    observe_versions(origins, later, late);
    EXPECT_EQUAL(decide_origin(origins, stream, sample_pool, {}, late).m_version->m_value,
                 "v1");
    // A stream without a record may have begun at either.
    const stream_key other = key_of_stream(attempt_id{"b"});
    cr_expect(not decide_origin(origins, other, sample_pool, {}, late).m_version);
    // A configuration with shorter routes does not shorten what has begun.
    config.m_routes[1].m_timeout = 5s;
    extend_lifetime(origins, config);
    cr_expect(origins.m_lifetime == 120s + take_up_margin);
}
