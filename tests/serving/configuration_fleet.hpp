#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/row_pulls.hpp>
#include <geraniumdoor/serving/store_readers.hpp>
#include <geraniumdoor/serving/table_copy.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace geraniumdoor::test
{

using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

/// Troubles of a fleet beside the usual ones.
struct fleet_troubles
{
    /// Number of hosts; five to nine if zero.
    std::size_t m_hosts = 0;
    /// Any number of hosts, but not all, are cut off from the store at once.
    bool m_wide_cuts = false;
    /// The reads of hosts in some of these cuts are refused rather than lost.
    bool m_refusals = false;
};

/// Hosts that follow the operator's table of a store, through three of them that read it.
/// Hosts are killed, stand still and are cut off from the store or, in one direction,
/// from each other; the store is away, or comes back from an older copy.
class configuration_fleet
{
public:
    explicit configuration_fleet(std::uint32_t seed, fleet_troubles troubles = {})
        : m_random{seed}
        , m_troubles{troubles}
        , m_hosts(troubles.m_hosts > 0 ? troubles.m_hosts : 5 + below(5))
    {
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            m_hosts[at].m_weight = -1 / std::log((below(1'000'000) + 0.5) / 1'000'000);
            start_host(at);
        }
        write_configuration();
        m_copies.push_back({m_now, m_row, m_transaction});
    }

    /// A host whose configuration was too old, and by how much.
    struct finding
    {
        std::size_t m_host = 0;
        std::uint64_t m_held = 0;
        std::uint64_t m_wanted = 0;
        milliseconds m_at{0};
    };

    /// Runs for a time. Returns the first host in touch that did not have a change in
    /// time.
    std::optional<finding> run_for(seconds length)
    {
        for (const time_point end = m_now + length; m_now < end; m_now += step)
        {
            change_configuration();
            cause_trouble();
            for (std::size_t at = 0; at < m_hosts.size(); ++at)
            {
                if (is_active(at))
                {
                    run_host(at);
                }
            }
            if (const auto late = find_late_host())
            {
                return late;
            }
        }
        return std::nullopt;
    }

    int m_checks = 0;

private:
    static constexpr milliseconds step{10};
    static constexpr time_point start{1000s};
    /// The platform's configApplyMs and contactMs.
    static constexpr milliseconds configuration_time{2000};
    static constexpr milliseconds contact_time{3000};
    static constexpr milliseconds poll_wait{500};
    inline static const std::string key{"config"};

    struct message
    {
        time_point m_arrives{};
        std::function<void()> m_apply;
    };

    struct read
    {
        time_point m_began{};
        time_point m_ends{};
        time_point m_overdue_at{};
        bool m_is_lost = false;
        bool m_is_whole = false;
    };

    struct host
    {
        double m_weight = 0;
        std::uint64_t m_start = 0;
        time_point m_down_until{};
        time_point m_frozen_until{};
        time_point m_cut_until{};
        /// Reads are refused at once while the host is cut off.
        bool m_is_refused = false;
        /// When the host was last in trouble.
        time_point m_trouble{};
        table_copy m_copy;
        table_view m_view;
        time_point m_last_own_read{};
        std::uint64_t m_in_force = 0;
        std::uint64_t m_changes = 0;
        row_pulls m_pulls;
        host_table m_table;
        store_read_history m_history;
        store_access m_access = store_access::unused;
        bool m_is_being_read = false;
        std::optional<read> m_read;
        time_point m_next_read{};
        time_point m_next_report{};
        time_point m_started{};
        std::uint32_t m_sequence = 0;
        std::deque<message> m_inbox;
        /// Connections that break, and when.
        std::vector<std::pair<time_point, node_id>> m_losses;
    };

    struct stored
    {
        time_point m_at{};
        std::pair<std::uint64_t, std::uint64_t> m_row;
        std::uint64_t m_transaction = 0;
    };

    static bool is_newer(std::string_view, std::string_view known,
                         std::string_view read_value)
    {
        return std::stoull(std::string{read_value}) > std::stoull(std::string{known});
    }

    static copy_rules rules()
    {
        return {false, 5000ms, &is_newer};
    }

    std::uint32_t below(std::uint32_t bound)
    {
        return uniform_below(m_random, bound);
    }

    /// Whether something happens in this step that happens so often in an hour.
    bool happens(std::uint32_t per_hour)
    {
        return below(360'000) < per_hour;
    }

    milliseconds between(std::uint32_t least, std::uint32_t most)
    {
        return milliseconds{least + below(most - least)};
    }

    bool is_active(std::size_t at) const
    {
        return m_hosts[at].m_down_until <= m_now && m_hosts[at].m_frozen_until <= m_now;
    }

    bool reaches(std::size_t from, std::size_t to) const
    {
        const auto cut = m_cuts.find({from, to});
        return cut == m_cuts.end() || cut->second <= m_now;
    }

    void start_host(std::size_t at)
    {
        host& own = m_hosts[at];
        const double weight = own.m_weight;
        const time_point down_until = own.m_down_until;
        own = host{};
        own.m_weight = weight;
        own.m_down_until = down_until;
        own.m_start = ++m_starts;
        own.m_started = std::max(m_now, down_until);
        own.m_trouble = own.m_started;
        own.m_next_report = own.m_started;
    }

    void write_configuration()
    {
        m_row = {m_newest, ++m_transaction};
    }

    void change_configuration()
    {
        if (m_now < m_store_away_until)
        {
            return;
        }
        if (m_rewrite_at && m_now >= *m_rewrite_at)
        {
            // The operator writes again what the store has lost.
            m_rewrite_at.reset();
            write_configuration();
        }
        if (!m_rewrite_at && m_now >= m_next_change)
        {
            m_next_change = m_now + between(300, 4000);
            m_newest += 1 + below(3);
            write_configuration();
            m_acknowledged.emplace_back(m_now, m_newest);
        }
        if (m_now - m_copies.back().m_at >= 500ms)
        {
            m_copies.push_back({m_now, m_row, m_transaction});
        }
    }

    void cause_trouble()
    {
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            host& own = m_hosts[at];
            if (happens(40))
            {
                own.m_frozen_until = m_now + between(500, 5000);
            }
            if (happens(40))
            {
                own.m_down_until = m_now + between(300, 1500);
                start_host(at);
            }
            if (happens(40))
            {
                own.m_cut_until = m_now + between(1000, 7000);
                own.m_is_refused = false;
            }
            for (std::size_t other = 0; other < m_hosts.size(); ++other)
            {
                if (happens(10))
                {
                    m_cuts[{at, other}] = m_now + between(1000, 7000);
                }
            }
        }
        if (happens(60))
        {
            const time_point until = m_now + between(1000, 7000);
            for (host& own : m_hosts)
            {
                const bool is_reader = own.m_access == store_access::reading;
                own.m_cut_until = is_reader ? until : own.m_cut_until;
            }
        }
        if (m_troubles.m_wide_cuts && happens(200))
        {
            cut_off_any_number();
        }
        if (happens(60))
        {
            m_store_away_until = m_now + between(500, 3000);
            m_store_is_silent = below(2) == 0;
        }
        if (happens(30))
        {
            go_back();
        }
    }

    void cut_off_any_number()
    {
        const time_point until = m_now + between(1000, 7000);
        const bool is_refused = m_troubles.m_refusals && below(2) == 0;
        std::vector<std::size_t> order(m_hosts.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        for (std::size_t at = order.size() - 1; at > 0; --at)
        {
            std::swap(order[at], order[below(static_cast<std::uint32_t>(at + 1))]);
        }
        order.resize(1 + below(static_cast<std::uint32_t>(order.size() - 1)));
        for (const std::size_t at : order)
        {
            m_hosts[at].m_cut_until = until;
            m_hosts[at].m_is_refused = is_refused;
        }
    }

    void go_back()
    {
        const std::size_t age = std::min<std::size_t>(m_copies.size(), 4 + below(15));
        const stored copy = m_copies[m_copies.size() - age];
        m_copies.resize(m_copies.size() - age + 1);
        m_row = copy.m_row;
        m_transaction = copy.m_transaction;
        ++m_era;
        m_store_away_until = m_now + between(500, 2500);
        m_rewrite_at = m_store_away_until + between(100, 2500);
    }

    bool store_answers(std::size_t at) const
    {
        return m_now >= m_store_away_until && m_hosts[at].m_cut_until <= m_now;
    }

    host_report report_of(std::size_t at)
    {
        host& own = m_hosts[at];
        host_report report;
        report.m_node.m_value = std::to_string(at);
        report.m_incarnation.m_value = own.m_start;
        report.m_sequence = ++own.m_sequence;
        report.m_changes = own.m_changes;
        report.m_interval_ms = 200;
        report.m_store_access = own.m_access;
        report.m_sent_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count());
        report.m_operator_age_ms = age_ms(own.m_view, m_now);
        report.m_processor = 1;
        return report;
    }

    void post(std::size_t from, std::size_t to, std::function<void()> apply)
    {
        if (reaches(from, to) && m_hosts[to].m_down_until <= m_now)
        {
            m_hosts[to].m_inbox.push_back({m_now + 10ms, std::move(apply)});
        }
    }

    void send_reports(std::size_t at)
    {
        m_hosts[at].m_next_report = m_now + 200ms + milliseconds{below(3) * 10};
        const host_report report = report_of(at);
        for (std::size_t to = 0; to < m_hosts.size(); ++to)
        {
            if (to != at && below(30) > 0)
            {
                post(at, to,
                     [this, to, at, report]
                     {
                         on_report(to, at, report);
                     });
            }
        }
    }

    bool has_data(std::size_t at) const
    {
        return m_hosts[at].m_copy.m_version != store_version{};
    }

    void on_report(std::size_t at, std::size_t from, const host_report& report)
    {
        host& own = m_hosts[at];
        apply_report(own.m_table, report, m_now);
        peer_host& sender = own.m_table.m_hosts.at(report.m_node);
        sender.m_reader_weight = m_hosts[from].m_weight;
        confirm(at, sender);
        if (!begin_pull(own.m_pulls, report, has_data(at), false, m_now))
        {
            return;
        }
        const store_version version = own.m_copy.m_version;
        const std::uint64_t started = own.m_start;
        if (!reaches(at, from) || m_hosts[from].m_down_until > m_now)
        {
            // The connection breaks when what was sent is not acknowledged.
            own.m_losses.emplace_back(m_now + 1000ms, report.m_node);
        }
        post(at, from,
             [this, at, from, version, started]
             {
                 push_to(at, from, version, started);
             });
    }

    /// Notes how current the copy of a host is, as a host does.
    void confirm(std::size_t at, const peer_host& sender)
    {
        host& own = m_hosts[at];
        const host_report& report = sender.m_report;
        const auto told = view_of_age(report.m_operator_age_ms, sender.m_reported_at);
        if (report.m_store_access == store_access::reading && has_data(at) &&
            has_all_changes(own.m_pulls, report) && told.m_as_of)
        {
            confirm_view(own.m_view, *told.m_as_of);
        }
    }

    void push_to(std::size_t to, std::size_t from, store_version after,
                 std::uint64_t started)
    {
        host& own = m_hosts[from];
        std::optional<row_change> change;
        const auto row = own.m_copy.m_rows.find(key);
        if (row != own.m_copy.m_rows.end() && row->second.m_changed_version > after)
        {
            change = row_change{key, row->second.m_value, row->second.m_version};
        }
        post(from, to,
             [this, to, from, started, change, version = own.m_copy.m_version,
              changes = own.m_changes, of = own.m_start]
             {
                 if (m_hosts[to].m_start == started)
                 {
                     on_push(to, from, change, version, changes, of);
                 }
             });
    }

    void on_push(std::size_t at, std::size_t from,
                 const std::optional<row_change>& change, store_version version,
                 std::uint64_t changes, std::uint64_t of)
    {
        host& own = m_hosts[at];
        const node_id peer{std::to_string(from)};
        end_pull(own.m_pulls, peer, m_now);
        record_push(own.m_pulls, peer, incarnation{of}, changes);
        const std::uint64_t before = own.m_changes;
        if (change)
        {
            own.m_copy.m_held_rows.erase(key);
            take(at, *change);
        }
        own.m_changes += !has_data(at) && version != store_version{} ? 1 : 0;
        record_pushed_version(own.m_copy, version, m_now);
        if (own.m_changes != before && own.m_access == store_access::reading)
        {
            send_reports(at);
        }
    }

    /// Applies a row as a host does.
    void take(std::size_t at, const row_change& change)
    {
        host& own = m_hosts[at];
        const bool is_new = !own.m_copy.m_rows.contains(key);
        const row_effect effect = apply_row(own.m_copy, change);
        if (effect == row_effect::none || effect == row_effect::confirmed)
        {
            return;
        }
        cached_row& cached = own.m_copy.m_rows[key];
        cached.m_change_number = ++own.m_changes;
        cached.m_changed_version = std::max(change.m_version, own.m_copy.m_version);
        if (effect == row_effect::changed || is_new)
        {
            own.m_in_force =
                std::max<std::uint64_t>(own.m_in_force, std::stoull(cached.m_value));
        }
    }

    void run_host(std::size_t at)
    {
        host& own = m_hosts[at];
        while (!own.m_inbox.empty() && own.m_inbox.front().m_arrives <= m_now)
        {
            const message next = std::move(own.m_inbox.front());
            own.m_inbox.pop_front();
            next.m_apply();
        }
        for (const auto& [when, peer] : own.m_losses)
        {
            if (when <= m_now)
            {
                lose_pull(own.m_pulls, peer, m_now);
            }
        }
        std::erase_if(own.m_losses,
                      [this](const auto& loss)
                      {
                          return loss.first <= m_now;
                      });
        expire_pull(own.m_pulls, m_now);
        for (const row_change& due : take_due_changes(own.m_copy, m_now))
        {
            take(at, due);
        }
        read_store(at);
        end_outage(own.m_history, own.m_table);
        const bool overdue = own.m_read && m_now >= own.m_read->m_overdue_at;
        const store_access access =
            access_to_store(own.m_history, own.m_is_being_read, overdue, m_now);
        if (std::exchange(own.m_access, access) != access || m_now >= own.m_next_report)
        {
            send_reports(at);
        }
    }

    bool reads(std::size_t at)
    {
        const host& own = m_hosts[at];
        const duration since = m_now - own.m_started;
        if (!has_data(at) && since < 60ms)
        {
            return false;
        }
        std::vector<reader_candidate> others;
        for (const auto& [id, other] : own.m_table.m_hosts)
        {
            if (is_live(other, m_now) && answers_pulls(own.m_pulls, id, m_now))
            {
                others.push_back({other.m_reader_weight, other.m_report.m_store_access});
            }
        }
        const bool is_late = !has_data(at) && since > startup_peer_timeout;
        return is_late || is_store_reader({own.m_weight, own.m_access}, others);
    }

    void read_store(std::size_t at)
    {
        host& own = m_hosts[at];
        if (!own.m_read)
        {
            const bool is_reader = reads(at);
            own.m_is_being_read = own.m_is_being_read && is_reader;
            if (m_now < own.m_next_read)
            {
                return;
            }
            const node_id node{std::to_string(at)};
            if (!is_reader && has_data(at) &&
                reads_for_itself(own.m_view, node, own.m_last_own_read, m_now))
            {
                own.m_last_own_read = m_now;
                begin_read(at);
            }
            else if (is_reader)
            {
                begin_read(at);
            }
            return;
        }
        // The response to a long poll comes with a change.
        read& reading = *own.m_read;
        const bool is_reached = !reading.m_is_lost && store_answers(at);
        const bool is_cut = own.m_cut_until > m_now;
        reading.m_is_lost = reading.m_is_lost || (is_cut && !own.m_is_refused) ||
                            (m_store_is_silent && m_now < m_store_away_until);
        const bool has_change = store_version_of_row() > own.m_copy.m_version ||
                                own.m_copy.m_version > newest_version();
        const bool is_answered = is_reached && m_now >= reading.m_began + 10ms &&
                                 (has_change || reading.m_is_whole ||
                                  m_now >= reading.m_overdue_at - usual_store_response);
        const bool is_refused = !reading.m_is_lost && (m_now < m_store_away_until ||
                                                       (is_cut && own.m_is_refused));
        if (is_answered)
        {
            end_read(at, true);
        }
        else if (is_refused || m_now >= reading.m_ends)
        {
            end_read(at, false);
        }
    }

    store_version newest_version() const
    {
        return make_store_version(store_era{m_era}, m_transaction);
    }

    store_version store_version_of_row() const
    {
        return make_store_version(store_era{m_era}, m_row.second);
    }

    void begin_read(std::size_t at)
    {
        host& own = m_hosts[at];
        const milliseconds wait = own.m_is_being_read ? poll_wait : milliseconds{0};
        const bool is_whole =
            needs_whole_read(own.m_copy) || era_of(own.m_copy.m_version).m_value != m_era;
        own.m_read = read{m_now, m_now + wait + store_call_timeout,
                          m_now + wait + usual_store_response, false, is_whole};
    }

    void end_read(std::size_t at, bool succeeded)
    {
        host& own = m_hosts[at];
        const read ended = *std::exchange(own.m_read, std::nullopt);
        record_store_read(own.m_history, succeeded, ended.m_began, m_now);
        own.m_is_being_read = succeeded;
        own.m_next_read =
            m_now + (succeeded ? milliseconds{20}
                               : read_retry_delay(own.m_history.m_consecutive_failures));
        if (!succeeded)
        {
            return;
        }
        // A host that reads changes since a version of another era is told to read all.
        const bool is_whole =
            needs_whole_read(own.m_copy) || era_of(own.m_copy.m_version).m_value != m_era;
        std::vector<store_row> rows;
        if (is_whole || store_version_of_row() > own.m_copy.m_version)
        {
            rows.push_back(
                {key, std::to_string(m_row.first), store_version_of_row(), false});
        }
        confirm_view(own.m_view, ended.m_began);
        const std::uint64_t before = own.m_changes;
        const bool was_empty = !has_data(at);
        const merge_result merged =
            merge_page(own.m_copy, rows, newest_version(), is_whole, rules(), m_now);
        for (const row_change& change : merged.m_changes)
        {
            take(at, change);
        }
        own.m_changes += was_empty ? 1 : 0;
        if (own.m_changes != before)
        {
            send_reports(at);
        }
    }

    std::optional<finding> find_late_host()
    {
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            host& own = m_hosts[at];
            if (!is_active(at) || own.m_cut_until > m_now)
            {
                own.m_trouble = m_now;
            }
        }
        if (m_now < m_store_away_until || m_rewrite_at)
        {
            m_store_trouble = m_now;
        }
        std::uint64_t wanted = 0;
        for (const auto& [at, version] : m_acknowledged)
        {
            wanted = at + configuration_time + step < m_now ? version : wanted;
        }
        if (m_now - m_store_trouble < contact_time)
        {
            return std::nullopt;
        }
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            const host& own = m_hosts[at];
            if (m_now - own.m_trouble < contact_time)
            {
                continue;
            }
            ++m_checks;
            if (own.m_in_force < wanted)
            {
                return finding{at, own.m_in_force, wanted,
                               std::chrono::duration_cast<milliseconds>(m_now - start)};
            }
        }
        return std::nullopt;
    }

    time_point m_now = start;
    random_source m_random;
    fleet_troubles m_troubles;
    std::vector<host> m_hosts;
    std::uint64_t m_starts = 0;
    /// Links that are cut in one direction, and until when.
    std::map<std::pair<std::size_t, std::size_t>, time_point> m_cuts;

    std::uint64_t m_era = 1;
    std::uint64_t m_transaction = 0;
    std::uint64_t m_newest = 1;
    /// Version of the configuration, and of the store in which it was written.
    std::pair<std::uint64_t, std::uint64_t> m_row;
    std::vector<stored> m_copies;
    std::vector<std::pair<time_point, std::uint64_t>> m_acknowledged;
    time_point m_next_change{};
    time_point m_store_away_until{};
    bool m_store_is_silent = false;
    std::optional<time_point> m_rewrite_at;
    time_point m_store_trouble = start;
};

} // namespace geraniumdoor::test
