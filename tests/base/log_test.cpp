#include "testing.hpp"

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/log.hpp>

#include <string>

using namespace geraniumdoor;

// Guards against input that forges a second log line or a second pair.
Test(log_event, quotes_hostile_values)
{
    std::string line;
    set_log_sink(
        [&](std::string_view text)
        {
            line = text;
        });
    {
        log_event{"route"}
            .add("workspace", workspace_id{"a b\nevent=x \"q\""})
            .add("free", 3);
    }
    set_log_sink({});
    EXPECT_EQUAL(line, "event=route workspace=\"a b\\x0aevent=x \\\"q\\\"\" free=3");
}
