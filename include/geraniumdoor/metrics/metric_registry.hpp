#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumdoor
{

using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and histograms of one process, in the Prometheus text format.
/// Names are a base name; counters end in "_total" and times are in seconds.
class metric_registry
{
public:
    metric_registry();
    ~metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;

    void add(std::string_view name, const metric_labels& labels, double amount = 1);

    /// Sets a counter that is kept elsewhere.
    void set_count(std::string_view name, const metric_labels& labels, double total);

    /// Sets a value that can go down.
    void set(std::string_view name, const metric_labels& labels, double value);

    /// Forgets all values set under the name, so that rows that are gone disappear.
    void clear_gauge(std::string_view name);

    /// Adds one sample, in seconds, to a histogram with buckets from 1 ms to 30 s.
    void observe(std::string_view name, const metric_labels& labels, double seconds);

    /// Text exposition format 0.0.4.
    std::string exposition() const;

private:
    struct histogram;
    using series = std::map<std::string, double>;

    std::map<std::string, series, std::less<>> m_counters;
    std::map<std::string, series, std::less<>> m_gauges;
    std::map<std::string, std::map<std::string, std::unique_ptr<histogram>>, std::less<>>
        m_histograms;
};

} // namespace geraniumdoor
