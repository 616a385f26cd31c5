#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/config/configuration_document.hpp>
#include <geraniumdoor/config/plan.hpp>
#include <geraniumdoor/config/sheet.hpp>

#include <fstream>
#include <sstream>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

// Guards against a sheet that is taken in part, a fault that cannot be found in the
// sheet, and columns that are mixed up.
TestSuite(sheet);

namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string faults_of(std::string_view text)
{
    const auto sheet = parse_sheet(text);
    return is_ok(sheet) ? "" : to_text(error_of(sheet));
}

void expect_fault(std::string_view text, const std::string& part)
{
    const std::string faults = faults_of(text);
    cr_expect(faults.find(part) != std::string::npos, "no \"%s\" in: %s", part.c_str(),
              faults.c_str());
}

} // namespace

Test(sheet, both_sample_sheets_are_accepted_and_only_the_print_sheet_asks_for_too_much)
{
    auto farm = parse_sheet(read_file("examples/farm/sheet.csv"));
    cr_assert(is_ok(farm), "%s", to_text(error_of(farm)).c_str());
    cr_expect_eq(value_of(farm).m_config.m_workspaces.size(), 5u);
    cr_expect(fit_plan(value_of(farm).m_config).empty());
    auto print = parse_sheet(read_file("examples/print/sheet.csv"));
    cr_assert(is_ok(print), "%s", to_text(error_of(print)).c_str());
    cr_expect_eq(value_of(print).m_config.m_workspaces.size(), 5u);
    const auto shortfalls = fit_plan(value_of(print).m_config);
    cr_assert_eq(shortfalls.size(), 3u);
    cr_expect_eq(value_of(print).m_demand_rows[shortfalls[0].m_demand], 28u);
    EXPECT_EQUAL(shortfalls[0].m_pool.m_value, "llm");
}

Test(sheet, a_renewal_debits_once_and_must_then_be_posted)
{
    const auto farm = parse_sheet(read_file("examples/farm/sheet.csv"));
    cr_assert(is_ok(farm));
    const auto* renewal = find_pipeline(value_of(farm).m_config, {"renewal"});
    cr_assert(renewal != nullptr);
    const stage_config debit{"debit", {"payments"}, "debit", false};
    const stage_config post{"post", {"ledger"}, "post", true, stage_index{0}};
    const std::vector<stage_config> expected{debit, post};
    EXPECT_EQUAL(renewal->m_stages, expected);
}

Test(sheet, columns_may_come_in_any_order_with_quotes_line_ends_and_byte_order_mark)
{
    const auto sheet = parse_sheet("\xef\xbb\xbfstate,region,kind,name\r\n\r\n"
                                   "out,\"ibadan\", data_centre ,ibadan-1\r\n,,,\r\n"
                                   ",ibadan,data_centre,ibadan-2");
    cr_assert(is_ok(sheet), "%s", to_text(error_of(sheet)).c_str());
    const auto& centres = value_of(sheet).m_config.m_data_centres;
    cr_assert_eq(centres.size(), 2u);
    cr_expect(centres[0].m_state == data_centre_state::out);
    cr_expect_eq(value_of(sheet).m_named_states.size(), 1u);
}

Test(sheet, every_fault_is_reported_with_row_and_column)
{
    const std::string_view text =
        "kind,name,region,workers,priority,weight,stages,deadline_ms,colour\n"
        "data_centre,ibadan 1,ibadan,,,,,,\n"
        "\n"
        "workspace,riders,ibadan,,ten,0,,,\n"
        "pipeline,ask,,,,,generate llm,3000,\n"
        "pol,llm,,,,,,,\n";
    expect_fault(text, "row 1, column \"colour\": is not a known column");
    expect_fault(text, "row 2, column \"name\": must be 1 to 64 letters");
    expect_fault(text, "row 4, column \"priority\": must be a whole number from 0 to 9");
    expect_fault(text, "row 4, column \"weight\": must be a whole number from 1 to 1000");
    expect_fault(text, "row 4, column \"region\": must be empty in a row of kind works");
    expect_fault(text, "row 5, column \"stages\": stage 1 must be \"NAME POOL/OPERATION");
    expect_fault(text, "row 6, column \"kind\": must be one of data_centre, pool");
}

Test(sheet, faults_between_rows_name_the_row_that_refers)
{
    const std::string_view text =
        "kind,name,region,stages,deadline_ms,workspace,pipeline,wanted_per_s,priority,"
        "weight\n"
        "data_centre,ibadan-1,ibadan\n"
        "pipeline,ask,,generate lmm/generate,3000\n"
        "workspace,riders,,,,,,,1,1\n"
        "workspace,riders,,,,,,,1,1\n"
        "demand,,,,,rider,ask,5\n";
    expect_fault(text, "row 3, column \"stages\": names no pool");
    expect_fault(text, "row 5, column \"name\": repeats the id \"riders\"");
    expect_fault(text, "row 6, column \"workspace\": names no workspace");
}

Test(sheet, malformed_quotes_and_sizes_are_refused)
{
    expect_fault("kind,name\ndata_centre,\"ibadan", "row 2: cell 2 has a quote");
    expect_fault("kind,name\ndata_centre,ib\"adan", "row 2: cell 2 has a quote");
    expect_fault("kind\ndata_centre,ibadan", "row 2: cell 2 has no column name");
    expect_fault("kind,kind\n", "row 1, column \"kind\": appears twice");
    expect_fault("name\n", "row 1, column \"kind\": is missing");
    expect_fault("", "the sheet must have a header");
    expect_fault(std::string(max_sheet_bytes + 1, 'x'), "the sheet has 1048577 bytes");
    expect_fault(std::string(5000, 'x'), "row 1: cell 1 has more than 4096 bytes");
}

Test(sheet, random_and_truncated_bytes_never_give_an_unsound_configuration)
{
    const std::string text = read_file("examples/print/sheet.csv");
    random_source random{20261204};
    const auto size = static_cast<std::uint32_t>(text.size());
    for (int i = 0; i < 2000; ++i)
    {
        std::string damaged = text.substr(0, uniform_below(random, size));
        damaged += static_cast<char>(random());
        damaged += text.substr(uniform_below(random, size));
        const auto sheet = parse_sheet(damaged);
        cr_expect(not is_ok(sheet) ||
                  check_configuration(value_of(sheet).m_config).empty());
    }
}
