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

/// Calls that wait for an upstream of one pool. Lower priority numbers are served first.
/// Within a priority, workspaces are served by deficit round robin, each call costing
/// one.
/// Source: Shreedhar and Varghese, "Efficient fair queuing using deficit
/// round-robin", IEEE/ACM Transactions on Networking 4(3), 1996.
struct call_queue
{
    std::map<std::uint32_t, priority_queue_level> m_levels;
    std::size_t m_size = 0;
};

/// Priority, workspace and weight by which a call is queued.
struct scheduling_class
{
    std::uint32_t m_priority = 1;
    workspace_id m_workspace;
    std::uint32_t m_weight = 1;
};

void push_call(call_queue& queue, const scheduling_class& scheduling,
               const call_key& key);

/// Returns a call that was popped but not dispatched to the front of its workspace's
/// queue.
void push_call_front(call_queue& queue, const scheduling_class& scheduling,
                     const call_key& key);

/// Removes and returns the next call, or nothing when the queue is empty.
std::optional<call_key> pop_call(call_queue& queue);

/// Returns the number of queued calls that precede a new call of the priority.
std::size_t queued_ahead(const call_queue& queue, std::uint32_t priority);

/// Returns whether the call was queued.
bool remove_call(call_queue& queue, const scheduling_class& scheduling,
                 const call_key& key);

} // namespace geraniumdoor
