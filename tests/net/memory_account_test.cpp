#include <geraniumdoor/net/memory_account.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};
constexpr std::size_t body = 1'000'000;

memory_account account_of(std::size_t machine_bytes)
{
    memory_account account;
    account.m_limits = memory_limits_of(machine_bytes);
    return account;
}

/// A holder that receives, and last made progress at a time.
memory_holder_id add_holder(memory_account& account, std::uint64_t id, time_point at)
{
    const memory_holder_id holder{id};
    account.m_holders[holder].m_progress_at = at;
    account.m_holders[holder].m_phase = holder_phase::receiving;
    return holder;
}

} // namespace

TestSuite(memory_account);

// Guards against answers that are held back as long as there is memory, and take the part
// that ordinary requests need.
Test(memory_account, what_a_holder_can_do_without_leaves_the_reserve)
{
    memory_account account = account_of(32'000'000);
    const std::size_t free_bytes =
        account.m_limits.m_total_bytes - account.m_limits.m_small_reserve_bytes;
    std::size_t held = 0;
    for (std::uint64_t id = 1; held + max_small_bytes <= free_bytes; ++id)
    {
        cr_expect(request_spare_memory(account, {id}, max_small_bytes));
        held += max_small_bytes;
    }
    EXPECT_EQUAL(account.m_held_bytes, held);
    const auto still = add_holder(account, 1000, start);
    cr_expect(not request_spare_memory(account, still, max_small_bytes));
    cr_expect(request_memory(account, still, max_small_bytes, start).m_verdict ==
              memory_verdict::granted);
    // Nobody gives way for it, however long they stand still.
    cr_expect(not request_spare_memory(account, {1001}, body));
    // Less than before is granted at any time.
    cr_expect(request_spare_memory(account, still, max_small_bytes / 2));
}

// Guards against a crowd that stops short of the end and takes the host's memory: the
// longest still gives way, whoever makes progress stays, and small bodies have room.
Test(memory_account, a_crowd_that_stands_still_gives_way_to_those_that_send)
{
    memory_account account = account_of(32'000'000);
    std::size_t granted = 0;
    for (std::uint64_t id = 1; id <= 60; ++id)
    {
        const auto holder = add_holder(account, id, start + milliseconds{id});
        granted += request_memory(account, holder, body, start).m_verdict ==
                   memory_verdict::granted;
    }
    cr_expect(granted < 60);
    cr_expect(account.m_held_bytes <= account.m_limits.m_total_bytes);

    // None stands still yet: what comes is refused at once, unless it is small.
    const auto large = add_holder(account, 100, start);
    cr_expect(request_memory(account, large, body, start).m_verdict ==
              memory_verdict::refused);
    const auto small = add_holder(account, 101, start + 1s);
    cr_expect(request_memory(account, small, max_small_bytes, start).m_verdict ==
              memory_verdict::granted);

    // The first of the crowd goes on, the others stand still.
    const time_point later = start + 2s;
    record_received(account, memory_holder_id{1}, min_progress_bytes, later);
    const memory_decision decision = request_memory(account, large, body, later);
    cr_expect(decision.m_verdict == memory_verdict::close_other);
    EXPECT_EQUAL(decision.m_other.m_value, 2U);
    release_memory(account, decision.m_other);
    cr_expect(request_memory(account, large, body, later).m_verdict ==
              memory_verdict::granted);
}

// Guards against callers that send a byte now and then to keep what they hold.
Test(memory_account, a_trickle_of_bytes_is_no_progress)
{
    memory_account account = account_of(4'000'000);
    const auto slow = add_holder(account, 1, start);
    request_memory(account, slow, body, start);
    for (std::size_t sent = 1; sent < 100; ++sent)
    {
        record_received(account, slow, sent, start + sent * 100ms);
    }
    const auto next = add_holder(account, 2, start + 10s);
    cr_expect(request_memory(account, next, body, start + 10s).m_verdict ==
              memory_verdict::close_other);
}

// Guards against a limit that one caller within the configured limits meets.
Test(memory_account, a_single_large_body_is_granted_on_the_smallest_machine)
{
    memory_account account = account_of(1'000'000);
    const auto only = add_holder(account, 1, start);
    cr_expect(request_memory(account, only, 4'194'304, start).m_verdict ==
              memory_verdict::granted);
    release_memory(account, only);
    EXPECT_EQUAL(account.m_held_bytes, 0U);
}

// Guards against a request that is answered and loses its connection to another one.
Test(memory_account, what_has_arrived_is_not_closed)
{
    memory_account account = account_of(4'000'000);
    const auto served = add_holder(account, 1, start);
    request_memory(account, served, body, start);
    account.m_holders[served].m_phase = holder_phase::busy;
    const auto next = add_holder(account, 2, start + 10s);
    cr_expect(request_memory(account, next, body, start + 10s).m_verdict ==
              memory_verdict::refused);
}

// Guards against a crowd that opens all connections of a host and keeps them.
Test(memory_account, a_connection_that_stands_still_makes_room_for_another)
{
    std::vector<waiting_peer> peers{{true, false, start + 900ms},
                                    {true, false, start + 300ms},
                                    {false, true, start},
                                    {false, false, start}};
    cr_expect(connection_to_close(peers, start + 2s) == std::optional<std::size_t>{1});
    cr_expect(not connection_to_close(peers, start + 500ms));
    peers.erase(peers.begin(), peers.begin() + 2);
    cr_expect(connection_to_close(peers, start + 2s) == std::optional<std::size_t>{0});
    peers.erase(peers.begin());
    cr_expect(not connection_to_close(peers, start + 2s));
}
