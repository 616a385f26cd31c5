#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/send_account.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

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
constexpr requests_per_s one_per_s{1};

send_account limited_account()
{
    send_account account;
    record_statement(account, one_per_s, false, start - 1s, start);
    return account;
}

bool is_limited(const send_account& account)
{
    return account.m_statement.m_limit.has_value();
}

host_report ready_host(const std::string& id)
{
    host_report report;
    report.m_node.m_value = id;
    report.m_sequence = 1;
    report.m_interval_ms = 200;
    report.m_processor = 250;
    report.m_ready = true;
    return report;
}

const pool_id sample_pool{"pool"};

/// Upstreams "a" and "b" of the pool.
upstream_table table_of_two()
{
    upstream_table table;
    for (const char* id : {"a", "b"})
    {
        upstream_entry entry;
        entry.m_id.m_value = id;
        entry.m_pool = sample_pool;
        apply_entry(table, entry, start);
    }
    return table;
}

} // namespace

TestSuite(send_account, .timeout = 200);

Test(send_account, a_limited_upstream_takes_a_request_only_with_a_permit)
{
    send_account account;
    cr_expect(decide_send(account, false, start) == send_decision::allowed);
    account = limited_account();
    cr_expect(decide_send(account, false, start) == send_decision::needs_permit);
    // A denial counts until its time is over.
    record_denial(account, 700ms, start);
    cr_expect(decide_send(account, false, start + 699ms) == send_decision::denied);
    cr_expect(decide_send(account, false, start + 700ms) == send_decision::needs_permit);
    // A permit at hand is used once, and is no longer valid after its time.
    add_permit(account, start);
    add_permit(account, start);
    cr_expect(decide_send(account, false, start) == send_decision::allowed);
    cr_expect(take_permit(account, start));
    cr_expect(not take_permit(account, start));
    add_permit(account, start);
    cr_expect(not take_permit(account, start + permit_lifetime));
}

Test(send_account, a_limit_ends_only_with_a_later_successful_response_without_it)
{
    send_account account = limited_account();
    // The request was sent before the limit was heard: its response may have overtaken.
    cr_expect(not record_statement(account, std::nullopt, true, start - 1ms, start + 1s));
    // A refusal may lack the field.
    cr_expect(not record_statement(account, std::nullopt, false, start + 1s, start + 2s));
    cr_expect(is_limited(account));
    record_denial(account, 10s, start + 2s);
    cr_expect(record_statement(account, std::nullopt, true, start + 2s, start + 3s));
    cr_expect(decide_send(account, false, start + 3s) == send_decision::allowed);
}

Test(send_account, a_raised_limit_is_asked_for_at_once_and_a_lowered_one_is_not)
{
    send_account account = limited_account();
    record_denial(account, 10s, start);
    cr_expect(record_statement(account, requests_per_s{0.5}, false, start, start + 1s));
    cr_expect(decide_send(account, false, start + 1s) == send_decision::denied);
    cr_expect(record_statement(account, requests_per_s{20}, false, start, start + 2s));
    cr_expect(decide_send(account, false, start + 2s) == send_decision::needs_permit);
}

Test(send_account, the_newest_statement_that_any_host_has_heard_counts)
{
    send_account account = limited_account();
    cr_expect(not apply_statement(account, {std::nullopt, start - 1ms, false}));
    cr_expect(is_limited(account));
    cr_expect(apply_statement(account, {std::nullopt, start + 1ms, false}));
    cr_expect(not is_limited(account));
}

Test(send_account, permits_are_issued_at_the_rate_of_the_limit)
{
    for (const double per_s : {0.3, 1.0, 10.0, 200.0})
    {
        permit_ledger ledger;
        // A host that begins to issue has none.
        cr_expect(not issue_permit(ledger, {per_s}, 1, start).m_granted);
        int granted = 0;
        constexpr int length_ms = 40'000;
        for (int at = 1; at <= length_ms; ++at)
        {
            granted +=
                issue_permit(ledger, {per_s}, 1, start + milliseconds{at}).m_granted ? 1
                                                                                     : 0;
        }
        const double expected = per_s * length_ms / 1000;
        cr_expect(granted <= expected && granted >= expected * 0.9 - 1, "%.1f: %d", per_s,
                  granted);
    }
}

Test(send_account, unused_permits_are_not_saved_for_a_burst)
{
    permit_ledger ledger;
    issue_permit(ledger, one_per_s, 1, start);
    cr_expect(issue_permit(ledger, one_per_s, 1, start + 60s).m_granted);
    const permit_decision second = issue_permit(ledger, one_per_s, 1, start + 60s);
    cr_expect(not second.m_granted);
    EXPECT_EQUAL(second.m_wait, 1000ms);
}

Test(send_account, an_upstream_that_takes_nothing_is_tried_now_and_then)
{
    permit_ledger ledger;
    const permit_decision first = issue_permit(ledger, {0}, 1, start);
    EXPECT_EQUAL(first.m_wait, 10s);
    cr_expect(issue_permit(ledger, {0}, 1, start + first.m_wait).m_granted);
}

Test(send_account, a_limit_that_is_used_up_everywhere_tells_when_to_return)
{
    upstream_table table = table_of_two();
    upstream& first = *table.m_rows.find(upstream_id{"a"});
    upstream& second = *table.m_rows.find(upstream_id{"b"});
    first.m_sends = limited_account();
    record_denial(first.m_sends, 900ms, start);
    cr_expect(not send_wait(table, sample_pool, start).has_value());
    second.m_sends = limited_account();
    record_denial(second.m_sends, 400ms, start);
    cr_expect(send_wait(table, sample_pool, start) == 400ms);
    // One that leaves takes nothing.
    second.m_entry.m_leaving = true;
    cr_expect(send_wait(table, sample_pool, start) == 900ms);
}

Test(send_account, an_upstream_that_declines_requests_is_sent_none_for_its_time)
{
    send_account account;
    record_decline(account, 2s, start);
    cr_expect(decide_send(account, false, start + 1999ms) == send_decision::denied);
    cr_expect(decide_send(account, false, start + 2s) == send_decision::allowed);
    // An earlier end does not shorten it, and no upstream declines for ever.
    record_decline(account, 24h, start);
    record_decline(account, 1s, start);
    cr_expect(is_declining(account, start + max_decline_time - 1ms));
    cr_expect(not is_declining(account, start + max_decline_time));
    // A limit does not let requests through in the meantime.
    record_statement(account, one_per_s, false, start, start);
    add_permit(account, start);
    cr_expect(decide_send(account, false, start) == send_decision::denied);
}

Test(send_account, a_pool_that_declines_as_a_whole_tells_the_first_time_to_return)
{
    upstream_table table = table_of_two();
    upstream& first = *table.m_rows.find(upstream_id{"a"});
    upstream& second = *table.m_rows.find(upstream_id{"b"});
    record_decline(first.m_sends, 3s, start);
    cr_expect(not send_wait(table, sample_pool, start).has_value());
    record_decline(second.m_sends, 1s, start);
    cr_expect(send_wait(table, sample_pool, start) == 1000ms);
    // One that says that it leaves takes nothing, whatever its entry says.
    second.m_says_leaving = true;
    cr_expect(not accepts_work(table, second));
    cr_expect(send_wait(table, sample_pool, start) == 3000ms);
    // A new process under the same id has not said so.
    upstream_entry restarted = second.m_entry;
    restarted.m_started_unix_ms = 2;
    apply_entry(table, restarted, start);
    cr_expect(accepts_work(table, *table.m_rows.find(upstream_id{"b"})));
}

Test(send_account, all_hosts_agree_on_who_issues_and_cut_off_ones_issue_their_share)
{
    const std::vector<std::string> names{"h0", "h1", "h2", "h3", "h4"};
    const auto table_of = [&names](const std::string& self)
    {
        host_table table;
        for (const std::string& name : names)
        {
            if (name != self)
            {
                apply_report(table, ready_host(name), start);
            }
        }
        return table;
    };
    const upstream_run run{7};
    const node_id issuer = permit_issuer(table_of("h0"), ready_host("h0"), run, start);
    for (const std::string& name : names)
    {
        host_table table = table_of(name);
        cr_expect(permit_issuer(table, ready_host(name), run, start) == issuer);
        EXPECT_EQUAL(permit_share(table, start), 1.0);
        // All others are silent: each host issues a fifth by itself.
        const time_point later = start + 5s;
        cr_expect(permit_issuer(table, ready_host(name), run, later).m_value == name);
        EXPECT_EQUAL(permit_share(table, later), 0.2);
    }
    // A host that stops issues nothing, and its share goes to the others.
    host_table table = table_of("h0");
    for (const char* name : {"h1", "h2", "h3", "h4"})
    {
        host_report stopping = ready_host(name);
        stopping.m_sequence = 2;
        stopping.m_stopping = true;
        apply_report(table, stopping, start);
    }
    cr_expect(permit_issuer(table, ready_host("h0"), run, start).m_value == "h0");
    EXPECT_EQUAL(permit_share(table, start + 5s), 1.0);
}
