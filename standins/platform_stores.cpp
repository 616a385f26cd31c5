#include "platform_stores.hpp"

namespace geraniumdoor
{

namespace json = boost::json;

json::object row_store::read(const std::string& key) const
{
    const auto at = m_rows.find(key);
    const row found = at == m_rows.end() ? row{} : at->second;
    return {{"key", key}, {"version", found.m_version}, {"value", found.m_value}};
}

json::object row_store::scan(const std::string& prefix) const
{
    json::array rows;
    auto at = m_rows.lower_bound(prefix);
    while (at != m_rows.end() && at->first.starts_with(prefix))
    {
        rows.emplace_back(read(at++->first));
    }
    return {{"rows", std::move(rows)}};
}

json::object row_store::transact(const json::object& body)
{
    json::array conflicts;
    for (const auto& check : body.at("checks").as_array())
    {
        json::object found = read(text_of(check.as_object(), "key"));
        const auto wanted = check.at("version").to_number<std::uint64_t>();
        if (found.at("version").as_uint64() != wanted)
        {
            conflicts.emplace_back(std::move(found));
        }
    }
    if (not conflicts.empty())
    {
        return {{"committed", false}, {"conflicts", std::move(conflicts)}};
    }
    return {{"committed", true}, {"versions", write(body.at("writes").as_array())}};
}

json::object row_store::write(const json::array& writes)
{
    // All writes are checked before the first takes effect.
    std::vector<std::pair<std::string, const json::string*>> checked;
    for (const auto& entry : writes)
    {
        const bool deletes = entry.as_object().contains("delete");
        checked.emplace_back(text_of(entry.as_object(), "key"),
                             deletes ? nullptr : &entry.at("value").as_string());
    }
    json::object versions;
    for (const auto& [key, value] : checked)
    {
        m_rows.erase(key);
        versions[key] = value == nullptr ? 0 : ++m_last_version;
        if (value != nullptr)
        {
            m_rows[key] = row{m_last_version, std::string{*value}};
        }
    }
    return versions;
}

host_store::host_store(const json::object& settings)
    : m_seen{microseconds_of(number_or(settings, "lag_ms", 2000))}
{
    change(settings);
}

void host_store::change(const json::object& change)
{
    for (const auto& host : expand_groups(change, "hosts"))
    {
        put(host);
    }
    json::array hosts;
    for (const auto& [id, host] : m_hosts)
    {
        hosts.emplace_back(host);
    }
    m_seen.set(json::object{{"hosts", std::move(hosts)}});
}

void host_store::put(const json::object& fields)
{
    json::object& host = m_hosts[text_of(fields, "id")];
    host.emplace("ip", "127.0.0.1");
    host.emplace("state", "live");
    for (const char* name : {"id", "kind", "pool", "ip", "port", "admin_port",
                             "peer_port", "data_centre", "region", "state"})
    {
        if (const auto* value = fields.if_contains(name))
        {
            host[name] = *value;
        }
    }
    if (host.at("state") == "gone")
    {
        m_hosts.erase(text_of(fields, "id"));
    }
}

} // namespace geraniumdoor
