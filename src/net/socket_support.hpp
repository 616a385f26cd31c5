#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace geraniumdoor
{

/// Opens a socket that is about to connect, so that a process without descriptors is told
/// apart from a peer that cannot be reached.
boost::system::error_code open_for(boost::asio::ip::tcp::socket& socket,
                                   const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace geraniumdoor
