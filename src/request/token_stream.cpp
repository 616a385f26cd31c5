#include "request_steps.hpp"

#include <geraniumdoor/base/invariant.hpp>

#include <utility>

namespace geraniumdoor
{

namespace
{

/// Tokens whose index is this far or further past the first missing one are dropped.
constexpr std::uint32_t token_window = 256;
/// A token that has not arrived this long after the result counts as lost: the attempt is
/// dropped, its upstream excluded, and the stage retried if possible.
constexpr milliseconds max_wait_after_result{200};

void deliver_in_order(request_context context, active_request& row)
{
    auto& stream = row.m_stream;
    for (auto next = stream.m_out_of_order.begin();
         next != stream.m_out_of_order.end() && next->first == stream.m_delivered.size();
         next = stream.m_out_of_order.erase(next))
    {
        require_invariant(next->first == stream.m_delivered.size(), "parts_are_in_order",
                          to_string(row.m_request.m_id));
        stream.m_delivered.push_back(next->second);
        context.m_actions.push_back(
            reply_part{row.m_request.m_id, next->first, std::move(next->second)});
    }
}

bool is_acceptable(const active_request& row, const stage_chunk& chunk)
{
    const auto& stream = row.m_stream;
    return !row.m_ended && is_streamed(row) &&
           chunk.m_index >= stream.m_delivered.size() &&
           chunk.m_index < stream.m_delivered.size() + token_window;
}

} // namespace

void add_token(request_context context, active_request& row, const stage_chunk& chunk)
{
    const bool wanted =
        is_acceptable(row, chunk) &&
        row.m_stream.m_out_of_order.try_emplace(chunk.m_index, chunk.m_token).second;
    if (!wanted)
    {
        ++context.m_state.m_counters.m_dropped_chunks;
        return;
    }
    deliver_in_order(context, row);
}

bool wait_for_tokens(request_context context, active_request& row,
                     const stage_result& result)
{
    auto& stream = row.m_stream;
    if (!is_streamed(row) || stream.m_delivered.size() >= result.m_tokens)
    {
        return false;
    }
    if (!stream.m_result)
    {
        stream.m_result = result;
        stream.m_result_deadline = context.m_now + max_wait_after_result;
    }
    return true;
}

} // namespace geraniumdoor
