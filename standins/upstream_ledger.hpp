#pragma once

#include <geraniumdoor/base/units.hpp>

#include <boost/json.hpp>

#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace geraniumdoor
{

/// What one upstream has executed, and the time that each request took of it.
class upstream_ledger
{
public:
    void add_execution(const std::string& request, const std::string& operation,
                       const std::string& marker)
    {
        ++m_executions[{request, operation, marker}];
    }

    void add_work(const std::string& request, const std::string& operation,
                  duration length)
    {
        m_work[{request, operation}] +=
            std::chrono::duration_cast<microseconds>(length).count();
    }

    void append_executions(const std::string& upstream, boost::json::array& list) const
    {
        for (const auto& [key, count] : m_executions)
        {
            const auto& [request, operation, marker] = key;
            list.emplace_back(boost::json::object{{"upstream", upstream},
                                                  {"request_id", request},
                                                  {"operation", operation},
                                                  {"marker", marker},
                                                  {"count", count}});
        }
    }

    /// Moves the time of the calls that ended since the last call of this function.
    void take_work(const std::string& upstream, boost::json::array& list)
    {
        for (const auto& [key, busy_us] : m_work)
        {
            const auto& [request, operation] = key;
            list.emplace_back(boost::json::object{{"upstream", upstream},
                                                  {"request_id", request},
                                                  {"operation", operation},
                                                  {"busy_us", busy_us}});
        }
        m_work.clear();
    }

private:
    /// Number of executions by request id, operation and marker.
    std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t>
        m_executions;
    /// Time of ended calls by request id and operation, in microseconds.
    std::map<std::pair<std::string, std::string>, std::int64_t> m_work;
};

} // namespace geraniumdoor
