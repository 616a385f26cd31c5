#include "stopping_story.hpp"

#include <sstream>
#include <string>
#include <vector>

using namespace geraniumdoor;
using namespace geraniumdoor::test;

namespace
{

const std::string whole_stream = event(1) + event(2) + event(3);

std::string as_chunk(const std::string& body)
{
    std::ostringstream size;
    size << std::hex << body.size();
    return size.str() + "\r\n" + body + "\r\n0\r\n\r\n";
}

/// Fields that leave in doubt what the bytes of a body are, or where it ends.
struct odd_framing
{
    std::string m_fields;
    bool m_has_chunks = true;
};

std::vector<odd_framing> odd_framings(std::size_t body_bytes)
{
    const std::string length = "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    return {
        {"Transfer-Encoding: gzip, chunked\r\n"},
        {"Transfer-Encoding: GZip,Chunked\r\n"},
        {"Transfer-Encoding: deflate\r\nTransfer-Encoding: chunked\r\n"},
        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"},
        {"Transfer-Encoding: chunked, chunked\r\n"},
        {"Transfer-Encoding: chunked, gzip\r\n"},
        {"Transfer-Encoding: chunked;level=1\r\n"},
        {"Transfer-Encoding: chunked\r\n" + length},
        {length + "Transfer-Encoding: chunked\r\n"},
        {"Transfer-Encoding: gzip\r\n" + length, false},
        {length + "Transfer-Encoding: x-unknown\r\n", false},
        {length + "Transfer-Encoding: identity\r\n", false},
        {length + "Transfer-Encoding:\r\n", false},
        {"Transfer-Encoding: gzip\r\n", false},
        {"Transfer-Encoding: x-unknown\r\n", false},
        {length + length, false},
    };
}

/// Sends a request for each odd framing, which both upstreams use. Expects that no answer
/// is passed on.
void expect_none_passed_on(stopped_story& story, const std::string& path,
                           const std::string& type, const std::string& body)
{
    for (const odd_framing& odd : odd_framings(body.size()))
    {
        const std::string fields = "Content-Type: " + type + "\r\n" + odd.m_fields;
        const std::string bytes = odd.m_has_chunks ? as_chunk(body) : body;
        story.m_first = [&](const http_request& request)
        {
            return stopping_server::reply{signed_head(request, "200 OK", fields) + bytes};
        };
        story.m_second = story.m_first;
        const received_answer answer = story.send(path, path == "/resume/");
        cr_expect(answer.m_status == 502, "%s %s arrives as %u '%s'", path.c_str(),
                  odd.m_fields.c_str(), answer.m_status, answer.m_body.c_str());
    }
}

} // namespace

// Guards against answers that are passed on as complete while their bodies are coded for
// the transfer, or end elsewhere.
TestSuite(transfer_coding, .timeout = 240);

Test(transfer_coding, an_answer_that_cannot_be_decoded_is_not_passed_on)
{
    stopped_story story{27700};
    expect_none_passed_on(story, "/pay/", "text/plain", "the whole body");
    expect_none_passed_on(story, "/read/", "text/plain", "the whole body");
}

Test(transfer_coding, nor_is_a_stream)
{
    stopped_story story{27740};
    expect_none_passed_on(story, "/resume/", "text/event-stream", whole_stream);
}

Test(transfer_coding, chunks_are_decoded_in_any_spelling)
{
    stopped_story story{27780};
    for (const char* coding : {"chunked", "Chunked", "CHUNKED", " chunked "})
    {
        story.m_first = [coding](const http_request& request)
        {
            const std::string fields =
                "Content-Type: text/plain\r\nTransfer-Encoding: " + std::string{coding} +
                "\r\n";
            return stopping_server::reply{signed_head(request, "200 OK", fields) +
                                          as_chunk("text")};
        };
        story.m_second = story.m_first;
        const received_answer answer = story.send("/pay/", false);
        cr_expect(answer.m_status == 200, "'%s': %u", coding, answer.m_status);
        EXPECT_EQUAL(answer.m_body, "text");
    }
}
