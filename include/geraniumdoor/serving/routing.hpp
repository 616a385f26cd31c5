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

/// Whether a request may be sent again after an attempt that may have run it.
enum class retry_safety : std::uint8_t
{
    /// May run any number of times.
    idempotent,
    /// Must not run more than once.
    at_most_once,
    /// A stream of events that must not run more than once.
    stream_at_most_once,
    /// A stream of events that another upstream can resume after the last event
    /// delivered.
    stream_resumable,
};

/// Preparatory work that a request needs before it runs, divided into pieces.
struct route_stage
{
    pool_id m_pool;
    /// Indices of the stages whose results this stage takes as its input.
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
    /// Maximum time that a request may take.
    milliseconds m_timeout{0};
    /// Target for the time to the first byte of the response.
    milliseconds m_latency_target{0};
    /// Maximum gap between two events of a stream that counts as on time.
    milliseconds m_event_gap_target{0};
    /// 0 is the highest priority.
    std::uint32_t m_priority = 0;
    /// Maximum number of upstreams that one request may be sent to.
    std::uint32_t m_max_upstreams = 1;
    /// Requests need no API key.
    bool m_public = false;
    std::vector<weighted_pool> m_pools;
    std::vector<route_stage> m_stages;
};

/// Limits and call times of an upstream that runs pieces in batches.
struct piece_limits
{
    /// Maximum number of pieces of one call.
    std::uint32_t m_batch_size = 1;
    /// Time of a call in addition to the time for its pieces.
    milliseconds m_base_call_time{0};
    double m_ms_per_piece = 0;
    /// Memory of an upstream for results; zero for no limit.
    std::uint64_t m_result_memory_bytes = 0;
    /// Time for which an upstream keeps a result after the end of its call.
    milliseconds m_result_ttl{4000};
    /// Bandwidth of the link of an upstream; zero if not known.
    double m_link_bytes_per_ms = 0;
};

/// Limits of a model engine.
struct engine_limits
{
    std::uint32_t m_concurrency = 1;
    /// Tokens of all requests in progress that fit in the memory; zero for no limit.
    std::uint64_t m_memory_tokens = 0;
};

struct pool
{
    pool_id m_id;
    std::string m_health_path;
    /// Maximum requests per second to a cold upstream; zero for no limit.
    double m_cold_rate_limit = 0;
    std::optional<piece_limits> m_pieces;
    std::optional<engine_limits> m_engine;
};

struct workspace
{
    workspace_id m_id;
    /// 0 is the highest priority. A level counts as much as two levels of the priority of
    /// the route.
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

/// One version of the configuration that the operator provides.
struct routing_config
{
    config_version m_version;
    std::vector<route> m_routes;
    std::unordered_map<pool_id, pool> m_pools;
    /// Workspace of each API key. Keys must match exactly.
    std::unordered_map<std::string, workspace> m_api_keys;
    /// Requests on routes that are not public need an API key.
    bool m_keys_required = false;
    caller_limits m_limits;
    /// Indices of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host;
};

/// Fills m_routes_by_host.
void index_routes(routing_config& config);

/// Returns the route with the longest prefix that matches the path, or nullptr.
/// @param host value of the Host header; case and port are ignored
/// @param target path with an optional query
const route* find_route(const routing_config& config, std::string_view host,
                        std::string_view target);

/// Chooses a pool by weight from a hash of the request id. The same id always gives the
/// same pool.
pool_id choose_pool(const route& request_route, const attempt_id& request);

/// Returns the indices of the stages whose results no other stage takes, in order.
std::vector<std::uint32_t> final_stages(const route& request_route);

} // namespace geraniumdoor::serving
