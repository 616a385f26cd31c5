#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace geraniumdoor
{

/// Histogram of response times on a logarithmic axis from 0.1 ms to 100 s, with bins
/// about 7% wide.
class response_histogram
{
public:
    response_histogram();

    void add(duration time);

    /// Halves the weight of all recorded times.
    void decay();

    /// Returns the upper edge of the bin that holds the quantile; nothing while the
    /// recorded weight is below min_weight.
    std::optional<duration> quantile(double probability) const;

    /// With fewer samples the 0.9 quantile is not meaningful.
    static constexpr double min_weight = 10;

private:
    using axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using weights = boost::histogram::dense_storage<double>;

    boost::histogram::histogram<std::tuple<axis>, weights> m_bins;
    double m_weight = 0;
};

struct stage_time_row
{
    /// From sending the call until its result arrives at the coordinator.
    response_histogram m_response_times;
    /// From dispatch until the end of the upstream's answer, excluding queue wait.
    response_histogram m_upstream_times;
};

/// Response times of all stages, by pipeline and stage.
struct stage_times
{
    std::map<std::pair<pipeline_id, stage_index>, stage_time_row> m_rows;
    time_point m_decayed;
};

void record_stage_time(stage_times& times, const pipeline_id& pipeline, stage_index stage,
                       duration response, duration upstream);

/// Halves the weight of all samples every 5 s, so that the estimates follow the upstreams
/// and recover after a slow period.
void decay_stage_times(stage_times& times, time_point now);

/// Quantile of the response time of a stage; nothing while too few samples are recorded.
std::optional<duration> response_quantile(const stage_times& times,
                                          const pipeline_id& pipeline, stage_index stage,
                                          double probability);

/// Time budget of a stage: the remaining time minus the 0.9 quantiles of the later
/// stages, but no less than an equal share of the remaining time.
duration stage_budget(const stage_times& times, const pipeline_config& pipeline,
                      stage_index stage, duration remaining);

/// Sum of the median upstream times of all stages, excluding queue wait. Stages without
/// enough samples count as zero.
duration expected_service_time(const stage_times& times, const pipeline_config& pipeline);

} // namespace geraniumdoor
