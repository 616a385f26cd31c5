#pragma once

#include <geraniumdoor/dispatch/dispatcher.hpp>
#include <geraniumdoor/dispatch/ownership.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace geraniumdoor::testing
{

/// Table service in memory whose versions start again after a row is deleted.
struct fake_table
{
    std::map<std::string, table_row> m_rows;
    bool m_up = true;
    /// Refuses connections while it is down, so that nothing of a write leaves.
    bool m_refuses = false;

    table_transaction_end apply(const table_transaction& transaction);
    std::vector<table_row> scan(const std::string& prefix) const;
    table_row read(const std::string& key) const;
};

/// One process with its inbox, which fills while the process is paused.
struct simulated_node
{
    node_id m_node;
    incarnation m_incarnation;
    bool m_alive = true;
    bool m_paused = false;
    bool m_stopping = false;
    time_point m_next_tick{};
    ownership_state m_ownership;
    dispatcher_state m_dispatcher;
    std::deque<std::function<void(simulated_node&)>> m_inbox;
};

struct simulated_upstream
{
    upstream_record m_record;
    std::uint32_t m_cold_limit = 1;
    std::uint32_t m_outstanding = 0;
};

/// What the faults of a run achieved, so that a run without any is noticed.
struct simulation_counts
{
    std::uint64_t m_answered = 0;
    std::uint64_t m_revoked = 0;
    std::uint64_t m_accepted_transfers = 0;
    std::uint64_t m_gained_by_release = 0;
    std::uint64_t m_authority_in_outage = 0;
};

/// Several nodes over one table service and one network, on one simulated clock.
class cluster_simulation
{
public:
    cluster_simulation(std::uint32_t seed, std::size_t nodes, std::size_t upstreams);

    /// Runs until the time, with calls arriving at random nodes.
    void run_for(milliseconds length);

    /// Starts one random fault, or ends one.
    void inject_fault();

    void heal_all();
    void kill(std::size_t at);
    void start(std::size_t at);
    void stop_gracefully(std::size_t at);

    /// First breach of a promise, or empty.
    std::string m_breach;
    simulation_counts m_counts;
    fake_table m_table;
    std::vector<simulated_node> m_nodes;
    std::map<upstream_id, simulated_upstream> m_upstreams;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    /// Parts of a thousand: lost and late table answers and messages.
    std::uint32_t m_loss = 30;
    time_point m_now{milliseconds{1'000'000}};

    /// Nodes that may dispatch to the upstream now, paused ones included.
    std::size_t authorities(const upstream_id& upstream) const;

private:
    using deliver = std::function<void(simulated_node&)>;

    bool chance(std::uint32_t in_thousand);
    milliseconds random_ms(std::uint32_t low, std::uint32_t high);
    void at(time_point when, std::function<void()> call);
    void deliver_to(std::size_t node, incarnation process, deliver call);
    void step();
    void tick_node(std::size_t node);
    void update_members(simulated_node& node);
    void send_random_call();
    void check();
    void execute(std::size_t node, std::vector<ownership_action>& actions);
    void execute(std::size_t node, std::vector<dispatcher_action>& actions);
    void send(std::size_t from, const send_lease_message& message);
    void call_table(std::size_t node, const table_transaction& transaction);
    void call_table(std::size_t node, deliver failure, std::function<deliver()> look);
    deliver end_transaction(std::size_t node, table_transaction_end end);
    deliver end_read(std::size_t node, table_read_end end);
    deliver end_scan(std::size_t node, table_scan_end end);
    void run_upstream(std::size_t node, const start_upstream_call& call);

    random_source m_random;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_next_incarnation = 1;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace geraniumdoor::testing
