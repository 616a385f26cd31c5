#include <geraniumdoor/serving/path_estimate.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

constexpr milliseconds shortest_return{100};

bool has_pieces(const std::vector<std::uint32_t>& pieces, std::size_t stage)
{
    return stage < pieces.size() && pieces[stage] > 0;
}

} // namespace

path_estimate estimate_path(const route& chosen,
                            const std::vector<stage_estimate>& stages,
                            const std::vector<std::uint32_t>& pieces, milliseconds answer)
{
    const std::size_t count = chosen.m_stages.size();
    path_estimate path;
    path.m_stage_ends.assign(count, milliseconds{0});
    path.m_remaining_service_time.assign(count, answer);
    path.m_remaining_time.assign(count, answer);
    milliseconds last_end{0};
    // The platform lists a stage after those it needs.
    for (std::size_t at = 0; at < count; ++at)
    {
        milliseconds begin{0};
        for (const std::uint32_t before : chosen.m_stages[at].m_predecessors)
        {
            if (before < at)
            {
                begin = std::max(begin, path.m_stage_ends[before]);
            }
        }
        const bool runs = has_pieces(pieces, at);
        path.m_stage_ends[at] =
            runs ? begin + stages[at].m_wait + stages[at].m_service_time : begin;
        last_end = std::max(last_end, path.m_stage_ends[at]);
    }
    for (std::size_t at = count; at-- > 0;)
    {
        const bool runs = has_pieces(pieces, at);
        const milliseconds work = runs ? stages[at].m_service_time : milliseconds{0};
        const milliseconds wait = runs ? stages[at].m_wait : milliseconds{0};
        for (const std::uint32_t before : chosen.m_stages[at].m_predecessors)
        {
            if (before < at)
            {
                path.m_remaining_service_time[before] =
                    std::max(path.m_remaining_service_time[before],
                             path.m_remaining_service_time[at] + work);
                path.m_remaining_time[before] =
                    std::max(path.m_remaining_time[before],
                             path.m_remaining_time[at] + work + wait);
            }
        }
    }
    path.m_first_byte = last_end + answer;
    return path;
}

milliseconds stage_service_time(const piece_limits& limits, std::uint32_t pieces)
{
    const std::uint32_t in_call = std::min(pieces, std::max(1U, limits.m_batch_size));
    return limits.m_base_call_time +
           milliseconds{static_cast<std::int64_t>(limits.m_ms_per_piece * in_call)};
}

milliseconds retry_after_delay(milliseconds until_capacity, milliseconds left)
{
    const milliseconds longest = std::max(shortest_return, left / 3);
    return std::clamp(until_capacity, shortest_return, longest);
}

time_point startup_wait_end(time_point started, time_point arrived,
                            std::optional<milliseconds> deadline)
{
    const milliseconds wait =
        deadline ? std::min(max_startup_wait, *deadline / startup_wait_divisor)
                 : max_startup_wait;
    return std::min(arrived + wait, started + startup_time);
}

} // namespace geraniumdoor::serving
