#include "edge_cluster.hpp"
#include "stopping_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

const char* const read_route =
    R"({"name":"read","host":"a.example","prefix":"/read/","routeType":"idempotent",)"
    R"("timeoutMs":2000,"targetLatencyMs":300,"service":"plain","maxAttempts":2})";
const char* const resume_route =
    R"({"name":"resume","host":"a.example","prefix":"/resume/","routeType":"streaming",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"service":"engine","maxAttempts":2,)"
    R"("streamResume":true,"gapAimMs":300})";

/// What a caller has read until the host closed the connection.
struct received_answer
{
    unsigned m_status = 0;
    std::string m_body;
    /// The body is as long as its framing says.
    bool m_is_whole = false;
};

/// Decodes chunks as far as they go.
void decode_chunks(std::string_view bytes, received_answer& answer)
{
    while (true)
    {
        const auto line = bytes.find("\r\n");
        std::size_t size = 0;
        if (line == std::string_view::npos ||
            std::from_chars(bytes.data(), bytes.data() + line, size, 16).ec !=
                std::errc{})
        {
            return;
        }
        bytes.remove_prefix(line + 2);
        if (size == 0)
        {
            answer.m_is_whole = bytes == "\r\n";
            return;
        }
        answer.m_body += bytes.substr(0, size);
        if (bytes.size() < size + 2)
        {
            return;
        }
        bytes.remove_prefix(size + 2);
    }
}

received_answer parse_answer(std::string_view bytes)
{
    received_answer answer;
    const auto head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string_view::npos)
    {
        return answer;
    }
    const std::string head{bytes.substr(0, head_end + 2)};
    const std::string_view body = bytes.substr(head_end + 4);
    answer.m_status = static_cast<unsigned>(std::stoul(head.substr(9, 3)));
    const auto length = head.find("Content-Length: ");
    if (length != std::string::npos)
    {
        answer.m_body = body;
        answer.m_is_whole = body.size() == std::stoul(head.substr(length + 16));
    }
    else if (head.find("Transfer-Encoding: chunked") != std::string::npos)
    {
        decode_chunks(body, answer);
    }
    return answer;
}

/// One host with two upstreams whose answers are bytes of the test.
struct stopped_story
{
    explicit stopped_story(std::uint16_t first_port) : m_cluster{first_port, 1}
    {
        for (const char* pool : {"plain", "engine"})
        {
            add_upstream(first_port, pool, m_first);
            add_upstream(first_port, pool, m_second);
        }
        m_cluster.set_config(std::string{read_route} + ',' + resume_route, 1);
        m_cluster.start();
    }

    void add_upstream(std::uint16_t first_port, const std::string& pool,
                      stopping_server::handler& answer)
    {
        worker_standin row;
        row.m_id = pool + std::to_string(m_servers.size());
        row.m_service = pool;
        const auto port = static_cast<std::uint16_t>(first_port + 30 +
                                                     static_cast<int>(m_servers.size()));
        m_servers.push_back(std::make_unique<stopping_server>(
            m_cluster.m_io.get_executor(),
            tcp::endpoint{asio::ip::make_address("127.0.0.1"), port},
            [this, &answer](const http_request& request)
            {
                m_last = find_field(request.m_fields, "Target-Instance");
                ++m_sent;
                return answer(request);
            }));
        m_cluster.m_store.put("servers", row.m_id, registry_entry(row, port));
    }

    asio::awaitable<void> talk(std::string request)
    {
        constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
        tcp::socket socket{m_cluster.m_io};
        co_await socket.async_connect(m_cluster.caller_endpoint(0), use_tuple);
        co_await asio::async_write(socket, asio::buffer(request), use_tuple);
        std::string bytes;
        co_await asio::async_read(socket, asio::dynamic_buffer(bytes), use_tuple);
        m_received = std::move(bytes);
    }

    /// Sends a request and returns what arrives until the host closes.
    received_answer send(const std::string& target, bool is_stream)
    {
        const std::string id = "r" + std::to_string(++m_last_id);
        // Requests that were alike would be suspected of crashing the upstreams.
        std::string request = (is_stream ? "POST " : "GET ") + target + id +
                              " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                              "Credential: key\r\nDeadline-Ms: 1500\r\nAttempt-Id: " +
                              id + "\r\n";
        request += is_stream ? "Model: m\r\nToken-Usage: 100,20\r\nPrompt-Prefix: " + id +
                                   ":100\r\nContent-Length: 0\r\n\r\n"
                             : "\r\n";
        m_received.reset();
        m_sent = 0;
        asio::co_spawn(m_cluster.m_io, talk(request), asio::detached);
        const time_point last = std::chrono::steady_clock::now() + 4s;
        while (!m_received && std::chrono::steady_clock::now() < last)
        {
            m_cluster.run_for(2ms);
        }
        cr_expect(m_received.has_value(), "the host closes in time");
        cr_expect(m_sent > 0, "%s: an upstream gets the request", id.c_str());
        return parse_answer(m_received.value_or(std::string{}));
    }

    stopping_server::handler m_first;
    stopping_server::handler m_second;
    edge_cluster m_cluster;
    std::vector<std::unique_ptr<stopping_server>> m_servers;
    std::optional<std::string> m_received;
    std::string m_last;
    int m_sent = 0;
    int m_last_id = 0;
};

enum class framing : std::uint8_t
{
    length,
    chunks,
    connection_end,
};

std::string signed_head(const http_request& request, const std::string& status,
                        const std::string& fields)
{
    return "HTTP/1.1 " + status +
           "\r\nAttempt-Id: " + std::string{find_field(request.m_fields, "Attempt-Id")} +
           "\r\nResponse-Signature: s\r\n" + fields + "\r\n";
}

std::string framed(const http_request& request, const std::string& status,
                   const std::string& type, framing framed_by, const std::string& body)
{
    const std::string content = "Content-Type: " + type + "\r\n";
    switch (framed_by)
    {
    case framing::length:
        return signed_head(request, status,
                           content + "Content-Length: " + std::to_string(body.size()) +
                               "\r\n") +
               body;
    case framing::chunks:
    {
        std::string size(8, '0');
        const auto end =
            std::to_chars(size.data(), size.data() + size.size(), body.size(), 16);
        size.resize(static_cast<std::size_t>(end.ptr - size.data()));
        return signed_head(request, status, content + "Transfer-Encoding: chunked\r\n") +
               size + "\r\n" + body + "\r\n0\r\n\r\n";
    }
    case framing::connection_end:
        return signed_head(request, status, content) + body;
    }
    return {};
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

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
