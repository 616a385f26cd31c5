#include "send_permits.hpp"

#include "upstream_notices.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

/// Time for the answer of another host, which takes 3 ms when it is healthy.
constexpr milliseconds ask_timeout{80};

/// Time without further questions about an upstream after one that was not answered, or
/// whose host does not issue the upstream's permits in its own view.
constexpr milliseconds unanswered_wait{200};

} // namespace

send_permits::send_permits(edge_state& state, datagram_sender send)
    : m_state{state}, m_send{std::move(send)}
{
}

void send_permits::ask(const upstream_id& upstream, completion done)
{
    upstream_table& upstreams = m_state.m_upstreams;
    auto* row = upstreams.m_rows.find(upstream);
    if (row == nullptr || !row->m_sends.m_statement.m_limit)
    {
        done(row != nullptr);
        return;
    }
    const node_id issuer =
        permit_issuer(m_state.m_hosts, m_state.m_own_report, row->m_run, now());
    if (issuer == m_state.m_own_report.m_node)
    {
        const permit_decision decision = issue(*row);
        record(upstream, decision);
        done(decision.m_granted);
        return;
    }
    const std::uint64_t number = m_state.m_numbers.next();
    question& asked = m_questions[number];
    asked.m_upstream = upstream;
    asked.m_done = std::move(done);
    asked.m_timeout = m_state.m_timers.after(ask_timeout,
                                             [this, number](time_point)
                                             {
                                                 finish(number, {false, unanswered_wait});
                                             });
    const limit_statement& statement = row->m_sends.m_statement;
    m_send(m_state.m_hosts.m_hosts.at(issuer).m_report.m_peer,
           permit_request{number, to_notice(row->m_run, statement, now())});
}

void send_permits::ask_ahead(const upstream_id& upstream,
                             std::function<void()> on_granted)
{
    if (!m_ahead.insert(upstream).second)
    {
        return;
    }
    ask(upstream,
        [this, upstream, granted_call = std::move(on_granted)](bool granted)
        {
            m_ahead.erase(upstream);
            auto* row = m_state.m_upstreams.m_rows.find(upstream);
            if (granted && row != nullptr)
            {
                add_permit(row->m_sends, now());
                granted_call();
            }
        });
}

permit_decision send_permits::issue(upstream& row)
{
    const auto& limit = row.m_sends.m_statement.m_limit;
    if (!limit)
    {
        return {true, milliseconds{0}};
    }
    const time_point at = now();
    return issue_permit(row.m_issued, *limit, permit_share(m_state.m_hosts, at), at);
}

void send_permits::on_request(const permit_request& request, const node_address& from)
{
    apply_limit_notice(m_state, request.m_limit);
    const upstream_run run{request.m_limit.m_upstream};
    permit_decision decision{false, unanswered_wait};
    auto* row = find_run(m_state.m_upstreams, run);
    const bool issues_here =
        row != nullptr && permit_issuer(m_state.m_hosts, m_state.m_own_report, run,
                                        now()) == m_state.m_own_report.m_node;
    if (issues_here)
    {
        decision = issue(*row);
    }
    m_send(from, permit_reply{request.m_number, decision.m_granted,
                              static_cast<std::uint32_t>(decision.m_wait.count())});
}

void send_permits::on_reply(const permit_reply& reply)
{
    finish(reply.m_number, {reply.m_granted, milliseconds{reply.m_wait_ms}});
}

void send_permits::finish(std::uint64_t number, const permit_decision& decision)
{
    const auto at = m_questions.find(number);
    if (at == m_questions.end())
    {
        return;
    }
    const question ended = std::move(at->second);
    m_questions.erase(at);
    m_state.m_timers.cancel(ended.m_timeout);
    record(ended.m_upstream, decision);
    ended.m_done(decision.m_granted);
}

void send_permits::record(const upstream_id& upstream, const permit_decision& decision)
{
    m_state.m_metrics.add("permits",
                          {{"result", decision.m_granted ? "granted" : "denied"}});
    auto* row = m_state.m_upstreams.m_rows.find(upstream);
    if (row != nullptr && !decision.m_granted)
    {
        record_denial(row->m_sends, decision.m_wait, now());
    }
}

} // namespace geraniumdoor::edge
