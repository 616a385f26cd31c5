#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/cluster/datagrams.hpp>
#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/table_view.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumdoor::serving
{

/// Returns the key of the stream whose first event this attempt of a caller has brought.
stream_key key_of_stream(const attempt_id& first_attempt);

/// Least time after its first event for which the origin of a stream is kept.
inline constexpr seconds min_stream_lifetime{30};

/// Time beyond the timeout of a route in which a caller may still take up a stream.
inline constexpr seconds take_up_margin{10};

/// Most streams whose origin a host keeps. The oldest are forgotten first.
inline constexpr std::size_t max_stream_origins = 4096;

/// Number of hosts that keep the origin of a stream besides the one that relays it.
inline constexpr std::size_t origin_holders = 3;

/// Software version that began a stream.
struct known_origin
{
    software_version m_version;
    time_point m_began_at{};
    /// This host relayed the first event.
    bool m_began_here = false;
    pool_id m_pool;
    /// The store holds it.
    bool m_is_saved = false;
    /// This host knows it from the store.
    bool m_was_stored = false;
};

/// When this host last saw each version of a pool in the registry.
struct version_history
{
    time_point m_observed_since{};
    std::unordered_map<software_version, time_point> m_last_seen;
};

/// What a host knows of the software versions that have begun streams.
struct stream_origins
{
    std::unordered_map<stream_key, known_origin> m_streams;
    std::unordered_map<pool_id, version_history> m_pools;
    /// Longest time after its first event in which a caller may take up a stream.
    duration m_lifetime = min_stream_lifetime;
    /// When this host learned from the store what other hosts had seen; empty if it has
    /// not.
    std::optional<time_point> m_completed_at;
};

/// Whether this host knows from the store what others saw before its view began.
bool is_complete(const stream_origins& origins, const table_view& registry);

/// Extends the lifetime of streams to the longest timeout of the routes. Streams that
/// began under an earlier configuration keep theirs.
void extend_lifetime(stream_origins& origins, const routing_config& config);

/// Records the versions that upstreams have at the moment. Forgets versions that were not
/// seen for a stream's lifetime, and streams that began longer ago.
/// @return pools in which a second version has appeared
std::vector<pool_id> observe_versions(stream_origins& origins,
                                      const upstream_table& upstreams, time_point now);

/// Whether more than one version can have begun streams that may still be taken up.
bool has_several_versions(const stream_origins& origins, const pool_id& pool);

/// Returns the version that began every stream of the pool that may still be taken up, if
/// the host's view of the registry is current, and it has observed the pool without a gap
/// for long enough, or knows from the store what was before.
std::optional<software_version> only_version(const stream_origins& origins,
                                             const table_view& registry,
                                             const pool_id& pool, time_point now);

/// Records which version began a stream, unless that is known.
void record_origin(stream_origins& origins, stream_key stream,
                   const known_origin& origin);

/// Returns the hosts that keep the origin of a stream, in order of preference: live hosts
/// with the highest weights, from as many data centres as there are, and those that read
/// the store.
///
/// Load pattern: a host is killed, or its data centre loses power, and the callers of its
/// streams return at other hosts within milliseconds. After a loss of all hosts, those
/// that read the store know what began before.
std::vector<node_address> origin_hosts(const host_table& table, stream_key stream,
                                       time_point now);

/// Returns what this host tells another one that is asked to take up a stream.
origin_reply answer_origin_request(const stream_origins& origins,
                                   const table_view& registry,
                                   const origin_request& request, time_point now);

/// What other hosts have said of a stream.
struct origin_answers
{
    /// Number of hosts that were asked, and when.
    std::size_t m_asked = 0;
    time_point m_asked_at{};
    std::vector<origin_reply> m_replies;
};

/// How the version that began a stream is known.
enum class origin_source : std::uint8_t
{
    /// This host relayed or was told of its first event.
    own_record,
    /// The store had a record.
    stored_record,
    /// Another host has a record.
    other_host,
    /// No other version can have begun it.
    only_version,
    /// Several versions can have begun it, or nobody can tell which ones were there.
    unknown,
};

const char* to_text(origin_source source);

struct origin_decision
{
    /// Empty if it is not known.
    std::optional<software_version> m_version;
    origin_source m_source = origin_source::unknown;
    /// No host can tell, and none will be able to later.
    bool m_is_final = false;
    /// Number of hosts that have replied.
    std::size_t m_replies = 0;
};

/// Time after a host has begun to observe a pool by which those that read the store have
/// read what it holds of earlier streams.
inline constexpr seconds stored_origins_read_time{2};

/// Decides which version began a stream that a caller takes up.
///
/// Load pattern: upstreams of two software versions serve during a release, what they
/// write does not fit together, and hosts are killed, cut off or stand still meanwhile. A
/// stream whose version nobody can tell is refused. That no other version can have begun
/// it is concluded from a current view of the registry alone: one of another host, or
/// this host's own if another one has replied, or none is known.
origin_decision decide_origin(const stream_origins& origins, const table_view& registry,
                              stream_key stream, const pool_id& pool,
                              const origin_answers& answers, time_point now);

/// Whether an upstream of the version accepts work. Without a version, whether any does.
bool has_upstream_of(const upstream_table& table, const pool_id& pool,
                     const std::optional<software_version>& version);

} // namespace geraniumdoor::serving
