#include "repeating_server.hpp"

#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Guards against a copy of an earlier answer that is taken for the answer to the next
// call on a kept connection.
TestSuite(http_repeat, .timeout = 60);

namespace
{

tcp::endpoint loopback(unsigned short port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

constexpr milliseconds call_limit{3000};

/// A client whose first call a server answers with a status, and others with 200.
struct repeat_story
{
    repeat_story(unsigned short port, copy_time time, unsigned first_status)
        : m_endpoint{loopback(port)}
        , m_server{m_io.get_executor(), m_endpoint, time,
                   [first_status, count = 0](const http_request& request) mutable
                   {
                       ++count;
                       const bool is_first = count == 1;
                       return repeating_server::reply{
                           make_answer(is_first ? first_status : 200,
                                       {{"X-Call", std::string{find_field(
                                                       request.m_fields, "X-Call")}}},
                                       "answer " + std::to_string(count)),
                           is_first};
                   }}
        , m_client{m_io.get_executor(), {}}
    {
    }

    /// Sends the same request each time. Returns the status and the body.
    std::string call(std::size_t body_bytes = 0)
    {
        std::optional<std::string> outcome;
        asio::co_spawn(m_io, send(body_bytes, outcome), asio::detached);
        while (!outcome)
        {
            m_io.restart();
            m_io.run_one_for(call_limit);
        }
        return *outcome;
    }

    void wait()
    {
        m_io.restart();
        m_io.run_for(20ms);
    }

    asio::awaitable<void> send(std::size_t body_bytes,
                               std::optional<std::string>& outcome)
    {
        http_request request{"POST", "/", {{"X-Call", "a1"}}, ""};
        request.m_body.assign(body_bytes, 'x');
        http_call_options options;
        options.m_timeout = call_limit;
        const auto answer = co_await m_client.send(m_endpoint, request, options);
        outcome = is_ok(answer) ? std::to_string(value_of(answer).m_status) + ' ' +
                                      value_of(answer).m_body
                                : std::string{to_text(error_of(answer).m_kind)};
    }

    asio::io_context m_io;
    tcp::endpoint m_endpoint;
    repeating_server m_server;
    http_client m_client;
};

/// More than the buffers of both sockets hold.
constexpr std::size_t large_body_bytes = std::size_t{900} * 1024;

} // namespace

Test(http_repeat, a_copy_of_a_refusal_is_not_the_answer_to_the_next_call)
{
    unsigned short port = 28800;
    for (const copy_time time : copy_times)
    {
        for (const std::size_t body_bytes : {std::size_t{0}, large_body_bytes})
        {
            repeat_story story{port++, time, 503};
            const std::string refused = story.call();
            cr_expect(refused == "503 answer 1", "%s: %s", to_text(time),
                      refused.c_str());
            story.wait();
            const std::string answered = story.call(body_bytes);
            cr_expect(answered == "200 answer 2", "%s, %zu bytes: %s", to_text(time),
                      body_bytes, answered.c_str());
        }
    }
}

Test(http_repeat, bytes_after_an_answer_end_its_connection)
{
    unsigned short port = 28820;
    for (const copy_time time :
         {copy_time::with_answer, copy_time::around_next_request, copy_time::while_idle})
    {
        repeat_story story{port++, time, 200};
        const std::string first = story.call();
        cr_expect(first == "200 answer 1", "%s: %s", to_text(time), first.c_str());
        story.wait();
        const std::string second = story.call();
        cr_expect(second == "200 answer 2", "%s: %s", to_text(time), second.c_str());
        EXPECT_EQUAL(story.m_server.m_copies, 1);
        cr_expect(story.m_server.m_connections == 2, "%s: %d connections", to_text(time),
                  story.m_server.m_connections);
    }
}

Test(http_repeat, a_connection_is_kept_after_a_whole_success)
{
    repeat_story story{28830, copy_time::never, 200};
    EXPECT_EQUAL(story.call(), "200 answer 1");
    EXPECT_EQUAL(story.call(), "200 answer 2");
    EXPECT_EQUAL(story.m_server.m_connections, 1);
}
