#include "store_watch.hpp"

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/base/packed_text.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <unordered_set>
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

/// Age of a host's last read above which another host reads in its place. A read of the
/// operator's rows takes up to intent_wait, and its age is up to a report period old.
constexpr milliseconds longest_read_age{1100};

/// Time in which a host that has just started hears of others, through the seeds.
constexpr milliseconds hear_hosts_first{60};

/// Time in which a host that has just started asks other hosts before it reads the store
/// beside the first readers.
constexpr milliseconds ask_hosts_first{700};

/// Time after which a host that has learnt nothing from others reads the store whoever
/// else does. 65 hosts that started together knew all after 1.4 s.
constexpr milliseconds ask_hosts_longest{3000};

/// Time for a host's answer before another one is asked. A whole table of 200 KB takes a
/// 10 Mbit link 160 ms.
constexpr milliseconds answer_patience{500};

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

/// Entries that are missing for this long after an outage are gone. Source: the platform
/// promises that live ones are back within two seconds.
constexpr milliseconds return_time{2200};

/// Time between two reads of the rows in which hosts name their addresses.
constexpr milliseconds host_rows_pause{4000};

/// Values from this size on travel compressed. A configuration of 1,500 routes has about
/// 400 KB, which takes a link of 10 Mbit/s 320 ms.
constexpr std::size_t packed_from = 4096;

/// Longest value of a row. Source: messages between hosts have 4 MB at most.
constexpr std::size_t longest_value = std::size_t{4} * 1024 * 1024;

stored_row to_stored_row(const std::string& key, held_row& row)
{
    if (row.m_value.size() < packed_from)
    {
        return {key, row.m_value, row.m_version, row.m_removed, false};
    }
    if (row.m_packed.empty())
    {
        row.m_packed = pack_text(row.m_value);
    }
    return {key, row.m_packed, row.m_version, row.m_removed, true};
}

/// Rows that changed after a number of changes, or after a version when the number is
/// zero.
table_changes changes_of(held_table& table, std::uint64_t after, std::uint64_t version)
{
    table_changes changes;
    changes.m_version = table.m_version;
    for (auto& [key, row] : table.m_rows)
    {
        const bool wanted =
            after > 0 ? row.m_change > after : row.m_changed_version > version;
        if (wanted)
        {
            changes.m_rows.push_back(to_stored_row(key, row));
        }
    }
    return changes;
}

/// Returns whether all values could be decompressed.
bool unpack(table_changes& changes)
{
    for (stored_row& row : changes.m_rows)
    {
        if (!row.m_packed)
        {
            continue;
        }
        auto value = unpack_text(row.m_value, longest_value);
        if (!value)
        {
            return false;
        }
        row.m_value = *std::move(value);
        row.m_packed = false;
    }
    return true;
}

} // namespace

store_watch::store_watch(edge_state& state, std::function<void()> on_change)
    : m_state{state}
    , m_on_change{std::move(on_change)}
    , m_store{state.m_executor, to_tcp(state.m_settings.m_store)}
{
    m_intent.m_name = platform::intent_table;
    m_registry.m_name = platform::registry_table;
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
               serving::reads_first(m_state.m_hosts, m_state.m_own, store_readers);
    }
    return serving::reads_store(m_state.m_hosts, m_state.m_own, store_readers,
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
    auto page = co_await m_store.changes(table.m_name, table.m_version, wait,
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
        auto page = co_await m_store.read(table, from, answer_limit);
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

void store_watch::apply(held_table& table, const platform::row_page& page, bool whole)
{
    if (page.m_version < table.m_version)
    {
        log_event{"store_read_stale"}
            .add("table", table.m_name)
            .add("version", page.m_version)
            .add("held", table.m_version);
        return;
    }
    const std::uint64_t before = m_changes;
    const bool first = table.m_version == 0;
    if (whole)
    {
        remove_missing(table, page);
    }
    for (const platform::row& entry : page.m_rows)
    {
        if (entry.m_removed)
        {
            remove_row(table, entry.m_key, entry.m_version);
        }
        else
        {
            table.m_lapsed.erase(entry.m_key);
            apply_row(table, entry.m_key, &entry.m_value, entry.m_version);
        }
    }
    table.m_version = page.m_version;
    m_changes += first ? 1 : 0;
    publish(before);
}

void store_watch::remove_missing(held_table& table, const platform::row_page& page)
{
    std::vector<std::string> missing;
    std::unordered_set<std::string_view> present;
    for (const platform::row& entry : page.m_rows)
    {
        present.insert(entry.m_key);
    }
    for (const auto& [key, row] : table.m_rows)
    {
        if (!present.contains(key) && !row.m_removed)
        {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing)
    {
        remove_row(table, key, page.m_version);
    }
}

/// Returns whether the change matters to other hosts. A null value removes the row.
bool store_watch::apply_row(held_table& table, const std::string& key,
                            const std::string* value, std::uint64_t version)
{
    held_row& held = table.m_rows[key];
    const bool is_new = held.m_version == 0;
    if (version <= held.m_version && !is_new)
    {
        return false;
    }
    const bool same = !is_new && held.m_removed == (value == nullptr) &&
                      (value == nullptr || held.m_value == *value);
    held.m_version = version;
    held.m_removed = value == nullptr;
    held.m_value = value == nullptr ? std::string{} : *value;
    held.m_packed.clear();
    if (same)
    {
        return false;
    }
    const bool matters =
        &table == &m_intent ? apply_intent(key, value) : apply_upstream(key, value);
    if (matters || is_new)
    {
        held.m_change = ++m_changes;
        held.m_changed_version = version;
    }
    return matters;
}

void store_watch::publish(std::uint64_t changes_before)
{
    m_state.m_own.m_changes = m_changes;
    m_state.m_registry_known = m_registry.m_version != 0;
    if (m_changes != changes_before)
    {
        m_on_change();
    }
}

void store_watch::remove_row(held_table& table, const std::string& key,
                             std::uint64_t version)
{
    const auto held = table.m_rows.find(key);
    const bool known = held != table.m_rows.end() && !held->second.m_removed;
    const bool may_return = known && &table == &m_registry &&
                            (table.m_lost || now() - table.m_regained < return_time);
    if (may_return)
    {
        table.m_lapsed.try_emplace(key, table.m_regained + return_time);
        return;
    }
    table.m_lapsed.erase(key);
    apply_row(table, key, nullptr, version);
}

void store_watch::drop_lapsed()
{
    const time_point at = now();
    std::vector<std::string> gone;
    for (const auto& [key, until] : m_registry.m_lapsed)
    {
        if (until <= at && !m_registry.m_lost)
        {
            gone.push_back(key);
        }
    }
    const std::uint64_t before = m_changes;
    for (const std::string& key : gone)
    {
        m_registry.m_lapsed.erase(key);
        apply_row(m_registry, key, nullptr, m_registry.m_version);
    }
    publish(before);
}

bool store_watch::apply_intent(const std::string& key, const std::string* value)
{
    if (const auto data_centre = platform::evacuated_data_centre(key))
    {
        if (value != nullptr)
        {
            m_state.m_upstreams.m_evacuated.insert(*data_centre);
        }
        else
        {
            m_state.m_upstreams.m_evacuated.erase(*data_centre);
        }
        log_event{value != nullptr ? "evacuation_begun" : "evacuation_ended"}.add(
            "data_centre", *data_centre);
        return true;
    }
    if (key != platform::configuration_key || value == nullptr)
    {
        return true;
    }
    auto config = platform::decode_configuration(*value);
    if (!is_ok(config))
    {
        log_event{"configuration_rejected"}.add("reason", error_of(config).m_detail);
        return true;
    }
    const auto held = m_state.m_routing;
    if (held && value_of(config).m_version <= held->m_version)
    {
        log_event{"configuration_not_newer"}
            .add("version", value_of(config).m_version)
            .add("held", held->m_version);
        return true;
    }
    m_state.m_routing =
        std::make_shared<const serving::routing>(value_of(std::move(config)));
    log_event{"configuration_in_force"}
        .add("version", m_state.m_routing->m_version)
        .add("routes", m_state.m_routing->m_routes.size())
        .add("keys", m_state.m_routing->m_keys.size());
    return true;
}

bool store_watch::apply_upstream(const std::string& key, const std::string* value)
{
    const upstream_id id{key};
    if (value == nullptr)
    {
        m_state.m_upstreams.m_rows.erase(id);
        log_event{"upstream_gone"}.add("upstream", id);
        return true;
    }
    const auto entry = platform::decode_upstream(key, *value);
    if (!is_ok(entry))
    {
        log_event{"registry_entry_rejected"}
            .add("upstream", id)
            .add("reason", error_of(entry).m_detail);
        return m_state.m_upstreams.m_rows.erase(id);
    }
    const auto* known = m_state.m_upstreams.m_rows.find(id);
    const bool matters =
        known == nullptr || serving::differs(known->m_entry, value_of(entry));
    if (matters)
    {
        log_event{"upstream_known"}
            .add("upstream", id)
            .add("pool", value_of(entry).m_pool)
            .add("data_centre", value_of(entry).m_data_centre)
            .add("leaving", value_of(entry).m_leaving)
            .add("cold_ms", value_of(entry).m_cold_for.count());
    }
    serving::put_entry(m_state.m_upstreams, value_of(entry), now());
    return matters;
}

state_push store_watch::answer_to(const state_pull& pull)
{
    state_push push;
    push.m_changes = m_changes;
    // Nothing returns to this table after an outage, so that versions alone tell what is
    // new; the configuration is large.
    push.m_intent = changes_of(m_intent, 0, pull.m_intent_version);
    push.m_registry = changes_of(m_registry, pull.m_after, pull.m_registry_version);
    if (!pull.m_wants_hosts)
    {
        return push;
    }
    push.m_hosts.push_back(to_text(m_state.m_settings.m_peers));
    for (const auto& [id, host] : m_state.m_hosts.m_hosts)
    {
        if (serving::is_live(host, live_for(m_state), now()))
        {
            const node_address& peer = host.m_report.m_peer;
            push.m_hosts.push_back(peer.m_ip + ':' + std::to_string(peer.m_port));
        }
    }
    return push;
}

std::optional<state_pull> store_watch::question_for(const host_report& report,
                                                    bool wants_hosts)
{
    taken& known = m_taken[report.m_node];
    if (known.m_incarnation != report.m_incarnation)
    {
        known = {report.m_incarnation, 0};
    }
    const bool nothing_known = m_intent.m_version == 0 || m_registry.m_version == 0;
    const bool reads = report.m_store_age_ms <= longest_read_age.count();
    const bool news = report.m_changes > known.m_changes && (reads || nothing_known);
    // One question at a time: the tables are large for a narrow link, and all readers
    // tell the same.
    if ((!news && !wants_hosts) || now() < m_answer_due)
    {
        return std::nullopt;
    }
    m_answer_due = now() + answer_patience;
    // The answer counts as all that the host knows, so that every question asks for all
    // that is missing.
    return state_pull{known.m_changes, m_intent.m_version, m_registry.m_version,
                      wants_hosts || nothing_known};
}

void store_watch::take(const node_id& from, incarnation from_incarnation, state_push push)
{
    const bool readable = unpack(push.m_intent) && unpack(push.m_registry);
    if (!readable)
    {
        log_event{"rows_unreadable"}.add("host", from);
        return;
    }
    taken& known = m_taken[from];
    known.m_incarnation = from_incarnation;
    m_answer_due = now();
    known.m_changes = std::max(known.m_changes, push.m_changes);
    const std::uint64_t before = m_changes;
    take_table(m_intent, push.m_intent);
    take_table(m_registry, push.m_registry);
    publish(before);
    for (const std::string& address : push.m_hosts)
    {
        add_seed(address);
    }
}

void store_watch::take_table(held_table& table, const table_changes& changes)
{
    for (const stored_row& row : changes.m_rows)
    {
        // The other host has waited for entries that may return after an outage.
        table.m_lapsed.erase(row.m_key);
        apply_row(table, row.m_key, row.m_removed ? nullptr : &row.m_value,
                  row.m_version);
    }
    m_changes += table.m_version == 0 && changes.m_version != 0 ? 1 : 0;
    table.m_version = std::max(table.m_version, changes.m_version);
}

bool store_watch::others_read() const
{
    return std::any_of(m_state.m_hosts.m_hosts.begin(), m_state.m_hosts.m_hosts.end(),
                       [&](const auto& entry)
                       {
                           const serving::peer_host& host = entry.second;
                           return host.m_report.m_store_age_ms <=
                                      longest_read_age.count() &&
                                  serving::is_live(host, live_for(m_state), now());
                       });
}

std::uint32_t store_watch::age_ms() const
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
    const ip_endpoint& peers = m_state.m_settings.m_peers;
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
