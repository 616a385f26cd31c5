#pragma once

#include <geraniumdoor/serving/stage_queue.hpp>

#include <string>

namespace geraniumdoor::test
{

inline constexpr time_point sample_now{std::chrono::seconds{1000}};

/// Returns a queue with idle upstreams "w0", "w1", ... and the limits of the first stage
/// of the smaller sites: eight pieces per call, 150 ms per call plus 16 ms per piece.
inline serving::stage_queue sample_queue(int upstreams)
{
    serving::stage_queue queue;
    queue.m_limits.m_batch_size = 8;
    queue.m_limits.m_base_call_time = milliseconds{150};
    queue.m_limits.m_ms_per_piece = 16;
    queue.m_limits.m_result_memory_bytes = 36'000'000;
    for (int index = 0; index < upstreams; ++index)
    {
        queue.m_upstreams[upstream_id{"w" + std::to_string(index)}] = {};
    }
    return queue;
}

/// Returns a job with enough time to meet its latency target.
inline serving::stage_job sample_job(std::uint32_t pieces)
{
    serving::stage_job job;
    job.m_pieces.resize(pieces);
    job.m_due = sample_now + milliseconds{1000};
    job.m_deadline = sample_now + milliseconds{5000};
    job.m_result_bytes = 8000;
    job.m_arrived = sample_now;
    return job;
}

inline serving::stage_job& add_job(serving::stage_queue& queue, const std::string& host,
                                   std::uint32_t pieces)
{
    const serving::job_id id{node_id{host}, {1}, 1};
    return queue.m_jobs[id] = sample_job(pieces);
}

} // namespace geraniumdoor::test
