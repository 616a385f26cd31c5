#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/stored_origins.hpp>
#include <geraniumdoor/serving/stream_origins.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace geraniumdoor::test
{

using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

inline const time_point start = time_point{} + 1000s;
inline const pool_id sample_pool{"engines"};
inline constexpr milliseconds step{50};

inline upstream_entry entry_of(const std::string& id, const std::string& version)
{
    upstream_entry entry;
    entry.m_id.m_value = id;
    entry.m_pool = sample_pool;
    entry.m_version.m_value = version;
    return entry;
}

inline upstream_table table_of(const std::vector<upstream_entry>& entries)
{
    upstream_table table;
    for (const upstream_entry& entry : entries)
    {
        apply_entry(table, entry, start);
    }
    return table;
}

/// Lets a host observe the registry at a moment, with a view that has had no gap since it
/// last did.
inline std::vector<pool_id> observe(stream_origins& origins, table_view& view,
                                    const upstream_table& upstreams, time_point now)
{
    while (view.m_as_of && *view.m_as_of < now)
    {
        confirm_view(view, std::min(now, *view.m_as_of + 1s));
    }
    confirm_view(view, now);
    return observe_versions(origins, upstreams, now);
}

/// Address that stands for a host.
inline node_address address_of(std::size_t host)
{
    return {"10.0.0." + std::to_string(host), 1};
}

inline host_report report_of(std::size_t host, std::uint64_t run)
{
    host_report report;
    report.m_node.m_value = "h" + std::to_string(host);
    report.m_incarnation.m_value = run;
    report.m_data_centre.m_value = "z" + std::to_string(host % 3);
    report.m_peer = address_of(host);
    report.m_interval_ms = 200;
    return report;
}

struct fleet_host
{
    std::uint64_t m_run = 1;
    stream_origins m_origins;
    host_table m_hosts;
    /// The registry as the host sees it, and when it was so.
    upstream_table m_upstreams;
    time_point m_seen_at{};
    table_view m_view;
    /// The host is down until then.
    time_point m_down_until{};
    /// Delay of its view of the registry.
    milliseconds m_lag{0};
    /// Until then neither messages nor the store reach the host, though callers do.
    time_point m_cut_until{};
    /// Until then the host stands still.
    time_point m_frozen_until{};
    /// What it knows of the store's rows, as long as it is current.
    std::map<pool_id, stored_versions> m_stored;
    bool m_stored_is_current = false;
    time_point m_view_began_at{};
    time_point m_last_stream_write{};
};

/// Rows that outlive the hosts.
struct fleet_store
{
    std::map<pool_id, stored_versions> m_versions;
    std::vector<stream_version> m_streams;
    std::uint64_t m_row = 0;
    time_point m_away_until{};
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
    int m_power_losses = 0;
    /// Transactions of the store.
    int m_version_writes = 0;
    int m_stream_writes = 0;
};

enum class fleet_fate : std::uint8_t
{
    /// Hosts are killed one at a time.
    single_kills,
    /// At times all hosts lose power and start again at different moments, now and then
    /// while the store is away. Meanwhile the upstreams of earlier versions may leave.
    power_losses,
    /// Hosts are cut off from the store and from other hosts, or stand still, for longer
    /// than a release takes. It comes when streams of no other version are left.
    cut_offs,
};

/// Hosts whose messages are lost now and then and whose views of the registry lag, with
/// upstreams that are replaced by ones of the next version, and callers who return at any
/// host.
class fleet
{
public:
    explicit fleet(std::uint32_t seed, fleet_fate fate = fleet_fate::single_kills)
        : m_random{seed}, m_fate{fate}, m_hosts(below(6) + 3)
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
        const time_point end = start + (m_fate == fleet_fate::cut_offs ? 110s : 75s);
        for (m_now = start; m_now < end; m_now += step)
        {
            exchange_reports();
            change_upstreams();
            if (m_fate != fleet_fate::single_kills)
            {
                use_store();
            }
            if (m_fate == fleet_fate::power_losses)
            {
                lose_power();
            }
            if (m_fate == fleet_fate::cut_offs)
            {
                cut_off_hosts();
            }
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
        return m_hosts[host].m_down_until <= m_now &&
               m_hosts[host].m_frozen_until <= m_now;
    }

    bool is_connected(std::size_t host) const
    {
        return is_up(host) && m_hosts[host].m_cut_until <= m_now;
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
    void deliver(std::size_t from, const node_address& to, Apply apply)
    {
        constexpr std::uint32_t lost_per_thousand = 30;
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (address_of(host) == to && is_connected(host) && is_connected(from) &&
                !happens(lost_per_thousand))
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
                if (from == to || !is_connected(from) || !is_connected(to))
                {
                    continue;
                }
                host_report report = report_of(from, m_hosts[from].m_run);
                report.m_store_access = access_of(from);
                report.m_sequence = ++m_sequence;
                apply_report(m_hosts[to].m_hosts, report, m_now);
            }
        }
    }

    void change_upstreams()
    {
        // A release replaces the upstreams one after the other.
        constexpr std::size_t versions = 3;
        const bool is_late = m_fate == fleet_fate::cut_offs;
        const bool releases =
            is_late ? (m_now - start) % 50s > 42s : (m_now - start) % 30s > 10s;
        if (releases && happens(60) && m_version < versions)
        {
            replace_upstream();
        }
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (is_up(host))
            {
                observe(host);
            }
        }
    }

    void observe(std::size_t at)
    {
        fleet_host& host = m_hosts[at];
        const auto next = m_registry.upper_bound(m_now - host.m_lag);
        const auto seen = next == m_registry.begin() ? next : std::prev(next);
        if (is_connected(at))
        {
            confirm_view(host.m_view, m_now - host.m_lag);
        }
        if (host.m_seen_at != seen->first && is_connected(at))
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
                tell_holders(at, stream, origin);
            }
        }
    }

    void tell_holders(std::size_t from, stream_key stream, known_origin origin)
    {
        origin.m_began_here = false;
        const auto holders = origin_hosts(m_hosts[from].m_hosts, stream, m_now);
        for (const node_address& holder : holders)
        {
            deliver(from, holder,
                    [&](fleet_host& host)
                    {
                        record_origin(host.m_origins, stream, origin);
                    });
        }
    }

    /// Three hosts read the store.
    store_access access_of(std::size_t host) const
    {
        constexpr std::size_t readers = 3;
        std::size_t rank = 0;
        for (std::size_t other = 0; other < host; ++other)
        {
            rank += is_connected(other) ? 1 : 0;
        }
        return m_fate != fleet_fate::single_kills && rank < readers && is_connected(host)
                   ? store_access::reading
                   : store_access::unused;
    }

    void use_store()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (is_connected(host) && m_store.m_away_until <= m_now)
            {
                use_store(host);
            }
        }
    }

    /// Reads and writes as a host does.
    void use_store(std::size_t at)
    {
        fleet_host& host = m_hosts[at];
        stream_origins& origins = host.m_origins;
        host_report own = report_of(at, host.m_run);
        own.m_store_access = access_of(at);
        const bool writes = writes_stored_origins(host.m_hosts, own, m_now);
        const bool reads = own.m_store_access == store_access::reading &&
                           !is_complete(origins, host.m_view);
        if (host.m_view_began_at != host.m_view.m_continuous_since)
        {
            host.m_view_began_at = host.m_view.m_continuous_since;
            host.m_stored_is_current = false;
        }
        if (!host.m_stored_is_current && (writes || reads))
        {
            for (const stream_version& stream : m_store.m_streams)
            {
                apply_stored_stream(origins, stream, m_now);
            }
            host.m_stored = m_store.m_versions;
            for (auto& [pool, row] : host.m_stored)
            {
                row.m_known_since = m_now;
            }
            apply_stored_versions(origins, host.m_stored, m_now);
        }
        host.m_stored_is_current = writes;
        if (!writes)
        {
            return;
        }
        const stored_versions known = host.m_stored[sample_pool];
        const auto wanted = versions_to_store(origins, sample_pool, known);
        if (wanted != known.m_versions)
        {
            stored_versions& row = m_store.m_versions[sample_pool];
            if (row.m_row == known.m_row)
            {
                row = {wanted, store_version{++m_store.m_row}, m_now};
                ++m_counts.m_version_writes;
            }
            host.m_stored_is_current = false;
        }
        if (has_several_versions(origins) && m_now - host.m_last_stream_write >= 500ms)
        {
            constexpr std::size_t max_streams = 256;
            const auto streams = unsaved_streams(origins, max_streams);
            m_store.m_streams.insert(m_store.m_streams.end(), streams.begin(),
                                     streams.end());
            mark_saved(origins, streams);
            host.m_last_stream_write = m_now;
            m_counts.m_stream_writes += streams.empty() ? 0 : 1;
        }
    }

    void lose_power()
    {
        if (!happens(3))
        {
            return;
        }
        ++m_counts.m_power_losses;
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            kill_host(host, milliseconds{500 + below(2500)});
        }
        if (happens(200))
        {
            m_store.m_away_until = m_now + milliseconds{below(5000)};
        }
        if (happens(500))
        {
            replace_earlier_versions();
        }
    }

    /// Only the newest version is left.
    void replace_earlier_versions()
    {
        const std::size_t newest =
            std::stoul(m_upstreams.back().m_version.m_value.substr(1));
        const std::size_t count = m_upstreams.size();
        m_upstreams.clear();
        m_version = newest;
        while (m_upstreams.size() < count)
        {
            add_upstream(newest);
        }
    }

    /// Before a release, and now and then.
    void cut_off_hosts()
    {
        const bool release_is_near = (m_now - start) % 50s == 41s;
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (!happens(release_is_near ? 400 : 2))
            {
                continue;
            }
            const time_point until = m_now + milliseconds{3000 + below(10000)};
            auto& end =
                happens(700) ? m_hosts[host].m_cut_until : m_hosts[host].m_frozen_until;
            end = until;
        }
    }

    void kill_hosts()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            if (is_up(host) && happens(1))
            {
                kill_host(host, 2s);
            }
        }
    }

    void kill_host(std::size_t host, duration length)
    {
        fleet_host& killed = m_hosts[host];
        const std::uint64_t run = killed.m_run + 1;
        const milliseconds lag = killed.m_lag;
        killed = fleet_host{};
        killed.m_run = run;
        killed.m_lag = lag;
        killed.m_down_until = m_now + length;
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
        const upstream_entry* entry = nullptr;
        // Load decides among the upstreams, which the simulation leaves to chance.
        std::vector<upstream_id> tried;
        for (const auto& [id, row] : m_hosts[host].m_upstreams.m_rows)
        {
            if (happens(500))
            {
                tried.push_back(id);
            }
        }
        constexpr int max_attempts = 4;
        for (int attempt = 0; attempt < max_attempts && entry == nullptr; ++attempt)
        {
            const upstream* chosen =
                choose_upstream(m_hosts[host].m_upstreams, sample_pool, data_centre_id{},
                                tried, m_now, version);
            if (chosen == nullptr)
            {
                tried.clear();
                continue;
            }
            tried.push_back(chosen->m_entry.m_id);
            entry = find_upstream(tried.back());
        }
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
        tell_holders(host, key, origin);
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
            stream.m_returns_at = m_now + 300ms;
            if (!host)
            {
                continue;
            }
            ++stream.m_tries;
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
        origin_answers answers;
        answers.m_asked_at = m_now;
        for (const node_address& holder : origin_hosts(asking.m_hosts, key, m_now))
        {
            ++answers.m_asked;
            deliver(host, holder,
                    [&](const fleet_host& other)
                    {
                        answers.m_replies.push_back(answer_origin_request(
                            other.m_origins, other.m_view,
                            {1, key.m_value, sample_pool.m_value}, m_now));
                    });
        }
        const auto decision = decide_origin(asking.m_origins, asking.m_view, key,
                                            sample_pool, answers, m_now);
        return decision.m_version && run_at(stream, host, decision.m_version);
    }

    time_point m_now = start;
    random_source m_random;
    fleet_fate m_fate;
    std::vector<fleet_host> m_hosts;
    fleet_store m_store;
    std::vector<upstream_entry> m_upstreams;
    std::map<time_point, std::vector<upstream_entry>> m_registry;
    std::vector<fleet_stream> m_streams;
    fleet_counts m_counts;
    std::uint32_t m_sequence = 0;
    std::size_t m_next_upstream = 0;
    std::size_t m_next_attempt = 0;
    std::size_t m_version = 1;
};

} // namespace geraniumdoor::test
