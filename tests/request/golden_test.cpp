#include "golden_session.hpp"
#include "testing.hpp"

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

// Guards against unintended changes of decisions, of their log lines and of the bytes
// that callers receive. GD_UPDATE_GOLDEN=1 rewrites the golden files.
TestSuite(golden);

Test(golden, a_streamed_request_of_four_stages)
{
    golden_session session;
    session.start("advice", R"("why")", true);
    session.run_for(500ms);
    session.expect_file("streamed");
}

Test(golden, a_non_idempotent_request_and_its_replay)
{
    golden_session session;
    session.start("renewal", R"({"subscriber":7})", false);
    session.run_for(500ms);
    session.start("renewal", R"({"subscriber":7})", false);
    session.run_for(500ms);
    session.expect_file("replay");
}

Test(golden, a_retry_after_an_upstream_error)
{
    golden_session session;
    session.m_call_endings["search"] = {call_ending::fails};
    session.start("advice", R"("why")", false);
    session.run_for(500ms);
    session.expect_file("retry");
}

Test(golden, refusals_under_overload)
{
    golden_session session;
    session.m_call_duration = 400ms;
    for (int request = 0; request < 12; ++request)
    {
        session.start("advice", std::to_string(request), false);
    }
    session.run_for(1000ms);
    for (int request = 12; request < 18; ++request)
    {
        session.start("advice", std::to_string(request), false);
    }
    session.run_for(4000ms);
    session.expect_file("overload");
}

Test(golden, a_broken_stream_is_resumed)
{
    golden_session session;
    session.m_call_endings["generate"] = {call_ending::breaks};
    session.start("advice", R"("why")", true);
    session.run_for(500ms);
    session.expect_file("resumed");
}
