#pragma once

#include "sample_configuration.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/config/config_keeper.hpp>
#include <geraniumdoor/config/configuration_document.hpp>

#include <map>
#include <vector>

/// Some nodes, the configuration row of the table service, and faults between them. Time
/// moves by hand, in steps of 50 ms.
class keeper_world
{
public:
    explicit keeper_world(std::size_t nodes, std::uint64_t seed = 20261204);

    struct node
    {
        geraniumdoor::config_keeper m_keeper;
        std::map<std::string, geraniumdoor::change_report> m_settled;
        bool m_reaches_store = true;
        bool m_reaches_peers = true;
        bool m_dead = false;
        std::uint64_t m_highest_version = 0;
    };

    /// Ticks all nodes until the time has passed. Every second each node tells its
    /// version and urgent states to the others.
    void run_for(geraniumdoor::duration length);

    geraniumdoor::change_report submit(std::size_t at,
                                       geraniumdoor::config_change change);

    /// Performs the actions of a node, and the actions that follow.
    void perform(std::size_t at, geraniumdoor::config_actions actions);

    /// Imports sample_configuration at the first node and spreads it.
    void start_with_sample();

    /// Lets the held writes take effect, if their condition still holds.
    void release_held_writes();

    geraniumdoor::change_outcome outcome(std::size_t at, const std::string& id) const;
    geraniumdoor::data_centre_state state(std::size_t at, const std::string& id) const;
    std::uint32_t weight(std::size_t at, const std::string& id) const;

    std::vector<node> m_nodes;
    geraniumdoor::table_row m_row;
    geraniumdoor::time_point m_now;
    /// Number of writes that take effect without an answer.
    int m_lost_answers = 0;
    /// Number of writes that get no answer and take effect when they are released.
    int m_held_answers = 0;
    /// Writes do not leave the node, while reads are answered.
    bool m_refuses_writes = false;

private:
    void perform_one(std::size_t at, const geraniumdoor::config_action& action);
    void read(std::size_t at, const geraniumdoor::table_read& call);
    void write(std::size_t at, const geraniumdoor::table_transaction& call);
    void commit(const geraniumdoor::table_transaction& call);
    void gossip(std::size_t from);
    bool connected(std::size_t left, std::size_t right) const;
    geraniumdoor::config_peers peers_of(std::size_t at) const;

    std::vector<geraniumdoor::table_transaction> m_held;
    geraniumdoor::duration m_since_gossip{};
};

/// Change of a workspace's weight.
geraniumdoor::config_change weight_change(const std::string& id, const std::string& by,
                                          const std::string& workspace,
                                          std::uint32_t weight);

/// Change of a data centre's state.
geraniumdoor::config_change state_change(const std::string& id, const std::string& by,
                                         const std::string& data_centre,
                                         geraniumdoor::data_centre_state state);
