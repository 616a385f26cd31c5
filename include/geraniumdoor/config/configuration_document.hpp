#pragma once

#include <geraniumdoor/config/configuration.hpp>
#include <geraniumdoor/config/document_reader.hpp>

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Longest configuration document, in bytes. It travels in one node message, whose frame
/// takes 4 MiB at most.
constexpr std::size_t max_configuration_bytes = 3UL * 1024 * 1024;

constexpr std::size_t max_data_centres = 64;
constexpr std::size_t max_pools = 256;
constexpr std::size_t max_pipelines = 256;
constexpr std::size_t max_stages = 16;
constexpr std::size_t max_workspaces = 10'000;
constexpr std::size_t max_demands = 20'000;

/// Changes that a configuration remembers. At 2,500 changes a day these are the last
/// 73 minutes.
constexpr std::size_t max_history = 128;

constexpr std::uint32_t max_upstream_limit = 10'000;
constexpr std::uint32_t max_workers = 100'000;
constexpr std::uint32_t max_priority = 9;
constexpr std::uint32_t max_weight = 1000;
constexpr milliseconds max_call_time{600'000};
constexpr double max_wanted_per_s = 1'000'000;

/// Names of the enumerations in documents and sheets.
const char* to_text(stage_kind kind);
const char* to_text(data_centre_state state);

/// Returns the configuration as one line of JSON.
std::string encode_configuration(const configuration& config);

/// The same as an object, for answers that contain a configuration.
boost::json::object encode_configuration_object(const configuration& config);

/// Reads and checks a whole configuration. Reports all faults in one go.
result<configuration, document_faults> decode_configuration(std::string_view text);

/// Checks references, ranges and duplicate ids of a configuration that was built in
/// another way than by decode_configuration. Returns no fault when it is sound.
document_faults check_configuration(const configuration& config);

} // namespace geraniumdoor
