#include "origin_exchange.hpp"

#include <geraniumdoor/base/log.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor::edge
{

using namespace geraniumdoor::serving;

namespace
{

/// Time for the answers of other hosts, which take 3 ms when they are healthy.
constexpr milliseconds ask_timeout{80};

stream_origin to_message(stream_key stream, const known_origin& origin, time_point now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - origin.m_began_at);
    return {stream.m_value, origin.m_version.m_value,
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()))};
}

} // namespace

origin_exchange::origin_exchange(edge_state& state, datagram_sender send)
    : m_state{state}, m_send{std::move(send)}
{
}

void origin_exchange::record(known_origin origin, stream_key stream)
{
    origin.m_began_here = true;
    record_origin(m_state.m_stream_origins, stream, origin);
    const time_point at = now();
    for (const node_address& host : origin_hosts(m_state.m_hosts, stream, at))
    {
        m_send(host, origin_report{{to_message(stream, origin, at)}});
    }
}

void origin_exchange::ask(stream_key stream, const pool_id& pool, completion done)
{
    const time_point at = now();
    const auto& origins = m_state.m_stream_origins;
    const auto hosts = origin_hosts(m_state.m_hosts, stream, at);
    if (origins.m_streams.contains(stream) || hosts.empty())
    {
        done(decide_origin(origins, m_state.m_registry_view, stream, pool, {0, at, {}},
                           at));
        return;
    }
    const std::uint64_t number = m_state.m_numbers.next();
    question& asked = m_questions[number];
    asked.m_stream = stream;
    asked.m_pool = pool;
    asked.m_done = std::move(done);
    asked.m_answers.m_asked = hosts.size();
    asked.m_answers.m_asked_at = at;
    asked.m_timeout = m_state.m_timers.after(ask_timeout,
                                             [this, number](time_point)
                                             {
                                                 finish(number);
                                             });
    for (const node_address& host : hosts)
    {
        m_send(host, origin_request{number, stream.m_value, pool.m_value});
    }
}

void origin_exchange::observe_upstreams()
{
    for (const pool_id& pool :
         observe_versions(m_state.m_stream_origins, m_state.m_upstreams, now()))
    {
        log_event{"versions_differ"}.add("pool", pool);
        tell_hosts_of_streams(pool);
    }
}

void origin_exchange::tell_hosts_of_streams(const pool_id& pool)
{
    const time_point at = now();
    std::map<node_address, origin_report> reports;
    for (const auto& [stream, origin] : m_state.m_stream_origins.m_streams)
    {
        if (!origin.m_began_here || origin.m_pool != pool)
        {
            continue;
        }
        for (const node_address& host : origin_hosts(m_state.m_hosts, stream, at))
        {
            origin_report& report = reports[host];
            report.m_streams.push_back(to_message(stream, origin, at));
            if (report.m_streams.size() == max_reported_origins)
            {
                m_send(host, report);
                report.m_streams.clear();
            }
        }
    }
    for (const auto& [host, report] : reports)
    {
        if (!report.m_streams.empty())
        {
            m_send(host, report);
        }
    }
}

void origin_exchange::on_report(const origin_report& report)
{
    for (const stream_origin& told : report.m_streams)
    {
        known_origin origin;
        origin.m_version.m_value = told.m_version;
        origin.m_began_at = now() - milliseconds{told.m_age_ms};
        record_origin(m_state.m_stream_origins, stream_key{told.m_stream}, origin);
    }
}

void origin_exchange::on_request(const origin_request& request, const node_address& from)
{
    m_send(from, answer_origin_request(m_state.m_stream_origins, m_state.m_registry_view,
                                       request, now()));
}

void origin_exchange::on_reply(const origin_reply& reply)
{
    const auto at = m_questions.find(reply.m_number);
    if (at == m_questions.end())
    {
        return;
    }
    origin_answers& answers = at->second.m_answers;
    answers.m_replies.push_back(reply);
    if (reply.m_finding == origin_finding::recorded ||
        answers.m_replies.size() >= answers.m_asked)
    {
        finish(reply.m_number);
    }
}

void origin_exchange::finish(std::uint64_t number)
{
    const auto at = m_questions.find(number);
    if (at == m_questions.end())
    {
        return;
    }
    const question ended = std::move(at->second);
    m_questions.erase(at);
    m_state.m_timers.cancel(ended.m_timeout);
    origin_decision decision =
        decide_origin(m_state.m_stream_origins, m_state.m_registry_view, ended.m_stream,
                      ended.m_pool, ended.m_answers, now());
    decision.m_replies = ended.m_answers.m_replies.size();
    ended.m_done(std::move(decision));
}

} // namespace geraniumdoor::edge
