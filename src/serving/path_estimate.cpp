#include <geraniumdoor/serving/path_estimate.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

constexpr milliseconds min_retry_after{100};

bool has_pieces(const std::vector<std::uint32_t>& pieces, std::size_t stage)
{
    return stage < pieces.size() && pieces[stage] > 0;
}

} // namespace

path_estimate estimate_path(const route& request_route,
                            const std::vector<stage_estimate>& stages,
                            const std::vector<std::uint32_t>& pieces,
                            milliseconds response_time)
{
    const std::size_t count = request_route.m_stages.size();
    path_estimate path;
    path.m_stage_ends.assign(count, milliseconds{0});
    path.m_remaining_service_time.assign(count, response_time);
    path.m_remaining_time.assign(count, response_time);
    milliseconds last_end{0};
    // The platform lists each stage after its predecessors.
    for (std::size_t index = 0; index < count; ++index)
    {
        milliseconds begin{0};
        for (const std::uint32_t predecessor :
             request_route.m_stages[index].m_predecessors)
        {
            if (predecessor < index)
            {
                begin = std::max(begin, path.m_stage_ends[predecessor]);
            }
        }
        const bool runs = has_pieces(pieces, index);
        path.m_stage_ends[index] =
            runs ? begin + stages[index].m_wait + stages[index].m_service_time : begin;
        last_end = std::max(last_end, path.m_stage_ends[index]);
    }
    for (std::size_t index = count; index-- > 0;)
    {
        const bool runs = has_pieces(pieces, index);
        const milliseconds service_time =
            runs ? stages[index].m_service_time : milliseconds{0};
        const milliseconds wait = runs ? stages[index].m_wait : milliseconds{0};
        for (const std::uint32_t predecessor :
             request_route.m_stages[index].m_predecessors)
        {
            if (predecessor < index)
            {
                path.m_remaining_service_time[predecessor] =
                    std::max(path.m_remaining_service_time[predecessor],
                             path.m_remaining_service_time[index] + service_time);
                path.m_remaining_time[predecessor] =
                    std::max(path.m_remaining_time[predecessor],
                             path.m_remaining_time[index] + service_time + wait);
            }
        }
    }
    path.m_first_byte = last_end + response_time;
    return path;
}

milliseconds stage_service_time(const piece_limits& limits, std::uint32_t pieces)
{
    const std::uint32_t batch = std::min(pieces, std::max(1U, limits.m_batch_size));
    return limits.m_base_call_time +
           milliseconds{static_cast<std::int64_t>(limits.m_ms_per_piece * batch)};
}

milliseconds retry_after_delay(milliseconds until_capacity, milliseconds time_left)
{
    const milliseconds max_retry_after = std::max(min_retry_after, time_left / 3);
    return std::clamp(until_capacity, min_retry_after, max_retry_after);
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
