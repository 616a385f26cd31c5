#include "stream_fleet.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

origin_reply reply_of(origin_finding finding, const std::string& version)
{
    origin_reply reply;
    reply.m_finding = finding;
    reply.m_version = version;
    reply.m_view_age_ms = 0;
    return reply;
}

} // namespace

TestSuite(stream_origins, .timeout = 200);

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

// Guards against streams that are joined of two versions, or that nobody can take up,
// once all hosts have lost what they knew.
Test(stream_origins, streams_of_random_fleets_stay_with_their_version_over_power_losses)
{
    fleet_counts all;
    constexpr std::uint32_t seeds = 200;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        const fleet_counts counts = fleet{seed, fleet_fate::power_losses}.run();
        cr_expect(counts.m_joined == 0, "seed %u: %d streams joined", seed,
                  counts.m_joined);
        all.m_joined += counts.m_joined;
        all.m_begun += counts.m_begun;
        all.m_not_begun += counts.m_not_begun;
        all.m_taken_up += counts.m_taken_up;
        all.m_went_on += counts.m_went_on;
        all.m_power_losses += counts.m_power_losses;
        all.m_version_writes += counts.m_version_writes;
        all.m_stream_writes += counts.m_stream_writes;
    }
    const double begun =
        static_cast<double>(all.m_begun) / (all.m_begun + all.m_not_begun);
    const double went_on = static_cast<double>(all.m_went_on) / all.m_taken_up;
    cr_log_info(
        "%d power losses, %d joined, new streams begun %.3f, taken up %.3f of %d, "
        "%d writes of versions, %d of streams",
        all.m_power_losses, all.m_joined, begun, went_on, all.m_taken_up,
        all.m_version_writes, all.m_stream_writes);
    cr_expect(all.m_power_losses >= 400);
    cr_expect(went_on >= begun / 2, "%.3f of %.3f", went_on, begun);
}

// Guards against a host that is out of step during a release: it is cut off or stands
// still, and takes streams up at the only version that it knows.
Test(stream_origins, streams_stay_with_their_version_at_hosts_that_are_out_of_step)
{
    fleet_counts all;
    int seeds_with_joined = 0;
    constexpr std::uint32_t seeds = 200;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        const fleet_counts counts = fleet{seed, fleet_fate::cut_offs}.run();
        seeds_with_joined += counts.m_joined > 0 ? 1 : 0;
        all.m_joined += counts.m_joined;
        all.m_begun += counts.m_begun;
        all.m_not_begun += counts.m_not_begun;
        all.m_taken_up += counts.m_taken_up;
        all.m_went_on += counts.m_went_on;
    }
    const double begun =
        static_cast<double>(all.m_begun) / (all.m_begun + all.m_not_begun);
    const double went_on = static_cast<double>(all.m_went_on) / all.m_taken_up;
    cr_log_info("new streams begun %.3f, taken up %.3f of %d", begun, went_on,
                all.m_taken_up);
    cr_expect(all.m_joined == 0, "%d streams joined in %d seeds", all.m_joined,
              seeds_with_joined);
    cr_expect(went_on >= begun / 2, "%.3f of %.3f", went_on, begun);
}

// Guards against a second version that is forgotten because all hosts have restarted.
Test(stream_origins, the_store_tells_what_hosts_had_seen_before_they_started)
{
    stream_origins origins;
    table_view view;
    const stream_key stream = key_of_stream(attempt_id{"a"});
    observe(origins, view, table_of({entry_of("u2", "v2")}), start);
    cr_expect(not decide_origin(origins, view, stream, sample_pool, {}, start).m_version);
    // Two versions can have begun streams.
    std::map<pool_id, stored_versions> stored;
    stored[sample_pool] = {
        {software_version{"v1"}, software_version{"v2"}}, store_version{5}, start};
    EXPECT_EQUAL(apply_stored_versions(origins, stored, start).size(), 1U);
    cr_expect(not decide_origin(origins, view, stream, sample_pool, {}, start).m_version);
    cr_expect(versions_to_store(origins, sample_pool, stored[sample_pool]) ==
              stored[sample_pool].m_versions);
    // A stream that the store holds is known all the same.
    apply_stored_stream(origins, {stream, software_version{"v1"}}, start);
    const auto known = decide_origin(origins, view, stream, sample_pool, {}, start);
    EXPECT_EQUAL(known.m_version->m_value, "v1");
    cr_expect(known.m_source == origin_source::stored_record);
    cr_expect(unsaved_streams(origins, 10).empty());
    // Once no stream of the first version can be taken up any more, the row is corrected.
    const time_point later = start + min_stream_lifetime + 1s;
    observe(origins, view, table_of({entry_of("u2", "v2")}), later);
    const std::set<software_version> last{software_version{"v2"}};
    cr_expect(versions_to_store(origins, sample_pool, stored[sample_pool]) == last);
    const stream_key other = key_of_stream(attempt_id{"b"});
    cr_expect(decide_origin(origins, view, other, sample_pool, {}, later).m_source ==
              origin_source::only_version);
}

// Guards against rows that two hosts write in turn because one forgets a version sooner.
Test(stream_origins, a_version_that_another_host_has_removed_is_added_only_if_it_is_back)
{
    stream_origins origins;
    table_view view;
    observe(origins, view, table_of({entry_of("u1", "v1"), entry_of("u2", "v2")}), start);
    const std::set<software_version> both{software_version{"v1"}, software_version{"v2"}};
    const std::set<software_version> last{software_version{"v2"}};
    // Nothing is stored yet.
    cr_expect(versions_to_store(origins, sample_pool, {}) == both);
    // Another host has removed the first version from the row.
    const stored_versions row{last, store_version{7}, start + 10s};
    observe(origins, view, table_of({entry_of("u2", "v2")}), start + 11s);
    cr_expect(versions_to_store(origins, sample_pool, row) == last);
    observe(origins, view, table_of({entry_of("u1", "v1"), entry_of("u2", "v2")}),
            start + 12s);
    cr_expect(versions_to_store(origins, sample_pool, row) == both);
}

// Guards against a fleet whose hosts all write the same rows.
Test(stream_origins, one_of_the_hosts_that_read_the_store_writes)
{
    host_table table;
    host_report own = report_of(4, 1);
    cr_expect(not writes_stored_origins(table, own, start));
    own.m_store_access = store_access::reading;
    cr_expect(writes_stored_origins(table, own, start));
    host_report other = report_of(2, 1);
    apply_report(table, other, start);
    cr_expect(writes_stored_origins(table, own, start));
    other.m_store_access = store_access::reading;
    other.m_sequence = 1;
    apply_report(table, other, start);
    cr_expect(not writes_stored_origins(table, own, start));
    // It is down.
    cr_expect(writes_stored_origins(table, own, start + 10s));
}

Test(stream_origins, the_version_is_known_from_records_or_because_there_is_no_other)
{
    stream_origins origins;
    table_view view;
    const stream_key stream = key_of_stream(attempt_id{"a"});
    const auto decide = [&](time_point at, const std::vector<origin_reply>& replies = {})
    {
        return decide_origin(origins, view, stream, sample_pool,
                             {replies.size(), at, replies}, at);
    };
    // Without any entry of the registry.
    cr_expect(decide(start).m_source == origin_source::unknown);
    // One version, seen for a short time by this host, and for a long one by another.
    const auto one = table_of({entry_of("u1", "v1")});
    observe(origins, view, one, start);
    cr_expect(decide(start).m_source == origin_source::unknown);
    cr_expect(not decide(start).m_version);
    cr_expect(decide(start, {reply_of(origin_finding::only_version, "v1")}).m_source ==
              origin_source::only_version);
    cr_expect(
        not decide(start, {reply_of(origin_finding::only_version, "v2")}).m_version);
    cr_expect(
        not decide(start, {reply_of(origin_finding::several_versions, "")}).m_version);
    observe(origins, view, one, start + min_stream_lifetime);
    cr_expect(decide(start + min_stream_lifetime).m_source ==
              origin_source::only_version);
    // A second version: only a record tells.
    const auto two = table_of({entry_of("u1", "v1"), entry_of("u2", "v2")});
    const time_point later = start + 2 * min_stream_lifetime;
    observe(origins, view, one, later);
    EXPECT_EQUAL(observe(origins, view, two, later).size(), 1U);
    EXPECT_EQUAL(observe(origins, view, two, later).size(), 0U);
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
    observe(origins, view, last, later + min_stream_lifetime);
    cr_expect(has_several_versions(origins, sample_pool));
    observe(origins, view, last, later + min_stream_lifetime + 1s);
    cr_expect(not has_several_versions(origins, sample_pool));
    // By then, the stream has been forgotten.
    cr_expect(origins.m_streams.empty());
}

// Guards against callers who return again and again for a stream that nobody knows.
Test(stream_origins,
     a_stream_is_given_up_once_all_hosts_have_said_that_they_do_not_know_it)
{
    stream_origins origins;
    table_view view;
    const auto two = table_of({entry_of("u1", "v1"), entry_of("u2", "v2")});
    observe(origins, view, two, start);
    const stream_key stream = key_of_stream(attempt_id{"a"});
    const auto several = reply_of(origin_finding::several_versions, "");
    const auto decide = [&](std::size_t answers, time_point at)
    {
        confirm_view(view, at);
        const std::vector<origin_reply> replies(answers, several);
        return decide_origin(origins, view, stream, sample_pool, {3, at, replies}, at);
    };
    // The hosts may still read what the store holds.
    cr_expect(not decide(3, start).m_is_final);
    const time_point later = start + stored_origins_read_time;
    // An answer is missing.
    cr_expect(not decide(2, later).m_is_final);
    cr_expect(decide(3, later).m_is_final);
    cr_expect(not decide(3, later).m_version);
}

// Guards against conclusions from rows that a host merely holds. It may be cut off or
// have stood still, and another version have joined meanwhile.
Test(stream_origins, an_old_view_does_not_show_that_there_is_no_other_version)
{
    stream_origins origins;
    table_view view;
    const stream_key stream = key_of_stream(attempt_id{"a"});
    const auto one = table_of({entry_of("u1", "v1")});
    observe(origins, view, one, start);
    const time_point known = start + min_stream_lifetime;
    observe(origins, view, one, known);
    const auto decide = [&](const origin_answers& answers, time_point at)
    {
        return decide_origin(origins, view, stream, sample_pool, answers, at).m_source;
    };

    // The host knows no other one, and its view is current.
    cr_expect(decide({}, known) == origin_source::only_version);
    // It knows others that do not reply: it may have been cut off just now.
    cr_expect(decide({3, known, {}}, known) == origin_source::unknown);
    origin_reply aware = reply_of(origin_finding::unknown, "");
    aware.m_view_age_ms = no_view_age;
    cr_expect(decide({3, known, {aware}}, known) == origin_source::only_version);

    // Its view gets old, though it goes on holding the row.
    const time_point late = known + max_conclusive_age + 1ms;
    observe_versions(origins, one, late);
    cr_expect(decide({}, late) == origin_source::unknown);
    cr_expect(decide({3, late, {aware}}, late) == origin_source::unknown);
    cr_expect(answer_origin_request(origins, view, {1, 1, "engines"}, late).m_finding ==
              origin_finding::unknown);
    // The reply of a host with a current view tells.
    const origin_reply current = reply_of(origin_finding::only_version, "v1");
    cr_expect(decide({3, late, {current}}, late) == origin_source::only_version);
    // One that was asked before this host stood still does not.
    cr_expect(decide({3, late - 5s, {current}}, late) == origin_source::unknown);
    // Neither does a host that is out of step itself.
    origin_reply stale = current;
    stale.m_view_age_ms = 5000;
    cr_expect(decide({3, late, {stale}}, late) == origin_source::unknown);

    // Back in touch, it may have missed a version that came and went.
    const time_point back = known + 10s;
    confirm_view(view, back);
    observe_versions(origins, one, back);
    cr_expect(decide({}, back) == origin_source::unknown);
    // What the store holds fills the gap.
    apply_stored_versions(origins, {}, back + 50ms);
    cr_expect(decide({}, back + 50ms) == origin_source::only_version);
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
    // Hosts that read the store are told as well, once each.
    for (std::size_t host = 0; host < 3; ++host)
    {
        host_report report = report_of(host, 2);
        report.m_store_access = store_access::reading;
        apply_report(table, report, start);
    }
    for (std::uint64_t stream = 0; stream < 50; ++stream)
    {
        auto hosts = origin_hosts(table, stream_key{stream}, start);
        for (std::size_t host = 0; host < 3; ++host)
        {
            EXPECT_EQUAL(std::count(hosts.begin(), hosts.end(), address_of(host)), 1);
        }
        cr_expect(hosts.size() <= origin_holders + 3);
    }
}

Test(stream_origins, a_host_keeps_a_bounded_number_of_streams)
{
    stream_origins origins;
    table_view view;
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
    table_view view;
    routing_config config;
    config.m_routes.resize(2);
    config.m_routes[0].m_timeout = 20s;
    config.m_routes[1].m_timeout = 120s;
    extend_lifetime(origins, config);
    observe(origins, view, table_of({entry_of("u1", "v1")}), start);
    const stream_key stream = key_of_stream(attempt_id{"a"});
    known_origin origin;
    origin.m_version.m_value = "v1";
    origin.m_began_at = start;
    record_origin(origins, stream, origin);
    // The version leaves for another one.
    const auto later = table_of({entry_of("u2", "v2")});
    observe(origins, view, later, start + 1s);
    const time_point late = start + 120s;
    observe(origins, view, later, late);
    EXPECT_EQUAL(
        decide_origin(origins, view, stream, sample_pool, {}, late).m_version->m_value,
        "v1");
    // A stream without a record may have begun at either.
    const stream_key other = key_of_stream(attempt_id{"b"});
    cr_expect(not decide_origin(origins, view, other, sample_pool, {}, late).m_version);
    // A configuration with shorter routes does not shorten what has begun.
    config.m_routes[1].m_timeout = 5s;
    extend_lifetime(origins, config);
    cr_expect(origins.m_lifetime == 120s + take_up_margin);
}
