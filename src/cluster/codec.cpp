#include "bounded_archive.hpp"

#include <geraniumdoor/base/packed_text.hpp>
#include <geraniumdoor/cluster/codec.hpp>

#include <algorithm>
#include <cmath>
#include <exception>
#include <ostream>
#include <streambuf>
#include <tuple>
#include <utility>

namespace geraniumdoor
{

namespace
{

constexpr std::size_t version_and_type_bytes = 2;

/// Appends what is written to a string, without the copies of a std::ostringstream.
class appending_buffer : public std::streambuf
{
public:
    explicit appending_buffer(std::string& target) : m_target{target} {}

protected:
    std::streamsize xsputn(const char* data, std::streamsize size) override
    {
        m_target.append(data, static_cast<std::size_t>(size));
        return size;
    }

    int_type overflow(int_type c) override
    {
        m_target.push_back(traits_type::to_char_type(c));
        return c;
    }

private:
    std::string& m_target;
};

codec_error error_with(codec_fault fault, std::string detail)
{
    return codec_error{fault, std::move(detail)};
}

/// Appends version, type and body.
template<class Variant>
void append_body(std::string& bytes, const Variant& message)
{
    bytes.push_back(static_cast<char>(codec_version));
    bytes.push_back(static_cast<char>(message.index()));
    appending_buffer buffer{bytes};
    std::ostream stream{&buffer};
    using archive_type = cereal::PortableBinaryOutputArchive;
    archive_type archive{stream, archive_type::Options::LittleEndian()};
    std::visit(
        [&](const auto& body)
        {
            archive(body);
        },
        message);
}

template<class T>
bool in_range(const T&)
{
    return true;
}

bool in_range(const stage_result& message)
{
    return message.m_outcome <= call_outcome::failed &&
           message.m_reason <= call_reason::node_leaving;
}

bool in_range(const attempt_status& message)
{
    return message.m_state <= attempt_state::fenced;
}

bool in_range(const member_update& update)
{
    return update.m_state <= member_state::left;
}

bool in_range(const gossip& shared)
{
    for (const urgent_state& state : shared.m_urgent)
    {
        if (state.m_state > data_centre_state::out)
        {
            return false;
        }
    }
    for (const member_update& update : shared.m_updates)
    {
        if (!in_range(update))
        {
            return false;
        }
    }
    return in_range(shared.m_sender) &&
           shared.m_updates.size() <= max_piggybacked_updates;
}

bool in_range(const ping& message)
{
    return in_range(message.m_gossip);
}

bool in_range(const ping_req& message)
{
    return in_range(message.m_gossip);
}

bool in_range(const ack& message)
{
    return in_range(message.m_gossip);
}

bool in_range(const host_report& message)
{
    return message.m_loads.size() <= max_reported_loads &&
           message.m_waits.size() <= max_reported_waits &&
           message.m_queues.size() <= max_reported_queues &&
           message.m_unreached.size() <= max_reported_unreached &&
           message.m_store_access <= store_access::retrying;
}

bool in_range(suspect_kind kind)
{
    return kind <= suspect_kind::request_stage;
}

bool in_range(const crash_report& message)
{
    return message.m_sightings.size() <= max_reported_sightings &&
           message.m_successes.size() <= max_reported_successes &&
           message.m_quarantines.size() <= max_reported_quarantines &&
           std::all_of(message.m_sightings.begin(), message.m_sightings.end(),
                       [](const crash_sighting& sighting)
                       {
                           return in_range(sighting.m_kind);
                       }) &&
           std::all_of(message.m_quarantines.begin(), message.m_quarantines.end(),
                       [](const quarantine_notice& notice)
                       {
                           return in_range(notice.m_kind);
                       });
}

bool in_range(const limit_notice& notice)
{
    return std::isfinite(notice.m_per_s) && notice.m_per_s >= 0;
}

bool in_range(const upstream_report& message)
{
    return message.m_limits.size() <= max_reported_limits &&
           message.m_leaving.size() <= max_reported_leaving &&
           std::all_of(message.m_limits.begin(), message.m_limits.end(),
                       [](const limit_notice& notice)
                       {
                           return in_range(notice);
                       });
}

bool in_range(const permit_request& message)
{
    return in_range(message.m_limit);
}

bool in_range(const permit_reply& message)
{
    return message.m_wait_ms <= max_permit_wait_ms;
}

bool in_range(const doubt_report& message)
{
    return message.m_doubts.size() <= max_reported_doubts;
}

bool in_range(const origin_report& message)
{
    return message.m_streams.size() <= max_reported_origins &&
           std::all_of(message.m_streams.begin(), message.m_streams.end(),
                       [](const stream_origin& origin)
                       {
                           return origin.m_version.size() <= max_version_bytes;
                       });
}

bool in_range(const origin_reply& message)
{
    return message.m_finding <= origin_finding::several_versions &&
           message.m_version.size() <= max_version_bytes;
}

bool in_range(const rollout_report& message)
{
    return message.m_phase <= max_rollout_phase &&
           message.m_version.size() <= max_version_bytes &&
           message.m_counts.size() <= max_reported_counts &&
           message.m_unproven.size() <= max_reported_unproven;
}

bool in_range(const pieces_result& message)
{
    return message.m_outcome <= pieces_outcome::failed;
}

/// Decodes the body as alternative Index of the variant.
template<class Variant, std::size_t Index>
result<Variant, codec_error> decode_alternative(std::string_view bytes)
{
    bounded_input_archive archive{bytes};
    Variant message{std::in_place_index<Index>};
    archive(std::get<Index>(message));
    if (!archive.at_end())
    {
        return error_with(codec_fault::trailing_bytes, "bytes follow the message");
    }
    if (!in_range(std::get<Index>(message)))
    {
        return error_with(codec_fault::malformed, "enumeration or list out of range");
    }
    return message;
}

template<class Variant, std::size_t... Index>
result<Variant, codec_error> decode_type(std::size_t type, std::string_view bytes,
                                         std::index_sequence<Index...>)
{
    using decoder = result<Variant, codec_error> (*)(std::string_view);
    constexpr std::array<decoder, sizeof...(Index)> decoders{
        &decode_alternative<Variant, Index>...};
    return decoders[type](bytes);
}

template<class Variant>
result<Variant, codec_error> decode_body(std::string_view bytes)
{
    if (bytes.size() < version_and_type_bytes)
    {
        return error_with(codec_fault::truncated, "no version and type");
    }
    const auto version = static_cast<std::uint8_t>(bytes[0]);
    const auto type = static_cast<std::uint8_t>(bytes[1]);
    if (version != codec_version)
    {
        return error_with(codec_fault::unknown_version,
                          "version " + std::to_string(version));
    }
    constexpr std::size_t types = std::variant_size_v<Variant>;
    if (type >= types)
    {
        return error_with(codec_fault::unknown_type, "type " + std::to_string(type));
    }
    try
    {
        bytes.remove_prefix(version_and_type_bytes);
        return decode_type<Variant>(type, bytes, std::make_index_sequence<types>{});
    }
    catch (const cereal::Exception& failure)
    {
        return error_with(codec_fault::malformed, failure.what());
    }
}

} // namespace

const char* to_text(codec_fault fault)
{
    switch (fault)
    {
    case codec_fault::too_large:
        return "too_large";
    case codec_fault::truncated:
        return "truncated";
    case codec_fault::unknown_version:
        return "unknown_version";
    case codec_fault::unknown_type:
        return "unknown_type";
    case codec_fault::malformed:
        return "malformed";
    case codec_fault::trailing_bytes:
        return "trailing_bytes";
    }
    return "unknown";
}

result<std::string, codec_error> encode_frame(const node_message& message)
{
    std::string bytes(frame_header_bytes, '\0');
    append_body(bytes, message);
    const std::size_t size = bytes.size() - frame_header_bytes;
    if (size > max_frame_body_bytes)
    {
        return error_with(codec_fault::too_large,
                          "frame of " + std::to_string(size) + " bytes");
    }
    constexpr unsigned bits_per_byte = 8;
    for (std::size_t at = 0; at < frame_header_bytes; ++at)
    {
        const std::size_t shift = bits_per_byte * (frame_header_bytes - 1 - at);
        bytes[at] = static_cast<char>((size >> shift) & 0xffU);
    }
    return bytes;
}

result<std::size_t, codec_error>
decode_frame_header(const std::array<unsigned char, frame_header_bytes>& header)
{
    constexpr unsigned bits_per_byte = 8;
    std::size_t size = 0;
    for (const unsigned char byte : header)
    {
        size = (size << bits_per_byte) | byte;
    }
    if (size > max_frame_body_bytes)
    {
        return error_with(codec_fault::too_large,
                          "frame of " + std::to_string(size) + " bytes");
    }
    return size;
}

result<node_message, codec_error> decode_frame_body(std::string_view body)
{
    if (body.size() > max_frame_body_bytes)
    {
        return error_with(codec_fault::too_large, "body exceeds the frame limit");
    }
    return decode_body<node_message>(body);
}

result<std::string, codec_error> encode_datagram(const datagram& message)
{
    std::string bytes;
    bytes.reserve(max_datagram_bytes);
    try
    {
        append_body(bytes, message);
    }
    catch (const std::length_error& failure)
    {
        return error_with(codec_fault::too_large, failure.what());
    }
    if (bytes.size() > max_datagram_bytes)
    {
        return error_with(codec_fault::too_large,
                          "datagram of " + std::to_string(bytes.size()) + " bytes");
    }
    return bytes;
}

result<datagram, codec_error> decode_datagram(std::string_view bytes)
{
    if (bytes.size() > max_datagram_bytes)
    {
        return error_with(codec_fault::too_large, "datagram exceeds the limit");
    }
    return decode_body<datagram>(bytes);
}

std::string pack_rows(const std::vector<stored_row>& rows)
{
    std::string bytes;
    {
        appending_buffer buffer{bytes};
        std::ostream stream{&buffer};
        using archive_type = cereal::PortableBinaryOutputArchive;
        archive_type archive{stream, archive_type::Options::LittleEndian()};
        archive(rows);
    }
    return pack_text(bytes);
}

result<std::vector<stored_row>, codec_error> unpack_rows(std::string_view packed,
                                                         std::size_t max_bytes)
{
    const auto bytes = unpack_text(packed, max_bytes);
    if (!bytes)
    {
        return error_with(codec_fault::malformed, "rows cannot be decompressed");
    }
    try
    {
        std::vector<stored_row> rows;
        bounded_input_archive archive{*bytes};
        archive(rows);
        if (!archive.at_end())
        {
            return error_with(codec_fault::trailing_bytes, "bytes follow the rows");
        }
        return rows;
    }
    catch (const cereal::Exception& failure)
    {
        return error_with(codec_fault::malformed, failure.what());
    }
}

} // namespace geraniumdoor
