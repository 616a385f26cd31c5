#pragma once

#include "edge_state.hpp"
#include "origin_exchange.hpp"

#include <geraniumdoor/serving/stored_origins.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <platform/store_client.hpp>

namespace geraniumdoor::edge
{

/// Keeps in the store what hosts have to know of earlier streams when all of them have
/// restarted. Hosts that read the store read these rows once; one of them writes.
class origin_store
{
public:
    origin_store(edge_state& state, origin_exchange& exchange);

    /// Starts the reads and writes, which continue until stop is called.
    void start();
    void stop();

private:
    boost::asio::awaitable<void> run();
    /// Returns false if a call to the store failed.
    boost::asio::awaitable<bool> update();
    boost::asio::awaitable<bool> read_versions();
    boost::asio::awaitable<bool> read_streams();
    boost::asio::awaitable<bool> write_changes();
    std::vector<platform::row_write> changed_versions() const;
    void add_expired_rows(std::vector<platform::row_write>& rows) const;

    edge_state& m_state;
    origin_exchange& m_exchange;
    platform::store_client m_store;
    std::map<pool_id, serving::stored_versions> m_versions;
    /// Rows with versions of streams, and when they can be removed.
    std::map<std::string, time_point> m_stream_rows;
    /// Whether the rows are known as only this host can have changed them since.
    bool m_versions_are_current = false;
    bool m_streams_are_current = false;
    std::uint64_t m_store_returns = 0;
    /// Since when this host's view of the registry has had no gap, when it last read.
    time_point m_view_began_at{};
    /// The store has come back from an older copy, whose rows have not been read yet.
    bool m_rows_are_older = false;
    std::uint64_t m_last_row = 0;
    time_point m_last_stream_write{};
    bool m_stopped = false;
};

} // namespace geraniumdoor::edge
