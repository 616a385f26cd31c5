#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/config/configuration.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// One upstream of the stand-ins' settings.
struct load_upstream
{
    std::string m_id;
    boost::asio::ip::tcp::endpoint m_address;
};

/// What the load tool knows of a deployment: its sheet and its upstreams.
struct load_deployment
{
    configuration m_config;
    std::map<std::string, std::vector<load_upstream>> m_pools;
    /// Calls a second of each pool when every upstream is at its warm limit.
    std::map<std::string, double> m_calls_per_s;
    /// Setting "tokens" of the engines, from which the length of an answer follows.
    double m_tokens = 0;
    /// Requests a second, in the proportions of the demands, that keep the slowest pool
    /// busy.
    double m_capacity_per_s = 0;
    std::string m_slowest_pool;
};

/// Reads a sheet and the settings of the upstream stand-ins. Throws std::runtime_error.
load_deployment read_deployment(const std::string& sheet_path,
                                const std::string& upstreams_path);

/// One request of the arrival sequence.
struct load_arrival
{
    /// Time since the start of the load.
    duration m_at{};
    const pipeline_config* m_pipeline = nullptr;
    std::string m_workspace;
    /// Follows the request through its stages. Unique in all runs.
    std::string m_marker;
    /// Whether the caller asks for a stream.
    bool m_streamed = false;
};

/// Poisson arrivals over the demands of the sheet. The deployment outlives the result.
std::vector<load_arrival> make_arrivals(const load_deployment& deployment,
                                        double rate_per_s, duration length,
                                        std::uint64_t seed, const std::string& run);

/// Text that a generate stage returns for a marker, by token.
std::vector<std::string> expected_tokens(const std::string& marker, double tokens);

} // namespace geraniumdoor
