#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/cluster/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace geraniumdoor
{

/// Queued calls of one workspace within one priority.
struct workspace_queue
{
    workspace_id m_workspace;
    std::uint32_t m_weight = 1;
    std::uint64_t m_deficit = 0;
    std::deque<call_key> m_calls;
};

struct priority_queue_level
{
    std::vector<workspace_queue> m_workspaces;
    std::size_t m_next = 0;
    std::size_t m_size = 0;
};

/// Calls that wait for an upstream of one pool. Serves lower priority numbers first and,
/// within a priority, workspaces by deficit round robin with a cost of one for each call.
/// Source: Shreedhar and Varghese, "Efficient fair queuing using deficit round-robin",
/// IEEE/ACM Transactions on Networking 4(3), 1996.
struct call_queue
{
    std::map<std::uint32_t, priority_queue_level> m_levels;
    std::size_t m_size = 0;
};

/// Where a queued call belongs.
struct queue_place
{
    std::uint32_t m_priority = 1;
    workspace_id m_workspace;
    std::uint32_t m_weight = 1;
};

void push_call(call_queue& queue, const queue_place& place, const call_key& key);

/// Puts a call that was popped but not served back in front of its workspace's queue.
void push_call_front(call_queue& queue, const queue_place& place, const call_key& key);

/// Returns and removes the next call, or nothing when the queue is empty.
std::optional<call_key> pop_call(call_queue& queue);

/// Returns the number of queued calls that are served before a new call of the priority.
std::size_t queued_ahead(const call_queue& queue, std::uint32_t priority);

/// Returns whether the call was queued.
bool remove_call(call_queue& queue, const queue_place& place, const call_key& key);

} // namespace geraniumdoor
