#include "relay_util.hpp"
#include "request_relay.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <memory>
#include <optional>
#include <utility>

// Streams go on only at upstreams of the software version that began them.

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Retry-after time when nobody can tell which version began a stream, but somebody may
/// later: datagrams between hosts may have been lost, or the store's rows not been read.
/// The same when upstreams of the version may have been replaced.
constexpr milliseconds unknown_version_retry_after{300};

stream_key key_of(const relayed_request& current)
{
    const attempt_id& first = current.m_metadata.m_first_attempt;
    return key_of_stream(first.m_value.empty() ? current.m_metadata.m_request : first);
}

} // namespace

asio::awaitable<origin_decision> request_relay::ask_for_origin(request& current)
{
    // Shared with the completion, which may be called after the request has ended.
    struct answer
    {
        std::optional<origin_decision> m_decision;
        /// Null once the request does not wait any more.
        asio::steady_timer* m_wake_timer = nullptr;
    };
    const auto reply = std::make_shared<answer>();
    reply->m_wake_timer = &current.m_wake_timer;
    m_origins.ask(key_of(current), current.m_pool,
                  [reply](origin_decision decision)
                  {
                      reply->m_decision = std::move(decision);
                      if (reply->m_wake_timer != nullptr)
                      {
                          reply->m_wake_timer->cancel();
                      }
                  });
    while (!reply->m_decision && !current.m_caller_gone)
    {
        co_await wait_for_wake(current);
    }
    reply->m_wake_timer = nullptr;
    co_return reply->m_decision.value_or(origin_decision{});
}

asio::awaitable<bool> request_relay::find_stream_version(request& current)
{
    if (!current.m_metadata.m_takes_up_stream ||
        current.m_route->m_retry_safety != retry_safety::stream_resumable)
    {
        co_return true;
    }
    const origin_decision decision = co_await ask_for_origin(current);
    if (current.m_caller_gone)
    {
        co_return false;
    }
    m_state.m_metrics.add("streams_taken_up", {{"source", to_text(decision.m_source)}});
    log_event{"stream_taken_up"}
        .add("request", current.m_metadata.m_request)
        .add("stream", current.m_metadata.m_first_attempt)
        .add("version", decision.m_version.value_or(software_version{}))
        .add("source", to_text(decision.m_source))
        .add("replies", decision.m_replies)
        .add("registry_age_ms", age_ms(m_state.m_registry_view, now()));
    if (!decision.m_version)
    {
        co_await refuse(current,
                        decision.m_is_final ? time_left(current)
                                            : unknown_version_retry_after,
                        unknown_version_reason);
        co_return false;
    }
    current.m_stream_version = decision.m_version;
    if (lacks_stream_version(current))
    {
        co_await refuse(current, stream_version_wait(current),
                        no_upstream_of_version_reason);
        co_return false;
    }
    co_return true;
}

void request_relay::record_stream_origin(request& current)
{
    if (current.m_origin_recorded ||
        current.m_route->m_retry_safety != retry_safety::stream_resumable)
    {
        return;
    }
    current.m_origin_recorded = true;
    current.m_stream_version = current.m_upstream_version;
    known_origin origin;
    origin.m_version = current.m_upstream_version;
    origin.m_began_at = now();
    origin.m_pool = current.m_pool;
    m_origins.record(origin, key_of(current));
}

void request_relay::note_unreachable(upstream& row)
{
    const time_point at = now();
    record_unreachable(row, at);
    doubt_start(row, at);
    asio::co_spawn(m_state.m_executor, check_start(row.m_entry, at), asio::detached);
}

asio::awaitable<void> request_relay::check_start(upstream_entry entry, time_point doubted)
{
    const bool is_there = co_await m_dialer.check(entry, min_restart_time);
    const time_point at = now();
    upstream* row = m_state.m_upstreams.m_rows.find(entry.m_id);
    if (row == nullptr || row->m_run != run_of(entry))
    {
        co_return;
    }
    if (!is_there)
    {
        row->m_doubted_here_at = doubted;
        m_state.m_doubts_changed = true;
        log_event{"upstream_start_doubted"}.add("upstream", entry.m_id);
        co_return;
    }
    record_reached(*row, at);
    // What a host reads after it stood still tells nothing about the time between.
    if (at - doubted <= min_restart_time && shows_absence(m_state.m_registry_view, at))
    {
        settle_start(*row, doubted);
    }
}

milliseconds request_relay::stream_version_wait(const request& current)
{
    bool in_doubt = false;
    for (auto& [id, row] : m_state.m_upstreams.m_rows)
    {
        if (row.m_entry.m_pool != current.m_pool || !row.m_doubted_at ||
            row.m_entry.m_version != current.m_stream_version ||
            !accepts_work(m_state.m_upstreams, row))
        {
            continue;
        }
        in_doubt = true;
        if (!row.m_reached_at)
        {
            asio::co_spawn(m_state.m_executor,
                           check_start(row.m_entry, *row.m_doubted_at), asio::detached);
        }
    }
    return in_doubt ? unknown_version_retry_after : time_left(current);
}

bool request_relay::lacks_stream_version(const request& current) const
{
    return current.m_stream_version &&
           !has_upstream_of(m_state.m_upstreams, current.m_pool,
                            current.m_stream_version) &&
           has_upstream_of(m_state.m_upstreams, current.m_pool, std::nullopt);
}

} // namespace geraniumdoor::edge
