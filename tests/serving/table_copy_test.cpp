#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/table_copy.hpp>

#include <algorithm>
#include <deque>
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

constexpr copy_rules registry_rules{true, 10s, nullptr};
constexpr copy_rules operator_rules{false, 5s, nullptr};

store_version version_of(std::uint64_t era, std::uint64_t transaction)
{
    return make_store_version(store_era{era}, transaction);
}

/// Reads a page and applies what takes effect.
merge_result read(table_copy& table, const std::vector<store_row>& rows,
                  store_version version, bool complete, const copy_rules& rules,
                  time_point now)
{
    merge_result merged = merge_page(table, rows, version, complete, rules, now);
    for (const row_change& change : merged.m_changes)
    {
        apply_row(table, change);
    }
    return merged;
}

/// Value of a row as the host uses it; empty when it has none.
std::string value_at(const table_copy& table, const std::string& key)
{
    const auto row = table.m_rows.find(key);
    return row == table.m_rows.end() ? std::string{} : row->second.m_value;
}

void apply_due(table_copy& table, time_point now)
{
    for (const row_change& change : take_due_changes(table, now))
    {
        apply_row(table, change);
    }
}

} // namespace

// Guards against hosts that are blind after the store has come back from an older copy,
// and against its older rows that send work where it must not go.
TestSuite(table_copy);

Test(table_copy, what_was_known_stays_in_force_until_it_is_written_again)
{
    // An upstream leaves, and one is gone, before the store goes back.
    table_copy table;
    read(table, {{"w1", "ready", version_of(1, 4)}, {"w2", "ready", version_of(1, 5)}},
         version_of(1, 5), true, registry_rules, start);
    read(table,
         {{"w1", "draining", version_of(1, 8)}, {"w2", "", version_of(1, 9), true}},
         version_of(1, 9), false, registry_rules, start + 1s);

    // The older copy has both as ready.
    const auto merged = read(
        table, {{"w1", "ready", version_of(2, 4)}, {"w2", "ready", version_of(2, 5)}},
        version_of(2, 5), true, registry_rules, start + 3s);
    cr_expect(merged.m_is_new_era);
    EXPECT_EQUAL(value_at(table, "w1"), "draining");
    EXPECT_EQUAL(value_at(table, "w2"), "");

    // The one that lives writes its entry again, under a version that was given out
    // before.
    read(table, {{"w1", "draining", version_of(2, 6)}}, version_of(2, 6), false,
         registry_rules, start + 4s);
    EXPECT_EQUAL(value_at(table, "w1"), "draining");

    // What is written later takes effect at once, and late news of the earlier era do
    // not.
    read(table, {{"w3", "ready", version_of(2, 7)}}, version_of(2, 7), false,
         registry_rules, start + 4s);
    EXPECT_EQUAL(value_at(table, "w3"), "ready");
    cr_expect(
        read(table, {}, version_of(1, 900), true, registry_rules, start + 4s).m_is_stale);
    EXPECT_EQUAL(value_at(table, "w3"), "ready");
}

Test(table_copy, an_entry_that_the_copy_lacks_has_time_to_be_restored)
{
    table_copy table;
    read(table, {{"w1", "ready", version_of(1, 4)}, {"w2", "ready", version_of(1, 5)}},
         version_of(1, 5), true, registry_rules, start);
    read(table, {}, version_of(2, 3), true, registry_rules, start + 1s);
    apply_due(table, start + 2s);
    EXPECT_EQUAL(value_at(table, "w1"), "ready");
    read(table, {{"w1", "ready", version_of(2, 4)}}, version_of(2, 4), false,
         registry_rules, start + 2s);
    apply_due(table, start + 1s + restore_timeout);
    EXPECT_EQUAL(value_at(table, "w1"), "ready");
    EXPECT_EQUAL(value_at(table, "w2"), "");
}

Test(table_copy, a_change_of_the_operator_that_is_never_written_again_does_not_stay)
{
    table_copy table;
    read(table, {{"out/b", "{}", version_of(1, 3)}}, version_of(1, 3), true,
         operator_rules, start);
    read(table,
         {{"out/a", "{}", version_of(1, 6)}, {"out/b", "", version_of(1, 7), true}},
         version_of(1, 7), false, operator_rules, start + 1s);
    read(table, {{"out/b", "{}", version_of(2, 3)}}, version_of(2, 4), true,
         operator_rules, start + 2s);
    apply_due(table, start + 6s);
    EXPECT_EQUAL(value_at(table, "out/a"), "{}");
    EXPECT_EQUAL(value_at(table, "out/b"), "");
    apply_due(table, start + 8s);
    EXPECT_EQUAL(value_at(table, "out/a"), "");
    EXPECT_EQUAL(value_at(table, "out/b"), "{}");
}

Test(table_copy, a_host_that_hears_of_the_return_from_others_reads_the_whole_table)
{
    table_copy table;
    read(table, {{"out/a", "{}", version_of(1, 6)}}, version_of(1, 9), true,
         operator_rules, start);
    cr_expect(not needs_whole_read(table));
    record_pushed_version(table, version_of(2, 4), start + 1s);
    cr_expect(needs_whole_read(table));
    // It has not seen the held row of the host that told it, and holds it itself.
    read(table, {}, version_of(2, 5), true, operator_rules, start + 2s);
    EXPECT_EQUAL(value_at(table, "out/a"), "{}");
    cr_expect(not needs_whole_read(table));
    apply_due(table, start + 7s);
    EXPECT_EQUAL(value_at(table, "out/a"), "");
}

Test(table_copy, a_row_of_the_older_copy_replaces_nothing_on_hosts_that_knew_more)
{
    // One reader missed that w1 leaves, and does not know w2 at all; the other host knows
    // that w1 leaves and w2 is gone.
    table_copy reader;
    table_copy other;
    read(reader, {{"w1", "ready", version_of(1, 4)}}, version_of(1, 4), true,
         registry_rules, start);
    read(other,
         {{"w1", "draining", version_of(1, 8)}, {"w2", "", version_of(1, 9), true}},
         version_of(1, 9), true, registry_rules, start);
    read(reader, {{"w1", "ready", version_of(2, 4)}, {"w2", "ready", version_of(2, 5)}},
         version_of(2, 6), true, registry_rules, start + 2s);
    EXPECT_EQUAL(value_at(reader, "w2"), "ready");
    const auto push = [&]
    {
        for (const auto& [key, row] : reader.m_rows)
        {
            apply_row(other,
                      {key, row.m_removed ? std::nullopt : std::optional{row.m_value},
                       row.m_version});
        }
    };
    push();
    EXPECT_EQUAL(value_at(other, "w1"), "draining");
    EXPECT_EQUAL(value_at(other, "w2"), "");
    // What nobody has written again after the hold time is what the store says.
    apply_due(reader, start + 12s);
    push();
    EXPECT_EQUAL(value_at(other, "w2"), "ready");
}

Test(table_copy, a_newer_configuration_does_not_wait_for_the_hold_time)
{
    const copy_rules rules{
        false, 5s,
        [](std::string_view, std::string_view known, std::string_view read_now)
        {
            return read_now > known;
        }};
    table_copy table;
    read(table, {{"config", "7", version_of(1, 9)}}, version_of(1, 9), true, rules,
         start);
    read(table, {{"config", "6", version_of(2, 4)}}, version_of(2, 4), true, rules,
         start + 1s);
    EXPECT_EQUAL(value_at(table, "config"), "7");
    read(table, {{"config", "8", version_of(2, 5)}}, version_of(2, 5), false, rules,
         start + 2s);
    EXPECT_EQUAL(value_at(table, "config"), "8");
    read(table, {{"config", "9", version_of(3, 2)}}, version_of(3, 2), true, rules,
         start + 3s);
    EXPECT_EQUAL(value_at(table, "config"), "9");
}

namespace
{

/// Registry of a store that goes back, its writers, and hosts of which three read.
class drill
{
public:
    explicit drill(std::uint64_t seed, std::size_t hosts) : m_random{seed}, m_hosts(hosts)
    {
        for (int at = 0; at < workers; ++at)
        {
            m_workers.push_back({"w" + std::to_string(at)});
        }
        m_return_at = 8000 + static_cast<int>(uniform_below(m_random, 2000));
        m_copy_age = 1000 + static_cast<int>(uniform_below(m_random, 5000));
    }

    void run()
    {
        constexpr int length_ms = 26000;
        for (m_ms = 0; m_ms < length_ms; m_ms += step_ms)
        {
            m_now = start + milliseconds{m_ms};
            if (m_ms == 0 || m_ms < m_return_at)
            {
                m_copies[m_ms] = {m_rows, m_version};
            }
            change_workers();
            write_entries();
            go_back();
            read_and_push();
            check();
        }
    }

    std::size_t wrong_uses() const
    {
        return m_wrong_uses;
    }

    /// Milliseconds from the return until all hosts know what is written after it.
    int settle_ms() const
    {
        return m_settled_at - m_return_at;
    }

    bool is_settled() const
    {
        return m_settled_at > 0;
    }

private:
    static constexpr int workers = 10;
    static constexpr int step_ms = 50;
    static constexpr int heartbeat_ms = 1200;
    static constexpr std::size_t readers = 3;

    struct worker
    {
        std::string m_id;
        std::string m_state = "ready";
        int m_written = -heartbeat_ms;
        /// When each host first knew that it leaves or is gone.
        std::map<std::size_t, int> m_known_leaving;
    };

    using rows = std::map<std::string, store_row>;

    struct store_copy
    {
        rows m_rows;
        std::uint64_t m_version = 0;
    };

    bool is_away() const
    {
        return m_ms >= m_return_at - 700 && m_ms < m_return_at;
    }

    void change_workers()
    {
        // Workers leave and go until shortly before the return, and a new one comes.
        if (m_ms % 800 == 400 && m_ms < m_return_at - 1500)
        {
            worker& chosen = m_workers[uniform_below(m_random, workers)];
            chosen.m_state = chosen.m_state == "ready" ? "draining" : "gone";
            chosen.m_written = -heartbeat_ms;
        }
        if (m_ms == (m_return_at + 3000) / step_ms * step_ms)
        {
            m_workers.push_back({"new"});
        }
    }

    void write_entries()
    {
        if (is_away())
        {
            return;
        }
        for (worker& writer : m_workers)
        {
            const auto row = m_rows.find(writer.m_id);
            if (writer.m_state == "gone")
            {
                const bool is_listed = row != m_rows.end() && !row->second.m_removed;
                // The store removes entries that nobody writes.
                if (is_listed && m_ms - writer.m_written > 3 * heartbeat_ms)
                {
                    row->second = {writer.m_id, "", version_of(m_era, ++m_version), true};
                }
                continue;
            }
            if (m_ms - writer.m_written >= heartbeat_ms)
            {
                writer.m_written = m_ms;
                // A count in the value changes with each write.
                m_rows[writer.m_id] = {writer.m_id,
                                       writer.m_state + '#' + std::to_string(m_ms),
                                       version_of(m_era, ++m_version), false};
            }
        }
    }

    void go_back()
    {
        if (m_gone_back || m_ms < m_return_at)
        {
            return;
        }
        m_gone_back = true;
        const auto copy = std::prev(m_copies.upper_bound(m_return_at - m_copy_age));
        m_rows = copy->second.m_rows;
        m_version = copy->second.m_version;
        ++m_era;
        for (auto& [key, row] : m_rows)
        {
            row.m_version = version_of(m_era, transaction_of(row.m_version));
        }
        // Leases begin anew.
        for (worker& writer : m_workers)
        {
            writer.m_written = writer.m_state == "gone" ? m_ms : writer.m_written;
        }
    }

    /// Rows that a read returns; those of a delayed answer are of an earlier moment.
    void read_and_push()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            const bool is_reader = host < readers;
            const bool is_due = m_ms % 600 == static_cast<int>(host % 12) * step_ms;
            if (is_reader && is_due && !is_away())
            {
                read_store(m_hosts[host]);
            }
            if (is_reader && uniform_below(m_random, 20) == 0 && m_ms > 1000)
            {
                // An answer of an earlier moment arrives late.
                const auto late = std::prev(
                    m_copies.upper_bound(std::min(m_ms, m_return_at - 50) - 1000));
                if (late->second.m_version > 0)
                {
                    read(m_hosts[host], values(late->second.m_rows),
                         version_of(1, late->second.m_version), true, registry_rules,
                         m_now);
                }
            }
            apply_due(m_hosts[host], m_now);
        }
        // Others get what a reader has, with a loss now and then.
        for (std::size_t host = readers; host < m_hosts.size(); ++host)
        {
            if (m_ms % 200 != 0 || uniform_below(m_random, 10) == 0)
            {
                continue;
            }
            const table_copy& from =
                m_hosts[uniform_below(m_random, static_cast<std::uint32_t>(readers))];
            for (const auto& [key, row] : from.m_rows)
            {
                apply_row(m_hosts[host],
                          {key, row.m_removed ? std::nullopt : std::optional{row.m_value},
                           row.m_version});
            }
            record_pushed_version(m_hosts[host], from.m_version, m_now);
        }
    }

    void read_store(table_copy& table)
    {
        const bool same_era = era_of(table.m_version) == store_era{m_era};
        if (needs_whole_read(table) || !same_era)
        {
            read(table, values(m_rows), version_of(m_era, m_version), true,
                 registry_rules, m_now);
            return;
        }
        std::vector<store_row> changed;
        for (const auto& [key, row] : m_rows)
        {
            if (row.m_version > table.m_version)
            {
                changed.push_back(row);
            }
        }
        read(table, changed, version_of(m_era, m_version), false, registry_rules, m_now);
    }

    static std::vector<store_row> values(const rows& from)
    {
        std::vector<store_row> list;
        for (const auto& [key, row] : from)
        {
            if (!row.m_removed)
            {
                list.push_back(row);
            }
        }
        return list;
    }

    void check()
    {
        bool all_know = true;
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            for (worker& checked : m_workers)
            {
                const std::string value = value_at(m_hosts[host], checked.m_id);
                const bool is_ready = value.starts_with("ready");
                const bool is_known = m_hosts[host].m_rows.contains(checked.m_id);
                if (is_known && !is_ready && checked.m_state != "ready")
                {
                    checked.m_known_leaving.try_emplace(host, m_ms);
                }
                // Once a host has known that a worker leaves, it never uses it again.
                m_wrong_uses +=
                    is_ready && checked.m_known_leaving.contains(host) ? 1 : 0;
            }
            all_know = all_know && value_at(m_hosts[host], "new").starts_with("ready");
        }
        if (all_know && m_settled_at == 0)
        {
            m_settled_at = m_ms;
        }
    }

    random_source m_random;
    std::vector<table_copy> m_hosts;
    std::vector<worker> m_workers;
    rows m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_era = 1;
    std::map<int, store_copy> m_copies;
    int m_return_at = 0;
    int m_copy_age = 0;
    bool m_gone_back = false;
    int m_ms = 0;
    time_point m_now{};
    std::size_t m_wrong_uses = 0;
    int m_settled_at = 0;
};

} // namespace

Test(table_copy, no_host_uses_a_leaving_upstream_again_when_the_store_goes_back)
{
    int slowest = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        drill story{seed, 8};
        story.run();
        cr_expect(story.wrong_uses() == 0, "seed %zu: %zu wrong uses",
                  static_cast<std::size_t>(seed), story.wrong_uses());
        cr_expect(story.is_settled(), "seed %zu", static_cast<std::size_t>(seed));
        slowest = std::max(slowest, story.settle_ms());
    }
    // An upstream that starts 3 s after the return is known to all hosts soon after.
    cr_expect(slowest <= 6000, "%d ms", slowest);
}
