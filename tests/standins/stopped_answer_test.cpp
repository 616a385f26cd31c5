#include "stopping_story.hpp"

#include <algorithm>

using namespace geraniumdoor;
using namespace geraniumdoor::test;

namespace
{

const std::string whole_stream = event(1) + event(2) + event(3);

/// A handler that writes the first bytes of an answer.
template<class Make>
stopping_server::handler stops_after(std::size_t bytes, connection_end end, Make make)
{
    return [bytes, end, make](const http_request& request)
    {
        std::string answer = make(request);
        answer.resize(std::min(bytes, answer.size()));
        return stopping_server::reply{answer, end};
    };
}

} // namespace

TestSuite(stopped_answer, .timeout = 240);

// Guards against a 200 with an empty or short body that is framed as whole, from an
// upstream that stopped in the middle of its answer.
Test(stopped_answer, an_answer_that_stops_at_any_byte_is_not_passed_on_as_whole)
{
    stopped_story story{29120};
    const std::string body = "the whole body";
    for (const framing framed_by :
         {framing::length, framing::chunks, framing::connection_end})
    {
        const auto make = [framed_by, &body](const http_request& request)
        {
            return framed(request, "200 OK", "text/plain", framed_by, body);
        };
        for (const connection_end end : {connection_end::orderly, connection_end::reset})
        {
            const std::size_t size =
                make({"GET", "/", {{"Attempt-Id", "r100"}}, {}}).size();
            const std::size_t head =
                size - (framed_by == framing::chunks ? body.size() + 10 : body.size());
            // Bytes after the head of an answer without a length are its body.
            const bool ends_anywhere =
                framed_by == framing::connection_end && end == connection_end::orderly;
            const std::size_t last = ends_anywhere ? head - 2 : size - 1;
            for (std::size_t bytes = 0; bytes <= last; ++bytes)
            {
                story.m_first = stops_after(bytes, end, make);
                story.m_second = story.m_first;
                const received_answer answer = story.send("/read/", false);
                // The id of the request may be shorter than that of the sample.
                const bool complete = bytes + 3 >= size;
                cr_expect(answer.m_status != 200 || !answer.m_is_whole || complete,
                          "framing %d, end %d, after %zu of %zu bytes: %u '%s'",
                          static_cast<int>(framed_by), static_cast<int>(end), bytes, size,
                          answer.m_status, answer.m_body.c_str());
            }
        }
    }
}

// The same for answers that are too large to be kept until they are whole.
Test(stopped_answer, a_large_answer_that_stops_is_not_passed_on_as_whole)
{
    stopped_story story{29320};
    const std::string body(400'000, 'x');
    for (const framing framed_by :
         {framing::length, framing::chunks, framing::connection_end})
    {
        const auto make = [framed_by, &body](const http_request& request)
        {
            return framed(request, "200 OK", "text/plain", framed_by, body);
        };
        // An orderly end of an answer without a length is its end.
        const auto end = framed_by == framing::connection_end ? connection_end::reset
                                                              : connection_end::orderly;
        for (const std::size_t bytes : {100'000, 262'100, 262'300, 399'000, 400'090})
        {
            story.m_first = stops_after(bytes, end, make);
            story.m_second = story.m_first;
            const received_answer answer = story.send("/read/", false);
            cr_expect(answer.m_status != 200 || !answer.m_is_whole,
                      "framing %d, after %zu bytes", static_cast<int>(framed_by), bytes);
        }
    }
}

// Guards against streams that look complete, or contain parts of an event, after their
// only upstreams stopped.
Test(stopped_answer, a_stream_that_stops_at_any_byte_has_whole_events_and_no_end)
{
    stopped_story story{29160};
    for (const framing framed_by : {framing::chunks, framing::connection_end})
    {
        const auto make = [framed_by](const http_request& request)
        {
            return framed(request, "200 OK", "text/event-stream", framed_by,
                          whole_stream);
        };
        for (const connection_end end : {connection_end::orderly, connection_end::reset})
        {
            const std::size_t size =
                make({"GET", "/", {{"Attempt-Id", "r100"}}, {}}).size();
            for (std::size_t bytes = 0; bytes + 3 < size; ++bytes)
            {
                story.m_first = stops_after(bytes, end, make);
                story.m_second = story.m_first;
                const received_answer answer = story.send("/resume/", true);
                const bool has_events =
                    whole_stream.starts_with(answer.m_body) &&
                    (answer.m_body.empty() || answer.m_body.ends_with("\n\n"));
                // An answer without a length is whole after each event.
                const bool may_end = framed_by == framing::connection_end &&
                                     end == connection_end::orderly &&
                                     !answer.m_body.empty();
                cr_expect(answer.m_status != 200 ||
                              (has_events && (!answer.m_is_whole || may_end)),
                          "framing %d, end %d, after %zu of %zu bytes: %u whole %d '%s'",
                          static_cast<int>(framed_by), static_cast<int>(end), bytes, size,
                          answer.m_status, answer.m_is_whole, answer.m_body.c_str());
            }
        }
    }
}

// Guards against a successor's error, or parts of it, in the middle of a stream that has
// begun, and against streams that end as complete then.
Test(stopped_answer, an_error_of_a_successor_never_gets_into_a_stream)
{
    stopped_story story{29200};
    struct error_case
    {
        const char* m_status;
        const char* m_type;
        const char* m_body;
    };
    const std::vector<error_case> errors{
        {"500 Error", "text/plain", "an error"},
        {"503 Busy", "application/json", R"({"error":"busy"})"},
        {"404 Not Found", "text/html", "<p>error</p>"},
        {"200 OK", "application/json", R"({"error":"odd"})"},
        {"206 Partial Content", "text/event-stream", "id: 9\ndata: error\n\n"},
        {"302 Found", "text/event-stream", "data: error\n\n"},
    };
    for (const std::size_t events : {0U, 1U, 2U})
    {
        for (const error_case& error : errors)
        {
            for (const framing framed_by :
                 {framing::length, framing::chunks, framing::connection_end})
            {
                const auto begin = [events](const http_request& request)
                {
                    const std::string answer =
                        framed(request, "200 OK", "text/event-stream", framing::chunks,
                               whole_stream);
                    const std::string last = events == 0 ? "\r\n\r\n" : event(events);
                    const auto at = answer.find(last);
                    cr_assert(at != std::string::npos);
                    return answer.substr(0, at + last.size());
                };
                const auto fail = [&error, framed_by](const http_request& request)
                {
                    return framed(request, error.m_status, error.m_type, framed_by,
                                  error.m_body);
                };
                // Whichever upstream comes first begins the stream.
                const auto answer_of = [&](const http_request& request)
                {
                    return stopping_server::reply{story.m_sent == 1 ? begin(request)
                                                                    : fail(request)};
                };
                story.m_first = answer_of;
                story.m_second = answer_of;
                const received_answer answer = story.send("/resume/", true);
                cr_expect(answer.m_body.find("error") == std::string::npos &&
                              whole_stream.starts_with(answer.m_body) &&
                              !answer.m_is_whole,
                          "%zu events, %s, framing %d: %u whole %d '%s'", events,
                          error.m_status, static_cast<int>(framed_by), answer.m_status,
                          answer.m_is_whole, answer.m_body.c_str());
                cr_expect(story.m_received->find("HTTP/1.1", 1) == std::string::npos);
            }
        }
    }
}

// The same for a successor that stops at any byte of an error, or of the rest of the
// stream, which a third attempt may not follow.
Test(stopped_answer, a_successor_that_stops_at_any_byte_leaves_whole_events)
{
    stopped_story story{29240};
    for (const bool is_error : {true, false})
    {
        const auto begin = [](const http_request& request)
        {
            const std::string answer = framed(request, "200 OK", "text/event-stream",
                                              framing::chunks, whole_stream);
            return answer.substr(0, answer.find(event(2)));
        };
        const auto follow = [is_error](const http_request& request)
        {
            return is_error ? framed(request, "500 Error", "text/plain", framing::length,
                                     "an error")
                            : framed(request, "200 OK", "text/event-stream",
                                     framing::chunks, event(2) + event(3));
        };
        const std::size_t size =
            follow({"POST", "/", {{"Attempt-Id", "r100"}}, {}}).size();
        for (std::size_t bytes = 0; bytes + 3 < size; ++bytes)
        {
            const auto answer_of = [&](const http_request& request)
            {
                std::string answer = story.m_sent == 1 ? begin(request) : follow(request);
                if (story.m_sent > 1)
                {
                    answer.resize(std::min(bytes, answer.size()));
                }
                return stopping_server::reply{answer};
            };
            story.m_first = answer_of;
            story.m_second = answer_of;
            const received_answer answer = story.send("/resume/", true);
            cr_expect(whole_stream.starts_with(answer.m_body) && !answer.m_is_whole &&
                          (answer.m_body.empty() || answer.m_body.ends_with("\n\n")),
                      "error %d, after %zu of %zu bytes: %u whole %d '%s'", is_error,
                      bytes, size, answer.m_status, answer.m_is_whole,
                      answer.m_body.c_str());
            cr_expect(story.m_received->find("HTTP/1.1", 1) == std::string::npos);
        }
    }
}
