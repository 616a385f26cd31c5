#include "caller_session.hpp"

#include <geraniumdoor/base/invariant.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace geraniumdoor
{

caller_session::caller_session(boost::asio::any_io_executor executor)
    : m_changed{executor, time_point::max()}
{
}

void caller_session::add_part(const reply_part& part)
{
    m_parts.push_back(part);
    m_changed.cancel();
}

void caller_session::finish(pipeline_answer answer)
{
    require_invariant(!m_final, "one_final_answer", to_string(answer.m_id));
    m_final = std::move(answer);
    m_changed.cancel();
}

void caller_session::close()
{
    m_closed = true;
    m_changed.cancel();
}

boost::asio::awaitable<void> caller_session::wait()
{
    if (m_parts.empty() && !m_final && !m_closed)
    {
        co_await m_changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

std::vector<reply_part> caller_session::take_parts()
{
    return std::exchange(m_parts, {});
}

} // namespace geraniumdoor
