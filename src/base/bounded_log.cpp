#include <geraniumdoor/base/bounded_log.hpp>

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace geraniumdoor
{

bounded_log::bounded_log(int descriptor, bounded_log_limits limits)
    : m_descriptor{descriptor}
    , m_limits{limits}
    , m_start{std::chrono::steady_clock::now()}
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags != -1)
    {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_log::write(std::string_view line, time_point now)
{
    if (now - m_second >= seconds{1})
    {
        m_second = now;
        m_lines = 0;
    }
    flush();
    const bool fits = m_lines < m_limits.m_lines_per_s &&
                      m_waiting.size() + line.size() < m_limits.m_waiting_bytes;
    if (!fits)
    {
        ++m_left_out;
        return;
    }
    if (m_left_out > m_reported)
    {
        append("event=log_lines_left_out count=" +
                   std::to_string(m_left_out - m_reported),
               now);
        m_reported = m_left_out;
    }
    ++m_lines;
    append(line, now);
    flush();
}

void bounded_log::append(std::string_view line, time_point now)
{
    const auto since = std::chrono::duration_cast<milliseconds>(now - m_start);
    m_waiting += "t_ms=" + std::to_string(since.count()) + ' ';
    m_waiting += line;
    m_waiting += '\n';
}

void bounded_log::flush()
{
    while (!m_waiting.empty())
    {
        const ssize_t written = ::write(m_descriptor, m_waiting.data(), m_waiting.size());
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written <= 0)
        {
            // The reader is slow or gone; the lines wait, up to the limit.
            return;
        }
        m_waiting.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace geraniumdoor
