#include <geraniumdoor/base/log.hpp>

#include <glog/logging.h>

#include <cstdio>
#include <utility>

namespace geraniumdoor
{

namespace
{

log_sink& current_sink()
{
    static log_sink sink;
    return sink;
}

bool is_plain(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit ||
           std::string_view{"._-:/,+"}.find(c) != std::string_view::npos;
}

bool needs_quotes(std::string_view value)
{
    for (const char c : value)
    {
        if (!is_plain(c))
        {
            return true;
        }
    }
    return value.empty();
}

void append_escaped(std::string& line, char c)
{
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
    {
        line += '\\';
        line += c;
    }
    else if (byte < 0x20 || byte >= 0x7f)
    {
        char escaped[8];
        std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
        line += escaped;
    }
    else
    {
        line += c;
    }
}

} // namespace

void set_log_sink(log_sink sink)
{
    current_sink() = std::move(sink);
}

void append_log_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        append_escaped(line, c);
    }
    line += '"';
}

log_event::log_event(std::string_view name) : m_line{"event="}
{
    append_log_value(m_line, name);
}

log_event::~log_event()
{
    if (const auto& sink = current_sink())
    {
        sink(m_line);
    }
    else
    {
        LOG(INFO) << m_line;
    }
}

log_event& log_event::add(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    append_log_value(m_line, value);
    return *this;
}

log_event& log_event::add(std::string_view key, const char* value)
{
    return add(key, std::string_view{value});
}

log_event& log_event::add(std::string_view key, const std::string& value)
{
    return add(key, std::string_view{value});
}

log_event& log_event::add(std::string_view key, bool value)
{
    return add_plain(key, value ? "true" : "false");
}

log_event& log_event::add(std::string_view key, double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return add_plain(key, text);
}

log_event& log_event::add_plain(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += value;
    return *this;
}

} // namespace geraniumdoor
