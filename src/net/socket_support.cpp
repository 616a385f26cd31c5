#include "socket_support.hpp"

namespace geraniumdoor
{

boost::system::error_code open_for(boost::asio::ip::tcp::socket& socket,
                                   const boost::asio::ip::tcp::endpoint& endpoint)
{
    boost::system::error_code error;
    if (!socket.is_open())
    {
        socket.open(endpoint.protocol(), error);
    }
    return error;
}

} // namespace geraniumdoor
