#include "child_process.hpp"
#include "run_program.hpp"

#include <chrono>
#include <sstream>
#include <thread>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;

// Guards against signals that arrive before an edge host has installed its handlers: they
// ended the process or were lost.
TestSuite(edge_process, .timeout = 30);

namespace
{

/// Settings of a host whose ports follow the given one. Tests run at the same time, so
/// each has ports of its own.
std::string settings(int port)
{
    const auto address = [port](int offset)
    {
        return "\"127.0.0.1:" + std::to_string(port + offset) + '"';
    };
    return R"({"host": "host-1", "data_centre": "z1", "region": "r1", "seeds": [],
  "callers": )" +
           address(0) + R"(, "readiness": )" + address(1) + R"(, "metrics": )" +
           address(2) + R"(, "directory": )" + address(3) + R"(, "peers": )" +
           address(4) + R"(, "store": )" + address(5) + R"(,
  "processor_share": 1, "open_files": 300, "retry_ratio": 0.2, "retry_slack": 50,
  "retry_window_s": 10, "cold_factor": 1.5, "cold_extra": 5, "stop_time_s": 8,
  "address_life_s": 5})";
}

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool wait_for_text(const std::string& path, const std::string& part)
{
    for (int attempt = 0; attempt < 100; ++attempt)
    {
        if (read_file(path).find(part) != std::string::npos)
        {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

} // namespace

Test(edge_process, signals_pending_before_handlers_are_installed_are_delivered)
{
    const char* directory = std::getenv("GD_PROGRAMS");
    const std::string programs = directory != nullptr ? directory : "build/check";
    const scratch_file file{"edge.json", settings(24410)};
    const scratch_file log{"edge.log", ""};
    test::child_process host;
    // The signals are blocked from the first instruction on, so that a signal sent right
    // after the start stays pending until the handlers are installed.
    cr_assert(host.start({programs + "/geraniumdoor_edge", "--settings", file.path()},
                         log.path(), {SIGHUP, SIGTERM}));
    host.send(SIGHUP);
    cr_expect(wait_for_text(log.path(), "event=settings_applied"));
    host.send(SIGTERM);
    cr_expect(wait_for_text(log.path(), "event=stopping"));
    host.send(SIGKILL);
}

// Guards against a signal that ends a host by its default action after the planned stop,
// when the handlers are gone and the process is not.
Test(edge_process, a_repeated_sigterm_does_not_kill_a_host_that_has_stopped)
{
    const char* directory = std::getenv("GD_PROGRAMS");
    const std::string programs = directory != nullptr ? directory : "build/check";
    const scratch_file file{"stopped.json", settings(24430)};
    const scratch_file log{"stopped.log", ""};
    test::child_process host;
    cr_assert(host.start({programs + "/geraniumdoor_edge", "--settings", file.path()},
                         log.path()));
    cr_expect(wait_for_text(log.path(), "event=started"));
    const auto code = host.send_until_end(SIGTERM, 15s);
    // A failed assertion would leave the process behind.
    cr_expect(code.has_value());
    cr_expect(code.value_or(0) == 0, "the host ended with %d", code.value_or(0));
}
