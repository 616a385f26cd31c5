#include "stopping_story.hpp"

#include <set>

using namespace geraniumdoor;
using namespace geraniumdoor::test;

TestSuite(status, .timeout = 120);

// Guards against "HTTP/1.1 000 <unknown-status>" for statuses that the HTTP library does
// not list.
Test(status, every_status_of_an_upstream_reaches_the_caller_unless_it_says_not_run)
{
    stopped_story story{29360};
    unsigned status = 0;
    const auto answer_of = [&status](const http_request& request)
    {
        return stopping_server::reply{framed(request, std::to_string(status) + " Odd",
                                             "text/plain", framing::length, "text")};
    };
    story.m_first = answer_of;
    story.m_second = answer_of;
    // The host itself answers for an upstream that says that it is not the one addressed.
    const std::set<unsigned> handled{421};
    // These promise the caller of a payment that it has not run, and it has.
    const std::set<unsigned> promising{408, 429, 503};
    const std::set<unsigned> without_body{204, 304};
    for (status = 200; status < 600; ++status)
    {
        if (handled.contains(status))
        {
            continue;
        }
        const received_answer answer = story.send("/pay/", false);
        if (promising.contains(status))
        {
            cr_expect(answer.m_status == 502, "%u arrives as %u", status,
                      answer.m_status);
            cr_expect(answer.m_body != "text", "%u has the body of the upstream", status);
            continue;
        }
        cr_expect(answer.m_status == status, "%u arrives as %u", status, answer.m_status);
        cr_expect(answer.m_body == (without_body.contains(status) ? "" : "text"),
                  "%u: '%s'", status, answer.m_body.c_str());
    }
}

Test(status, a_status_that_ends_no_request_is_no_answer)
{
    stopped_story story{29400};
    std::string status;
    const auto answer_of = [&status](const http_request& request)
    {
        return stopping_server::reply{
            framed(request, status + " Odd", "text/plain", framing::length, "text")};
    };
    story.m_first = answer_of;
    story.m_second = answer_of;
    for (const char* odd : {"199", "150", "000", "099", "600", "999"})
    {
        status = odd;
        const received_answer answer = story.send("/pay/", false);
        cr_expect(answer.m_status == 502, "%s arrives as %u", odd, answer.m_status);
    }
}
