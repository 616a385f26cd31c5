#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumdoor::serving
{

/// What may be sent a second time.
enum class retry_safety : std::uint8_t
{
    /// May run any number of times.
    idempotent,
    /// Runs once at most.
    at_most_once,
    /// A stream of events that runs once at most.
    stream_at_most_once,
    /// A stream that another upstream may continue after the last event delivered.
    stream_resumable,
};

/// Preparation that a request needs before it runs, as one or more pieces of work.
struct route_stage
{
    pool_id m_pool;
    /// Positions of the stages whose results are the input.
    std::vector<std::uint32_t> m_predecessors;
    /// Approximate size of one result.
    std::uint64_t m_result_bytes = 0;
};

struct weighted_pool
{
    pool_id m_pool;
    double m_weight = 1;
};

struct route
{
    std::string m_name;
    std::string m_host;
    /// Begins and ends with a slash.
    std::string m_prefix;
    retry_safety m_retry_safety = retry_safety::at_most_once;
    /// Longest time that a request is kept waiting.
    milliseconds m_timeout{0};
    /// Response-time goal, to the first byte of the answer.
    milliseconds m_latency_target{0};
    /// Longest pause between two events of a stream that is still on time.
    milliseconds m_event_gap_target{0};
    /// Rank, 0 first.
    std::uint32_t m_priority = 0;
    /// Upstreams that one request may be sent to.
    std::uint32_t m_max_upstreams = 1;
    /// Needs no key.
    bool m_public = false;
    std::vector<weighted_pool> m_pools;
    std::vector<route_stage> m_stages;
};

/// Limits of an upstream that runs pieces in batches.
struct piece_limits
{
    std::uint32_t m_batch_size = 1;
    milliseconds m_base_call_time{0};
    /// Time for each piece of a call, in milliseconds.
    double m_ms_per_piece = 0;
    std::uint64_t m_result_memory_bytes = 0;
    /// Time for which a result is kept after the end of its call.
    milliseconds m_result_ttl{4000};
    /// Bytes that the link of an upstream carries in one millisecond; zero if not known.
    double m_link_bytes_per_ms = 0;
};

/// Limits of a model engine.
struct engine_limits
{
    std::uint32_t m_concurrency = 1;
    std::uint64_t m_memory_tokens = 0;
};

struct pool
{
    pool_id m_id;
    std::string m_health_path;
    /// Requests a second that a cold upstream bears; zero for no bound.
    double m_cold_rate_limit = 0;
    std::optional<piece_limits> m_pieces;
    std::optional<engine_limits> m_engine;
};

struct workspace
{
    workspace_id m_id;
    /// Rank, 0 first; goes before the rank of the route.
    std::uint32_t m_priority = 0;
};

/// Limits on what a caller may send.
struct caller_limits
{
    std::size_t m_header_bytes = std::size_t{16} * 1024;
    std::size_t m_body_bytes = std::size_t{4} * 1024 * 1024;
    milliseconds m_header_timeout{3000};
    milliseconds m_idle_timeout{15000};
};

/// What the operator wants, in one version.
struct routing_config
{
    config_version m_version;
    std::vector<route> m_routes;
    std::unordered_map<pool_id, pool> m_pools;
    /// Workspace of each key; keys are compared as a whole.
    std::unordered_map<std::string, workspace> m_api_keys;
    /// Requests on routes that are not public need a key.
    bool m_keys_required = false;
    caller_limits m_limits;
    /// Positions of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host;
};

/// Fills m_by_host.
void index_routes(routing_config& config);

/// Returns the route with the longest prefix that begins the path, or nullptr.
/// @param host value of the Host field; case and port do not matter
/// @param target path with an optional query
const route* find_route(const routing_config& config, std::string_view host,
                        std::string_view target);

/// Chooses a pool by weight. The same request id gives the same pool.
pool_id choose_pool(const route& chosen, const attempt_id& request);

/// Positions of the stages whose results no other stage takes, in order.
std::vector<std::uint32_t> final_stages(const route& chosen);

} // namespace geraniumdoor::serving
