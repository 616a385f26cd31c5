#include <geraniumdoor/metrics/metric_registry.hpp>

#include <boost/histogram.hpp>

#include <cstdio>

namespace geraniumdoor
{

namespace
{

namespace bh = boost::histogram;

std::string format_number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.9g", value);
    return text;
}

std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (const char c : value)
    {
        if (c == '\\' || c == '"')
        {
            escaped += '\\';
        }
        if (c == '\n')
        {
            escaped += "\\n";
            continue;
        }
        escaped += c;
    }
    return escaped;
}

/// Labels without the braces, such as stage="encode",pool="encode".
std::string format_labels(const metric_labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels)
    {
        text += text.empty() ? "" : ",";
        text += name;
        text += "=\"";
        text += escape_label(value);
        text += '"';
    }
    return text;
}

std::string with_label(const std::string& labels, const std::string& extra)
{
    return '{' + labels + (labels.empty() ? "" : ",") + extra + '}';
}

std::string braced(const std::string& labels)
{
    return labels.empty() ? std::string{} : '{' + labels + '}';
}

auto make_buckets()
{
    return bh::make_histogram(bh::axis::variable<>{0.001, 0.0025, 0.005, 0.01, 0.025,
                                                   0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
                                                   10.0, 30.0});
}

template<class Family>
double& value_at(Family& families, std::string_view name, const metric_labels& labels)
{
    auto family = families.find(name);
    if (family == families.end())
    {
        family =
            families.emplace(std::string{name}, typename Family::mapped_type{}).first;
    }
    return family->second[format_labels(labels)];
}

template<class Family>
void write_values(std::string& text, const Family& families, const char* type)
{
    for (const auto& [name, values] : families)
    {
        text += "# TYPE " + name + ' ' + type + '\n';
        for (const auto& [labels, value] : values)
        {
            text += name + braced(labels) + ' ' + format_number(value) + '\n';
        }
    }
}

} // namespace

struct metric_registry::histogram
{
    decltype(make_buckets()) m_buckets = make_buckets();
    double m_sum = 0;
    double m_count = 0;

    void write(std::string& text, const std::string& name,
               const std::string& labels) const
    {
        const auto& axis = m_buckets.axis();
        // The underflow bin holds what is below the first edge.
        double below = m_buckets.at(-1);
        for (int bin = 0; bin <= axis.size(); ++bin)
        {
            const double edge = axis.value(bin);
            text += name + "_bucket" +
                    with_label(labels, "le=\"" + format_number(edge) + '"') + ' ' +
                    format_number(below) + '\n';
            below += m_buckets.at(bin);
        }
        text += name + "_bucket" + with_label(labels, "le=\"+Inf\"") + ' ' +
                format_number(m_count) + '\n';
        text += name + "_sum" + braced(labels) + ' ' + format_number(m_sum) + '\n';
        text += name + "_count" + braced(labels) + ' ' + format_number(m_count) + '\n';
    }
};

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

void metric_registry::add(std::string_view name, const metric_labels& labels,
                          double amount)
{
    value_at(m_counters, name, labels) += amount;
}

void metric_registry::set_count(std::string_view name, const metric_labels& labels,
                                double total)
{
    value_at(m_counters, name, labels) = total;
}

void metric_registry::set(std::string_view name, const metric_labels& labels,
                          double value)
{
    value_at(m_gauges, name, labels) = value;
}

void metric_registry::clear_gauge(std::string_view name)
{
    const auto family = m_gauges.find(name);
    if (family != m_gauges.end())
    {
        family->second.clear();
    }
}

void metric_registry::observe(std::string_view name, const metric_labels& labels,
                              double seconds)
{
    auto& target = m_histograms[std::string{name}][format_labels(labels)];
    if (!target)
    {
        target = std::make_unique<histogram>();
    }
    target->m_buckets(seconds);
    target->m_sum += seconds;
    target->m_count += 1;
}

std::string metric_registry::exposition() const
{
    std::string text;
    write_values(text, m_counters, "counter");
    write_values(text, m_gauges, "gauge");
    for (const auto& [name, by_labels] : m_histograms)
    {
        text += "# TYPE " + name + " histogram\n";
        for (const auto& [labels, target] : by_labels)
        {
            target->write(text, name, labels);
        }
    }
    return text;
}

} // namespace geraniumdoor
