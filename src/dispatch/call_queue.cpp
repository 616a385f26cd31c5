#include <geraniumdoor/dispatch/call_queue.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

workspace_queue& queue_for_new_call(call_queue& queue, const scheduling_class& scheduling)
{
    auto& level = queue.m_levels[scheduling.m_priority];
    ++level.m_size;
    ++queue.m_size;
    auto& workspaces = level.m_workspaces;
    for (auto& workspace : workspaces)
    {
        if (workspace.m_workspace == scheduling.m_workspace)
        {
            workspace.m_weight = std::max(1U, scheduling.m_weight);
            return workspace;
        }
    }
    workspaces.push_back(
        {scheduling.m_workspace, std::max(1U, scheduling.m_weight), 0, {}});
    return workspaces.back();
}

void erase_workspace(priority_queue_level& level, std::size_t at)
{
    level.m_workspaces.erase(level.m_workspaces.begin() +
                             static_cast<std::ptrdiff_t>(at));
    if (at < level.m_next)
    {
        --level.m_next;
    }
}

call_key pop_from_level(priority_queue_level& level)
{
    if (level.m_next >= level.m_workspaces.size())
    {
        level.m_next = 0;
    }
    const std::size_t at = level.m_next;
    workspace_queue& workspace = level.m_workspaces[at];
    if (workspace.m_deficit == 0)
    {
        workspace.m_deficit = workspace.m_weight;
    }
    call_key key = workspace.m_calls.front();
    workspace.m_calls.pop_front();
    --workspace.m_deficit;
    --level.m_size;
    const bool spent = workspace.m_deficit == 0;
    if (workspace.m_calls.empty())
    {
        erase_workspace(level, at);
    }
    else if (spent)
    {
        ++level.m_next;
    }
    return key;
}

} // namespace

void push_call(call_queue& queue, const scheduling_class& scheduling, const call_key& key)
{
    queue_for_new_call(queue, scheduling).m_calls.push_back(key);
}

void push_call_front(call_queue& queue, const scheduling_class& scheduling,
                     const call_key& key)
{
    workspace_queue& workspace = queue_for_new_call(queue, scheduling);
    workspace.m_calls.push_front(key);
    ++workspace.m_deficit;
}

std::optional<call_key> pop_call(call_queue& queue)
{
    if (queue.m_levels.empty())
    {
        return std::nullopt;
    }
    const auto level = queue.m_levels.begin();
    call_key key = pop_from_level(level->second);
    --queue.m_size;
    if (level->second.m_workspaces.empty())
    {
        queue.m_levels.erase(level);
    }
    return key;
}

std::size_t queued_ahead(const call_queue& queue, std::uint32_t priority)
{
    std::size_t ahead = 0;
    for (const auto& [level_priority, level] : queue.m_levels)
    {
        if (level_priority <= priority)
        {
            ahead += level.m_size;
        }
    }
    return ahead;
}

bool remove_call(call_queue& queue, const scheduling_class& scheduling,
                 const call_key& key)
{
    const auto found = queue.m_levels.find(scheduling.m_priority);
    if (found == queue.m_levels.end())
    {
        return false;
    }
    auto& level = found->second;
    for (std::size_t at = 0; at < level.m_workspaces.size(); ++at)
    {
        workspace_queue& workspace = level.m_workspaces[at];
        if (workspace.m_workspace != scheduling.m_workspace ||
            std::erase(workspace.m_calls, key) == 0)
        {
            continue;
        }
        --queue.m_size;
        --level.m_size;
        if (workspace.m_calls.empty())
        {
            erase_workspace(level, at);
        }
        if (level.m_workspaces.empty())
        {
            queue.m_levels.erase(found);
        }
        return true;
    }
    return false;
}

} // namespace geraniumdoor
