#include <geraniumdoor/base/bounded_log.hpp>
#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/log.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>

#include <unistd.h>

namespace
{

using namespace geraniumdoor;

constexpr int rounds = 5;
constexpr int lines_of_a_round = 20000;

/// A line with the fields of a request's end, the longest one that is written often.
void write_request_line(int number)
{
    log_event{"request"}
        .add("request", "36c08267395e3f47")
        .add("route", "r-vg47yb5")
        .add("workspace", workspace_id{"puzi383"})
        .add("version", 5)
        .add("outcome", "answered")
        .add("status", 200)
        .add("upstream", upstream_id{"i-6c6a293627"})
        .add("ran", 1)
        .add("not_run", 0)
        .add("total_ms", number)
        .add("first_byte_ms", number)
        .add("left_ms", 3947)
        .add("stages", "0:1369,1:1600")
        .add("sent_ms", 1371);
}

/// Processor time of this process, in microseconds.
double processor_us()
{
    return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

/// Writes log lines to standard output and prints the processor time of one of them, the
/// write included, to standard error. Usage: log_bench | cat > /dev/null
int main()
{
    bounded_log log{STDOUT_FILENO, {UINT32_MAX, std::size_t{64} * 1024}};
    set_log_sink(
        [&log](std::string_view line)
        {
            log.write(line, std::chrono::steady_clock::now());
        });
    for (int round = 0; round < rounds; ++round)
    {
        const double begin = processor_us();
        for (int line = 0; line < lines_of_a_round; ++line)
        {
            write_request_line(line);
        }
        std::fprintf(stderr, "log_line_us=%.2f left_out=%llu\n",
                     (processor_us() - begin) / lines_of_a_round,
                     static_cast<unsigned long long>(log.left_out()));
    }
    set_log_sink({});
    return 0;
}
