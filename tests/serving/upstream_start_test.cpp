#include <geraniumdoor/serving/upstreams.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};

/// A table with one upstream.
struct start_story
{
    start_story()
    {
        m_entry.m_id.m_value = "u1";
        m_entry.m_started_unix_ms = 1;
        m_entry.m_version = m_version;
        apply_entry(m_table, m_entry, start);
    }

    upstream& row()
    {
        return *m_table.m_rows.find(m_entry.m_id);
    }

    bool takes_streams_of(const software_version& version)
    {
        return has_version(row(), version);
    }

    software_version m_version{"v1"};
    upstream_entry m_entry;
    upstream_table m_table;
    table_view m_registry;
};

} // namespace

TestSuite(upstream_start);

// Guards against streams that go on at another process under the id of an earlier one.
Test(upstream_start, an_upstream_in_doubt_takes_no_streams_that_others_have_begun)
{
    start_story story;
    cr_expect(story.takes_streams_of(story.m_version));
    doubt_start(story.row(), start + 1s);
    cr_expect(not story.takes_streams_of(story.m_version));
    // It may be sent what needs no version.
    cr_expect(has_version(story.row(), std::nullopt));

    // The registry was read after the connection broke, and before another process may
    // have registered.
    confirm_view(story.m_registry, start + 1100ms);
    confirm_starts(story.m_table, story.m_registry);
    cr_expect(not story.takes_streams_of(story.m_version));
    // A process accepts connections. Its entry is known once a later read shows it.
    record_reached(story.row(), start + 1500ms);
    confirm_starts(story.m_table, story.m_registry);
    cr_expect(not story.takes_streams_of(story.m_version));
    confirm_view(story.m_registry, start + 1700ms);
    confirm_starts(story.m_table, story.m_registry);
    cr_expect(story.takes_streams_of(story.m_version));
    // Another host tells of the same doubt late.
    doubt_start(story.row(), start + 1s);
    cr_expect(story.takes_streams_of(story.m_version));
    doubt_start(story.row(), start + 2s);
    cr_expect(not story.takes_streams_of(story.m_version));
}

Test(upstream_start, the_entry_of_another_process_ends_the_doubt)
{
    start_story story;
    doubt_start(story.row(), start + 1s);
    story.m_entry.m_started_unix_ms = 2;
    story.m_entry.m_version.m_value = "v2";
    apply_entry(story.m_table, story.m_entry, start + 2s);
    cr_expect(not story.takes_streams_of(story.m_version));
    cr_expect(story.takes_streams_of(software_version{"v2"}));
}

Test(upstream_start, a_doubt_that_is_settled_does_not_settle_later_ones)
{
    start_story story;
    doubt_start(story.row(), start + 1s);
    doubt_start(story.row(), start + 2s);
    settle_start(story.row(), start + 1s);
    cr_expect(not story.takes_streams_of(story.m_version));
    settle_start(story.row(), start + 2s);
    cr_expect(story.takes_streams_of(story.m_version));
}
