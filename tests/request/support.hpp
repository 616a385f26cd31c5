#pragma once

#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/request/coordinator.hpp>

#include <map>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

/// In-memory table service with row versions and conditional transactions. A deleted row
/// that returns has a higher version.
struct fake_table
{
    std::map<std::string, table_row> m_rows;
    std::uint64_t m_last_version = 0;

    table_row read(const std::string& key) const;
    table_transaction_end apply(const table_transaction& transaction);
};

/// Pipeline "order": retrieve (idempotent), pay (non-idempotent), ledger (idempotent,
/// required after pay). Pipeline "ask": encode and generate, both idempotent.
configuration example_configuration();

ownership_announce announce(const std::string& owner, std::uint64_t started,
                            std::vector<std::string> pools);

/// A coordinator "a", owners "o1" and "o2" that serve all pools, and a table service.
struct fixture
{
    fixture();

    coordinator m_state;
    coordinator_actions m_actions;
    fake_table m_table;
    time_point m_now{seconds{100}};

    pipeline_request request(std::uint64_t counter, const std::string& pipeline) const;
    request_id start(std::uint64_t counter, const std::string& pipeline);
    void pass(milliseconds length);

    /// Removes and returns the actions of one type.
    template<class Action>
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        coordinator_actions rest;
        for (auto& action : m_actions)
        {
            if (auto* match = std::get_if<Action>(&action))
            {
                taken.push_back(std::move(*match));
            }
            else
            {
                rest.push_back(std::move(action));
            }
        }
        m_actions = std::move(rest);
        return taken;
    }

    /// Executes table calls until none is pending.
    void serve_table();

    /// Removes and returns the only call to be sent; fails the test if there is not
    /// exactly one.
    send_stage_call only_call();
    void answer(const send_stage_call& call, const std::string& output,
                std::uint32_t tokens = 0);
    void fail(const send_stage_call& call, call_outcome outcome, call_reason reason,
              const std::string& upstream = "u");
    void chunk(const send_stage_call& call, std::uint32_t index);
    pipeline_answer only_answer();
    /// Returns the first claim row; fails if there is none.
    claim_row only_claim() const;
};

} // namespace geraniumdoor::test
