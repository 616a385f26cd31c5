#include "keeper_world.hpp"

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/config/admin_api.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

// Guards against an operator's request that is read wrongly, or refused without the
// field that is at fault.
TestSuite(admin_api);

namespace
{

std::string faults_of(const result<config_change, document_faults>& decoded)
{
    return is_ok(decoded) ? "" : to_text(error_of(decoded));
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(admin_api, a_change_of_a_workspace_is_read)
{
    const auto decoded = decode_change_request(
        R"({"change_id":"c1","operator":"ade","base_version":4,"kind":"workspace",
            "workspace":"riders","weight":3})");
    cr_assert(is_ok(decoded), "%s", faults_of(decoded).c_str());
    const config_change& change = value_of(decoded);
    cr_expect(change.m_base == config_version{4});
    const auto& body = std::get<set_workspace>(change.m_body);
    cr_expect(body.m_weight == 3u && not body.m_priority);
}

Test(admin_api, faults_name_the_field)
{
    const auto change = faults_of(decode_change_request(
        R"({"operator":"a b","kind":"pool","pool":"llm","warm_limit":0,"wieght":1})"));
    cr_expect(contains(change, "change_id: is missing"));
    cr_expect(contains(change, "operator: must be"));
    cr_expect(contains(change, "warm_limit: must be a whole number from 1"));
    cr_expect(contains(change, "wieght: is not a known key"));
    const auto sheet = faults_of(decode_sheet_request(
        R"({"change_id":"c1","operator":"ade","sheet":"kind,name\npol,x\n"})"));
    cr_expect(contains(sheet, "row 2, column \"kind\": must be one of"));
    const auto state =
        faults_of(decode_state_request("ibadan-1", "off", R"({"change_id":"c1"})"));
    cr_expect(contains(state, "state: must be one of \"in\", \"out\""));
    cr_expect(contains(state, "operator: is missing"));
}

Test(admin_api, a_host_is_declared_gone_only_with_a_possible_incarnation)
{
    const std::string body = R"({"operator":"ade"})";
    const auto decoded = decode_forget_request("entry-3", "7", incarnation{7}, body);
    cr_assert(is_ok(decoded));
    cr_expect(value_of(decoded).m_node == node_id{"entry-3"});
    cr_expect(value_of(decoded).m_incarnation == incarnation{7});
    // An incarnation that does not exist yet would declare the next process gone as well.
    for (const std::string number : {"8", "0", "", "7x", "-1", "99999999999999999999"})
    {
        const auto wrong = decode_forget_request("entry-3", number, incarnation{7}, body);
        cr_assert(not is_ok(wrong), "%s", number.c_str());
        cr_expect(contains(to_text(error_of(wrong)), "incarnation: must be a whole"));
    }
    const auto empty = decode_forget_request("a/b", "7", incarnation{7}, "{}");
    cr_assert(not is_ok(empty));
    cr_expect(contains(to_text(error_of(empty)), "node: must be"));
    cr_expect(contains(to_text(error_of(empty)), "operator: is missing"));
}

Test(admin_api, an_error_has_every_documented_field)
{
    const std::string text =
        encode_fault_answer({document_fault{"path", "unknown"}}, "not_found");
    EXPECT_EQUAL(text,
                 R"({"error":{"code":"not_found","field":"path","message":"unknown",)"
                 R"("ran":"not_run","retry_after_ms":0,)"
                 R"("faults":[{"field":"path","message":"unknown"}]}})");
}

Test(admin_api, a_report_tells_the_winner_of_a_race)
{
    change_report report;
    report.m_id = {"c1"};
    report.m_outcome = change_outcome::refused;
    report.m_refusal = {"workspaces.riders.weight", "changed", {"c2"}, "bola"};
    cr_expect_eq(status_of(report), 409u);
    const std::string text = encode_change_report(report);
    cr_expect(contains(text, R"("winner":{"change_id":"c2","operator":"bola"})"));
    cr_expect(contains(text, R"("field":"workspaces.riders.weight")"));
}

Test(admin_api, random_and_truncated_bytes_are_refused_without_a_crash)
{
    const std::string text =
        R"({"change_id":"c1","operator":"ade","kind":"data_centre","data_centre":"a",)"
        R"("state":"out"})";
    cr_expect(is_ok(decode_change_request(text)));
    for (std::size_t length = 0; length < text.size(); ++length)
    {
        cr_expect(not is_ok(decode_change_request(text.substr(0, length))));
    }
    random_source random{20261204};
    for (int i = 0; i < 3000; ++i)
    {
        std::string damaged = text;
        const auto size = static_cast<std::uint32_t>(damaged.size());
        damaged[uniform_below(random, size)] = static_cast<char>(random());
        (void)decode_change_request(damaged);
        (void)decode_sheet_request(damaged);
        (void)decode_state_request("a", "in", damaged);
    }
}
