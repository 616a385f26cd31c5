#pragma once

#include "rollout_exchange.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>

#include <platform/rollout_rows.hpp>
#include <platform/store_client.hpp>

namespace geraniumdoor::edge
{

/// Writes the state of the operator's orders to the store. One host writes, under a
/// condition, after it has read what was written before.
class rollout_store
{
public:
    rollout_store(edge_state& state, rollout_exchange& rollouts);

    /// Starts the reads and writes, which continue until stop is called.
    void start();
    void stop();

private:
    /// Status row as last read or written by this host.
    struct stored_status
    {
        store_version m_row;
        std::optional<platform::rollout_status> m_status;
    };

    boost::asio::awaitable<void> run();
    /// Returns false if a call to the store failed.
    boost::asio::awaitable<bool> update();
    boost::asio::awaitable<bool> read_statuses();
    /// Takes over the phase of an order whose status the store has.
    void adopt(const serving::rollout& entry);
    /// Whether the store's row is of the order, and what it says.
    std::optional<serving::rollout_phase>
    stored_phase(const serving::rollout& entry) const;
    boost::asio::awaitable<bool> write_status(pool_id pool);

    edge_state& m_state;
    rollout_exchange& m_rollouts;
    platform::store_client m_store;
    std::map<pool_id, stored_status> m_statuses;
    /// Orders whose status was read.
    std::map<pool_id, store_version> m_read_for;
    bool m_is_current = false;
    std::uint64_t m_store_returns = 0;
    bool m_stopped = false;
};

} // namespace geraniumdoor::edge
