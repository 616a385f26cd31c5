#include "upstream_dialer.hpp"

#include <utility>

namespace geraniumdoor::edge
{

namespace asio = boost::asio;

upstream_dialer::upstream_dialer(edge_state& state, address_translation translate)
    : m_state{state}, m_translate{std::move(translate)}
{
}

asio::ip::tcp::endpoint
upstream_dialer::address_of(const serving::upstream_entry& entry) const
{
    return to_tcp(m_translate ? m_translate(entry.m_address) : entry.m_address);
}

asio::awaitable<result<done, http_error>>
upstream_dialer::connect(http_call& call, const serving::upstream_entry& entry,
                         milliseconds limit)
{
    auto connected = co_await call.connect(address_of(entry), limit);
    co_return connected;
}

asio::awaitable<result<http_response, http_error>>
upstream_dialer::send(http_client& client, const serving::upstream_entry& entry,
                      http_request request, http_call_options options)
{
    auto answer =
        co_await client.send(address_of(entry), std::move(request), std::move(options));
    co_return answer;
}

} // namespace geraniumdoor::edge
