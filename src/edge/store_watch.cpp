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
using serving::store_call_timeout;

namespace
{

/// Interval at which a host checks whether a read is overdue.
constexpr milliseconds overdue_check_interval{50};

/// Time that a long poll for the operator table waits at the store for a change. A
/// lost response or a dead connection is detected after this time plus
/// usual_store_response.
constexpr milliseconds operator_poll_wait{500};

/// Pause between two long polls for the operator table. It bounds the rate of reads
/// while changes follow one another.
constexpr milliseconds operator_read_pause{20};

/// Time after the start before which a host without data does not read the store, so that
/// it first learns of the other hosts from the addresses that it was given.
constexpr milliseconds startup_discovery_time{60};

/// Interval at which a host that does not read the store checks whether it should.
constexpr milliseconds reader_check_interval{50};

/// Pause between two reads of the registry. A long poll would return at once, because
/// each entry changes about once a second. The store keeps all changes made in the pause.
constexpr milliseconds registry_read_pause{600};

/// Time without a successful read after which the store counts as unavailable.
constexpr milliseconds outage_threshold{1500};

/// Time for which what the operator had said stays in force after the store has come back
/// from a copy without it. The operator writes it again.
constexpr milliseconds operator_hold_time{5000};

/// The same for upstreams, which write their entries about once a second. The store
/// itself removes entries that are not written for three such periods.
constexpr milliseconds registry_hold_time{10000};

/// Pause between two reads of the table of host addresses, and after a failed one.
constexpr milliseconds address_read_pause{4000};
constexpr milliseconds address_retry_delay{1000};

/// Interval at which a host checks whether it should read the addresses.
constexpr milliseconds address_check_interval{100};

/// Upper bound of the rows in a transaction, set by the store.
constexpr std::size_t max_rows_per_write = 100;

/// The configuration has a version of its own, which never goes back.
bool is_newer_configuration(std::string_view key, std::string_view known,
                            std::string_view read)
{
    if (key != platform::configuration_key)
    {
        return false;
    }
    const auto before = platform::decode_configuration(known);
    const auto after = platform::decode_configuration(read);
    return is_ok(after) &&
           (!is_ok(before) || value_of(after).m_version > value_of(before).m_version);
}

} // namespace

store_watch::store_watch(edge_state& state, std::function<void()> on_change,
                         std::function<void()> on_access_change)
    : m_state{state}
    , m_on_change{std::move(on_change)}
    , m_on_access_change{std::move(on_access_change)}
    , m_store{state.m_executor, to_tcp(state.m_settings.m_store_endpoint)}
{
    m_operator_table.m_name = platform::operator_table_name;
    m_operator_table.m_rules = {false, operator_hold_time, &is_newer_configuration};
    m_registry.m_name = platform::registry_table_name;
    m_registry.m_rules = {true, registry_hold_time, nullptr};
}

void store_watch::start()
{
    m_started = now();
    m_state.m_timers.every(overdue_check_interval,
                           [this](time_point)
                           {
                               expire_pulls();
                               update_access();
                           });
    asio::co_spawn(m_state.m_executor,
                   watch_table(m_operator_table, operator_poll_wait, operator_read_pause),
                   asio::detached);
    asio::co_spawn(m_state.m_executor,
                   watch_table(m_registry, milliseconds{0}, registry_read_pause),
                   asio::detached);
    asio::co_spawn(m_state.m_executor, maintain_addresses(), asio::detached);
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
    const duration since_start = now() - m_started;
    if (has_no_data() && since_start < startup_discovery_time)
    {
        return false;
    }
    if (has_no_data() && since_start > serving::startup_peer_timeout &&
        serving::is_store_read_elsewhere(m_state.m_hosts, now()))
    {
        // The readers are heard, but their data does not arrive.
        return true;
    }
    return serving::is_store_reader(m_state.m_hosts, m_state.m_own_report, m_pulls,
                                    now());
}

void store_watch::update_access()
{
    const time_point at = now();
    for (cached_table* table : {&m_operator_table, &m_registry})
    {
        serving::end_outage(table->m_history, m_state.m_hosts);
    }
    const auto access_to = [at](const cached_table& table)
    {
        const bool is_overdue = table.m_overdue_at && at >= *table.m_overdue_at;
        return serving::access_to_store(table.m_history, table.m_is_being_read,
                                        is_overdue, at);
    };
    const store_access access =
        serving::access_to_both(access_to(m_operator_table), access_to(m_registry));
    if (access == m_state.m_own_report.m_store_access)
    {
        return;
    }
    log_event{"store_access"}
        .add("before", to_text(m_state.m_own_report.m_store_access))
        .add("access", to_text(access));
    m_state.m_own_report.m_store_access = access;
    m_on_access_change();
}

asio::awaitable<void> store_watch::watch_table(cached_table& table, milliseconds wait,
                                               milliseconds pause)
{
    while (!m_stopped)
    {
        update_access();
        const bool reads = is_reader();
        if (!reads && reads_for_itself(table))
        {
            begin_own_read(table);
        }
        else if (!reads)
        {
            table.m_is_being_read = false;
            apply_due_changes();
            co_await sleep_for(reader_check_interval);
            continue;
        }
        // The first read does not wait for a change, so that other hosts learn at once
        // whether it succeeds.
        table.m_is_being_read =
            co_await refresh_table(table, table.m_is_being_read ? wait : milliseconds{0});
        update_access();
        apply_due_changes();
        co_await sleep_for(
            table.m_is_being_read
                ? pause
                : serving::read_retry_delay(table.m_history.m_consecutive_failures));
    }
}

bool store_watch::reads_for_itself(const cached_table& table)
{
    return !has_no_data() &&
           serving::reads_for_itself(view_of(table), m_state.m_own_report.m_node,
                                     table.m_last_own_read, now());
}

void store_watch::begin_own_read(cached_table& table)
{
    const time_point at = now();
    table.m_last_own_read = at;
    table.m_is_being_read = false;
    m_store.close_idle(table.m_name);
    m_state.m_metrics.add("own_store_reads", {{"table", table.m_name}});
    log_event{"own_store_read"}
        .add("table", table.m_name)
        .add("age_ms", serving::age_ms(view_of(table), at));
}

asio::awaitable<bool> store_watch::refresh_table(cached_table& table, milliseconds wait)
{
    const time_point began = now();
    table.m_overdue_at = began + wait + serving::usual_store_response;
    const bool succeeded = co_await read_table(table, wait, began);
    table.m_overdue_at.reset();
    co_return succeeded;
}

asio::awaitable<bool> store_watch::read_table(cached_table& table, milliseconds wait,
                                              time_point began)
{
    if (serving::needs_whole_read(table.m_copy))
    {
        auto page = co_await m_store.read_table(table.m_name, store_call_timeout);
        const bool succeeded = is_ok(page);
        record_read_result(table, succeeded, began,
                           succeeded ? "" : error_of(page).m_detail);
        if (succeeded)
        {
            apply_page(table, value_of(page), true, began);
        }
        co_return succeeded;
    }
    auto page = co_await m_store.read_changes(table.m_name, table.m_copy.m_version, wait,
                                              wait + store_call_timeout);
    if (!is_ok(page) && error_of(page).m_kind == platform::store_error_kind::history_gone)
    {
        log_event{"store_history_gone"}
            .add("table", table.m_name)
            .add("reason", error_of(page).m_detail);
        page = co_await m_store.read_table(table.m_name, store_call_timeout);
        if (is_ok(page))
        {
            record_read_result(table, true, began, "");
            apply_page(table, value_of(page), true, began);
            co_return true;
        }
    }
    const bool succeeded = is_ok(page);
    record_read_result(table, succeeded, began, succeeded ? "" : error_of(page).m_detail);
    if (succeeded)
    {
        apply_page(table, value_of(page), false, began);
    }
    co_return succeeded;
}

void store_watch::record_read_result(cached_table& table, bool succeeded,
                                     time_point began, const std::string& detail)
{
    const time_point at = now();
    serving::record_store_read(table.m_history, succeeded, began, at);
    const bool is_overdue = at - table.m_last_success > outage_threshold &&
                            !serving::is_store_read_elsewhere(m_state.m_hosts, at);
    if (succeeded)
    {
        // A new reader that finds the store working again may not have noticed an outage.
        auto& copy = table.m_copy;
        if (copy.m_unavailable || (is_overdue && copy.m_version != store_version{}))
        {
            copy.m_unavailable = false;
            copy.m_recovered_at = at;
            for (auto& [key, until] : copy.m_pending_removals)
            {
                until = at + serving::restore_timeout;
            }
            log_event{"store_regained"}.add("table", table.m_name);
        }
        table.m_last_success = at;
        return;
    }
    m_state.m_metrics.add("store_failures", {{"table", table.m_name}});
    log_event{"store_read_failed"}
        .add("table", table.m_name)
        .add("reason", detail)
        .add("took_ms", std::chrono::duration_cast<milliseconds>(at - began).count())
        .add("failures", table.m_history.m_consecutive_failures);
    if (!table.m_copy.m_unavailable && is_overdue)
    {
        table.m_copy.m_unavailable = true;
        log_event{"store_lost"}.add("table", table.m_name).add("reason", detail);
    }
}

serving::table_view& store_watch::view_of(const cached_table& table)
{
    return &table == &m_operator_table ? m_state.m_operator_view
                                       : m_state.m_registry_view;
}

void store_watch::confirm_views(const serving::peer_host& host)
{
    const host_report& report = host.m_report;
    if (report.m_store_access != store_access::reading || has_no_data() ||
        !serving::has_all_changes(m_pulls, report))
    {
        return;
    }
    const auto confirm = [&host](serving::table_view& view, std::uint32_t age)
    {
        const auto told = serving::view_of_age(age, host.m_reported_at);
        if (told.m_as_of)
        {
            serving::confirm_view(view, *told.m_as_of);
        }
    };
    confirm(m_state.m_operator_view, report.m_operator_age_ms);
    confirm(m_state.m_registry_view, report.m_registry_age_ms);
    serving::confirm_starts(m_state.m_upstreams, m_state.m_registry_view);
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

asio::awaitable<void> store_watch::maintain_addresses()
{
    time_point next_read{};
    while (!m_stopped)
    {
        const bool is_alone = m_state.m_hosts.m_hosts.empty();
        const bool is_responsible =
            is_alone || m_state.m_own_report.m_store_access == store_access::reading;
        if (!is_responsible || now() < next_read)
        {
            co_await sleep_for(address_check_interval);
            continue;
        }
        const bool read = co_await read_host_addresses();
        const bool succeeded = read && co_await write_missing_addresses();
        next_read = now() + (succeeded ? address_read_pause : address_retry_delay);
    }
}

asio::awaitable<bool> store_watch::read_host_addresses()
{
    const auto page =
        co_await m_store.read_table(platform::address_table_name, store_call_timeout);
    if (!is_ok(page))
    {
        co_return false;
    }
    m_stored_addresses.clear();
    for (const serving::store_row& entry : value_of(page).m_rows)
    {
        m_stored_addresses[entry.m_key] = entry.m_value;
        add_address(entry.m_value);
    }
    co_return true;
}

std::vector<platform::row_write> store_watch::missing_address_rows() const
{
    std::vector<platform::row_write> rows;
    const auto add = [&](const node_id& node, std::string address)
    {
        const auto stored = m_stored_addresses.find(node.m_value);
        const bool is_missing =
            stored == m_stored_addresses.end() || stored->second != address;
        if (is_missing && rows.size() < max_rows_per_write)
        {
            rows.push_back({platform::address_table_name, node.m_value,
                            std::move(address), false, std::nullopt});
        }
    };
    add(m_state.m_settings.m_node, to_text(m_state.m_settings.m_peer_endpoint));
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        const node_address& peer = host.m_report.m_peer;
        if (serving::is_live(host, now()))
        {
            add(id, peer.m_ip + ':' + std::to_string(peer.m_port));
        }
    }
    return rows;
}

asio::awaitable<bool> store_watch::write_missing_addresses()
{
    for (auto rows = missing_address_rows(); !rows.empty(); rows = missing_address_rows())
    {
        const std::vector<platform::row_write> sent = rows;
        const auto written = co_await m_store.write(std::move(rows), store_call_timeout);
        if (!is_ok(written))
        {
            log_event{"host_rows_not_written"}
                .add("rows", sent.size())
                .add("reason", error_of(written).m_detail);
            co_return false;
        }
        for (const platform::row_write& row : sent)
        {
            m_stored_addresses[row.m_key] = row.m_value;
        }
    }
    co_return true;
}

} // namespace geraniumdoor::edge
