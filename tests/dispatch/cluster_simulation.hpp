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

/// In-memory table service. The versions of a row start again after its deletion.
struct fake_table
{
    std::map<std::string, table_row> m_rows;
    bool m_available = true;
    /// Refuses connections while it is unavailable, so that writes are known not to have
    /// been sent.
    bool m_refuses_connections = false;

    table_transaction_end apply(const table_transaction& transaction);
    std::vector<table_row> scan(const std::string& prefix) const;
    table_row read(const std::string& key) const;
};

/// A process with its inbox, which fills while the process is paused.
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

/// Counts of the events that a run must produce for its result to be significant.
struct simulation_counts
{
    std::uint64_t m_answered = 0;
    std::uint64_t m_revoked = 0;
    std::uint64_t m_accepted_transfers = 0;
    std::uint64_t m_gained_by_release = 0;
    /// Upstreams with one authority during an outage of the table service, summed over
    /// all steps.
    std::uint64_t m_authority_in_outage = 0;
};

/// Several nodes with one table service and one network on a simulated clock.
class cluster_simulation
{
public:
    cluster_simulation(std::uint32_t seed, std::size_t nodes, std::size_t upstreams);

    /// Advances the clock by the length or until a violation. Calls arrive at random
    /// nodes.
    void run_for(milliseconds length);

    /// Starts or ends a random fault.
    void inject_fault();

    /// Ends all faults and restarts stopped nodes.
    void heal_all();
    void end_process(std::size_t index);
    void start(std::size_t index);
    void stop_gracefully(std::size_t index);

    /// Last violation found in the step that ended the run; empty if there was none.
    std::string m_violation;
    simulation_counts m_counts;
    fake_table m_table;
    std::vector<simulated_node> m_nodes;
    std::map<upstream_id, simulated_upstream> m_upstreams;
    std::set<std::pair<std::size_t, std::size_t>> m_cut_links;
    /// Probability per mille that a table answer or message is lost, late or duplicated.
    std::uint32_t m_loss_per_mille = 30;
    time_point m_now{milliseconds{1'000'000}};

    /// Returns the number of nodes that may dispatch to the upstream now, including
    /// paused ones.
    std::size_t count_authorities(const upstream_id& upstream) const;

private:
    using inbox_action = std::function<void(simulated_node&)>;

    bool chance(std::uint32_t per_mille);
    milliseconds random_ms(std::uint32_t low, std::uint32_t high);
    void schedule(time_point when, std::function<void()> call);
    void deliver_to(std::size_t node, incarnation expected, inbox_action action);
    void step();
    void tick_node(std::size_t node);
    void update_members(simulated_node& node);
    void send_random_call();
    void check();
    void execute(std::size_t node, std::vector<ownership_action>& actions);
    void execute(std::size_t node, std::vector<dispatcher_action>& actions);
    void send(std::size_t from, const send_lease_message& message);
    void call_table(std::size_t node, const table_transaction& transaction);
    void call_table(std::size_t node, inbox_action failure,
                    std::function<inbox_action()> execute_call);
    inbox_action end_transaction(std::size_t node, table_transaction_end end);
    inbox_action end_read(std::size_t node, table_read_end end);
    inbox_action end_scan(std::size_t node, table_scan_end end);
    void run_upstream(std::size_t node, const start_upstream_call& call);

    random_source m_random;
    std::uint64_t m_last_number = 0;
    std::uint64_t m_next_incarnation = 1;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace geraniumdoor::testing
