#include <geraniumdoor/request/stage_budget.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

constexpr unsigned bin_count = 200;
constexpr double min_response_ms = 0.1;
constexpr double max_response_ms = 100000;
constexpr seconds decay_interval{5};
constexpr double median = 0.5;
constexpr double reserved_quantile = 0.9;

duration from_ms(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{value});
}

} // namespace

response_histogram::response_histogram()
    : m_bins{boost::histogram::make_histogram_with(
          weights{}, axis{bin_count, min_response_ms, max_response_ms})}
{
}

void response_histogram::add(duration time)
{
    // The upper edge of the axis is exclusive; a slightly smaller value falls into the
    // last bin.
    m_bins(std::clamp(to_ms(time), min_response_ms, max_response_ms * 0.999));
    m_weight += 1;
}

void response_histogram::decay()
{
    m_bins *= 0.5;
    m_weight *= 0.5;
}

std::optional<duration> response_histogram::quantile(double probability) const
{
    if (m_weight < min_weight)
    {
        return std::nullopt;
    }
    double cumulative = 0;
    for (int bin = 0; bin < static_cast<int>(bin_count); ++bin)
    {
        cumulative += m_bins.at(bin);
        if (cumulative >= probability * m_weight)
        {
            return from_ms(m_bins.axis().value(bin + 1));
        }
    }
    return from_ms(max_response_ms);
}

void record_stage_time(stage_times& times, const pipeline_id& pipeline, stage_index stage,
                       duration response, duration upstream)
{
    auto& row = times.m_rows[{pipeline, stage}];
    row.m_response_times.add(response);
    row.m_upstream_times.add(upstream);
}

void decay_stage_times(stage_times& times, time_point now)
{
    if (now - times.m_decayed < decay_interval)
    {
        return;
    }
    times.m_decayed = now;
    for (auto& [key, row] : times.m_rows)
    {
        row.m_response_times.decay();
        row.m_upstream_times.decay();
    }
}

std::optional<duration> response_quantile(const stage_times& times,
                                          const pipeline_id& pipeline, stage_index stage,
                                          double probability)
{
    const auto at = times.m_rows.find({pipeline, stage});
    return at == times.m_rows.end() ? std::nullopt
                                    : at->second.m_response_times.quantile(probability);
}

duration stage_budget(const stage_times& times, const pipeline_config& pipeline,
                      stage_index stage, duration remaining)
{
    const auto count = static_cast<std::uint32_t>(pipeline.m_stages.size());
    duration reserved{};
    for (std::uint32_t later = stage.m_value + 1; later < count; ++later)
    {
        reserved += response_quantile(times, pipeline.m_id, {later}, reserved_quantile)
                        .value_or(duration{});
    }
    return std::max(remaining - reserved, remaining / (count - stage.m_value));
}

duration expected_service_time(const stage_times& times, const pipeline_config& pipeline)
{
    duration total{};
    for (std::uint32_t stage = 0; stage < pipeline.m_stages.size(); ++stage)
    {
        const auto at = times.m_rows.find({pipeline.m_id, stage_index{stage}});
        if (at != times.m_rows.end())
        {
            total += at->second.m_upstream_times.quantile(median).value_or(duration{});
        }
    }
    return total;
}

} // namespace geraniumdoor
