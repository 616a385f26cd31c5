#include "planned_silence.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Number of the event before or inside which streams fall silent.
constexpr int silent_event = 3;

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

silent_run::silent_run(const asio::any_io_executor& executor, http_exchange& exchange,
                       silence_ledger& ledger, const std::string& upstream)
{
    const std::string id{find_field(exchange.request().m_fields, "Attempt-Id")};
    const auto plan = ledger.m_planned.find(id);
    if (plan == ledger.m_planned.end())
    {
        return;
    }
    m_plan = plan->second;
    auto& runs = ledger.m_runs[id];
    m_runs_before = static_cast<int>(runs.size());
    m_run = std::make_shared<observed_run>();
    m_run->m_upstream = upstream;
    m_run->m_began = now();
    runs.push_back(m_run);
    m_timer = std::make_shared<asio::steady_timer>(executor);
    exchange.on_peer_closed(
        [run = m_run, timer = m_timer]
        {
            run->m_ended = run->m_ended.value_or(now());
            run->m_closed_by_host = true;
            timer->cancel();
        });
}

silent_run::~silent_run()
{
    if (m_run)
    {
        m_run->m_ended = m_run->m_ended.value_or(now());
    }
}

bool silent_run::is_planned(silence_phase phase) const
{
    return m_plan && m_plan->m_phase == phase;
}

asio::awaitable<void> silent_run::pass(silence_phase phase)
{
    const bool silent =
        is_planned(phase) && m_runs_before < m_plan->m_times && !m_run->m_closed_by_host;
    if (!silent)
    {
        co_return;
    }
    m_run->m_met_silence = true;
    boost::system::error_code ignored;
    m_timer->expires_after(m_plan->m_length);
    co_await m_timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> silent_run::write_event(http_exchange& exchange, std::string event,
                                              int number)
{
    if (number == silent_event)
    {
        co_await pass(silence_phase::between_events);
    }
    if (number == silent_event && is_planned(silence_phase::inside_event))
    {
        const std::size_t half = event.size() / 2;
        co_await exchange.write_part(event.substr(0, half));
        co_await pass(silence_phase::inside_event);
        event.erase(0, half);
    }
    co_await exchange.write_part(std::move(event));
}

asio::awaitable<void> silent_run::write_document(http_exchange& exchange,
                                                 http_fields fields)
{
    const std::string body = large_document();
    const std::size_t half = body.size() / 2;
    fields.emplace_back("Content-Type", "application/json");
    co_await exchange.begin_answer(200, std::move(fields), body.size());
    co_await exchange.write_part(body.substr(0, half));
    co_await pass(silence_phase::inside_body);
    co_await exchange.write_part(body.substr(half));
    co_await exchange.end_stream();
}

std::string large_document()
{
    return json::serialize(json::array(std::size_t{150} * 1024, 1));
}

asio::awaitable<void> pass_call_silence(silence_ledger& ledger, silence_phase phase,
                                        const std::string& body)
{
    milliseconds length{0};
    for (const auto& [id, plan] : ledger.m_planned)
    {
        // A call names its requests, a release the handles, which contain the request.
        const char quote = phase == silence_phase::in_stage ? '"' : '-';
        if (plan.m_phase != phase || body.find(quote + id + quote) == std::string::npos)
        {
            continue;
        }
        int& calls = ledger.m_silent_calls[id];
        if (calls < plan.m_times)
        {
            ++calls;
            length = std::max(length, plan.m_length);
        }
    }
    asio::steady_timer timer{co_await asio::this_coro::executor, length};
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace geraniumdoor
