#include "crowd_story.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;

namespace
{

/// The memory of the machine, which the host is told.
constexpr std::size_t memory_bytes = crowd_story::memory_mb * 1'000'000;

constexpr std::size_t whole = std::size_t{64} * 1024 * 1024;

/// Sends a crowd and expects that the host lives within its machine and answers.
void expect_endured(std::uint16_t first_port, const crowd_plan& plan)
{
    crowd_story story{first_port};
    cr_assert(story.is_alive());
    story.begin(plan);
    cr_expect(story.is_alive());
    const std::size_t grown = story.grown_bytes();
    cr_expect(grown <= memory_bytes, "grew by %zu of %zu bytes", grown, memory_bytes);
    const std::size_t descriptors = story.open_descriptors();
    cr_expect(descriptors <= crowd_story::open_files, "%zu descriptors", descriptors);
    EXPECT_EQUAL(story.send_ordinary(), 200U);
    cr_expect(story.is_alive());
}

} // namespace

// Guards against callers that end a host together, each within the limits or beyond
// them: it ran out of memory with bodies that most of them did not finish.
TestSuite(crowd, .timeout = 120);

Test(crowd, bodies_sent_whole_that_stop_short_of_their_end)
{
    expect_endured(26400,
                   {60, body_manner::with_length, crowd_story::body_limit, 0, whole});
}

Test(crowd, bodies_sent_piece_by_piece_that_stop_short_of_their_end)
{
    expect_endured(26410,
                   {60, body_manner::with_length, crowd_story::body_limit, 0, 16384});
}

Test(crowd, large_chunks_without_a_last_one)
{
    expect_endured(26420, {60, body_manner::in_chunks, crowd_story::body_limit - 65536,
                           65536, 16384});
}

Test(crowd, very_small_chunks_without_a_last_one)
{
    expect_endured(
        26430, {60, body_manner::in_chunks, crowd_story::body_limit - 65536, 16, 16384});
}

Test(crowd, bodies_far_over_the_limit_that_are_announced)
{
    expect_endured(26440,
                   {60, body_manner::with_length, 8 * crowd_story::body_limit, 0, 16384});
}

Test(crowd, bodies_far_over_the_limit_that_are_just_sent)
{
    expect_endured(
        26450, {60, body_manner::in_chunks, 8 * crowd_story::body_limit, 65536, 16384});
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
