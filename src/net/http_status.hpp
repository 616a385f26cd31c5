#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>

namespace geraniumdoor
{

/// Whether another response to the same request follows one with this status.
inline bool is_interim_status(unsigned status)
{
    return status >= 100 && status < 200;
}

/// Whether a response with this status ends a request.
inline bool is_final_status(unsigned status)
{
    return status >= 200 && status < 600;
}

/// Sets the status of a response, which need not be one that Beast lists.
template<class Body>
void set_status(boost::beast::http::response<Body>& message, unsigned status)
{
    message.result(status);
    if (message.result() == boost::beast::http::status::unknown)
    {
        message.reason("Unlisted");
    }
}

} // namespace geraniumdoor
