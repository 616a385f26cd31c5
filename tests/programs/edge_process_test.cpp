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

const std::string settings = R"({
  "host": "host-1", "data_centre": "z1", "region": "r1",
  "callers": "127.0.0.1:24410", "readiness": "127.0.0.1:24411",
  "metrics": "127.0.0.1:24412", "directory": "127.0.0.1:24413",
  "peers": "127.0.0.1:24414", "store": "127.0.0.1:24415", "seeds": [],
  "processor_share": 1, "open_files": 300, "retry_ratio": 0.2, "retry_slack": 50,
  "retry_window_s": 10, "cold_factor": 1.5, "cold_extra": 5, "stop_time_s": 8,
  "address_life_s": 5})";

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
    const scratch_file file{"edge.json", settings};
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
