#include "entry_story.hpp"

#include <geraniumdoor/cluster/codec.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;

namespace
{

constexpr std::size_t body_limit = entry_story::body_limit;
constexpr std::size_t whole = std::size_t{64} * 1024 * 1024;

/// Just short of what one connection buffers of a head, of an extension or of a trailer.
constexpr std::size_t longest_head = 60'000;
constexpr std::size_t longest_extension = 125'000;

/// Expects that the daemon lives within what it was told of its machine, and answers.
void expect_sound(entry_story& story)
{
    constexpr std::size_t memory_bytes = entry_story::memory_mb * 1'000'000;
    story.host().wait_until_idle();
    cr_expect(story.host().is_alive());
    const std::size_t grown = story.host().grown_bytes();
    cr_expect(grown <= memory_bytes, "grew by %zu of %zu bytes", grown, memory_bytes);
    const std::size_t descriptors = story.host().open_descriptors();
    cr_expect(descriptors <= entry_story::open_files, "%zu descriptors", descriptors);
    EXPECT_EQUAL(story.send_ordinary(), 200U);
    EXPECT_EQUAL(story.ask_health(), 200U);
    cr_expect(story.host().is_alive());
}

void expect_endured(std::uint16_t first_port, const crowd_plan& plan,
                    entry_port port = entry_port::callers)
{
    entry_story story{first_port};
    cr_assert(story.host().is_alive());
    story.begin(plan, port);
    expect_sound(story);
}

} // namespace

// Guards against callers that end an entry daemon together, each within the limits or
// beyond them: it kept what each of them sent.
TestSuite(entry_crowd, .timeout = 120);

Test(entry_crowd, bodies_sent_whole_that_stop_short_of_their_end)
{
    expect_endured(26600, {60, body_manner::with_length, body_limit, 0, whole});
}

Test(entry_crowd, bodies_sent_piece_by_piece_that_stop_short_of_their_end)
{
    expect_endured(26610, {60, body_manner::with_length, body_limit, 0, 16384});
}

Test(entry_crowd, large_chunks_without_a_last_one)
{
    expect_endured(26620, {60, body_manner::in_chunks, body_limit - 65536, 65536, 16384});
}

Test(entry_crowd, very_small_chunks_without_a_last_one)
{
    expect_endured(26630, {60, body_manner::in_chunks, body_limit - 65536, 16, 16384});
}

Test(entry_crowd, bodies_far_over_the_limit_that_are_announced)
{
    expect_endured(26640, {60, body_manner::with_length, 8 * body_limit, 0, 16384});
}

Test(entry_crowd, bodies_far_over_the_limit_that_are_just_sent)
{
    expect_endured(26650, {60, body_manner::in_chunks, 8 * body_limit, 65536, 16384});
}

Test(entry_crowd, more_callers_than_the_daemon_accepts_connections)
{
    expect_endured(26660, {400, body_manner::with_length, 4000, 0, whole});
}

Test(entry_crowd, chunk_extensions_that_do_not_end)
{
    expect_endured(26670,
                   {300, body_manner::in_chunk_extension, longest_extension, 0, 16384});
}

Test(entry_crowd, heads_of_many_fields_before_bodies_that_do_not_come)
{
    expect_endured(26680, {60, body_manner::in_many_fields, longest_head, 0, 16384});
}

Test(entry_crowd, whole_requests_that_wait_for_the_configuration)
{
    expect_endured(26690,
                   {60, body_manner::whole_with_many_fields, longest_head, 0, 16384});
}

// Guards against strangers at the listeners that callers do not use.
Test(entry_crowd, sheets_of_operators_that_stop_short_of_their_end)
{
    expect_endured(26700, {60, body_manner::with_length, 3 * body_limit, 0, 16384},
                   entry_port::admin);
}

Test(entry_crowd, messages_of_strangers_that_stop_short_of_their_end)
{
    constexpr std::size_t size = max_frame_body_bytes;
    std::string message(frame_header_bytes, '\0');
    message[1] = static_cast<char>(size >> 16);
    message.append(size - 10, 'a');
    const auto greeting =
        encode_frame(node_message{hello{{"stranger"}, {1}, codec_version}});
    cr_assert(is_ok(greeting));
    entry_story story{26710};
    cr_assert(story.host().is_alive());
    story.send_bytes(std::vector<std::string>(30, message), entry_port::peers);
    story.send_bytes(std::vector<std::string>(30, value_of(greeting) + message),
                     entry_port::peers);
    expect_sound(story);
}

// See crowd::fewer_descriptors_than_the_host_was_told.
#ifndef __SANITIZE_ADDRESS__

Test(entry_crowd, fewer_descriptors_than_the_daemon_was_told)
{
    entry_story story{26720};
    cr_assert(story.host().is_alive());
    story.host().limit_descriptors(60);
    story.begin({90, body_manner::with_length, 4000, 0, whole});
    expect_sound(story);
}

#endif

// Guards against a limit that a single caller within the pages' limits meets. Without a
// configuration, the request is refused for that, and for nothing else.
Test(entry_crowd, a_single_large_body_is_read_in_calm)
{
    entry_story story{26730};
    const unsigned status = story.send_large();
    cr_expect(status == 503, "status %u", status);
    cr_expect(story.host().is_alive());
}
