#include "support.hpp"
#include "testing.hpp"

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against a claim that is deleted before its retention has ended, after which a
// repeated request would run the stage again, and against claims that are never deleted.
TestSuite(claim_sweep);

namespace
{

constexpr std::int64_t arrival = 1'800'000'000;
const std::vector<live_process> live{{{"a"}, {1}}};

claim_row make_row(claim_state state, seconds retention)
{
    claim_row row;
    row.m_attempt = {"a.1.1"};
    row.m_holder = {"a"};
    row.m_incarnation = {1};
    row.m_state = state;
    row.m_created_unix_s = arrival;
    row.m_retention_s = retention.count();
    return row;
}

std::size_t count_expired(const claim_row& row, seconds age,
                          const std::vector<live_process>& live_now)
{
    const std::vector<table_row> rows{{"claim/w/k/0", 1, to_json_text(row)}};
    return list_expired(rows, live_now, arrival + age.count()).size();
}

} // namespace

Test(claim_sweep, claims_are_listed_when_their_retention_has_ended_and_not_before)
{
    for (const auto retention : {supplied_key_retention, derived_key_retention})
    {
        for (const auto state : {claim_state::done, claim_state::in_doubt,
                                 claim_state::withdrawn, claim_state::running})
        {
            // A running claim of a process that is not live is in doubt.
            const auto row = make_row(state, retention);
            EXPECT_EQUAL(count_expired(row, retention - 1s, {}), 0U);
            EXPECT_EQUAL(count_expired(row, retention, {}), 1U);
        }
    }
}

Test(claim_sweep, a_running_claim_of_a_live_process_is_never_listed)
{
    const auto running = make_row(claim_state::running, derived_key_retention);
    EXPECT_EQUAL(count_expired(running, derived_key_retention * 3, live), 0U);
    const std::vector<live_process> restarted{{{"a"}, {2}}};
    EXPECT_EQUAL(count_expired(running, derived_key_retention, restarted), 1U);
    const std::vector<table_row> unreadable{{"claim/w/k/0", 1, "{"}};
    cr_expect(list_expired(unreadable, live, arrival * 2).empty());
}

Test(claim_sweep, a_claim_carries_the_arrival_time_of_its_request)
{
    fixture world;
    auto request = world.request(1, "order");
    request.m_received_unix_s = arrival;
    start_request(world.m_state, request, world.m_now, world.m_actions);
    world.serve_table();
    world.answer(world.only_call(), "found");
    world.serve_table();
    EXPECT_EQUAL(world.only_claim().m_created_unix_s, arrival);
    EXPECT_EQUAL(world.only_claim().m_retention_s, supplied_key_retention.count());
}
