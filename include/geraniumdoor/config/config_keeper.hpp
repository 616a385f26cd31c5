#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/cluster/messages.hpp>
#include <geraniumdoor/config/config_change.hpp>
#include <geraniumdoor/config/configuration.hpp>
#include <geraniumdoor/config/urgent_state.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumdoor
{

/// Key of the configuration in the table service. The value is the document.
constexpr const char* config_row_key = "config/current";

struct config_keeper_settings
{
    /// Time between two polls of the table service for up to m_poll_nodes live nodes;
    /// beyond that it grows with their number.
    milliseconds m_poll_period{3000};
    std::uint32_t m_poll_nodes = 18;
    /// Time between two attempts to get a configuration while there is none, or while its
    /// version must be checked after a pause.
    milliseconds m_urgent_poll_period{500};
    /// Time after which an unanswered pull is repeated.
    milliseconds m_pull_timeout{1000};
    /// Time after which a change that is not stored is given up.
    milliseconds m_change_timeout{10'000};
    /// Time before a failed write is repeated; it doubles up to the longest.
    milliseconds m_shortest_retry{250};
    milliseconds m_longest_retry{8000};
    /// Nodes other than the one that accepted an urgent state store it after 5 to 10 s,
    /// in case that node has died.
    milliseconds m_store_delay{5000};
    /// A gap between two events that is longer than this is a pause.
    milliseconds m_pause{1000};
    std::size_t m_max_pending = 64;
    /// Reports that are kept for operators.
    std::size_t m_max_reports = 1000;
};

enum class change_outcome : std::uint8_t
{
    accepted,
    refused,
    /// In progress, or given up without knowing whether the write took effect.
    unknown,
    /// A data centre state that holds on this node and spreads, but is not stored.
    in_force_not_stored,
};

const char* to_text(change_outcome outcome);

/// What is known of one change.
struct change_report
{
    change_id m_id;
    change_outcome m_outcome = change_outcome::unknown;
    /// Version that contains the change, when it is accepted.
    config_version m_version;
    /// Set when the change is refused.
    change_refusal m_refusal;
    std::string m_message;
    std::vector<demand_shortfall> m_shortfalls;
};

struct send_config_pull
{
    node_id m_to;
    config_pull m_message;
};

struct send_config_push
{
    node_id m_to;
    config_push m_message;
};

/// The configuration in force has changed. It contains the urgent states.
struct configuration_in_force
{
    std::shared_ptr<const configuration> m_config;
};

/// Membership must spread this state.
struct spread_urgent_state
{
    urgent_state m_state;
};

/// The outcome of a change became known, or changed.
struct change_settled
{
    change_report m_report;
};

using config_action =
    std::variant<table_transaction, table_read, send_config_pull, send_config_push,
                 configuration_in_force, spread_urgent_state, change_settled>;
using config_actions = std::vector<config_action>;

/// Change that waits for the table service.
struct pending_change
{
    config_change m_change;
    time_point m_deadline;
    /// Whether a write that contains the change had an unknown effect.
    bool m_maybe_written = false;
};

/// Change that was given up although a write of it may still take effect.
struct unsettled_change
{
    change_id m_id;
    /// The write takes effect only while the row has this version.
    std::uint64_t m_checked_version = 0;
};

/// Urgent state that no accepted configuration contains.
struct urgent_entry
{
    urgent_state m_state;
    time_point m_store_at;
};

enum class store_phase : std::uint8_t
{
    idle,
    reading,
    writing,
};

/// The one read or conditional write of the configuration row in progress.
struct store_operation
{
    store_phase m_phase = store_phase::idle;
    table_call_id m_call;
    std::uint64_t m_checked_version = 0;
    /// Change that is being written; absent when urgent states are.
    std::optional<change_id> m_change;
    change_effect m_effect;
    time_point m_retry_at;
    milliseconds m_retry{0};
};

/// Pull of the configuration from a peer.
struct pull_state
{
    std::optional<node_id> m_from;
    time_point m_sent;
    /// Peer that still owes the answer to a pull from before a pause; that answer does
    /// not show that the version is fresh.
    std::optional<node_id> m_late_from;
};

/// Configuration of one node and the changes submitted through it.
struct config_keeper
{
    config_keeper_settings m_settings;
    random_source m_random;
    /// Configuration as accepted; null when there is none.
    std::shared_ptr<const configuration> m_accepted;
    /// The same with urgent states.
    std::shared_ptr<const configuration> m_in_force;
    /// Document of m_accepted.
    std::string m_document;
    /// Row version whose document was read last.
    std::uint64_t m_row_version = 0;
    table<data_centre_id, urgent_entry> m_urgent;
    std::deque<pending_change> m_pending;
    std::vector<unsettled_change> m_unsettled;
    table<change_id, change_report> m_reports;
    std::deque<change_id> m_report_order;
    store_operation m_store;
    std::optional<table_call_id> m_poll_call;
    time_point m_poll_at;
    pull_state m_pull;
    /// False after a pause, until the version was checked.
    bool m_fresh = true;
    /// Whether a poll has ended since the last pause.
    bool m_polled = false;
    table_call_id m_last_call;
    time_point m_last_event;
};

/// Other nodes as membership knows them at a tick.
struct config_peers
{
    /// Live nodes with this one.
    std::uint32_t m_live_nodes = 1;
    /// A live node other than this one, chosen at random; absent when there is none.
    std::optional<node_id> m_any;
};

config_keeper make_config_keeper(config_keeper_settings settings, random_source random,
                                 time_point now);

/// Whether new work may be accepted: a configuration is in force, and its version was
/// checked since the last pause.
bool is_ready(const config_keeper& keeper);

/// Version that membership datagrams carry; zero when there is no configuration.
config_version version_of(const config_keeper& keeper);

/// Urgent states that membership datagrams carry.
std::vector<urgent_state> urgent_states(const config_keeper& keeper);

/// Polls, pulls and stores what is due. Called each tick.
void on_tick(config_keeper& keeper, const config_peers& peers, time_point now,
             config_actions& actions);

/// A datagram of the peer carried this version.
void on_peer_version(config_keeper& keeper, const node_id& peer, config_version version,
                     time_point now, config_actions& actions);

/// A datagram carried this urgent state.
void on_urgent_state(config_keeper& keeper, const urgent_state& state, time_point now,
                     config_actions& actions);

void on_config_pull(config_keeper& keeper, const node_id& from,
                    const config_pull& message, time_point now, config_actions& actions);

void on_config_push(config_keeper& keeper, const node_id& from,
                    const config_push& message, time_point now, config_actions& actions);

/// Each table_read and table_transaction of the keeper ends exactly once. Their ids are
/// the keeper's own; the caller tells them from those of other modules.
void on_table_read_end(config_keeper& keeper, const table_read_end& end, time_point now,
                       config_actions& actions);
void on_table_transaction_end(config_keeper& keeper, const table_transaction_end& end,
                              time_point now, config_actions& actions);

/// Takes a change from an operator. Returns what is known at once; change_settled follows
/// when the outcome becomes known. A repeated change id gets the report of the first.
change_report submit_change(config_keeper& keeper, config_change change, time_point now,
                            config_actions& actions);

/// What is known of a change on this node; absent when the id was never heard of.
std::optional<change_report> find_change(const config_keeper& keeper,
                                         const change_id& id);

} // namespace geraniumdoor
