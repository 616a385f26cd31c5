#include "rollout_store.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/serving/stored_origins.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

constexpr milliseconds check_interval{100};

/// Time before a failed call is repeated.
constexpr milliseconds retry_delay{300};

/// Timeout of a call. Above the 500 ms within which a slow store responds.
constexpr milliseconds store_call_timeout{900};

/// What the row says in a phase.
rollout_phase written_phase(rollout_phase phase)
{
    return phase >= rollout_phase::rolled_back ? phase : rollout_phase::trial;
}

} // namespace

rollout_store::rollout_store(edge_state& state, rollout_exchange& rollouts)
    : m_state{state}
    , m_rollouts{rollouts}
    , m_store{state.m_executor, to_tcp(state.m_settings.m_store_endpoint)}
{
}

void rollout_store::start()
{
    asio::co_spawn(m_state.m_executor, run(), asio::detached);
}

void rollout_store::stop()
{
    m_stopped = true;
}

asio::awaitable<void> rollout_store::run()
{
    while (!m_stopped)
    {
        const bool succeeded = co_await update();
        asio::steady_timer timer{m_state.m_executor,
                                 succeeded ? check_interval : retry_delay};
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::optional<rollout_phase> rollout_store::stored_phase(const rollout& entry) const
{
    const auto known = m_statuses.find(entry.m_order.m_pool);
    if (known == m_statuses.end() || !known->second.m_status)
    {
        return std::nullopt;
    }
    const platform::rollout_status& status = *known->second.m_status;
    const bool is_of_order = status.m_version == entry.m_order.m_version &&
                             (status.m_order == entry.m_order.m_id ||
                              era_of(status.m_order) != era_of(entry.m_order.m_id));
    return is_of_order ? std::optional{status.m_phase} : std::nullopt;
}

void rollout_store::adopt(const rollout& entry)
{
    const auto stored = stored_phase(entry);
    const pool_id pool = entry.m_order.m_pool;
    if (stored && *stored >= rollout_phase::rolled_back)
    {
        m_rollouts.enter(pool, *stored, "store");
    }
    else if (entry.m_phase == rollout_phase::unknown)
    {
        // Nothing final was written, so that the trial may begin, or begin again.
        m_rollouts.enter(pool, rollout_phase::trial, "store");
    }
}

asio::awaitable<bool> rollout_store::read_statuses()
{
    const auto page =
        co_await m_store.read_table(platform::status_table_name, store_call_timeout);
    if (!is_ok(page))
    {
        log_event{"rollout_status_not_read"}.add("reason", error_of(page).m_detail);
        co_return false;
    }
    m_statuses.clear();
    for (const store_row& row : value_of(page).m_rows)
    {
        if (const auto pool = platform::rollout_pool(row.m_key))
        {
            m_statuses[*pool] = {row.m_version,
                                 platform::decode_rollout_status(row.m_value)};
        }
    }
    co_return true;
}

asio::awaitable<bool> rollout_store::update()
{
    const auto& orders = m_state.m_rollouts.m_orders;
    const bool writes =
        writes_stored_origins(m_state.m_hosts, m_state.m_own_report, now());
    if (orders.empty() || !writes)
    {
        m_is_current = false;
        co_return true;
    }
    if (m_store_returns != m_state.m_store_returns)
    {
        m_store_returns = m_state.m_store_returns;
        m_is_current = false;
    }
    std::map<pool_id, store_version> wanted;
    for (const auto& [pool, entry] : orders)
    {
        wanted[pool] = entry.m_order.m_id;
    }
    if (!m_is_current || wanted != m_read_for)
    {
        if (!co_await read_statuses())
        {
            co_return false;
        }
        m_is_current = true;
        m_read_for = wanted;
    }
    for (const auto& [pool, id] : wanted)
    {
        const auto at = m_state.m_rollouts.m_orders.find(pool);
        if (at == m_state.m_rollouts.m_orders.end() || at->second.m_order.m_id != id)
        {
            continue;
        }
        adopt(at->second);
        const bool succeeded = co_await write_status(pool);
        if (!succeeded)
        {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> rollout_store::write_status(pool_id pool)
{
    rollout entry = m_state.m_rollouts.m_orders.at(pool);
    const auto stored = stored_phase(entry);
    if (m_rollouts.may_finish(entry))
    {
        entry.m_phase = rollout_phase::done;
    }
    if (stored && *stored == written_phase(entry.m_phase))
    {
        co_return true;
    }
    const auto known = m_statuses.find(pool);
    const store_version before =
        known == m_statuses.end() ? store_version{} : known->second.m_row;
    std::vector<platform::row_write> rows;
    rows.push_back({platform::status_table_name, platform::rollout_key(pool),
                    platform::encode_rollout_status(entry), false, before});
    const auto written = co_await m_store.write(std::move(rows), store_call_timeout);
    // The row's new version is not told, and an unanswered write may be applied later.
    m_is_current = false;
    log_event{"rollout_status_written"}
        .add("pool", pool)
        .add("version", entry.m_order.m_version)
        .add("phase", to_text(entry.m_phase))
        .add("written", is_ok(written));
    if (!is_ok(written))
    {
        co_return error_of(written).m_kind == platform::store_error_kind::conflict;
    }
    const auto at = m_state.m_rollouts.m_orders.find(pool);
    const bool is_same = at != m_state.m_rollouts.m_orders.end() &&
                         at->second.m_order.m_id == entry.m_order.m_id;
    if (is_same)
    {
        m_rollouts.enter(pool, entry.m_phase, "written");
    }
    co_return true;
}

} // namespace geraniumdoor::edge
