#pragma once

#include "edge_state.hpp"

#include <geraniumdoor/edge/edge_daemon.hpp>
#include <geraniumdoor/net/http_call.hpp>
#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>

namespace geraniumdoor::edge
{

/// Opens the connections to upstreams.
class upstream_dialer
{
public:
    upstream_dialer(edge_state& state, address_translation translate);

    /// Connects a call to an upstream.
    boost::asio::awaitable<result<done, http_error>>
    connect(http_call& call, const serving::upstream_entry& entry, milliseconds limit);

    /// Sends a request to an upstream and returns the whole answer.
    boost::asio::awaitable<result<http_response, http_error>>
    send(http_client& client, const serving::upstream_entry& entry, http_request request,
         http_call_options options);

private:
    boost::asio::ip::tcp::endpoint address_of(const serving::upstream_entry& entry) const;

    edge_state& m_state;
    address_translation m_translate;
};

} // namespace geraniumdoor::edge
