#include "crowd_story.hpp"

#include <geraniumdoor/cluster/codec.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;

namespace
{

constexpr crowd_limits usual{};

constexpr std::size_t body_limit = usual.m_body_bytes;

constexpr std::size_t whole = std::size_t{64} * 1024 * 1024;

/// Expects that the host lives within what it was told of its machine, and answers.
void expect_sound(crowd_story& story)
{
    story.host().wait_until_idle();
    cr_expect(story.host().is_alive());
    const std::size_t memory_bytes = story.limits().m_memory_mb * 1'000'000;
    const std::size_t grown = story.host().grown_bytes();
    const std::size_t unread = story.host().unread_bytes();
    cr_expect(grown + unread <= memory_bytes,
              "grew by %zu of %zu bytes, and %zu bytes wait unread", grown, memory_bytes,
              unread);
    const std::size_t descriptors = story.host().open_descriptors();
    cr_expect(descriptors <= story.limits().m_open_files, "%zu descriptors", descriptors);
    const unsigned status = story.send_ordinary();
    cr_expect(status == 200, "status %u", status);
    cr_expect(story.host().is_alive());
}

/// Sends a crowd and expects that the host lives within its machine and answers.
void expect_endured(std::uint16_t first_port, const crowd_plan& plan,
                    const crowd_limits& limits = usual)
{
    crowd_story story{first_port, limits};
    cr_assert(story.host().is_alive());
    story.begin(plan);
    expect_sound(story);
}

const std::string status_line = "HTTP/1.1 200 OK\r\n";
const std::string proof =
    "Attempt-Id: " + std::string{own_request_id} + "\r\nResponse-Signature: s\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// A host that takes more connections, with larger heads.
constexpr crowd_limits many_connections{32, 900, 65536, body_limit};

/// Sends requests that a faulty upstream answers, and expects that the host lives within
/// its machine and answers others.
void expect_faulty_endured(std::uint16_t first_port, faulty_answer answer)
{
    crowd_story story{first_port, many_connections};
    cr_assert(story.host().is_alive());
    story.faulty().set_answer(std::move(answer));
    story.begin({290, body_manner::whole, 0, 0, 16384}, edge_port::callers, "/odd/");
    expect_sound(story);
}

/// Just short of what one connection buffers of a head, of an extension or of a trailer.
constexpr std::size_t longest_head = 60'000;
constexpr std::size_t longest_extension = 125'000;

} // namespace

// Guards against callers that end a host together, each within the limits or beyond
// them: it ran out of memory with bodies that most of them did not finish.
TestSuite(crowd, .timeout = 120);

Test(crowd, bodies_sent_whole_that_stop_short_of_their_end)
{
    expect_endured(26400, {60, body_manner::with_length, body_limit, 0, whole});
}

Test(crowd, bodies_sent_piece_by_piece_that_stop_short_of_their_end)
{
    expect_endured(26410, {60, body_manner::with_length, body_limit, 0, 16384});
}

Test(crowd, large_chunks_without_a_last_one)
{
    expect_endured(26420, {60, body_manner::in_chunks, body_limit - 65536, 65536, 16384});
}

Test(crowd, very_small_chunks_without_a_last_one)
{
    expect_endured(26430, {60, body_manner::in_chunks, body_limit - 65536, 16, 16384});
}

Test(crowd, bodies_far_over_the_limit_that_are_announced)
{
    expect_endured(26440, {60, body_manner::with_length, 8 * body_limit, 0, 16384});
}

Test(crowd, bodies_far_over_the_limit_that_are_just_sent)
{
    expect_endured(26450, {60, body_manner::in_chunks, 8 * body_limit, 65536, 16384});
}

// Guards against a crowd that takes all connections and keeps others out.
Test(crowd, more_callers_than_the_host_accepts_connections)
{
    expect_endured(26460, {140, body_manner::with_length, 4000, 0, whole});
}

// Guards against a limit that a single caller within the pages' limits meets.
Test(crowd, a_single_large_body_is_served_in_calm)
{
    crowd_story story{26470};
    for (int at = 0; at < 2; ++at)
    {
        const unsigned status = story.send_large();
        cr_expect(status == 200, "status %u", status);
    }
}

// Guards against memory that no body takes: buffers of connections, fields of heads.
Test(crowd, chunk_extensions_that_do_not_end)
{
    expect_endured(26480,
                   {300, body_manner::in_chunk_extension, longest_extension, 0, 16384},
                   many_connections);
}

Test(crowd, trailers_that_do_not_end)
{
    expect_endured(26490, {300, body_manner::in_trailer, longest_extension, 0, 16384},
                   many_connections);
}

Test(crowd, heads_that_do_not_end)
{
    expect_endured(26500, {300, body_manner::in_head, longest_head, 0, 16384},
                   many_connections);
}

Test(crowd, heads_of_many_fields_before_bodies_that_do_not_come)
{
    expect_endured(26510, {60, body_manner::in_many_fields, longest_head, 0, 16384},
                   many_connections);
}

Test(crowd, whole_requests_of_many_fields_that_wait_for_their_upstream)
{
    crowd_story story{26520, many_connections};
    cr_assert(story.host().is_alive());
    story.plain_worker().m_delay = milliseconds{1500};
    story.begin({60, body_manner::whole_with_many_fields, longest_head, 0, 16384});
    story.plain_worker().m_delay = milliseconds{0};
    expect_sound(story);
}

// Guards against an account for each listener or each kind of bytes that is sound alone.
Test(crowd, all_listeners_and_ways_at_once)
{
    crowd_story story{26530, many_connections};
    cr_assert(story.host().is_alive());
    story.begin({20, body_manner::with_length, body_limit, 0, 16384});
    story.begin({150, body_manner::in_chunk_extension, longest_extension, 0, 16384});
    story.begin({150, body_manner::in_chunk_extension, 75'000, 0, 16384},
                edge_port::directory);
    story.begin({28, body_manner::in_chunk_extension, 75'000, 0, 16384},
                edge_port::readiness);
    story.begin({28, body_manner::in_chunk_extension, 75'000, 0, 16384},
                edge_port::metrics);
    expect_sound(story);
    EXPECT_EQUAL(story.ask_directory(), 200U);
    EXPECT_EQUAL(story.ask_readiness(), 200U);
}

// Guards against answers that pile up for callers who do not read them.
Test(crowd, large_answers_that_nobody_reads)
{
    crowd_story story{26540, many_connections};
    cr_assert(story.host().is_alive());
    story.plain_worker().m_mode = worker_mode::document;
    story.begin({290, body_manner::whole, 0, 0, 16384});
    expect_sound(story);
}

// Guards against events without end, which are held until they are whole.
Test(crowd, streams_whose_upstream_never_ends_an_event)
{
    crowd_story story{26550, many_connections};
    cr_assert(story.host().is_alive());
    story.engine().m_mode = worker_mode::endless_event;
    story.begin({290, body_manner::whole, 0, 0, 16384}, edge_port::callers,
                "/resume/flow/");
    expect_sound(story);
}

// Guards against bytes that the kernel keeps for callers whose requests wait.
Test(crowd, callers_that_send_ahead_while_their_requests_wait)
{
    crowd_story story{26590, many_connections};
    cr_assert(story.host().is_alive());
    story.begin({290, body_manner::whole_and_ahead, 1'000'000, 0, 16384},
                edge_port::callers, "/odd/");
    expect_sound(story);
}

// Guards against answers of a faulty upstream that are no answers and that many requests
// wait for at the same time: heads that do not end, in one field and in many.
Test(crowd, long_heads_of_an_upstream_that_do_not_end)
{
    expect_faulty_endured(26600, {status_line + "x: " + std::string(32'000, 'a'), {}});
}

Test(crowd, heads_of_many_fields_of_an_upstream_that_do_not_end)
{
    expect_faulty_endured(26610, {status_line + many_fields(32'000), {}});
}

Test(crowd, heads_of_many_fields_of_an_upstream_before_bodies_that_do_not_come)
{
    expect_faulty_endured(
        26620,
        {status_line + proof + many_fields(32'000) + "Content-Length: 100\r\n\r\n", {}});
}

Test(crowd, chunk_extensions_of_an_upstream_that_do_not_end)
{
    expect_faulty_endured(
        26630, {status_line + proof + chunked + "1;" + std::string(32'000, 'a'), {}});
}

Test(crowd, trailers_of_many_fields_of_an_upstream_that_do_not_end)
{
    expect_faulty_endured(
        26640, {status_line + proof + chunked + "0\r\n" + many_fields(32'000), {}});
}

// The same without end, until the host closes the connection or nobody reads them.
Test(crowd, heads_of_an_upstream_without_end)
{
    expect_faulty_endured(26650, {status_line, many_fields(32'000)});
}

Test(crowd, bodies_of_an_upstream_without_end)
{
    expect_faulty_endured(26660, {status_line + proof + "\r\n", std::string(65536, 'a')});
}

Test(crowd, bytes_of_an_upstream_that_are_no_answer)
{
    expect_faulty_endured(26670, {"", std::string(65536, 'a')});
}

// Guards against answers that are within the machine's memory one kind at a time.
Test(crowd, answers_of_all_kinds_at_once_that_nobody_reads)
{
    crowd_story story{26680, many_connections};
    cr_assert(story.host().is_alive());
    story.plain_worker().m_mode = worker_mode::document;
    story.engine().m_mode = worker_mode::endless_event;
    story.faulty().set_answer(
        {status_line + proof + many_fields(32'000) + "\r\n", std::string(65536, 'a')});
    story.begin({90, body_manner::whole, 0, 0, 16384});
    story.begin({90, body_manner::whole, 0, 0, 16384}, edge_port::callers,
                "/resume/flow/");
    story.begin({90, body_manner::whole, 0, 0, 16384}, edge_port::callers, "/odd/");
    expect_sound(story);
}

// Guards against strangers at the listener for other hosts, before and after a greeting.
Test(crowd, messages_of_strangers_that_stop_short_of_their_end)
{
    constexpr std::size_t size = max_frame_body_bytes;
    std::string message(frame_header_bytes, '\0');
    message[1] = static_cast<char>(size >> 16);
    message.append(size - 10, 'a');
    const auto greeting =
        encode_frame(node_message{hello{{"stranger"}, {1}, codec_version}});
    cr_assert(is_ok(greeting));
    crowd_story story{26560};
    cr_assert(story.host().is_alive());
    story.send_bytes(std::vector<std::string>(30, message), edge_port::peers);
    story.send_bytes(std::vector<std::string>(30, value_of(greeting) + message),
                     edge_port::peers);
    expect_sound(story);
}

// The sanitizer opens a pipe for each dynamic type that it sees for the first time, and
// reports a sound type when it cannot. CI runs this test in the release build.
#ifndef __SANITIZE_ADDRESS__

// Guards against a host that has no descriptor left for anybody.
Test(crowd, fewer_descriptors_than_the_host_was_told)
{
    crowd_story story{26570};
    cr_assert(story.host().is_alive());
    story.host().limit_descriptors(60);
    story.begin({90, body_manner::with_length, 4000, 0, whole});
    expect_sound(story);
}

#endif
