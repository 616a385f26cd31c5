#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/event_stream.hpp>

#include <algorithm>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;

namespace
{

/// Splits bytes that arrive in parts of one size.
std::vector<std::string> split_events(event_position& position, const std::string& bytes,
                                      std::size_t part_size)
{
    std::vector<std::string> events(1);
    for (std::size_t at = 0; at < bytes.size(); at += part_size)
    {
        std::string_view part = std::string_view{bytes}.substr(at, part_size);
        while (const auto end = find_event_end(position, part))
        {
            events.back() += part.substr(0, end->m_size);
            events.emplace_back();
            part.remove_prefix(end->m_size);
        }
        events.back() += part;
    }
    return events;
}

bool ends_inside_event(const std::string& bytes)
{
    event_position position;
    split_events(position, bytes, bytes.size() + 1);
    return is_inside_event(position);
}

std::string with_line_ends(std::string text, const std::string& line_end)
{
    for (auto at = text.find('\n'); at != std::string::npos;
         at = text.find('\n', at + line_end.size()))
    {
        text.replace(at, 1, line_end);
    }
    return text;
}

} // namespace

TestSuite(event_stream);

Test(event_stream, events_are_found_whatever_ends_their_lines_and_however_they_arrive)
{
    const std::string text = "id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\ndata: c\n\n";
    for (const std::string line_end : {"\n", "\r\n", "\r"})
    {
        const std::string bytes = with_line_ends(text, line_end);
        for (std::size_t part_size = 1; part_size <= bytes.size(); ++part_size)
        {
            event_position position;
            const auto events = split_events(position, bytes, part_size);
            cr_assert(events.size() == 4, "%zu parts", events.size());
            cr_expect(events[0].find("data: a") != std::string::npos);
            cr_expect(events[1].find(": comment") != std::string::npos);
            cr_expect(events[2].find("data: c") != std::string::npos);
            EXPECT_EQUAL(event_id(events[0]), "1");
            EXPECT_EQUAL(event_id(events[1]), "");
            EXPECT_EQUAL(event_id(events[2]), "2");
            cr_expect(not is_inside_event(position));
            std::string joined;
            for (const std::string& event : events)
            {
                joined += event;
            }
            EXPECT_EQUAL(joined, bytes);
        }
    }
}

Test(event_stream, a_cut_stream_ends_inside_an_event)
{
    const std::string event = "id: 1\ndata: a\n\n";
    for (std::size_t size = 1; size < event.size(); ++size)
    {
        cr_expect(ends_inside_event(event + event.substr(0, size)), "%zu bytes", size);
    }
    cr_expect(not ends_inside_event(event + event));
    cr_expect(not ends_inside_event(event + "\n"));
    cr_expect(not ends_inside_event(event + ": comment\n"));
    cr_expect(ends_inside_event(event + ": comm"));
}

Test(event_stream, comments_are_told_apart_from_events)
{
    event_position position;
    const auto comment = find_event_end(position, ": still here\n\n");
    cr_assert(comment.has_value());
    cr_expect(comment->m_is_comment);
    const auto event = find_event_end(position, ": note\nid: 1\n\n");
    cr_assert(event.has_value());
    cr_expect(not event->m_is_comment);
}

// Guards against bytes that are lost or doubled where a block of a long event ends.
Test(event_stream, a_partial_event_is_taken_as_it_arrived)
{
    for (const std::size_t part : {1UL, 7UL, 4095UL, 4096UL, 4097UL, 9000UL})
    {
        std::string whole;
        partial_event event;
        for (std::size_t at = 0; at < 20'000; at += part)
        {
            const std::string bytes(part, static_cast<char>('a' + at % 26));
            append(event, bytes);
            whole += bytes;
        }
        EXPECT_EQUAL(size_of(event), whole.size());
        EXPECT_EQUAL(take(event), whole);
        EXPECT_EQUAL(size_of(event), 0U);
        append(event, "next");
        EXPECT_EQUAL(take(event), "next");
    }
}
