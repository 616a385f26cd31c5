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

/// Time that a read of the operator's rows waits at the store for a change. An answer
/// that is lost or a connection that falls silent is noticed after this and the limit.
constexpr milliseconds intent_wait{500};

/// Hosts that read the store for all. Two fail at the same moment more often than three.
constexpr std::size_t store_readers = 3;

/// Time in which a host that has just started hears of others, through the seeds.
constexpr milliseconds hear_hosts_first{60};

/// Time in which a host that has just started asks other hosts before it reads the store
/// beside the first readers.
constexpr milliseconds ask_hosts_first{700};

/// Time after which a host that has learnt nothing from others reads the store whoever
/// else does. 65 hosts that started together knew all after 1.4 s.
constexpr milliseconds ask_hosts_longest{3000};

/// Pause of a host that does not read at the moment.
constexpr milliseconds reader_check{50};

/// Pause between two reads of the registry. The store drops nothing: entries change
/// about once a second for each upstream, so that a held read would return at once.
constexpr milliseconds registry_pause{600};

/// Time for an answer beyond the time that the store holds the call. The slow store of
/// the sites answers within 500 ms.
constexpr milliseconds answer_limit{900};

/// Pause after a failed call.
constexpr milliseconds retry_pause{150};

/// An outage begins with a read that has failed for this long.
constexpr milliseconds outage_after{1500};

/// Time between two reads of the rows in which hosts name their addresses.
constexpr milliseconds host_rows_pause{4000};

} // namespace

store_watch::store_watch(edge_state& state, std::function<void()> on_change)
    : m_state{state}
    , m_on_change{std::move(on_change)}
    , m_store{state.m_executor, to_tcp(state.m_settings.m_store_endpoint)}
{
    m_intent.m_name = platform::operator_table_name;
    m_registry.m_name = platform::registry_table_name;
}

void store_watch::start()
{
    m_started = now();
    asio::co_spawn(m_state.m_executor, watch(m_intent, intent_wait, milliseconds{20}),
                   asio::detached);
    asio::co_spawn(m_state.m_executor, watch(m_registry, milliseconds{0}, registry_pause),
                   asio::detached);
    asio::co_spawn(m_state.m_executor, keep_host_row(), asio::detached);
}

void store_watch::stop()
{
    m_stopped = true;
}

asio::awaitable<void> store_watch::pause_for(milliseconds length)
{
    asio::steady_timer timer{m_state.m_executor, length};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

bool store_watch::is_reader() const
{
    const bool nothing_known = m_intent.m_version == 0 || m_registry.m_version == 0;
    const duration since_start = now() - m_started;
    if (nothing_known && since_start > ask_hosts_longest)
    {
        return true;
    }
    if (nothing_known && since_start < ask_hosts_first)
    {
        // Hosts that have all just started leave the first reads to a few of them.
        return since_start >= hear_hosts_first &&
               serving::is_initial_store_reader(m_state.m_hosts, m_state.m_own_report,
                                                store_readers);
    }
    return serving::is_store_reader(m_state.m_hosts, m_state.m_own_report, store_readers,
                                    longest_read_age, now());
}

asio::awaitable<void> store_watch::watch(held_table& table, milliseconds wait,
                                         milliseconds pause)
{
    while (!m_stopped)
    {
        if (!is_reader())
        {
            drop_lapsed();
            co_await pause_for(reader_check);
            continue;
        }
        const bool good = co_await read_once(table, wait);
        drop_lapsed();
        co_await pause_for(good ? pause : retry_pause);
    }
}

asio::awaitable<bool> store_watch::read_once(held_table& table, milliseconds wait)
{
    if (table.m_version == 0)
    {
        auto page = co_await read_whole(table.m_name);
        const bool good = is_ok(page);
        note_result(table, good, good ? "" : error_of(page).m_detail);
        if (good)
        {
            apply(table, value_of(page), true);
        }
        co_return good;
    }
    auto page = co_await m_store.read_changes(table.m_name, table.m_version, wait,
                                              wait + answer_limit);
    if (!is_ok(page) && error_of(page).m_kind == platform::store_error_kind::history_gone)
    {
        log_event{"store_history_gone"}.add("table", table.m_name);
        page = co_await read_whole(table.m_name);
        if (is_ok(page))
        {
            note_result(table, true, "");
            apply(table, value_of(page), true);
            co_return true;
        }
    }
    const bool good = is_ok(page);
    note_result(table, good, good ? "" : error_of(page).m_detail);
    if (good)
    {
        apply(table, value_of(page), false);
    }
    co_return good;
}

asio::awaitable<result<platform::row_page, platform::store_error>>
store_watch::read_whole(std::string table)
{
    platform::row_page whole;
    std::string from;
    while (true)
    {
        auto page = co_await m_store.read_page(table, from, answer_limit);
        if (!is_ok(page))
        {
            co_return error_of(page);
        }
        // Rows of a later page may be newer; the feed repeats what came between.
        const std::uint64_t version = value_of(page).m_version;
        whole.m_version =
            whole.m_version == 0 ? version : std::min(whole.m_version, version);
        for (platform::row& entry : value_of(page).m_rows)
        {
            whole.m_rows.push_back(std::move(entry));
        }
        if (!value_of(page).m_has_more || whole.m_rows.empty())
        {
            break;
        }
        from = whole.m_rows.back().m_key + '\0';
    }
    co_return whole;
}

void store_watch::note_result(held_table& table, bool good, const std::string& detail)
{
    const time_point at = now();
    if (good)
    {
        if (table.m_lost)
        {
            table.m_lost = false;
            table.m_regained = at;
            for (auto& [key, until] : table.m_lapsed)
            {
                until = at + return_time;
            }
            log_event{"store_regained"}.add("table", table.m_name);
        }
        table.m_last_success = at;
        return;
    }
    m_state.m_metrics.add("store_failures", {{"table", table.m_name}});
    if (!table.m_lost && at - table.m_last_success > outage_after && !others_read())
    {
        table.m_lost = true;
        log_event{"store_lost"}.add("table", table.m_name).add("reason", detail);
    }
}

bool store_watch::others_read() const
{
    return std::any_of(
        m_state.m_hosts.m_hosts.begin(), m_state.m_hosts.m_hosts.end(),
        [&](const auto& entry)
        {
            const serving::peer_host& host = entry.second;
            return host.m_report.m_store_age_ms <= longest_read_age.count() &&
                   serving::is_live(host, liveness_timeout(m_state), now());
        });
}

std::uint32_t store_watch::store_age_ms() const
{
    const time_point oldest =
        std::min(m_intent.m_last_success, m_registry.m_last_success);
    if (oldest == time_point{})
    {
        return UINT32_MAX;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now() - oldest);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(age.count(), UINT32_MAX - 1));
}

void store_watch::add_seed(const std::string& text)
{
    const auto endpoint = parse_endpoint(text);
    if (!endpoint)
    {
        log_event{"host_address_rejected"}.add("address", text);
        return;
    }
    const node_address address{endpoint->m_address.to_string(), endpoint->m_port};
    auto& seeds = m_state.m_hosts.m_seeds;
    if (std::find(seeds.begin(), seeds.end(), address) == seeds.end())
    {
        seeds.push_back(address);
    }
}

asio::awaitable<void> store_watch::keep_host_row()
{
    bool written = false;
    while (!m_stopped)
    {
        const bool alone = m_state.m_hosts.m_hosts.empty();
        const bool reads = is_reader() || alone;
        if (!written)
        {
            written = co_await write_host_row();
        }
        if (reads)
        {
            co_await read_host_rows();
        }
        co_await pause_for(written ? host_rows_pause : retry_pause * 4);
    }
}

asio::awaitable<bool> store_watch::write_host_row()
{
    const ip_endpoint& peers = m_state.m_settings.m_peer_endpoint;
    std::vector<platform::row_write> rows;
    rows.push_back({platform::host_table_name, m_state.m_settings.m_node.m_value,
                    to_text(peers), false});
    const auto written = co_await m_store.write(std::move(rows), answer_limit);
    if (!is_ok(written))
    {
        log_event{"host_row_not_written"}.add("reason", error_of(written).m_detail);
    }
    co_return is_ok(written);
}

asio::awaitable<void> store_watch::read_host_rows()
{
    const auto page = co_await read_whole(platform::host_table_name);
    if (!is_ok(page))
    {
        co_return;
    }
    for (const platform::row& entry : value_of(page).m_rows)
    {
        add_seed(entry.m_value);
    }
}

} // namespace geraniumdoor::edge
