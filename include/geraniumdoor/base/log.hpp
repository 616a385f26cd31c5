#pragma once

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

namespace geraniumdoor
{

/// Receives each finished log line, without line feed.
using log_sink = std::function<void(std::string_view)>;

/// Replaces the sink of the process; an empty sink restores glog. Tests use it to
/// compare whole sessions.
void set_log_sink(log_sink sink);

/// Appends the value to the line, quoted when it holds anything but letters, digits
/// and "._-:/,+", so that input cannot forge a pair or a line.
void append_log_value(std::string& line, std::string_view value);

/// One log line "event=NAME key=value ...", written when the object is destroyed.
class log_event
{
public:
    explicit log_event(std::string_view name);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    log_event& add(std::string_view key, std::string_view value);
    log_event& add(std::string_view key, const char* value);
    log_event& add(std::string_view key, const std::string& value);
    log_event& add(std::string_view key, bool value);
    log_event& add(std::string_view key, double value);

    template<std::integral Integer>
    log_event& add(std::string_view key, Integer value)
    {
        return add_plain(key, std::to_string(value));
    }

    /// Adds a strong id or number.
    template<class Id>
    requires requires(const Id& id)
    {
        id.m_value;
    }
    log_event& add(std::string_view key, const Id& id)
    {
        return add(key, id.m_value);
    }

private:
    log_event& add_plain(std::string_view key, std::string_view value);

    std::string m_line;
};

} // namespace geraniumdoor
