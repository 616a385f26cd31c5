#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/serving/row_pulls.hpp>
#include <geraniumdoor/serving/store_readers.hpp>
#include <geraniumdoor/serving/table_copy.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <platform/store_client.hpp>

namespace geraniumdoor::edge
{

/// Local copy of one table of the store, and how it is read.
struct cached_table
{
    std::string m_name;
    serving::copy_rules m_rules;
    serving::table_copy m_copy;
    time_point m_last_success{};
    serving::store_read_history m_history;
    /// The last read succeeded, and this host has been a reader since.
    bool m_is_being_read = false;
    /// When this host last began to read the table for itself.
    time_point m_last_own_read{};
    /// When the read in progress takes longer than usual; empty while there is none.
    std::optional<time_point> m_overdue_at;
};

/// Keeps local copies of the operator table, which holds the configuration and the
/// evacuations, and of the registry of upstreams up to date. A few hosts read the store;
/// the others pull the changes from them.
class store_watch
{
public:
    /// @param on_change called after each change of the rows
    /// @param on_access_change called when other hosts should learn that this host began
    /// or ceased to read the store
    store_watch(edge_state& state, std::function<void()> on_change,
                std::function<void()> on_access_change);

    /// Starts the reads, which continue until stop is called.
    void start();
    void stop();

    /// Returns the rows that answer another host's pull, or that this host is busy.
    /// @param backlog_bytes bytes that wait to be sent to other hosts
    state_push push_for(const state_pull& pull, std::size_t backlog_bytes);

    /// Applies the rows of another host that are newer than the local ones.
    void apply_push(const node_id& from, incarnation from_incarnation, state_push push);

    /// Returns the pull to send to a host after its report; empty if the host has no new
    /// changes or does not read the store itself, or while another pull is in progress.
    /// @param wants_hosts pull even without new changes, to get the list of live hosts
    std::optional<state_pull> next_pull(const host_report& report, bool wants_hosts);

    /// Ends the wait for the answer of a host whose connection was lost, or that a pull
    /// did not reach.
    void on_peer_lost(const node_id& host);

    /// Whether this host is one of those that read the store at the moment.
    bool is_reader() const;

    /// Notes how current the copies of this host are, if it has all rows that the host
    /// had when it sent its last report.
    void confirm_views(const serving::peer_host& host);

    /// Updates the access to the store that this host reports.
    void update_access();

private:
    boost::asio::awaitable<void> watch_table(cached_table& table, milliseconds wait,
                                             milliseconds pause);
    /// Whether this host reads a table although it is not a reader.
    bool reads_for_itself(const cached_table& table);
    void begin_own_read(cached_table& table);
    boost::asio::awaitable<bool> refresh_table(cached_table& table, milliseconds wait);
    boost::asio::awaitable<bool> read_table(cached_table& table, milliseconds wait,
                                            time_point began);
    boost::asio::awaitable<void> maintain_addresses();
    boost::asio::awaitable<bool> read_host_addresses();
    boost::asio::awaitable<bool> write_missing_addresses();
    std::vector<platform::row_write> missing_address_rows() const;
    boost::asio::awaitable<void> sleep_for(milliseconds length);

    void apply_page(cached_table& table, const platform::row_page& page, bool complete,
                    time_point as_of);
    serving::table_view& view_of(const cached_table& table);
    void apply_changes(cached_table& table, const table_changes& changes);
    /// Stores a change and lets it take effect. Returns whether it is relevant to other
    /// hosts.
    bool apply_row(cached_table& table, const serving::row_change& change);
    bool apply_operator_row(const serving::row_change& change);
    void apply_rollout_order(const pool_id& pool, const serving::row_change& change);
    bool apply_upstream(const std::string& key, const std::string* value);
    /// Returns all rows of the registry; a large one is compressed, and kept for the
    /// hosts that ask next.
    table_changes whole_registry();
    void publish(std::uint64_t changes_before);
    void apply_due_changes();
    /// Ends a pull that was not answered in time.
    void expire_pulls();
    bool has_no_data() const;
    void record_read_result(cached_table& table, bool succeeded, time_point began,
                            const std::string& detail);
    void add_address(const std::string& address);

    edge_state& m_state;
    std::function<void()> m_on_change;
    std::function<void()> m_on_access_change;
    platform::store_client m_store;
    cached_table m_operator_table;
    cached_table m_registry;
    /// Addresses in the store by host, as last read or written.
    std::map<std::string, std::string> m_stored_addresses;
    /// Number of changes applied since the start.
    std::uint64_t m_changes = 0;

    serving::row_pulls m_pulls;
    /// Host whose rows are being applied; empty for rows of the store.
    node_id m_row_source;
    /// The registry as compressed for the last pull of all rows, when it was compressed,
    /// and the number of changes that it includes.
    std::string m_packed_registry;
    time_point m_registry_packed_at{};
    std::uint64_t m_packed_changes = 0;
    time_point m_started{};
    bool m_stopped = false;
};

} // namespace geraniumdoor::edge
