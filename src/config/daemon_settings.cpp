#include <geraniumdoor/config/daemon_settings.hpp>

#include <charconv>
#include <optional>

namespace geraniumdoor
{

namespace
{

constexpr number_range ms_range{1, 600'000};
constexpr number_range keep_s_range{1, 365UL * 24 * 3600};
constexpr std::size_t max_seeds = 64;
constexpr std::size_t max_path_length = 1024;
constexpr std::size_t bytes_per_megabyte = 1'000'000;
constexpr const char* endpoint_message =
    "must be an IP number and a port from 1 to 65535, such as \"127.0.0.1:21101\"";

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    const bool accepted = error == std::errc{} && stop == end && port != 0;
    return accepted ? std::optional{port} : std::nullopt;
}

ip_endpoint read_endpoint(object_reader& reader, std::string_view key)
{
    const bool given = reader.has(key);
    const std::string text = reader.text(key, max_path_length, true);
    const auto endpoint = parse_endpoint(text);
    if (given && !endpoint)
    {
        reader.fault(key, endpoint_message);
    }
    return endpoint.value_or(ip_endpoint{});
}

seconds read_seconds(object_reader& reader, std::string_view key, seconds fallback,
                     number_range range)
{
    const auto count = static_cast<std::uint64_t>(fallback.count());
    return seconds{reader.number_or(key, count, range)};
}

std::uint32_t read_count(object_reader& reader, std::string_view key,
                         std::uint32_t fallback, number_range range)
{
    return static_cast<std::uint32_t>(reader.number_or(key, fallback, range));
}

void read_seeds(object_reader& reader, daemon_settings& settings, document_faults& faults)
{
    reader.each_text("seeds", max_seeds,
                     [&](const std::string& item, const std::string& path)
                     {
                         if (const auto endpoint = parse_endpoint(item))
                         {
                             settings.m_seeds.push_back(*endpoint);
                         }
                         else
                         {
                             add_fault(faults, path, endpoint_message);
                         }
                     });
}

void read_lease(object_reader& parent, lease_settings& lease)
{
    if (auto reader = parent.object("lease", false))
    {
        lease.m_renewal = reader->ms_or("renewal_ms", lease.m_renewal, ms_range);
        lease.m_renewal_per_node =
            reader->ms_or("renewal_per_node_ms", lease.m_renewal_per_node, {0, 10'000});
        lease.m_time_to_live_periods = read_count(*reader, "time_to_live_periods",
                                                  lease.m_time_to_live_periods, {2, 100});
        lease.m_revoke_margin =
            reader->ms_or("revoke_margin_ms", lease.m_revoke_margin, ms_range);
        reader->finish();
    }
}

void read_membership(object_reader& parent, membership_times& membership)
{
    if (auto reader = parent.object("membership", false))
    {
        membership.m_probe_period =
            reader->ms_or("probe_period_ms", membership.m_probe_period, ms_range);
        membership.m_indirect_probe_after = reader->ms_or(
            "indirect_probe_after_ms", membership.m_indirect_probe_after, ms_range);
        membership.m_suspicion_timeout = reader->ms_or(
            "suspicion_timeout_ms", membership.m_suspicion_timeout, ms_range);
        membership.m_unreachable_keep = read_seconds(
            *reader, "unreachable_keep_s", membership.m_unreachable_keep, keep_s_range);
        if (membership.m_indirect_probe_after >= membership.m_probe_period)
        {
            reader->fault("indirect_probe_after_ms", "must be less than probe_period_ms");
        }
        reader->finish();
    }
}

void read_http(object_reader& parent, http_settings& http)
{
    if (auto reader = parent.object("http", false))
    {
        http.m_header_bytes =
            reader->number_or("header_bytes", http.m_header_bytes, {1024, 1 << 20});
        http.m_body_bytes =
            reader->number_or("body_bytes", http.m_body_bytes, {1024, 1 << 26});
        http.m_connections =
            reader->number_or("connections", http.m_connections, {1, 100'000});
        http.m_receive_timeout =
            reader->ms_or("receive_timeout_ms", http.m_receive_timeout, ms_range);
        http.m_idle_timeout =
            reader->ms_or("idle_timeout_ms", http.m_idle_timeout, ms_range);
        reader->finish();
    }
}

void read_requests(object_reader& parent, request_settings& requests)
{
    if (auto reader = parent.object("requests", false))
    {
        requests.m_in_progress =
            read_count(*reader, "in_progress", requests.m_in_progress, {1, 1'000'000});
        requests.m_queue_per_pool = read_count(*reader, "queue_per_pool",
                                               requests.m_queue_per_pool, {1, 1'000'000});
        requests.m_longest_deadline =
            reader->ms_or("longest_deadline_ms", requests.m_longest_deadline, ms_range);
        requests.m_table_timeout =
            reader->ms_or("table_timeout_ms", requests.m_table_timeout, ms_range);
        requests.m_supplied_key_keep = read_seconds(
            *reader, "supplied_key_keep_s", requests.m_supplied_key_keep, keep_s_range);
        requests.m_derived_key_keep = read_seconds(
            *reader, "derived_key_keep_s", requests.m_derived_key_keep, keep_s_range);
        reader->finish();
    }
}

void read_addresses(object_reader& reader, daemon_settings& settings)
{
    settings.m_caller_address = read_endpoint(reader, "caller_address");
    settings.m_admin_address = read_endpoint(reader, "admin_address");
    settings.m_peer_address = read_endpoint(reader, "peer_address");
    settings.m_table_service = read_endpoint(reader, "table_service");
    settings.m_host_list = read_endpoint(reader, "host_list");
}

void check_addresses(object_reader& reader, const daemon_settings& settings)
{
    const bool known = settings.m_caller_address.m_port != 0;
    if (known && settings.m_admin_address == settings.m_caller_address)
    {
        reader.fault("admin_address", "must differ from caller_address");
    }
    if (known && settings.m_peer_address == settings.m_caller_address)
    {
        reader.fault("peer_address", "must differ from caller_address");
    }
    if (settings.m_admin_address.m_port != 0 &&
        settings.m_peer_address == settings.m_admin_address)
    {
        reader.fault("peer_address", "must differ from admin_address");
    }
}

void read_times(object_reader& reader, daemon_settings& settings)
{
    settings.m_address_keep =
        read_seconds(reader, "address_keep_s", settings.m_address_keep, {1, 3600});
    settings.m_table_poll =
        reader.ms_or("table_poll_ms", settings.m_table_poll, {100, 600'000});
    settings.m_host_list_poll =
        reader.ms_or("host_list_poll_ms", settings.m_host_list_poll, {100, 600'000});
}

void read_machine(object_reader& reader, daemon_settings& settings)
{
    settings.m_memory_bytes =
        bytes_per_megabyte *
        reader.number_or("memory_mb", settings.m_memory_bytes / bytes_per_megabyte,
                         {16, 10'000'000});
    settings.m_max_open_files =
        read_count(reader, "open_files", settings.m_max_open_files, {0, 10'000'000});
}

} // namespace

std::optional<ip_endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const bool bracketed =
        address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
    {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(std::string{address}, error);
    const auto port = parse_port(text.substr(colon + 1));
    if (error || !port || parsed.is_v6() != bracketed)
    {
        return std::nullopt;
    }
    return ip_endpoint{parsed, *port};
}

std::string to_text(const ip_endpoint& endpoint)
{
    const std::string address = endpoint.m_address.to_string();
    const std::string host = endpoint.m_address.is_v6() ? '[' + address + ']' : address;
    return host + ':' + std::to_string(endpoint.m_port);
}

result<daemon_settings, document_faults> parse_daemon_settings(std::string_view text)
{
    const auto document = parse_document(text, max_settings_bytes);
    if (!is_ok(document))
    {
        return error_of(document);
    }
    document_faults faults;
    daemon_settings settings;
    object_reader reader{value_of(document), "", faults};
    settings.m_node.m_value = reader.id("node");
    settings.m_data_centre.m_value = reader.id("data_centre");
    settings.m_region.m_value = reader.id("region");
    read_addresses(reader, settings);
    check_addresses(reader, settings);
    read_seeds(reader, settings, faults);
    read_times(reader, settings);
    read_lease(reader, settings.m_lease);
    read_membership(reader, settings.m_membership);
    read_machine(reader, settings);
    read_http(reader, settings.m_http);
    read_requests(reader, settings.m_requests);
    settings.m_log_directory = reader.text_or("log_directory", "", max_path_length);
    settings.m_log_to_stderr = reader.flag_or("log_to_stderr", settings.m_log_to_stderr);
    reader.finish();
    if (!faults.empty())
    {
        return faults;
    }
    return settings;
}

} // namespace geraniumdoor
