
#include "testing.hpp"

#include <geraniumdoor/dispatch/call_queue.hpp>

#include <rapidcheck.h>

#include <map>
#include <set>

using namespace geraniumdoor;

namespace
{

call_key key_of(std::uint64_t number)
{
    return {{node_id{"n"}, {1}, number}, {0}, {1}};
}

} // namespace

// Guards against starvation of a workspace by others, and against lost or duplicated
// calls.
TestSuite(call_queue);

Test(call_queue, serves_lower_priority_numbers_first_and_workspaces_by_weight)
{
    call_queue queue;
    std::map<std::uint64_t, std::string> workspace_of_call;
    for (std::uint64_t i = 0; i < 300; ++i)
    {
        workspace_of_call[i] = i % 2 == 0 ? "heavy" : "light";
        push_call(queue, {1, {workspace_of_call[i]}, i % 2 == 0 ? 3U : 1U}, key_of(i));
    }
    push_call(queue, {0, {"urgent"}, 1}, key_of(1000));
    EXPECT_EQUAL(pop_call(queue)->m_request.m_counter, 1000U);
    int heavy_calls = 0;
    for (int i = 0; i < 100; ++i)
    {
        heavy_calls +=
            workspace_of_call[pop_call(queue)->m_request.m_counter] == "heavy" ? 1 : 0;
    }
    EXPECT_EQUAL(heavy_calls, 75);
}

Test(call_queue, returns_each_call_once_for_any_order_of_operations)
{
    const bool holds = rc::check(
        "each pushed call is popped or removed once",
        [](const std::vector<std::uint8_t>& steps)
        {
            call_queue queue;
            std::set<std::uint64_t> waiting;
            std::uint64_t next = 0;
            for (const std::uint8_t step : steps)
            {
                const auto priority = static_cast<std::uint32_t>(next % 3);
                const scheduling_class scheduling{
                    priority, {std::to_string(next % 5)}, 1 + step % 4U};
                if (step % 3 != 0)
                {
                    push_call(queue, scheduling, key_of(next));
                    waiting.insert(next++);
                }
                else if (step % 2 == 0 && !waiting.empty())
                {
                    const std::uint64_t first = *waiting.begin();
                    RC_ASSERT(remove_call(queue,
                                          {static_cast<std::uint32_t>(first % 3),
                                           {std::to_string(first % 5)}},
                                          key_of(first)));
                    waiting.erase(first);
                }
                else if (const auto key = pop_call(queue))
                {
                    RC_ASSERT(waiting.erase(key->m_request.m_counter) == 1U);
                }
                RC_ASSERT(queue.m_size == waiting.size());
            }
            while (const auto key = pop_call(queue))
            {
                RC_ASSERT(waiting.erase(key->m_request.m_counter) == 1U);
            }
            RC_ASSERT(waiting.empty());
        });
    cr_expect(holds);
}
