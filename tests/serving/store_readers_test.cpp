#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/store_readers.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};

/// Time of one step of the simulation, and of one read of the store.
constexpr milliseconds step{50};

/// Simulated hosts that elect the readers of the store from each other's reports.
class simulated_fleet
{
public:
    struct host
    {
        double m_weight = 0;
        store_access m_access = store_access::unused;
        store_read_history m_history;
        bool m_is_reader = false;
        bool m_is_up = true;
        time_point m_paused_until{};
        time_point m_next_report{};
        time_point m_next_read{};
        /// A read that the store has not answered, and when the host gives it up.
        std::optional<time_point> m_read_began;
        time_point m_read_ends{};
    };

    /// What a host last heard from another one.
    struct view
    {
        store_access m_access = store_access::unused;
        std::int32_t m_heard_ms = -1000000;
        std::int32_t m_interval_ms = 200;
    };

    simulated_fleet(std::size_t hosts, std::uint32_t seed)
        : m_random{seed}, m_hosts(hosts), m_views(hosts * hosts)
    {
        for (host& each : m_hosts)
        {
            // One host in ten has four times the processor time of the others.
            const double size = uniform_below(m_random, 10) == 0 ? 64 : 1;
            const double hash = (uniform_below(m_random, 1000000) + 0.5) / 1000000;
            each.m_weight = -size / std::log(hash);
            each.m_next_report = start + milliseconds{uniform_below(m_random, 800)};
        }
    }

    /// Runs the simulation and calls a function after each step.
    void run_for(milliseconds length, const std::function<void()>& after_step = {})
    {
        const time_point end = m_now + length;
        while (m_now < end)
        {
            m_now += step;
            for (std::size_t at = 0; at < m_hosts.size(); ++at)
            {
                if (is_active(at))
                {
                    run_host(at);
                }
            }
            if (after_step)
            {
                after_step();
            }
        }
    }

    bool is_active(std::size_t at) const
    {
        return m_hosts[at].m_is_up && m_hosts[at].m_paused_until <= m_now;
    }

    /// Hosts that read the store at the moment.
    std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> list;
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            if (is_active(at) && m_hosts[at].m_is_reader)
            {
                list.push_back(at);
            }
        }
        return list;
    }

    std::size_t successful_readers() const
    {
        const auto list = readers();
        return static_cast<std::size_t>(std::count_if(list.begin(), list.end(),
                                                      [this](std::size_t at)
                                                      {
                                                          return m_hosts[at].m_access ==
                                                                 store_access::reading;
                                                      }));
    }

    time_point m_now = start;
    random_source m_random;
    std::vector<host> m_hosts;
    /// Whether the store answers a host.
    std::function<bool(std::size_t)> m_store_answers = [](std::size_t)
    {
        return true;
    };
    /// Whether a report from one host reaches another one.
    std::function<bool(std::size_t, std::size_t)> m_arrives = [](std::size_t, std::size_t)
    {
        return true;
    };
    std::size_t m_reads = 0;
    /// Whether a read of a host is lost, so that it ends with its timeout.
    std::function<bool(std::size_t)> m_read_is_lost = [](std::size_t)
    {
        return false;
    };

private:
    view& view_of(std::size_t observer, std::size_t other)
    {
        return m_views[observer * m_hosts.size() + other];
    }

    std::int32_t now_ms() const
    {
        return static_cast<std::int32_t>(
            std::chrono::duration_cast<milliseconds>(m_now - start).count());
    }

    void run_host(std::size_t at)
    {
        host& own = m_hosts[at];
        own.m_is_reader = decide(at);
        const store_access before = own.m_access;
        bool read_succeeds = own.m_is_reader && own.m_access == store_access::reading;
        if (own.m_read_began && m_now >= own.m_read_ends)
        {
            read_succeeds = false;
            record_store_read(own.m_history, false, *own.m_read_began, m_now);
            own.m_next_read =
                m_now + read_retry_delay(own.m_history.m_consecutive_failures);
            own.m_read_began.reset();
        }
        else if (own.m_is_reader && !own.m_read_began && m_now >= own.m_next_read)
        {
            ++m_reads;
            if (m_read_is_lost(at))
            {
                own.m_read_began = m_now;
                own.m_read_ends = m_now + store_call_timeout;
            }
            else
            {
                read_succeeds = m_store_answers(at);
                record_store_read(own.m_history, read_succeeds, m_now - step, m_now);
                own.m_next_read =
                    m_now +
                    (read_succeeds
                         ? milliseconds{600}
                         : read_retry_delay(own.m_history.m_consecutive_failures));
            }
        }
        const bool overdue =
            own.m_read_began && m_now >= *own.m_read_began + usual_store_response;
        own.m_access = access_to_store(own.m_history, read_succeeds, overdue, m_now);
        if (own.m_access != before || m_now >= own.m_next_report)
        {
            send_report(at);
        }
    }

    bool decide(std::size_t at)
    {
        const host& own = m_hosts[at];
        m_others.clear();
        for (std::size_t other = 0; other < m_hosts.size(); ++other)
        {
            const view& seen = view_of(at, other);
            const bool live = now_ms() - seen.m_heard_ms <=
                              seen.m_interval_ms * liveness_timeout_intervals;
            if (other != at && live)
            {
                m_others.push_back({m_hosts[other].m_weight, seen.m_access});
            }
        }
        return is_store_reader({own.m_weight, own.m_access}, m_others);
    }

    void send_report(std::size_t from)
    {
        host& own = m_hosts[from];
        const milliseconds interval =
            report_interval(m_hosts.size(), own.m_access == store_access::reading);
        own.m_next_report = m_now + interval;
        for (std::size_t to = 0; to < m_hosts.size(); ++to)
        {
            const bool lost = uniform_below(m_random, 30) == 0;
            if (to != from && is_active(to) && !lost && m_arrives(from, to))
            {
                view_of(to, from) = {own.m_access, now_ms(),
                                     static_cast<std::int32_t>(interval.count())};
            }
        }
    }

    std::vector<view> m_views;
    std::vector<reader_candidate> m_others;
};

constexpr std::size_t fleet_sizes[] = {8, 65, 200, 300, 1000};

/// Time after which a fleet of any size has found its readers: all hosts have reported.
constexpr milliseconds settling_time{2000};

/// Time within which the loss of readers is made up for: a host with a role counts as
/// down after 1.6 s, and the next one needs one read.
constexpr milliseconds replacement_time{2000};

/// Time within which readers that the store turns away are replaced: the pause of 600 ms
/// between two reads, store_failure_time, the longest retry delay, and one report.
constexpr milliseconds turned_away_time{2400};

} // namespace

// Guards against fleets of which dozens of hosts read the store. At 195 hosts a reader
// counted as overdue between two of its reports, because the age of its last read was
// compared with a fixed bound; during an outage of the store every host counted as
// overdue and all hosts asked it.
TestSuite(store_readers, .timeout = 200);

Test(store_readers, three_hosts_read_in_a_fleet_of_any_size)
{
    for (const std::size_t size : fleet_sizes)
    {
        simulated_fleet fleet{size, 7};
        fleet.run_for(settling_time);
        fleet.run_for(3000ms,
                      [&]
                      {
                          cr_assert(fleet.readers().size() == store_reader_count,
                                    "%zu readers of %zu hosts", fleet.readers().size(),
                                    size);
                      });
    }
}

Test(store_readers, lost_readers_are_replaced_within_two_seconds)
{
    for (const std::size_t size : fleet_sizes)
    {
        simulated_fleet fleet{size, 8};
        fleet.run_for(settling_time);
        const auto lost = fleet.readers();
        for (const std::size_t at : lost)
        {
            fleet.m_hosts[at].m_is_up = false;
        }
        fleet.run_for(replacement_time);
        EXPECT_EQUAL(fleet.successful_readers(), store_reader_count);

        // The role stays where it is when they return.
        const auto replacements = fleet.readers();
        for (const std::size_t at : lost)
        {
            fleet.m_hosts[at] = {fleet.m_hosts[at].m_weight};
        }
        fleet.run_for(settling_time,
                      [&]
                      {
                          cr_assert(fleet.successful_readers() >= store_reader_count);
                      });
        cr_expect(fleet.readers().size() == store_reader_count);
    }
}

Test(store_readers, a_reader_that_is_silent_for_a_while_costs_one_more_reader)
{
    for (const std::size_t size : {std::size_t{8}, std::size_t{200}})
    {
        simulated_fleet fleet{size, 9};
        fleet.run_for(settling_time);
        const std::size_t silent = fleet.readers().front();
        fleet.m_arrives = [silent](std::size_t from, std::size_t)
        {
            return from != silent;
        };
        fleet.run_for(3000ms);
        EXPECT_EQUAL(fleet.readers().size(), store_reader_count + 1);
        fleet.m_arrives = [](std::size_t, std::size_t)
        {
            return true;
        };
        fleet.run_for(1000ms);
        EXPECT_EQUAL(fleet.readers().size(), store_reader_count);
    }
}

Test(store_readers, a_paused_reader_steps_back_when_it_wakes)
{
    simulated_fleet fleet{200, 10};
    fleet.run_for(settling_time);
    const std::size_t paused = fleet.readers().back();
    fleet.m_hosts[paused].m_paused_until = fleet.m_now + 4s;
    fleet.run_for(3900ms);
    EXPECT_EQUAL(fleet.successful_readers(), store_reader_count);
    fleet.run_for(1100ms);
    EXPECT_EQUAL(fleet.readers().size(), store_reader_count);
}

// Guards against an outage of the store in which every host asks it.
Test(store_readers, a_store_that_is_down_is_asked_by_a_few_hosts)
{
    for (const std::size_t size : fleet_sizes)
    {
        simulated_fleet fleet{size, 11};
        fleet.run_for(settling_time);
        fleet.m_store_answers = [](std::size_t)
        {
            return false;
        };
        fleet.m_reads = 0;
        std::size_t most = 0;
        fleet.run_for(8000ms,
                      [&]
                      {
                          most = std::max(most, fleet.readers().size());
                      });
        // During a hand-over both the old and the new readers may ask.
        cr_expect(most <= 2 * store_reader_count, "%zu of %zu hosts ask", most, size);
        const double reads_per_s = static_cast<double>(fleet.m_reads) / 8;
        cr_expect(reads_per_s <= 20, "%f reads a second of %zu hosts", reads_per_s, size);

        fleet.m_store_answers = [](std::size_t)
        {
            return true;
        };
        fleet.run_for(1000ms);
        cr_expect(fleet.successful_readers() > 0);
        fleet.run_for(1000ms);
        cr_expect(fleet.readers().size() == store_reader_count);
    }
}

Test(store_readers, a_store_that_does_not_answer_is_asked_by_a_few_hosts)
{
    for (const std::size_t size : fleet_sizes)
    {
        simulated_fleet fleet{size, 16};
        fleet.run_for(settling_time);
        fleet.m_read_is_lost = [](std::size_t)
        {
            return true;
        };
        fleet.m_reads = 0;
        fleet.run_for(8000ms);
        const double reads_per_s = static_cast<double>(fleet.m_reads) / 8;
        cr_expect(reads_per_s <= 20, "%f reads a second of %zu hosts", reads_per_s, size);
        fleet.m_read_is_lost = [](std::size_t)
        {
            return false;
        };
        fleet.run_for(2000ms);
        cr_expect(fleet.readers().size() == store_reader_count);
    }
}

Test(store_readers, hosts_that_the_store_turns_away_are_replaced_by_others)
{
    for (const std::size_t size : fleet_sizes)
    {
        simulated_fleet fleet{size, 12};
        fleet.run_for(settling_time);
        const auto turned_away = fleet.readers();
        fleet.m_store_answers = [&turned_away](std::size_t at)
        {
            return std::find(turned_away.begin(), turned_away.end(), at) ==
                   turned_away.end();
        };
        fleet.run_for(turned_away_time);
        EXPECT_EQUAL(fleet.successful_readers(), store_reader_count);
        // They are candidates again after some time, and take the role from nobody.
        const auto replacements = fleet.readers();
        fleet.run_for(store_failure_hold + 2000ms,
                      [&]
                      {
                          cr_assert(fleet.readers() == replacements);
                      });
    }
}

// A store that serves only one host in three is read within the time of a few hand-overs.
Test(store_readers, a_store_that_turns_most_hosts_away_is_read_by_one_that_it_serves)
{
    simulated_fleet fleet{200, 13};
    fleet.run_for(settling_time);
    fleet.m_store_answers = [](std::size_t at)
    {
        return at % 3 == 0;
    };
    fleet.run_for(4000ms);
    cr_expect(fleet.successful_readers() > 0);
    cr_expect(fleet.readers().size() <= 2 * store_reader_count);
}

// Guards against configurations that come into force late: the three readers are cut off
// from the store at once, their reads end with the timeout, and hosts that reach the
// store wait for a second timeout before they read it.
Test(store_readers, readers_that_are_cut_off_from_the_store_are_replaced_in_time)
{
    // The platform's configApplyMs, by the size of its deployments.
    const auto configuration_time = [](std::size_t size)
    {
        return size < 60 ? 2000ms : 3000ms;
    };
    for (const std::size_t size : fleet_sizes)
    {
        for (const std::size_t rounds : {1U, 2U})
        {
            simulated_fleet fleet{size, 15};
            fleet.run_for(settling_time);
            // The hosts that would replace the readers may be cut off, too.
            std::vector<std::size_t> cut_off = fleet.readers();
            if (rounds == 2)
            {
                simulated_fleet twin{size, 15};
                twin.run_for(settling_time);
                for (const std::size_t at : cut_off)
                {
                    twin.m_hosts[at].m_is_up = false;
                }
                twin.run_for(settling_time);
                const auto next = twin.readers();
                cut_off.insert(cut_off.end(), next.begin(), next.end());
            }
            const auto is_cut_off = [&cut_off](std::size_t at)
            {
                return std::find(cut_off.begin(), cut_off.end(), at) != cut_off.end();
            };
            // The store answers the hosts that are not cut off, within one step.
            fleet.m_read_is_lost = is_cut_off;
            fleet.run_for(configuration_time(size));
            const auto readers = fleet.readers();
            const bool replaced =
                std::any_of(readers.begin(), readers.end(),
                            [&](std::size_t at)
                            {
                                return !is_cut_off(at) && fleet.m_hosts[at].m_access ==
                                                              store_access::reading;
                            });
            cr_expect(replaced, "%zu hosts, %zu cut off", size, cut_off.size());
        }
    }
}

Test(store_readers, both_halves_of_a_partition_have_readers_and_merge)
{
    simulated_fleet fleet{65, 14};
    fleet.run_for(settling_time);
    fleet.m_arrives = [](std::size_t from, std::size_t to)
    {
        return from % 2 == to % 2;
    };
    fleet.run_for(3000ms);
    const auto readers = fleet.readers();
    const auto even = std::count_if(readers.begin(), readers.end(),
                                    [](std::size_t at)
                                    {
                                        return at % 2 == 0;
                                    });
    EXPECT_EQUAL(readers.size(), 2 * store_reader_count);
    EXPECT_EQUAL(static_cast<std::size_t>(even), store_reader_count);
    fleet.m_arrives = [](std::size_t, std::size_t)
    {
        return true;
    };
    fleet.run_for(1500ms);
    EXPECT_EQUAL(fleet.readers().size(), store_reader_count);
}

// Guards against hosts that reach the store and wait for others to read it.
Test(store_readers, a_host_reads_for_itself_when_its_view_grows_old)
{
    const node_id own{"host-1"};
    table_view view;
    cr_expect(not reads_for_itself(view, own, {}, start), "a host without data");
    confirm_view(view, start);
    const time_point young = start + max_followed_age - 1ms;
    const time_point old = start + max_followed_age + followed_age_spread;
    cr_expect(not reads_for_itself(view, own, {}, young));
    cr_expect(reads_for_itself(view, own, {}, old));
    // A read that was lost is not repeated at once.
    cr_expect(not reads_for_itself(view, own, old, old + own_read_interval - 1ms));
    cr_expect(reads_for_itself(view, own, old, old + own_read_interval));
    confirm_view(view, old);
    cr_expect(not reads_for_itself(view, own, {}, old + 1ms));
}

// A view that is followed up to its greatest age, and then read, is in time for the
// platform's configApplyMs, with the checks and a read that takes a tenth of a second.
Test(store_readers, a_host_that_reads_for_itself_is_in_time)
{
    constexpr milliseconds shortest_configuration_time{2000};
    constexpr milliseconds checks_and_read{150};
    cr_expect(max_followed_age + followed_age_spread + checks_and_read <
              shortest_configuration_time);
    cr_expect(max_followed_age + followed_age_spread < max_conclusive_age);
}

Test(store_readers, one_lost_response_does_not_move_the_role)
{
    store_read_history history;
    record_store_read(history, false, start, start + 1700ms);
    cr_expect(not is_failing(history, start + 1700ms));
    record_store_read(history, true, start + 1700ms, start + 1900ms);
    cr_expect(not is_failing(history, start + 1900ms));
    record_store_read(history, false, start + 2000ms, start + 2010ms);
    record_store_read(history, false, start + 2160ms, start + 3010ms);
    cr_expect(is_failing(history, start + 3010ms));
    cr_expect(not is_failing(history, start + 3010ms + store_failure_hold));
}

// Guards against bounds that hold for the number of hosts they were written for alone.
// The platform's own bounds shrink with the size of a deployment no further than to
// these.
Test(store_readers, a_lost_role_is_noticed_in_time_at_any_size)
{
    constexpr milliseconds shortest_configuration_time{2000};
    constexpr milliseconds shortest_contact_time{3000};
    for (const std::size_t size : fleet_sizes)
    {
        host_report holder;
        holder.m_interval_ms =
            static_cast<std::uint16_t>(report_interval(size, true).count());
        cr_expect(liveness_timeout(holder) < shortest_configuration_time);
        host_report other;
        other.m_interval_ms =
            static_cast<std::uint16_t>(report_interval(size, false).count());
        // Address answers may name a lost host for this time and three more seconds.
        cr_expect(liveness_timeout(other) < shortest_contact_time + 3000ms);
    }
}
