#pragma once

#include <geraniumdoor/request/coordinator_actions.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// Carries parts and the final answer from the coordinator to the HTTP handler of one
/// request.
class caller_session
{
public:
    explicit caller_session(boost::asio::any_io_executor executor);

    void add_part(const reply_part& part);
    void finish(pipeline_answer answer);

    /// The caller has gone: nothing is sent any more.
    void close();

    /// Returns once there is a part or the final answer, or the session is closed.
    boost::asio::awaitable<void> wait();

    /// Removes the parts that have come since the last call.
    std::vector<reply_part> take_parts();

    const std::vector<reply_part>& parts() const
    {
        return m_parts;
    }

    bool closed() const
    {
        return m_closed;
    }

    const std::optional<pipeline_answer>& final_answer() const
    {
        return m_final;
    }

private:
    boost::asio::steady_timer m_changed;
    std::vector<reply_part> m_parts;
    std::optional<pipeline_answer> m_final;
    bool m_closed = false;
};

} // namespace geraniumdoor
