#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/cluster/messages.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>

#include <platform/store_client.hpp>

namespace geraniumdoor::edge
{

/// Age of a host's last read above which another host reads in its place. A read of the
/// operator's rows takes up to intent_wait, and its age is up to a report period old.
inline constexpr milliseconds longest_read_age{1100};

/// Entries that are missing for this long after an outage are gone. Source: the platform
/// promises that live ones are back within two seconds.
inline constexpr milliseconds return_time{2200};

struct held_row
{
    std::string m_value;
    /// Version of the store in which it was written or removed. Rows from other hosts are
    /// taken over only when they are newer.
    std::uint64_t m_version = 0;
    /// Version, and number of the change of this host, that last mattered to other hosts.
    std::uint64_t m_changed_version = 0;
    std::uint64_t m_change = 0;
    bool m_removed = false;
    /// Compressed value of a large row, once a host has asked for it.
    std::string m_packed;
};

/// Rows of one table of the store as this host holds them.
struct held_table
{
    std::string m_name;
    /// Removed rows stay, so that their removal can be handed on.
    std::map<std::string, held_row> m_rows;
    /// Version of the store as of which the rows are; zero when nothing was read.
    std::uint64_t m_version = 0;
    /// Removed during an outage or just after, each with the time at which it counts as
    /// gone.
    std::map<std::string, time_point> m_lapsed;
    time_point m_last_success{};
    /// When an outage ended.
    time_point m_regained{};
    bool m_lost = false;
};

/// Keeps the operator's rows and the registry of upstreams up to date, from the store or
/// from hosts that read it, and hands them to other hosts.
class store_watch
{
public:
    /// @param on_change called after each change of the state
    store_watch(edge_state& state, std::function<void()> on_change);

    /// Starts to read. Runs until stop.
    void start();
    void stop();

    /// Rows for a host that asks.
    state_push push_for(const state_pull& pull);

    /// Takes over the rows of another host that are newer than the own ones.
    void apply_push(const node_id& from, incarnation from_incarnation, state_push push);

    /// What to ask a host for; empty when it has nothing new, or does not read the store
    /// itself.
    /// @param wants_hosts asks for the list of live hosts in any case
    std::optional<state_pull> next_pull(const host_report& report, bool wants_hosts);

    /// Whether this host reads the store for the others at the moment.
    bool is_reader() const;

    /// Milliseconds since both tables were last read from the store; UINT32_MAX for
    /// never.
    std::uint32_t store_age_ms() const;

private:
    boost::asio::awaitable<void> watch(held_table& table, milliseconds wait,
                                       milliseconds pause);
    boost::asio::awaitable<bool> read_once(held_table& table, milliseconds wait);
    boost::asio::awaitable<result<platform::row_page, platform::store_error>>
    read_whole(std::string table);
    boost::asio::awaitable<void> keep_host_row();
    boost::asio::awaitable<bool> write_host_row();
    boost::asio::awaitable<void> read_host_rows();
    boost::asio::awaitable<void> pause_for(milliseconds length);

    bool others_read() const;
    void apply(held_table& table, const platform::row_page& page, bool whole);
    void take_table(held_table& table, const table_changes& changes);
    bool apply_row(held_table& table, const std::string& key, const std::string* value,
                   std::uint64_t version);
    bool apply_intent(const std::string& key, const std::string* value);
    bool apply_upstream(const std::string& key, const std::string* value);
    void remove_row(held_table& table, const std::string& key, std::uint64_t version);
    void remove_missing(held_table& table, const platform::row_page& page);
    void publish(std::uint64_t changes_before);
    void drop_lapsed();
    void note_result(held_table& table, bool good, const std::string& detail);
    void add_seed(const std::string& address);

    edge_state& m_state;
    std::function<void()> m_on_change;
    platform::store_client m_store;
    held_table m_intent;
    held_table m_registry;
    /// Changes applied since the start.
    std::uint64_t m_changes = 0;

    /// What was taken over from a host.
    struct taken
    {
        incarnation m_incarnation;
        std::uint64_t m_changes = 0;
    };
    std::map<node_id, taken> m_taken;
    /// Until when the answer of a host that was asked is waited for.
    time_point m_answer_due{};
    time_point m_started{};
    bool m_stopped = false;
};

} // namespace geraniumdoor::edge
