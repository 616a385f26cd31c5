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

/// Response times on a logarithmic axis from 0.1 ms to 100 s, about 7% a bin.
class response_histogram
{
public:
    response_histogram();

    void add(duration time);

    /// Halves the weight of everything recorded so far.
    void decay();

    /// Returns nothing while fewer than min_weight times are recorded.
    std::optional<duration> quantile(double share) const;

    /// Fewer times than this say little about the 0.9 quantile.
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
    /// From the call until its result, as the coordinator sees it.
    response_histogram m_response;
    /// From dispatch until the end of the answer, without queues.
    response_histogram m_upstream;
};

/// Response times of the stages of all pipelines.
struct stage_times
{
    std::map<std::pair<pipeline_id, stage_index>, stage_time_row> m_rows;
    time_point m_decayed;
};

void note_stage_time(stage_times& times, const pipeline_id& pipeline, stage_index stage,
                     duration response, duration upstream);

/// Lets old times fade, so that the estimates follow the upstreams and recover after a
/// slow period.
void decay_stage_times(stage_times& times, time_point now);

/// Quantile of the response time of a stage; nothing while it is not known.
std::optional<duration> response_quantile(const stage_times& times,
                                          const pipeline_id& pipeline, stage_index stage,
                                          double share);

/// Time that a stage may take: the time left less the 0.9 quantiles of the stages after
/// it, but no less than an equal share of the time left.
duration stage_budget(const stage_times& times, const pipeline_config& pipeline,
                      stage_index stage, duration left);

/// Sum of the 0.5 quantiles of all stages without queues. Unknown stages count as zero.
duration expected_work(const stage_times& times, const pipeline_config& pipeline);

} // namespace geraniumdoor
