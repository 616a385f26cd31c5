#include <geraniumdoor/edge/edge_settings.hpp>

#include <cmath>

namespace geraniumdoor::edge
{

namespace
{

constexpr std::size_t max_settings_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_address_length = 64;
constexpr std::size_t max_seeds = 64;
constexpr std::size_t bytes_per_megabyte = 1'000'000;

ip_endpoint read_endpoint(object_reader& reader, std::string_view key)
{
    const std::string text = reader.text(key, max_address_length, false);
    const auto endpoint = parse_endpoint(text);
    if (!endpoint && !text.empty())
    {
        reader.fault(key, "must be an IP number and a port, such as 10.1.0.41:8625");
    }
    return endpoint.value_or(ip_endpoint{});
}

seconds read_seconds(object_reader& reader, std::string_view key)
{
    constexpr double longest_s = 3600;
    return seconds{static_cast<std::int64_t>(std::ceil(reader.real(key, 0, longest_s)))};
}

} // namespace

result<edge_settings, document_faults> parse_edge_settings(std::string_view text)
{
    const auto document = parse_document(text, max_settings_bytes);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    document_faults faults;
    edge_settings settings;
    object_reader reader{value_of(document), "", faults};
    settings.m_node.m_value = reader.id("host");
    settings.m_data_centre.m_value = reader.id("data_centre");
    settings.m_region.m_value = reader.id("region");
    settings.m_caller_endpoint = read_endpoint(reader, "callers");
    settings.m_admin_endpoint = read_endpoint(reader, "readiness");
    settings.m_metrics_endpoint = read_endpoint(reader, "metrics");
    settings.m_directory_endpoint = read_endpoint(reader, "directory");
    settings.m_peer_endpoint = read_endpoint(reader, "peers");
    if (reader.has("tunnels"))
    {
        settings.m_tunnel_endpoint = read_endpoint(reader, "tunnels");
    }
    settings.m_store_endpoint = read_endpoint(reader, "store");
    reader.each_text("seeds", max_seeds,
                     [&](const std::string& item, const std::string& path)
                     {
                         if (const auto seed = parse_endpoint(item))
                         {
                             settings.m_seeds.push_back(*seed);
                         }
                         else
                         {
                             add_fault(faults, path, "must be an IP number and a port");
                         }
                     });
    settings.m_cpu_cores = reader.real("processor_share", 0.001, 1024);
    settings.m_max_open_files =
        static_cast<std::uint32_t>(reader.number("open_files", {64, 10'000'000}));
    if (reader.has("memory_mb"))
    {
        settings.m_memory_bytes =
            bytes_per_megabyte *
            static_cast<std::size_t>(reader.number("memory_mb", {1, 10'000'000}));
    }
    settings.m_retry_limits.m_ratio = reader.real("retry_ratio", 0, 100);
    settings.m_retry_limits.m_slack = reader.real("retry_slack", 0, 1e6);
    settings.m_retry_limits.m_window = read_seconds(reader, "retry_window_s");
    settings.m_cold_rate_factor = reader.real("cold_factor", 0, 1000);
    settings.m_cold_burst = reader.real("cold_extra", 0, 1e6);
    if (reader.has("rollout_exposure"))
    {
        settings.m_rollout_limits.m_exposure = reader.real("rollout_exposure", 0, 1);
        settings.m_rollout_limits.m_holds_new_versions = true;
    }
    settings.m_shutdown_timeout = read_seconds(reader, "stop_time_s");
    settings.m_max_address_ttl = read_seconds(reader, "address_life_s");
    reader.finish();
    if (!faults.empty())
    {
        return faults;
    }
    return settings;
}

} // namespace geraniumdoor::edge
