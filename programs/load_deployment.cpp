#include "load_deployment.hpp"

#include "../standins/upstream_outputs.hpp"
#include "program_support.hpp"

#include <geraniumdoor/config/sheet.hpp>

#include <cmath>
#include <limits>
#include <stdexcept>

namespace geraniumdoor
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_file_bytes = std::size_t{4} * 1024 * 1024;

std::string read_file(const std::string& path)
{
    auto text = read_text_file(path, max_file_bytes);
    if (const auto* error = std::get_if<file_error>(&text))
    {
        throw std::runtime_error{error->m_message};
    }
    return std::get<std::string>(std::move(text));
}

double number_of_field(const json::object& object, const char* name, double fallback)
{
    const auto* value = object.if_contains(name);
    return value == nullptr ? fallback : value->to_number<double>();
}

/// Average time of a call on an upstream at its warm limit, with the stand-in's defaults.
double call_time_ms(const json::object& entry)
{
    const double low = number_of_field(entry, "service_low_ms", 5);
    const double high = number_of_field(entry, "service_high_ms", 15);
    const double tail = number_of_field(entry, "tail_probability", 0) *
                        (number_of_field(entry, "tail_factor", 10) - 1);
    double time = (low + high) / 2 * (1 + tail);
    if (entry.at("kind").as_string() == "engine")
    {
        time += (1 + number_of_field(entry, "tokens", 32)) *
                number_of_field(entry, "token_ms", 20);
    }
    return time * (1 + number_of_field(entry, "batch_slowdown", 0.3));
}

void add_entry(load_deployment& deployment, const json::object& entry)
{
    const bool group = entry.contains("count");
    const std::string name{entry.at(group ? "id_prefix" : "id").as_string()};
    const std::string pool = name.substr(0, name.rfind('-'));
    const auto count = group ? entry.at("count").as_int64() : 1;
    const auto port = entry.at(group ? "first_port" : "port").as_int64();
    for (std::int64_t number = 0; number < count; ++number)
    {
        std::string digits = std::to_string(number + 1);
        digits.insert(0, 2 - std::min<std::size_t>(2, digits.size()), '0');
        const auto address =
            boost::asio::ip::tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"),
                                           static_cast<std::uint16_t>(port + number)};
        deployment.m_pools[pool].push_back({group ? name + digits : name, address});
    }
    const double limit = number_of_field(entry, "warm_limit", 8);
    deployment.m_calls_per_s[pool] +=
        static_cast<double>(count) * limit * 1000 / call_time_ms(entry);
    if (entry.at("kind").as_string() == "engine")
    {
        deployment.m_tokens = number_of_field(entry, "tokens", 32);
    }
}

double total_wanted(const configuration& config)
{
    double total = 0;
    for (const auto& demand : config.m_demands)
    {
        total += demand.m_wanted_per_s;
    }
    return total;
}

void find_capacity(load_deployment& deployment)
{
    const configuration& config = deployment.m_config;
    const double total = total_wanted(config);
    std::map<std::string, double> calls;
    for (const auto& demand : config.m_demands)
    {
        for (const auto& stage : find_pipeline(config, demand.m_pipeline)->m_stages)
        {
            calls[stage.m_pool.m_value] += demand.m_wanted_per_s / total;
        }
    }
    deployment.m_capacity_per_s = std::numeric_limits<double>::infinity();
    for (const auto& [pool, share] : calls)
    {
        const double capacity = deployment.m_calls_per_s.at(pool) / share;
        if (capacity < deployment.m_capacity_per_s)
        {
            deployment.m_capacity_per_s = capacity;
            deployment.m_slowest_pool = pool;
        }
    }
}

const demand_config& draw_demand(const configuration& config, double total,
                                 random_source& random)
{
    double left = uniform_unit(random) * total;
    for (const auto& demand : config.m_demands)
    {
        left -= demand.m_wanted_per_s;
        if (left < 0)
        {
            return demand;
        }
    }
    return config.m_demands.back();
}

} // namespace

load_deployment read_deployment(const std::string& sheet_path,
                                const std::string& upstreams_path)
{
    load_deployment deployment;
    auto sheet = parse_sheet(read_file(sheet_path));
    if (!is_ok(sheet))
    {
        throw std::runtime_error{sheet_path + ": " + to_text(error_of(sheet))};
    }
    deployment.m_config = value_of(sheet).m_config;
    json::parse_options options;
    options.allow_comments = true;
    const json::value settings = json::parse(read_file(upstreams_path), {}, options);
    for (const auto& entry : settings.at("upstreams").as_array())
    {
        add_entry(deployment, entry.as_object());
    }
    find_capacity(deployment);
    return deployment;
}

std::vector<load_arrival> make_arrivals(const load_deployment& deployment,
                                        double rate_per_s, duration length,
                                        std::uint64_t seed, const std::string& run)
{
    random_source random{seed};
    const double total = total_wanted(deployment.m_config);
    std::vector<load_arrival> arrivals;
    double at_s = 0;
    while (true)
    {
        at_s -= std::log(1 - uniform_unit(random)) / rate_per_s;
        load_arrival arrival;
        arrival.m_at =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{at_s});
        if (arrival.m_at >= length)
        {
            return arrivals;
        }
        const auto& demand = draw_demand(deployment.m_config, total, random);
        arrival.m_pipeline = find_pipeline(deployment.m_config, demand.m_pipeline);
        arrival.m_workspace = demand.m_workspace.m_value;
        arrival.m_marker = run + "-" + std::to_string(arrivals.size());
        const auto& last = arrival.m_pipeline->m_stages.back();
        const auto* pool = find_pool(deployment.m_config, last.m_pool);
        const bool drawn = uniform_unit(random) < 0.5;
        arrival.m_streamed = drawn && pool->m_kind == stage_kind::generate;
        arrivals.push_back(std::move(arrival));
    }
}

std::vector<std::string> expected_tokens(const std::string& marker, double tokens)
{
    const json::value input = json::object{{"marker", marker}};
    const auto share = static_cast<double>(number_of(marker, 0)) / 1e5;
    const auto count = 1 + static_cast<std::size_t>(tokens * (0.5 + share));
    std::vector<std::string> expected;
    for (std::uint32_t index = 0; index < count; ++index)
    {
        expected.push_back(make_token(input, index));
    }
    return expected;
}

} // namespace geraniumdoor
