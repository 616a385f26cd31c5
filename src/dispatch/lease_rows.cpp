#include <geraniumdoor/dispatch/lease_rows.hpp>

#include <boost/json.hpp>

namespace geraniumdoor
{

namespace json = boost::json;

namespace
{

json::array guarantors_to_json(const std::vector<lease_guarantor>& guarantors)
{
    json::array list;
    for (const auto& [node, number] : guarantors)
    {
        list.push_back(
            json::object{{"node", node.m_value}, {"incarnation", number.m_value}});
    }
    return list;
}

std::string text_at(const json::object& object, std::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

std::uint64_t number_at(const json::object& object, std::string_view name)
{
    return object.at(name).to_number<std::uint64_t>();
}

std::vector<lease_guarantor> guarantors_at(const json::object& object)
{
    std::vector<lease_guarantor> guarantors;
    for (const json::value& entry : object.at("guarantors").as_array())
    {
        const json::object& guarantor = entry.as_object();
        guarantors.push_back({node_id{text_at(guarantor, "node")},
                              incarnation{number_at(guarantor, "incarnation")}});
    }
    return guarantors;
}

} // namespace

std::string key_of(const lease_id& id)
{
    return std::string{lease_prefix} + id.m_value;
}

std::string key_of(const upstream_id& id)
{
    return std::string{owner_prefix} + id.m_value;
}

std::string encode(const lease_row& row)
{
    return json::serialize(json::object{
        {"holder", row.m_holder.m_value},
        {"incarnation", row.m_incarnation.m_value},
        {"counter", row.m_counter},
        {"time_to_live_ms", row.m_time_to_live.count()},
        {"guarantors", guarantors_to_json(row.m_guarantors)},
    });
}

std::string encode(const owner_row& row)
{
    return json::serialize(json::object{
        {"lease", row.m_lease.m_value},
        {"epoch", row.m_epoch.m_value},
        {"drained", row.m_drained},
    });
}

std::optional<lease_row> decode_lease_row(const std::string& text)
try
{
    const json::value value = json::parse(text);
    const json::object& object = value.as_object();
    lease_row row;
    row.m_holder.m_value = text_at(object, "holder");
    row.m_incarnation.m_value = number_at(object, "incarnation");
    row.m_counter = number_at(object, "counter");
    row.m_time_to_live = milliseconds{number_at(object, "time_to_live_ms")};
    row.m_guarantors = guarantors_at(object);
    return row;
}
catch (const std::exception&)
{
    return std::nullopt;
}

std::optional<owner_row> decode_owner_row(const std::string& text)
try
{
    const json::value value = json::parse(text);
    const json::object& object = value.as_object();
    owner_row row;
    row.m_lease.m_value = text_at(object, "lease");
    row.m_epoch.m_value = number_at(object, "epoch");
    row.m_drained = object.at("drained").as_bool();
    return row;
}
catch (const std::exception&)
{
    return std::nullopt;
}

} // namespace geraniumdoor
