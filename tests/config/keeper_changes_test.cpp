#include "keeper_world.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;

// Guards against a change that is lost, made twice or reported wrongly when operators
// race or answers are lost.
TestSuite(keeper_changes);

Test(keeper_changes, a_change_is_in_force_on_nine_nodes_within_three_seconds)
{
    keeper_world world{9};
    world.start_with_sample();
    const auto first = world.submit(4, weight_change("c1", "ade", "riders", 7));
    cr_expect(first.m_outcome == change_outcome::unknown);
    cr_expect(world.outcome(4, "c1") == change_outcome::accepted);
    world.run_for(3s);
    for (std::size_t at = 0; at < 9; ++at)
    {
        cr_expect_eq(world.weight(at, "riders"), 7u);
        cr_expect(world.outcome(at, "c1") == change_outcome::accepted);
    }
}

Test(keeper_changes, the_loser_of_a_race_learns_field_change_and_operator_of_the_winner)
{
    keeper_world world{2};
    world.start_with_sample();
    auto winner = weight_change("c-ade", "ade", "riders", 7);
    auto loser = weight_change("c-bola", "bola", "riders", 9);
    winner.m_base = config_version{1};
    loser.m_base = config_version{1};
    world.submit(0, winner);
    world.submit(1, loser);
    cr_expect(world.outcome(0, "c-ade") == change_outcome::accepted);
    const auto& report = world.m_nodes[1].m_settled.at("c-bola");
    cr_expect(report.m_outcome == change_outcome::refused);
    EXPECT_EQUAL(report.m_refusal.m_field, "workspaces.riders.weight");
    EXPECT_EQUAL(report.m_refusal.m_winner.m_value, "c-ade");
    EXPECT_EQUAL(report.m_refusal.m_winning_operator, "ade");
    world.run_for(3s);
    cr_expect_eq(world.weight(1, "riders"), 7u);
}

Test(keeper_changes, operators_who_touch_different_fields_both_succeed)
{
    keeper_world world{2};
    world.start_with_sample();
    auto left = weight_change("c1", "ade", "riders", 7);
    auto right = weight_change("c2", "bola", "depots", 9);
    left.m_base = config_version{1};
    right.m_base = config_version{1};
    world.submit(0, left);
    world.submit(1, right);
    world.run_for(3s);
    cr_expect_eq(world.weight(0, "riders"), 7u);
    cr_expect_eq(world.weight(0, "depots"), 9u);
}

Test(keeper_changes, a_lost_answer_is_settled_by_reading_back_and_not_written_twice)
{
    keeper_world world{1};
    world.start_with_sample();
    world.m_lost_answers = 1;
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    cr_expect(world.outcome(0, "c1") == change_outcome::unknown);
    world.run_for(1s);
    cr_expect(world.outcome(0, "c1") == change_outcome::accepted);
    cr_expect_eq(world.m_row.m_version, 2u);
}

Test(keeper_changes, a_lost_answer_is_settled_although_another_change_came_in_between)
{
    keeper_world world{2};
    world.start_with_sample();
    world.m_lost_answers = 1;
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.submit(1, weight_change("c2", "bola", "riders", 9));
    world.run_for(1s);
    cr_expect(world.outcome(0, "c1") == change_outcome::accepted);
    cr_expect(world.outcome(1, "c2") == change_outcome::accepted);
    cr_expect_eq(world.weight(0, "riders"), 9u);
}

Test(keeper_changes, a_write_that_takes_effect_late_does_not_make_the_change_twice)
{
    keeper_world world{1};
    world.start_with_sample();
    world.m_held_answers = 1;
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.run_for(1s);
    cr_expect(world.outcome(0, "c1") == change_outcome::accepted);
    world.release_held_writes();
    world.run_for(5s);
    cr_expect_eq(world.m_row.m_version, 2u);
}

Test(keeper_changes, a_change_given_up_stays_unknown_until_its_write_cannot_take_effect)
{
    keeper_world world{2};
    world.start_with_sample();
    world.m_held_answers = 1;
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.m_nodes[0].m_reaches_store = false;
    world.run_for(15s);
    cr_expect(world.outcome(0, "c1") == change_outcome::unknown);
    EXPECT_EQUAL(world.m_nodes[0].m_settled.at("c1").m_message,
                 "the table service did not confirm the write");
    world.m_nodes[0].m_reaches_store = true;
    world.run_for(5s);
    cr_expect(world.outcome(0, "c1") == change_outcome::unknown);
    world.submit(1, weight_change("c2", "bola", "riders", 9));
    world.run_for(5s);
    cr_expect(world.outcome(0, "c1") == change_outcome::refused);
}

Test(keeper_changes, a_change_given_up_is_accepted_when_its_write_takes_effect_after_all)
{
    keeper_world world{1};
    world.start_with_sample();
    world.m_held_answers = 1;
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.m_nodes[0].m_reaches_store = false;
    world.run_for(15s);
    world.release_held_writes();
    world.m_nodes[0].m_reaches_store = true;
    world.run_for(5s);
    cr_expect(world.outcome(0, "c1") == change_outcome::accepted);
    cr_expect_eq(world.weight(0, "riders"), 7u);
}

Test(keeper_changes, a_change_that_was_never_written_is_refused_when_the_service_is_down)
{
    keeper_world world{1};
    world.start_with_sample();
    world.m_nodes[0].m_reaches_store = false;
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.run_for(11s);
    cr_expect(world.outcome(0, "c1") == change_outcome::refused);
    world.m_nodes[0].m_reaches_store = true;
    world.run_for(11s);
    cr_expect_eq(world.m_row.m_version, 1u);
}

Test(keeper_changes, a_change_whose_writes_never_left_is_refused)
{
    keeper_world world{2};
    world.start_with_sample();
    world.m_refuses_writes = true;
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.run_for(60s);
    cr_expect(world.outcome(0, "c1") == change_outcome::refused);
    cr_expect(world.m_nodes[0].m_keeper.m_unsettled.empty());
    // A write of unknown effect before it keeps the outcome open.
    world.m_refuses_writes = false;
    world.m_held_answers = 1;
    world.submit(0, weight_change("c2", "ade", "riders", 8));
    world.run_for(100ms);
    world.m_refuses_writes = true;
    world.run_for(60s);
    cr_expect(world.outcome(0, "c2") == change_outcome::unknown);
}

Test(keeper_changes, a_repeated_change_id_is_made_once_whichever_node_gets_it)
{
    keeper_world world{2};
    world.start_with_sample();
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.submit(0, weight_change("c1", "ade", "riders", 7));
    world.submit(1, weight_change("c1", "ade", "riders", 7));
    world.run_for(1s);
    cr_expect(world.outcome(1, "c1") == change_outcome::accepted);
    cr_expect_eq(world.m_row.m_version, 2u);
}

Test(keeper_changes, a_first_sheet_starts_a_system_without_configuration)
{
    keeper_world world{2};
    world.run_for(1s);
    cr_expect(
        world.submit(0, state_change("c1", "ade", "ibadan-1", data_centre_state::out))
            .m_outcome == change_outcome::refused);
    replace_by_sheet sheet;
    sheet.m_sheet.m_config = sample_configuration();
    sheet.m_sheet.m_config.m_demands[0].m_wanted_per_s = 1000;
    sheet.m_sheet.m_demand_rows = {12, 13};
    sheet.m_sheet.m_named_states = {{"ibadan-2"}};
    sheet.m_sheet.m_config.m_data_centres[1].m_state = data_centre_state::out;
    world.submit(0, {{"sheet-1"}, "ade", std::nullopt, sheet, {}});
    world.run_for(3s);
    const auto& report = world.m_nodes[0].m_settled.at("sheet-1");
    cr_expect(report.m_outcome == change_outcome::accepted);
    cr_assert_eq(report.m_shortfalls.size(), 1u);
    cr_expect_eq(report.m_shortfalls[0].m_row, 12u);
    cr_expect(is_ready(world.m_nodes[1].m_keeper));
    cr_expect(world.state(1, "ibadan-2") == data_centre_state::out);
}
