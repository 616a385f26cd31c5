#pragma once

#include <geraniumdoor/base/ids.hpp>
#include <geraniumdoor/config/urgent_state.hpp>

#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace geraniumdoor
{

/// Largest datagram, in bytes, so that it fits one Ethernet frame.
constexpr std::size_t max_datagram_bytes = 1200;

/// Most member updates in one datagram.
constexpr std::size_t max_piggybacked_updates = 10;

/// Writes a text of at most 255 bytes with one length byte, where cereal's own form
/// takes eight. Throws std::length_error when a longer text is saved.
struct short_text
{
    std::string& m_text;

    template<class Archive>
    void save(Archive& archive) const
    {
        constexpr std::size_t longest = 255;
        if (m_text.size() > longest)
        {
            throw std::length_error("text in a datagram is longer than 255 bytes");
        }
        archive(static_cast<std::uint8_t>(m_text.size()));
        archive(cereal::binary_data(m_text.data(), m_text.size()));
    }

    template<class Archive>
    void load(Archive& archive)
    {
        std::uint8_t size = 0;
        archive(size);
        m_text.resize(size);
        archive(cereal::binary_data(m_text.data(), m_text.size()));
    }
};

/// Numeric IP address and port of a node.
struct node_address
{
    std::string m_ip;
    std::uint16_t m_port = 0;

    auto operator<=>(const node_address&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(short_text{m_ip}, m_port);
    }
};

enum class member_state : std::uint8_t
{
    alive,
    /// Announced its stop and still serves.
    leaving,
    suspect,
    /// Does not answer; it may be cut off and still run.
    dead,
    /// Sent a leave message: the process has ended its work.
    left,
};

const char* to_text(member_state state);

/// What one node says or has heard of a member.
struct member_update
{
    node_id m_node;
    incarnation m_incarnation;
    /// Counts the statements of one incarnation about itself. A refutation raises it and
    /// leaves the incarnation alone, because a higher incarnation proves a restart.
    std::uint32_t m_revision = 0;
    member_state m_state = member_state::alive;
    /// Stays set while a leaving member is suspected.
    bool m_leaving = false;
    data_centre_id m_data_centre;
    region_id m_region;
    node_address m_peer;
    node_address m_caller;
    node_address m_admin;
    /// Requests that the node could take in addition; a hint.
    std::uint32_t m_free_capacity = 0;

    bool operator==(const member_update&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(short_text{m_node.m_value}, m_incarnation, m_revision, m_state, m_leaving,
                short_text{m_data_centre.m_value}, short_text{m_region.m_value}, m_peer,
                m_caller, m_admin, m_free_capacity);
    }
};

/// Part that all datagrams share.
struct gossip
{
    member_update m_sender;
    config_version m_config;
    std::vector<urgent_state> m_urgent;
    std::vector<member_update> m_updates;

    bool operator==(const gossip&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_sender, m_config, m_urgent, m_updates);
    }
};

/// Asks a node for an ack.
struct ping
{
    std::uint64_t m_sequence = 0;
    /// Node that is meant; empty when only its address is known. Another node that has
    /// taken over the address does not answer.
    node_id m_target;
    /// Asks for the part of the member list that follows m_after, in order of node id.
    bool m_wants_members = false;
    node_id m_after;
    /// Digest of the asker's member list: a receiver with the same list sends no pages.
    /// Zero for none.
    std::uint64_t m_list_digest = 0;
    gossip m_gossip;

    bool operator==(const ping&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_sequence, short_text{m_target.m_value}, m_wants_members,
                short_text{m_after.m_value}, m_list_digest, m_gossip);
    }
};

/// Asks a node to ping another one and to pass on its ack.
struct ping_req
{
    std::uint64_t m_sequence = 0;
    node_id m_target;
    node_address m_target_address;
    gossip m_gossip;

    bool operator==(const ping_req&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_sequence, short_text{m_target.m_value}, m_target_address, m_gossip);
    }
};

/// Answers a ping, or passes on the ack of a ping_req.
struct ack
{
    std::uint64_t m_sequence = 0;
    /// Node that answered the ping.
    node_id m_node;
    incarnation m_incarnation;
    /// Set when the updates are the requested part of the member list.
    bool m_is_member_page = false;
    /// Set when the part is the last one.
    bool m_last_page = false;
    gossip m_gossip;

    bool operator==(const ack&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_sequence, short_text{m_node.m_value}, m_incarnation, m_is_member_page,
                m_last_page, m_gossip);
    }
};

/// Work that a host has in progress at one upstream.
struct upstream_load
{
    /// First 32 bits of the stable hash of the upstream's id.
    std::uint32_t m_upstream = 0;
    std::uint16_t m_requests = 0;
    std::uint32_t m_tokens = 0;

    bool operator==(const upstream_load&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_requests, m_tokens);
    }
};

/// Wait at the queue of a pool that a host runs.
struct pool_wait
{
    /// First 32 bits of the stable hash of the pool's id.
    std::uint32_t m_pool = 0;
    /// For a job that can meet its response-time goal, and for one that cannot.
    std::uint32_t m_on_time_ms = 0;
    std::uint32_t m_late_ms = 0;

    bool operator==(const pool_wait&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_pool, m_on_time_ms, m_late_ms);
    }
};

/// Whether a host reads the platform's store for the other hosts.
enum class store_access : std::uint8_t
{
    /// It does not read the store.
    unused,
    /// It reads the store, and its last reads succeeded.
    reading,
    /// Its reads failed a short time ago.
    failing,
    /// The store has not answered its last read in the usual time.
    retrying,
};

const char* to_text(store_access access);

/// Most loads in one report; an upstream left out counts as idle there.
constexpr std::size_t max_reported_loads = 70;
constexpr std::size_t max_reported_waits = 16;
/// Most queues in one report; a queue left out may move when another host has a higher
/// weight for it.
constexpr std::size_t max_reported_queues = 16;

/// Most pools and upstreams in one report that its host does not reach.
constexpr std::size_t max_reported_unreached = 32;

/// State of a host, sent to all others a few times a second.
struct host_report
{
    node_id m_node;
    incarnation m_incarnation;
    /// Counts the reports of one incarnation.
    std::uint32_t m_sequence = 0;
    data_centre_id m_data_centre;
    node_address m_peer;
    node_address m_caller;
    bool m_ready = false;
    bool m_stopping = false;
    /// Changes of the operator's rows and of the registry that the host has applied since
    /// its start.
    std::uint64_t m_changes = 0;
    /// Time by the host's steady clock at which this report was sent.
    std::uint64_t m_sent_ms = 0;
    /// Age of the host's views of the operator table and of the registry when this report
    /// was sent, in milliseconds; UINT32_MAX for none.
    std::uint32_t m_operator_age_ms = UINT32_MAX;
    std::uint32_t m_registry_age_ms = UINT32_MAX;
    /// Live hosts that it knows, itself included.
    std::uint16_t m_live_hosts = 1;
    /// Processor time in thousandths of a core.
    std::uint32_t m_processor = 0;
    /// Time until the next report, in milliseconds. Others derive from it when the host
    /// counts as down.
    std::uint16_t m_interval_ms = 0;
    store_access m_store_access = store_access::unused;
    std::vector<upstream_load> m_loads;
    std::vector<pool_wait> m_waits;
    /// First 32 bits of the stable hash of each pool whose queue the host runs.
    std::vector<std::uint32_t> m_queues;
    region_id m_region;
    /// Port of the host's peer address at which it opens tunnels for others; zero for
    /// none.
    std::uint16_t m_tunnel_port = 0;
    /// The same of each pool of which the host reaches no upstream, and of single
    /// upstreams that it does not reach.
    std::vector<std::uint32_t> m_unreached;

    bool operator==(const host_report&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(short_text{m_node.m_value}, m_incarnation, m_sequence,
                short_text{m_data_centre.m_value}, m_peer, m_caller, m_ready, m_stopping,
                m_changes, m_sent_ms, m_operator_age_ms, m_registry_age_ms, m_live_hosts,
                m_processor, m_interval_ms, m_store_access, m_loads, m_waits, m_queues,
                short_text{m_region.m_value}, m_tunnel_port, m_unreached);
    }
};

/// What may be the cause of a crash.
enum class suspect_kind : std::uint8_t
{
    /// A part of a prompt that other prompts may share.
    prompt_part,
    /// A request with this caller, path and body.
    whole_request,
    /// The pieces of one stage of such a request.
    request_stage,
};

/// A request with a suspect was at an upstream that closed its connections.
struct crash_sighting
{
    suspect_kind m_kind = suspect_kind::prompt_part;
    /// Hashes of the suspect and of the upstream's process.
    std::uint64_t m_suspect = 0;
    std::uint64_t m_upstream = 0;
    std::uint32_t m_age_ms = 0;
    std::uint8_t m_weight = 0;

    bool operator==(const crash_sighting&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_kind, m_suspect, m_upstream, m_age_ms, m_weight);
    }
};

/// A request with the suspect was sound.
struct suspect_success
{
    std::uint64_t m_suspect = 0;
    std::uint32_t m_age_ms = 0;

    bool operator==(const suspect_success&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_suspect, m_age_ms);
    }
};

/// Requests with the suspect are not sent.
struct quarantine_notice
{
    suspect_kind m_kind = suspect_kind::prompt_part;
    std::uint64_t m_suspect = 0;
    std::uint32_t m_age_ms = 0;
    /// Negative after the end of the quarantine.
    std::int32_t m_left_ms = 0;
    std::uint8_t m_count = 1;

    bool operator==(const quarantine_notice&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_kind, m_suspect, m_age_ms, m_left_ms, m_count);
    }
};

/// Most entries of each kind in one report, so that it fits a datagram.
constexpr std::size_t max_reported_sightings = 24;
constexpr std::size_t max_reported_successes = 24;
constexpr std::size_t max_reported_quarantines = 16;

/// What a host knows of suspects that may crash upstreams. Sent to all others
/// with its host_report while there is something to tell.
struct crash_report
{
    std::vector<crash_sighting> m_sightings;
    std::vector<suspect_success> m_successes;
    std::vector<quarantine_notice> m_quarantines;

    bool operator==(const crash_report&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_sightings, m_successes, m_quarantines);
    }
};

/// What an upstream has said of the requests per second that it takes from all hosts
/// together.
struct limit_notice
{
    /// Hash of the upstream's process.
    std::uint64_t m_upstream = 0;
    /// False when it names no limit any more.
    bool m_is_limited = false;
    double m_per_s = 0;
    std::uint32_t m_age_ms = 0;

    bool operator==(const limit_notice&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_is_limited, m_per_s, m_age_ms);
    }
};

/// Most limits in one report, so that it fits a datagram. Hosts that are not told of one
/// learn it from the upstream.
constexpr std::size_t max_reported_limits = 40;

/// Most leaving upstreams in one report; the registry tells of them, too.
constexpr std::size_t max_reported_leaving = 40;

/// What a host has been told by upstreams in their responses. Sent to all others as soon
/// as there is something new, and with its host_report for some time.
struct upstream_report
{
    std::vector<limit_notice> m_limits;
    /// Hashes of the processes of upstreams that have said that they leave.
    std::vector<std::uint64_t> m_leaving;

    bool operator==(const upstream_report&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_limits, m_leaving);
    }
};

/// A connection to an upstream broke or could not be opened.
struct start_doubt
{
    /// Hash of the upstream's process.
    std::uint64_t m_upstream = 0;
    std::uint32_t m_age_ms = 0;

    bool operator==(const start_doubt&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_upstream, m_age_ms);
    }
};

/// Most doubts in one report, so that it fits a datagram.
constexpr std::size_t max_reported_doubts = 80;

/// Processes of upstreams that may have ended, sent to all other hosts at once: callers
/// return at any host.
struct doubt_report
{
    std::vector<start_doubt> m_doubts;

    bool operator==(const doubt_report&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_doubts);
    }
};

/// Asks the host that issues the permits of an upstream for one.
struct permit_request
{
    std::uint64_t m_number = 0;
    /// The limit as the asking host knows it.
    limit_notice m_limit;

    bool operator==(const permit_request&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_number, m_limit);
    }
};

/// Longest wait in a permit_reply, in milliseconds.
constexpr std::uint32_t max_permit_wait_ms = 60'000;

struct permit_reply
{
    /// Number of the request.
    std::uint64_t m_number = 0;
    bool m_granted = false;
    /// Time until the next permit, if none is granted.
    std::uint32_t m_wait_ms = 0;

    bool operator==(const permit_reply&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_number, m_granted, m_wait_ms);
    }
};

/// Longest name of a software version, in bytes.
constexpr std::size_t max_version_bytes = 64;

/// Software version that began a stream.
struct stream_origin
{
    /// Hash of the attempt that brought the first event.
    std::uint64_t m_stream = 0;
    std::string m_version;
    /// Time since the first event.
    std::uint32_t m_age_ms = 0;

    bool operator==(const stream_origin&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, short_text{m_version}, m_age_ms);
    }
};

/// Most origins in one report, so that it fits a datagram.
constexpr std::size_t max_reported_origins = 12;

/// Tells a host which software versions began streams, so that it can be asked for them
/// when the host that relays the streams is gone.
struct origin_report
{
    std::vector<stream_origin> m_streams;

    bool operator==(const origin_report&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_streams);
    }
};

/// Asks a host which software version began a stream.
struct origin_request
{
    std::uint64_t m_number = 0;
    std::uint64_t m_stream = 0;
    std::string m_pool;

    bool operator==(const origin_request&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_number, m_stream, short_text{m_pool});
    }
};

enum class origin_finding : std::uint8_t
{
    unknown,
    /// The host has a record of the stream.
    recorded,
    /// The host has seen no other version of the pool while the stream can have begun.
    only_version,
    /// The host has no record, and has seen several versions of the pool.
    several_versions,
};

struct origin_reply
{
    /// Number of the request.
    std::uint64_t m_number = 0;
    origin_finding m_finding = origin_finding::unknown;
    std::string m_version;
    /// Age of the registry as the host knows it, in milliseconds; UINT32_MAX for none.
    std::uint32_t m_view_age_ms = UINT32_MAX;

    bool operator==(const origin_reply&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_number, m_finding, short_text{m_version}, m_view_age_ms);
    }
};

/// Answers of one route from a group of upstreams during a roll-out.
struct reported_count
{
    std::uint32_t m_route = 0;
    std::uint8_t m_group = 0;
    std::uint32_t m_answers = 0;
    std::uint32_t m_faults = 0;
    std::uint32_t m_slow = 0;

    bool operator==(const reported_count&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(m_route, m_group, m_answers, m_faults, m_slow);
    }
};

/// Most counts and versions in one report, so that it fits a datagram.
constexpr std::size_t max_reported_counts = 40;
constexpr std::size_t max_reported_unproven = 2;

/// Last phase of a roll-out, as a number.
constexpr std::uint8_t max_rollout_phase = 6;

/// What a host knows of an order to move a pool to another software version. The counts
/// only grow, and a report replaces the earlier ones of its process.
struct rollout_report
{
    node_id m_node;
    incarnation m_incarnation;
    std::uint32_t m_sequence = 0;
    std::string m_pool;
    std::string m_version;
    /// Version of the store's row of the order.
    std::uint64_t m_order = 0;
    std::uint8_t m_phase = 0;
    /// Time since the order.
    std::uint32_t m_age_ms = 0;
    bool m_had_others = false;
    /// Requests that the host has in progress at upstreams of other versions.
    std::uint32_t m_in_progress_elsewhere = 0;
    std::vector<reported_count> m_counts;
    /// Versions that earlier orders did not prove.
    std::vector<std::string> m_unproven;

    bool operator==(const rollout_report&) const = default;

    template<class Archive>
    void serialize(Archive& archive)
    {
        archive(short_text{m_node.m_value}, m_incarnation, m_sequence, short_text{m_pool},
                short_text{m_version}, m_order, m_phase, m_age_ms, m_had_others,
                m_in_progress_elsewhere, m_counts, m_unproven);
    }
};

using datagram =
    std::variant<ping, ping_req, ack, host_report, crash_report, upstream_report,
                 permit_request, permit_reply, origin_report, origin_request,
                 origin_reply, doubt_report, rollout_report>;

} // namespace geraniumdoor
