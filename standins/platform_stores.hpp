#pragma once

#include "standin_support.hpp"

#include <map>

namespace geraniumdoor
{

/// Rows with versions from one counter, so that a row written again after its deletion
/// never has an earlier version.
class row_store
{
public:
    boost::json::object read(const std::string& key) const;
    boost::json::object scan(const std::string& prefix) const;

    /// Runs all writes, or none if a check fails. Throws if the body is malformed.
    boost::json::object transact(const boost::json::object& body);

private:
    struct row
    {
        std::uint64_t m_version = 0;
        std::string m_value;
    };

    boost::json::object write(const boost::json::array& writes);

    std::map<std::string, row> m_rows;
    std::uint64_t m_last_version = 0;
};

/// Host list that readers see with a lag.
class host_store
{
public:
    explicit host_store(const boost::json::object& settings);

    /// "hosts" adds hosts or changes the fields given; a host with the state "gone" is
    /// removed.
    void change(const boost::json::object& change);

    const boost::json::value& read()
    {
        return m_seen.read();
    }

private:
    void put(const boost::json::object& fields);

    std::map<std::string, boost::json::object> m_hosts;
    lagged_value m_seen;
};

} // namespace geraniumdoor
