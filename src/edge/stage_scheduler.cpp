#include "stage_scheduler.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

#include <platform/exchange.hpp>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Interval of the checks for infeasible jobs, overdue calls and handles to release.
constexpr milliseconds check_interval{25};

/// A call times out after this multiple of its expected time plus the margin. The factor
/// leaves room for slow upstreams at the sites, which take five times as long.
constexpr int call_timeout_factor = 7;
constexpr milliseconds call_timeout_margin{500};

/// Upper bound of the time to a job's deadline. Limits how long a job without a known
/// deadline is kept.
constexpr milliseconds max_deadline{60000};

/// Time for which an upstream of another version counts as not available.
constexpr milliseconds unused_upstream_time{1000};

constexpr std::size_t max_response_bytes = std::size_t{1024} * 1024;

http_limits client_limits()
{
    http_limits limits;
    limits.m_body_bytes = max_response_bytes;
    return limits;
}

} // namespace

stage_scheduler::stage_scheduler(edge_state& state, upstream_dialer& dialer,
                                 send_permits& permits, rollout_exchange& rollouts,
                                 result_sender send_result, forecast_sender send_forecast)
    : m_state{state}
    , m_dialer{dialer}
    , m_permits{permits}
    , m_rollouts{rollouts}
    , m_send_result{std::move(send_result)}
    , m_send_forecast{std::move(send_forecast)}
    , m_http{state.m_executor, client_limits(), state.m_memory}
{
}

void stage_scheduler::start()
{
    m_state.m_timers.every(check_interval,
                           [this](time_point)
                           {
                               for (auto& [pool, state] : m_pools)
                               {
                                   run_checks(pool, state);
                               }
                           });
}

stage_scheduler::pool_state* stage_scheduler::find_or_add_pool(const pool_id& pool)
{
    const auto at = m_pools.find(pool);
    if (at != m_pools.end())
    {
        return &at->second;
    }
    if (!m_state.m_routing)
    {
        return nullptr;
    }
    const auto config = m_state.m_routing->m_pools.find(pool);
    if (config == m_state.m_routing->m_pools.end() || !config->second.m_pieces)
    {
        return nullptr;
    }
    m_pools[pool].m_queue.m_limits = *config->second.m_pieces;
    refresh();
    return &m_pools[pool];
}

void stage_scheduler::refresh()
{
    for (auto& [pool, state] : m_pools)
    {
        refresh_upstreams(pool, state);
        if (m_state.m_routing)
        {
            const auto config = m_state.m_routing->m_pools.find(pool);
            const bool is_configured = config != m_state.m_routing->m_pools.end() &&
                                       config->second.m_pieces.has_value();
            if (is_configured)
            {
                state.m_queue.m_limits = *config->second.m_pieces;
            }
        }
        dispatch_calls(pool, state);
    }
}

void stage_scheduler::refresh_upstreams(const pool_id& pool, pool_state& state)
{
    const upstream_table& upstreams = m_state.m_upstreams;
    auto& queue_upstreams = state.m_queue.m_upstreams;
    for (const auto& [id, row] : upstreams.m_rows)
    {
        if (row.m_entry.m_pool == pool && accepts_work(upstreams, row))
        {
            queue_upstreams[id].m_data_centre = row.m_entry.m_data_centre;
        }
    }
    const auto is_unused = [&upstreams, &pool, calls = &state.m_calls](const auto& entry)
    {
        const auto* row = upstreams.m_rows.find(entry.first);
        const bool usable = row != nullptr && row->m_entry.m_pool == pool &&
                            accepts_work(upstreams, *row);
        // An upstream with a call in progress stays until the call has ended.
        return !usable && !calls->contains(entry.first);
    };
    std::erase_if(queue_upstreams, is_unused);
}

void stage_scheduler::on_request(const node_id& from, incarnation from_incarnation,
                                 const pieces_request& request)
{
    const job_id id{from, from_incarnation, request.m_job};
    pool_state* state = find_or_add_pool(request.m_pool);
    if (state == nullptr)
    {
        m_send_result(from, {request.m_job,
                             pieces_outcome::refused,
                             {},
                             static_cast<std::uint32_t>(min_retry_after.count())});
        return;
    }
    if (state->m_queue.m_jobs.contains(id))
    {
        return;
    }
    state->m_queue.m_announced.erase(id);
    const time_point at = now();
    state->m_last_activity = at;
    stage_job job;
    job.m_request = request.m_request;
    job.m_stage = request.m_stage;
    job.m_pieces.resize(request.m_pieces);
    job.m_piece_key = request.m_key;
    job.m_inputs = request.m_inputs;
    job.m_due = at + milliseconds{request.m_due_ms};
    job.m_deadline = at + std::min(milliseconds{request.m_deadline_ms}, max_deadline);
    job.m_priority = request.m_rank;
    job.m_preferred_data_centre = request.m_preferred;
    job.m_transfer_bytes = request.m_cross_bytes;
    job.m_result_bytes = request.m_result_bytes;
    job.m_arrived = at;
    job.m_trait = {suspect_key{request.m_suspect}, {}, suspect_kind::request_stage};
    job.m_is_trial = request.m_is_trial;
    const time_point end = predicted_end(state->m_queue, job, at);
    if (end > job.m_deadline)
    {
        const auto excess =
            std::chrono::duration_cast<milliseconds>(end - job.m_deadline);
        const auto wait = std::max(min_retry_after, excess);
        m_state.m_metrics.add("pieces_refused", {{"pool", request.m_pool.m_value}});
        m_send_result(from, {request.m_job,
                             pieces_outcome::refused,
                             {},
                             static_cast<std::uint32_t>(wait.count())});
        return;
    }
    record_arrival(state->m_queue, job, at);
    state->m_queue.m_jobs.emplace(id, std::move(job));
    dispatch_calls(request.m_pool, *state);
}

void stage_scheduler::on_announce(const node_id& from, incarnation from_incarnation,
                                  const pieces_announce& announced)
{
    pool_state* state = find_or_add_pool(announced.m_pool);
    if (state == nullptr)
    {
        m_send_forecast(from, {announced.m_job, 0, 0});
        return;
    }
    const time_point at = now();
    state->m_last_activity = at;
    const time_point arrival = at + milliseconds{announced.m_eta_ms};
    const queue_waits waits = forecast_waits(state->m_queue, arrival, at);
    state->m_queue.m_announced[{from, from_incarnation, announced.m_job}] = {
        announced.m_pieces, arrival};
    m_send_forecast(from,
                    {announced.m_job, static_cast<std::uint32_t>(waits.m_on_time.count()),
                     static_cast<std::uint32_t>(waits.m_late.count())});
}

void stage_scheduler::on_cancel(const node_id& from, incarnation from_incarnation,
                                const pieces_cancel& cancel)
{
    const auto at = m_pools.find(cancel.m_pool);
    if (at != m_pools.end())
    {
        const job_id id{from, from_incarnation, cancel.m_job};
        at->second.m_queue.m_announced.erase(id);
        remove_job(at->second, id);
    }
}

void stage_scheduler::on_release(const results_release& released)
{
    pool_state* state = find_or_add_pool(released.m_pool);
    if (state == nullptr)
    {
        return;
    }
    for (const std::string& handle : released.m_handles)
    {
        release_result(*state, handle);
    }
}

void stage_scheduler::dispatch_calls(const pool_id& pool, pool_state& state)
{
    update_suspects(state);
    const time_point at = now();
    std::vector<upstream_id> idle;
    for (auto& [id, upstream_state] : state.m_queue.m_upstreams)
    {
        const auto* row = m_state.m_upstreams.m_rows.find(id);
        apply_account(upstream_state, row == nullptr ? send_account{} : row->m_sends, at);
        if (row != nullptr && !may_use(pool, state, *row))
        {
            // Forecasts leave it out.
            upstream_state.m_next_send =
                std::max(upstream_state.m_next_send, at + unused_upstream_time);
        }
        const bool usable = !upstream_state.m_busy_until && row != nullptr &&
                            accepts_work(m_state.m_upstreams, *row) &&
                            may_use(pool, state, *row);
        if (usable)
        {
            idle.push_back(id);
        }
    }
    for (const upstream_id& id : idle)
    {
        auto pieces = next_call(state.m_queue, id, at);
        if (!pieces.empty() && may_call(pool, id))
        {
            start_call(pool, state, id, std::move(pieces));
        }
    }
}

bool stage_scheduler::may_use(const pool_id& pool, const pool_state& state,
                              const upstream& row) const
{
    if (row.m_use != upstream_use::trial)
    {
        return row.m_use == upstream_use::any;
    }
    const auto order = m_state.m_rollouts.m_orders.find(pool);
    return order != m_state.m_rollouts.m_orders.end() &&
           state.m_trial_calls + 1 <=
               trial_share(order->second, m_state.m_rollout_limits) *
                   (state.m_order_calls + 1);
}

void stage_scheduler::count_call(const pool_id& pool, pool_state& state,
                                 const upstream& row)
{
    const auto order = m_state.m_rollouts.m_orders.find(pool);
    if (order == m_state.m_rollouts.m_orders.end())
    {
        return;
    }
    if (state.m_counted_order != order->second.m_order.m_id)
    {
        state.m_counted_order = order->second.m_order.m_id;
        state.m_order_calls = 0;
        state.m_trial_calls = 0;
    }
    state.m_order_calls += 1;
    state.m_trial_calls += row.m_use == upstream_use::trial ? 1 : 0;
}

bool stage_scheduler::may_call(const pool_id& pool, const upstream_id& id)
{
    upstream* row = m_state.m_upstreams.m_rows.find(id);
    if (!row->m_sends.m_statement.m_limit || take_permit(row->m_sends, now()))
    {
        return true;
    }
    m_permits.ask_ahead(id,
                        [this, pool]
                        {
                            const auto queue = m_pools.find(pool);
                            if (queue != m_pools.end())
                            {
                                dispatch_calls(pool, queue->second);
                            }
                        });
    return false;
}

void stage_scheduler::start_call(const pool_id& pool, pool_state& state,
                                 const upstream_id& upstream,
                                 std::vector<piece_ref> pieces)
{
    const time_point at = now();
    stage_upstream& upstream_state = state.m_queue.m_upstreams[upstream];
    std::vector<platform::piece_item> items;
    std::vector<std::uint64_t> result_bytes;
    for (const piece_ref& ref : pieces)
    {
        stage_job& job = state.m_queue.m_jobs.at(ref.m_job);
        piece& part = job.m_pieces[ref.m_piece];
        part.m_state = piece_state::running;
        ++part.m_active_calls;
        upstream_state.m_result_memory_used += job.m_result_bytes;
        result_bytes.push_back(job.m_result_bytes);
        const auto left = std::chrono::duration_cast<milliseconds>(job.m_deadline - at);
        items.push_back({job.m_request, job.m_stage, ref.m_piece, job.m_piece_key,
                         job.m_inputs, left});
    }
    const milliseconds expected =
        expected_call_time(state.m_queue, pieces.size(), upstream_state.m_slowness);
    upstream_state.m_call_started = at;
    upstream_state.m_busy_until = at + expected;
    auto request = platform::encode_pieces(items, upstream);
    auto* row = m_state.m_upstreams.m_rows.find(upstream);
    call begun{upstream, std::move(pieces),    std::move(result_bytes),
               false,    run_of(row->m_entry), {}};
    for (const piece_ref& ref : begun.m_pieces)
    {
        const request_trait& trait = state.m_queue.m_jobs.at(ref.m_job).m_trait;
        const bool is_new = std::none_of(begun.m_traits.begin(), begun.m_traits.end(),
                                         [&trait](const request_trait& other)
                                         {
                                             return other.m_key == trait.m_key;
                                         });
        if (is_new)
        {
            begun.m_traits.push_back(trait);
        }
    }
    state.m_calls[upstream] = std::move(begun);
    count_call(pool, state, *row);
    record_send(row->m_sends, at);
    asio::co_spawn(m_state.m_executor,
                   run_call(row->m_entry, std::move(request), expected), asio::detached);
}

asio::awaitable<void> stage_scheduler::run_call(upstream_entry entry,
                                                http_request request,
                                                milliseconds expected)
{
    http_call_options options;
    options.m_timeout = expected * call_timeout_factor + call_timeout_margin;
    // A delayed second response on a reused connection would be taken for the response to
    // the next call.
    options.m_fresh_connection = true;
    options.m_may_reuse = [](const http_response&)
    {
        return false;
    };
    const time_point began = now();
    const auto answer =
        co_await m_dialer.send(m_http, entry, std::move(request), options);
    const auto took = std::chrono::duration_cast<milliseconds>(now() - began);
    finish_call(entry.m_pool, entry.m_id, answer, took, expected);
}

std::vector<pool_wait> stage_scheduler::wait_times() const
{
    constexpr seconds recent{10};
    const time_point at = now();
    std::vector<pool_wait> list;
    for (const auto& [pool, state] : m_pools)
    {
        if (at - state.m_last_activity < recent && list.size() < max_reported_waits)
        {
            const queue_waits waits = current_waits(state.m_queue, at);
            list.push_back({id_hash(pool.m_value),
                            static_cast<std::uint32_t>(waits.m_on_time.count()),
                            static_cast<std::uint32_t>(waits.m_late.count())});
        }
    }
    return list;
}

queue_waits stage_scheduler::wait_times_of(const pool_id& pool) const
{
    const auto at = m_pools.find(pool);
    return at == m_pools.end() ? queue_waits{} : current_waits(at->second.m_queue, now());
}

std::vector<queue_status> stage_scheduler::queue_statuses() const
{
    const time_point at = now();
    std::vector<queue_status> list;
    for (const auto& [pool, state] : m_pools)
    {
        queue_status entry;
        entry.m_pool = pool;
        entry.m_jobs = state.m_queue.m_jobs.size();
        entry.m_announced = state.m_queue.m_announced.size();
        entry.m_upstreams = state.m_queue.m_upstreams.size();
        for (const auto& [id, upstream_state] : state.m_queue.m_upstreams)
        {
            entry.m_busy_upstreams += upstream_state.m_busy_until ? 1 : 0;
            entry.m_result_memory_used += upstream_state.m_result_memory_used;
        }
        entry.m_waits = current_waits(state.m_queue, at);
        list.push_back(std::move(entry));
    }
    return list;
}

std::size_t stage_scheduler::open_job_count() const
{
    std::size_t count = 0;
    for (const auto& [pool, state] : m_pools)
    {
        count += state.m_queue.m_jobs.size();
    }
    return count;
}

} // namespace geraniumdoor::edge
