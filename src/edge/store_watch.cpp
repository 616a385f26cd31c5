#include "store_watch.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

#include <platform/rows.hpp>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;

namespace
{

/// Time that a long poll for the operator table waits at the store for a change. A
/// lost response or a dead connection is detected after this time plus
/// store_call_timeout.
constexpr milliseconds operator_poll_wait{500};

/// Pause between two long polls for the operator table. It bounds the rate of reads
/// while changes follow one another.
constexpr milliseconds operator_read_pause{20};

/// Number of hosts that read the store for all. Two hosts fail at the same time more
/// often than three.
constexpr std::size_t reader_count = 3;

/// Time after the start before which a host without data does not read the store, so that
/// it first learns of the other hosts from the addresses that it was given.
constexpr milliseconds startup_discovery_time{60};

/// Time after the start in which a host without data pulls from other hosts only, unless
/// it is one of the initial store readers.
constexpr milliseconds startup_peer_phase{700};

/// Time after the start at which a host that received no data from others reads the store
/// itself, even if other hosts read it. Above the 1.4 s after which 65 hosts that start
/// together have all data.
constexpr milliseconds startup_peer_timeout{3000};

/// Interval at which a host that does not read the store checks whether it should.
constexpr milliseconds reader_check_interval{50};

/// Pause between two reads of the registry. A long poll would return at once, because
/// each entry changes about once a second. The store keeps all changes made in the pause.
constexpr milliseconds registry_read_pause{600};

/// Timeout of a call, in addition to the time that a long poll waits at the store. Above
/// the 500 ms within which a slow store responds.
constexpr milliseconds store_call_timeout{900};

/// Delay after a failed call.
constexpr milliseconds retry_delay{150};

/// Time without a successful read after which the store counts as unavailable.
constexpr milliseconds outage_threshold{1500};

/// Pause between two reads of the table in which hosts publish their addresses.
constexpr milliseconds address_read_pause{4000};

} // namespace

store_watch::store_watch(edge_state& state, std::function<void()> on_change)
    : m_state{state}
    , m_on_change{std::move(on_change)}
    , m_store{state.m_executor, to_tcp(state.m_settings.m_store_endpoint)}
{
    m_operator_table.m_name = platform::operator_table_name;
    m_registry.m_name = platform::registry_table_name;
}

void store_watch::start()
{
    m_started = now();
    asio::co_spawn(m_state.m_executor,
                   watch_table(m_operator_table, operator_poll_wait, operator_read_pause),
                   asio::detached);
    asio::co_spawn(m_state.m_executor,
                   watch_table(m_registry, milliseconds{0}, registry_read_pause),
                   asio::detached);
    asio::co_spawn(m_state.m_executor, maintain_own_address(), asio::detached);
}

void store_watch::stop()
{
    m_stopped = true;
}

asio::awaitable<void> store_watch::sleep_for(milliseconds length)
{
    asio::steady_timer timer{m_state.m_executor, length};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

bool store_watch::is_reader() const
{
    const bool has_no_data = m_operator_table.m_version == 0 || m_registry.m_version == 0;
    const duration since_start = now() - m_started;
    if (has_no_data && since_start > startup_peer_timeout)
    {
        return true;
    }
    if (has_no_data && since_start < startup_peer_phase)
    {
        // Of hosts that start together, only a few read the store at first.
        return since_start >= startup_discovery_time &&
               serving::is_initial_store_reader(m_state.m_hosts, m_state.m_own_report,
                                                reader_count);
    }
    return serving::is_store_reader(m_state.m_hosts, m_state.m_own_report, reader_count,
                                    max_read_age, now());
}

asio::awaitable<void> store_watch::watch_table(cached_table& table, milliseconds wait,
                                               milliseconds pause)
{
    while (!m_stopped)
    {
        if (!is_reader())
        {
            apply_pending_removals();
            co_await sleep_for(reader_check_interval);
            continue;
        }
        const bool succeeded = co_await refresh_table(table, wait);
        apply_pending_removals();
        co_await sleep_for(succeeded ? pause : retry_delay);
    }
}

asio::awaitable<bool> store_watch::refresh_table(cached_table& table, milliseconds wait)
{
    if (table.m_version == 0)
    {
        auto page = co_await read_table(table.m_name);
        const bool succeeded = is_ok(page);
        record_read_result(table, succeeded, succeeded ? "" : error_of(page).m_detail);
        if (succeeded)
        {
            apply_page(table, value_of(page), true);
        }
        co_return succeeded;
    }
    auto page = co_await m_store.read_changes(table.m_name, table.m_version, wait,
                                              wait + store_call_timeout);
    if (!is_ok(page) && error_of(page).m_kind == platform::store_error_kind::history_gone)
    {
        log_event{"store_history_gone"}.add("table", table.m_name);
        page = co_await read_table(table.m_name);
        if (is_ok(page))
        {
            record_read_result(table, true, "");
            apply_page(table, value_of(page), true);
            co_return true;
        }
    }
    const bool succeeded = is_ok(page);
    record_read_result(table, succeeded, succeeded ? "" : error_of(page).m_detail);
    if (succeeded)
    {
        apply_page(table, value_of(page), false);
    }
    co_return succeeded;
}

asio::awaitable<result<platform::row_page, platform::store_error>>
store_watch::read_table(std::string table)
{
    platform::row_page merged;
    std::string from;
    while (true)
    {
        auto page = co_await m_store.read_page(table, from, store_call_timeout);
        if (!is_ok(page))
        {
            co_return error_of(page);
        }
        // Rows of a later page may be newer than those of an earlier one. With the lowest
        // version, the feed returns the changes in between again.
        const std::uint64_t version = value_of(page).m_version;
        merged.m_version =
            merged.m_version == 0 ? version : std::min(merged.m_version, version);
        for (platform::row& entry : value_of(page).m_rows)
        {
            merged.m_rows.push_back(std::move(entry));
        }
        if (!value_of(page).m_has_more || merged.m_rows.empty())
        {
            break;
        }
        from = merged.m_rows.back().m_key + '\0';
    }
    co_return merged;
}

void store_watch::record_read_result(cached_table& table, bool succeeded,
                                     const std::string& detail)
{
    const time_point at = now();
    if (succeeded)
    {
        if (table.m_unavailable)
        {
            table.m_unavailable = false;
            table.m_recovered_at = at;
            for (auto& [key, until] : table.m_pending_removals)
            {
                until = at + restore_timeout;
            }
            log_event{"store_regained"}.add("table", table.m_name);
        }
        table.m_last_success = at;
        return;
    }
    m_state.m_metrics.add("store_failures", {{"table", table.m_name}});
    if (!table.m_unavailable && at - table.m_last_success > outage_threshold &&
        !is_read_elsewhere())
    {
        table.m_unavailable = true;
        log_event{"store_lost"}.add("table", table.m_name).add("reason", detail);
    }
}

bool store_watch::is_read_elsewhere() const
{
    return std::any_of(m_state.m_hosts.m_hosts.begin(), m_state.m_hosts.m_hosts.end(),
                       [&](const auto& entry)
                       {
                           const serving::peer_host& host = entry.second;
                           return host.m_report.m_store_age_ms <= max_read_age.count() &&
                                  serving::is_live(host, liveness_timeout(m_state),
                                                   now());
                       });
}

std::uint32_t store_watch::store_age_ms() const
{
    const time_point oldest =
        std::min(m_operator_table.m_last_success, m_registry.m_last_success);
    if (oldest == time_point{})
    {
        return UINT32_MAX;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now() - oldest);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(age.count(), UINT32_MAX - 1));
}

void store_watch::add_address(const std::string& text)
{
    const auto endpoint = parse_endpoint(text);
    if (!endpoint)
    {
        log_event{"host_address_rejected"}.add("address", text);
        return;
    }
    const node_address address{endpoint->m_address.to_string(), endpoint->m_port};
    auto& addresses = m_state.m_hosts.m_known_addresses;
    if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
    {
        addresses.push_back(address);
    }
}

asio::awaitable<void> store_watch::maintain_own_address()
{
    bool written = false;
    while (!m_stopped)
    {
        const bool alone = m_state.m_hosts.m_hosts.empty();
        const bool reads = is_reader() || alone;
        if (!written)
        {
            written = co_await write_own_address();
        }
        if (reads)
        {
            co_await read_host_addresses();
        }
        co_await sleep_for(written ? address_read_pause : retry_delay * 4);
    }
}

asio::awaitable<bool> store_watch::write_own_address()
{
    const ip_endpoint& peers = m_state.m_settings.m_peer_endpoint;
    std::vector<platform::row_write> rows;
    rows.push_back({platform::address_table_name, m_state.m_settings.m_node.m_value,
                    to_text(peers), false});
    const auto written = co_await m_store.write(std::move(rows), store_call_timeout);
    if (!is_ok(written))
    {
        log_event{"host_row_not_written"}.add("reason", error_of(written).m_detail);
    }
    co_return is_ok(written);
}

asio::awaitable<void> store_watch::read_host_addresses()
{
    const auto page = co_await read_table(platform::address_table_name);
    if (!is_ok(page))
    {
        co_return;
    }
    for (const platform::row& entry : value_of(page).m_rows)
    {
        add_address(entry.m_value);
    }
}

} // namespace geraniumdoor::edge
