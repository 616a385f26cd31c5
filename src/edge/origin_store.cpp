#include "origin_store.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

#include <platform/origin_rows.hpp>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;
using namespace geraniumdoor::serving;

namespace
{

/// Interval at which a host checks whether it has to read or write the rows.
constexpr milliseconds check_interval{50};

/// Time before a failed call is repeated.
constexpr milliseconds retry_delay{300};

/// Timeout of a call. Above the 500 ms within which a slow store responds.
constexpr milliseconds store_call_timeout{900};

/// Minimum interval between two writes of streams. Streams that begin within it before a
/// loss of all hosts cannot be taken up while several versions serve.
constexpr milliseconds stream_write_interval{500};

/// Most streams of a row; 25 KB, of the 64 KB that a row may have.
constexpr std::size_t max_streams_per_row = 256;

/// Most pools whose versions are written at once, and rows that are removed at once. The
/// store takes 100 entries in a transaction.
constexpr std::size_t max_pools_per_write = 40;
constexpr std::size_t max_removals_per_write = 40;

/// Number of expired rows for whose sake alone the store is written.
constexpr std::size_t min_removals = 20;

} // namespace

origin_store::origin_store(edge_state& state, origin_exchange& exchange)
    : m_state{state}
    , m_exchange{exchange}
    , m_store{state.m_executor, to_tcp(state.m_settings.m_store_endpoint)}
{
}

void origin_store::start()
{
    asio::co_spawn(m_state.m_executor, run(), asio::detached);
}

void origin_store::stop()
{
    m_stopped = true;
}

asio::awaitable<void> origin_store::run()
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

asio::awaitable<bool> origin_store::update()
{
    const bool writes =
        writes_stored_origins(m_state.m_hosts, m_state.m_own_report, now());
    const table_view& registry = m_state.m_registry_view;
    const bool reads = m_state.m_own_report.m_store_access == store_access::reading &&
                       !is_complete(m_state.m_stream_origins, registry);
    if (!writes && !reads)
    {
        m_versions_are_current = false;
        m_streams_are_current = false;
        co_return true;
    }
    const bool went_back = m_store_returns != m_state.m_store_returns;
    if (went_back)
    {
        m_store_returns = m_state.m_store_returns;
        m_versions_are_current = false;
        m_streams_are_current = false;
        mark_unsaved(m_state.m_stream_origins);
        m_versions.clear();
        m_rows_are_older = true;
    }
    if (m_view_began_at != registry.m_continuous_since)
    {
        // Other hosts may have seen what this one has missed.
        m_view_began_at = registry.m_continuous_since;
        m_versions_are_current = false;
        m_streams_are_current = false;
    }
    // Streams first: with the versions, the history counts as complete.
    if (!m_streams_are_current && !co_await read_streams())
    {
        co_return false;
    }
    m_streams_are_current = true;
    if (!m_versions_are_current && !co_await read_versions())
    {
        co_return false;
    }
    m_versions_are_current = true;
    co_return !writes || co_await write_changes();
}

asio::awaitable<bool> origin_store::read_streams()
{
    const auto page =
        co_await m_store.read_table(platform::origin_table_name, store_call_timeout);
    if (!is_ok(page))
    {
        log_event{"stored_origins_not_read"}
            .add("table", platform::origin_table_name)
            .add("reason", error_of(page).m_detail);
        co_return false;
    }
    const time_point at = now();
    auto& origins = m_state.m_stream_origins;
    std::map<std::string, time_point> rows;
    for (const store_row& row : value_of(page).m_rows)
    {
        const auto known = m_stream_rows.find(row.m_key);
        const bool is_known = known != m_stream_rows.end();
        rows.emplace(row.m_key, is_known ? known->second : at + origins.m_lifetime);
        const auto streams = platform::decode_streams(row.m_value);
        if (!streams)
        {
            log_event{"stored_origins_unreadable"}.add("row", row.m_key);
            continue;
        }
        for (const stream_version& stream : *streams)
        {
            apply_stored_stream(origins, stream, at);
        }
    }
    log_event{"stored_origins_read"}
        .add("rows", rows.size())
        .add("streams", origins.m_streams.size());
    m_stream_rows = std::move(rows);
    co_return true;
}

asio::awaitable<bool> origin_store::read_versions()
{
    // All that this host has seen is newer than rows of an older copy.
    const time_point known_since = m_rows_are_older ? time_point{} : now();
    const auto page =
        co_await m_store.read_table(platform::version_table_name, store_call_timeout);
    if (!is_ok(page))
    {
        log_event{"stored_origins_not_read"}
            .add("table", platform::version_table_name)
            .add("reason", error_of(page).m_detail);
        co_return false;
    }
    std::map<pool_id, stored_versions> rows;
    for (const store_row& row : value_of(page).m_rows)
    {
        auto versions = platform::decode_versions(row.m_value);
        if (!versions)
        {
            log_event{"stored_versions_unreadable"}.add("pool", row.m_key);
            versions = {unreadable_version};
        }
        rows.emplace(pool_id{row.m_key},
                     stored_versions{*std::move(versions), row.m_version, known_since});
    }
    // A row that has not changed has been known for longer.
    for (const auto& [pool, known] : m_versions)
    {
        const auto at =
            rows.try_emplace(pool, stored_versions{{}, {}, known_since}).first;
        if (at->second.m_row == known.m_row)
        {
            at->second.m_known_since = known.m_known_since;
        }
    }
    m_versions = std::move(rows);
    m_rows_are_older = false;
    for (const pool_id& pool :
         apply_stored_versions(m_state.m_stream_origins, m_versions, now()))
    {
        log_event{"versions_differ"}.add("pool", pool).add("source", "store");
        m_exchange.tell_hosts_of_streams(pool);
    }
    co_return true;
}

std::vector<platform::row_write> origin_store::changed_versions() const
{
    std::vector<platform::row_write> rows;
    for (const auto& [pool, history] : m_state.m_stream_origins.m_pools)
    {
        const auto known = m_versions.find(pool);
        const stored_versions stored =
            known == m_versions.end() ? stored_versions{} : known->second;
        const auto wanted = versions_to_store(m_state.m_stream_origins, pool, stored);
        if (wanted != stored.m_versions && rows.size() < max_pools_per_write)
        {
            rows.push_back({platform::version_table_name, pool.m_value,
                            platform::encode_versions(wanted), wanted.empty(),
                            stored.m_row});
        }
    }
    return rows;
}

void origin_store::add_expired_rows(std::vector<platform::row_write>& rows) const
{
    const time_point at = now();
    const auto expired = std::count_if(m_stream_rows.begin(), m_stream_rows.end(),
                                       [at](const auto& entry)
                                       {
                                           return entry.second <= at;
                                       });
    if (rows.empty() && static_cast<std::size_t>(expired) < min_removals)
    {
        return;
    }
    std::size_t removed = 0;
    for (const auto& [key, until] : m_stream_rows)
    {
        if (until <= at && removed < max_removals_per_write)
        {
            ++removed;
            rows.push_back({platform::origin_table_name, key, {}, true, std::nullopt});
        }
    }
}

asio::awaitable<bool> origin_store::write_changes()
{
    auto& origins = m_state.m_stream_origins;
    const time_point began = now();
    auto rows = changed_versions();
    const bool has_versions = !rows.empty();
    std::vector<stream_version> streams;
    if (serving::has_several_versions(origins) &&
        began - m_last_stream_write >= stream_write_interval)
    {
        streams = unsaved_streams(origins, max_streams_per_row);
    }
    std::string key;
    if (!streams.empty())
    {
        m_last_stream_write = began;
        key = m_state.m_own_report.m_node.m_value + '/' +
              std::to_string(m_state.m_own_report.m_incarnation.m_value) + '/' +
              std::to_string(++m_last_row);
        rows.push_back({platform::origin_table_name, key,
                        platform::encode_streams(streams), false, std::nullopt});
    }
    add_expired_rows(rows);
    if (rows.empty())
    {
        co_return true;
    }
    const std::vector<platform::row_write> sent = rows;
    const auto written = co_await m_store.write(std::move(rows), store_call_timeout);
    // Also after a conflict, or if the write may still be applied.
    m_versions_are_current = m_versions_are_current && !has_versions;
    m_state.m_metrics.add("origin_writes",
                          {{"outcome", is_ok(written) ? "written" : "failed"}});
    if (!is_ok(written))
    {
        log_event{"stored_origins_not_written"}
            .add("rows", sent.size())
            .add("reason", error_of(written).m_detail);
        co_return error_of(written).m_kind == platform::store_error_kind::conflict;
    }
    mark_saved(origins, streams);
    if (!key.empty())
    {
        m_stream_rows[key] = began + origins.m_lifetime;
    }
    for (const platform::row_write& row : sent)
    {
        if (row.m_remove)
        {
            m_stream_rows.erase(row.m_key);
        }
        else if (row.m_table == platform::version_table_name)
        {
            log_event{"versions_stored"}.add("pool", row.m_key).add("value", row.m_value);
        }
    }
    co_return true;
}

} // namespace geraniumdoor::edge
