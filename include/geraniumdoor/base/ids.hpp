#pragma once

#include <geraniumdoor/base/strong_id.hpp>

namespace geraniumdoor
{

using node_id = string_id<struct node_tag>;
using upstream_id = string_id<struct upstream_tag>;
using pool_id = string_id<struct pool_tag>;
using pipeline_id = string_id<struct pipeline_tag>;
using workspace_id = string_id<struct workspace_tag>;
using data_centre_id = string_id<struct data_centre_tag>;
using region_id = string_id<struct region_tag>;
using change_id = string_id<struct change_tag>;
using lease_id = string_id<struct lease_tag>;
using attempt_id = string_id<struct attempt_tag>;
using model_id = string_id<struct model_tag>;

/// Tells a restarted process from its predecessor under the same id. Grows with each
/// start.
using incarnation = strong_number<struct incarnation_tag>;

/// Version of the software of an upstream, as its registry entry names it.
using software_version = string_id<struct software_version_tag>;

/// Hash of the attempt that brought a caller the first event of a stream.
using stream_key = strong_number<struct stream_key_tag>;

/// Hash that tells a process of an upstream from its predecessors under the same id.
using upstream_run = strong_number<struct upstream_run_tag>;

/// Version of the configuration. Zero means that no configuration is held.
using config_version = strong_number<struct config_version_tag>;

/// Number of changes of ownership of an upstream; also the fencing number of its orders.
using ownership_epoch = strong_number<struct ownership_epoch_tag>;

/// Position of a stage in its pipeline, from zero.
using stage_index = strong_number<struct stage_index_tag, std::uint32_t>;

/// Attempt at one stage of one request, from one.
using attempt_number = strong_number<struct attempt_number_tag, std::uint32_t>;

/// Identifies a request for the life of the system: the coordinator's node and
/// incarnation and a counter of that process.
struct request_id
{
    node_id m_node;
    incarnation m_incarnation;
    std::uint64_t m_counter = 0;

    auto operator<=>(const request_id&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_node, m_incarnation, m_counter);
    }
};

/// Returns "node.incarnation.counter", as logs and answers print it.
std::string to_string(const request_id& id);

} // namespace geraniumdoor

template<>
struct std::hash<geraniumdoor::request_id>
{
    std::size_t operator()(const geraniumdoor::request_id& id) const noexcept
    {
        const auto node = std::hash<std::string>{}(id.m_node.m_value);
        return node ^ (id.m_incarnation.m_value * 0x9e3779b97f4a7c15ULL) ^
               (id.m_counter * 0xff51afd7ed558ccdULL);
    }
};
