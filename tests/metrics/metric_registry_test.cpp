#include "testing.hpp"

#include <geraniumdoor/metrics/metric_registry.hpp>

using namespace geraniumdoor;

// Guards against buckets that are not cumulative and against label values that break the
// exposition format.
TestSuite(metric_registry);

Test(metric_registry, histogram_buckets_are_cumulative)
{
    metric_registry metrics;
    metrics.observe("latency_seconds", {{"stage", "encode"}}, 0.0005);
    metrics.observe("latency_seconds", {{"stage", "encode"}}, 0.02);
    metrics.observe("latency_seconds", {{"stage", "encode"}}, 40);
    const std::string text = metrics.exposition();
    const auto has = [&](const char* line)
    {
        return text.find(line) != std::string::npos;
    };
    cr_expect(has("latency_seconds_bucket{stage=\"encode\",le=\"0.001\"} 1\n"));
    cr_expect(has("latency_seconds_bucket{stage=\"encode\",le=\"0.025\"} 2\n"));
    cr_expect(has("latency_seconds_bucket{stage=\"encode\",le=\"30\"} 2\n"));
    cr_expect(has("latency_seconds_bucket{stage=\"encode\",le=\"+Inf\"} 3\n"));
    cr_expect(has("latency_seconds_count{stage=\"encode\"} 3\n"));
}

Test(metric_registry, label_values_are_escaped)
{
    metric_registry metrics;
    metrics.add("refused_total", {{"workspace", "a\"b\nc"}});
    EXPECT_EQUAL(
        metrics.exposition(),
        "# TYPE refused_total counter\nrefused_total{workspace=\"a\\\"b\\nc\"} 1\n");
}
