#include "json_fields.hpp"

#include <geraniumdoor/platform/host_list_codec.hpp>

#include <boost/asio/ip/address.hpp>

#include <utility>
#include <variant>

namespace geraniumdoor
{

namespace json = boost::json;

namespace
{

using host_record = std::variant<entry_host_record, upstream_record>;

/// Fields that both kinds of host have.
struct common_fields
{
    std::string m_id;
    endpoint m_endpoint;
    std::string m_data_centre;
    bool m_leaving = false;
};

result<endpoint, decode_error> decode_endpoint(const json::object& object)
{
    const auto ip = string_field(object, "ip");
    boost::system::error_code error;
    if (ip)
    {
        boost::asio::ip::make_address(*ip, error);
    }
    if (not ip || error)
    {
        return missing_field("ip");
    }
    const auto port = integer_field<std::uint16_t>(object, "port");
    if (not port || *port == 0)
    {
        return missing_field("port");
    }
    return endpoint{*ip, *port};
}

result<common_fields, decode_error> decode_common(const json::object& object)
{
    auto id = string_field(object, "id");
    if (not id || id->empty())
    {
        return missing_field("id");
    }
    auto address = decode_endpoint(object);
    if (not is_ok(address))
    {
        return error_of(address);
    }
    auto data_centre = string_field(object, "data_centre");
    if (not data_centre)
    {
        return missing_field("data_centre");
    }
    const auto state = string_field(object, "state");
    if (not state || (*state != "live" && *state != "leaving"))
    {
        return missing_field("state");
    }
    return common_fields{std::move(*id), value_of(std::move(address)),
                         std::move(*data_centre), *state == "leaving"};
}

result<host_record, decode_error> decode_upstream(common_fields common,
                                                  const json::object& object)
{
    auto pool = string_field(object, "pool");
    if (not pool)
    {
        return missing_field("pool");
    }
    return upstream_record{upstream_id{std::move(common.m_id)}, pool_id{std::move(*pool)},
                           data_centre_id{std::move(common.m_data_centre)},
                           std::move(common.m_endpoint), common.m_leaving};
}

result<host_record, decode_error> decode_entry_host(common_fields common,
                                                    const json::object& object)
{
    const auto admin_port = integer_field<std::uint16_t>(object, "admin_port");
    if (not admin_port)
    {
        return missing_field("admin_port");
    }
    const auto peer_port = integer_field<std::uint16_t>(object, "peer_port");
    if (not peer_port)
    {
        return missing_field("peer_port");
    }
    entry_host_record record;
    record.m_id = node_id{std::move(common.m_id)};
    record.m_endpoint = std::move(common.m_endpoint);
    record.m_admin_port = *admin_port;
    record.m_peer_port = *peer_port;
    record.m_data_centre = data_centre_id{std::move(common.m_data_centre)};
    record.m_region = region_id{string_field(object, "region").value_or("")};
    record.m_leaving = common.m_leaving;
    return record;
}

result<host_record, decode_error> decode_host(const json::value& value)
{
    const auto* object = value.if_object();
    if (object == nullptr)
    {
        return not_an_object();
    }
    auto common = decode_common(*object);
    if (not is_ok(common))
    {
        return error_of(common);
    }
    const auto kind = string_field(*object, "kind");
    if (kind == "upstream")
    {
        return decode_upstream(value_of(std::move(common)), *object);
    }
    if (kind == "entry")
    {
        return decode_entry_host(value_of(std::move(common)), *object);
    }
    return missing_field("kind");
}

void append(host_list& list, host_record record)
{
    if (auto* upstream = std::get_if<upstream_record>(&record))
    {
        list.m_upstreams.push_back(std::move(*upstream));
        return;
    }
    list.m_entry_hosts.push_back(std::get<entry_host_record>(std::move(record)));
}

} // namespace

result<host_list, decode_error> decode_host_list(std::string_view text)
{
    const auto object = parse_object(text);
    if (not object)
    {
        return not_an_object();
    }
    const auto* hosts = object->if_contains("hosts");
    if (hosts == nullptr || not hosts->is_array())
    {
        return missing_field("hosts");
    }
    host_list list;
    for (const auto& value : hosts->get_array())
    {
        auto record = decode_host(value);
        if (not is_ok(record))
        {
            return error_of(record);
        }
        append(list, value_of(std::move(record)));
    }
    return list;
}

} // namespace geraniumdoor
