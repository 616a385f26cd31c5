#include <geraniumdoor/base/bounded_log.hpp>

#include <chrono>
#include <string>

#include <unistd.h>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

struct pipe_ends
{
    int m_read = -1;
    int m_write = -1;

    pipe_ends()
    {
        int ends[2] = {-1, -1};
        cr_assert(::pipe(ends) == 0);
        m_read = ends[0];
        m_write = ends[1];
    }

    ~pipe_ends()
    {
        ::close(m_read);
        ::close(m_write);
    }

    std::string read_some() const
    {
        std::string text(1 << 20, '\0');
        const auto size = ::read(m_read, text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }
};

} // namespace

// Guards against a process that blocks on its own log, or that fills memory with lines
// that nobody reads.
TestSuite(bounded_log, .timeout = 10);

Test(bounded_log, a_full_pipe_never_blocks_and_the_lines_left_out_are_counted)
{
    const pipe_ends ends;
    bounded_log log{ends.m_write, {100'000, 4096}};
    const time_point now = std::chrono::steady_clock::now();
    const std::string line(200, 'x');
    for (int at = 0; at < 5000; ++at)
    {
        log.write(line, now);
    }
    cr_expect(log.left_out() > 4000);
    cr_expect(not ends.read_some().empty());
    log.write("event=after", now);
    const std::string rest = ends.read_some();
    cr_expect(rest.find("event=log_lines_left_out count=") != std::string::npos);
    cr_expect(rest.find("event=after") != std::string::npos);
}

Test(bounded_log, lines_beyond_the_rate_are_left_out_until_the_next_second)
{
    const pipe_ends ends;
    bounded_log log{ends.m_write, {10, 4096}};
    const time_point now = std::chrono::steady_clock::now();
    for (int at = 0; at < 15; ++at)
    {
        log.write("event=a", now);
    }
    EXPECT_EQUAL(log.left_out(), 5U);
    log.write("event=b", now + 1100ms);
    cr_expect(ends.read_some().find("count=5") != std::string::npos);
}
