#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/row_pulls.hpp>
#include <geraniumdoor/serving/store_readers.hpp>

#include <algorithm>
#include <optional>
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

constexpr time_point start{1000s};

/// A host that follows the store through readers, of which some send reports and do not
/// answer pulls.
class simulated_follower
{
public:
    explicit simulated_follower(std::uint32_t seed) : m_random{seed}
    {
        m_own.m_node.m_value = "own";
        m_own.m_processor = 1;
        for (int at = 0; at < 3; ++at)
        {
            reader& added = m_readers.emplace_back();
            added.m_report.m_node.m_value = "reader-" + std::to_string(at);
            added.m_report.m_incarnation.m_value = 1;
            added.m_report.m_processor = 1;
            added.m_report.m_interval_ms = 200;
            added.m_report.m_store_access = store_access::reading;
            added.m_next_report = start + milliseconds{uniform_below(m_random, 200)};
        }
    }

    /// Readers that answer this host's pulls.
    std::vector<bool> m_answers{true, true, true};

    /// All readers learn of a change and report it at once.
    /// @return time until this host has the change, or reads the store itself
    milliseconds time_of_change()
    {
        for (reader& each : m_readers)
        {
            ++each.m_report.m_changes;
            each.m_next_report = m_now + milliseconds{uniform_below(m_random, 3)};
        }
        const std::uint64_t wanted = m_readers.front().m_report.m_changes;
        const time_point began = m_now;
        while (m_received < wanted && m_now < began + 20s)
        {
            m_now += 1ms;
            step();
            if (is_store_reader(m_hosts, m_own, m_pulls, m_now))
            {
                m_received = wanted;
            }
        }
        return std::chrono::duration_cast<milliseconds>(m_now - began);
    }

    void run_for(milliseconds length)
    {
        for (const time_point end = m_now + length; m_now < end;)
        {
            m_now += 1ms;
            step();
        }
    }

private:
    struct reader
    {
        host_report m_report;
        time_point m_next_report{};
        std::optional<time_point> m_push_arrives;
    };

    void step()
    {
        expire_pull(m_pulls, m_now);
        for (std::size_t at = 0; at < m_readers.size(); ++at)
        {
            reader& each = m_readers[at];
            if (each.m_push_arrives && m_now >= *each.m_push_arrives)
            {
                each.m_push_arrives.reset();
                end_pull(m_pulls, each.m_report.m_node, m_now);
                record_push(m_pulls, each.m_report.m_node, each.m_report.m_incarnation,
                            each.m_report.m_changes);
                m_received = std::max(m_received, each.m_report.m_changes);
            }
            if (m_now < each.m_next_report)
            {
                continue;
            }
            each.m_next_report = m_now + 200ms;
            ++each.m_report.m_sequence;
            apply_report(m_hosts, each.m_report, m_now);
            const bool is_news = m_received < each.m_report.m_changes;
            if (is_news && begin_pull(m_pulls, each.m_report, true, false, m_now) &&
                m_answers[at])
            {
                each.m_push_arrives = m_now + 5ms;
            }
        }
    }

    random_source m_random;
    time_point m_now = start;
    host_report m_own;
    host_table m_hosts;
    row_pulls m_pulls;
    std::vector<reader> m_readers;
    std::uint64_t m_received = 0;
};

/// The platform's shortest configApplyMs.
constexpr milliseconds configuration_time{2000};

} // namespace

// Guards against a host that follows readers which it hears and cannot ask.
TestSuite(row_pulls);

Test(row_pulls, a_change_arrives_in_time_whichever_readers_answer)
{
    for (std::uint32_t seed = 1; seed <= 1000; ++seed)
    {
        // No reader answers at the first change, all of them at the last one.
        for (unsigned answering = 0; answering < 8; ++answering)
        {
            simulated_follower follower{seed};
            follower.run_for(1000ms);
            for (unsigned at = 0; at < 3; ++at)
            {
                follower.m_answers[at] = (answering >> at & 1U) != 0;
            }
            for (int change = 0; change < 3; ++change)
            {
                const milliseconds took = follower.time_of_change();
                cr_assert(took < configuration_time,
                          "seed %u, answering %u, change %d: %ld ms", seed, answering,
                          change, static_cast<long>(took.count()));
                follower.run_for(milliseconds{300 * change});
            }
        }
    }
}

Test(row_pulls, a_reader_that_answers_late_is_relied_on_again)
{
    row_pulls pulls;
    host_report report;
    report.m_node.m_value = "reader";
    report.m_store_access = store_access::reading;
    report.m_changes = 7;
    cr_assert(begin_pull(pulls, report, true, false, start).has_value());
    cr_expect(not expire_pull(pulls, start + pull_timeout - 1ms).has_value());
    EXPECT_EQUAL(expire_pull(pulls, start + pull_timeout), report.m_node);
    cr_expect(not answers_pulls(pulls, report.m_node, start + pull_timeout));
    end_pull(pulls, report.m_node, start + pull_timeout + 10ms);
    cr_expect(answers_pulls(pulls, report.m_node, start + pull_timeout + 10ms));
    record_push(pulls, report.m_node, {}, 7);
    cr_expect(not begin_pull(pulls, report, true, false, start + 1s).has_value());
}
