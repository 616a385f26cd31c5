#include <geraniumdoor/base/random.hpp>

#include <boost/asio/io_context.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include <src/edge/store_watch.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::edge;
using namespace std::chrono_literals;

namespace
{

std::string entry(const std::string& state)
{
    return R"({"service":"plain","address":"10.0.0.9:80","zone":"z1","maxConcurrency":8,)"
           R"("state":")" +
           state + R"(","coldRemainingMs":0,"born":1})";
}

std::string config(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[]})";
}

/// A host that does not read the store itself; nothing is sent.
struct watch_world
{
    watch_world()
    {
        m_state.m_own_report.m_node.m_value = "own";
    }

    /// A report of a host that has just read the store.
    static host_report report_of(const std::string& node, std::uint64_t changes)
    {
        host_report report;
        report.m_node.m_value = node;
        report.m_incarnation.m_value = 1;
        report.m_changes = changes;
        report.m_store_age_ms = 50;
        return report;
    }

    void take_worker(const std::string& reader, std::uint64_t version,
                     const std::string& state)
    {
        state_push push;
        push.m_changes = ++m_changes;
        push.m_registry.m_version = version;
        push.m_registry.m_rows.push_back(
            {"w1", state.empty() ? "" : entry(state), version, state.empty(), false});
        m_watch.apply_push(node_id{reader}, incarnation{1}, push);
    }

    void take_config(const std::string& reader, int version, std::uint64_t row_version)
    {
        state_push push;
        push.m_changes = ++m_changes;
        push.m_intent.m_version = row_version;
        push.m_intent.m_rows.push_back(
            {"config", config(version), row_version, false, false});
        m_watch.apply_push(node_id{reader}, incarnation{1}, push);
    }

    const serving::upstream* worker() const
    {
        return m_state.m_upstreams.m_rows.find(upstream_id{"w1"});
    }

    boost::asio::io_context m_io;
    timer_service m_timers{now()};
    edge_state m_state{m_io.get_executor(), {}, m_timers};
    int m_state_changes = 0;
    store_watch m_watch{m_state, [this]
                        {
                            ++m_state_changes;
                        }};
    std::uint64_t m_changes = 0;
};

} // namespace

TestSuite(store_watch);

// A host that asked two readers took an upstream that drained for ready again, because
// the second reader was behind the first.
Test(store_watch, a_reader_that_is_behind_does_not_undo_what_a_newer_one_has_said)
{
    watch_world world;
    world.take_worker("reader-1", 10, "draining");
    cr_assert(world.worker() != nullptr);
    cr_expect(world.worker()->m_entry.m_leaving);
    world.take_worker("reader-2", 8, "ready");
    cr_expect(world.worker()->m_entry.m_leaving);
    world.take_worker("reader-1", 12, "");
    cr_expect(world.worker() == nullptr);
    world.take_worker("reader-2", 11, "ready");
    cr_expect(world.worker() == nullptr);
    world.take_worker("reader-2", 13, "ready");
    cr_assert(world.worker() != nullptr);
    cr_expect(not world.worker()->m_entry.m_leaving);
}

// The same for any order of answers: what the newest row says is what the host knows.
Test(store_watch, the_newest_row_counts_in_whatever_order_readers_answer)
{
    const bool holds = rc::check(
        [](std::uint32_t seed)
        {
            random_source random{seed};
            watch_world world;
            std::uint64_t newest = 0;
            std::string state;
            for (int answer = 0; answer < 30; ++answer)
            {
                const std::uint64_t version = 1 + uniform_below(random, 50);
                // A version stands for one row, whichever reader tells it.
                const std::string told = version % 3 == 0   ? ""
                                         : version % 3 == 1 ? "ready"
                                                            : "draining";
                world.take_worker("reader-" + std::to_string(answer % 3), version, told);
                state = version > newest ? told : state;
                newest = std::max(newest, version);
                const serving::upstream* worker = world.worker();
                RC_ASSERT((worker == nullptr) == state.empty());
                const bool leaving = worker != nullptr && worker->m_entry.m_leaving;
                RC_ASSERT(leaving == (state == "draining"));
            }
        });
    cr_expect(holds);
}

// A configuration that a store gives back after it has lost a write must not replace the
// one in force.
Test(store_watch, a_lower_configuration_in_a_newer_row_is_not_taken_over)
{
    watch_world world;
    world.take_config("reader-1", 7, 10);
    cr_assert(world.m_state.m_routing != nullptr);
    world.take_config("reader-1", 6, 12);
    EXPECT_EQUAL(world.m_state.m_routing->m_version.m_value, 7U);
    world.take_config("reader-1", 8, 13);
    EXPECT_EQUAL(world.m_state.m_routing->m_version.m_value, 8U);
}

// A change that all readers reported was asked for at each of them, and a host with a
// narrow link received the tables three times.
Test(store_watch, a_host_asks_one_reader_at_a_time)
{
    watch_world world;
    const auto first = world.m_watch.next_pull(world.report_of("reader-1", 5), false);
    cr_expect(first.has_value());
    cr_expect(
        not world.m_watch.next_pull(world.report_of("reader-2", 5), false).has_value());
    world.take_worker("reader-1", 10, "ready");
    cr_expect(world.m_watch.next_pull(world.report_of("reader-2", 5), false).has_value());
}

// A host that had just started asked for the list of hosts and for nothing else, and took
// the answer for all that the reader knew. It was ready without any upstream, and ran the
// queues of two pools for the rest of the day.
Test(store_watch, a_question_for_hosts_leaves_no_rows_out)
{
    watch_world world;
    const auto question = world.m_watch.next_pull(world.report_of("reader", 50), true);
    cr_assert(question.has_value());
    cr_expect(question->m_wants_hosts);
    EXPECT_EQUAL(question->m_after, 0U);
    EXPECT_EQUAL(question->m_registry_version, 0U);
    // Nobody else is asked meanwhile, not even for hosts alone.
    cr_expect(
        not world.m_watch.next_pull(world.report_of("reader-2", 50), true).has_value());
}

// A host with an old view of the store spread it as news.
Test(store_watch, a_host_that_knows_enough_asks_readers_alone)
{
    watch_world world;
    world.take_worker("reader-1", 10, "ready");
    world.take_config("reader-1", 1, 10);
    host_report stale = world.report_of("host-3", 50);
    stale.m_store_age_ms = 60000;
    cr_expect(not world.m_watch.next_pull(stale, false).has_value());
    cr_expect(
        world.m_watch.next_pull(world.report_of("reader-2", 50), false).has_value());
}

// Hosts that started together waited a second for a large configuration, because three
// hosts sent it to all others.
Test(store_watch, a_large_configuration_travels_compressed_and_arrives_whole)
{
    watch_world reader;
    state_push read;
    read.m_changes = 1;
    read.m_intent.m_version = 10;
    std::string large = config(3);
    large.insert(1, R"("comment":")" + std::string(50'000, 'x') + R"(",)");
    read.m_intent.m_rows.push_back({"config", large, 10, false, false});
    reader.m_watch.apply_push(node_id{"store"}, incarnation{1}, read);
    state_push sent = reader.m_watch.push_for({});
    cr_assert(sent.m_intent.m_rows.size() == 1);
    cr_expect(sent.m_intent.m_rows[0].m_value.size() < 5'000);
    watch_world asker;
    asker.m_watch.apply_push(node_id{"reader"}, incarnation{1}, sent);
    cr_assert(asker.m_state.m_routing != nullptr);
    EXPECT_EQUAL(asker.m_state.m_routing->m_version.m_value, 3U);
    // Damaged bytes are not taken for news: the asker asks again.
    watch_world other;
    sent.m_intent.m_rows[0].m_value.resize(10);
    other.m_watch.apply_push(node_id{"reader"}, incarnation{1}, sent);
    cr_expect(other.m_state.m_routing == nullptr);
    const auto question =
        other.m_watch.next_pull(other.report_of("reader", sent.m_changes), false);
    cr_assert(question.has_value());
    EXPECT_EQUAL(question->m_intent_version, 0U);
}

Test(store_watch, a_host_answers_with_the_rows_that_the_asker_lacks)
{
    watch_world world;
    world.take_worker("reader-1", 10, "ready");
    world.take_config("reader-1", 1, 10);
    const state_push all = world.m_watch.push_for({0, 0, 0, false});
    EXPECT_EQUAL(all.m_intent.m_rows.size(), 1U);
    EXPECT_EQUAL(all.m_registry.m_rows.size(), 1U);
    const state_push none = world.m_watch.push_for({all.m_changes, 10, 10, false});
    cr_expect(none.m_intent.m_rows.empty());
    cr_expect(none.m_registry.m_rows.empty());
}
